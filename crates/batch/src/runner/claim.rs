//! Claiming of open chunks for the servers that this node owns.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::chunks::{self, ClaimDecision};
use dappleyard_decide::fairness::{self, Candidate};
use dappleyard_platform::tables::Expect;
use dappleyard_platform::{StoreError, Transaction};
use dappleyard_settings::BatchPolicy;
use dappleyard_wire::ids::JobId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ChunkRow, EpochRow};
use prost::Message;
use rand::Rng;

use super::state::State;
use super::{Runner, load};
use crate::store::{self, Applied, Versioned, wait_jittered};

/// Open chunks read at once; one of them is taken at random, so that nodes seldom collide.
const OPEN_PAGE: usize = 16;
/// How long a job without open chunks is not looked at, milliseconds, unless its row changes.
const EXHAUSTED_MS: u64 = 3_000;
/// More is claimed when less waits than this part of the width; what waits here cannot run elsewhere.
const LOW_WATER_SHARE: u32 = 4;
/// More is claimed when less waits than this many items.
const LOW_WATER_ITEMS: u32 = 16;
/// Items that the fleet is taken to finish in a second when the slack of a job is estimated.
const ITEMS_PER_SECOND_GUESS: u64 = 100;

/// Claims chunks whenever this node's servers could use them.
pub async fn run(runner: Rc<Runner>) {
    loop {
        let idle = Duration::from_millis(runner.settings.poll_interval_ms);
        let _ = tokio::time::timeout(idle, runner.claim_wake.notified()).await;
        if runner.settings.policy == BatchPolicy::OnlineOnly {
            continue;
        }
        for service in runner.service_widths().into_keys() {
            if let Err(error) = fill(&runner, &service).await {
                tracing::debug!(%error, service, "no chunk was claimed");
                wait_jittered(runner.settings.poll_interval_ms).await;
            }
        }
    }
}

/// Claims chunks of one service until its servers have enough.
async fn fill(runner: &Rc<Runner>, service: &str) -> Result<(), StoreError> {
    while runner.takes_new_work() && runner.wants_more(service) {
        let Some((row, job)) = claim_one(runner, service).await? else {
            return Ok(());
        };
        let place = (job.to_string(), row.row.index);
        load::hold(runner, job, row).await;
        runner.state.borrow_mut().claiming.remove(&place);
    }
    Ok(())
}

/// Claims one chunk of the jobs of a service, in the order of fairness.
async fn claim_one(
    runner: &Runner,
    service: &str,
) -> Result<Option<(Versioned<ChunkRow>, JobId)>, StoreError> {
    for candidate in candidates(runner, service) {
        let job = JobId::from(&candidate.job);
        if let Some(row) = claim_of_job(runner, &job).await? {
            let weight = tenant_weight(runner, &candidate.tenant);
            let work = f64::from(row.row.items);
            let mut state = runner.state.borrow_mut();
            state.shares.charge(&candidate.tenant, work, weight);
            return Ok(Some((row, job)));
        }
        set_exhausted(runner, &candidate.job);
    }
    Ok(None)
}

fn candidates(runner: &Runner, service: &str) -> Vec<Candidate> {
    let now = runner.tables.clock.now();
    let mut state = runner.state.borrow_mut();
    let State { jobs, shares, .. } = &mut *state;
    let of_service = jobs.values().filter(|job| job.row.service == service);
    shares.set_waiting(&of_service.map(|job| job.row.tenant.as_str()).collect());
    let mut candidates: Vec<Candidate> = jobs
        .values()
        .filter(|job| job.row.service == service && !job.row.cancelled)
        .filter(|job| job.exhausted_until <= now)
        .map(|job| Candidate {
            job: job.row.job_id.clone(),
            tenant: job.row.tenant.clone(),
            deadline_unix_s: job.row.deadline_unix_s,
            remaining_s: u64::from(job.row.items) / ITEMS_PER_SECOND_GUESS,
        })
        .collect();
    fairness::order(&mut candidates, shares, runner.now_unix_s());
    candidates
}

fn tenant_weight(runner: &Runner, tenant: &str) -> u32 {
    let configuration = runner.tables.configuration.current();
    let row = configuration.tenants.get(tenant);
    row.map_or(1, |row| row.batch_weight.max(1))
}

fn set_exhausted(runner: &Runner, job: &str) {
    let until = runner.tables.clock.now().plus(EXHAUSTED_MS);
    if let Some(job) = runner.state.borrow_mut().jobs.get_mut(job) {
        job.exhausted_until = until;
    }
}

async fn claim_of_job(
    runner: &Runner,
    job: &JobId,
) -> Result<Option<Versioned<ChunkRow>>, StoreError> {
    let prefix = format!("{}{job}/", keys::OPEN_CHUNK_PREFIX);
    let mut rows = runner.platform.tables.range(&prefix, "", OPEN_PAGE).await?;
    while !rows.is_empty() {
        let chosen = rand::rng().random_range(0..rows.len());
        let open = rows.swap_remove(chosen);
        let read = store::decode::<ChunkRow>(&open.key, &open.value, open.revision)?;
        let place = (job.to_string(), read.row.index);
        runner.state.borrow_mut().claiming.insert(place.clone());
        let claimed = write_claim(runner, job, read).await;
        if let Ok(Some(claimed)) = claimed {
            runner.metrics.chunk("claimed");
            return Ok(Some(claimed));
        }
        // A claim whose fate is unknown may still take effect: the sweep of this node's own list
        // finds it then.
        runner.state.borrow_mut().claiming.remove(&place);
        claimed?;
    }
    Ok(None)
}

/// Claims a chunk whose open row was read. Open row and chunk row were written by the same
/// transaction, so that one revision stands for both.
async fn write_claim(
    runner: &Runner,
    job: &JobId,
    read: Versioned<ChunkRow>,
) -> Result<Option<Versioned<ChunkRow>>, StoreError> {
    let claimant = runner.claimant();
    let ClaimDecision::Write(row) = chunks::claim(&read.row, &claimant, false) else {
        return Ok(None);
    };
    let key = keys::chunk(job, row.index);
    let open = keys::open_chunk(job, row.index);
    let held = EpochRow {
        epoch: row.epoch,
        holder: claimant.node.clone(),
        holder_incarnation: claimant.incarnation,
        sequence: 0,
    };
    let transaction = Transaction::default()
        .expect(key.as_str(), Expect::Revision(read.revision))
        .expect(open.as_str(), Expect::Revision(read.revision))
        .put(key.as_str(), row.encode_to_vec())
        .put(
            keys::held_chunk(&claimant.node, job, row.index),
            held.encode_to_vec(),
        )
        .delete(open);
    let applied = store::apply(&*runner.platform.tables, &transaction, &key, |value| {
        ChunkRow::decode(value.clone()).is_ok_and(|written| written == row)
    });
    Ok(match applied.await? {
        Applied::Yes { revision } => Some(Versioned { row, revision }),
        Applied::Conflict => None,
    })
}

impl Runner {
    /// Batch sequences that the servers of each service may run at present.
    fn service_widths(&self) -> BTreeMap<String, u32> {
        self.tables.servers.read(|servers| {
            let mut widths = BTreeMap::new();
            for server in servers.values() {
                let service = server.entry.service.to_string();
                *widths.entry(service).or_insert(0) += server.batch_width;
            }
            widths
        })
    }

    /// Whether the servers of a service could use more work than waits here, within memory.
    fn wants_more(&self, service: &str) -> bool {
        let width = self.service_widths().get(service).copied().unwrap_or(0);
        let state = self.state.borrow();
        let room = state.held.is_empty() || state.held_bytes < self.settings.memory_bytes;
        let low_water = (width / LOW_WATER_SHARE).max(LOW_WATER_ITEMS);
        room && width > 0 && state.waiting(service) < low_water as usize
    }
}

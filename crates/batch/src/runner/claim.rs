//! Claims open chunks for the servers that this node owns.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::chunks::{self, ClaimDecision};
use dappleyard_decide::fairness::{self, Candidate};
use dappleyard_settings::BatchPolicy;
use dappleyard_store::tables::Expect;
use dappleyard_store::{Row, StoreError, Transaction};
use dappleyard_tables::servers::OwnedServer;
use dappleyard_wire::ids::JobId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ChunkRow, EpochRow};
use prost::Message;
use rand::Rng;

use super::server::ServerState;
use super::state::RunnerState;
use super::{Runner, load};
use crate::store::{self, Versioned, WriteOutcome, sleep_jittered};

/// Open chunk rows per read.
const OPEN_PAGE: usize = 32;
/// Number of leading open chunks from which one is picked at random, so that claims of different
/// nodes seldom conflict.
const CANDIDATE_ROWS: usize = 8;
/// Time before a job without open chunks is searched again unless its row changes, milliseconds.
const EXHAUSTED_MS: u64 = 3_000;
/// Minimum demand of a server without online requests, items. A full server finishes about as many
/// during a claim.
const MINIMUM_DEMAND_ITEMS: u32 = 16;
/// Demand of a server with online requests, items. Kept low because items queued here cannot run on
/// other nodes.
const ONLINE_DEMAND_ITEMS: u32 = 2;
/// Throughput of the fleet that is assumed when the remaining time of a job is estimated, items per
/// second.
const ASSUMED_ITEMS_PER_SECOND: u64 = 100;

/// Claims chunks whenever the queues of this node's servers run low.
pub async fn run(runner: Rc<Runner>) {
    loop {
        let idle = Duration::from_millis(runner.settings.poll_interval_ms);
        let _ = tokio::time::timeout(idle, runner.claim_wake.notified()).await;
        if runner.settings.policy == BatchPolicy::OnlineOnly {
            continue;
        }
        for service in runner.service_widths().into_keys() {
            if let Err(error) = claim_for_service(&runner, &service).await {
                tracing::debug!(%error, service, "failed to claim chunks");
                sleep_jittered(runner.settings.poll_interval_ms).await;
            }
        }
    }
}

/// Claims chunks of a service until its demand is met or no open chunk is left.
async fn claim_for_service(runner: &Rc<Runner>, service: &str) -> Result<(), StoreError> {
    while runner.item_demand(service) > 0 {
        if !claim_from_next_job(runner, service).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Claims chunks of the first job in fair-share order that has open chunks. Returns whether any
/// chunk was claimed.
async fn claim_from_next_job(runner: &Rc<Runner>, service: &str) -> Result<bool, StoreError> {
    for candidate in candidates(runner, service) {
        let job = JobId::from(&candidate.job);
        let wanted = runner.item_demand(service);
        let claimed = claim_of_job(runner, &job, wanted).await?;
        if claimed.is_empty() {
            set_exhausted(runner, &candidate.job);
            continue;
        }
        let weight = tenant_weight(runner, &candidate.tenant);
        for row in claimed {
            let work = f64::from(row.row.items);
            let shares = &mut runner.state.borrow_mut().shares;
            shares.charge(&candidate.tenant, work, weight);
            load::spawn_load(runner, job.clone(), row);
        }
        return Ok(true);
    }
    Ok(false)
}

fn candidates(runner: &Runner, service: &str) -> Vec<Candidate> {
    let now = runner.tables.clock.now();
    let mut state = runner.state.borrow_mut();
    let RunnerState { jobs, shares, .. } = &mut *state;
    let of_service = jobs.values().filter(|job| job.row.service == service);
    shares.set_active_tenants(&of_service.map(|job| job.row.tenant.as_str()).collect());
    let mut candidates: Vec<Candidate> = jobs
        .values()
        .filter(|job| job.row.service == service && !job.row.cancelled)
        .filter(|job| job.exhausted_until <= now)
        .map(|job| Candidate {
            job: job.row.job_id.clone(),
            tenant: job.row.tenant.clone(),
            deadline_unix_s: job.row.deadline_unix_s,
            remaining_s: u64::from(job.row.items) / ASSUMED_ITEMS_PER_SECOND,
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

/// Claims open chunks of a job with about `wanted` items in total. The claims are concurrent so
/// that the store gate can batch their transactions.
async fn claim_of_job(
    runner: &Runner,
    job: &JobId,
    wanted: usize,
) -> Result<Vec<Versioned<ChunkRow>>, StoreError> {
    let prefix = format!("{}{job}/", keys::OPEN_CHUNK_PREFIX);
    let tables = &runner.platform.tables;
    let mut rows = tables.range(&prefix, "", OPEN_PAGE).await?;
    let mut claimed = Vec::new();
    while claimed.is_empty() && !rows.is_empty() {
        let chosen = choose_open_chunks(&mut rows, wanted)?;
        let claims = chosen.into_iter().map(|read| try_claim(runner, job, read));
        let mut failed = None;
        for result in futures::future::join_all(claims).await {
            match result {
                Ok(row) => claimed.extend(row),
                Err(error) => failed = Some(error),
            }
        }
        if let (true, Some(error)) = (claimed.is_empty(), failed) {
            return Err(error);
        }
    }
    Ok(claimed)
}

/// Picks rows near the front until they hold `wanted` items. Chunks get smaller towards the end of
/// a job, and the large ones should run first.
fn choose_open_chunks(
    rows: &mut Vec<Row>,
    wanted: usize,
) -> Result<Vec<Versioned<ChunkRow>>, StoreError> {
    let mut chosen = Vec::new();
    let mut items = 0;
    while items < wanted.max(1) && !rows.is_empty() {
        let open = rows.remove(rand::rng().random_range(0..rows.len().min(CANDIDATE_ROWS)));
        let read = store::decode::<ChunkRow>(&open.key, &open.value, open.revision)?;
        items += read.row.items as usize;
        chosen.push(read);
    }
    Ok(chosen)
}

async fn try_claim(
    runner: &Runner,
    job: &JobId,
    read: Versioned<ChunkRow>,
) -> Result<Option<Versioned<ChunkRow>>, StoreError> {
    let chunk_id = (job.to_string(), read.row.index);
    let items = read.row.items;
    runner
        .state
        .borrow_mut()
        .claiming
        .insert(chunk_id.clone(), items);
    let claimed = write_claim(runner, job, read).await;
    if let Ok(Some(_)) = claimed {
        runner.metrics.count_chunk("claimed");
    } else {
        // A claim with an unknown outcome may still take effect. The takeover sweep then finds it
        // in this node's list of held chunks.
        runner.state.borrow_mut().claiming.remove(&chunk_id);
    }
    claimed
}

/// Claims a chunk given its open row. The open row and the chunk row were written by the same
/// transaction and so have the same revision.
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
    let applied = store::transact_resolved(&*runner.platform.tables, &transaction, &key, |value| {
        ChunkRow::decode(value.clone()).is_ok_and(|written| written == row)
    });
    Ok(match applied.await? {
        WriteOutcome::Written { revision } => Some(Versioned { row, revision }),
        WriteOutcome::Conflict => None,
    })
}

/// Number of items to keep queued for a server. It is small beside online requests, where prefills
/// are rate-limited.
fn server_demand(server: &OwnedServer, state: &RunnerState) -> u32 {
    if !server.online.is_empty() {
        return ONLINE_DEMAND_ITEMS;
    }
    let server_state = state.servers.get(&server.entry.server);
    let active = server_state.map_or(0, ServerState::active);
    server
        .batch_width
        .saturating_sub(active)
        .max(MINIMUM_DEMAND_ITEMS)
}

impl Runner {
    /// Total batch width of the servers of each service.
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

    /// Number of items to claim for a service beyond those already queued; 0 while memory is full
    /// or the node takes no new work.
    fn item_demand(&self, service: &str) -> usize {
        let state = self.state.borrow();
        let has_memory = state.held.is_empty() || state.held_bytes < self.settings.memory_bytes;
        if !has_memory || !self.takes_new_work() {
            return 0;
        }
        let wanted: u32 = self.tables.servers.read(|servers| {
            let of_service = servers
                .values()
                .filter(|server| server.entry.service.as_str() == service)
                .filter(|server| server.batch_width > 0);
            of_service.map(|server| server_demand(server, &state)).sum()
        });
        (wanted as usize).saturating_sub(state.queued_unstarted(service))
    }
}

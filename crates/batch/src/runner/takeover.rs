//! Reopens chunks whose holder is gone.
//!
//! Each claimed chunk has a row under its holder. Every node sweeps these rows after a membership
//! change, with a random delay, and periodically. Reopening a chunk raises its epoch, so that a
//! holder that was only suspended is fenced.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::chunks;
use dappleyard_store::tables::Expect;
use dappleyard_store::{StoreError, Transaction};
use dappleyard_tables::decisions::DecisionKind;
use dappleyard_wire::ids::JobId;
use dappleyard_wire::keys::{self, HELD_CHUNK_PREFIX};
use dappleyard_wire::messages::{ChunkRow, EpochRow, JobRow};
use prost::Message;
use rand::Rng;

use super::Runner;
use crate::store::{self, Versioned, WriteOutcome};

/// Rows per read.
const PAGE: usize = 256;
/// Interval of sweeps, milliseconds per member, so that the fleet sweeps about once in this time.
const SWEEP_MS_PER_MEMBER: u64 = 3_000;

/// Reopens chunks of nodes that are gone; never returns.
pub async fn run(runner: Rc<Runner>) {
    let mut members = runner.tables.members.subscribe();
    loop {
        let sweep = runner.sweep_interval(SWEEP_MS_PER_MEMBER);
        tokio::select! {
            _ = members.changed() => {
                let delay = jitter(runner.settings.takeover_delay_ms);
                tokio::time::sleep(delay).await;
                members.borrow_and_update();
            }
            () = tokio::time::sleep(sweep) => {}
        }
        if !runner.takes_new_work() {
            continue;
        }
        if let Err(error) = sweep_held(&runner).await {
            tracing::debug!(%error, "failed to sweep the held chunks");
        }
    }
}

fn jitter(milliseconds: u64) -> Duration {
    let jittered = rand::rng().random_range(milliseconds / 2..=milliseconds * 3 / 2);
    Duration::from_millis(jittered)
}

async fn sweep_held(runner: &Runner) -> Result<(), StoreError> {
    let tables = &runner.platform.tables;
    let mut after = String::new();
    loop {
        let rows = tables.range(HELD_CHUNK_PREFIX, &after, PAGE).await?;
        let full = rows.len() == PAGE;
        for row in rows {
            let held = store::decode::<EpochRow>(&row.key, &row.value, row.revision)?;
            check_held(runner, &row.key, &held).await?;
            after = row.key;
        }
        if !full {
            return Ok(());
        }
    }
}

/// Reopens a chunk if its holder is gone, or if it is listed under this node without being known
/// here: the claim took effect after this node stopped waiting for the response.
async fn check_held(
    runner: &Runner,
    held_key: &str,
    held: &Versioned<EpochRow>,
) -> Result<(), StoreError> {
    let Some((job, index)) = parse_held_key(held_key, &held.row.holder) else {
        return Ok(());
    };
    let claimant = runner.claimant();
    let (holder, incarnation) = (&held.row.holder, held.row.holder_incarnation);
    let is_own = *holder == claimant.node && incarnation == claimant.incarnation;
    let untracked = is_own
        && !runner
            .state
            .borrow()
            .tracks_chunk(&(job.to_string(), index));
    if untracked || runner.is_gone(holder, incarnation) {
        reopen_held(runner, held_key, held, &job, index).await?;
    }
    Ok(())
}

async fn reopen_held(
    runner: &Runner,
    held_key: &str,
    held: &Versioned<EpochRow>,
    job: &JobId,
    index: u32,
) -> Result<(), StoreError> {
    let key = keys::chunk(job, index);
    let Some(read) = store::read_row::<ChunkRow>(&*runner.platform.tables, &key).await? else {
        return delete_held_row(runner, held_key, held.revision).await;
    };
    let stale = read.row.epoch != held.row.epoch || read.row.holder != held.row.holder;
    if stale || !is_live_job(runner, &read.row.tenant, job).await? {
        return delete_held_row(runner, held_key, held.revision).await;
    }
    if !runner.reopen(job, read, true, None).await? {
        return Ok(());
    }
    runner.metrics.count_chunk("taken_over");
    let outcome = format!("chunk {index} was opened again");
    let cause = format!("node {} does not work on it any more", held.row.holder);
    runner.record_decision(DecisionKind::TakenOver, job.as_str(), &cause, outcome);
    Ok(())
}

fn parse_held_key(held_key: &str, holder: &str) -> Option<(JobId, u32)> {
    let path = held_key.strip_prefix(HELD_CHUNK_PREFIX)?;
    let (job, index) = path
        .strip_prefix(holder)?
        .strip_prefix('/')?
        .split_once('/')?;
    Some((JobId::from(job), index.parse().ok()?))
}

async fn is_live_job(runner: &Runner, tenant: &str, job: &JobId) -> Result<bool, StoreError> {
    let key = keys::job(&tenant.into(), job);
    let read = store::read_row::<JobRow>(&*runner.platform.tables, &key).await?;
    Ok(read.is_some_and(|read| !read.row.cancelled))
}

/// Deletes a held-chunk row that does not match its chunk row, unless it has been rewritten.
async fn delete_held_row(runner: &Runner, key: &str, revision: u64) -> Result<(), StoreError> {
    let transaction = Transaction::default()
        .expect(key, Expect::Revision(revision))
        .delete(key);
    store::transact_resolved(&*runner.platform.tables, &transaction, key, |_| false).await?;
    Ok(())
}

impl Runner {
    /// Reopens a claimed chunk of this node or of a node that is gone. `partial` is the object with
    /// the finished result lines. Returns whether the chunk was reopened.
    pub(super) async fn reopen(
        &self,
        job: &JobId,
        read: Versioned<ChunkRow>,
        holder_gone: bool,
        partial: Option<String>,
    ) -> Result<bool, StoreError> {
        let holder = read.row.holder.clone();
        let Some(mut row) = chunks::reopen(&read.row, &self.claimant(), holder_gone) else {
            return Ok(false);
        };
        if let Some(partial) = partial {
            row.partial_object = partial;
        }
        let key = keys::chunk(job, row.index);
        let transaction = Transaction::default()
            .expect(key.as_str(), Expect::Revision(read.revision))
            .put(key.as_str(), row.encode_to_vec())
            .put(keys::open_chunk(job, row.index), row.encode_to_vec())
            .delete(keys::held_chunk(&holder, job, row.index));
        let applied =
            store::transact_resolved(&*self.platform.tables, &transaction, &key, |value| {
                ChunkRow::decode(value.clone()).is_ok_and(|written| written == row)
            });
        let opened = matches!(applied.await?, WriteOutcome::Written { .. });
        if opened && let Some(job) = self.state.borrow_mut().jobs.get_mut(job.as_str()) {
            job.exhausted_until = dappleyard_decide::time::Millis(0);
        }
        Ok(opened)
    }

    /// Jittered wait between sweeps that scales with the number of members.
    pub(super) fn sweep_interval(&self, milliseconds_per_member: u64) -> Duration {
        let members = self.tables.members.all().len().max(1) as u64;
        jitter(milliseconds_per_member * members)
    }
}

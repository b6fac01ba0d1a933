//! Periodic cleanup of active jobs. Completes jobs whose last committer failed, repairs the list
//! entries of chunks and removes the rows of cancelled jobs.

use std::rc::Rc;

use dappleyard_store::tables::Expect;
use dappleyard_store::{StoreError, Transaction};
use dappleyard_wire::ids::JobId;
use dappleyard_wire::keys::{self, OPEN_CHUNK_PREFIX};
use dappleyard_wire::messages::{ActiveJobRow, ChunkPhase, ChunkRow};
use prost::Message;

use super::Runner;
use crate::jobs::{CompletionCheck, Progress, complete_if_done};
use crate::store::{self, Versioned};

/// Interval of cleanups, milliseconds per member.
const SWEEP_MS_PER_MEMBER: u64 = 1_000;
/// Rows deleted per transaction.
const PAGE: usize = 100;

/// Runs the cleanup; never returns.
pub async fn run(runner: Rc<Runner>) {
    loop {
        tokio::time::sleep(runner.sweep_interval(SWEEP_MS_PER_MEMBER)).await;
        let jobs: Vec<ActiveJobRow> = {
            let state = runner.state.borrow();
            state.jobs.values().map(|job| job.row.clone()).collect()
        };
        for job in jobs {
            if let Err(error) = check_job(&runner, &job).await {
                tracing::debug!(%error, job = job.job_id, "failed to clean up an active job");
            }
        }
    }
}

async fn check_job(runner: &Runner, job: &ActiveJobRow) -> Result<(), StoreError> {
    if job.cancelled {
        return delete_cancelled_rows(runner, &job.job_id).await;
    }
    if job.chunks == 0 {
        return Ok(());
    }
    let now = runner.now_unix_s();
    let mut leading = Progress::default();
    let end = complete_if_done(
        &runner.platform,
        &job.tenant,
        &job.job_id,
        &mut leading,
        now,
    )
    .await?;
    match end {
        CompletionCheck::Running(Some(first)) => repair_chunk(runner, first).await,
        CompletionCheck::Running(None) | CompletionCheck::Finished => Ok(()),
    }
}

/// Repairs the first uncommitted chunk of a job: reopens it if its holder is gone, and restores a
/// missing or outdated open row. This ensures that the job makes progress.
async fn repair_chunk(runner: &Runner, chunk: Versioned<ChunkRow>) -> Result<(), StoreError> {
    let job = JobId::from(&chunk.row.job_id);
    let tables = &*runner.platform.tables;
    match chunk.row.phase() {
        ChunkPhase::ChunkClaimed => {
            if runner.is_gone(&chunk.row.holder, chunk.row.holder_incarnation) {
                runner.reopen(&job, chunk, true, None).await?;
            }
        }
        ChunkPhase::ChunkOpen => {
            let open = keys::open_chunk(&job, chunk.row.index);
            let listed = tables.get(&open).await?;
            if listed.is_none_or(|listed| listed.revision != chunk.revision) {
                restore_open_row(runner, &job, chunk).await?;
            }
        }
        ChunkPhase::ChunkDone => {}
    }
    Ok(())
}

/// Rewrites the chunk row and the open row of an open chunk at the same revision.
async fn restore_open_row(
    runner: &Runner,
    job: &JobId,
    chunk: Versioned<ChunkRow>,
) -> Result<(), StoreError> {
    let key = keys::chunk(job, chunk.row.index);
    let row = chunk.row.encode_to_vec();
    let transaction = Transaction::default()
        .expect(key.as_str(), Expect::Revision(chunk.revision))
        .put(key.as_str(), row.clone())
        .put(keys::open_chunk(job, chunk.row.index), row);
    store::transact_resolved(&*runner.platform.tables, &transaction, &key, |_| false).await?;
    Ok(())
}

/// Deletes the open rows, the split row and the active-job row of a cancelled job.
async fn delete_cancelled_rows(runner: &Runner, job: &str) -> Result<(), StoreError> {
    let tables = &runner.platform.tables;
    let prefix = format!("{OPEN_CHUNK_PREFIX}{job}/");
    loop {
        let rows = tables.range(&prefix, "", PAGE).await?;
        let full = rows.len() == PAGE;
        let delete = |transaction: Transaction, key: String| transaction.delete(key);
        let keys = rows.into_iter().map(|row| row.key);
        let transaction = keys.fold(Transaction::default(), delete);
        if !transaction.writes.is_empty() {
            tables.transact(transaction).await?;
        }
        if !full {
            break;
        }
    }
    let job = JobId::from(job);
    let transaction = Transaction::default()
        .delete(keys::split_job(&job))
        .delete(keys::active_job(&job));
    tables.transact(transaction).await?;
    Ok(())
}

//! Commit of a chunk's result. The result object is written first; a transaction then stores its
//! name in the chunk row, provided that the epoch of the chunk and the state of its job still allow
//! it.

use std::rc::Rc;

use dappleyard_decide::chunks::{self, ChunkResult, CommitDecision};
use dappleyard_store::tables::Expect;
use dappleyard_store::{StoreError, Transaction};
use dappleyard_tables::decisions::DecisionKind;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ChunkPhase, ChunkRow, JobRow};
use prost::Message;

use super::Runner;
use super::work::{HeldChunk, StopReason};
use crate::jobs::{CompletionCheck, Progress, complete_if_done};
use crate::store::{self, WriteOutcome, sleep_jittered};

/// Wait between attempts after a store error, milliseconds, jittered.
const STORE_RETRY_MS: u64 = 500;

/// Outcome of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommitOutcome {
    Written,
    Fenced,
    Cancelled,
}

/// Commits a chunk whose items all have a result line.
pub async fn run(runner: Rc<Runner>, chunk: Rc<HeldChunk>) {
    let object = keys::result_object(&chunk.job, chunk.index, chunk.epoch);
    match commit_with_retry(&runner, &chunk, &object).await {
        CommitOutcome::Written => {
            runner.metrics.count_chunk("committed");
            runner.remove_chunk(&chunk.chunk_id());
            complete_job(&runner, &chunk).await;
            remove_partial(&runner, &chunk).await;
        }
        CommitOutcome::Fenced => {
            runner.metrics.count_chunk("fenced");
            let outcome = format!("the result of chunk {} was dropped", chunk.index);
            runner.record_decision(
                DecisionKind::Fenced,
                chunk.job.as_str(),
                "old epoch",
                outcome,
            );
            discard_result(&runner, &chunk, StopReason::Fenced, &object).await;
        }
        CommitOutcome::Cancelled => {
            runner.metrics.count_chunk("cancelled");
            discard_result(&runner, &chunk, StopReason::Cancelled, &object).await;
        }
    }
}

/// Deletes the partial result of an earlier holder, which the commit has made obsolete.
async fn remove_partial(runner: &Runner, chunk: &HeldChunk) {
    let partial = chunk.row.borrow().row.partial_object.clone();
    if !partial.is_empty() {
        remove_object(runner, &partial).await;
    }
}

async fn remove_object(runner: &Runner, object: &str) {
    if let Err(error) = runner.platform.objects.delete(object).await {
        tracing::debug!(%error, object, "failed to delete an unused object");
    }
}

async fn discard_result(runner: &Runner, chunk: &HeldChunk, reason: StopReason, object: &str) {
    chunk.stop(reason);
    runner.remove_chunk(&chunk.chunk_id());
    remove_object(runner, object).await;
}

async fn commit_with_retry(runner: &Runner, chunk: &HeldChunk, object: &str) -> CommitOutcome {
    loop {
        match commit_once(runner, chunk, object).await {
            Ok(Some(committed)) => return committed,
            Ok(None) => {}
            Err(error) => {
                tracing::debug!(%error, job = %chunk.job, "failed to commit a chunk; retrying");
                sleep_jittered(STORE_RETRY_MS).await;
            }
        }
    }
}

/// Makes one attempt to commit. Returns `None` if a row changed concurrently.
async fn commit_once(
    runner: &Runner,
    chunk: &HeldChunk,
    object: &str,
) -> Result<Option<CommitOutcome>, StoreError> {
    let (output, errors) = split_lines(chunk);
    let sizes = (output.len() as u64, errors.len() as u64);
    create_object(runner, object, [output, errors].concat()).await?;
    let tables = &*runner.platform.tables;
    let chunk_key = keys::chunk(&chunk.job, chunk.index);
    let job_key = keys::job(&chunk.tenant.as_str().into(), &chunk.job);
    let read = store::read_row::<ChunkRow>(tables, &chunk_key).await?;
    let job = store::read_row::<JobRow>(tables, &job_key).await?;
    let (Some(read), Some(job)) = (read, job) else {
        return Ok(Some(CommitOutcome::Cancelled));
    };
    let result = result_of(chunk, object);
    let mut row = match chunks::commit(&read.row, &job.row, chunk.epoch, &result) {
        CommitDecision::Write(row) => row,
        CommitDecision::AlreadyCommitted => return Ok(Some(CommitOutcome::Written)),
        CommitDecision::Fenced => return Ok(Some(CommitOutcome::Fenced)),
        CommitDecision::Cancelled => return Ok(Some(CommitOutcome::Cancelled)),
    };
    (row.output_bytes, row.error_bytes) = sizes;
    let held = keys::held_chunk(&row.holder, &chunk.job, row.index);
    let transaction = Transaction::default()
        .expect(chunk_key.as_str(), Expect::Revision(read.revision))
        .expect(job_key, Expect::Revision(job.revision))
        .put(chunk_key.as_str(), row.encode_to_vec())
        .delete(held);
    let applied = store::transact_resolved(tables, &transaction, &chunk_key, |value| {
        is_result(value, object)
    });
    Ok(match applied.await? {
        WriteOutcome::Written { .. } => Some(CommitOutcome::Written),
        WriteOutcome::Conflict => None,
    })
}

fn is_result(value: &bytes::Bytes, object: &str) -> bool {
    ChunkRow::decode(value.clone())
        .is_ok_and(|row| row.phase() == ChunkPhase::ChunkDone && row.result_object == object)
}

/// Returns the output lines and the error lines of a chunk.
fn split_lines(chunk: &HeldChunk) -> (Vec<u8>, Vec<u8>) {
    let lines = chunk.lines.borrow();
    let collect_lines = |failed: bool| -> Vec<u8> {
        let chosen = lines.iter().flatten().filter(|line| line.failed == failed);
        chosen.flat_map(|line| line.bytes.iter().copied()).collect()
    };
    (collect_lines(false), collect_lines(true))
}

fn result_of(chunk: &HeldChunk, object: &str) -> ChunkResult {
    let lines = chunk.lines.borrow();
    let failed = lines.iter().flatten().filter(|line| line.failed).count();
    let failed = u32::try_from(failed).unwrap_or(u32::MAX);
    let total = u32::try_from(lines.len()).unwrap_or(u32::MAX);
    ChunkResult {
        object: object.to_owned(),
        completed: total - failed,
        failed,
    }
}

/// Creates an object whose name is unique to this epoch. An existing object was written by an
/// earlier attempt and counts as success.
async fn create_object(runner: &Runner, name: &str, bytes: Vec<u8>) -> Result<(), StoreError> {
    match runner.platform.objects.create(name, bytes.into()).await {
        Ok(()) | Err(StoreError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Completes the job if this was its last chunk. The cleanup task retries after a failure.
async fn complete_job(runner: &Runner, chunk: &HeldChunk) {
    let job = chunk.job.as_str();
    let mut leading = Progress::default();
    let now = runner.now_unix_s();
    let finished = complete_if_done(&runner.platform, &chunk.tenant, job, &mut leading, now).await;
    match finished {
        Ok(CompletionCheck::Finished) => {
            let cause = "all chunks are committed";
            runner.record_decision(DecisionKind::JobChanged, job, cause, "completed".to_owned());
        }
        Ok(CompletionCheck::Running(_)) => {}
        Err(error) => tracing::debug!(%error, job, "failed to check a job for completion"),
    }
}

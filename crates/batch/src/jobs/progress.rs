//! Progress and completion of a job, computed from its chunk rows.
//!
//! Commits update no counter row, so that they do not contend. Committed chunks never change, so
//! the count of the leading committed chunks is cached and only the later rows are read again.

use std::cell::RefCell;
use std::collections::VecDeque;

use dappleyard_store::tables::Expect;
use dappleyard_store::{Platform, StoreError, Transaction};
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ChunkPhase, ChunkRow, JobPhase, JobRow, JobState};
use prost::Message;

use crate::store::{self, Versioned, WriteOutcome};

/// Chunk rows per read.
const PAGE: usize = 256;
/// Maximum number of jobs in the cache of a worker.
const MAXIMUM_CACHED: usize = 256;

/// Counts over committed chunks of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Committed chunks.
    pub done_chunks: u32,
    /// Items that completed.
    pub completed: u32,
    /// Items that failed.
    pub failed: u32,
}

impl Progress {
    fn add(&mut self, row: &ChunkRow) {
        self.done_chunks += 1;
        self.completed += row.completed;
        self.failed += row.failed;
    }

    /// Expected completion time at the average rate so far, Unix seconds; 0 before the first
    /// result.
    pub fn expected_unix_s(&self, state: &JobState, now_unix_s: u64) -> u64 {
        let done = u64::from(self.completed + self.failed);
        if done == 0 {
            return 0;
        }
        let left = u64::from(state.items_total).saturating_sub(done);
        let elapsed = now_unix_s.saturating_sub(state.created_unix_s).max(1);
        now_unix_s + (left * elapsed).div_ceil(done)
    }
}

/// Counts over the leading committed chunks of a job.
#[derive(Debug, Clone)]
struct CachedProgress {
    job: String,
    progress: Progress,
}

/// Cache of the counts over the leading committed chunks.
#[derive(Default)]
pub struct ProgressCache {
    entries: RefCell<VecDeque<CachedProgress>>,
}

impl ProgressCache {
    /// Counts all committed chunks of a job.
    pub async fn count(&self, platform: &Platform, row: &JobRow) -> Result<Progress, StoreError> {
        let job = row.state.as_ref().map_or("", |state| &state.job_id);
        let (leading, total) = count(platform, job, self.leading(job)).await?;
        self.store_leading(job, leading);
        Ok(total)
    }

    fn leading(&self, job: &str) -> Progress {
        let entries = self.entries.borrow();
        let cached = entries.iter().find(|leading| leading.job == job);
        cached
            .map(|leading| leading.progress.clone())
            .unwrap_or_default()
    }

    fn store_leading(&self, job: &str, progress: Progress) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|leading| leading.job != job);
        if entries.len() == MAXIMUM_CACHED {
            entries.pop_front();
        }
        entries.push_back(CachedProgress {
            job: job.to_owned(),
            progress,
        });
    }
}

/// Reads the chunk rows after those that `leading` covers. Returns the counts over the leading
/// committed chunks and over all committed chunks.
async fn count(
    platform: &Platform,
    job: &str,
    mut leading: Progress,
) -> Result<(Progress, Progress), StoreError> {
    let mut total = leading.clone();
    let mut is_leading = true;
    let prefix = format!("{}{job}/", keys::CHUNK_PREFIX);
    let mut after = match leading.done_chunks.checked_sub(1) {
        Some(last) => keys::chunk(&job.into(), last),
        None => String::new(),
    };
    loop {
        let rows = platform.tables.range(&prefix, &after, PAGE).await?;
        let full = rows.len() == PAGE;
        for read in rows {
            let chunk = store::decode::<ChunkRow>(&read.key, &read.value, read.revision)?.row;
            let done = chunk.phase() == ChunkPhase::ChunkDone;
            is_leading &= done;
            if done {
                total.add(&chunk);
            }
            if is_leading {
                leading.add(&chunk);
            }
            after = read.key;
        }
        if !full {
            return Ok((leading, total));
        }
    }
}

/// Finds the first uncommitted chunk after those that `leading` covers, and advances `leading` to
/// it. Returns `None` if all chunks are committed. A missing row counts as uncommitted.
async fn first_uncommitted(
    platform: &Platform,
    job: &JobRow,
    leading: &mut Progress,
) -> Result<Option<Uncommitted>, StoreError> {
    let id = job.state.as_ref().map_or("", |state| &state.job_id);
    let prefix = format!("{}{id}/", keys::CHUNK_PREFIX);
    while leading.done_chunks < job.chunks {
        let after = match leading.done_chunks.checked_sub(1) {
            Some(last) => keys::chunk(&id.into(), last),
            None => String::new(),
        };
        let rows = platform
            .tables
            .range(&prefix, &after, COMPLETION_PAGE)
            .await?;
        if rows.is_empty() {
            return Ok(Some(Uncommitted::Missing));
        }
        for read in rows {
            let chunk = store::decode::<ChunkRow>(&read.key, &read.value, read.revision)?.row;
            if chunk.phase() != ChunkPhase::ChunkDone {
                return Ok(Some(Uncommitted::Chunk(Versioned {
                    row: chunk,
                    revision: read.revision,
                })));
            }
            leading.add(&chunk);
        }
    }
    Ok(None)
}

/// First uncommitted chunk of a job.
#[derive(Debug, Clone, PartialEq)]
enum Uncommitted {
    Chunk(Versioned<ChunkRow>),
    Missing,
}

/// Result of [`complete_if_done`].
#[derive(Debug, Clone, PartialEq)]
pub enum CompletionCheck {
    /// The job has ended or does not exist.
    Finished,
    /// The job has not ended; holds the first uncommitted chunk if it was read.
    Running(Option<Versioned<ChunkRow>>),
}

/// Chunk rows per read in [`first_uncommitted`].
const COMPLETION_PAGE: usize = 32;

/// Completes a job if all its chunks are committed. `leading` covers leading committed chunks that
/// the caller knows of; it is advanced.
pub async fn complete_if_done(
    platform: &Platform,
    tenant: &str,
    job: &str,
    leading: &mut Progress,
    now_unix_s: u64,
) -> Result<CompletionCheck, StoreError> {
    let key = keys::job(&tenant.into(), &job.into());
    let Some(read) = store::read_row::<JobRow>(&*platform.tables, &key).await? else {
        return Ok(CompletionCheck::Finished);
    };
    let phase = read.row.state.as_ref().map(JobState::phase);
    if is_final(phase) {
        return Ok(CompletionCheck::Finished);
    }
    if phase != Some(JobPhase::JobInProgress) {
        return Ok(CompletionCheck::Running(None));
    }
    match first_uncommitted(platform, &read.row, leading).await? {
        Some(Uncommitted::Chunk(chunk)) => Ok(CompletionCheck::Running(Some(chunk))),
        Some(Uncommitted::Missing) => Ok(CompletionCheck::Running(None)),
        None => complete(platform, &key, read, leading, now_unix_s).await,
    }
}

fn is_final(phase: Option<JobPhase>) -> bool {
    matches!(
        phase,
        None | Some(JobPhase::JobCompleted | JobPhase::JobFailed | JobPhase::JobCancelled)
    )
}

async fn complete(
    platform: &Platform,
    key: &str,
    read: Versioned<JobRow>,
    progress: &Progress,
    now_unix_s: u64,
) -> Result<CompletionCheck, StoreError> {
    let mut row = read.row;
    let mut state = row.state.take().unwrap_or_default();
    let active = keys::active_job(&state.job_id.as_str().into());
    state.set_phase(JobPhase::JobCompleted);
    state.items_completed = progress.completed;
    state.items_failed = progress.failed;
    state.finished_unix_s = now_unix_s;
    row.chunks_done = progress.done_chunks;
    row.state = Some(state);
    let transaction = Transaction::default()
        .expect(key, Expect::Revision(read.revision))
        .put(key, row.encode_to_vec())
        .delete(active);
    let applied = store::transact_resolved(&*platform.tables, &transaction, key, |value| {
        JobRow::decode(value.clone())
            .is_ok_and(|row| is_final(row.state.as_ref().map(JobState::phase)))
    });
    Ok(match applied.await? {
        WriteOutcome::Written { .. } => CompletionCheck::Finished,
        WriteOutcome::Conflict => CompletionCheck::Running(None),
    })
}

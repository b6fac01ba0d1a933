//! Splits accepted jobs into chunk rows.
//!
//! A split is fenced by the epoch in the job's split row. It reads and validates the whole input
//! before it writes chunk rows. Each transaction writes several chunk rows and advances the cursor
//! in the split row; a node that takes over the split resumes at the cursor.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::chunks::{self, ChunkSizing};
use dappleyard_store::tables::Expect;
use dappleyard_store::{StoreError, Transaction};
use dappleyard_tables::decisions::DecisionKind;
use dappleyard_wire::ids::JobId;
use dappleyard_wire::keys::{self, SPLIT_JOB_PREFIX};
use dappleyard_wire::messages::{
    ActiveJobRow, ChunkRow, JobError, JobPhase, JobRow, JobState, Repeat, SplitRow,
};
use prost::Message;

use super::Runner;
use crate::input::{CheckedInput, ChunkRange, InputLimits, PartIndex, check_input};
use crate::store::{self, Versioned, WriteOutcome, sleep_jittered};

/// Split rows per read.
const PAGE: usize = 16;
/// Chunk rows per transaction.
const CHUNKS_PER_TRANSACTION: usize = 32;
/// Interval of sweeps for unowned splits, milliseconds per known member.
const SWEEP_MS_PER_MEMBER: u64 = 1_000;

/// Splits accepted jobs; never returns.
pub async fn run(runner: Rc<Runner>) {
    loop {
        let members = runner.tables.members.all().len().max(1) as u64;
        let sweep = Duration::from_millis(SWEEP_MS_PER_MEMBER * members);
        let _ = tokio::time::timeout(sweep, runner.split_wake.notified()).await;
        if let Err(error) = split_all(&runner).await {
            tracing::debug!(%error, "failed to split accepted jobs");
            sleep_jittered(runner.settings.poll_interval_ms).await;
            runner.split_wake.notify_one();
        }
    }
}

async fn split_all(runner: &Runner) -> Result<(), StoreError> {
    let tables = &runner.platform.tables;
    let mut after = String::new();
    loop {
        let rows = tables.range(SPLIT_JOB_PREFIX, &after, PAGE).await?;
        let full = rows.len() == PAGE;
        for row in rows {
            let read = store::decode::<SplitRow>(&row.key, &row.value, row.revision)?;
            after = row.key;
            if !runner.takes_new_work() {
                return Ok(());
            }
            if let Some(owned) = take_ownership(runner, read).await? {
                split_input(runner, owned).await?;
            }
        }
        if !full {
            return Ok(());
        }
    }
}

/// Takes ownership of a split, raising its epoch, unless another live node owns it.
async fn take_ownership(
    runner: &Runner,
    read: Versioned<SplitRow>,
) -> Result<Option<Versioned<SplitRow>>, StoreError> {
    let claimant = runner.claimant();
    let is_holder =
        read.row.holder == claimant.node && read.row.holder_incarnation == claimant.incarnation;
    if is_holder {
        return Ok(Some(read));
    }
    let held = !read.row.holder.is_empty();
    if held && !runner.is_gone(&read.row.holder, read.row.holder_incarnation) {
        return Ok(None);
    }
    let mut row = read.row;
    row.epoch += 1;
    row.holder = claimant.node;
    row.holder_incarnation = claimant.incarnation;
    let key = keys::split_job(&row.job_id.as_str().into());
    let transaction = Transaction::default()
        .expect(key.as_str(), Expect::Revision(read.revision))
        .put(key.as_str(), row.encode_to_vec());
    write_split_row(runner, &transaction, &key, row).await
}

async fn write_split_row(
    runner: &Runner,
    transaction: &Transaction,
    key: &str,
    row: SplitRow,
) -> Result<Option<Versioned<SplitRow>>, StoreError> {
    let applied = store::transact_resolved(&*runner.platform.tables, transaction, key, |value| {
        SplitRow::decode(value.clone()).is_ok_and(|written| written == row)
    });
    Ok(match applied.await? {
        WriteOutcome::Written { revision } => Some(Versioned { row, revision }),
        WriteOutcome::Conflict => None,
    })
}

async fn split_input(runner: &Runner, split: Versioned<SplitRow>) -> Result<(), StoreError> {
    let job = JobId::from(&split.row.job_id);
    let key = keys::job(&split.row.tenant.as_str().into(), &job);
    let read = store::read_row::<JobRow>(&*runner.platform.tables, &key).await?;
    let Some(read) = read.filter(|read| needs_split(&read.row)) else {
        return delete_split(runner, &split).await;
    };
    let state = read.row.state.clone().unwrap_or_default();
    let objects = &*runner.platform.objects;
    let parts = PartIndex::list(objects, &state.tenant, &state.input_file_id).await?;
    let limits = limits(runner, &state.endpoint, read.row.repeat());
    let checked = check_input(objects, &parts, &limits).await?;
    if !checked.errors.is_empty() {
        return fail_job(runner, &split, read, checked.errors).await;
    }
    if !is_approved(runner, &read.row, checked.items) {
        return leave_planned(runner, &split, read, &checked).await;
    }
    let Some(split) = write_chunks(runner, split, &state, &read.row, &checked).await? else {
        return Ok(());
    };
    start_job(runner, &split, read, &checked).await
}

fn limits(runner: &Runner, endpoint: &str, repeat: Repeat) -> InputLimits {
    let settings = &runner.settings;
    let maximum = match repeat {
        Repeat::Never => settings.once_chunk_items.min(chunks::MAXIMUM_ONCE_ITEMS),
        Repeat::Allowed => settings.chunk_maximum_items,
    };
    InputLimits {
        endpoint: endpoint.to_owned(),
        line_bytes: settings.maximum_line_bytes,
        items: settings.maximum_job_items,
        chunk_bytes: (settings.memory_bytes / CHUNKS_IN_MEMORY) as u64,
        chunks: ChunkSizing {
            items: 0,
            nodes: u32::try_from(runner.tables.members.all().len()).unwrap_or(u32::MAX),
            item_us: 0,
            target_ms: settings.chunk_target_ms,
            minimum: settings.chunk_minimum_items,
            maximum,
        },
    }
}

/// Number of chunk inputs that must fit into the memory limit of a node.
const CHUNKS_IN_MEMORY: usize = 8;

fn needs_split(row: &JobRow) -> bool {
    let phase = row.state.as_ref().map(JobState::phase);
    !row.cancelled && phase == Some(JobPhase::JobValidating)
}

fn is_approved(runner: &Runner, row: &JobRow, items: u32) -> bool {
    let tenant = row.state.as_ref().map_or("", |state| &state.tenant);
    let configuration = runner.tables.configuration.current();
    let standing = configuration
        .tenants
        .get(tenant)
        .map_or(runner.settings.standing_items, |row| {
            row.standing_batch_items
        });
    row.approved || items <= standing
}

/// Writes the chunk rows from the cursor on. Returns `None` if another writer changed the split
/// row.
async fn write_chunks(
    runner: &Runner,
    mut split: Versioned<SplitRow>,
    state: &JobState,
    job: &JobRow,
    checked: &CheckedInput,
) -> Result<Option<Versioned<SplitRow>>, StoreError> {
    let id = JobId::from(&state.job_id);
    let key = keys::split_job(&id);
    let first = split.row.next_chunk as usize;
    for (batch_index, batch) in checked.chunks[first.min(checked.chunks.len())..]
        .chunks(CHUNKS_PER_TRANSACTION)
        .enumerate()
    {
        let from = first + batch_index * CHUNKS_PER_TRANSACTION;
        let mut transaction =
            Transaction::default().expect(key.as_str(), Expect::Revision(split.revision));
        for (offset, chunk_range) in batch.iter().enumerate() {
            let index = u32::try_from(from + offset).unwrap_or(u32::MAX);
            let row = chunk_row(state, job, &checked.service, index, chunk_range).encode_to_vec();
            transaction = transaction
                .put(keys::chunk(&id, index), row.clone())
                .put(keys::open_chunk(&id, index), row);
        }
        let mut next = split.row.clone();
        next.next_chunk = u32::try_from(from + batch.len()).unwrap_or(u32::MAX);
        let last = batch.last().copied();
        next.next_offset = last.map_or(0, |chunk_range| chunk_range.end);
        next.next_item = last.map_or(0, |chunk_range| chunk_range.first_item + chunk_range.items);
        transaction = transaction.put(key.as_str(), next.encode_to_vec());
        match write_split_row(runner, &transaction, &key, next).await? {
            Some(written) => split = written,
            None => return Ok(None),
        }
    }
    Ok(Some(split))
}

fn chunk_row(
    state: &JobState,
    job: &JobRow,
    service: &str,
    index: u32,
    chunk_range: &ChunkRange,
) -> ChunkRow {
    ChunkRow {
        job_id: state.job_id.clone(),
        tenant: state.tenant.clone(),
        index,
        input_start: chunk_range.start,
        input_end: chunk_range.end,
        first_item: chunk_range.first_item,
        items: chunk_range.items,
        repeat: job.repeat,
        service: service.to_owned(),
        deadline_unix_s: state.deadline_unix_s,
        ..ChunkRow::default()
    }
}

/// Starts the job once all chunk rows are written.
async fn start_job(
    runner: &Runner,
    split: &Versioned<SplitRow>,
    read: Versioned<JobRow>,
    checked: &CheckedInput,
) -> Result<(), StoreError> {
    let mut row = read.row;
    let mut state = row.state.take().unwrap_or_default();
    state.set_phase(JobPhase::JobInProgress);
    state.items_total = checked.items;
    row.chunks = u32::try_from(checked.chunks.len()).unwrap_or(u32::MAX);
    row.services = vec![checked.service.clone()];
    let active = ActiveJobRow {
        job_id: state.job_id.clone(),
        tenant: state.tenant.clone(),
        service: checked.service.clone(),
        deadline_unix_s: state.deadline_unix_s,
        repeat: row.repeat,
        cancelled: false,
        items: checked.items,
        chunks: row.chunks,
    };
    row.state = Some(state);
    finish_split(runner, split, (row, read.revision), Some(active)).await
}

/// Fails the job with the errors in its input.
async fn fail_job(
    runner: &Runner,
    split: &Versioned<SplitRow>,
    read: Versioned<JobRow>,
    errors: Vec<JobError>,
) -> Result<(), StoreError> {
    let mut row = read.row;
    let mut state = row.state.take().unwrap_or_default();
    state.set_phase(JobPhase::JobFailed);
    state.finished_unix_s = runner.now_unix_s();
    state.errors = errors;
    let job = state.job_id.clone();
    row.state = Some(state);
    finish_split(runner, split, (row, read.revision), None).await?;
    let cause = "the input file has errors";
    runner.record_decision(DecisionKind::JobChanged, &job, cause, "failed".to_owned());
    Ok(())
}

/// Leaves the job in the planned phase until it is confirmed.
async fn leave_planned(
    runner: &Runner,
    split: &Versioned<SplitRow>,
    read: Versioned<JobRow>,
    checked: &CheckedInput,
) -> Result<(), StoreError> {
    let mut row = read.row;
    let mut state = row.state.take().unwrap_or_default();
    state.set_phase(JobPhase::JobPlanned);
    state.items_total = checked.items;
    row.services = vec![checked.service.clone()];
    let job = state.job_id.clone();
    row.state = Some(state);
    finish_split(runner, split, (row, read.revision), None).await?;
    let cause = "no standing approval covers its items";
    runner.record_decision(DecisionKind::JobChanged, &job, cause, "planned".to_owned());
    Ok(())
}

/// Writes the new job row and deletes the split row. Writes the active-job row if `active` is given
/// and deletes it otherwise.
async fn finish_split(
    runner: &Runner,
    split: &Versioned<SplitRow>,
    (row, revision): (JobRow, u64),
    active: Option<ActiveJobRow>,
) -> Result<(), StoreError> {
    let job = JobId::from(&split.row.job_id);
    let key = keys::job(&split.row.tenant.as_str().into(), &job);
    let split_key = keys::split_job(&job);
    let active_key = keys::active_job(&job);
    let transaction = Transaction::default()
        .expect(split_key.as_str(), Expect::Revision(split.revision))
        .expect(key.as_str(), Expect::Revision(revision))
        .put(key.as_str(), row.encode_to_vec())
        .delete(split_key);
    let transaction = match active {
        Some(active) => transaction.put(active_key, active.encode_to_vec()),
        None => transaction.delete(active_key),
    };
    store::transact_resolved(&*runner.platform.tables, &transaction, &key, |value| {
        JobRow::decode(value.clone()).is_ok_and(|written| written == row)
    })
    .await?;
    Ok(())
}

/// Deletes the split row of a job that no longer needs to be split.
async fn delete_split(runner: &Runner, split: &Versioned<SplitRow>) -> Result<(), StoreError> {
    let key = keys::split_job(&split.row.job_id.as_str().into());
    let transaction = Transaction::default()
        .expect(key.as_str(), Expect::Revision(split.revision))
        .delete(key.as_str());
    store::transact_resolved(&*runner.platform.tables, &transaction, &key, |_| false).await?;
    Ok(())
}

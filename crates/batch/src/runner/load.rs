//! Loads claimed chunks: reads their input lines and queues their items.

use std::rc::Rc;

use dappleyard_decide::chunks;
use dappleyard_store::{ObjectStore, StoreError};
use dappleyard_wire::ids::JobId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ChunkRow, JobRow, PartialLine, PartialResult};
use prost::Message;

use super::state::JobInput;
use super::work::{HeldChunk, ResultLine};
use super::{Runner, commit};
use crate::input::{Item, PartIndex, parse_item};
use crate::store::{self, Versioned, sleep_jittered};

/// Maximum size of a partial result that is read, bytes.
const MAXIMUM_PARTIAL_BYTES: u64 = 1 << 32;

/// Loads a claimed chunk in a new task.
pub fn spawn_load(runner: &Rc<Runner>, job: JobId, row: Versioned<ChunkRow>) {
    let loader = runner.clone();
    runner.spawn(async move {
        let chunk_id = (job.to_string(), row.row.index);
        load_and_queue(&loader, job, row).await;
        loader.state.borrow_mut().claiming.remove(&chunk_id);
    });
}

/// Loads the input of a claimed chunk and queues its items. Store errors are retried, except for
/// invalid data. A chunk whose job is cancelled or missing is dropped.
async fn load_and_queue(runner: &Rc<Runner>, job: JobId, row: Versioned<ChunkRow>) {
    let loaded = loop {
        match load(runner, &job, &row.row).await {
            Ok(Some(loaded)) => break loaded,
            Ok(None) => return,
            Err(error @ StoreError::Invalid { .. }) => {
                tracing::warn!(%error, %job, "dropped a chunk with invalid input");
                return;
            }
            Err(error) => {
                tracing::debug!(%error, %job, "failed to read the input of a chunk; retrying");
                sleep_jittered(runner.settings.poll_interval_ms).await;
            }
        }
    };
    if runner.tables.cancelled_jobs.lock().contains(job.as_str()) {
        return;
    }
    let chunk = Rc::new(HeldChunk::new(job, row, loaded.items));
    for line in loaded.finished {
        restore_line(&chunk, line);
    }
    queue_items(runner, &chunk);
}

/// Restores the result line of an item that an earlier holder finished.
fn restore_line(chunk: &HeldChunk, line: PartialLine) {
    let mut lines = chunk.lines.borrow_mut();
    let Some(slot @ None) = lines.get_mut(line.index as usize) else {
        return;
    };
    *slot = Some(ResultLine {
        bytes: line.line,
        failed: line.failed,
    });
    chunk.remaining.set(chunk.remaining.get() - 1);
}

/// Input of a chunk and the results of earlier holders.
struct LoadedChunk {
    items: Vec<Item>,
    /// Result lines of items that an earlier holder finished.
    finished: Vec<PartialLine>,
}

/// Reads the items of a chunk; `None` if its job is cancelled or missing.
async fn load(
    runner: &Runner,
    job: &JobId,
    row: &ChunkRow,
) -> Result<Option<LoadedChunk>, StoreError> {
    let Some(input) = job_input(runner, job, &row.tenant).await? else {
        return Ok(None);
    };
    let objects = &*runner.platform.objects;
    let JobInput { endpoint, parts } = &*input;
    let bytes = parts
        .read_range(objects, row.input_start, row.input_end)
        .await?;
    let items: Vec<Item> = bytes
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.iter().all(u8::is_ascii_whitespace))
        .filter_map(|line| parse_item(line, endpoint).ok())
        .collect();
    match items.len() == row.items as usize {
        true => Ok(Some(LoadedChunk {
            items,
            finished: load_partial(objects, row).await?,
        })),
        false => Err(invalid(
            "number of valid input lines differs from the chunk row",
        )),
    }
}

/// Returns the location of a job's input, cached while the job is active; `None` if the job is
/// cancelled or missing. Later cancellations are detected by the feed or, at the latest, the
/// commit.
async fn job_input(
    runner: &Runner,
    job: &JobId,
    tenant: &str,
) -> Result<Option<Rc<JobInput>>, StoreError> {
    if let Some(input) = runner.state.borrow().inputs.get(job.as_str()) {
        return Ok(Some(input.clone()));
    }
    let key = keys::job(&tenant.into(), job);
    let read = store::read_row::<JobRow>(&*runner.platform.tables, &key).await?;
    let Some(row) = read.map(|read| read.row).filter(|row| !row.cancelled) else {
        return Ok(None);
    };
    let state = row.state.unwrap_or_default();
    let objects = &*runner.platform.objects;
    let parts = PartIndex::list(objects, tenant, &state.input_file_id).await?;
    let input = Rc::new(JobInput {
        endpoint: state.endpoint,
        parts,
    });
    let mut state = runner.state.borrow_mut();
    if state.jobs.contains_key(job.as_str()) {
        state.inputs.insert(job.to_string(), input.clone());
    }
    Ok(Some(input))
}

/// Reads the result lines of an earlier holder. If the object is missing or invalid, the items are
/// treated as unfinished: repeatable ones run again, and the marks in the chunk row keep the others
/// from a second run.
async fn load_partial(
    objects: &dyn ObjectStore,
    row: &ChunkRow,
) -> Result<Vec<PartialLine>, StoreError> {
    if row.partial_object.is_empty() {
        return Ok(Vec::new());
    }
    let data = objects
        .read(&row.partial_object, 0, MAXIMUM_PARTIAL_BYTES)
        .await?;
    let result = data.and_then(|data| PartialResult::decode(data.bytes).ok());
    Ok(result.unwrap_or_default().lines)
}

fn invalid(reason: &str) -> StoreError {
    StoreError::Invalid {
        reason: reason.to_owned(),
    }
}

/// Queues the unfinished items of a chunk. Those that must not be started again fail at once.
fn queue_items(runner: &Rc<Runner>, chunk: &Rc<HeldChunk>) {
    let row = chunk.row.borrow().row.clone();
    let open: Vec<u32> = {
        let lines = chunk.lines.borrow();
        let open = (0..row.items).filter(|index| lines[*index as usize].is_none());
        open.collect()
    };
    let (startable, unknown): (Vec<u32>, Vec<u32>) = open
        .into_iter()
        .partition(|index| chunks::may_start_item(&row, *index));
    let nothing_left = startable.is_empty() && unknown.is_empty();
    runner.state.borrow_mut().hold(chunk, startable.into_iter());
    for index in unknown {
        runner.record_unknown(chunk, index);
    }
    if nothing_left {
        runner.spawn(commit::run(runner.clone(), chunk.clone()));
    }
    runner.dispatch_wake.notify_one();
}

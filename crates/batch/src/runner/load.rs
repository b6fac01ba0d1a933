//! Loading of a claimed chunk: its lines are read and its items queued.

use std::rc::Rc;

use dappleyard_decide::chunks;
use dappleyard_store::{ObjectStore, StoreError};
use dappleyard_wire::ids::JobId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ChunkRow, JobRow, PartialLine, PartialResult};
use prost::Message;

use super::state::JobInput;
use super::work::{HeldChunk, ItemLine};
use super::{Runner, commit};
use crate::input::{Item, PartIndex, parse};
use crate::store::{self, Versioned, wait_jittered};

/// Largest object with finished lines, bytes.
const LARGEST_PARTIAL_BYTES: u64 = 1 << 32;

/// Loads a claimed chunk in a task of its own.
pub fn begin(runner: &Rc<Runner>, job: JobId, row: Versioned<ChunkRow>) {
    let loader = runner.clone();
    runner.spawn(async move {
        let place = (job.to_string(), row.row.index);
        hold(&loader, job, row).await;
        loader.state.borrow_mut().claiming.remove(&place);
    });
}

/// Loads the input of a claimed chunk and queues its items. While the store does not answer it is
/// tried again. A chunk whose job is cancelled or gone is dropped; the janitor removes its rows.
async fn hold(runner: &Rc<Runner>, job: JobId, row: Versioned<ChunkRow>) {
    let loaded = loop {
        match load(runner, &job, &row.row).await {
            Ok(Some(loaded)) => break loaded,
            Ok(None) => return,
            Err(error @ StoreError::Invalid { .. }) => {
                tracing::warn!(%error, %job, "a chunk was not loaded");
                return;
            }
            Err(error) => {
                tracing::debug!(%error, %job, "the input of a chunk was not read");
                wait_jittered(runner.settings.poll_interval_ms).await;
            }
        }
    };
    if runner.tables.cancelled_jobs.lock().contains(job.as_str()) {
        return;
    }
    let chunk = Rc::new(HeldChunk::new(job, row, loaded.items));
    for line in loaded.finished {
        take_finished(&chunk, line);
    }
    queue(runner, &chunk);
}

/// Takes the line of an item that an earlier holder finished.
fn take_finished(chunk: &HeldChunk, line: PartialLine) {
    let mut lines = chunk.lines.borrow_mut();
    let Some(slot @ None) = lines.get_mut(line.index as usize) else {
        return;
    };
    *slot = Some(ItemLine {
        bytes: line.line,
        failed: line.failed,
    });
    chunk.remaining.set(chunk.remaining.get() - 1);
}

/// What was read of a chunk.
struct Loaded {
    items: Vec<Item>,
    /// Lines of items that an earlier holder finished.
    finished: Vec<PartialLine>,
}

/// Reads a chunk's items; `None` when its job is cancelled or gone.
async fn load(runner: &Runner, job: &JobId, row: &ChunkRow) -> Result<Option<Loaded>, StoreError> {
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
        .filter_map(|line| parse(line, endpoint).ok())
        .collect();
    match items.len() == row.items as usize {
        true => Ok(Some(Loaded {
            items,
            finished: load_partial(objects, row).await?,
        })),
        false => Err(invalid("the input does not hold the chunk's items")),
    }
}

/// Where the input of a job is, remembered while the job is active; `None` when the job is cancelled
/// or gone. A cancel that comes later is seen by the feed and, at the latest, by the commit.
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

/// Reads what an earlier holder finished. An object that is gone costs repeated work only, where
/// items may repeat; where they may not, they are known to have been started.
async fn load_partial(
    objects: &dyn ObjectStore,
    row: &ChunkRow,
) -> Result<Vec<PartialLine>, StoreError> {
    if row.partial_object.is_empty() {
        return Ok(Vec::new());
    }
    let data = objects
        .read(&row.partial_object, 0, LARGEST_PARTIAL_BYTES)
        .await?;
    let result = data.and_then(|data| PartialResult::decode(data.bytes).ok());
    Ok(result.unwrap_or_default().lines)
}

fn invalid(reason: &str) -> StoreError {
    StoreError::Invalid {
        reason: reason.to_owned(),
    }
}

/// Queues the items of a chunk; those that may not be started settle at once.
fn queue(runner: &Rc<Runner>, chunk: &Rc<HeldChunk>) {
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
        runner.settle_unknown(chunk, index);
    }
    if nothing_left {
        runner.spawn(commit::run(runner.clone(), chunk.clone()));
    }
    runner.dispatch_wake.notify_one();
}

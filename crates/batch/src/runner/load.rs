//! Loading of a claimed chunk: its lines are read and its items queued.

use std::rc::Rc;

use dappleyard_decide::chunks;
use dappleyard_platform::StoreError;
use dappleyard_wire::ids::JobId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ChunkRow, JobRow};

use super::Runner;
use super::work::HeldChunk;
use crate::input::{Item, PartIndex, parse};
use crate::store::{self, Versioned, wait_jittered};

/// Loads the input of a claimed chunk and queues its items. While the store does not answer it is
/// tried again. A chunk whose job is cancelled or gone is dropped; the janitor removes its rows.
pub async fn hold(runner: &Rc<Runner>, job: JobId, row: Versioned<ChunkRow>) {
    let items = loop {
        match load(runner, &job, &row.row).await {
            Ok(Some(items)) => break items,
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
    let chunk = Rc::new(HeldChunk::new(job, row, items));
    queue(runner, &chunk);
}

/// Reads a chunk's items; `None` when its job is cancelled or gone.
async fn load(
    runner: &Runner,
    job: &JobId,
    row: &ChunkRow,
) -> Result<Option<Vec<Item>>, StoreError> {
    let key = keys::job(&row.tenant.as_str().into(), job);
    let read = store::read_row::<JobRow>(&*runner.platform.tables, &key).await?;
    let Some(job_row) = read.map(|read| read.row).filter(|row| !row.cancelled) else {
        return Ok(None);
    };
    let state = job_row.state.unwrap_or_default();
    let objects = &*runner.platform.objects;
    let parts = PartIndex::list(objects, &row.tenant, &state.input_file_id).await?;
    let bytes = parts
        .read_range(objects, row.input_start, row.input_end)
        .await?;
    let items: Vec<Item> = bytes
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.iter().all(u8::is_ascii_whitespace))
        .filter_map(|line| parse(line, &state.endpoint).ok())
        .collect();
    match items.len() == row.items as usize {
        true => Ok(Some(items)),
        false => Err(invalid("the input does not hold the chunk's items")),
    }
}

fn invalid(reason: &str) -> StoreError {
    StoreError::Invalid {
        reason: reason.to_owned(),
    }
}

/// Queues the items of a chunk; those that may not be started settle at once.
fn queue(runner: &Rc<Runner>, chunk: &Rc<HeldChunk>) {
    let row = chunk.row.borrow().row.clone();
    let startable = |index: &u32| chunks::may_start_item(&row, *index);
    let queued = (0..row.items).filter(startable);
    runner.state.borrow_mut().hold(chunk, queued);
    for index in (0..row.items).filter(|index| !startable(index)) {
        runner.settle_unknown(chunk, index);
    }
    runner.dispatch_wake.notify_one();
}

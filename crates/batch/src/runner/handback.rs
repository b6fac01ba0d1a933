//! Planned stop: held chunks are given back, so that other nodes go on with them. What is finished of
//! a chunk goes into an object that its next holder reads.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_platform::StoreError;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{PartialLine, PartialResult};
use prost::Message;

use super::Runner;
use super::work::{HeldChunk, ItemLine, StopReason};
use crate::store::wait_jittered;

/// Time between looks while commits end, milliseconds.
const LOOK_MS: u64 = 20;
/// Wait between attempts while the store does not answer, milliseconds.
const STORE_WAIT_MS: u64 = 200;

/// How long items that run are waited for, milliseconds; those that may repeat run again elsewhere
/// when they take longer.
const FINISH_MS: u64 = 3_000;

/// Gives back all chunks. No item is started any more; chunks whose items are all settled are
/// committed instead.
pub async fn run(runner: &Rc<Runner>) {
    let begun = runner.tables.clock.now();
    loop {
        let waited = runner.tables.clock.now().since(begun) > FINISH_MS;
        let held: Vec<Rc<HeldChunk>> = runner.state.borrow().held.values().cloned().collect();
        if held.is_empty() && runner.state.borrow().claiming.is_empty() {
            return;
        }
        for chunk in held {
            let running = runner.state.borrow().runs(&chunk);
            if may_hand_back(&chunk) && (!running || waited && !chunk.once) {
                hand_back(runner, &chunk).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// A chunk that is being committed is left to its commit.
fn may_hand_back(chunk: &HeldChunk) -> bool {
    chunk.remaining.get() > 0 && !chunk.is_stopped()
}

async fn hand_back(runner: &Rc<Runner>, chunk: &Rc<HeldChunk>) {
    chunk.stop(StopReason::HandedBack);
    runner.dispatch_wake.notify_one();
    while let Err(error) = reopen(runner, chunk).await {
        tracing::debug!(%error, job = %chunk.job, "a chunk waits to be handed back");
        wait_jittered(STORE_WAIT_MS).await;
    }
    runner.metrics.chunk("handed_back");
    runner.forget(&chunk.place());
}

async fn reopen(runner: &Runner, chunk: &HeldChunk) -> Result<(), StoreError> {
    let partial = write_partial(runner, chunk).await?;
    let read = chunk.row.borrow().clone();
    runner.reopen(&chunk.job, read, false, partial).await?;
    Ok(())
}

/// Writes what is finished; `None` when nothing is. The object's name belongs to this epoch alone.
async fn write_partial(runner: &Runner, chunk: &HeldChunk) -> Result<Option<String>, StoreError> {
    let result = PartialResult {
        lines: finished_lines(&chunk.lines.borrow()),
    };
    if result.lines.is_empty() {
        return Ok(None);
    }
    let name = keys::partial_object(&chunk.job, chunk.index, chunk.epoch);
    let bytes = result.encode_to_vec().into();
    match runner.platform.objects.create(&name, bytes).await {
        Ok(()) | Err(StoreError::Conflict { .. }) => Ok(Some(name)),
        Err(error) => Err(error),
    }
}

fn finished_lines(lines: &[Option<ItemLine>]) -> Vec<PartialLine> {
    let numbered = lines.iter().enumerate();
    let finished = numbered.filter_map(|(index, line)| {
        line.as_ref().map(|line| PartialLine {
            index: u32::try_from(index).unwrap_or(u32::MAX),
            failed: line.failed,
            line: line.bytes.clone(),
        })
    });
    finished.collect()
}

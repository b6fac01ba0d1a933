//! Held chunks are given back, so that other nodes go on with them: all at a planned stop, and those
//! of a service when all of its servers here are closed. What is finished of a chunk goes into an
//! object that its next holder reads.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::time::Millis;
use dappleyard_store::StoreError;
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

/// Time between looks for services without an open server, milliseconds.
const WATCH_MS: u64 = 250;

/// Time for which all servers of a service must have been closed, milliseconds.
const CLOSED_MS: u64 = 1_000;

/// Gives back the chunks of services of which this node has had no open server for a time, for ever.
pub async fn watch(runner: Rc<Runner>) {
    let mut closed_since: BTreeMap<String, Millis> = BTreeMap::new();
    loop {
        tokio::time::sleep(Duration::from_millis(WATCH_MS)).await;
        let now = runner.tables.clock.now();
        let held: Vec<Rc<HeldChunk>> = runner.state.borrow().held.values().cloned().collect();
        let open = open_services(&runner);
        closed_since.retain(|service, _| !open.contains(service));
        for chunk in held.iter().filter(|chunk| !open.contains(&chunk.service)) {
            let since = *closed_since.entry(chunk.service.clone()).or_insert(now);
            let running = runner.state.borrow().runs(chunk);
            if now.since(since) >= CLOSED_MS && may_hand_back(chunk) && !running {
                hand_back(&runner, chunk).await;
            }
        }
    }
}

/// Services of which a server here may be sent batch work.
fn open_services(runner: &Runner) -> BTreeSet<String> {
    let configuration = runner.tables.configuration.current();
    runner.tables.servers.read(|servers| {
        servers
            .values()
            .filter(|server| server.takes_new_work() && !configuration.drains(&server.entry))
            .map(|server| server.entry.service.to_string())
            .collect()
    })
}

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

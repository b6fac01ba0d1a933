//! Hands held chunks back so that other nodes can continue them: all of them on a graceful
//! shutdown, and those of a service once all its servers on this node are closed to new work.
//! Finished result lines are written to an object that the next holder reads.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::time::Millis;
use dappleyard_store::StoreError;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{PartialLine, PartialResult};
use prost::Message;

use super::Runner;
use super::work::{HeldChunk, ResultLine, StopReason};
use crate::store::sleep_jittered;

/// Interval of checks for finished chunks during a drain, milliseconds.
const DRAIN_POLL_MS: u64 = 20;
/// Wait between attempts after a store error, milliseconds, jittered.
const STORE_RETRY_MS: u64 = 200;

/// Time that a drain waits for running items, milliseconds. Repeatable items that take longer run
/// again on another node.
const DRAIN_WAIT_MS: u64 = 3_000;

/// Interval of checks for services without an open server, milliseconds.
const CLOSED_POLL_MS: u64 = 250;

/// Time that all servers of a service must be closed before its chunks are handed back,
/// milliseconds.
const CLOSED_GRACE_MS: u64 = 1_000;

/// Hands back the chunks of services without an open server on this node; never returns.
pub async fn watch(runner: Rc<Runner>) {
    let mut closed_since: BTreeMap<String, Millis> = BTreeMap::new();
    loop {
        tokio::time::sleep(Duration::from_millis(CLOSED_POLL_MS)).await;
        let now = runner.tables.clock.now();
        let held: Vec<Rc<HeldChunk>> = runner.state.borrow().held.values().cloned().collect();
        let open = open_services(&runner);
        closed_since.retain(|service, _| !open.contains(service));
        for chunk in held.iter().filter(|chunk| !open.contains(&chunk.service)) {
            let since = *closed_since.entry(chunk.service.clone()).or_insert(now);
            let running = runner.state.borrow().is_running(chunk);
            if now.since(since) >= CLOSED_GRACE_MS && may_hand_back(chunk) && !running {
                hand_back(&runner, chunk).await;
            }
        }
    }
}

/// Services with a server on this node that takes new batch work.
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

/// Hands back all chunks. Chunks whose items all have a result are committed instead.
pub async fn run(runner: &Rc<Runner>) {
    let started_at = runner.tables.clock.now();
    loop {
        let wait_over = runner.tables.clock.now().since(started_at) > DRAIN_WAIT_MS;
        let held: Vec<Rc<HeldChunk>> = runner.state.borrow().held.values().cloned().collect();
        if held.is_empty() && runner.state.borrow().claiming.is_empty() {
            return;
        }
        for chunk in held {
            let running = runner.state.borrow().is_running(&chunk);
            if may_hand_back(&chunk) && (!running || wait_over && !chunk.at_most_once) {
                hand_back(runner, &chunk).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
}

/// Whether a chunk may be handed back; one that is being committed may not.
fn may_hand_back(chunk: &HeldChunk) -> bool {
    chunk.remaining.get() > 0 && !chunk.is_stopped()
}

async fn hand_back(runner: &Rc<Runner>, chunk: &Rc<HeldChunk>) {
    chunk.stop(StopReason::HandedBack);
    runner.dispatch_wake.notify_one();
    while let Err(error) = reopen(runner, chunk).await {
        tracing::debug!(%error, job = %chunk.job, "failed to hand back a chunk; retrying");
        sleep_jittered(STORE_RETRY_MS).await;
    }
    runner.metrics.count_chunk("handed_back");
    runner.remove_chunk(&chunk.chunk_id());
}

async fn reopen(runner: &Runner, chunk: &HeldChunk) -> Result<(), StoreError> {
    let partial = write_partial(runner, chunk).await?;
    let read = chunk.row.borrow().clone();
    runner.reopen(&chunk.job, read, false, partial).await?;
    Ok(())
}

/// Writes the finished result lines to an object and returns its name; `None` if there are none.
/// The name is unique to this epoch, so an existing object was written by an earlier attempt.
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

fn finished_lines(lines: &[Option<ResultLine>]) -> Vec<PartialLine> {
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

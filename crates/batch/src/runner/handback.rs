//! Planned stop: held chunks are given back, so that other nodes go on with them.

use std::rc::Rc;
use std::time::Duration;

use super::Runner;
use super::work::{HeldChunk, StopReason};
use crate::store::wait_jittered;

/// Time between looks while commits end, milliseconds.
const LOOK_MS: u64 = 20;
/// Wait between attempts while the store does not answer, milliseconds.
const STORE_WAIT_MS: u64 = 200;

/// Gives back all chunks. Chunks whose items are all settled are committed instead.
pub async fn run(runner: &Rc<Runner>) {
    loop {
        let held: Vec<Rc<HeldChunk>> = runner.state.borrow().held.values().cloned().collect();
        if held.is_empty() {
            return;
        }
        for chunk in held {
            if may_hand_back(&chunk) {
                hand_back(runner, &chunk).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// A chunk that is being committed is left to its commit, and one whose items must not repeat ends
/// what was started.
fn may_hand_back(chunk: &HeldChunk) -> bool {
    let started = chunk.row.borrow().row.started_items != 0;
    chunk.remaining.get() > 0 && !(chunk.once && started)
}

async fn hand_back(runner: &Rc<Runner>, chunk: &Rc<HeldChunk>) {
    chunk.stop(StopReason::HandedBack);
    runner.dispatch_wake.notify_one();
    let read = chunk.row.borrow().clone();
    while let Err(error) = runner.reopen(&chunk.job, read.clone(), false).await {
        tracing::debug!(%error, job = %chunk.job, "a chunk waits to be handed back");
        wait_jittered(STORE_WAIT_MS).await;
    }
    runner.metrics.chunk("handed_back");
    runner.forget(&chunk.place());
}

//! Admission of requests to a process, which a planned stop closes.
//!
//! A planned stop has three phases, the same for nodes and sidecars. While it drains, requests are
//! served and callers are told to leave. Once the gate is closed, no request can begin; later ones
//! are refused as not run. The process ends when every answer has been written, or at its stop bound.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Bit of the state that is set once the gate is closed. The others count requests, so that one
/// atomic operation decides whether a request begins and counts it.
const CLOSED: usize = 1 << (usize::BITS - 1);

/// Counts requests in progress, and admits none once it is closed.
#[derive(Debug, Default)]
pub struct RequestGate {
    state: AtomicUsize,
    draining: AtomicBool,
    idle: Notify,
}

impl RequestGate {
    pub fn new() -> Arc<RequestGate> {
        Arc::default()
    }

    /// Counts a request; `None` once the gate is closed.
    pub fn enter(self: &Arc<Self>) -> Option<RequestGuard> {
        let count = |state| (state & CLOSED == 0).then_some(state + 1);
        let entered = self
            .state
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, count);
        entered.ok().map(|_| RequestGuard(self.clone()))
    }

    /// Marks the process as leaving; requests are still admitted.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Admits no further request.
    pub fn close(&self) {
        self.state.fetch_or(CLOSED, Ordering::AcqRel);
    }

    /// Number of requests in progress and of parts of their answers that are not yet written.
    pub fn in_progress(&self) -> usize {
        self.state.load(Ordering::Acquire) & !CLOSED
    }

    /// Waits until no request is in progress. That is final only once the gate is closed.
    pub async fn wait_idle(&self) {
        loop {
            let mut idle = std::pin::pin!(self.idle.notified());
            idle.as_mut().enable();
            if self.in_progress() == 0 {
                return;
            }
            idle.await;
        }
    }
}

/// A request in progress, or a part of its answer. Clones are counted on their own.
#[derive(Debug)]
pub struct RequestGuard(Arc<RequestGate>);

impl Clone for RequestGuard {
    fn clone(&self) -> Self {
        self.0.state.fetch_add(1, Ordering::AcqRel);
        RequestGuard(self.0.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let before = self.0.state.fetch_sub(1, Ordering::AcqRel);
        if before & !CLOSED == 1 {
            self.0.idle.notify_waiters();
        }
    }
}

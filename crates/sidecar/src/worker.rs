//! What the handlers of one worker thread share.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use dappleyard_decide::retry::RetryBudget;
use dappleyard_settings::SidecarSettings;
use dappleyard_wire::{ErrorKind, Failure};
use parking_lot::Mutex;

use crate::links::Links;
use crate::metrics::Metrics;

/// Advice to a caller that came while all places were taken, milliseconds.
const OVERLOADED_RETRY_AFTER_MS: u32 = 200;

/// What all workers of a sidecar share.
pub struct Shared {
    /// Settings.
    pub settings: SidecarSettings,
    /// Metrics.
    pub metrics: Metrics,
    /// Retries as a share of first attempts.
    pub retries: Mutex<RetryBudget>,
    open_requests: AtomicUsize,
    uploads: AtomicUsize,
}

impl Shared {
    /// State of a sidecar that starts.
    pub fn new(settings: SidecarSettings, metrics: Metrics) -> Arc<Shared> {
        Arc::new(Shared {
            retries: Mutex::new(RetryBudget::new(settings.retry_budget_percent)),
            settings,
            metrics,
            open_requests: AtomicUsize::new(0),
            uploads: AtomicUsize::new(0),
        })
    }
}

/// What the handlers of one worker thread share.
pub struct Worker {
    /// Shared with the other workers.
    pub shared: Arc<Shared>,
    /// This worker's links.
    pub links: Rc<Links>,
}

impl Worker {
    /// Settings.
    pub fn settings(&self) -> &SidecarSettings {
        &self.shared.settings
    }

    /// Metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Takes a slot for a request; refused when all are taken.
    pub fn acquire_request_slot(&self) -> Result<RequestSlot, Failure> {
        RequestSlot::acquire(&self.shared, SlotKind::Request)
    }

    /// Takes a slot for an upload, which holds one part in memory; refused when all are taken.
    pub fn acquire_upload_slot(&self) -> Result<RequestSlot, Failure> {
        RequestSlot::acquire(&self.shared, SlotKind::Upload)
    }
}

/// What a slot is for; each kind has its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotKind {
    Request,
    Upload,
}

/// One slot among the requests served at once; given back when dropped.
pub struct RequestSlot {
    shared: Arc<Shared>,
    kind: SlotKind,
}

impl RequestSlot {
    fn acquire(shared: &Arc<Shared>, kind: SlotKind) -> Result<RequestSlot, Failure> {
        let slot = RequestSlot {
            shared: shared.clone(),
            kind,
        };
        let before = slot.count().fetch_add(1, Ordering::Relaxed);
        shared.metrics.open.inc();
        if before < slot.limit() {
            return Ok(slot);
        }
        let message = "this sidecar serves as many requests as it may; come back later";
        Err(Failure::not_run(ErrorKind::Overloaded, message).retry_after(OVERLOADED_RETRY_AFTER_MS))
    }

    fn count(&self) -> &AtomicUsize {
        match self.kind {
            SlotKind::Request => &self.shared.open_requests,
            SlotKind::Upload => &self.shared.uploads,
        }
    }

    fn limit(&self) -> usize {
        match self.kind {
            SlotKind::Request => self.shared.settings.maximum_requests,
            SlotKind::Upload => self.shared.settings.maximum_uploads,
        }
    }
}

impl Drop for RequestSlot {
    fn drop(&mut self) {
        self.count().fetch_sub(1, Ordering::Relaxed);
        self.shared.metrics.open.dec();
    }
}

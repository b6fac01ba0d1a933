//! State shared by the request handlers.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use dappleyard_budget::CallerLimits;
use dappleyard_callers::ConnectionGate;
use dappleyard_decide::retry::RetryBudget;
use dappleyard_model::EventLog;
use dappleyard_settings::SidecarSettings;
use dappleyard_transport::RequestGate;
use dappleyard_wire::{ErrorKind, Failure};
use parking_lot::Mutex;

use crate::links::Links;
use crate::metrics::Metrics;

/// Retry-after hint when the concurrency limit is reached.
const OVERLOADED_RETRY_AFTER_MS: u32 = 200;

/// State shared by all workers of the process.
pub struct Shared {
    pub settings: SidecarSettings,
    pub metrics: Metrics,
    /// Limits retries to a share of first attempts.
    pub retries: Mutex<RetryBudget>,
    /// Admits requests until the process closes.
    pub gate: Arc<RequestGate>,
    /// Connections of callers, and the memory for their messages.
    pub connections: Arc<ConnectionGate>,
    open_requests: AtomicUsize,
    uploads: AtomicUsize,
}

impl Shared {
    pub fn new(settings: SidecarSettings, metrics: Metrics) -> Arc<Shared> {
        let limits = CallerLimits::of_machine(settings.memory_mb, settings.maximum_descriptors);
        let log = Arc::new(EventLog::silent());
        Arc::new(Shared {
            connections: Arc::new(ConnectionGate::new(limits, log)),
            retries: Mutex::new(RetryBudget::new(settings.retry_budget_percent)),
            settings,
            metrics,
            gate: RequestGate::new(),
            open_requests: AtomicUsize::new(0),
            uploads: AtomicUsize::new(0),
        })
    }
}

/// State shared by the handlers of one worker thread.
pub struct Worker {
    pub shared: Arc<Shared>,
    pub links: Rc<Links>,
}

impl Worker {
    pub fn settings(&self) -> &SidecarSettings {
        &self.shared.settings
    }

    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Acquires a request slot, or fails when the limit is reached.
    pub fn acquire_request_slot(&self) -> Result<RequestSlot, Failure> {
        RequestSlot::acquire(&self.shared, SlotKind::Request)
    }

    /// Acquires an upload slot, or fails when the limit is reached. Uploads have their own limit
    /// because each buffers a part in memory.
    pub fn acquire_upload_slot(&self) -> Result<RequestSlot, Failure> {
        RequestSlot::acquire(&self.shared, SlotKind::Upload)
    }
}

/// Each kind has its own limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotKind {
    Request,
    Upload,
}

/// Permit for one concurrent request or upload; released on drop.
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
        shared.metrics.open_requests.inc();
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
        self.shared.metrics.open_requests.dec();
    }
}

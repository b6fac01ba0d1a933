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
const FULL_RETRY_AFTER_MS: u32 = 200;

/// What all workers of a sidecar share.
pub struct Shared {
    /// Settings.
    pub settings: SidecarSettings,
    /// Metrics.
    pub metrics: Metrics,
    /// Retries as a share of first attempts.
    pub retries: Mutex<RetryBudget>,
    open: AtomicUsize,
    uploads: AtomicUsize,
}

impl Shared {
    /// State of a sidecar that starts.
    pub fn new(settings: SidecarSettings, metrics: Metrics) -> Arc<Shared> {
        Arc::new(Shared {
            retries: Mutex::new(RetryBudget::new(settings.retry_budget_percent)),
            settings,
            metrics,
            open: AtomicUsize::new(0),
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

    /// Takes a place for a request; refused when all are taken.
    pub fn enter(&self) -> Result<OpenRequest, Failure> {
        OpenRequest::take(&self.shared, Kind::Request)
    }

    /// Takes a place for an upload, which holds one part in memory; refused when all are taken.
    pub fn enter_upload(&self) -> Result<OpenRequest, Failure> {
        OpenRequest::take(&self.shared, Kind::Upload)
    }
}

/// What a place is for; each kind has its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Request,
    Upload,
}

/// One place among the requests served at once; given back when dropped.
pub struct OpenRequest {
    shared: Arc<Shared>,
    kind: Kind,
}

impl OpenRequest {
    fn take(shared: &Arc<Shared>, kind: Kind) -> Result<OpenRequest, Failure> {
        let place = OpenRequest {
            shared: shared.clone(),
            kind,
        };
        let before = place.count().fetch_add(1, Ordering::Relaxed);
        shared.metrics.open.inc();
        if before < place.bound() {
            return Ok(place);
        }
        let message = "this sidecar serves as many requests as it may; come back later";
        Err(Failure::not_run(ErrorKind::Overloaded, message).retry_after(FULL_RETRY_AFTER_MS))
    }

    fn count(&self) -> &AtomicUsize {
        match self.kind {
            Kind::Request => &self.shared.open,
            Kind::Upload => &self.shared.uploads,
        }
    }

    fn bound(&self) -> usize {
        match self.kind {
            Kind::Request => self.shared.settings.maximum_requests,
            Kind::Upload => self.shared.settings.maximum_uploads,
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.count().fetch_sub(1, Ordering::Relaxed);
        self.shared.metrics.open.dec();
    }
}

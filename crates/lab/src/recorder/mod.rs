//! Records what callers received and what happened to the fleet. The invariants are checked against
//! these observations and the records of the stand-ins.
//!
//! All times are offsets from the start of the run.

mod events;
mod jobs;
mod online;

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::Serialize;

pub use events::{
    ConfigurationAccepted, Drain, Event, FaultRecord, PlannedStop, RevisionSample, Unavailable,
};
pub use jobs::{CancelRecord, ItemFinding, JobRecord, JobResults};
pub use online::{OnlineEnd, OnlineRecord, Refusal};

#[derive(Debug, Clone, Copy)]
pub struct RunClock {
    started: Instant,
}

impl RunClock {
    pub fn start() -> RunClock {
        RunClock {
            started: Instant::now(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Converts an offset to an instant.
    pub fn instant(&self, at: Duration) -> Instant {
        self.started + at
    }

    /// Converts an instant to an offset; zero if it is before the start.
    pub fn offset(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.started)
    }
}

/// Observations of a run.
#[derive(Debug, Default, Serialize)]
pub struct Observations {
    /// Finished online requests.
    pub online: Vec<OnlineRecord>,
    /// Jobs, added when their caller finishes.
    pub jobs: Vec<JobRecord>,
    pub events: Vec<Event>,
    /// Samples of the revision on nodes.
    pub revisions: Vec<RevisionSample>,
}

/// Collects the observations of a run; shared by callers, faults and samplers.
#[derive(Debug, Clone)]
pub struct Recorder {
    pub clock: RunClock,
    observations: Arc<Mutex<Observations>>,
}

impl Recorder {
    pub fn new(clock: RunClock) -> Recorder {
        Recorder {
            clock,
            observations: Arc::default(),
        }
    }

    /// Adds a finished online request.
    pub fn add_online(&self, record: OnlineRecord) {
        self.observations.lock().online.push(record);
    }

    /// Adds a job whose caller has finished.
    pub fn add_job(&self, record: JobRecord) {
        self.observations.lock().jobs.push(record);
    }

    pub fn add_event(&self, event: Event) {
        self.observations.lock().events.push(event);
    }

    pub fn add_revision(&self, sample: RevisionSample) {
        self.observations.lock().revisions.push(sample);
    }

    pub fn read<T>(&self, reader: impl FnOnce(&Observations) -> T) -> T {
        reader(&self.observations.lock())
    }

    /// Takes all observations, leaving the recorder empty.
    pub fn take(&self) -> Observations {
        std::mem::take(&mut self.observations.lock())
    }
}

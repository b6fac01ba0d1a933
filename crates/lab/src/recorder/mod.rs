//! What callers received, and what was done to the fleet: the only evidence, besides the stand-ins'
//! own records, that the invariants are judged from.
//!
//! All times are offsets from the start of the run, on one clock.

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
    /// Starts the clock.
    pub fn start() -> RunClock {
        RunClock {
            started: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The same time on the process's clock.
    pub fn instant(&self, at: Duration) -> Instant {
        self.started + at
    }

    /// An instant of the process's clock as an offset; zero when it is before the start.
    pub fn offset(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.started)
    }
}

/// All observations of a run.
#[derive(Debug, Default, Serialize)]
pub struct Observations {
    /// Online requests that have ended.
    pub online: Vec<OnlineRecord>,
    /// Jobs, each once, when they have ended or the run has.
    pub jobs: Vec<JobRecord>,
    /// What was done to the fleet.
    pub events: Vec<Event>,
    /// Revisions seen in force on nodes.
    pub revisions: Vec<RevisionSample>,
}

/// The recorder of a run, shared by callers, faults and samplers.
#[derive(Debug, Clone)]
pub struct Recorder {
    /// Clock of the run.
    pub clock: RunClock,
    observations: Arc<Mutex<Observations>>,
}

impl Recorder {
    /// An empty recorder.
    pub fn new(clock: RunClock) -> Recorder {
        Recorder {
            clock,
            observations: Arc::default(),
        }
    }

    /// Adds an online request that has ended.
    pub fn add_online(&self, record: OnlineRecord) {
        self.observations.lock().online.push(record);
    }

    /// Adds a job that has ended.
    pub fn add_job(&self, record: JobRecord) {
        self.observations.lock().jobs.push(record);
    }

    /// Adds something that was done to the fleet.
    pub fn add_event(&self, event: Event) {
        self.observations.lock().events.push(event);
    }

    /// Adds a sample of a node's revision.
    pub fn add_revision(&self, sample: RevisionSample) {
        self.observations.lock().revisions.push(sample);
    }

    /// Reads the observations.
    pub fn read<T>(&self, reader: impl FnOnce(&Observations) -> T) -> T {
        reader(&self.observations.lock())
    }

    /// Takes all observations at the end of the run.
    pub fn take(&self) -> Observations {
        std::mem::take(&mut self.observations.lock())
    }
}

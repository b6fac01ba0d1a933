//! The invariants: what must hold in every run, judged from what callers received and from what the
//! engines and the platform say happened, never from the nodes' own counters.
//!
//! Each module judges one side of the product; [`check_all`] gives all verdicts by name.

mod configuration;
mod jobs;
mod leaving;
mod requests;

use std::time::Duration;

use dappleyard_report::summary::{Verdict, Verdicts};
use serde::Serialize;

use crate::recorder::{Event, FaultRecord, Observations, PlannedStop, Unavailable};
use crate::scenario::Bounds;

/// Names of all invariants, as in summary.json.
pub const NAMES: [&str; 11] = [
    "exactly_once",
    "results_readable",
    "cancellation_effective",
    "online_priority",
    "stream_integrity",
    "truthful_rejection",
    "at_most_once",
    "drain_no_new_work",
    "graceful_shutdown",
    "config_convergence",
    "config_monotonic",
];

/// One attempt as an engine recorded it; times are offsets from the start of the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EngineRun {
    pub server: String,
    pub request_id: String,
    pub attempt: u32,
    /// Whether it was online work.
    pub online: bool,
    /// When the call arrived.
    pub arrived: Duration,
    /// When its first step began; `None` when nothing of it ran.
    pub started: Option<Duration>,
    /// When it ended.
    pub ended: Option<Duration>,
    /// Steps that it waited for its first one while batch work was served.
    pub steps_behind_batch: u32,
    /// It ended whole.
    pub finished: bool,
    /// First token of this attempt.
    pub from: u32,
    /// Token after the last one made.
    pub to: u32,
}

/// All evidence of a run.
#[derive(Debug, Default, Serialize)]
pub struct Evidence {
    /// What callers received and what was done to the fleet.
    pub observations: Observations,
    /// What the engines ran.
    pub runs: Vec<EngineRun>,
    /// Engine records that were dropped for lack of room: evidence is then incomplete.
    pub dropped_runs: u64,
    /// Bounds to check_all by.
    pub bounds: Bounds,
    /// End of the run.
    pub end: Duration,
}

impl Evidence {
    fn stops(&self) -> impl Iterator<Item = &PlannedStop> {
        self.observations
            .events
            .iter()
            .filter_map(|event| match event {
                Event::Stop(stop) => Some(stop),
                _ => None,
            })
    }

    fn faults(&self) -> impl Iterator<Item = &FaultRecord> {
        self.observations
            .events
            .iter()
            .filter_map(|event| match event {
                Event::Fault(fault) => Some(fault),
                _ => None,
            })
    }

    fn unavailable(&self) -> impl Iterator<Item = &Unavailable> {
        self.observations
            .events
            .iter()
            .filter_map(|event| match event {
                Event::Unavailable(unavailable) => Some(unavailable),
                _ => None,
            })
    }
}

/// Judges all invariants.
pub fn check_all(evidence: &Evidence) -> Verdicts {
    let verdicts = [
        jobs::exactly_once(evidence),
        jobs::results_readable(evidence),
        jobs::cancellation_effective(evidence),
        requests::online_priority(evidence),
        requests::stream_integrity(evidence),
        requests::truthful_rejection(evidence),
        requests::at_most_once(evidence),
        leaving::drain_no_new_work(evidence),
        leaving::graceful_shutdown(evidence),
        configuration::config_convergence(evidence),
        configuration::config_monotonic(evidence),
    ];
    NAMES
        .iter()
        .map(|name| (*name).to_owned())
        .zip(verdicts)
        .collect()
}

/// Names of invariants that were violated, and of those that were not checked at all.
pub fn failures(verdicts: &Verdicts) -> Vec<String> {
    verdicts
        .iter()
        .filter_map(|(name, verdict)| match verdict {
            Verdict { violated: 1.., .. } => Some(format!("{name}: {} violated", verdict.violated)),
            Verdict { checked: 0, .. } => Some(format!("{name}: not checked")),
            _ => None,
        })
        .collect()
}

/// Whether two spans of time share a moment.
fn overlap(one: (Duration, Duration), other: (Duration, Duration)) -> bool {
    one.0 <= other.1 && other.0 <= one.1
}

/// A time as shown in examples, seconds.
fn format_time(time: Duration) -> String {
    format!("{:.3}s", time.as_secs_f64())
}

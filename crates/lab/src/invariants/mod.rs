//! Invariants that must hold in every run. They are checked against what callers received and what
//! the engines and the platform recorded, never against the nodes' own counters.
//!
//! Each module checks one area; [`check_all`] returns all verdicts by name.

mod configuration;
mod jobs;
mod requests;
mod shutdown;

use std::time::Duration;

use dappleyard_report::summary::{Verdict, Verdicts};
use serde::Serialize;

use crate::recorder::{Event, FaultRecord, Observations, PlannedStop, Unavailable};
use crate::scenario::Bounds;

/// Invariant names, as in summary.json, in the order of [`check_all`].
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

/// An attempt as recorded by an engine; times are offsets from the start of the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EngineRun {
    pub server: String,
    pub request_id: String,
    pub attempt: u32,
    /// Online or batch work.
    pub online: bool,
    pub arrived: Duration,
    /// When its first step began; `None` if it never ran.
    pub started: Option<Duration>,
    pub ended: Option<Duration>,
    /// Steps that ran batch work while it waited for its first step.
    pub steps_behind_batch: u32,
    /// It ran to completion.
    pub finished: bool,
    /// Index of the first generated token.
    pub from: u32,
    /// Index after the last generated token.
    pub to: u32,
}

/// Everything the invariants are checked against.
#[derive(Debug, Default, Serialize)]
pub struct Evidence {
    /// Requests and jobs as seen by callers, and events of the fleet.
    pub observations: Observations,
    /// Attempts recorded by the engines.
    pub runs: Vec<EngineRun>,
    /// Engine records dropped for lack of space; if not 0, the evidence is incomplete.
    pub dropped_runs: u64,
    pub bounds: Bounds,
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

/// Checks all invariants.
pub fn check_all(evidence: &Evidence) -> Verdicts {
    let verdicts = [
        jobs::exactly_once(evidence),
        jobs::results_readable(evidence),
        jobs::cancellation_effective(evidence),
        requests::online_priority(evidence),
        requests::stream_integrity(evidence),
        requests::truthful_rejection(evidence),
        requests::at_most_once(evidence),
        shutdown::drain_no_new_work(evidence),
        shutdown::graceful_shutdown(evidence),
        configuration::config_convergence(evidence),
        configuration::config_monotonic(evidence),
    ];
    NAMES
        .iter()
        .map(|name| (*name).to_owned())
        .zip(verdicts)
        .collect()
}

/// Describes the invariants that were violated or never checked.
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

/// Whether two closed time intervals overlap.
fn overlap(one: (Duration, Duration), other: (Duration, Duration)) -> bool {
    one.0 <= other.1 && other.0 <= one.1
}

/// Formats a time for the examples of a verdict.
fn format_time(time: Duration) -> String {
    format!("{:.3}s", time.as_secs_f64())
}

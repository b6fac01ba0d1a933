//! Events of the fleet and samples of the revision on its nodes.

use std::time::Duration;

use serde::Serialize;

use crate::faults::FaultKind;

/// A fault that took place.
#[derive(Debug, Clone, Serialize)]
pub struct FaultRecord {
    pub kind: FaultKind,
    /// Affected node, server or part of the fleet.
    pub place: String,
    pub from: Duration,
    pub to: Duration,
}

/// A planned stop of a node.
#[derive(Debug, Clone, Serialize)]
pub struct PlannedStop {
    pub node: String,
    /// When the stop was requested.
    pub told: Duration,
    /// When the node had stopped.
    pub stopped: Duration,
    /// Longest allowed duration, from the node settings, milliseconds.
    pub bound_ms: u64,
}

/// A server that was drained or marked as leaving.
#[derive(Debug, Clone, Serialize)]
pub struct Drain {
    pub server: String,
    /// When the drain took effect.
    pub told: Duration,
    /// When it was undrained.
    pub taken_back: Duration,
}

/// An accepted configuration change.
#[derive(Debug, Clone, Serialize)]
pub struct ConfigurationAccepted {
    /// Keys of the changed rows.
    pub key: String,
    pub revision: u64,
    pub accepted: Duration,
}

/// An interval in which a node was unreachable, paused or not running.
#[derive(Debug, Clone, Serialize)]
pub struct Unavailable {
    pub node: String,
    pub from: Duration,
    pub to: Duration,
}

/// An event of the fleet.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    Fault(FaultRecord),
    /// A planned stop of a node.
    Stop(PlannedStop),
    /// A drain of a server.
    Drain(Drain),
    Configuration(ConfigurationAccepted),
    /// An unavailable node.
    Unavailable(Unavailable),
    /// Two operators confirmed conflicting plans concurrently.
    Race {
        at: Duration,
        /// Number of plans accepted.
        accepted: u32,
        /// Number of plans refused as conflicting.
        overtaken: u32,
        answers: String,
    },
    /// A planned action that could not be performed; makes the run partial.
    NotDone {
        what: String,
        reason: String,
        at: Duration,
    },
}

/// The configuration revision on a node at one time.
#[derive(Debug, Clone, Serialize)]
pub struct RevisionSample {
    pub node: String,
    /// Number of starts of the node so far.
    pub start: u32,
    pub at: Duration,
    pub revision: u64,
    /// The node accepts new work.
    pub ready: bool,
}

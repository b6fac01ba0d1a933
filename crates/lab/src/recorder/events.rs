//! What was done to the fleet, and what was seen in force on its nodes.

use std::time::Duration;

use serde::Serialize;

use crate::faults::FaultKind;

/// A fault while it held.
#[derive(Debug, Clone, Serialize)]
pub struct FaultRecord {
    pub kind: FaultKind,
    /// Where.
    pub place: String,
    /// Start.
    pub from: Duration,
    /// End.
    pub to: Duration,
}

/// A planned stop of a node.
#[derive(Debug, Clone, Serialize)]
pub struct PlannedStop {
    pub node: String,
    /// When it was told to stop.
    pub told: Duration,
    /// When it had stopped.
    pub stopped: Duration,
    /// The bound that its settings state, milliseconds.
    pub bound_ms: u64,
}

/// A server that was told to leave.
#[derive(Debug, Clone, Serialize)]
pub struct Drain {
    pub server: String,
    /// When the first source said so.
    pub told: Duration,
    /// When it was taken back; the end of the run if it was not.
    pub taken_back: Duration,
}

/// A configuration change that was accepted.
#[derive(Debug, Clone, Serialize)]
pub struct ConfigurationAccepted {
    /// Row.
    pub key: String,
    pub revision: u64,
    /// When it was accepted.
    pub accepted: Duration,
}

/// A node that cannot be reached, or does not exist, for a time.
#[derive(Debug, Clone, Serialize)]
pub struct Unavailable {
    pub node: String,
    /// Start.
    pub from: Duration,
    /// End.
    pub to: Duration,
}

/// Something that was done to the fleet.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    Fault(FaultRecord),
    /// A planned stop.
    Stop(PlannedStop),
    /// A drain of a server.
    Drain(Drain),
    /// A configuration change.
    Configuration(ConfigurationAccepted),
    /// A node that was away.
    Unavailable(Unavailable),
    /// Two operators confirmed conflicting plans at the same time.
    Race {
        /// When.
        at: Duration,
        /// Plans accepted.
        accepted: u32,
        /// Plans refused since the other was accepted first.
        overtaken: u32,
        answers: String,
    },
    /// Something that an event set out to do and could not; makes the run partial.
    NotDone {
        what: String,
        /// Why.
        reason: String,
        /// When.
        at: Duration,
    },
}

/// The revision seen in force on a node.
#[derive(Debug, Clone, Serialize)]
pub struct RevisionSample {
    pub node: String,
    /// Which start of the node, counted by the experiment.
    pub start: u32,
    /// When.
    pub at: Duration,
    pub revision: u64,
    /// The node takes new work.
    pub ready: bool,
}

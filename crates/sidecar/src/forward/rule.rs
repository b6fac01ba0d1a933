//! What follows a failed attempt: one pure table.

use dappleyard_wire::error::Actor;
use dappleyard_wire::{ErrorKind, Ran, Repeat};

/// Most attempts when nodes say that the fleet is overloaded: more would only add load.
const OVERLOADED_ATTEMPTS: u32 = 2;

/// What is known when an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Situation {
    /// Why it failed.
    pub kind: ErrorKind,
    /// What all attempts so far are known to have done.
    pub ran: Ran,
    /// Whether the caller allows more than one run.
    pub repeat: Repeat,
    /// Attempts made.
    pub attempts: u32,
    /// Most attempts.
    pub maximum_attempts: u32,
    /// An attempt was accepted by a server.
    pub accepted: bool,
    /// Part of the answer has reached the caller.
    pub released: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The failure is final.
    GiveUp,
    /// Send the request to another node; spends from the retry budget.
    Retry,
    /// Go on at the offset through another node. Not charged to the budget, since it replaces work
    /// that a server had accepted.
    Resume,
    /// Forget what came and run the request anew.
    Restart,
    /// Ask the record of a request that must not repeat, which runs elsewhere.
    Poll,
}

impl Next {
    /// Label in metrics.
    pub const fn reason(self) -> &'static str {
        match self {
            Next::GiveUp => "none",
            Next::Retry => "retry",
            Next::Resume => "resume",
            Next::Restart => "restart",
            Next::Poll => "poll",
        }
    }
}

/// Decides what follows a failed attempt.
///
/// A request that must not repeat is sent again only when nothing ran, or to learn from the node's
/// durable record what became of it: the record, not the sidecar, decides whether it may run.
pub fn next(situation: &Situation) -> Next {
    let Situation { kind, repeat, .. } = *situation;
    if situation.attempts >= situation.maximum_attempts {
        return Next::GiveUp;
    }
    match kind {
        ErrorKind::VersionGone if repeat == Repeat::Allowed && !situation.released => Next::Restart,
        ErrorKind::InProgress => Next::Poll,
        ErrorKind::Overloaded if situation.attempts >= OVERLOADED_ATTEMPTS => Next::GiveUp,
        _ if !kind.answer().retryable => Next::GiveUp,
        _ if situation.ran == Ran::No => Next::Retry,
        // The node takes nothing new and has not looked at the record.
        ErrorKind::NotReady if repeat == Repeat::Never => Next::Poll,
        _ if repeat == Repeat::Never && kind != ErrorKind::NodeLost => Next::GiveUp,
        _ if situation.accepted => Next::Resume,
        _ => Next::Retry,
    }
}

/// Whether the same request may succeed later, so that the caller is told when to come back.
pub fn may_come_back(kind: ErrorKind) -> bool {
    matches!(kind.answer().actor, Actor::CallerLater | Actor::Nobody)
        || matches!(kind, ErrorKind::OutcomeUnknown | ErrorKind::NoServer)
}

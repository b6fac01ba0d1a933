//! What follows a failed attempt: one pure table.

use dappleyard_wire::error::Actor;
use dappleyard_wire::{ErrorKind, Ran, Repeat};

/// Most attempts when nodes say that the fleet is overloaded: more would only add load.
const OVERLOADED_ATTEMPTS: u32 = 2;

/// What is known when an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailureContext {
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
pub enum Decision {
    /// The failure is final.
    Fail,
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

impl Decision {
    /// Label in metrics.
    pub const fn reason(self) -> &'static str {
        match self {
            Decision::Fail => "none",
            Decision::Retry => "retry",
            Decision::Resume => "resume",
            Decision::Restart => "restart",
            Decision::Poll => "poll",
        }
    }
}

/// Decides what follows a failed attempt.
///
/// A request that must not repeat is sent again only when nothing ran, or to learn from the node's
/// durable record what became of it: the record, not the sidecar, decides whether it may run.
pub fn decide(context: &FailureContext) -> Decision {
    let FailureContext { kind, repeat, .. } = *context;
    if context.attempts >= context.maximum_attempts {
        return Decision::Fail;
    }
    match kind {
        ErrorKind::VersionGone if repeat == Repeat::Allowed && !context.released => {
            Decision::Restart
        }
        ErrorKind::InProgress => Decision::Poll,
        ErrorKind::Overloaded if context.attempts >= OVERLOADED_ATTEMPTS => Decision::Fail,
        _ if !kind.answer().retryable => Decision::Fail,
        _ if context.ran == Ran::No => Decision::Retry,
        // The node takes nothing new and has not looked at the record.
        ErrorKind::NotReady if repeat == Repeat::Never => Decision::Poll,
        _ if repeat == Repeat::Never && kind != ErrorKind::NodeLost => Decision::Fail,
        _ if context.accepted => Decision::Resume,
        _ => Decision::Retry,
    }
}

/// Whether the same request may succeed later, so that the caller is told when to come back.
pub fn may_succeed_later(kind: ErrorKind) -> bool {
    matches!(kind.answer().actor, Actor::CallerLater | Actor::Nobody)
        || matches!(kind, ErrorKind::OutcomeUnknown | ErrorKind::NoServer)
}

//! Retry policy: what follows a failed attempt.

use dappleyard_wire::error::Actor;
use dappleyard_wire::{ErrorKind, Ran, Repeat};

/// Maximum attempts on overload; more would add load.
const OVERLOADED_ATTEMPTS: u32 = 2;

/// State of a request after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailureContext {
    pub kind: ErrorKind,
    /// Whether any attempt so far ran.
    pub ran: Ran,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    pub attempts: u32,
    pub maximum_attempts: u32,
    /// An attempt was accepted by a server.
    pub accepted: bool,
    /// Part of the response was sent to the client.
    pub released: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Return the failure.
    Fail,
    /// Send the request to another node. Charged to the retry budget.
    Retry,
    /// Continue at the current offset on another node. Not charged to the retry budget, since it
    /// replaces work that a server had accepted.
    Resume,
    /// Discard the received pieces and run the request again.
    Restart,
    /// Send the request again to read the record of a run that is or may be elsewhere.
    Poll,
}

impl Decision {
    /// Metrics label.
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
/// A `never` request is sent again only if nothing ran, or to read its outcome from the node's durable
/// record. The record, not the sidecar, decides whether the request may run.
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
        // A node that is not ready has not read the record.
        ErrorKind::NotReady if repeat == Repeat::Never => Decision::Poll,
        _ if repeat == Repeat::Never && kind != ErrorKind::NodeLost => Decision::Fail,
        _ if context.accepted => Decision::Resume,
        _ => Decision::Retry,
    }
}

/// Whether the same request may succeed later, so that the response carries a retry-after hint.
pub fn may_succeed_later(kind: ErrorKind) -> bool {
    matches!(kind.answer().actor, Actor::CallerLater | Actor::Nobody)
        || matches!(kind, ErrorKind::OutcomeUnknown | ErrorKind::NoServer)
}

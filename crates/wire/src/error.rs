//! Error kinds and their mapping to API answers.
//!
//! Every refusal is a [`Failure`]: a kind, whether the request ran, a retry delay and a message.
//! [`ErrorKind::answer`] is the only place that maps a kind to an HTTP status, an OpenAI error type
//! and the party that must act.

use derive_more::{Display, Error};

use crate::messages::{Ran, Refused};

/// Who must act before the same request can succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Actor {
    /// The caller must change the request.
    Caller,
    /// The caller may send the same request again later.
    CallerLater,
    /// The operator must act.
    Operator,
    /// Nobody: the system recovers by itself.
    Nobody,
}

/// The API answer for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Stable name of the kind; the `code` of OpenAI's error object.
    pub code: &'static str,
    /// HTTP status.
    pub status: u16,
    /// The `type` of OpenAI's error object.
    pub error_type: &'static str,
    /// Whether the system may retry on another node or server, provided that nothing ran.
    pub retryable: bool,
    /// Who must act.
    pub actor: Actor,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $code:literal, $status:literal,
        $error_type:literal, $retryable:literal, $actor:ident;)*) => {
        /// Kind of an error.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[repr(u32)]
        pub enum ErrorKind { $($(#[$doc])* $name = $number,)* }

        impl ErrorKind {
            /// All kinds, ordered by number.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$name,)*];

            /// The API answer for this kind.
            pub const fn answer(self) -> Answer {
                match self {
                    $(ErrorKind::$name => Answer {
                        code: $code,
                        status: $status,
                        error_type: $error_type,
                        retryable: $retryable,
                        actor: Actor::$actor,
                    },)*
                }
            }

            /// The kind with this number on the wire; [`ErrorKind::Internal`] if it is unknown.
            pub const fn from_number(number: u32) -> ErrorKind {
                match number {
                    $($number => ErrorKind::$name,)*
                    _ => ErrorKind::Internal,
                }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    InvalidRequest = 1, "invalid_request", 400, "invalid_request_error", false, Caller;
    /// No such file, job, plan or record.
    NotFound = 2, "not_found", 404, "invalid_request_error", false, Caller;
    /// No service of this name.
    UnknownModel = 3, "model_not_found", 404, "invalid_request_error", false, Caller;
    /// The body or prompt exceeds a size limit.
    TooLarge = 4, "too_large", 413, "invalid_request_error", false, Caller;
    /// The body did not arrive in time.
    SlowSender = 5, "request_timeout", 408, "invalid_request_error", false, Caller;
    /// The tenant's rate limit is exceeded.
    TenantRate = 6, "rate_limit_exceeded", 429, "rate_limit_error", false, CallerLater;
    /// The tenant's limit of concurrent tokens is exceeded.
    TenantConcurrency = 7, "concurrency_limit_exceeded", 429, "rate_limit_error", false, CallerLater;
    /// The fleet cannot meet the deadline, or its queues are full.
    Overloaded = 8, "overloaded", 503, "server_error", true, CallerLater;
    /// The deadline passed.
    DeadlineExceeded = 9, "deadline_exceeded", 504, "server_error", false, CallerLater;
    /// No server currently serves the service.
    NoServer = 10, "no_server", 503, "server_error", true, Operator;
    /// The owner no longer owns or uses the server; the request must be placed again.
    Bounced = 11, "bounced", 503, "server_error", true, Nobody;
    /// The node is stopping, or its configuration may be stale.
    NotReady = 12, "not_ready", 503, "server_error", true, Nobody;
    /// The link or node was lost.
    NodeLost = 13, "node_lost", 502, "server_error", true, Nobody;
    /// The engine failed or was lost.
    EngineLost = 14, "engine_lost", 502, "server_error", true, Nobody;
    /// The store is unreachable and the request needs it.
    StoreUnavailable = 15, "store_unavailable", 503, "server_error", false, CallerLater;
    /// A must-not-repeat request may have run, and its outcome is unknown.
    OutcomeUnknown = 16, "outcome_unknown", 409, "server_error", false, Caller;
    /// A must-not-repeat request with this key is still running.
    InProgress = 17, "in_progress", 409, "server_error", false, CallerLater;
    /// The idempotency or client key was already used for another request.
    KeyReused = 18, "key_reused", 422, "invalid_request_error", false, Caller;
    /// The plan or row was changed concurrently.
    Conflict = 19, "conflict", 409, "invalid_request_error", false, Caller;
    /// The work was cancelled.
    Cancelled = 20, "cancelled", 499, "invalid_request_error", false, Caller;
    /// A change cannot take effect everywhere because a region is unreachable.
    RegionUnreachable = 21, "region_unreachable", 409, "server_error", false, Operator;
    /// The model version that started the answer is no longer served.
    VersionGone = 22, "version_gone", 503, "server_error", false, CallerLater;
    /// An internal error.
    Internal = 23, "internal", 500, "server_error", false, Operator;
    /// The order or write was made under an old epoch.
    Fenced = 24, "fenced", 409, "server_error", false, Nobody;
    /// A disruption budget currently does not allow the step.
    BudgetExhausted = 25, "budget_exhausted", 409, "server_error", false, CallerLater;
    /// The limit of servers that ended while running the request is reached; it is not run again.
    ServersEnded = 26, "servers_ended", 502, "server_error", false, Caller;
}

/// A refusal, with what is known about execution.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{}: {message}", kind.answer().code)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: ErrorKind,
    /// Whether any attempt ran, as far as known.
    pub ran: Ran,
    /// Delay before a retry, milliseconds; 0 for none advised.
    pub retry_after_ms: u32,
    /// Human-readable message, with the next step where there is one.
    pub message: String,
}

impl Failure {
    /// Creates a failure of a request that did not run.
    pub fn not_run(kind: ErrorKind, message: impl Into<String>) -> Failure {
        Failure {
            kind,
            ran: Ran::No,
            retry_after_ms: 0,
            message: message.into(),
        }
    }

    /// Creates a failure of a request that may have run.
    pub fn maybe_ran(kind: ErrorKind, message: impl Into<String>) -> Failure {
        Failure {
            kind,
            ran: Ran::Maybe,
            retry_after_ms: 0,
            message: message.into(),
        }
    }

    /// Sets the advised retry delay, milliseconds.
    #[must_use]
    pub fn retry_after(mut self, milliseconds: u32) -> Failure {
        self.retry_after_ms = milliseconds;
        self
    }

    /// Joins `ran` with that of earlier attempts.
    #[must_use]
    pub fn after(mut self, earlier: Ran) -> Failure {
        self.ran = join_ran(self.ran, earlier);
        self
    }

    /// Converts to the wire message.
    pub fn to_refused(&self) -> Refused {
        Refused {
            kind: self.kind as u32,
            ran: self.ran as i32,
            retry_after_ms: self.retry_after_ms,
            message: self.message.clone(),
            load: None,
        }
    }

    /// Converts from the wire message. An unknown `ran` becomes [`Ran::Maybe`].
    pub fn from_refused(refused: &Refused) -> Failure {
        Failure {
            kind: ErrorKind::from_number(refused.kind),
            ran: Ran::try_from(refused.ran).unwrap_or(Ran::Maybe),
            retry_after_ms: refused.retry_after_ms,
            message: refused.message.clone(),
        }
    }
}

/// Joins the execution states of two attempts by taking the greater number; [`Ran::No`] is the least.
pub fn join_ran(left: Ran, right: Ran) -> Ran {
    if left as i32 >= right as i32 {
        left
    } else {
        right
    }
}

/// Name of an execution state in headers and JSON: `no`, `maybe` or `yes`.
pub const fn ran_label(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Maybe => "maybe",
        Ran::Yes => "yes",
    }
}

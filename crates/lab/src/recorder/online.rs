//! Online requests as seen by callers.

use std::time::Duration;

use serde::Serialize;

/// An error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// HTTP status; 0 if the error arrived inside a stream or the call failed without a response.
    pub status: u16,
    /// Error kind.
    pub kind: String,
    /// Whether the request ran, as stated in the response: `no`, `maybe` or `yes`.
    pub ran: String,
    /// Human-readable message.
    pub message: String,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OnlineEnd {
    /// The response completed.
    Whole,
    /// The response was an error.
    Refused(Refusal),
    /// The connection ended without completion or an error.
    Broken(String),
}

/// One attempt of a caller to send an online request.
#[derive(Debug, Clone, Serialize)]
pub struct OnlineRecord {
    /// Name of the planned request.
    pub name: String,
    /// Request id set by the caller.
    pub request_id: String,
    pub tenant: String,
    /// Sidecar index.
    pub sidecar: usize,
    /// Idempotency key of an at-most-once request.
    pub once_key: Option<String>,
    /// A resend with the same key.
    pub resend: bool,
    pub sent: Duration,
    /// When the first text arrived.
    pub first_token: Option<Duration>,
    pub ended: Duration,
    /// Times between consecutive chunks of text, milliseconds.
    pub gaps_ms: Vec<f32>,
    /// Length of the text received, bytes.
    pub text_bytes: usize,
    /// How the text differs from the engine's text for this request; an interrupted response must
    /// be a prefix of it.
    pub wrong_text: Option<String>,
    pub end: OnlineEnd,
}

impl OnlineRecord {
    /// Time to first token, milliseconds.
    pub fn first_token_ms(&self) -> Option<f64> {
        let first = self.first_token?;
        Some((first - self.sent).as_secs_f64() * 1_000.0)
    }

    pub fn is_whole(&self) -> bool {
        self.end == OnlineEnd::Whole
    }

    pub fn refusal(&self) -> Option<&Refusal> {
        match &self.end {
            OnlineEnd::Refused(refusal) => Some(refusal),
            _ => None,
        }
    }
}

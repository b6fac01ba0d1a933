//! Online requests as their callers saw them.

use std::time::Duration;

use serde::Serialize;

/// An error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// HTTP status; 0 when the error came inside a stream.
    pub status: u16,
    /// Name of the error kind.
    pub kind: String,
    /// Whether the request ran, as the answer says: `no`, `maybe` or `yes`.
    pub ran: String,
    /// Sentence for a person.
    pub message: String,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OnlineEnd {
    /// The answer said that it is whole.
    Whole,
    /// The answer was an error.
    Refused(Refusal),
    /// The connection ended without either.
    Broken(String),
}

/// One sending of an online request.
#[derive(Debug, Clone, Serialize)]
pub struct OnlineRecord {
    /// Name of the arrival.
    pub name: String,
    /// Request id that the caller gave.
    pub request_id: String,
    pub tenant: String,
    /// Index of the sidecar.
    pub sidecar: usize,
    /// Idempotency key of a request that must not be repeated.
    pub once_key: Option<String>,
    /// The caller had sent it before with the same key.
    pub resend: bool,
    /// When it was sent.
    pub sent: Duration,
    /// When the first text came.
    pub first_token: Option<Duration>,
    /// When it ended.
    pub ended: Duration,
    /// Time between two texts, milliseconds.
    pub gaps_ms: Vec<f32>,
    /// Length of the text received, bytes.
    pub text_bytes: usize,
    /// What is wrong with the text, judged against what the engine says for this request: a whole
    /// answer must be equal to it, an interrupted one the start of it.
    pub wrong_text: Option<String>,
    /// How it ended.
    pub end: OnlineEnd,
}

impl OnlineRecord {
    /// Time to the first text, milliseconds.
    pub fn first_token_ms(&self) -> Option<f64> {
        let first = self.first_token?;
        Some((first - self.sent).as_secs_f64() * 1_000.0)
    }

    /// The answer is whole.
    pub fn is_whole(&self) -> bool {
        self.end == OnlineEnd::Whole
    }

    /// The error answer, if it is one.
    pub fn refusal(&self) -> Option<&Refusal> {
        match &self.end {
            OnlineEnd::Refused(refusal) => Some(refusal),
            _ => None,
        }
    }
}

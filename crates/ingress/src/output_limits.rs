//! Bounds on the output of one request, above all that a sound server sends for it. Without them a faulty server whose
//! answer never ends would use up the memory of the node.

use derive_more::{Display, Error};

/// Output whose length the request does not announce, and what little an answer carries beside its tokens, in bytes.
const BASE_BYTES: usize = 256 * 1024;
/// Bytes of output for a token: its text and its share of an event's fields.
const BYTES_PER_TOKEN: usize = 64;
/// Largest event of any request, since many may be incomplete at a time.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Largest text of an item: a longer one does not fit into one transaction of the store.
const MAX_TEXT_BYTES: usize = 680 * 1024;
/// Events of an item beside those for its tokens.
const BASE_EVENTS: u64 = 10_000;

/// What a server may send for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutputLimits {
    /// Bytes of one event.
    pub event_bytes: usize,
    /// Bytes of the text of an item.
    pub text_bytes: usize,
    /// Events of an item.
    pub events: u64,
}

/// A server has sent more than any answer to the request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum OutputExceeded {
    #[display("an event is longer than any answer needs")]
    EventTooLong,
    #[display("an event does not end")]
    EventWithoutEnd,
    #[display("the output is longer than any answer needs")]
    OutputTooLong,
    #[display("the node's buffers are full of incomplete output")]
    BuffersFull,
}

impl OutputLimits {
    /// Limits for a request that asks for at most this many tokens; 0 if it does not say.
    pub fn of(tokens: u64) -> Self {
        let tokens_bytes = usize::try_from(tokens)
            .unwrap_or(usize::MAX)
            .saturating_mul(BYTES_PER_TOKEN);
        let bytes = match tokens {
            0 => MAX_EVENT_BYTES,
            _ => BASE_BYTES.saturating_add(tokens_bytes),
        };
        Self {
            event_bytes: bytes.min(MAX_EVENT_BYTES),
            text_bytes: bytes.min(MAX_TEXT_BYTES),
            events: BASE_EVENTS.saturating_add(tokens),
        }
    }
}

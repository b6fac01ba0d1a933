//! Sequences of an engine and their order.

use std::cmp::Reverse;
use std::sync::Arc;

use dappleyard_engine::Priority;

use crate::text::TextSource;

/// Number of a stream, unique within its engine across restarts.
pub type StreamNumber = u64;

/// A waiting or running sequence.
#[derive(Debug, Clone)]
pub struct Sequence {
    pub stream: StreamNumber,
    pub request_id: Arc<str>,
    /// Priority used for scheduling.
    pub priority: Priority,
    /// Whether it is online work.
    pub online: bool,
    /// Source of the answer text.
    pub text: TextSource,
    /// Prompt length, tokens.
    pub prompt_tokens: u32,
    /// Cache key of the shared prefix.
    pub prefix_key: u64,
    /// Length of the shared prefix in blocks; 0 for none.
    pub prefix_blocks: u32,
    /// Length of the complete answer, tokens.
    pub target: u32,
    /// Finish reason: "stop" or "length".
    pub reason: &'static str,
    /// Offset of the first token of this attempt.
    pub from: u32,
    /// Tokens of the answer produced so far, those of earlier attempts included.
    pub produced: u32,
    /// Offset of the first token not sent yet.
    pub emitted: u32,
    /// Whether tokens are sent as they are produced.
    pub streaming: bool,
    /// Context tokens still to be prefilled.
    pub prefill_left: u32,
    /// Prefill tokens in the current step.
    pub prefill_now: u32,
    /// Context tokens found in the cache when it was last admitted before its first step.
    pub cached_tokens: u32,
    /// Blocks owned by this sequence.
    pub own_blocks: u32,
    /// Blocks of the pinned shared prefix that it uses.
    pub pinned_blocks: u32,
    /// Whether it holds a pin on the shared prefix.
    pub holds_pin: bool,
    /// Whether it took part in any step.
    pub ran: bool,
    /// Position of its record.
    pub record: u64,
    /// When it lost its reader, microseconds.
    pub detached_at: Option<u64>,
}

impl Sequence {
    /// Scheduling order: higher priority first, then arrival.
    pub fn scheduling_key(&self) -> (Reverse<Priority>, StreamNumber) {
        (Reverse(self.priority), self.stream)
    }

    /// Length of the prompt and the answer so far, tokens.
    pub fn context(&self) -> u32 {
        self.prompt_tokens + self.produced
    }

    /// Number of blocks used, owned and pinned.
    pub fn blocks(&self) -> u32 {
        self.own_blocks + self.pinned_blocks
    }
}

/// Inserts a sequence into a list in scheduling order.
pub(super) fn insert_ordered(list: &mut Vec<Sequence>, sequence: Sequence) {
    let index = list.partition_point(|other| other.scheduling_key() < sequence.scheduling_key());
    list.insert(index, sequence);
}

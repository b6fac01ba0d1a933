//! One sequence of an engine.

use std::cmp::Reverse;
use std::sync::Arc;

use dappleyard_engine::Priority;

use crate::text::TextSource;

/// Number of a stream within its engine; not reused.
pub type StreamNumber = u64;

/// One sequence, waiting or running.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// Its stream.
    pub stream: StreamNumber,
    /// Request id.
    pub request_id: Arc<str>,
    /// Priority that it is served with.
    pub priority: Priority,
    /// Whether it is online work.
    pub online: bool,
    /// Text of the answer.
    pub text: TextSource,
    /// Prompt length, tokens.
    pub prompt_tokens: u32,
    /// Key and length in blocks of the shared prefix; 0 blocks for none.
    pub prefix_key: u64,
    /// Blocks of the shared prefix.
    pub prefix_blocks: u32,
    /// Length of the whole answer and why it ends there.
    pub target: u32,
    /// "stop" or "length".
    pub reason: &'static str,
    /// First token of this attempt.
    pub from: u32,
    /// Tokens of the answer made so far, those of earlier attempts included.
    pub produced: u32,
    /// First token not yet sent.
    pub emitted: u32,
    /// Tokens are sent as they come.
    pub streaming: bool,
    /// Context tokens still to be prefilled.
    pub prefill_left: u32,
    /// Prefill tokens in the step at hand.
    pub prefill_now: u32,
    /// Context tokens found in the cache at the first entry.
    pub cached_tokens: u32,
    /// Blocks that only this sequence uses.
    pub own_blocks: u32,
    /// Blocks of the shared prefix that it uses.
    pub pinned_blocks: u32,
    /// Whether it counts among the users of the shared prefix.
    pub pins: bool,
    /// Whether any step of it ran.
    pub ran: bool,
    /// Place of its record.
    pub record: u64,
    /// Since when nobody reads it, microseconds.
    pub detached_at: Option<u64>,
}

impl Sequence {
    /// Place in the order of entry: greater priority first, then arrival.
    pub fn rank(&self) -> (Reverse<Priority>, StreamNumber) {
        (Reverse(self.priority), self.stream)
    }

    /// Prompt and answer so far, tokens.
    pub fn context(&self) -> u32 {
        self.prompt_tokens + self.produced
    }

    /// Blocks that it holds.
    pub fn blocks(&self) -> u32 {
        self.own_blocks + self.pinned_blocks
    }
}

/// Inserts a sequence at its place in an ordered list.
pub(super) fn insert_ordered(list: &mut Vec<Sequence>, sequence: Sequence) {
    let place = list.partition_point(|other| other.rank() < sequence.rank());
    list.insert(place, sequence);
}

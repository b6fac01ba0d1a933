//! Records of the attempts that an engine ran, used to verify the product from outside.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;

/// One attempt. Times are microseconds since the host started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RunRecord {
    /// Server id.
    pub server: Arc<str>,
    pub request_id: Arc<str>,
    /// Attempt number.
    pub attempt: u32,
    /// Stream number.
    pub stream: u64,
    /// Whether it is online work.
    pub online: bool,
    /// Priority of the call.
    pub priority: u8,
    /// When the call arrived.
    pub arrived_us: u64,
    /// Start of its first step; `None` if it took part in none.
    pub started_us: Option<u64>,
    /// When its first token was produced.
    pub first_token_us: Option<u64>,
    /// When it ended.
    pub ended_us: Option<u64>,
    /// How it ended; `None` while it is live.
    pub end: Option<RunEnd>,
    /// Offset of the first token of this attempt.
    pub from: u32,
    /// Offset after the last token produced.
    pub to: u32,
    /// Whether it resumed from an offset.
    pub resumed: bool,
    /// Number of times that a caller attached to it.
    pub attached: u32,
    /// Number of preemptions.
    pub preempted: u32,
    /// Steps before its first one, if it is online, in which it waited beside running batch
    /// sequences or got no prefill tokens while batch did.
    pub steps_behind_batch: u32,
    /// Version that generated the answer.
    pub version: Arc<str>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The answer is complete.
    Finished,
    /// Cancelled by a caller.
    Cancelled,
    /// Cancelled because it had no reader for the grace period.
    Abandoned,
    /// Lost when the engine was killed.
    Lost,
}

/// Bounded list of the records of one engine.
#[derive(Debug)]
pub struct Records {
    kept: VecDeque<RunRecord>,
    first: u64,
    maximum: usize,
}

impl Records {
    /// Creates an empty list of at most `maximum` records.
    pub fn new(maximum: usize) -> Records {
        Records {
            kept: VecDeque::new(),
            first: 0,
            maximum: maximum.max(1),
        }
    }

    /// Adds a record, dropping the oldest one when full. Returns the position of the new record.
    pub fn add(&mut self, record: RunRecord) -> u64 {
        if self.kept.len() == self.maximum {
            self.kept.pop_front();
            self.first += 1;
        }
        self.kept.push_back(record);
        self.first + self.kept.len() as u64 - 1
    }

    /// Modifies the record at a position, unless it was dropped.
    pub fn change(&mut self, position: u64, change: impl FnOnce(&mut RunRecord)) {
        let index = position.checked_sub(self.first);
        if let Some(record) = index.and_then(|index| self.kept.get_mut(index as usize)) {
            change(record);
        }
    }

    /// All records kept, oldest first.
    pub fn all(&self) -> Vec<RunRecord> {
        self.kept.iter().cloned().collect()
    }

    /// Number of records dropped because of the limit.
    pub fn dropped(&self) -> u64 {
        self.first
    }
}

//! What an engine truly ran: judged outside the product.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;

/// One attempt as the engine saw it. Times are microseconds since the host started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RunRecord {
    /// Server id.
    pub server: Arc<str>,
    /// Request id.
    pub request_id: Arc<str>,
    /// Attempt.
    pub attempt: u32,
    /// Stream.
    pub stream: u64,
    /// Whether it was online work.
    pub online: bool,
    /// Priority.
    pub priority: u8,
    /// When the call arrived.
    pub arrived_us: u64,
    /// When its first step began; `None` when nothing of it ran.
    pub started_us: Option<u64>,
    /// When its first token was made.
    pub first_token_us: Option<u64>,
    /// When it ended, in whatever way.
    pub ended_us: Option<u64>,
    /// How it ended; `None` while it lives.
    pub end: Option<RunEnd>,
    /// First token of this attempt.
    pub from: u32,
    /// Token after the last one made.
    pub to: u32,
    /// It was resumed from an offset.
    pub resumed: bool,
    /// How often a caller attached to it.
    pub attached: u32,
    /// How often it lost its place to a higher priority.
    pub preempted: u32,
    /// Steps that an online sequence waited for its first one while batch sequences took part, or
    /// took prefill that it could have had.
    pub steps_behind_batch: u32,
    /// Version that answered.
    pub version: Arc<str>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The answer is whole.
    Finished,
    /// Cancelled by a call.
    Cancelled,
    /// Cancelled since nobody read it for the grace.
    Abandoned,
    /// Lost with its engine.
    Lost,
}

/// Records of one engine, bounded.
#[derive(Debug)]
pub struct Records {
    kept: VecDeque<RunRecord>,
    first: u64,
    maximum: usize,
}

impl Records {
    /// No records yet.
    pub fn new(maximum: usize) -> Records {
        Records {
            kept: VecDeque::new(),
            first: 0,
            maximum: maximum.max(1),
        }
    }

    /// Adds a record and returns its place.
    pub fn add(&mut self, record: RunRecord) -> u64 {
        if self.kept.len() == self.maximum {
            self.kept.pop_front();
            self.first += 1;
        }
        self.kept.push_back(record);
        self.first + self.kept.len() as u64 - 1
    }

    /// Changes the record at a place, unless it was dropped.
    pub fn change(&mut self, place: u64, change: impl FnOnce(&mut RunRecord)) {
        let index = place.checked_sub(self.first);
        if let Some(record) = index.and_then(|index| self.kept.get_mut(index as usize)) {
            change(record);
        }
    }

    /// All records kept, oldest first.
    pub fn all(&self) -> Vec<RunRecord> {
        self.kept.iter().cloned().collect()
    }

    /// Records dropped since the bound was reached.
    pub fn dropped(&self) -> u64 {
        self.first
    }
}

//! What each message holds, and which messages yield. Pure: time is an argument.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::limits::BudgetLimits;

/// Messages up to this size may use the reserve.
const SMALL_MESSAGE_BYTES: usize = 64 * 1024;
/// An unfinished message of which fewer bytes arrive in [`STALL_TIME`] makes no progress.
const PROGRESS_BYTES: usize = 16 * 1024;
/// Time without progress after which an unfinished message may be given up.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Identifies an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MessageId(u64);

/// Result of a charge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Charge {
    Granted,
    /// Granted, since these messages are given up.
    GrantedAfter(Vec<MessageId>),
    Refused,
}

#[derive(Debug)]
struct Entry {
    held_bytes: usize,
    /// The message has arrived whole, and is not given up any more.
    is_complete: bool,
    progress_at: Instant,
    /// Bytes that have arrived since `progress_at`.
    since_progress_bytes: usize,
}

impl Entry {
    fn is_stalled(&self, now: Instant) -> bool {
        !self.is_complete && now.saturating_duration_since(self.progress_at) >= STALL_TIME
    }

    fn note_arrived(&mut self, bytes: usize, now: Instant) {
        self.since_progress_bytes += bytes;
        if self.since_progress_bytes >= PROGRESS_BYTES {
            self.since_progress_bytes = 0;
            self.progress_at = now;
        }
    }
}

/// All accounts of a process.
#[derive(Debug)]
pub struct Ledger {
    limits: BudgetLimits,
    used_bytes: usize,
    entries: HashMap<MessageId, Entry>,
    next_id: u64,
}

impl Ledger {
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            used_bytes: 0,
            entries: HashMap::new(),
            next_id: 0,
        }
    }

    /// Bytes that all messages hold.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Opens an account, which holds nothing yet.
    pub fn open(&mut self, now: Instant) -> MessageId {
        let id = MessageId(self.next_id);
        self.next_id += 1;
        let entry = Entry {
            held_bytes: 0,
            is_complete: false,
            progress_at: now,
            since_progress_bytes: 0,
        };
        self.entries.insert(id, entry);
        id
    }

    /// Charges an account for more bytes. Messages that are given up hold nothing from then on.
    pub fn charge(&mut self, id: MessageId, bytes: usize, now: Instant) -> Charge {
        let Some(entry) = self.entries.get(&id) else {
            return Charge::Refused;
        };
        let held_bytes = entry.held_bytes + bytes;
        let limit_bytes = match held_bytes <= SMALL_MESSAGE_BYTES {
            true => self.limits.total_bytes,
            false => self.limits.total_bytes - self.limits.reserve_bytes,
        };
        let missing_bytes = (self.used_bytes + bytes).saturating_sub(limit_bytes);
        let given_up = match missing_bytes {
            0 => Vec::new(),
            _ => match self.find_stalled(id, missing_bytes, now) {
                Some(stalled) => stalled,
                None => return Charge::Refused,
            },
        };
        for stalled in &given_up {
            self.release(*stalled);
        }
        self.used_bytes += bytes;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.held_bytes = held_bytes;
            entry.note_arrived(bytes, now);
        }
        match given_up.is_empty() {
            true => Charge::Granted,
            false => Charge::GrantedAfter(given_up),
        }
    }

    /// The largest messages without progress that together hold `bytes`; `None` if all of them hold less.
    fn find_stalled(
        &self,
        charged: MessageId,
        bytes: usize,
        now: Instant,
    ) -> Option<Vec<MessageId>> {
        let stalled = self
            .entries
            .iter()
            .filter(|(id, entry)| **id != charged && entry.held_bytes > 0 && entry.is_stalled(now));
        let mut stalled: Vec<(usize, MessageId)> =
            stalled.map(|(id, entry)| (entry.held_bytes, *id)).collect();
        stalled.sort_unstable();
        let mut found = Vec::new();
        let mut found_bytes = 0;
        while found_bytes < bytes {
            let (held_bytes, id) = stalled.pop()?;
            found_bytes += held_bytes;
            found.push(id);
        }
        Some(found)
    }

    /// Whether a message is unfinished and makes no progress.
    pub fn is_stalled(&self, id: MessageId, now: Instant) -> bool {
        self.entries
            .get(&id)
            .is_some_and(|entry| entry.is_stalled(now))
    }

    /// Notes that a message has arrived whole.
    pub fn complete(&mut self, id: MessageId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_complete = true;
        }
    }

    /// Releases all that an account holds.
    pub fn release(&mut self, id: MessageId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.used_bytes -= std::mem::take(&mut entry.held_bytes);
        }
    }

    /// Prepares an account for the next message.
    pub fn restart(&mut self, id: MessageId, now: Instant) {
        self.release(id);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_complete = false;
            entry.progress_at = now;
            entry.since_progress_bytes = 0;
        }
    }

    /// Closes an account.
    pub fn close(&mut self, id: MessageId) {
        self.release(id);
        self.entries.remove(&id);
    }
}

//! Estimate of which ended sequences a server's prefix cache still holds.

use std::collections::BTreeMap;

/// Share of the free KV memory that is assumed to cache batch sequences, percent.
const BATCH_PERCENT: u64 = 85;

/// Identifies a cache entry; ids increase over time and 0 means none.
pub type CacheMark = u64;

/// Model of a cache with least-recently-used eviction.
#[derive(Debug, Default)]
pub struct CacheModel {
    last_mark: CacheMark,
    /// Tokens by entry id, oldest first.
    entries: BTreeMap<CacheMark, u32>,
    tokens: u64,
    room: u64,
}

impl CacheModel {
    /// Sets the capacity from the KV memory, in tokens, that no running sequence holds.
    pub fn set_room(&mut self, tokens: u32) {
        self.room = u64::from(tokens) * BATCH_PERCENT / 100;
        self.drop_oldest();
    }

    /// Adds the state of a sequence that ended.
    pub fn leave(&mut self, tokens: u32) -> CacheMark {
        self.last_mark += 1;
        self.entries.insert(self.last_mark, tokens);
        self.tokens += u64::from(tokens);
        self.drop_oldest();
        self.last_mark
    }

    /// Removes the state of a sequence that is resumed.
    pub fn take(&mut self, mark: CacheMark) {
        if let Some(tokens) = self.entries.remove(&mark) {
            self.tokens -= u64::from(tokens);
        }
    }

    /// Whether an entry has not been evicted or removed.
    pub fn holds(&self, mark: CacheMark) -> bool {
        self.entries.contains_key(&mark)
    }

    fn drop_oldest(&mut self) {
        while self.tokens > self.room
            && let Some((_, tokens)) = self.entries.pop_first()
        {
            self.tokens -= u64::from(tokens);
        }
    }
}

//! Estimate of which ended sequences a server's prefix cache still holds.

use std::collections::BTreeMap;

/// Share of the free KV memory that is assumed to cache batch sequences, percent.
const BATCH_CACHE_PERCENT: u64 = 85;

/// Identifies a cache entry; ids increase over time and 0 means none.
pub type CacheEntryId = u64;

/// Model of a cache with least-recently-used eviction.
#[derive(Debug, Default)]
pub struct CacheModel {
    last_entry: CacheEntryId,
    /// Tokens by entry id, oldest first.
    entries: BTreeMap<CacheEntryId, u32>,
    tokens: u64,
    capacity_tokens: u64,
}

impl CacheModel {
    /// Sets the capacity from the KV memory, in tokens, that no running sequence holds.
    pub fn set_free_tokens(&mut self, tokens: u32) {
        self.capacity_tokens = u64::from(tokens) * BATCH_CACHE_PERCENT / 100;
        self.evict_oldest();
    }

    /// Adds the state of a sequence that ended.
    pub fn insert_ended(&mut self, tokens: u32) -> CacheEntryId {
        self.last_entry += 1;
        self.entries.insert(self.last_entry, tokens);
        self.tokens += u64::from(tokens);
        self.evict_oldest();
        self.last_entry
    }

    /// Removes the state of a sequence that is resumed.
    pub fn remove_resumed(&mut self, entry: CacheEntryId) {
        if let Some(tokens) = self.entries.remove(&entry) {
            self.tokens -= u64::from(tokens);
        }
    }

    /// Whether an entry has not been evicted or removed.
    pub fn is_cached(&self, entry: CacheEntryId) -> bool {
        self.entries.contains_key(&entry)
    }

    fn evict_oldest(&mut self) {
        while self.tokens > self.capacity_tokens
            && let Some((_, tokens)) = self.entries.pop_first()
        {
            self.tokens -= u64::from(tokens);
        }
    }
}

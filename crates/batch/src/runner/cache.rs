//! What a server's prefix cache is taken to hold of sequences that ended there.

use std::collections::BTreeMap;

/// Share of the room that batch sequences are taken to have of the cache, percent.
const BATCH_PERCENT: u64 = 85;

/// A place in the order in which sequences left their state behind; 0 is none.
pub type CacheMark = u64;

/// Model of a cache that drops what was used least recently.
#[derive(Debug, Default)]
pub struct CacheModel {
    last_mark: CacheMark,
    /// Tokens by mark, oldest first.
    entries: BTreeMap<CacheMark, u32>,
    tokens: u64,
    room: u64,
}

impl CacheModel {
    /// Sets how many tokens of the server's memory no running sequence holds.
    pub fn set_room(&mut self, tokens: u32) {
        self.room = u64::from(tokens) * BATCH_PERCENT / 100;
        self.drop_oldest();
    }

    /// A sequence ended and left its state behind.
    pub fn leave(&mut self, tokens: u32) -> CacheMark {
        self.last_mark += 1;
        self.entries.insert(self.last_mark, tokens);
        self.tokens += u64::from(tokens);
        self.drop_oldest();
        self.last_mark
    }

    /// A sequence goes on: its state is taken out of the cache.
    pub fn take(&mut self, mark: CacheMark) {
        if let Some(tokens) = self.entries.remove(&mark) {
            self.tokens -= u64::from(tokens);
        }
    }

    /// Whether the state that was left at a mark is probably still there.
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

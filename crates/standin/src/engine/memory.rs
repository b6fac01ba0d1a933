//! KV memory of an engine in blocks, with the prefix cache in what remains.
//!
//! A block is free, owned by a sequence, part of a shared prefix that running sequences pin, or
//! cached: a prefix or the state of an ended sequence that nobody uses. Cached blocks are evicted
//! least recently used first, from the tail of an entry, since the front of a prefix stays valid.

use std::collections::HashMap;

use lru::LruCache;

#[derive(Debug, Clone, Copy)]
struct Pinned {
    blocks: u32,
    sequences: u32,
}

/// KV memory of one engine.
#[derive(Debug)]
pub struct Memory {
    total: u32,
    free: u32,
    pinned: HashMap<u64, Pinned>,
    cached: LruCache<u64, u32>,
    cached_blocks: u32,
    evicted: Vec<u64>,
}

impl Memory {
    /// Empty memory of some blocks.
    pub fn new(total: u32) -> Memory {
        Memory {
            total,
            free: total,
            pinned: HashMap::new(),
            cached: LruCache::unbounded(),
            cached_blocks: 0,
            evicted: Vec::new(),
        }
    }

    /// All blocks.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Blocks that can be taken: free ones and cached ones.
    pub fn available(&self) -> u32 {
        self.free + self.cached_blocks
    }

    /// Blocks cached and used by nobody.
    pub fn cached_blocks(&self) -> u32 {
        self.cached_blocks
    }

    /// Blocks of all shared prefixes in use.
    pub fn pinned_blocks(&self) -> u32 {
        self.pinned.values().map(|entry| entry.blocks).sum()
    }

    /// Blocks cached under a key, used by nobody.
    pub fn cached(&self, key: u64) -> u32 {
        self.cached.peek(&key).copied().unwrap_or(0)
    }

    /// Blocks pinned under a key.
    pub fn pinned(&self, key: u64) -> u32 {
        self.pinned.get(&key).map_or(0, |entry| entry.blocks)
    }

    /// Takes blocks, evicting cached ones as needed; `false` and nothing changed when there are
    /// not enough.
    pub fn take(&mut self, blocks: u32) -> bool {
        if blocks > self.available() {
            return false;
        }
        while self.free < blocks {
            self.evict(blocks - self.free);
        }
        self.free -= blocks;
        true
    }

    /// Gives blocks back as free.
    pub fn give(&mut self, blocks: u32) {
        self.free += blocks;
    }

    /// Pins up to `wanted` blocks of what is there under a key for one more sequence and returns how
    /// many, 0 for none. Unused blocks beyond them are freed: a pinned entry never holds more than a
    /// sequence uses.
    pub fn pin(&mut self, key: u64, wanted: u32) -> u32 {
        if let Some(entry) = self.pinned.get_mut(&key) {
            entry.sequences += 1;
            return entry.blocks.min(wanted);
        }
        let cached = self.take_cached(key);
        let blocks = cached.min(wanted);
        self.give(cached - blocks);
        if blocks > 0 {
            let entry = Pinned {
                blocks,
                sequences: 1,
            };
            self.pinned.insert(key, entry);
        }
        blocks
    }

    /// A sequence gives `given` of its own blocks so that the pinned entry grows by `grows`; what is
    /// there already is freed. `counted` says that the sequence has pinned the entry before.
    pub fn share(&mut self, key: u64, grows: u32, given: u32, counted: bool) {
        // What is cached under the key was computed by another and is not needed twice.
        let duplicate = self.take_cached(key);
        self.free += duplicate;
        let entry = self.pinned.entry(key).or_insert(Pinned {
            blocks: 0,
            sequences: 0,
        });
        entry.sequences += u32::from(!counted);
        entry.blocks += grows;
        self.free += given - grows;
    }

    /// Ends one sequence's use of a pinned entry; unused, it becomes cached.
    pub fn unpin(&mut self, key: u64) {
        let Some(entry) = self.pinned.get_mut(&key) else {
            return;
        };
        entry.sequences = entry.sequences.saturating_sub(1);
        if entry.sequences == 0 {
            let blocks = entry.blocks;
            self.pinned.remove(&key);
            self.retain(key, blocks);
        }
    }

    /// Keeps blocks that a sequence owned as cache under a key.
    pub fn retain(&mut self, key: u64, blocks: u32) {
        if blocks == 0 {
            return;
        }
        self.cached_blocks += blocks;
        if let Some((_, replaced)) = self.cached.push(key, blocks) {
            self.cached_blocks -= replaced;
            self.free += replaced;
        }
    }

    /// Takes all blocks cached under a key out of the cache; they belong to the caller.
    pub fn take_cached(&mut self, key: u64) -> u32 {
        let blocks = self.cached.pop(&key).unwrap_or(0);
        self.cached_blocks -= blocks;
        blocks
    }

    /// Adds blocks that came from elsewhere as cache under a key; what is there already stays.
    /// `false` and nothing changed when there is no room.
    pub fn import(&mut self, key: u64, blocks: u32) -> bool {
        let missing = blocks.saturating_sub(self.cached(key) + self.pinned(key));
        if missing == 0 || self.pinned(key) > 0 {
            return true;
        }
        let had = self.take_cached(key);
        if !self.take(missing) {
            self.retain(key, had);
            return false;
        }
        self.retain(key, had + missing);
        true
    }

    /// Keys whose last block was evicted since the last call.
    pub fn drain_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    /// Frees all cached blocks.
    pub fn clear_cache(&mut self) {
        self.free += self.cached_blocks;
        self.cached_blocks = 0;
        self.evicted.extend(self.cached.iter().map(|(key, _)| *key));
        self.cached.clear();
    }

    /// Whether each block is in exactly one place, given the blocks that sequences own.
    pub fn is_consistent(&self, owned: u32) -> bool {
        let pinned = self.pinned_blocks();
        let cached: u32 = self.cached.iter().map(|(_, blocks)| *blocks).sum();
        cached == self.cached_blocks && self.free + pinned + cached + owned == self.total
    }

    /// Evicts up to `wanted` blocks from the entry that was least recently used.
    fn evict(&mut self, wanted: u32) {
        let Some((key, blocks)) = self.cached.pop_lru() else {
            return;
        };
        let gone = blocks.min(wanted);
        self.cached_blocks -= gone;
        self.free += gone;
        if gone < blocks {
            self.cached.push(key, blocks - gone);
            self.cached.demote(&key);
        } else {
            self.evicted.push(key);
        }
    }
}

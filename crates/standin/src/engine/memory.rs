//! KV memory of an engine in blocks, with a prefix cache in the unused ones.
//!
//! A block is free, owned by a sequence, part of a shared prefix pinned by running sequences, or
//! cached, that is, part of an unused prefix or of the state of an ended sequence. Cached entries
//! are evicted in LRU order, from the tail of an entry, since the front of a prefix stays valid.

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
    /// Creates a memory of `total` free blocks.
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

    /// Total number of blocks.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Blocks that can be allocated: free and cached ones.
    pub fn available(&self) -> u32 {
        self.free + self.cached_blocks
    }

    /// Number of cached blocks.
    pub fn cached_blocks(&self) -> u32 {
        self.cached_blocks
    }

    /// Number of pinned blocks.
    pub fn pinned_blocks(&self) -> u32 {
        self.pinned.values().map(|entry| entry.blocks).sum()
    }

    /// Blocks cached under a key.
    pub fn cached(&self, key: u64) -> u32 {
        self.cached.peek(&key).copied().unwrap_or(0)
    }

    /// Blocks pinned under a key.
    pub fn pinned(&self, key: u64) -> u32 {
        self.pinned.get(&key).map_or(0, |entry| entry.blocks)
    }

    /// Allocates blocks, evicting cached ones as needed. Returns `false` and changes nothing if not
    /// enough are available.
    pub fn allocate(&mut self, blocks: u32) -> bool {
        if blocks > self.available() {
            return false;
        }
        while self.free < blocks {
            self.evict(blocks - self.free);
        }
        self.free -= blocks;
        true
    }

    /// Frees allocated blocks.
    pub fn free_blocks(&mut self, blocks: u32) {
        self.free += blocks;
    }

    /// Pins up to `wanted` of the blocks under a key for one more sequence and returns their number.
    /// Cached blocks beyond `wanted` are freed, so a pinned entry holds no unused blocks.
    pub fn pin(&mut self, key: u64, wanted: u32) -> u32 {
        if let Some(entry) = self.pinned.get_mut(&key) {
            entry.sequences += 1;
            return entry.blocks.min(wanted);
        }
        let cached = self.remove_cached(key);
        let blocks = cached.min(wanted);
        self.free_blocks(cached - blocks);
        if blocks > 0 {
            let entry = Pinned {
                blocks,
                sequences: 1,
            };
            self.pinned.insert(key, entry);
        }
        blocks
    }

    /// Moves `growth` of a sequence's own blocks to the pinned entry and frees the rest of
    /// `contributed` as duplicates. `has_pin` is set if the sequence has already pinned the entry.
    pub fn share(&mut self, key: u64, growth: u32, contributed: u32, has_pin: bool) {
        // Blocks cached under the key duplicate the shared ones.
        let duplicate = self.remove_cached(key);
        self.free += duplicate;
        let entry = self.pinned.entry(key).or_insert(Pinned {
            blocks: 0,
            sequences: 0,
        });
        entry.sequences += u32::from(!has_pin);
        entry.blocks += growth;
        self.free += contributed - growth;
    }

    /// Removes one sequence's pin; an entry without pins becomes cached.
    pub fn unpin(&mut self, key: u64) {
        let Some(entry) = self.pinned.get_mut(&key) else {
            return;
        };
        entry.sequences = entry.sequences.saturating_sub(1);
        if entry.sequences == 0 {
            let blocks = entry.blocks;
            self.pinned.remove(&key);
            self.add_cached(key, blocks);
        }
    }

    /// Caches blocks owned by a sequence under a key, replacing the entry there.
    pub fn add_cached(&mut self, key: u64, blocks: u32) {
        if blocks == 0 {
            return;
        }
        self.cached_blocks += blocks;
        if let Some((_, replaced)) = self.cached.push(key, blocks) {
            self.cached_blocks -= replaced;
            self.free += replaced;
        }
    }

    /// Removes the blocks cached under a key and transfers them to the caller.
    pub fn remove_cached(&mut self, key: u64) -> u32 {
        let blocks = self.cached.pop(&key).unwrap_or(0);
        self.cached_blocks -= blocks;
        blocks
    }

    /// Grows the entry cached under a key to `blocks`, for imported state. Does nothing if the key is
    /// pinned. Returns `false` if not enough blocks are available.
    pub fn import(&mut self, key: u64, blocks: u32) -> bool {
        let missing = blocks.saturating_sub(self.cached(key) + self.pinned(key));
        if missing == 0 || self.pinned(key) > 0 {
            return true;
        }
        let previous = self.remove_cached(key);
        if !self.allocate(missing) {
            self.add_cached(key, previous);
            return false;
        }
        self.add_cached(key, previous + missing);
        true
    }

    /// Returns the keys that were evicted completely since the last call.
    pub fn drain_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    /// Evicts all cached blocks.
    pub fn clear_cache(&mut self) {
        self.free += self.cached_blocks;
        self.cached_blocks = 0;
        self.evicted.extend(self.cached.iter().map(|(key, _)| *key));
        self.cached.clear();
    }

    /// Whether every block is accounted for exactly once, given the number owned by sequences.
    pub fn is_consistent(&self, owned: u32) -> bool {
        let pinned = self.pinned_blocks();
        let cached: u32 = self.cached.iter().map(|(_, blocks)| *blocks).sum();
        cached == self.cached_blocks && self.free + pinned + cached + owned == self.total
    }

    /// Evicts up to `wanted` blocks from the least recently used entry.
    fn evict(&mut self, wanted: u32) {
        let Some((key, blocks)) = self.cached.pop_lru() else {
            return;
        };
        let evicted_blocks = blocks.min(wanted);
        self.cached_blocks -= evicted_blocks;
        self.free += evicted_blocks;
        if evicted_blocks < blocks {
            self.cached.push(key, blocks - evicted_blocks);
            self.cached.demote(&key);
        } else {
            self.evicted.push(key);
        }
    }
}

//! Queue of values to piggyback on datagrams, each sent a bounded number of times.

use indexmap::IndexMap;

/// Maximum queued values; if the queue is full, the value sent most often is dropped.
const MAXIMUM_QUEUED: usize = 512;

#[derive(Debug, Clone)]
struct Queued<V> {
    value: V,
    bytes: usize,
    sent: u32,
}

/// Values to be piggybacked, by key. A new value replaces the previous one of the same key.
#[derive(Debug, Clone)]
pub struct Broadcasts<V> {
    queued: IndexMap<String, Queued<V>>,
}

impl<V> Default for Broadcasts<V> {
    fn default() -> Self {
        Self {
            queued: IndexMap::new(),
        }
    }
}

impl<V: Clone> Broadcasts<V> {
    /// Adds a value of `bytes` encoded bytes and resets the send count of its key.
    pub fn push(&mut self, key: &str, value: V, bytes: usize) {
        if self.queued.len() >= MAXIMUM_QUEUED && !self.queued.contains_key(key) {
            self.drop_most_sent();
        }
        let entry = Queued {
            value,
            bytes,
            sent: 0,
        };
        self.queued.insert(key.to_owned(), entry);
    }

    /// Returns values for one datagram, least often sent first, up to `budget` bytes. A value is
    /// removed after `retransmits` sends.
    pub fn take(&mut self, budget: usize, retransmits: u32) -> Vec<V> {
        if self.queued.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<usize> = (0..self.queued.len()).collect();
        order.sort_by_key(|index| self.queued[*index].sent);
        let mut remaining = budget;
        let mut taken = Vec::new();
        for index in order {
            let queued = &mut self.queued[index];
            if queued.bytes <= remaining {
                remaining -= queued.bytes;
                queued.sent += 1;
                taken.push(queued.value.clone());
            }
        }
        self.queued.retain(|_, queued| queued.sent < retransmits);
        taken
    }

    pub fn len(&self) -> usize {
        self.queued.len()
    }

    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    fn drop_most_sent(&mut self) {
        let most_sent = self
            .queued
            .values()
            .enumerate()
            .max_by_key(|(_, queued)| queued.sent);
        if let Some((index, _)) = most_sent {
            self.queued.swap_remove_index(index);
        }
    }
}

/// Number of times each node sends a value so that it reaches all members with high probability
/// despite loss: three times the decimal logarithm of the fleet size, rounded up.
pub fn retransmits(members: usize) -> u32 {
    let mut digits = 1;
    let mut reach = 10;
    while reach < members + 1 {
        reach *= 10;
        digits += 1;
    }
    3 * digits
}

//! Values that ride on datagrams, each sent a bounded number of times.

use indexmap::IndexMap;

/// Most values that wait at once; the one sent most often makes room for a new one.
const MAXIMUM_WAITING: usize = 512;

#[derive(Debug, Clone)]
struct Waiting<V> {
    value: V,
    bytes: usize,
    sent: u32,
}

/// Values that wait to be piggybacked, by key. A newer value under a key replaces the older one.
#[derive(Debug, Clone)]
pub struct Broadcasts<V> {
    waiting: IndexMap<String, Waiting<V>>,
}

impl<V> Default for Broadcasts<V> {
    fn default() -> Self {
        Self {
            waiting: IndexMap::new(),
        }
    }
}

impl<V: Clone> Broadcasts<V> {
    /// Adds a value of `bytes` encoded bytes, to be sent from the beginning.
    pub fn push(&mut self, key: &str, value: V, bytes: usize) {
        if self.waiting.len() >= MAXIMUM_WAITING && !self.waiting.contains_key(key) {
            self.drop_most_sent();
        }
        let fresh = Waiting {
            value,
            bytes,
            sent: 0,
        };
        self.waiting.insert(key.to_owned(), fresh);
    }

    /// Takes values for one datagram, those sent least often first, within `budget` bytes. A value
    /// that was taken `retransmits` times is forgotten.
    pub fn take(&mut self, budget: usize, retransmits: u32) -> Vec<V> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_key(|index| self.waiting[*index].sent);
        let mut left = budget;
        let mut taken = Vec::new();
        for index in order {
            let waiting = &mut self.waiting[index];
            if waiting.bytes <= left {
                left -= waiting.bytes;
                waiting.sent += 1;
                taken.push(waiting.value.clone());
            }
        }
        self.waiting.retain(|_, waiting| waiting.sent < retransmits);
        taken
    }

    /// Number of values that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn drop_most_sent(&mut self) {
        let most_sent = self
            .waiting
            .values()
            .enumerate()
            .max_by_key(|(_, waiting)| waiting.sent);
        if let Some((index, _)) = most_sent {
            self.waiting.swap_remove_index(index);
        }
    }
}

/// How often a value is sent by each node so that it reaches a fleet of this size with high
/// probability also under loss: three times the decimal logarithm, rounded up.
pub fn retransmits(members: usize) -> u32 {
    let mut digits = 1;
    let mut reach = 10;
    while reach < members + 1 {
        reach *= 10;
        digits += 1;
    }
    3 * digits
}

//! Admission, preemption and memory allocation; higher priorities come first.

use super::{Effect, EngineModel};
use crate::engine::sequence::{Sequence, insert_ordered};

impl EngineModel {
    /// Admits waiting sequences in order until one does not fit.
    pub(super) fn schedule(&mut self) {
        while !self.waiting.is_empty() {
            if !self.make_room() {
                return;
            }
            let mut sequence = self.waiting.remove(0);
            self.allocate_memory(&mut sequence);
            insert_ordered(&mut self.running, sequence);
        }
    }

    /// Makes room for the first waiting sequence, preempting lower priorities if needed. Returns
    /// whether it can be admitted.
    fn make_room(&mut self) -> bool {
        let Some(first) = self.waiting.first() else {
            return false;
        };
        let priority = first.priority;
        let full = self.running.len() >= self.settings.maximum_sequences as usize;
        let lowest = self.running.last().map(|last| last.priority);
        if full && lowest.is_none_or(|lowest| lowest >= priority) {
            return false;
        }
        let lower = self
            .running
            .iter()
            .filter(|other| other.priority < priority);
        let preemptible_blocks: u32 = lower.map(|other| other.own_blocks).sum();
        let first = first.clone();
        if self.missing_blocks(&first) > preemptible_blocks {
            return false;
        }
        if full {
            self.preempt_last();
        }
        while self.missing_blocks(&first) > 0 {
            match self.running.last() {
                Some(last) if last.priority < priority => self.preempt_last(),
                _ => return false,
            }
        }
        true
    }

    /// Blocks that a sequence needs beyond those available. Its own cached blocks count as
    /// available: they are either reused or evicted.
    fn missing_blocks(&self, sequence: &Sequence) -> u32 {
        let (mut cached, mut pinned) = (0, 0);
        if sequence.prefix_blocks > 0 {
            let wanted = sequence.prefix_blocks;
            cached = self.memory.cached(sequence.prefix_key).min(wanted);
            pinned = self.memory.pinned(sequence.prefix_key).min(wanted);
        }
        let needed = self.blocks_for(sequence);
        let missing = needed.saturating_sub(cached + pinned);
        missing.saturating_sub(self.memory.available() - cached)
    }

    /// Blocks for the context of a sequence and its next token.
    fn blocks_for(&self, sequence: &Sequence) -> u32 {
        (sequence.context() + 1).div_ceil(self.settings.block_tokens)
    }

    /// Allocates memory for an admitted sequence. Cached tokens are not prefilled again.
    fn allocate_memory(&mut self, sequence: &mut Sequence) {
        let block = self.settings.block_tokens;
        let needed = self.blocks_for(sequence);
        if sequence.prefix_blocks > 0 {
            let wanted = sequence.prefix_blocks;
            sequence.pinned_blocks = self.memory.pin(sequence.prefix_key, wanted);
            sequence.holds_pin = sequence.pinned_blocks > 0;
        }
        let own_key = sequence.text.key();
        let own = self.memory.remove_cached(own_key);
        // Cached state after the prefix is usable only with the complete prefix.
        let whole_prefix = sequence.pinned_blocks == sequence.prefix_blocks;
        let still_needed = needed - sequence.pinned_blocks.min(needed);
        let reused = if whole_prefix {
            own.min(still_needed)
        } else {
            0
        };
        self.memory.free_blocks(own - reused);
        let fresh = still_needed - reused;
        if !self.memory.allocate(fresh) {
            // `make_room` has checked that enough blocks are available.
            debug_assert!(false, "no memory for an admitted sequence");
        }
        sequence.own_blocks = reused + fresh;
        let cached = (sequence.pinned_blocks + reused) * block;
        let context = sequence.context();
        // The last context token is always computed, since the next token is sampled from it.
        let cached = cached.min(context.saturating_sub(1));
        sequence.prefill_left = context - cached;
        if !sequence.ran {
            sequence.cached_tokens = cached;
        }
    }

    /// Releases the memory of a sequence; its computed whole blocks stay cached.
    pub(super) fn release(&mut self, sequence: &mut Sequence) {
        let computed = sequence.context().saturating_sub(sequence.prefill_left);
        let whole_blocks = computed / self.settings.block_tokens;
        let keep = whole_blocks
            .saturating_sub(sequence.pinned_blocks)
            .min(sequence.own_blocks);
        self.memory.add_cached(sequence.text.key(), keep);
        self.memory.free_blocks(sequence.own_blocks - keep);
        self.unpin(sequence);
        sequence.own_blocks = 0;
    }

    /// Frees the memory of a preempted sequence without caching it.
    fn free_memory(&mut self, sequence: &mut Sequence) {
        self.memory.free_blocks(sequence.own_blocks);
        self.unpin(sequence);
        sequence.own_blocks = 0;
    }

    fn unpin(&mut self, sequence: &mut Sequence) {
        if sequence.holds_pin {
            self.memory.unpin(sequence.prefix_key);
        }
        sequence.holds_pin = false;
        sequence.pinned_blocks = 0;
    }

    /// Preempts the newest running sequence of the lowest priority. Its memory is freed, and it is
    /// queued to be prefilled again.
    pub(super) fn preempt_last(&mut self) {
        let Some(mut sequence) = self.running.pop() else {
            return;
        };
        self.free_memory(&mut sequence);
        sequence.prefill_left = 0;
        sequence.prefill_now = 0;
        self.records
            .change(sequence.record, |record| record.preempted += 1);
        insert_ordered(&mut self.waiting, sequence);
    }

    /// Allocates blocks for the next token of each running sequence, highest priority first.
    /// Preempts the last sequence in that order when memory runs out.
    pub(super) fn allocate_next_blocks(&mut self) {
        let block = self.settings.block_tokens;
        let mut index = 0;
        while index < self.running.len() {
            let sequence = &self.running[index];
            let capacity = sequence.blocks() * block;
            if sequence.context() < capacity || self.memory.allocate(1) {
                let sequence = &mut self.running[index];
                sequence.own_blocks += u32::from(sequence.context() >= capacity);
                index += 1;
            } else {
                self.preempt_last();
            }
        }
    }

    /// Shares the prefix of a sequence that has prefilled its context. Returns the key and length in
    /// blocks if it was shared.
    pub(super) fn share_prefix(&mut self, index: usize) -> Option<(u64, u32)> {
        let sequence = &mut self.running[index];
        let missing = sequence.prefix_blocks - sequence.pinned_blocks;
        if missing == 0 || sequence.own_blocks < missing {
            return None;
        }
        sequence.own_blocks -= missing;
        let (key, blocks) = (sequence.prefix_key, sequence.prefix_blocks);
        // Other sequences may have extended the prefix since this one was admitted, so only the
        // blocks beyond theirs are added.
        let already_pinned = self.memory.pinned(key);
        if already_pinned < sequence.pinned_blocks {
            sequence.own_blocks += missing;
            return None;
        }
        let has_pin = sequence.holds_pin;
        sequence.pinned_blocks = blocks;
        sequence.holds_pin = true;
        self.memory
            .share(key, blocks - (already_pinned.min(blocks)), missing, has_pin);
        Some((key, blocks))
    }

    /// Ends streams that have had no reader for the grace period.
    pub(super) fn end_detached_streams(&mut self, now_us: u64, effects: &mut Vec<Effect>) {
        let grace = self.settings.detach_grace_ms.saturating_mul(1_000);
        let all = self.running.iter().chain(self.waiting.iter());
        let detached = all.filter(|sequence| {
            let since = sequence.detached_at;
            since.is_some_and(|since| now_us.saturating_sub(since) >= grace)
        });
        let detached: Vec<_> = detached.map(|sequence| sequence.stream).collect();
        for stream in detached {
            self.remove(now_us, stream, super::RunEnd::Abandoned, effects);
        }
    }
}

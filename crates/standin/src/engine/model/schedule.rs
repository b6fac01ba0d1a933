//! Entry, preemption and memory: greater priority first in everything.

use super::{Effect, EngineModel};
use crate::engine::sequence::{Sequence, insert_ordered};

impl EngineModel {
    /// Lets waiting sequences enter, in order, until one does not fit.
    pub(super) fn schedule(&mut self) {
        while !self.waiting.is_empty() {
            if !self.make_room() {
                return;
            }
            let mut sequence = self.waiting.remove(0);
            self.take_memory(&mut sequence);
            insert_ordered(&mut self.running, sequence);
        }
    }

    /// Makes room for the first waiting sequence, by preemption of lower priorities if need be.
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
        let takeable: u32 = lower.map(|other| other.own_blocks).sum();
        let first = first.clone();
        if self.missing_blocks(&first) > takeable {
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

    /// Blocks that a sequence would need beyond what can be taken. Cached blocks of its own count as
    /// available: they are reused or evicted.
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

    /// Takes memory for a sequence that enters; what is cached of it need not be prefilled.
    fn take_memory(&mut self, sequence: &mut Sequence) {
        let block = self.settings.block_tokens;
        let needed = self.blocks_for(sequence);
        if sequence.prefix_blocks > 0 {
            let wanted = sequence.prefix_blocks;
            sequence.pinned_blocks = self.memory.pin(sequence.prefix_key, wanted);
            sequence.pins = sequence.pinned_blocks > 0;
        }
        let own_key = sequence.text.key();
        let own = self.memory.take_cached(own_key);
        // State beyond the prefix is of use only while the prefix is there.
        let whole_prefix = sequence.pinned_blocks == sequence.prefix_blocks;
        let still_needed = needed - sequence.pinned_blocks.min(needed);
        let reused = if whole_prefix {
            own.min(still_needed)
        } else {
            0
        };
        self.memory.give(own - reused);
        let fresh = still_needed - reused;
        if !self.memory.take(fresh) {
            // `make_room` has checked that they are there.
            debug_assert!(false, "no room for a sequence that may enter");
        }
        sequence.own_blocks = reused + fresh;
        let cached = (sequence.pinned_blocks + reused) * block;
        let context = sequence.context();
        // The last token is always computed: it gives the next one.
        let cached = cached.min(context.saturating_sub(1));
        sequence.prefill_left = context - cached;
        if !sequence.ran {
            sequence.cached_tokens = cached;
        }
    }

    /// Gives a sequence's memory back: what was computed stays as cache.
    pub(super) fn release(&mut self, sequence: &mut Sequence) {
        let computed = sequence.context().saturating_sub(sequence.prefill_left);
        let whole_blocks = computed / self.settings.block_tokens;
        let keep = whole_blocks
            .saturating_sub(sequence.pinned_blocks)
            .min(sequence.own_blocks);
        self.memory.retain(sequence.text.key(), keep);
        self.memory.give(sequence.own_blocks - keep);
        self.unpin(sequence);
        sequence.own_blocks = 0;
    }

    /// Frees a sequence's memory at once, for a higher priority.
    fn drop_memory(&mut self, sequence: &mut Sequence) {
        self.memory.give(sequence.own_blocks);
        self.unpin(sequence);
        sequence.own_blocks = 0;
    }

    fn unpin(&mut self, sequence: &mut Sequence) {
        if sequence.pins {
            self.memory.unpin(sequence.prefix_key);
        }
        sequence.pins = false;
        sequence.pinned_blocks = 0;
    }

    /// Preempts the running sequence of lowest priority, the newest of these: it leaves the memory
    /// and waits to be prefilled again.
    pub(super) fn preempt_last(&mut self) {
        let Some(mut sequence) = self.running.pop() else {
            return;
        };
        self.drop_memory(&mut sequence);
        sequence.prefill_left = 0;
        sequence.prefill_now = 0;
        self.records
            .change(sequence.record, |record| record.preempted += 1);
        insert_ordered(&mut self.waiting, sequence);
    }

    /// Blocks for the next tokens of running sequences, highest priority first; where there are
    /// none, the last of the order is preempted.
    pub(super) fn grow(&mut self) {
        let block = self.settings.block_tokens;
        let mut index = 0;
        while index < self.running.len() {
            let sequence = &self.running[index];
            let has = sequence.blocks() * block;
            if sequence.context() < has || self.memory.take(1) {
                let sequence = &mut self.running[index];
                sequence.own_blocks += u32::from(sequence.context() >= has);
                index += 1;
            } else {
                self.preempt_last();
            }
        }
    }

    /// A sequence has prefilled its context: its shared prefix can be used by others.
    pub(super) fn share_prefix(&mut self, index: usize) -> Option<(u64, u32)> {
        let sequence = &mut self.running[index];
        let missing = sequence.prefix_blocks - sequence.pinned_blocks;
        if missing == 0 || sequence.own_blocks < missing {
            return None;
        }
        sequence.own_blocks -= missing;
        let (key, blocks) = (sequence.prefix_key, sequence.prefix_blocks);
        // Others may have shared more since this one entered: count what is new.
        let there = self.memory.pinned(key);
        if there < sequence.pinned_blocks {
            sequence.own_blocks += missing;
            return None;
        }
        let counted = sequence.pins;
        sequence.pinned_blocks = blocks;
        sequence.pins = true;
        self.memory
            .share(key, blocks - (there.min(blocks)), missing, counted);
        Some((key, blocks))
    }

    /// Ends streams that nobody has read for the grace.
    pub(super) fn abandon_unread(&mut self, now_us: u64, effects: &mut Vec<Effect>) {
        let grace = self.settings.detach_grace_ms.saturating_mul(1_000);
        let all = self.running.iter().chain(self.waiting.iter());
        let unread = all.filter(|sequence| {
            let since = sequence.detached_at;
            since.is_some_and(|since| now_us.saturating_sub(since) >= grace)
        });
        let unread: Vec<_> = unread.map(|sequence| sequence.stream).collect();
        for stream in unread {
            self.remove(now_us, stream, super::RunEnd::Abandoned, effects);
        }
    }
}

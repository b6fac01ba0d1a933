//! Per-server state of the runner: running streams, step time model, shared prefixes and cache
//! model.

use std::collections::BTreeMap;
use std::rc::Rc;

use dappleyard_decide::time::Millis;
use dappleyard_decide::width::StepModel;
use dappleyard_wire::ids::RequestId;

use super::cache::CacheModel;
use super::work::{HeldChunk, WorkItem};

/// An item running on a server.
pub struct RunningItem {
    pub request: RequestId,
    /// Attempt number, which distinguishes streams of the same item.
    pub attempt: u32,
    pub chunk: Rc<HeldChunk>,
    /// Engine stream id, once the engine has accepted the item.
    pub stream: Option<String>,
    /// Whether the stream is being cancelled.
    pub stopping: bool,
    /// KV memory use.
    pub memory: SequenceMemory,
    /// Time of dispatch.
    pub started_at: Millis,
    /// Estimated time at which the prefill is complete.
    pub prefilled_at: Millis,
}

/// KV memory use of a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SequenceMemory {
    /// Hash of the shared prefix.
    pub prefix_hash: u64,
    /// Tokens of the shared prefix, stored once for all sequences with the same hash.
    pub prefix_tokens: u32,
    /// Tokens beyond the shared prefix at dispatch.
    pub own_tokens: u32,
    /// Maximum number of tokens still to be generated.
    pub remaining_tokens: u32,
}

/// Allowance for the partly filled last block of a sequence, tokens.
const PARTIAL_BLOCK_TOKENS: u32 = 16;

impl SequenceMemory {
    /// Returns the memory use of an item at its current offset.
    pub fn of(item: &WorkItem) -> SequenceMemory {
        let input = item.item();
        let generated = u32::try_from(item.pieces.len()).unwrap_or(u32::MAX);
        SequenceMemory {
            prefix_hash: input.prefix_hash,
            prefix_tokens: input.prefix_tokens,
            own_tokens: input.prompt_tokens.saturating_sub(input.prefix_tokens)
                + generated
                + PARTIAL_BLOCK_TOKENS,
            remaining_tokens: input.max_tokens.saturating_sub(generated),
        }
    }
}

/// State of a server that is private to the runner.
#[derive(Default)]
pub struct ServerState {
    /// Running items, oldest first.
    pub running: Vec<RunningItem>,
    /// Step time model, fitted to engine reports.
    pub step_model: StepModel,
    /// Sequence number of the last engine report used for the step model.
    pub last_report_sequence: u64,
    /// Time before which no item is started, after the engine refused or failed one.
    pub backoff_until: Millis,
    /// Time at which an item that needs a prefill was last dispatched.
    pub prefilled_at: Millis,
    /// Prefill tokens dispatched since the last engine report.
    pub prefill_tokens_sent: u32,
    /// Time at which the last engine report was processed.
    pub report_at: Millis,
    /// Shared prefixes that the server computes or caches, by hash.
    pub prefixes: BTreeMap<u64, PrefixState>,
    /// Tokens to be computed for the last dispatched prefill.
    pub last_prefill_tokens: u32,
    /// Model of the KV state cached for ended sequences.
    pub cache: CacheModel,
    /// Estimated time at which all dispatched prefills are complete.
    pub prefills_done_at: Millis,
}

/// State of a shared prefix on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefixState {
    /// The first item with the prefix, its leader, was dispatched and has produced no token yet.
    Computing {
        /// Dispatch time of the leader.
        since: Millis,
    },
    /// The prefix is in the cache.
    Cached {
        /// Time of last use.
        used_at: Millis,
    },
}

/// Time after which another item may replace a leader without a token, milliseconds.
const LEADER_TIMEOUT_MS: u64 = 2_000;
/// Time without use after which a shared prefix counts as evicted, milliseconds.
const PREFIX_TTL_MS: u64 = 10_000;
/// Prefill tokens that a server computes in one step.
const PREFILL_TOKENS_PER_STEP: f64 = 512.0;

impl ServerState {
    /// Estimated KV memory of the running items, tokens; assumes one token per step for each.
    pub fn batch_tokens(&self, now: Millis) -> u32 {
        let step_ms = self.step_model.step_ms(self.active(), 0);
        let mut prefixes = BTreeMap::new();
        let mut own = 0_u32;
        for running in self.running.iter().filter(|running| !running.stopping) {
            let memory = &running.memory;
            prefixes.insert(memory.prefix_hash, memory.prefix_tokens);
            let steps = now.since(running.started_at) as f64 / step_ms;
            own =
                own.saturating_add(memory.own_tokens + (steps as u32).min(memory.remaining_tokens));
        }
        own.saturating_add(prefixes.values().sum())
    }

    /// Whether an item with a shared prefix may be dispatched. Items after the first one wait until
    /// the prefix is in the cache.
    pub fn admits_prefix(&mut self, prefix: u64, now: Millis) -> bool {
        self.prefixes.retain(|_, state| match state {
            PrefixState::Computing { since } => now.since(*since) < LEADER_TIMEOUT_MS,
            PrefixState::Cached { used_at } => now.since(*used_at) < PREFIX_TTL_MS,
        });
        !matches!(
            self.prefixes.get(&prefix),
            Some(PrefixState::Computing { .. })
        )
    }

    /// Records the dispatch of an item that needs a prefill. Returns the estimated time at which
    /// the prefill is complete, and whether the item is the leader of its shared prefix.
    pub fn record_prefill(&mut self, memory: &SequenceMemory, now: Millis) -> (Millis, bool) {
        let is_leader =
            memory.prefix_tokens > 0 && !self.prefixes.contains_key(&memory.prefix_hash);
        let state = match is_leader {
            true => PrefixState::Computing { since: now },
            false => PrefixState::Cached { used_at: now },
        };
        self.prefixes.insert(memory.prefix_hash, state);
        let shared = if is_leader { memory.prefix_tokens } else { 0 };
        let tokens = memory.own_tokens + shared;
        self.prefilled_at = now;
        self.prefill_tokens_sent += tokens;
        self.last_prefill_tokens = tokens;
        let step_ms = self.step_model.step_ms(self.active(), tokens.min(512));
        let cost_ms = f64::from(tokens) / PREFILL_TOKENS_PER_STEP * step_ms;
        let begin = self.prefills_done_at.max(now);
        self.prefills_done_at = begin.plus(cost_ms.ceil() as u64);
        (self.prefills_done_at, is_leader)
    }

    /// Records that the leader of a shared prefix has produced a token.
    pub fn set_prefix_cached(&mut self, prefix: u64, now: Millis) {
        let cached = PrefixState::Cached { used_at: now };
        self.prefixes.insert(prefix, cached);
    }

    /// Number of running items that are not being cancelled.
    pub fn active(&self) -> u32 {
        let active = self.running.iter().filter(|running| !running.stopping);
        u32::try_from(active.count()).unwrap_or(u32::MAX)
    }
}

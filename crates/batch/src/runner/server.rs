//! What the runner knows of a server besides the shared table: its streams, learnt step cost, shared
//! heads of prompts and cache.

use std::collections::BTreeMap;
use std::rc::Rc;

use dappleyard_decide::time::Millis;
use dappleyard_decide::width::StepModel;
use dappleyard_wire::ids::RequestId;

use super::cache::CacheModel;
use super::work::{HeldChunk, WorkItem};

/// A batch stream on a server.
pub struct RunningItem {
    /// Request id.
    pub request: RequestId,
    /// Attempt, which tells two streams of the same item apart.
    pub attempt: u32,
    /// Its chunk.
    pub chunk: Rc<HeldChunk>,
    /// Engine stream, once it is known.
    pub stream: Option<String>,
    /// It was told to stop.
    pub stopping: bool,
    /// What it needs of the KV memory.
    pub memory: SequenceMemory,
    /// When it was sent.
    pub started_at: Millis,
    /// When its prompt is estimated to be computed.
    pub prefilled_at: Millis,
}

/// What a sequence needs of the KV memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SequenceMemory {
    /// Hash of the shared head of its prompt.
    pub prefix_hash: u64,
    /// Tokens of the shared head, which sequences with the same hash hold together.
    pub prefix_tokens: u32,
    /// Tokens of its own when it was sent.
    pub own_tokens: u32,
    /// Tokens that it may still make.
    pub left: u32,
}

/// Tokens that a sequence holds beyond its own, since memory is given out in blocks.
const BLOCK_WASTE_TOKENS: u32 = 16;

impl SequenceMemory {
    /// Memory of an item that is about to be sent.
    pub fn of(item: &WorkItem) -> SequenceMemory {
        let input = item.item();
        let made = u32::try_from(item.pieces.len()).unwrap_or(u32::MAX);
        SequenceMemory {
            prefix_hash: input.prefix_hash,
            prefix_tokens: input.prefix_tokens,
            own_tokens: input.prompt_tokens.saturating_sub(input.prefix_tokens)
                + made
                + BLOCK_WASTE_TOKENS,
            left: input.max_tokens.saturating_sub(made),
        }
    }
}

/// What is known of a server besides the shared table.
#[derive(Default)]
pub struct ServerState {
    /// Streams, oldest first.
    pub running: Vec<RunningItem>,
    /// Learnt cost of a step.
    pub steps: StepModel,
    /// Number of the last report taken into `steps`.
    pub report_seen: u64,
    /// Start nothing before this time, since the engine refused or failed.
    pub avoid_until: Millis,
    /// When an item was last started that needed a prefill.
    pub prefilled_at: Millis,
    /// Prefill tokens sent since the last report was taken in, and when that was.
    pub prefill_sent: u32,
    /// When the last report was taken in.
    pub report_at: Millis,
    /// Shared heads of prompts that the server computes or caches.
    pub prefixes: BTreeMap<u64, PrefixState>,
    /// Tokens of the last prompt sent that had to be computed.
    pub last_prefill_tokens: u32,
    /// What it is taken to cache of sequences that ended there.
    pub cache: CacheModel,
    /// When the server will have computed all prompts sent to it, as estimated.
    pub prefill_free_at: Millis,
}

/// What is known of a shared head of prompts on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefixState {
    /// The first item with it, its leader, was sent and has not made a token yet.
    Computing {
        /// When the leader was sent.
        since: Millis,
    },
    /// It is in the cache.
    Cached {
        /// When it was last used.
        used_at: Millis,
    },
}

/// Time after which a leader is taken to be lost, milliseconds.
const LEADER_LOST_MS: u64 = 2_000;
/// Time without use after which a shared head is taken to have left the cache, milliseconds.
const PREFIX_KEPT_MS: u64 = 10_000;
/// Prompt tokens that a server computes in one step.
const PREFILL_TOKENS_PER_STEP: f64 = 512.0;

impl ServerState {
    /// Tokens of KV memory that the running streams are estimated to hold: each makes a token a step.
    pub fn batch_tokens(&self, now: Millis) -> u32 {
        let step_ms = self.steps.step_ms(self.active(), 0);
        let mut prefixes = BTreeMap::new();
        let mut own = 0_u32;
        for running in self.running.iter().filter(|running| !running.stopping) {
            let memory = &running.memory;
            prefixes.insert(memory.prefix_hash, memory.prefix_tokens);
            let steps = now.since(running.started_at) as f64 / step_ms;
            own = own.saturating_add(memory.own_tokens + (steps as u32).min(memory.left));
        }
        own.saturating_add(prefixes.values().sum())
    }

    /// Whether an item whose prompt begins with a shared head may be sent: the first one that does,
    /// or one that comes after the first has computed it and finds it in the cache.
    pub fn admits_prefix(&mut self, prefix: u64, now: Millis) -> bool {
        self.prefixes.retain(|_, state| match state {
            PrefixState::Computing { since } => now.since(*since) < LEADER_LOST_MS,
            PrefixState::Cached { used_at } => now.since(*used_at) < PREFIX_KEPT_MS,
        });
        !matches!(
            self.prefixes.get(&prefix),
            Some(PrefixState::Computing { .. })
        )
    }

    /// Notes that an item is sent whose prompt must be computed, and says when that is estimated to be
    /// done and whether the item is the leader of its shared head.
    pub fn send_cold(&mut self, memory: &SequenceMemory, now: Millis) -> (Millis, bool) {
        let leads = memory.prefix_tokens > 0 && !self.prefixes.contains_key(&memory.prefix_hash);
        let state = match leads {
            true => PrefixState::Computing { since: now },
            false => PrefixState::Cached { used_at: now },
        };
        self.prefixes.insert(memory.prefix_hash, state);
        let shared = if leads { memory.prefix_tokens } else { 0 };
        let tokens = memory.own_tokens + shared;
        self.prefilled_at = now;
        self.prefill_sent += tokens;
        self.last_prefill_tokens = tokens;
        let step_ms = self.steps.step_ms(self.active(), tokens.min(512));
        let cost_ms = f64::from(tokens) / PREFILL_TOKENS_PER_STEP * step_ms;
        let begin = self.prefill_free_at.max(now);
        self.prefill_free_at = begin.plus(cost_ms.ceil() as u64);
        (self.prefill_free_at, leads)
    }

    /// The leader of a shared head has made a token.
    pub fn prefix_computed(&mut self, prefix: u64, now: Millis) {
        let cached = PrefixState::Cached { used_at: now };
        self.prefixes.insert(prefix, cached);
    }

    /// Streams that were not told to stop.
    pub fn active(&self) -> u32 {
        let active = self.running.iter().filter(|running| !running.stopping);
        u32::try_from(active.count()).unwrap_or(u32::MAX)
    }
}

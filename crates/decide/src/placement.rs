//! Selection of an owner node and of a server for a request.
//!
//! Both levels use rendezvous hashing with bounded load: the candidate with the greatest weight for
//! the request's prefix key is chosen unless its load is far above the mean, so requests with a
//! common prefix reach the same prefix cache. Other candidates, and requests without a key, are
//! ordered by expected wait.

use std::cmp::Ordering;

/// Sequences per server below which the load bound is not applied: the cost of another sequence is
/// lower than that of a prefill without a cached prefix.
pub const AFFINITY_FLOOR_SEQUENCES: u64 = 8;

/// Maximum additional expected wait due to prefix affinity, in milliseconds.
pub const AFFINITY_WAIT_MS: u32 = 20;

/// Owner node or server that may be chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Rendezvous weight for the request's key: `wire::hash::rendezvous_weight`.
    pub weight: u64,
    /// Number of servers of the owner node; 1 for a server.
    pub servers: u32,
    /// Running and waiting online sequences.
    pub sequences: u32,
    /// Expected wait of a new online request, in milliseconds.
    pub wait_ms: u32,
}

/// Prefix affinity settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Affinity {
    /// Maximum load for affinity, as a percentage of the mean; `None` disables affinity.
    pub bound_percent: Option<u32>,
}

/// Writes the indices of the best candidates to `best`, in order, and returns their count. Does not
/// allocate.
pub fn rank(candidates: &[Candidate], affinity: Affinity, best: &mut [usize]) -> usize {
    let limit = Limit::of(candidates, affinity);
    let mut found = 0;
    while found < best.len() {
        let next = (0..candidates.len())
            .filter(|index| !best[..found].contains(index))
            .min_by(|left, right| limit.order(&candidates[*left], &candidates[*right]));
        match next {
            Some(index) => best[found] = index,
            None => break,
        }
        found += 1;
    }
    found
}

/// Limits up to which a candidate is chosen by affinity.
struct Limit {
    /// Sequences per server, in thousandths; `None` without affinity.
    sequences: Option<u64>,
    wait_ms: u32,
}

impl Limit {
    fn of(candidates: &[Candidate], affinity: Affinity) -> Limit {
        let shortest = candidates.iter().map(|candidate| candidate.wait_ms).min();
        let wait_ms = shortest.unwrap_or(0).saturating_add(AFFINITY_WAIT_MS);
        let Some(percent) = affinity.bound_percent else {
            return Limit {
                sequences: None,
                wait_ms,
            };
        };
        let sequences: u64 = candidates.iter().map(|one| u64::from(one.sequences)).sum();
        let servers: u64 = candidates.iter().map(|one| u64::from(one.servers)).sum();
        let mean = (sequences + 1) * 1_000 / servers.max(1);
        let bound = mean * u64::from(percent) / 100;
        Limit {
            sequences: Some(bound.max(AFFINITY_FLOOR_SEQUENCES * 1_000)),
            wait_ms,
        }
    }

    fn admits(&self, candidate: &Candidate) -> bool {
        self.sequences
            .is_some_and(|bound| load(candidate) < bound && candidate.wait_ms <= self.wait_ms)
    }

    /// Orders better candidates first.
    fn order(&self, left: &Candidate, right: &Candidate) -> Ordering {
        let by_weight = right.weight.cmp(&left.weight);
        match (self.admits(left), self.admits(right)) {
            (true, true) => by_weight,
            (true, false) => Ordering::Less,
            (false, true) => Ordering::Greater,
            (false, false) => left
                .wait_ms
                .cmp(&right.wait_ms)
                .then(load(left).cmp(&load(right)))
                .then(by_weight),
        }
    }
}

/// Sequences per server, in thousandths.
fn load(candidate: &Candidate) -> u64 {
    u64::from(candidate.sequences) * 1_000 / u64::from(candidate.servers.max(1))
}

/// Load and capacity of a server, as known to its owner node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerCapacity {
    /// Online sequences, including those of other owners.
    pub online: u32,
    /// Prompt tokens waiting for prefill.
    pub prefill_tokens: u32,
    /// KV cache tokens that online sequences may use.
    pub online_tokens: u32,
    /// KV cache capacity of the server, in tokens.
    pub total_tokens: u32,
    /// Maximum concurrent sequences.
    pub maximum_sequences: u32,
    pub step_ms: f64,
}

/// Prompt tokens that an engine prefills per step.
pub const PREFILL_TOKENS_PER_STEP: u32 = 512;

/// Output tokens of a typical request, used to estimate slot turnover and KV cache usage.
pub const TYPICAL_OUTPUT_TOKENS: u32 = 256;

/// Expected KV cache tokens of a request. Few requests reach a large output limit.
pub fn expected_tokens(prompt_tokens: u32, max_tokens: u32) -> u32 {
    prompt_tokens.saturating_add(max_tokens.min(TYPICAL_OUTPUT_TOKENS))
}

/// Expected time until the first step of a request of `tokens` KV cache tokens, in milliseconds.
/// Batch sequences do not count because the engine preempts them for online work.
pub fn expected_wait_ms(server: &ServerCapacity, tokens: u32) -> u32 {
    let prefill_steps = f64::from(server.prefill_tokens) / f64::from(PREFILL_TOKENS_PER_STEP);
    let ahead = f64::from(sequences_ahead(server, tokens));
    let slots = f64::from(server.maximum_sequences.max(1));
    let turnover_steps = f64::from(TYPICAL_OUTPUT_TOKENS / 2) * ahead / slots;
    ((prefill_steps + turnover_steps) * server.step_ms).min(f64::from(u32::MAX)) as u32
}

/// Sequences that must finish before this one can start, by sequence slots or by KV cache memory.
fn sequences_ahead(server: &ServerCapacity, tokens: u32) -> u32 {
    let by_slots = (server.online + 1).saturating_sub(server.maximum_sequences);
    let excess = (server.online_tokens.saturating_add(tokens)).saturating_sub(server.total_tokens);
    let mean_tokens = server.online_tokens / server.online.max(1);
    let by_memory = excess.div_ceil(mean_tokens.max(1));
    by_slots.max(by_memory)
}

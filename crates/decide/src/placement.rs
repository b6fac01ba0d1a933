//! Choice of an owner node and of a server.
//!
//! Both levels use the same rule, rendezvous hashing with bounded load: the candidate with the
//! greatest weight for the request's prefix key wins as long as it is not loaded far above the mean,
//! so that requests which share a prefix meet its cache without any exchange of cache contents.
//! Others follow by expected wait. A request without a key goes by expected wait alone.

use std::cmp::Ordering;

/// Sequences a server may hold before the bound on its load matters at all. Below it one more
/// sequence lengthens a step by less than the prefill that a cached prefix saves.
pub const AFFINITY_FLOOR_SEQUENCES: u64 = 8;

/// Expected wait above the shortest one that prefix affinity may cost, milliseconds.
pub const AFFINITY_WAIT_MS: u32 = 20;

/// One owner node or one server that could take the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Rendezvous weight for the request's key: `wire::hash::rendezvous_weight`.
    pub weight: u64,
    /// Servers behind the candidate; 1 for a server.
    pub servers: u32,
    /// Online sequences running and waiting there.
    pub sequences: u32,
    /// Expected wait of a new online request, milliseconds.
    pub wait_ms: u32,
}

/// How far prefix affinity goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Affinity {
    /// Load relative to the mean up to which affinity wins, percent; `None` for no affinity at all.
    pub bound_percent: Option<u32>,
}

/// Writes the indices of the best candidates into `best`, best first, and returns how many there
/// are. Allocates nothing.
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

/// What a candidate must stay under to be chosen by affinity.
struct Limit {
    /// Sequences a server, in thousandths; `None` without affinity.
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

    /// Better candidates come first.
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

/// Sequences a server, in thousandths.
fn load(candidate: &Candidate) -> u64 {
    u64::from(candidate.sequences) * 1_000 / u64::from(candidate.servers.max(1))
}

/// What the owner knows of a server's ability to start one more sequence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerRoom {
    /// Online sequences there, this owner's and others'.
    pub online: u32,
    /// Prompt tokens that wait for prefill.
    pub prefill_tokens: u32,
    /// KV tokens that online sequences may come to hold.
    pub online_tokens: u32,
    /// KV tokens of the server.
    pub total_tokens: u32,
    /// Most sequences at once.
    pub maximum_sequences: u32,
    /// Step time, milliseconds.
    pub step_ms: f64,
}

/// Prompt tokens that an engine prefills in one step.
pub const PREFILL_TOKENS_A_STEP: u32 = 512;

/// Output tokens of a request of usual size: what a place is waited for, and what a request is
/// expected to use of a larger limit.
pub const USUAL_OUTPUT_TOKENS: u32 = 256;

/// KV tokens that a request is expected to hold: few use the whole of a large output limit.
pub fn expected_tokens(prompt_tokens: u32, max_tokens: u32) -> u32 {
    prompt_tokens.saturating_add(max_tokens.min(USUAL_OUTPUT_TOKENS))
}

/// Expected wait of a request of `tokens` KV tokens for its first step, milliseconds. Batch
/// sequences do not count: the engine drops them for online work.
pub fn expected_wait_ms(room: &ServerRoom, tokens: u32) -> u32 {
    let prefill_steps = f64::from(room.prefill_tokens) / f64::from(PREFILL_TOKENS_A_STEP);
    let ahead = f64::from(places_short(room, tokens));
    let places = f64::from(room.maximum_sequences.max(1));
    let turnover_steps = f64::from(USUAL_OUTPUT_TOKENS / 2) * ahead / places;
    ((prefill_steps + turnover_steps) * room.step_ms).min(f64::from(u32::MAX)) as u32
}

/// Sequences that must end before this one can start, by places and by KV memory.
fn places_short(room: &ServerRoom, tokens: u32) -> u32 {
    let by_places = (room.online + 1).saturating_sub(room.maximum_sequences);
    let excess = (room.online_tokens.saturating_add(tokens)).saturating_sub(room.total_tokens);
    let mean_tokens = room.online_tokens / room.online.max(1);
    let by_memory = excess.div_ceil(mean_tokens.max(1));
    by_places.max(by_memory)
}

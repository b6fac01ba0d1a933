//! Server selection by weight. Free of I/O; all inputs are passed in.

use std::sync::Arc;

use dappleyard_cluster::{DistanceWeights, LoadSummary, WarmupState, ZoneDistances};
use dappleyard_model::{Distance, PromptPart, ServerRecord};
use rand::Rng;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Prompt tokens not yet processed that weigh as much as one request.
const TOKENS_PER_REQUEST: f64 = 1_000.0;
/// Bonus of the server that caches the shared prompt parts.
const AFFINITY_BONUS: f64 = 30.0;
/// Minimum number of shared tokens for prompt affinity.
const MIN_AFFINITY_TOKENS: u32 = 1_500;
/// Weight of each request beyond the server's slots.
const QUEUED_WEIGHT: f64 = 6.0;
/// Weight of a server that was recently silent or failing.
const SUSPECT_WEIGHT: f64 = 200.0;
/// Excess time to the first event, in milliseconds, that weighs as much as one request.
const EXCESS_MS_PER_REQUEST: f64 = 12.0;
/// Weights of the network path. Its latency delays the first event and weighs as much as any other
/// delay.
const PATH_WEIGHTS: DistanceWeights = DistanceWeights {
    other_zone: 6.0,
    ms_per_unit: EXCESS_MS_PER_REQUEST,
};
/// Remaining warm-up time, in milliseconds, that weighs as much as one request.
const COLD_MS_PER_REQUEST: f64 = 100.0;
/// Weight of a cold server under a rate limit. It is smaller than that of another zone, so that a
/// restored zone gets its own requests at once.
const COLD_WEIGHT: f64 = 3.0;
/// Weight of the processing before the first event at normal speed. Scales the penalty of an idle
/// slow server.
const FIRST_EVENT_WEIGHT: f64 = 5.0;

/// Servers of the own zone sampled per request in a large fleet.
const NEAR_SAMPLE: usize = 4;
/// Servers sampled of the other zones, and again of the other regions.
const FAR_SAMPLE: usize = 2;

/// Properties of a prompt that matter for placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PromptShape {
    /// Hash of the shared parts; `None` if they are too short for affinity.
    pub shared: Option<u64>,
    pub shared_tokens: u32,
    pub tokens: u32,
}

impl PromptShape {
    /// All parts but the last are treated as shared.
    pub fn new(parts: &[PromptPart], tokens: u32) -> Self {
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared_tokens = shared.iter().map(|part| part.tokens).sum();
        let bytes: Vec<u8> = shared
            .iter()
            .flat_map(|part| part.id.to_le_bytes())
            .collect();
        Self {
            shared: (shared_tokens >= MIN_AFFINITY_TOKENS).then(|| xxh3_64(&bytes)),
            shared_tokens,
            tokens: tokens.max(shared_tokens),
        }
    }

    /// Tokens that a server has to process, given whether it caches the shared parts.
    pub fn uncached_tokens(&self, cached: bool) -> u32 {
        match cached {
            true => self.tokens.saturating_sub(self.shared_tokens),
            false => self.tokens,
        }
    }
}

/// A server that could run a request.
#[derive(Debug, Clone)]
pub struct Candidate {
    pub server: Arc<ServerRecord>,
    /// Load caused by all nodes.
    pub load: LoadSummary,
}

/// Draws a random sample of servers per distance and adds the affinity server. Load information is
/// delayed: if every node chose the least loaded of all servers, they would all choose the same
/// one.
pub fn sample<'a>(
    servers: &[&'a Arc<ServerRecord>],
    zone_distances: &ZoneDistances,
    affinity_server: Option<&str>,
    random: &mut impl Rng,
) -> Vec<&'a Arc<ServerRecord>> {
    let sampled = [
        (Distance::SameZone, NEAR_SAMPLE),
        (Distance::SameRegion, FAR_SAMPLE),
        (Distance::OtherRegion, FAR_SAMPLE),
    ];
    let mut chosen: Vec<&Arc<ServerRecord>> = Vec::new();
    let mut unfilled = 0;
    for (distance, most) in sampled {
        let at_distance = servers.iter().copied();
        let at_distance: Vec<_> = at_distance
            .filter(|server| zone_distances.distance(&server.zone) == distance)
            .collect();
        // If the own zone has no servers, for example while evacuated, its share of the sample goes
        // to the next distance.
        unfilled += most;
        let most = match chosen.is_empty() {
            true => unfilled,
            false => most,
        };
        chosen.extend(at_distance.choose_multiple(random, most).copied());
    }
    let is_affinity_server =
        |server: &&&Arc<ServerRecord>| affinity_server == Some(server.id.as_str());
    chosen.extend(servers.iter().find(is_affinity_server).copied());
    chosen
}

/// Whether a candidate may be chosen from a sample. Full servers may be chosen: if nodes considered
/// all servers whenever a sample is full, they would all choose the same one during a burst.
pub fn is_healthy(candidate: &Candidate) -> bool {
    !candidate.load.suspect
}

/// Mean number of online requests beyond the slots; negative if slots are free.
pub fn mean_excess(candidates: &[Candidate]) -> f64 {
    let over = candidates
        .iter()
        .map(|candidate| f64::from(candidate.load.online) - f64::from(candidate.server.slots));
    over.sum::<f64>() / candidates.len().max(1) as f64
}

/// The server that caches the shared prompt parts, by rendezvous hashing.
pub fn affinity_server(servers: &[Arc<ServerRecord>], shared: u64) -> Option<&Arc<ServerRecord>> {
    servers
        .iter()
        .max_by_key(|server| xxh3_64_with_seed(server.id.as_bytes(), shared))
}

/// Weight of a candidate's load, scaled by its slowdown: at a third of the speed each request counts
/// three times. A free slot never weighs more than a full server, since a request starts there at
/// once.
fn load_weight(candidate: &Candidate) -> f64 {
    let load = &candidate.load;
    let slots = f64::from(candidate.server.slots);
    let slowdown_ratio = load.slowdown.times();
    let requests = f64::from(load.online + load.batch);
    let over = (requests + 1.0 - slots).max(0.0);
    let counted = match requests < slots {
        true => (requests * slowdown_ratio).min(slots - 1.0),
        false => requests,
    };
    let uncached_tokens = f64::from(load.unread_tokens) / TOKENS_PER_REQUEST;
    counted
        + uncached_tokens * slowdown_ratio
        + over * QUEUED_WEIGHT * slowdown_ratio.max(1.0)
        + FIRST_EVENT_WEIGHT * (slowdown_ratio - 1.0)
}

/// Total weight of a candidate; the lowest is chosen.
fn weight(candidate: &Candidate, zone_distances: &ZoneDistances, is_affinity_server: bool) -> f64 {
    let load = &candidate.load;
    let mut weight = load_weight(candidate);
    weight += load.excess_ms / EXCESS_MS_PER_REQUEST;
    weight += match load.warmup_state {
        // The rate limit of cold servers keeps further requests away, so the remaining warm-up time
        // does not count.
        Some(WarmupState::Warm) => 0.0,
        Some(_) => COLD_WEIGHT,
        None => candidate.server.cold_left_ms as f64 / COLD_MS_PER_REQUEST,
    };
    weight += zone_distances.cost(&candidate.server.zone, PATH_WEIGHTS);
    if load.suspect {
        weight += SUSPECT_WEIGHT;
    }
    if is_affinity_server {
        weight -= AFFINITY_BONUS;
    }
    weight
}

/// Whether a request would start at once.
pub fn has_free_slot(candidate: &Candidate) -> bool {
    is_healthy(candidate) && candidate.load.online < candidate.server.slots
}

/// Weight of the queue at a candidate. Batch items do not count, since they are preempted.
fn queue_weight(candidate: &Candidate) -> f64 {
    let ahead = f64::from(candidate.load.online) + 1.0 - f64::from(candidate.server.slots);
    ahead.max(0.0) * (1.0 + QUEUED_WEIGHT) * candidate.load.slowdown.times().max(1.0)
}

/// Limits the candidates by region: those with a free slot in the own region, plus those with a
/// free slot elsewhere whose network path costs less than the shortest queue here. Returns all
/// candidates if there is none. Traffic between regions is expensive, so a request does not leave
/// for a server that is merely less busy.
pub fn limit_by_region(
    candidates: Vec<Candidate>,
    zone_distances: &ZoneDistances,
) -> Vec<Candidate> {
    if !zone_distances.has_regions() {
        return candidates;
    }
    let is_near = |entry: &Candidate| zone_distances.is_near(&entry.server.zone);
    let healthy = candidates
        .iter()
        .filter(|entry| is_near(entry) && is_healthy(entry));
    let shortest_wait = healthy.map(queue_weight).fold(f64::INFINITY, f64::min);
    // Paths within the region are ignored, since every queue here involves one.
    let serves = |entry: &Candidate| {
        let path_cost = zone_distances.rtt_cost(&entry.server.zone, PATH_WEIGHTS);
        has_free_slot(entry) && (is_near(entry) || path_cost < shortest_wait)
    };
    match candidates.iter().any(serves) {
        true => candidates.into_iter().filter(serves).collect(),
        false => candidates,
    }
}

/// Returns the candidate of least weight, the first among equals. `affinity_server` is the ID of
/// the server that caches the prompt, if any.
pub fn choose<'a>(
    candidates: &'a [Candidate],
    zone_distances: &ZoneDistances,
    affinity_server: Option<&str>,
) -> Option<&'a Candidate> {
    let weigh = |candidate: &Candidate| {
        let is_affinity_server = affinity_server == Some(candidate.server.id.as_str());
        weight(candidate, zone_distances, is_affinity_server)
    };
    candidates
        .iter()
        .map(|candidate| (weigh(candidate), candidate))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

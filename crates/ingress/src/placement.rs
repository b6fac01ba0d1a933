//! Choice of a server. Pure: what it rests on is passed in.

use std::sync::Arc;

use dappleyard_cluster::{LoadSummary, Temperature, WayWeights, Ways};
use dappleyard_model::{Distance, PromptPart, ServerRecord};
use rand::Rng;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Prompt tokens that weigh as much as one request under way.
const TOKENS_PER_UNIT: f64 = 1_000.0;
/// Weight of shared prompt parts that the server keeps.
const AFFINITY: f64 = 30.0;
/// Shared tokens from which a prompt has a home server.
const AFFINITY_TOKENS: u32 = 1_500;
/// Weight of each request above the server's slots.
const OVER_SLOTS: f64 = 6.0;
/// Weight of a server that was found silent or broken a moment ago.
const SUSPECT: f64 = 200.0;
/// Milliseconds of excess time to the first event that weigh as much as one request.
const EXCESS_MS_PER_UNIT: f64 = 12.0;
/// Weights of the way to a server. The first event comes later by as much as the way is longer, so its time
/// weighs like any other by which that event comes late.
const WAY: WayWeights = WayWeights {
    other_zone: 6.0,
    ms_per_unit: EXCESS_MS_PER_UNIT,
};
/// Remaining milliseconds of a cold start that weigh as much as one request.
const COLD_MS_PER_UNIT: f64 = 100.0;
/// Weight of a server that is cold, where its rate is bounded: less than the way to another zone, so that a zone that
/// returns cold takes part in its own work at once.
const COLD: f64 = 3.0;
/// Weight of a request's own way to its first event at a server of the usual pace: what a slower server
/// adds when nothing is ahead.
const FIRST_EVENT: f64 = 5.0;

/// Servers of the own zone that one request weighs in a large fleet, drawn at random.
const NEAR_SAMPLED: usize = 4;
/// Servers of other zones that it weighs besides, and as many of other regions.
const FAR_SAMPLED: usize = 2;

/// What matters of a prompt for placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PromptShape {
    /// Hash over the shared parts, or `None` when they are too short to matter.
    pub shared: Option<u64>,
    /// Tokens of the shared parts.
    pub shared_tokens: u32,
    /// Tokens of the whole prompt.
    pub tokens: u32,
}

impl PromptShape {
    /// The shape of a prompt; its last part belongs to the request itself.
    pub fn new(parts: &[PromptPart], tokens: u32) -> Self {
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared_tokens = shared.iter().map(|part| part.tokens).sum();
        let bytes: Vec<u8> = shared
            .iter()
            .flat_map(|part| part.id.to_le_bytes())
            .collect();
        Self {
            shared: (shared_tokens >= AFFINITY_TOKENS).then(|| xxh3_64(&bytes)),
            shared_tokens,
            tokens: tokens.max(shared_tokens),
        }
    }

    /// Tokens that a server has to read, when it keeps the shared parts or not.
    pub fn unread(&self, kept: bool) -> u32 {
        match kept {
            true => self.tokens.saturating_sub(self.shared_tokens),
            false => self.tokens,
        }
    }
}

/// One server that could run a request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The server.
    pub server: Arc<ServerRecord>,
    /// Its load over all nodes.
    pub load: LoadSummary,
}

/// Some servers at random of each distance, and the home of the prompt. Loads are known with a delay; were
/// the least loaded of all servers chosen, all nodes of a large fleet would choose the same one until its
/// load is told.
pub fn sample<'a>(
    servers: &[&'a Arc<ServerRecord>],
    ways: &Ways,
    home: Option<&str>,
    random: &mut impl Rng,
) -> Vec<&'a Arc<ServerRecord>> {
    let sampled = [
        (Distance::SameZone, NEAR_SAMPLED),
        (Distance::SameRegion, FAR_SAMPLED),
        (Distance::OtherRegion, FAR_SAMPLED),
    ];
    let mut chosen: Vec<&Arc<ServerRecord>> = Vec::new();
    let mut undrawn = 0;
    for (distance, most) in sampled {
        let there = servers.iter().copied();
        let there: Vec<_> = there
            .filter(|server| ways.distance(&server.zone) == distance)
            .collect();
        // A zone without servers, as one that is evacuated, must not choose among fewer than the others do.
        undrawn += most;
        let most = match chosen.is_empty() {
            true => undrawn,
            false => most,
        };
        chosen.extend(there.choose_multiple(random, most).copied());
    }
    let is_home = |server: &&&Arc<ServerRecord>| home == Some(server.id.as_str());
    chosen.extend(servers.iter().find(is_home).copied());
    chosen
}

/// Whether a candidate may be chosen out of a sample. A full one may: were all servers weighed when the
/// sample is full, all nodes would choose the same one until its load is told, and a wave of arrivals
/// that fills the fleet would pile up at it.
pub fn is_sound(candidate: &Candidate) -> bool {
    !candidate.load.suspect
}

/// Online requests above the slots, in the mean of some candidates; less than zero where slots are free.
pub fn mean_over(candidates: &[Candidate]) -> f64 {
    let over = candidates
        .iter()
        .map(|candidate| f64::from(candidate.load.online) - f64::from(candidate.server.slots));
    over.sum::<f64>() / candidates.len().max(1) as f64
}

/// The server that keeps the shared parts of a prompt: the highest hash of both.
pub fn home(servers: &[Arc<ServerRecord>], shared: u64) -> Option<&Arc<ServerRecord>> {
    servers
        .iter()
        .max_by_key(|server| xxh3_64_with_seed(server.id.as_bytes(), shared))
}

/// Weight of the work at a candidate and of the time that it takes there. At a server of thrice the usual pace each
/// request under way counts for three, so that it gets a third; but a free slot never counts for more than a full
/// server, since a request there begins at once, and a queue is longer than the news of it says.
fn work(candidate: &Candidate) -> f64 {
    let load = &candidate.load;
    let slots = f64::from(candidate.server.slots);
    let pace = load.pace.times();
    let requests = f64::from(load.online + load.batch);
    let over = (requests + 1.0 - slots).max(0.0);
    let counted = match requests < slots {
        true => (requests * pace).min(slots - 1.0),
        false => requests,
    };
    let unread = f64::from(load.unread_tokens) / TOKENS_PER_UNIT;
    counted + unread * pace + over * OVER_SLOTS * pace.max(1.0) + FIRST_EVENT * (pace - 1.0)
}

/// Weight of a candidate; the least is best.
fn weight(candidate: &Candidate, ways: &Ways, is_home: bool) -> f64 {
    let load = &candidate.load;
    let mut weight = work(candidate);
    weight += load.excess_ms / EXCESS_MS_PER_UNIT;
    weight += match load.temperature {
        // Where a cold server bears a bounded rate, that bound keeps the rest away.
        Some(Temperature::Warm) => 0.0,
        Some(_) => COLD,
        None => candidate.server.cold_left_ms as f64 / COLD_MS_PER_UNIT,
    };
    weight += ways.weigh(&candidate.server.zone, WAY);
    if load.suspect {
        weight += SUSPECT;
    }
    if is_home {
        weight -= AFFINITY;
    }
    weight
}

/// Whether a request would begin at once at a candidate.
pub fn has_slot(candidate: &Candidate) -> bool {
    is_sound(candidate) && candidate.load.online < candidate.server.slots
}

/// Weight of the wait at a candidate without a free slot. Items count for nothing, since they give way.
fn wait(candidate: &Candidate) -> f64 {
    let ahead = f64::from(candidate.load.online) + 1.0 - f64::from(candidate.server.slots);
    ahead.max(0.0) * (1.0 + OVER_SLOTS) * candidate.load.pace.times().max(1.0)
}

/// The candidates among which a request is placed. While one of its own region has a free slot, those that
/// have one: bytes between regions are dear whatever the way takes, so a request does not leave for a server
/// that is merely less busy. Otherwise those of other regions with a free slot, where the way there takes
/// less than the shortest wait here; else all.
pub fn within_reach(candidates: Vec<Candidate>, ways: &Ways) -> Vec<Candidate> {
    if !ways.has_regions() {
        return candidates;
    }
    let is_near = |held: &Candidate| ways.is_near(&held.server.zone);
    let sound = candidates
        .iter()
        .filter(|held| is_near(held) && is_sound(held));
    let shortest_wait = sound.map(wait).fold(f64::INFINITY, f64::min);
    // The way within the region weighs nothing here: it is within every wait.
    let serves = |held: &Candidate| {
        let way = ways.weigh_time(&held.server.zone, WAY);
        has_slot(held) && (is_near(held) || way < shortest_wait)
    };
    match candidates.iter().any(serves) {
        true => candidates.into_iter().filter(serves).collect(),
        false => candidates,
    }
}

/// Chooses the candidate of least weight, the first one among equals; `home` names the server that keeps the prompt.
pub fn choose<'a>(
    candidates: &'a [Candidate],
    ways: &Ways,
    home: Option<&str>,
) -> Option<&'a Candidate> {
    let weigh = |candidate: &Candidate| {
        let is_home = home == Some(candidate.server.id.as_str());
        weight(candidate, ways, is_home)
    };
    candidates
        .iter()
        .map(|candidate| (weigh(candidate), candidate))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

//! Server selection among servers with different slowdowns.

use std::sync::Arc;

use dappleyard_cluster::{LoadSummary, Slowdown, ZoneDistances};
use dappleyard_ingress::{Candidate, choose, sample};
use dappleyard_model::ServerRecord;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 8;

fn server(id: &str, zone: &str) -> Arc<ServerRecord> {
    Arc::new(ServerRecord {
        id: id.to_owned(),
        instance: id.to_owned(),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.to_owned(),
        version: "v1".parse().ok(),
        slots: SLOTS,
        draining: false,
        cold_left_ms: 0,
    })
}

fn candidate(id: &str, zone: &str, online: u32, slowdown: f64) -> Candidate {
    let load = LoadSummary {
        online,
        slowdown: Slowdown::new(slowdown),
        ..LoadSummary::default()
    };
    Candidate {
        server: server(id, zone),
        load,
    }
}

fn chosen(candidates: &[Candidate]) -> String {
    let chosen = choose(candidates, &ZoneDistances::single_region("north"), None);
    chosen.expect("one of them").server.id.clone()
}

/// At normal speed the weights are: one per request, six per request beyond the slots, one per
/// thousand tokens, six for another zone.
#[gtest]
fn normal_slowdown() {
    let mut random = StdRng::seed_from_u64(3);
    for _ in 0..2_000 {
        let mut candidates: Vec<Candidate> = (0..6)
            .map(|number| {
                let zone = ["north", "south"][number % 2];
                candidate(&number.to_string(), zone, random.random_range(0..14), 1.0)
            })
            .collect();
        for held in &mut candidates {
            held.load.batch = random.random_range(0..6);
            held.load.unread_tokens = random.random_range(0..9_000);
        }
        let weight = |held: &Candidate| {
            let requests = f64::from(held.load.online + held.load.batch);
            let over = (requests + 1.0 - f64::from(SLOTS)).max(0.0);
            let distance_weight = if held.server.zone == "north" {
                0.0
            } else {
                6.0
            };
            requests + f64::from(held.load.unread_tokens) / 1_000.0 + over * 6.0 + distance_weight
        };
        let least = candidates
            .iter()
            .min_by(|a, b| weight(a).total_cmp(&weight(b)));
        expect_that!(chosen(&candidates), eq(&least.expect("some").server.id));
    }
}

#[gtest]
fn slow_server_gets_a_third() {
    let mut candidates = vec![
        candidate("a", "north", 0, 1.0),
        candidate("b", "north", 0, 1.0),
        candidate("c", "north", 0, 1.0),
        candidate("slow", "north", 0, 3.0),
    ];
    // 20 requests at 24 slots of fast servers.
    for _ in 0..20 {
        let id = chosen(&candidates);
        let taken = candidates.iter_mut().find(|held| held.server.id == id);
        taken
            .expect("the chosen candidate is in the list")
            .load
            .online += 1;
    }
    expect_that!(candidates[3].load.online, le(2));
}

#[gtest]
fn free_slow_slot() {
    for queued in [0, 1, 2] {
        let candidates = [
            candidate("full", "north", SLOTS + queued, 0.7),
            candidate("slow", "north", SLOTS - 1, 2.0),
        ];
        expect_that!(chosen(&candidates), eq("slow"), "{queued} queued");
    }
}

#[gtest]
fn free_fast_slot() {
    let candidates = [
        candidate("fast", "north", SLOTS - 1, 1.0),
        candidate("slow", "north", 2, 3.0),
    ];
    expect_that!(chosen(&candidates), eq("fast"));
}

#[gtest]
fn free_far_slot() {
    // The near zone is overloaded.
    let candidates = [
        candidate("near", "north", SLOTS + 1, 1.0),
        candidate("far", "south", 4, 2.0),
    ];
    expect_that!(chosen(&candidates), eq("far"));
}

#[gtest]
fn near_free_slot() {
    let candidates = [
        candidate("near", "north", 3, 1.0),
        candidate("far", "south", 2, 0.7),
    ];
    expect_that!(chosen(&candidates), eq("near"));
}

/// Weighting of the load in the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Weighting {
    /// Counts requests and ignores the slowdown.
    Counts,
    /// Multiplies requests and queue by the slowdown.
    Products,
    /// The weighting of `choose`.
    Placement,
}

/// A simulated server: the end times of its requests.
struct SimulatedServer {
    server: Arc<ServerRecord>,
    ends_ms: Vec<f64>,
}

/// Whether the slowdown of servers stays the same or changes every 600 ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlowdownPattern {
    Lasting,
    Flipping,
}

impl SlowdownPattern {
    fn slowdown(self, server: usize, at_ms: f64) -> f64 {
        let turn = match self {
            SlowdownPattern::Lasting => 0,
            SlowdownPattern::Flipping => (at_ms / 600.0) as usize,
        };
        match (server + turn).is_multiple_of(3) {
            true => 3.0,
            false => 1.0,
        }
    }
}

impl SimulatedServer {
    /// Requests in flight at a given time.
    fn online(&self, at_ms: f64) -> u32 {
        self.ends_ms.iter().filter(|end| **end > at_ms).count() as u32
    }

    /// Queues a request and returns the time to its first event.
    fn take(&mut self, at_ms: f64, slowdown: f64) -> f64 {
        let mut ends: Vec<f64> = self
            .ends_ms
            .iter()
            .copied()
            .filter(|end| *end > at_ms)
            .collect();
        ends.sort_by(f64::total_cmp);
        let ahead = ends.len().saturating_sub(SLOTS as usize - 1);
        let begins = if ahead == 0 { at_ms } else { ends[ahead - 1] };
        self.ends_ms.push(begins + 600.0 * slowdown);
        begins - at_ms + 60.0 * slowdown
    }
}

fn least_product(candidates: &[Candidate]) -> String {
    let weight = |held: &Candidate| {
        let requests = f64::from(held.load.online);
        let over = (requests + 1.0 - f64::from(SLOTS)).max(0.0);
        (requests + 6.0 * over) * held.load.slowdown.times()
    };
    let least = candidates
        .iter()
        .min_by(|a, b| weight(a).total_cmp(&weight(b)));
    least.expect("one of them").server.id.clone()
}

/// Fraction of requests whose first event takes more than 300 ms, at some load on 24 servers and
/// with load information of some age.
fn late(weighting: Weighting, information_age_ms: f64, pattern: SlowdownPattern, load: f64) -> f64 {
    let mut random = StdRng::seed_from_u64(11);
    let zone_distances = ZoneDistances::single_region("north");
    let mut simulated: Vec<SimulatedServer> = (0..24)
        .map(|number| SimulatedServer {
            server: server(&format!("{number:02}"), "north"),
            ends_ms: Vec::new(),
        })
        .collect();
    let all: Vec<Arc<ServerRecord>> = simulated.iter().map(|entry| entry.server.clone()).collect();
    let all: Vec<&Arc<ServerRecord>> = all.iter().collect();
    let (mut at_ms, mut late) = (0.0, 0);
    // 24 servers of 8 slots, a third of them slow, serve 249 requests per second.
    let gap_ms = 1_000.0 / (load * 249.0);
    for _ in 0..3_000 {
        at_ms += -gap_ms * (1.0 - random.random::<f64>()).ln();
        let known_at_ms = at_ms - information_age_ms;
        let sampled = sample(&all, &zone_distances, None, &mut random);
        let candidates: Vec<Candidate> = sampled
            .into_iter()
            .map(|server| {
                let number: usize = server.id.parse().expect("a number");
                let slowdown = match weighting {
                    Weighting::Counts => 1.0,
                    Weighting::Products | Weighting::Placement => {
                        pattern.slowdown(number, known_at_ms)
                    }
                };
                let online = simulated[number].online(known_at_ms);
                candidate(&server.id, "north", online, slowdown)
            })
            .collect();
        let id = match weighting {
            Weighting::Products => least_product(&candidates),
            Weighting::Counts | Weighting::Placement => chosen(&candidates),
        };
        let number: usize = id.parse().expect("a number");
        let first_ms = simulated[number].take(at_ms, pattern.slowdown(number, at_ms));
        late += u32::from(first_ms > 300.0);
    }
    f64::from(late) / 3_000.0
}

#[gtest]
fn lasting_slowdowns() {
    for information_age_ms in [25.0, 100.0, 500.0] {
        let counts = late(
            Weighting::Counts,
            information_age_ms,
            SlowdownPattern::Lasting,
            0.95,
        );
        let placement = late(
            Weighting::Placement,
            information_age_ms,
            SlowdownPattern::Lasting,
            0.95,
        );
        expect_that!(
            placement,
            lt(counts / 2.0),
            "information aged {information_age_ms} ms: {counts} by counts"
        );
    }
}

/// Outdated slowdown reports must not concentrate requests on servers that were fast a moment ago.
#[gtest]
fn flipping_slowdowns() {
    for information_age_ms in [25.0, 100.0] {
        let counts = late(
            Weighting::Counts,
            information_age_ms,
            SlowdownPattern::Flipping,
            0.75,
        );
        let products = late(
            Weighting::Products,
            information_age_ms,
            SlowdownPattern::Flipping,
            0.75,
        );
        let placement = late(
            Weighting::Placement,
            information_age_ms,
            SlowdownPattern::Flipping,
            0.75,
        );
        expect_that!(
            placement,
            lt(counts.min(products)),
            "{information_age_ms} ms: {counts}, {products}"
        );
    }
}

/// Slowdown reports that are half a second old must not make placement much worse than no reports.
#[gtest]
fn outdated_slowdowns() {
    let counts = late(Weighting::Counts, 500.0, SlowdownPattern::Flipping, 0.75);
    let placement = late(Weighting::Placement, 500.0, SlowdownPattern::Flipping, 0.75);
    expect_that!(placement, le(counts * 1.1), "{counts} by counts");
}

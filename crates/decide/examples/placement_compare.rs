//! Compares placement policies on the same arrivals: random, least reported load, least own count,
//! and rendezvous hashing with bounded load.
//!
//! Simulates one owner node with delayed load reports, recurring sessions, and servers with the
//! step time, prefill cost and prefix cache of the stand-in engine. Run with `cargo run --release
//! -p dappleyard-decide --example placement_compare [seed]`.

use std::collections::VecDeque;

use dappleyard_decide::placement::{Affinity, Candidate, rank};
use dappleyard_wire::hash::rendezvous_weight;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SERVERS: usize = 20;
const REQUESTS: usize = 40_000;
const SESSIONS: u64 = 1_200;
/// Cached prefixes per server.
const CACHE_PREFIXES: usize = 70;
const REPORT_EVERY_MS: f64 = 500.0;
const REPORT_LAG_MS: f64 = 750.0;
const BASE_STEP_MS: f64 = 3.2;
const SEQUENCE_MS: f64 = 0.010;
const PREFILL_TOKEN_MS: f64 = 0.004;

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Random,
    LeastReported,
    LeastOwnCount,
    Product,
}

struct Arrival {
    at_ms: f64,
    session: u64,
    prompt: f64,
    output: f64,
    choice: f64,
}

#[derive(Default)]
struct Server {
    ends_ms: Vec<f64>,
    cache: VecDeque<u64>,
    busy_until_ms: f64,
    reports: VecDeque<(f64, u32)>,
    reported: u32,
}

impl Server {
    fn running(&mut self, now_ms: f64) -> u32 {
        self.ends_ms.retain(|end| *end > now_ms);
        u32::try_from(self.ends_ms.len()).expect("a small number")
    }

    /// Adds a request; returns its time to first token and whether its prefix was cached.
    fn serve(&mut self, arrival: &Arrival) -> (f64, bool) {
        let running = f64::from(self.running(arrival.at_ms));
        let cached = self.access_cache(arrival.session);
        let prompt = if cached {
            arrival.prompt * 0.1
        } else {
            arrival.prompt
        };
        let step = BASE_STEP_MS + SEQUENCE_MS * running;
        let prefill = prompt * PREFILL_TOKEN_MS + (prompt / 512.0).ceil() * step;
        let start = self.busy_until_ms.max(arrival.at_ms);
        self.busy_until_ms = start + prefill;
        self.ends_ms.push(start + prefill + arrival.output * step);
        (start + prefill - arrival.at_ms, cached)
    }

    fn access_cache(&mut self, session: u64) -> bool {
        let known = self.cache.iter().position(|one| *one == session);
        if let Some(position) = known {
            self.cache.remove(position);
        }
        self.cache.push_back(session);
        if self.cache.len() > CACHE_PREFIXES {
            self.cache.pop_front();
        }
        known.is_some()
    }

    fn publish(&mut self, now_ms: f64) {
        let running = self.running(now_ms);
        self.reports.push_back((now_ms + REPORT_LAG_MS, running));
    }

    fn receive(&mut self, now_ms: f64) {
        while let Some((due, running)) = self.reports.front().copied()
            && due <= now_ms
        {
            self.reported = running;
            self.reports.pop_front();
        }
    }
}

fn arrivals(seed: u64, rate_a_ms: f64) -> Vec<Arrival> {
    let mut generator = StdRng::seed_from_u64(seed);
    let mut at_ms = 0.0;
    let log_normal = |generator: &mut StdRng, median: f64, sigma: f64| {
        let (first, second): (f64, f64) = (generator.random(), generator.random());
        let normal = (-2.0 * (1.0 - first).ln()).sqrt() * (std::f64::consts::TAU * second).cos();
        median * (sigma * normal).exp()
    };
    (0..REQUESTS)
        .map(|_| {
            at_ms += -(1.0 - generator.random::<f64>()).ln() / rate_a_ms;
            let popular: f64 = generator.random();
            Arrival {
                at_ms,
                session: (popular * popular * SESSIONS as f64) as u64,
                prompt: log_normal(&mut generator, 400.0, 0.6),
                output: log_normal(&mut generator, 120.0, 0.5),
                choice: generator.random(),
            }
        })
        .collect()
}

fn choose(policy: Policy, servers: &mut [Server], names: &[String], arrival: &Arrival) -> usize {
    if policy == Policy::Random {
        return (arrival.choice * SERVERS as f64) as usize;
    }
    let key = match policy {
        Policy::Product => arrival.session.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
        _ => arrival.choice.to_bits(),
    };
    let candidates: Vec<Candidate> = servers
        .iter_mut()
        .zip(names)
        .map(|(server, name)| Candidate {
            weight: rendezvous_weight(key, name),
            servers: 1,
            sequences: match policy {
                Policy::LeastReported => server.reported,
                _ => server.running(arrival.at_ms),
            },
            wait_ms: match policy {
                Policy::Product => (server.busy_until_ms - arrival.at_ms).max(0.0) as u32,
                _ => 0,
            },
        })
        .collect();
    let bound_percent = (policy == Policy::Product).then_some(125);
    let mut best = [0];
    rank(&candidates, Affinity { bound_percent }, &mut best);
    best[0]
}

fn run(policy: Policy, arrivals: &[Arrival]) {
    let names: Vec<String> = (0..SERVERS)
        .map(|index| format!("server-{index}"))
        .collect();
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| Server::default()).collect();
    let mut next_report_ms = 0.0;
    let mut first_tokens = Vec::with_capacity(arrivals.len());
    let (mut hits, mut spread) = (0_usize, 0.0);
    for arrival in arrivals {
        while next_report_ms <= arrival.at_ms {
            servers
                .iter_mut()
                .for_each(|server| server.publish(next_report_ms));
            next_report_ms += REPORT_EVERY_MS;
        }
        servers
            .iter_mut()
            .for_each(|server| server.receive(arrival.at_ms));
        let chosen = choose(policy, &mut servers, &names, arrival);
        let (first_token_ms, cached) = servers[chosen].serve(arrival);
        first_tokens.push(first_token_ms);
        hits += usize::from(cached);
        let running: Vec<f64> = servers
            .iter_mut()
            .map(|server| f64::from(server.running(arrival.at_ms)))
            .collect();
        let mean = running.iter().sum::<f64>() / SERVERS as f64;
        spread += running.iter().copied().fold(0.0, f64::max) / mean.max(1.0);
    }
    first_tokens.sort_by(f64::total_cmp);
    let at = |share: f64| first_tokens[((first_tokens.len() - 1) as f64 * share) as usize];
    let name = match policy {
        Policy::Random => "random",
        Policy::LeastReported => "least reported load",
        Policy::LeastOwnCount => "least own count",
        Policy::Product => "hash with bounded load",
    };
    println!(
        "{name:<24} {:>8.1} {:>8.1} {:>8.1} {:>10.1}% {:>8.2}",
        at(0.50),
        at(0.95),
        at(0.99),
        100.0 * hits as f64 / arrivals.len() as f64,
        spread / arrivals.len() as f64,
    );
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    for rate_a_ms in [0.4, 1.0, 1.5] {
        println!(
            "seed {seed}, {SERVERS} servers, {:.0} requests/s",
            rate_a_ms * 1_000.0
        );
        println!(
            "{:<24} {:>8} {:>8} {:>8} {:>11} {:>8}",
            "policy", "p50 ms", "p95 ms", "p99 ms", "cache hits", "max/mean"
        );
        let arrivals = arrivals(seed, rate_a_ms);
        for policy in [
            Policy::Random,
            Policy::LeastReported,
            Policy::LeastOwnCount,
            Policy::Product,
        ] {
            run(policy, &arrivals);
        }
    }
}

//! Simulates disruption budget policies in virtual time.
//!
//! A rollout takes each of 24 servers in 3 zones out of service once, for 10 s. Two controllers
//! choose servers every second from a lagging view, and servers also fail at random. The budget is
//! one server per zone. Run with `cargo run --release -p dappleyard-decide --example
//! disruption_budgets`; results are in `docs/design/disruption-budgets.md`.

use std::collections::VecDeque;

use dappleyard_decide::disruption::{
    Budget, BudgetContext, DisruptionDecision, InFlight, Replica, ReplicaState, may_disrupt,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 24;
const ZONES: usize = 3;
const OUT_S: u64 = 10;
const HORIZON_S: u64 = 3_600;
const MEAN_TIME_TO_FAILURE_S: f64 = 1_800.0;
const FAILED_FOR_S: u64 = 300;
const IN_FLIGHT_TIMEOUT_S: u64 = 60;
const SEEDS: u64 = 40;

/// When an unhealthy server may be disrupted.
#[derive(Clone, Copy, PartialEq)]
enum UnhealthyRule {
    /// Only within the budget, as for a healthy server.
    Never,
    /// While enough healthy servers remain, as in KEP-85.
    WhenEnoughRemain,
    Always,
}

#[derive(Clone, Copy)]
struct Policy {
    name: &'static str,
    count_in_flight: bool,
    unhealthy: UnhealthyRule,
}

#[derive(Clone, Copy, PartialEq)]
enum Server {
    Serving,
    OutUntil(u64),
    FailedUntil(u64),
}

#[derive(Default)]
struct Outcome {
    worst_out: u32,
    over_budget_s: u64,
    finished_s: Option<u64>,
}

struct Simulation {
    random: ChaCha8Rng,
    servers: Vec<Server>,
    updated: Vec<bool>,
    history: VecDeque<Vec<Server>>,
    in_flight: Vec<InFlight>,
    outcome: Outcome,
}

fn zone(server: usize) -> String {
    format!("zone-{}", server % ZONES)
}

impl Simulation {
    fn new(seed: u64, lag_s: u64) -> Simulation {
        let servers = vec![Server::Serving; SERVERS];
        Simulation {
            random: ChaCha8Rng::seed_from_u64(seed),
            history: VecDeque::from(vec![servers.clone(); lag_s as usize + 1]),
            updated: vec![false; SERVERS],
            servers,
            in_flight: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, policy: Policy) -> Outcome {
        for now in 0..HORIZON_S {
            self.advance_servers(now);
            let view = self.history.front().cloned().unwrap_or_default();
            for controller in 0..2 {
                self.decide(policy, &view, controller, now);
            }
            self.measure(now);
            self.history.pop_front();
            self.history.push_back(self.servers.clone());
            if self.outcome.finished_s.is_some() {
                break;
            }
        }
        self.outcome
    }

    fn advance_servers(&mut self, now: u64) {
        for server in 0..SERVERS {
            self.servers[server] = match self.servers[server] {
                Server::OutUntil(end) if end <= now => {
                    self.updated[server] = true;
                    Server::Serving
                }
                Server::FailedUntil(end) if end <= now => Server::Serving,
                Server::Serving if self.random.random_bool(1.0 / MEAN_TIME_TO_FAILURE_S) => {
                    Server::FailedUntil(now + FAILED_FOR_S)
                }
                state => state,
            };
        }
        let done = &self.updated;
        self.in_flight
            .retain(|flight| !done[flight.server.parse::<usize>().unwrap_or(0)]);
    }

    fn decide(&mut self, policy: Policy, view: &[Server], controller: usize, now: u64) {
        let replicas: Vec<Replica> = (0..SERVERS).map(|server| replica(server, view)).collect();
        let round_start = self.in_flight.len();
        for server in (controller..SERVERS).step_by(2) {
            let busy = matches!(self.servers[server], Server::OutUntil(_));
            if self.updated[server] || busy {
                continue;
            }
            // Otherwise a controller knows only its own decisions of this round.
            let in_flight = if policy.count_in_flight {
                self.in_flight.clone()
            } else {
                self.in_flight[round_start..].to_vec()
            };
            let context = BudgetContext {
                replicas: &replicas,
                in_flight: &in_flight,
                timeout_ms: IN_FLIGHT_TIMEOUT_S * 1_000,
                now_ms: now * 1_000,
            };
            if may_disrupt_by_policy(policy, &replicas[server], context) {
                self.servers[server] = Server::OutUntil(now + OUT_S);
                self.in_flight.push(InFlight {
                    server: server.to_string(),
                    zone: zone(server),
                    since_ms: now * 1_000,
                });
            }
        }
    }

    /// Records voluntary disruptions per zone, and time above the budget of one server.
    fn measure(&mut self, now: u64) {
        for number in 0..ZONES {
            let of_zone = (0..SERVERS).filter(|server| server % ZONES == number);
            let states: Vec<Server> = of_zone.map(|server| self.servers[server]).collect();
            let out = states
                .iter()
                .filter(|one| matches!(one, Server::OutUntil(_)));
            let out = u32::try_from(out.count()).unwrap_or(u32::MAX);
            self.outcome.worst_out = self.outcome.worst_out.max(out);
            self.outcome.over_budget_s += u64::from(out > 1);
        }
        if self.updated.iter().all(|done| *done) {
            self.outcome.finished_s = Some(now);
        }
    }
}

fn replica(server: usize, view: &[Server]) -> Replica {
    Replica {
        server: server.to_string(),
        zone: zone(server),
        state: match view[server] {
            Server::Serving => ReplicaState::Healthy,
            _ => ReplicaState::Unhealthy,
        },
    }
}

fn may_disrupt_by_policy(policy: Policy, candidate: &Replica, context: BudgetContext<'_>) -> bool {
    let mut candidate = candidate.clone();
    match policy.unhealthy {
        UnhealthyRule::Always if candidate.state == ReplicaState::Unhealthy => return true,
        UnhealthyRule::Never => candidate.state = ReplicaState::Healthy,
        _ => {}
    }
    let decision = may_disrupt(&candidate, context, Budget::of_row(1, 0));
    matches!(
        decision,
        DisruptionDecision::Allowed | DisruptionDecision::AllowedUnhealthy
    )
}

fn main() {
    use UnhealthyRule::{Always, Never, WhenEnoughRemain};
    let policy = |name, count_in_flight, unhealthy| Policy {
        name,
        count_in_flight,
        unhealthy,
    };
    let policies = [
        policy("neither", false, Never),
        policy("unhealthy may go", false, WhenEnoughRemain),
        policy("in-flight counted", true, Never),
        policy("both (the product)", true, WhenEnoughRemain),
        policy("in-flight, unhealthy always go", true, Always),
    ];
    println!(
        "| view lag | policy | worst out in a zone | seconds over budget (mean) | finished | time to finish (median) |"
    );
    println!("|---|---|---|---|---|---|");
    for lag_s in [0, 5, 30] {
        for policy in policies {
            print_row(lag_s, policy);
        }
    }
}

fn print_row(lag_s: u64, policy: Policy) {
    let outcomes: Vec<Outcome> = (0..SEEDS)
        .map(|seed| Simulation::new(seed, lag_s).run(policy))
        .collect();
    let worst = outcomes.iter().map(|one| one.worst_out).max().unwrap_or(0);
    let over: u64 = outcomes.iter().map(|one| one.over_budget_s).sum();
    let mut finished: Vec<u64> = outcomes.iter().filter_map(|one| one.finished_s).collect();
    finished.sort_unstable();
    let median = finished.get(finished.len() / 2);
    println!(
        "| {lag_s} s | {} | {worst} | {:.1} | {} of {SEEDS} | {} |",
        policy.name,
        over as f64 / SEEDS as f64,
        finished.len(),
        median.map_or_else(|| "-".to_owned(), |seconds| format!("{seconds} s")),
    );
}

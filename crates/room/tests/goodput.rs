//! Goodput of an overloaded service in a discrete-time simulation: admission policies under steady
//! and varying demand, with delayed information and nodes that start.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use dappleyard_room::{
    Admission, AdmissionRequest, Capacity, RETRY_INTERVAL, RETRY_INTERVALS, admit,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NODES: usize = 80;
const SLOTS: u32 = 240;
const HOLD_MS: u64 = 640;
const TARGET_MS: u64 = 300;
const FIRST_EVENT_MS: u64 = 45;
const CLIENT_DEADLINE_MS: u64 = 5_000;
const SIMULATED_MS: u64 = 12_000;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// First come, first served.
    Arrival,
    /// Waits for a slot that appears free while it can meet its target.
    Newest,
    /// Refuses requests that would wait too long, with the expected wait as retry delay.
    Booked,
    /// The policy of `admit`.
    Capacity,
}

/// Demand and the nodes' information.
#[derive(Clone, Copy)]
struct Load {
    /// Demand as a fraction of the capacity, by time.
    demand: fn(u64) -> f64,
    /// Age of a node's information on the others, by node and time; `None` while it has none.
    information_age_ms: fn(usize, u64) -> Option<u64>,
}

const CONSTANT_AGE: fn(usize, u64) -> Option<u64> = |_, _| Some(75);

/// A simulated request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SimulatedRequest {
    came_ms: u64,
    node: usize,
    is_retry: bool,
    has_waited: bool,
    counted: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    /// Served in time at the first attempt.
    first: u32,
    /// Served in time as a retry.
    second: u32,
    /// Served after the target.
    late: u32,
    /// Refusals later than a quarter of the target.
    slow: u32,
    refused_again: u32,
}

impl Outcome {
    /// Requests served in time, relative to the demand or the capacity, whichever is less.
    fn goodput(&self) -> f64 {
        let capacity = f64::from(SLOTS) * SIMULATED_MS as f64 / HOLD_MS as f64;
        f64::from(self.first + self.second) / f64::from(self.asked).min(capacity)
    }
}

fn decide(
    policy: Policy,
    capacity: &Capacity,
    admission_request: &AdmissionRequest,
    random: &mut ChaCha8Rng,
) -> Admission {
    let latest = Duration::from_millis(TARGET_MS * 3 / 4 - FIRST_EVENT_MS);
    let full = capacity.online >= capacity.slots;
    match policy {
        Policy::Capacity => admit(capacity, admission_request, random),
        Policy::Arrival => Admission::Serve,
        Policy::Newest if full && admission_request.age < latest => Admission::Wait {
            interval: Duration::from_millis(20),
            counted: true,
        },
        Policy::Newest if full => Admission::Refuse {
            retry_after: Duration::from_millis(500),
        },
        Policy::Booked if capacity.wait() > latest => Admission::Refuse {
            retry_after: capacity.wait(),
        },
        Policy::Newest | Policy::Booked => Admission::Serve,
    }
}

/// Sums over all nodes at one time, as exchanged.
#[derive(Clone, Default)]
struct Totals {
    online: u32,
    waiting: u32,
    expected_retries: VecDeque<u32>,
}

fn simulate(policy: Policy, load: Load) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut outcome = Outcome::default();
    let mut checks: BinaryHeap<Reverse<(u64, SimulatedRequest)>> = BinaryHeap::new();
    let mut queue: VecDeque<SimulatedRequest> = VecDeque::new();
    let mut running: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut history: Vec<Totals> = vec![Totals::default()];
    let mut now = Totals::default();
    let mut due = 0.0;
    for ms in 0..SIMULATED_MS {
        due += (load.demand)(ms) * f64::from(SLOTS) / HOLD_MS as f64;
        while due > random.random::<f64>() {
            due -= 1.0;
            outcome.asked += 1;
            let node = random.random_range(0..NODES);
            let call = SimulatedRequest {
                came_ms: ms,
                node,
                is_retry: false,
                has_waited: false,
                counted: false,
            };
            checks.push(Reverse((ms, call)));
        }
        if ms % RETRY_INTERVAL.as_millis() as u64 == 0 {
            now.expected_retries.pop_front();
        }
        while checks.peek().is_some_and(|interval| interval.0.0 <= ms) {
            let Some(Reverse((_, mut call))) = checks.pop() else {
                break;
            };
            let age = (load.information_age_ms)(call.node, ms);
            let seen = age.map_or_else(Totals::default, |age| {
                history[ms.saturating_sub(age) as usize].clone()
            });
            let before = age.map_or(0, |age| {
                history[ms.saturating_sub(age + 100) as usize].online
            });
            let capacity = Capacity {
                slots: SLOTS,
                online: seen.online,
                trend_per_s: (f64::from(seen.online) - f64::from(before)) * 10.0,
                waiting: seen.waiting,
                expected_retries: seen.expected_retries.into(),
                hold_time: Duration::from_millis(HOLD_MS),
            };
            let spent = if call.is_retry { 1_000 } else { 0 };
            let admission_request = AdmissionRequest {
                age: Duration::from_millis(ms - call.came_ms),
                target: Duration::from_millis(TARGET_MS),
                first_event: Duration::from_millis(FIRST_EVENT_MS),
                left: Duration::from_millis(CLIENT_DEADLINE_MS - spent),
                most_wait: Duration::from_millis(1_500),
                is_retry: call.is_retry,
                failed: false,
                refusable: true,
                has_waited: call.has_waited,
                counted: call.counted,
            };
            now.waiting -= u32::from(call.counted);
            call.counted = false;
            match decide(policy, &capacity, &admission_request, &mut random) {
                Admission::Serve => {
                    queue.push_back(call);
                    now.online += 1;
                }
                Admission::Wait { interval, counted } => {
                    (call.has_waited, call.counted) = (true, counted);
                    now.waiting += u32::from(counted);
                    checks.push(Reverse((ms + interval.as_millis() as u64, call)));
                }
                Admission::Refuse { retry_after } => {
                    outcome.slow +=
                        u32::from(admission_request.age.as_millis() as u64 > TARGET_MS / 4 + 5);
                    outcome.refused_again += u32::from(call.is_retry);
                    if !call.is_retry {
                        let after = retry_after.as_millis() as u64;
                        let span = (after / RETRY_INTERVAL.as_millis() as u64) as usize;
                        now.expected_retries
                            .resize(RETRY_INTERVALS.max(span + 1), 0);
                        now.expected_retries[span] += 1;
                        let at = ms + after.min(CLIENT_DEADLINE_MS / 3);
                        let call = SimulatedRequest {
                            came_ms: at,
                            is_retry: true,
                            has_waited: false,
                            ..call
                        };
                        checks.push(Reverse((at, call)));
                    }
                }
            }
        }
        while running.peek().is_some_and(|end| end.0 <= ms) {
            running.pop();
            now.online -= 1;
        }
        while running.len() < SLOTS as usize
            && let Some(call) = queue.pop_front()
        {
            // Responses differ in length.
            let held = random.random_range(HOLD_MS / 2..=HOLD_MS * 3 / 2);
            running.push(Reverse(ms + held));
            let in_time = ms + FIRST_EVENT_MS <= call.came_ms + TARGET_MS;
            match (in_time, call.is_retry) {
                (true, false) => outcome.first += 1,
                (true, true) => outcome.second += 1,
                (false, _) => outcome.late += 1,
            }
        }
        history.push(now.clone());
    }
    outcome
}

fn steady(policy: Policy, demand: fn(u64) -> f64) -> Outcome {
    simulate(
        policy,
        Load {
            demand,
            information_age_ms: CONSTANT_AGE,
        },
    )
}

/// Steady demand as a fraction of the capacity.
const DEMANDS: [fn(u64) -> f64; 5] = [|_| 0.5, |_| 1.0, |_| 1.25, |_| 2.0, |_| 4.0];

#[gtest]
fn goodput_holds() {
    let of = |policy| DEMANDS.map(|demand| steady(policy, demand).goodput());
    let capacity = of(Policy::Capacity);
    expect_that!(capacity[0], ge(0.98), "{capacity:?}");
    expect_that!(capacity[2], ge(0.65), "{capacity:?}");
    for pair in capacity[2..].windows(2) {
        expect_that!(pair[1], ge(pair[0] - 0.02), "{capacity:?}");
    }
    // No other policy serves more under high demand.
    for policy in [Policy::Arrival, Policy::Newest, Policy::Booked] {
        let others = of(policy);
        for (ours, theirs) in capacity[2..].iter().zip(&others[2..]) {
            expect_that!(*ours, ge(*theirs), "{policy:?} {others:?} {capacity:?}");
        }
    }
}

#[gtest]
fn square_waves() {
    let wave: fn(u64) -> f64 = |ms| if ms / 3_000 % 2 == 0 { 1.6 } else { 0.2 };
    let outcome = steady(Policy::Capacity, wave);
    expect_that!(outcome.goodput(), ge(0.8));
    // Requests refused during a burst are mostly served after it.
    expect_that!(outcome.refused_again, le(outcome.second));
}

#[gtest]
fn outdated_information() {
    let news: fn(usize, u64) -> Option<u64> = |node, _| Some(if node % 3 == 0 { 500 } else { 75 });
    let outcome = simulate(
        Policy::Capacity,
        Load {
            demand: |_| 1.25,
            information_age_ms: news,
        },
    );
    expect_that!(outcome.goodput(), ge(0.65));
}

#[gtest]
fn one_node_starts() {
    let news: fn(usize, u64) -> Option<u64> = |node, ms| (node > 0 || ms > 3_000).then_some(75);
    let outcome = simulate(
        Policy::Capacity,
        Load {
            demand: |_| 1.25,
            information_age_ms: news,
        },
    );
    expect_that!(outcome.goodput(), ge(0.65));
}

#[gtest]
fn all_nodes_start() {
    let news: fn(usize, u64) -> Option<u64> = |_, ms| (ms > 300).then_some(75);
    let outcome = simulate(
        Policy::Capacity,
        Load {
            demand: |_| 1.25,
            information_age_ms: news,
        },
    );
    expect_that!(outcome.goodput(), ge(0.65));
}

#[gtest]
fn refusals_are_early() {
    let outcome = steady(Policy::Capacity, |_| 2.0);
    expect_that!(outcome.slow, eq(0));
    expect_that!(outcome.late * 10, le(outcome.asked));
}

#[gtest]
fn retries_are_bounded() {
    let outcome = steady(Policy::Capacity, |_| 2.0);
    expect_that!(outcome.second, gt(0));
    expect_that!(outcome.second, le(outcome.first));
}

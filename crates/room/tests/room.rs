//! Goodput of an overloaded service in a discrete-time simulation: admission policies under steady
//! and varying demand, with delayed information and nodes that start.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use dappleyard_room::{Admission, Asking, Room, SPAN, SPANS, admit};
use googletest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NODES: usize = 80;
const SLOTS: u32 = 240;
const HOLD_MS: u64 = 640;
const TARGET_MS: u64 = 300;
const FIRST_EVENT_MS: u64 = 45;
const CALLER_MS: u64 = 5_000;
const PLAYED_MS: u64 = 12_000;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// First come, first served.
    Arrival,
    /// Waits for a slot that appears free while it can meet its target.
    Newest,
    /// Refuses requests that would wait too long, with the expected wait as retry delay.
    Booked,
    /// The policy of `admit`.
    Room,
}

/// Demand and the nodes' information.
#[derive(Clone, Copy)]
struct Load {
    /// Demand as a fraction of the capacity, by time.
    demand: fn(u64) -> f64,
    /// Age of a node's information on the others, by time; `None` while it has none.
    news_ms: fn(usize, u64) -> Option<u64>,
}

const STEADY_NEWS: fn(usize, u64) -> Option<u64> = |_, _| Some(75);

/// A simulated request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    came_ms: u64,
    node: usize,
    again: bool,
    waits: bool,
    counted: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    first: u32,
    second: u32,
    late: u32,
    /// Refusals later than a quarter of the target.
    slow: u32,
    refused_again: u32,
}

impl Outcome {
    /// Requests served in time, relative to the demand or the capacity, whichever is less.
    fn goodput(&self) -> f64 {
        let room = f64::from(SLOTS) * PLAYED_MS as f64 / HOLD_MS as f64;
        f64::from(self.first + self.second) / f64::from(self.asked).min(room)
    }
}

fn decide(way: Way, room: &Room, asking: &Asking, random: &mut ChaCha8Rng) -> Admission {
    let latest = Duration::from_millis(TARGET_MS * 3 / 4 - FIRST_EVENT_MS);
    let full = room.online >= room.slots;
    match way {
        Way::Room => admit(room, asking, random),
        Way::Arrival => Admission::Serve,
        Way::Newest if full && asking.age < latest => Admission::Wait {
            look: Duration::from_millis(20),
            counted: true,
        },
        Way::Newest if full => Admission::Refuse {
            retry_after: Duration::from_millis(500),
        },
        Way::Booked if room.wait() > latest => Admission::Refuse {
            retry_after: room.wait(),
        },
        Way::Newest | Way::Booked => Admission::Serve,
    }
}

/// Sums over all nodes at one time, as exchanged.
#[derive(Clone, Default)]
struct Told {
    online: u32,
    waiting: u32,
    returns: VecDeque<u32>,
}

fn play(way: Way, load: Load) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut outcome = Outcome::default();
    let mut looks: BinaryHeap<Reverse<(u64, Call)>> = BinaryHeap::new();
    let mut queue: VecDeque<Call> = VecDeque::new();
    let mut running: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut told: Vec<Told> = vec![Told::default()];
    let mut now = Told::default();
    let mut due = 0.0;
    for ms in 0..PLAYED_MS {
        due += (load.demand)(ms) * f64::from(SLOTS) / HOLD_MS as f64;
        while due > random.random::<f64>() {
            due -= 1.0;
            outcome.asked += 1;
            let node = random.random_range(0..NODES);
            let call = Call {
                came_ms: ms,
                node,
                again: false,
                waits: false,
                counted: false,
            };
            looks.push(Reverse((ms, call)));
        }
        if ms % SPAN.as_millis() as u64 == 0 {
            now.returns.pop_front();
        }
        while looks.peek().is_some_and(|look| look.0.0 <= ms) {
            let Some(Reverse((_, mut call))) = looks.pop() else {
                break;
            };
            let age = (load.news_ms)(call.node, ms);
            let seen = age.map_or_else(Told::default, |age| {
                told[ms.saturating_sub(age) as usize].clone()
            });
            let before = age.map_or(0, |age| told[ms.saturating_sub(age + 100) as usize].online);
            let room = Room {
                slots: SLOTS,
                online: seen.online,
                trend_per_s: (f64::from(seen.online) - f64::from(before)) * 10.0,
                waiting: seen.waiting,
                returns: seen.returns.into(),
                hold: Duration::from_millis(HOLD_MS),
            };
            let spent = if call.again { 1_000 } else { 0 };
            let asking = Asking {
                age: Duration::from_millis(ms - call.came_ms),
                target: Duration::from_millis(TARGET_MS),
                first_event: Duration::from_millis(FIRST_EVENT_MS),
                left: Duration::from_millis(CALLER_MS - spent),
                most_wait: Duration::from_millis(1_500),
                again: call.again,
                failed: false,
                refusable: true,
                waits: call.waits,
                counted: call.counted,
            };
            now.waiting -= u32::from(call.counted);
            call.counted = false;
            match decide(way, &room, &asking, &mut random) {
                Admission::Serve => {
                    queue.push_back(call);
                    now.online += 1;
                }
                Admission::Wait { look, counted } => {
                    (call.waits, call.counted) = (true, counted);
                    now.waiting += u32::from(counted);
                    looks.push(Reverse((ms + look.as_millis() as u64, call)));
                }
                Admission::Refuse { retry_after } => {
                    outcome.slow += u32::from(asking.age.as_millis() as u64 > TARGET_MS / 4 + 5);
                    outcome.refused_again += u32::from(call.again);
                    if !call.again {
                        let after = retry_after.as_millis() as u64;
                        let span = (after / SPAN.as_millis() as u64) as usize;
                        now.returns.resize(SPANS.max(span + 1), 0);
                        now.returns[span] += 1;
                        let at = ms + after.min(CALLER_MS / 3);
                        let call = Call {
                            came_ms: at,
                            again: true,
                            waits: false,
                            ..call
                        };
                        looks.push(Reverse((at, call)));
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
            match (in_time, call.again) {
                (true, false) => outcome.first += 1,
                (true, true) => outcome.second += 1,
                (false, _) => outcome.late += 1,
            }
        }
        told.push(now.clone());
    }
    outcome
}

fn steady(way: Way, demand: fn(u64) -> f64) -> Outcome {
    play(
        way,
        Load {
            demand,
            news_ms: STEADY_NEWS,
        },
    )
}

/// Steady demand as a fraction of the capacity.
const DEMANDS: [fn(u64) -> f64; 5] = [|_| 0.5, |_| 1.0, |_| 1.25, |_| 2.0, |_| 4.0];

#[gtest]
fn goodput_holds() {
    let of = |way| DEMANDS.map(|demand| steady(way, demand).goodput());
    let room = of(Way::Room);
    expect_that!(room[0], ge(0.98), "{room:?}");
    expect_that!(room[2], ge(0.65), "{room:?}");
    for pair in room[2..].windows(2) {
        expect_that!(pair[1], ge(pair[0] - 0.02), "{room:?}");
    }
    // No other policy serves more under high demand.
    for way in [Way::Arrival, Way::Newest, Way::Booked] {
        let others = of(way);
        for (ours, theirs) in room[2..].iter().zip(&others[2..]) {
            expect_that!(*ours, ge(*theirs), "{way:?} {others:?} {room:?}");
        }
    }
}

#[gtest]
fn square_waves() {
    let wave: fn(u64) -> f64 = |ms| if ms / 3_000 % 2 == 0 { 1.6 } else { 0.2 };
    let outcome = steady(Way::Room, wave);
    expect_that!(outcome.goodput(), ge(0.8));
    // Requests refused during a burst are mostly served after it.
    expect_that!(outcome.refused_again, le(outcome.second));
}

#[gtest]
fn old_news() {
    let news: fn(usize, u64) -> Option<u64> = |node, _| Some(if node % 3 == 0 { 500 } else { 75 });
    let outcome = play(
        Way::Room,
        Load {
            demand: |_| 1.25,
            news_ms: news,
        },
    );
    expect_that!(outcome.goodput(), ge(0.65));
}

#[gtest]
fn a_node_begins() {
    let news: fn(usize, u64) -> Option<u64> = |node, ms| (node > 0 || ms > 3_000).then_some(75);
    let outcome = play(
        Way::Room,
        Load {
            demand: |_| 1.25,
            news_ms: news,
        },
    );
    expect_that!(outcome.goodput(), ge(0.65));
}

#[gtest]
fn all_begin() {
    let news: fn(usize, u64) -> Option<u64> = |_, ms| (ms > 300).then_some(75);
    let outcome = play(
        Way::Room,
        Load {
            demand: |_| 1.25,
            news_ms: news,
        },
    );
    expect_that!(outcome.goodput(), ge(0.65));
}

#[gtest]
fn refusals_are_early() {
    let outcome = steady(Way::Room, |_| 2.0);
    expect_that!(outcome.slow, eq(0));
    expect_that!(outcome.late * 10, le(outcome.asked));
}

#[gtest]
fn returns_are_bounded() {
    let outcome = steady(Way::Room, |_| 2.0);
    expect_that!(outcome.second, gt(0));
    expect_that!(outcome.second, le(outcome.first));
}

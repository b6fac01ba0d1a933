//! Message frequencies of the gossip schedule.

use dappleyard_cluster::{DueMessages, due_messages, rounds_until_due};
use googletest::prelude::*;

/// Rounds of 25 ms in a second.
const ROUNDS_PER_SECOND: u32 = 40;
/// Rounds after which the schedule repeats.
const SCHEDULE_PERIOD: u32 = 72;

fn count_due(zone_nodes: usize, rounds: u32, of: impl Fn(&DueMessages) -> bool) -> usize {
    let all = (0..rounds).map(|round| due_messages(round, zone_nodes));
    all.filter(of).count()
}

#[gtest]
fn summary_interval_grows_with_the_zone() {
    expect_that!(
        count_due(20, SCHEDULE_PERIOD, |due_messages| due_messages.sums),
        eq(72)
    );
    expect_that!(
        count_due(30, SCHEDULE_PERIOD, |due_messages| due_messages.sums),
        eq(36)
    );
    expect_that!(
        count_due(59, SCHEDULE_PERIOD, |due_messages| due_messages.sums),
        eq(24)
    );
    expect_that!(
        count_due(79, SCHEDULE_PERIOD, |due_messages| due_messages.sums),
        eq(24)
    );
    expect_that!(
        count_due(1_000, SCHEDULE_PERIOD, |due_messages| due_messages.sums),
        eq(12)
    );
    expect_that!(
        count_due(0, SCHEDULE_PERIOD, |due_messages| due_messages.sums),
        eq(72)
    );
}

#[gtest]
fn messages_per_second() {
    for zone_nodes in [1, 20, 21, 40, 60] {
        let messages = zone_nodes
            * count_due(zone_nodes, ROUNDS_PER_SECOND, |due_messages| {
                due_messages.sums
            });
        expect_that!(messages, le(900), "{zone_nodes} nodes");
    }
}

#[gtest]
fn liveness_and_full_sums_coincide_with_sums() {
    for zone_nodes in [5, 25, 100] {
        let due = |of: fn(&DueMessages) -> bool| {
            count_due(zone_nodes, SCHEDULE_PERIOD, |due_messages| {
                due_messages.sums && of(due_messages)
            })
        };
        expect_that!(due(|due_messages| due_messages.liveness), eq(4));
        expect_that!(due(|due_messages| due_messages.all), eq(3));
    }
}

#[gtest]
fn only_due_rounds_are_visited() {
    for (zone_nodes, sends_sums) in [(5, false), (5, true), (50, true), (200, true)] {
        let (mut round, mut visited) = (0, Vec::new());
        while round < SCHEDULE_PERIOD {
            round += rounds_until_due(round, zone_nodes, sends_sums);
            visited.push(round);
        }
        let is_due = |round: &u32| {
            let due_messages = due_messages(*round, zone_nodes);
            due_messages.heartbeat || due_messages.far || (sends_sums && due_messages.sums)
        };
        let due: Vec<u32> = (1..=SCHEDULE_PERIOD).filter(is_due).collect();
        // Exactly the rounds with a due message are visited.
        expect_that!(visited, eq(&due));
    }
}

#[gtest]
fn heartbeat_intervals() {
    expect_that!(
        count_due(5, SCHEDULE_PERIOD, |due_messages| due_messages.heartbeat),
        eq(12)
    );
    expect_that!(
        count_due(5, SCHEDULE_PERIOD, |due_messages| due_messages.far),
        eq(4)
    );
    expect_that!(
        count_due(79, SCHEDULE_PERIOD, |due_messages| due_messages.heartbeat),
        eq(12)
    );
    // A node of a large zone sends half as many; one in three goes to a random node as well.
    expect_that!(
        count_due(200, SCHEDULE_PERIOD, |due_messages| due_messages.heartbeat),
        eq(6)
    );
    expect_that!(
        count_due(200, SCHEDULE_PERIOD, |due_messages| due_messages.heartbeat
            && due_messages.far),
        eq(2)
    );
}

//! Message frequencies of the gossip schedule.

use dappleyard_cluster::{Duties, duties, rounds_until_due};
use googletest::prelude::*;

/// Rounds of 25 ms in a second.
const ROUNDS_PER_SECOND: u32 = 40;
/// Rounds after which the schedule repeats.
const SCHEDULE_PERIOD: u32 = 72;

fn count_due(zone_nodes: usize, rounds: u32, of: impl Fn(&Duties) -> bool) -> usize {
    let all = (0..rounds).map(|round| duties(round, zone_nodes));
    all.filter(of).count()
}

#[gtest]
fn summary_interval_grows_with_the_zone() {
    expect_that!(count_due(20, SCHEDULE_PERIOD, |duties| duties.sums), eq(72));
    expect_that!(count_due(30, SCHEDULE_PERIOD, |duties| duties.sums), eq(36));
    expect_that!(count_due(59, SCHEDULE_PERIOD, |duties| duties.sums), eq(24));
    expect_that!(count_due(79, SCHEDULE_PERIOD, |duties| duties.sums), eq(24));
    expect_that!(
        count_due(1_000, SCHEDULE_PERIOD, |duties| duties.sums),
        eq(12)
    );
    expect_that!(count_due(0, SCHEDULE_PERIOD, |duties| duties.sums), eq(72));
}

#[gtest]
fn messages_per_second() {
    for zone_nodes in [1, 20, 21, 40, 60] {
        let messages = zone_nodes * count_due(zone_nodes, ROUNDS_PER_SECOND, |duties| duties.sums);
        expect_that!(messages, le(900), "{zone_nodes} nodes");
    }
}

#[gtest]
fn liveness_and_full_sums_coincide_with_sums() {
    for zone_nodes in [5, 25, 100] {
        let due = |of: fn(&Duties) -> bool| {
            count_due(zone_nodes, SCHEDULE_PERIOD, |duties| {
                duties.sums && of(duties)
            })
        };
        expect_that!(due(|duties| duties.signs), eq(4));
        expect_that!(due(|duties| duties.all), eq(3));
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
            let duties = duties(*round, zone_nodes);
            duties.heartbeat || duties.far || (sends_sums && duties.sums)
        };
        let due: Vec<u32> = (1..=SCHEDULE_PERIOD).filter(is_due).collect();
        // Exactly the rounds with a due message are visited.
        expect_that!(visited, eq(&due));
    }
}

#[gtest]
fn heartbeat_intervals() {
    expect_that!(
        count_due(5, SCHEDULE_PERIOD, |duties| duties.heartbeat),
        eq(12)
    );
    expect_that!(count_due(5, SCHEDULE_PERIOD, |duties| duties.far), eq(4));
    expect_that!(
        count_due(79, SCHEDULE_PERIOD, |duties| duties.heartbeat),
        eq(12)
    );
    // A large zone sends half as many, and some of them go to a random node as well.
    expect_that!(
        count_due(200, SCHEDULE_PERIOD, |duties| duties.heartbeat),
        eq(6)
    );
    expect_that!(
        count_due(200, SCHEDULE_PERIOD, |duties| duties.heartbeat
            && duties.far),
        eq(2)
    );
}

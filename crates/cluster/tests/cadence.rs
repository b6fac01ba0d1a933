//! Message frequencies of the gossip schedule.

use dappleyard_cluster::{Duties, duties, rounds_until_due};
use googletest::prelude::*;

/// Rounds of 25 ms in a second.
const SECOND: u32 = 40;
/// Rounds after which the schedule repeats.
const WHOLE: u32 = 72;

fn times(zone_nodes: usize, rounds: u32, of: impl Fn(&Duties) -> bool) -> usize {
    let all = (0..rounds).map(|round| duties(round, zone_nodes));
    all.filter(of).count()
}

#[gtest]
fn small_zones_are_told_often() {
    expect_that!(times(20, WHOLE, |duties| duties.sums), eq(72));
    expect_that!(times(30, WHOLE, |duties| duties.sums), eq(36));
    expect_that!(times(59, WHOLE, |duties| duties.sums), eq(24));
    expect_that!(times(79, WHOLE, |duties| duties.sums), eq(24));
    expect_that!(times(1_000, WHOLE, |duties| duties.sums), eq(12));
    expect_that!(times(0, WHOLE, |duties| duties.sums), eq(72));
}

#[gtest]
fn messages_a_second() {
    for zone_nodes in [1, 20, 21, 40, 60] {
        let messages = zone_nodes * times(zone_nodes, SECOND, |duties| duties.sums);
        expect_that!(messages, le(900), "{zone_nodes} nodes");
    }
}

#[gtest]
fn signs_and_whole_sums_come_with_sums() {
    for zone_nodes in [5, 25, 100] {
        let due =
            |of: fn(&Duties) -> bool| times(zone_nodes, WHOLE, |duties| duties.sums && of(duties));
        expect_that!(due(|duties| duties.signs), eq(4));
        expect_that!(due(|duties| duties.all), eq(3));
    }
}

#[gtest]
fn due_rounds() {
    for (zone_nodes, tells_sums) in [(5, false), (5, true), (50, true), (200, true)] {
        let (mut round, mut visited) = (0, Vec::new());
        while round < WHOLE {
            round += rounds_until_due(round, zone_nodes, tells_sums);
            visited.push(round);
        }
        let is_due = |round: &u32| {
            let duties = duties(*round, zone_nodes);
            duties.heartbeat || duties.far || (tells_sums && duties.sums)
        };
        let due: Vec<u32> = (1..=WHOLE).filter(is_due).collect();
        // Exactly the rounds with a due message are visited.
        expect_that!(visited, eq(&due));
    }
}

#[gtest]
fn heartbeats() {
    expect_that!(times(5, WHOLE, |duties| duties.heartbeat), eq(12));
    expect_that!(times(5, WHOLE, |duties| duties.far), eq(4));
    expect_that!(times(79, WHOLE, |duties| duties.heartbeat), eq(12));
    // A large zone sends half as many, and some of them go to a random node as well.
    expect_that!(times(200, WHOLE, |duties| duties.heartbeat), eq(6));
    expect_that!(
        times(200, WHOLE, |duties| duties.heartbeat && duties.far),
        eq(2)
    );
}

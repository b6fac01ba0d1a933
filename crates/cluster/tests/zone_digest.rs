//! Load sums sent to other zones.

use dappleyard_cluster::{LoadEntry, MAX_SERVERS_PER_MESSAGE, ZoneDigest, due_messages};
use googletest::prelude::*;

fn sum(server: u32, online: u32, heard_ms: u32) -> LoadEntry {
    LoadEntry {
        server,
        online,
        heard_ms,
        ..LoadEntry::default()
    }
}

#[gtest]
fn only_changes_are_sent() {
    let mut digest = ZoneDigest::default();
    let first = digest.next(vec![sum(1, 1, 5), sum(2, 1, 5)], true);
    expect_that!((first.loads.len(), first.changes_only), eq((2, false)));
    // The time since a server was heard is no change by itself.
    let second = digest.next(vec![sum(1, 1, 80), sum(2, 3, 9)], false);
    expect_that!(second.changes_only, eq(true));
    expect_that!(second.loads, eq(&vec![sum(2, 3, 9)]));
    // A server that became idle is sent once.
    let third = digest.next(vec![sum(1, 1, 90)], false);
    expect_that!(third.loads, eq(&vec![sum(2, 0, 0)]));
    let fourth = digest.next(vec![sum(1, 1, 90)], false);
    expect_that!(fourth.loads.len(), eq(0));
}

#[gtest]
fn full_sums_are_periodic() {
    let mut digest = ZoneDigest::default();
    // Uses the real schedule of a small zone, which is updated in every round.
    let full = (0..72)
        .map(|round| digest.next(vec![sum(1, 1, 5)], due_messages(round, 5).all))
        .filter(|message| !message.changes_only && message.loads.len() == 1);
    expect_that!(full.count(), eq(3));
}

#[gtest]
fn more_servers_than_fit() {
    let servers = MAX_SERVERS_PER_MESSAGE as u32 + 40;
    let sums: Vec<LoadEntry> = (0..servers)
        .map(|server| sum(server, 1 + server, 1))
        .collect();
    let mut digest = ZoneDigest::default();
    let first = digest.next(sums.clone(), true);
    expect_that!(first.loads.len(), eq(MAX_SERVERS_PER_MESSAGE));
    expect_that!(first.loads[0].server, eq(servers - 1));
    // The remaining sums are sent next.
    let second = digest.next(sums, false);
    expect_that!(second.loads.len(), eq(40));
}

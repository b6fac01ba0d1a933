//! Warm-up state of a server as reports arrive in any order.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::{WarmupReport, WarmupSource, WarmupState, WarmupTracker};
use googletest::prelude::*;

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A warm server in use, and the time of its last bytes.
fn in_use() -> (WarmupTracker, Instant) {
    let now = Instant::now() + Duration::from_secs(60);
    let mut server = WarmupTracker::default();
    server.note_row(0, now);
    server.note_heard(now);
    (server, now)
}

fn warmup_state(server: &WarmupTracker, now: Instant) -> WarmupState {
    server.warmup_state(now).0
}

fn answer(at: Instant, cold_ms: u64) -> WarmupReport {
    WarmupReport {
        at,
        cold: ms(cold_ms),
    }
}

#[gtest]
fn silent_server_is_unknown_until_checked() {
    let (mut server, now) = in_use();
    server.note_silent(now + ms(900));
    expect_that!(
        warmup_state(&server, now + ms(900)),
        eq(WarmupState::Unknown)
    );
    // Received bytes do not show that it is warm.
    server.note_heard(now + ms(4_000));
    expect_that!(
        warmup_state(&server, now + ms(4_000)),
        eq(WarmupState::Unknown)
    );
    server.note_warmup_report(
        answer(now + ms(4_010), 3_000),
        WarmupSource::Health,
        now + ms(4_020),
    );
    expect_that!(
        server.warmup_state(now + ms(4_020)),
        eq((WarmupState::Cold, WarmupSource::Health))
    );
    expect_that!(
        warmup_state(&server, now + ms(7_009)),
        eq(WarmupState::Cold)
    );
    server.note_heard(now + ms(7_000));
    expect_that!(
        server.warmup_state(now + ms(7_010)),
        eq((WarmupState::Warm, WarmupSource::Time))
    );
}

#[gtest]
fn check_before_silence_is_ignored() {
    let (mut server, now) = in_use();
    server.note_silent(now + ms(900));
    server.note_warmup_report(answer(now + ms(100), 0), WarmupSource::Node, now + ms(950));
    expect_that!(
        warmup_state(&server, now + ms(950)),
        eq(WarmupState::Unknown)
    );
}

#[gtest]
fn unused_server_becomes_unknown() {
    let (mut server, now) = in_use();
    expect_that!(
        warmup_state(&server, now + ms(1_999)),
        eq(WarmupState::Warm)
    );
    expect_that!(
        server.warmup_state(now + ms(2_000)),
        eq((WarmupState::Unknown, WarmupSource::Unused))
    );
    // Another node uses it.
    server.note_heard(now + ms(1_500));
    expect_that!(
        warmup_state(&server, now + ms(2_000)),
        eq(WarmupState::Warm)
    );
}

#[gtest]
fn new_server_has_state_of_its_row() {
    let now = Instant::now();
    let mut warm = WarmupTracker::default();
    warm.note_row(0, now);
    expect_that!(warmup_state(&warm, now + ms(60_000)), eq(WarmupState::Warm));
    let mut cold = WarmupTracker::default();
    cold.note_row(3_000, now);
    expect_that!(warmup_state(&cold, now), eq(WarmupState::Cold));
    // A repeated row does not extend the cold state.
    cold.note_row(3_000, now + ms(2_000));
    expect_that!(warmup_state(&cold, now + ms(3_000)), eq(WarmupState::Warm));
}

#[gtest]
fn stale_warm_row_is_ignored() {
    let (mut server, now) = in_use();
    server.note_row(500, now);
    server.note_warmup_report(
        answer(now + ms(100), 3_000),
        WarmupSource::Health,
        now + ms(110),
    );
    server.note_row(0, now + ms(1_000));
    expect_that!(
        warmup_state(&server, now + ms(1_000)),
        eq(WarmupState::Cold)
    );
}

#[gtest]
fn stale_cold_row_is_ignored() {
    let (mut server, now) = in_use();
    server.note_warmup_report(
        answer(now + ms(100), 0),
        WarmupSource::Health,
        now + ms(110),
    );
    server.note_row(3_000, now + ms(2_000));
    expect_that!(
        warmup_state(&server, now + ms(2_000)),
        eq(WarmupState::Warm)
    );
    // A row that arrives 2.5 s after the health check is newer than it.
    server.note_heard(now + ms(2_600));
    server.note_row(2_900, now + ms(2_700));
    expect_that!(
        warmup_state(&server, now + ms(2_700)),
        eq(WarmupState::Cold)
    );
}

#[gtest]
fn latest_check_wins() {
    let (mut server, now) = in_use();
    server.note_warmup_report(
        answer(now + ms(300), 3_000),
        WarmupSource::Node,
        now + ms(350),
    );
    server.note_warmup_report(
        answer(now + ms(200), 0),
        WarmupSource::Health,
        now + ms(400),
    );
    expect_that!(warmup_state(&server, now + ms(400)), eq(WarmupState::Cold));
}

#[gtest]
fn repeated_silence_report_after_answer_is_ignored() {
    let (mut server, now) = in_use();
    server.note_reported_silent(now + ms(1_000));
    expect_that!(
        warmup_state(&server, now + ms(1_000)),
        eq(WarmupState::Unknown)
    );
    server.note_warmup_report(
        answer(now + ms(1_100), 3_000),
        WarmupSource::Health,
        now + ms(1_110),
    );
    // Other nodes repeat their report for a while.
    for after in (1_200..2_200).step_by(150) {
        server.note_reported_silent(now + ms(after));
        expect_that!(
            warmup_state(&server, now + ms(after)),
            eq(WarmupState::Cold)
        );
    }
}

#[gtest]
fn silence_report_is_ignored_while_bytes_arrive() {
    let (mut server, now) = in_use();
    server.note_heard(now + ms(900));
    server.note_reported_silent(now + ms(1_000));
    expect_that!(
        warmup_state(&server, now + ms(1_000)),
        eq(WarmupState::Warm)
    );
    // No node has received bytes since.
    server.note_reported_silent(now + ms(1_450));
    expect_that!(
        warmup_state(&server, now + ms(1_450)),
        eq(WarmupState::Unknown)
    );
}

#[gtest]
fn later_silence_is_reported_again() {
    let (mut server, now) = in_use();
    server.note_reported_silent(now + ms(1_000));
    server.note_warmup_report(
        answer(now + ms(1_100), 0),
        WarmupSource::Health,
        now + ms(1_110),
    );
    server.note_heard(now + ms(2_900));
    server.note_reported_silent(now + ms(4_000));
    expect_that!(
        warmup_state(&server, now + ms(4_000)),
        eq(WarmupState::Unknown)
    );
}

#[gtest]
fn restored_server_is_unknown_until_checked() {
    let (mut server, now) = in_use();
    let back = now + ms(10_000);
    server.note_restored(back, back);
    expect_that!(
        server.warmup_state(back),
        eq((WarmupState::Unknown, WarmupSource::TakenBack))
    );
    let asked = answer(back + ms(20), 3_000);
    server.note_warmup_report(asked, WarmupSource::Health, back + ms(30));
    server.note_restored(back, back);
    expect_that!(warmup_state(&server, back + ms(30)), eq(WarmupState::Cold));
    // The zone is evacuated and restored again.
    server.note_restored(back + ms(9_000), back + ms(9_000));
    expect_that!(
        warmup_state(&server, back + ms(9_000)),
        eq(WarmupState::Unknown)
    );
}

#[gtest]
fn server_registered_after_restore_has_state_of_its_row() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut server = WarmupTracker::default();
    server.note_restored(now, now + ms(10_001));
    server.note_row(0, now + ms(10_001));
    expect_that!(
        warmup_state(&server, now + ms(10_001)),
        eq(WarmupState::Warm)
    );
    // A server that existed before, but that this node did not track, is unknown.
    let mut server = WarmupTracker::default();
    server.note_restored(now, now + ms(50));
    server.note_row(0, now + ms(50));
    expect_that!(
        warmup_state(&server, now + ms(50)),
        eq(WarmupState::Unknown)
    );
}

#[gtest]
fn check_shortly_before_late_restore_counts() {
    let (mut server, now) = in_use();
    let asked = now + ms(10_000);
    server.note_warmup_report(answer(asked, 3_000), WarmupSource::Node, asked + ms(100));
    server.note_restored(asked + ms(900), asked + ms(900));
    expect_that!(
        warmup_state(&server, asked + ms(900)),
        eq(WarmupState::Cold)
    );
}

#[gtest]
fn answer_without_state_leaves_server_in_doubt() {
    let (mut server, now) = in_use();
    server.note_silent(now);
    server.note_reached(now + ms(200));
    expect_that!(
        warmup_state(&server, now + ms(200)),
        eq(WarmupState::InDoubt)
    );
    server.note_warmup_report(
        answer(now + ms(500), 0),
        WarmupSource::Health,
        now + ms(510),
    );
    expect_that!(warmup_state(&server, now + ms(510)), eq(WarmupState::Warm));
}

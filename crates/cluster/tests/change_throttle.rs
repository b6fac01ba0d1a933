//! Rate limit for load change messages.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::ChangePace;
use googletest::prelude::*;

#[gtest]
fn nothing_changed() {
    let pace = ChangePace::new(Instant::now());
    expect_that!(pace.is_pending(), eq(false));
}

#[gtest]
fn change_stays_pending_until_sent() {
    let start = Instant::now();
    let mut pace = ChangePace::new(start);
    pace.note_change();
    pace.note_change();
    expect_that!(pace.is_pending(), eq(true));
    expect_that!(pace.next() > start, eq(true));
    let told = start + Duration::from_millis(20);
    pace.note_told(told);
    expect_that!(pace.is_pending(), eq(false));
    expect_that!(pace.next() > told, eq(true));
}

#[gtest]
fn next_message_is_due_within_50_ms() {
    let start = Instant::now();
    let mut pace = ChangePace::new(start);
    pace.note_change();
    expect_that!(pace.next() < start + Duration::from_millis(50), eq(true));
}

//! Rate limit for load change messages.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::ChangeThrottle;
use googletest::prelude::*;

#[gtest]
fn nothing_changed() {
    let throttle = ChangeThrottle::new(Instant::now());
    expect_that!(throttle.is_pending(), eq(false));
}

#[gtest]
fn change_stays_pending_until_sent() {
    let start = Instant::now();
    let mut throttle = ChangeThrottle::new(start);
    throttle.note_change();
    throttle.note_change();
    expect_that!(throttle.is_pending(), eq(true));
    expect_that!(throttle.next() > start, eq(true));
    let told = start + Duration::from_millis(20);
    throttle.note_sent(told);
    expect_that!(throttle.is_pending(), eq(false));
    expect_that!(throttle.next() > told, eq(true));
}

#[gtest]
fn next_message_is_due_within_50_ms() {
    let start = Instant::now();
    let mut throttle = ChangeThrottle::new(start);
    throttle.note_change();
    expect_that!(
        throttle.next() < start + Duration::from_millis(50),
        eq(true)
    );
}

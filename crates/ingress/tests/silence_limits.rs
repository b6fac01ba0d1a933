//! Silence timeouts for servers of different slowdown.

use std::time::Duration;

use dappleyard_cluster::Slowdown;
use dappleyard_crashes::Permit;
use dappleyard_ingress::{SilenceLimits, SilentRun, Stay};
use googletest::prelude::*;

const MOST: Duration = ms(900);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn slow_server() {
    let limits = SilenceLimits::abandoning_after(ms(200));
    expect_that!(limits.suspect_time(Slowdown::new(3.0), MOST), eq(ms(600)));
    // The time until the attempt is abandoned does not depend on the slowdown.
    expect_that!(limits.abandon_after, some(eq(ms(200))));
}

#[gtest]
fn very_slow_server() {
    let limits = SilenceLimits::abandoning_after(ms(200));
    expect_that!(limits.suspect_time(Slowdown::new(8.0), MOST), eq(MOST));
}

#[gtest]
fn fast_server() {
    let limits = SilenceLimits::abandoning_after(ms(200));
    expect_that!(limits.suspect_time(Slowdown::new(0.5), MOST), eq(ms(200)));
}

#[gtest]
fn long_notice() {
    // The cap does not shorten a longer timeout.
    let limits = SilenceLimits::abandoning_after(ms(1_200));
    expect_that!(limits.suspect_time(Slowdown::new(3.0), MOST), eq(ms(1_200)));
}

/// A run at a silent server that may move.
const MOVABLE: SilentRun = SilentRun {
    runs: 1,
    max_attempts: 2,
    remaining: ms(2_000),
    permit: Permit::Free,
};

#[gtest]
fn movable_run() {
    expect_that!(MOVABLE.stay(), none());
}

#[gtest]
fn kept_run() {
    let kept = [
        (SilentRun { runs: 2, ..MOVABLE }, Stay::AttemptsUsed),
        (
            SilentRun {
                remaining: ms(100),
                ..MOVABLE
            },
            Stay::DeadlineNear,
        ),
        (
            SilentRun {
                permit: Permit::LastRun,
                ..MOVABLE
            },
            Stay::CrashLimit,
        ),
        (
            SilentRun {
                permit: Permit::Wait,
                ..MOVABLE
            },
            Stay::CrashLimit,
        ),
        (
            SilentRun {
                permit: Permit::Refused,
                ..MOVABLE
            },
            Stay::CrashLimit,
        ),
    ];
    for (run, stay) in kept {
        expect_that!(run.stay(), some(eq(stay)), "{run:?}");
    }
}

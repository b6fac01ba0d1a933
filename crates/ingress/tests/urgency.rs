//! Urgency by age, and the limit on requests beyond the slots.

use std::time::Duration;

use dappleyard_ingress::{OvercommitLimit, Urgency, urgency};
use dappleyard_model::ServerLoad;
use googletest::prelude::*;

const TARGET: Duration = Duration::from_millis(300);
const PATIENCE: Duration = Duration::from_millis(2_400);

fn load(running: u32, waiting: u32) -> ServerLoad {
    ServerLoad {
        running,
        waiting,
        slots: 6,
        work_percent: None,
    }
}

#[gtest]
fn urgency_by_age() {
    let at = |ms| urgency(Duration::from_millis(ms), TARGET, PATIENCE);
    expect_that!(at(0), eq(Urgency::Fresh));
    expect_that!(at(110), eq(Urgency::InTime));
    expect_that!(at(220), eq(Urgency::Late));
    expect_that!(at(1_430), eq(Urgency::Late));
    expect_that!(at(1_440), eq(Urgency::Due));
    // A short patience takes precedence over a long target.
    let patient = urgency(
        Duration::from_millis(900),
        Duration::from_secs(9),
        Duration::from_secs(1),
    );
    expect_that!(patient, eq(Urgency::Due));
}

#[gtest]
fn requests_in_time_go_first() {
    let admits = |urgency, excess| OvercommitLimit::default().admits(urgency, excess, 0.5);
    for (urgency, limit) in [
        (Urgency::Fresh, 0.5),
        (Urgency::InTime, -0.5),
        (Urgency::Late, -1.5),
    ] {
        expect_that!(admits(urgency, limit - 0.1), eq(true), "{urgency:?}");
        expect_that!(admits(urgency, limit + 0.1), eq(false), "{urgency:?}");
    }
    expect_that!(admits(Urgency::Due, 100.0), eq(true));
}

#[gtest]
fn server_queues_lower_the_limit() {
    let mut overcommit = OvercommitLimit::default();
    let fresh = |overcommit: &OvercommitLimit| overcommit.admits(Urgency::Fresh, -1.0, 0.0);
    expect_that!(fresh(&overcommit), eq(true));
    (0..10).for_each(|_| overcommit.record(load(6, 2)));
    expect_that!(fresh(&overcommit), eq(false));
    // Only full servers without a queue raise the limit again.
    (0..50).for_each(|_| overcommit.record(load(2, 0)));
    expect_that!(fresh(&overcommit), eq(false));
    (0..50).for_each(|_| overcommit.record(load(6, 0)));
    expect_that!(fresh(&overcommit), eq(true));
}

#[gtest]
fn limit_is_bounded() {
    let mut overcommit = OvercommitLimit::default();
    (0..1_000).for_each(|_| overcommit.record(load(6, 20)));
    // The lower bound still admits fresh requests with three free slots.
    expect_that!(overcommit.admits(Urgency::Fresh, -3.0, 0.0), eq(true));
    (0..1_000).for_each(|_| overcommit.record(load(6, 0)));
    expect_that!(overcommit.admits(Urgency::Fresh, 2.1, 1.0), eq(false));
}

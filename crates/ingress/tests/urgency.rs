//! Urgency by age, and the limit on requests beyond the slots.

use std::time::Duration;

use dappleyard_ingress::{Allowance, Standing, standing};
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
fn ages() {
    let at = |ms| standing(Duration::from_millis(ms), TARGET, PATIENCE);
    expect_that!(at(0), eq(Standing::Fresh));
    expect_that!(at(110), eq(Standing::InTime));
    expect_that!(at(220), eq(Standing::Late));
    expect_that!(at(1_430), eq(Standing::Late));
    expect_that!(at(1_440), eq(Standing::Due));
    // A short patience takes precedence over a long target.
    let patient = standing(
        Duration::from_millis(900),
        Duration::from_secs(9),
        Duration::from_secs(1),
    );
    expect_that!(patient, eq(Standing::Due));
}

#[gtest]
fn those_in_time_go_first() {
    let admits = |standing, over| Allowance::default().admits(standing, over, 0.5);
    for (standing, limit) in [
        (Standing::Fresh, 0.5),
        (Standing::InTime, -0.5),
        (Standing::Late, -1.5),
    ] {
        expect_that!(admits(standing, limit - 0.1), eq(true), "{standing:?}");
        expect_that!(admits(standing, limit + 0.1), eq(false), "{standing:?}");
    }
    expect_that!(admits(Standing::Due, 100.0), eq(true));
}

#[gtest]
fn queues_at_servers_close_the_door() {
    let mut allowance = Allowance::default();
    let fresh = |allowance: &Allowance| allowance.admits(Standing::Fresh, -1.0, 0.0);
    expect_that!(fresh(&allowance), eq(true));
    (0..10).for_each(|_| allowance.note(load(6, 2)));
    expect_that!(fresh(&allowance), eq(false));
    // Only full servers without a queue raise the limit again.
    (0..50).for_each(|_| allowance.note(load(2, 0)));
    expect_that!(fresh(&allowance), eq(false));
    (0..50).for_each(|_| allowance.note(load(6, 0)));
    expect_that!(fresh(&allowance), eq(true));
}

#[gtest]
fn bounds_of_the_allowance() {
    let mut allowance = Allowance::default();
    (0..1_000).for_each(|_| allowance.note(load(6, 20)));
    // The lower bound still admits fresh requests with three free slots.
    expect_that!(allowance.admits(Standing::Fresh, -3.0, 0.0), eq(true));
    (0..1_000).for_each(|_| allowance.note(load(6, 0)));
    expect_that!(allowance.admits(Standing::Fresh, 2.1, 1.0), eq(false));
}

//! Server slowdown derived from event gaps.

use std::time::Duration;

use dappleyard_cluster::Slowdown;
use dappleyard_ingress::{EventGaps, excess_slowdown};
use googletest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn one_long_gap() {
    let mut event_gaps = EventGaps::default();
    let gaps = [30, 30, 2_000, 30, 30, 30, 30].map(|gap| event_gaps.record(ms(gap)));
    expect_that!(gaps[..6].iter().flatten().count(), eq(0));
    expect_that!(gaps[6], some(eq(ms(30))));
}

#[gtest]
fn no_reported_slowdown() {
    expect_that!(
        excess_slowdown(ms(90), ms(30), Slowdown::NORMAL),
        eq(Slowdown::new(3.0))
    );
}

#[gtest]
fn accurate_report() {
    expect_that!(
        excess_slowdown(ms(90), ms(30), Slowdown::new(3.0)),
        eq(Slowdown::NORMAL)
    );
}

#[gtest]
fn report_too_low() {
    let times = excess_slowdown(ms(126), ms(30), Slowdown::new(0.7)).times();
    expect_that!(times, near(6.0, 0.01));
}

#[gtest]
fn small_deviation() {
    expect_that!(
        excess_slowdown(ms(40), ms(30), Slowdown::NORMAL),
        eq(Slowdown::NORMAL)
    );
}

/// A server that reports itself too slow is not rated as fast.
#[gtest]
fn report_too_high() {
    expect_that!(
        excess_slowdown(ms(30), ms(30), Slowdown::new(8.0)),
        eq(Slowdown::NORMAL)
    );
}

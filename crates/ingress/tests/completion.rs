//! Whether a request can end in the time that it has left.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_ingress::{
    DurationRange, ExpectedDuration, LatencyHistogram, TimeLimit, can_finish,
};
use googletest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const KNOWN: ExpectedDuration = ExpectedDuration {
    mean: ms(600),
    range: Some(DurationRange {
        low: ms(200),
        high: ms(7_000),
    }),
};

/// Guards against requests that are run although nearly all like them take longer than their deadline.
#[gtest]
fn near_deadline() {
    let fits = |left, expected| can_finish(ms(left), TimeLimit::Deadline, expected);
    expect_that!(fits(199, &KNOWN), eq(false));
    // It is below the mean: some such requests end in time.
    expect_that!(fits(200, &KNOWN), eq(true));
    let range = None;
    expect_that!(fits(1, &ExpectedDuration { range, ..KNOWN }), eq(true));
}

/// Guards against requests that a stop cuts since they take more than twice the mean of their service.
#[gtest]
fn long_requests() {
    let deadline = ms(20_000);
    let fits = |left| can_finish(ms(left), TimeLimit::ProcessEnd { deadline }, &KNOWN);
    expect_that!(fits(6_900), eq(false));
    expect_that!(fits(7_000), eq(true));
}

/// Guards against refusals by durations that are few or long past.
#[gtest]
fn range_of_recent() {
    let now = Instant::now();
    let mut times = LatencyHistogram::default();
    (0..39).for_each(|_| times.record(ms(200), now));
    expect_that!(times.range(now), none());
    times.record(ms(5_000), now);
    let range = times.range(now).expect("enough samples");
    expect_that!(range.low, all![gt(ms(160)), le(ms(200))]);
    expect_that!(range.high, all![gt(ms(5_000)), le(ms(6_000))]);
    expect_that!(times.range(now + ms(40_000)), none());
}

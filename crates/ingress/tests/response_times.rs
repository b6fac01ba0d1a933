//! Timeouts learned from response times.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_ingress::LatencyHistogram;
use googletest::prelude::*;

const MIN_TIMEOUT: Duration = Duration::from_millis(200);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn too_few_samples() {
    let now = Instant::now();
    let mut times = LatencyHistogram::default();
    expect_that!(times.timeout(MIN_TIMEOUT), eq(ms(900)));
    (0..39).for_each(|_| times.record(ms(30), now));
    expect_that!(times.timeout(MIN_TIMEOUT), eq(ms(900)));
    times.record(ms(30), now);
    expect_that!(times.timeout(MIN_TIMEOUT), eq(MIN_TIMEOUT));
}

#[gtest]
fn slow_answers() {
    let now = Instant::now();
    let mut times = LatencyHistogram::default();
    (0..97).for_each(|_| times.record(ms(60), now));
    expect_that!(times.timeout(MIN_TIMEOUT), eq(MIN_TIMEOUT));
    // Three slow responses in a hundred raise the timeout to at least twice their time.
    (0..3).for_each(|_| times.record(ms(250), now));
    expect_that!(times.timeout(MIN_TIMEOUT), ge(ms(500)));
    expect_that!(times.timeout(MIN_TIMEOUT), le(ms(620)));
    // The maximum applies while requests queue at the servers.
    (0..100).for_each(|_| times.record(ms(3_000), now));
    expect_that!(times.timeout(MIN_TIMEOUT), eq(ms(900)));
}

#[gtest]
fn old_samples_expire() {
    let now = Instant::now();
    let mut times = LatencyHistogram::default();
    (0..100).for_each(|_| times.record(ms(3_000), now));
    for second in 1..=30 {
        (0..10).for_each(|_| times.record(ms(40), now + ms(second * 1_000)));
    }
    expect_that!(times.timeout(MIN_TIMEOUT), eq(MIN_TIMEOUT));
}

#[gtest]
fn slowly_rising_times() {
    // Responses that slow down by a tenth every half second stay within the timeout.
    let mut now = Instant::now();
    let mut times = LatencyHistogram::default();
    let mut taken = 60.0;
    (0..200).for_each(|_| times.record(ms(60), now));
    while taken < 800.0 {
        let answer = ms(taken as u64);
        expect_that!(answer, lt(times.timeout(MIN_TIMEOUT)));
        (0..10).for_each(|_| times.record(answer, now));
        now += ms(500);
        taken *= 1.1;
    }
}

#[gtest]
fn median_time() {
    let now = Instant::now();
    let mut times = LatencyHistogram::default();
    expect_that!(times.median(), none());
    (0..60).for_each(|_| times.record(ms(30), now));
    // A minority of slow responses does not move the median.
    (0..40).for_each(|_| times.record(ms(180), now));
    let median = times.median().expect("enough samples for a median");
    expect_that!(median.as_secs_f64(), near(0.03, 0.004));
}

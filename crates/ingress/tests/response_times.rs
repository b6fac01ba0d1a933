//! Timeouts learned from response times.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_ingress::LearnedTime;
use googletest::prelude::*;

const LEAST: Duration = Duration::from_millis(200);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn little_known() {
    let now = Instant::now();
    let mut times = LearnedTime::default();
    expect_that!(times.bound(LEAST), eq(ms(900)));
    (0..39).for_each(|_| times.note(ms(30), now));
    expect_that!(times.bound(LEAST), eq(ms(900)));
    times.note(ms(30), now);
    expect_that!(times.bound(LEAST), eq(LEAST));
}

#[gtest]
fn slow_answers() {
    let now = Instant::now();
    let mut times = LearnedTime::default();
    (0..97).for_each(|_| times.note(ms(60), now));
    expect_that!(times.bound(LEAST), eq(LEAST));
    // Three slow responses in a hundred raise the timeout to at least twice their time.
    (0..3).for_each(|_| times.note(ms(250), now));
    expect_that!(times.bound(LEAST), ge(ms(500)));
    expect_that!(times.bound(LEAST), le(ms(620)));
    // The maximum applies while requests queue at the servers.
    (0..100).for_each(|_| times.note(ms(3_000), now));
    expect_that!(times.bound(LEAST), eq(ms(900)));
}

#[gtest]
fn forgotten() {
    let now = Instant::now();
    let mut times = LearnedTime::default();
    (0..100).for_each(|_| times.note(ms(3_000), now));
    for second in 1..=30 {
        (0..10).for_each(|_| times.note(ms(40), now + ms(second * 1_000)));
    }
    expect_that!(times.bound(LEAST), eq(LEAST));
}

#[gtest]
fn rising_queues() {
    // Responses that slow down by a tenth every half second stay within the timeout.
    let mut now = Instant::now();
    let mut times = LearnedTime::default();
    let mut taken = 60.0;
    (0..200).for_each(|_| times.note(ms(60), now));
    while taken < 800.0 {
        let answer = ms(taken as u64);
        expect_that!(answer, lt(times.bound(LEAST)));
        (0..10).for_each(|_| times.note(answer, now));
        now += ms(500);
        taken *= 1.1;
    }
}

#[gtest]
fn usual_time() {
    let now = Instant::now();
    let mut times = LearnedTime::default();
    expect_that!(times.usual(), none());
    (0..60).for_each(|_| times.note(ms(30), now));
    // A minority of slow responses does not move the median.
    (0..40).for_each(|_| times.note(ms(180), now));
    let usual = times.usual().expect("enough are known");
    expect_that!(usual.as_secs_f64(), near(0.03, 0.004));
}

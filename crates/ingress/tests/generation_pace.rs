//! Estimates of how long a stream takes, from the tokens that it asks for.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_ingress::GenerationPace;
use googletest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records streams of `events` events that are 125 ms apart.
fn record(pace: &mut GenerationPace, streams: u32, tokens: u32, events: u64, now: Instant) {
    let generation = ms(125) * (events as u32 - 1);
    (0..streams).for_each(|_| pace.record(tokens, events, generation, now));
}

/// Guards against estimates for long streams from the durations of short ones.
#[gtest]
fn long_after_short() {
    let now = Instant::now();
    let mut pace = GenerationPace::default();
    record(&mut pace, 60, 28, 4, now);
    expect_that!(pace.longest(203, 0, now), some(ge(ms(3_625))));
    expect_that!(pace.longest(28, 0, now), some(le(ms(700))));
}

/// Guards against estimates from few streams, from old ones, and from streams of which nothing can be learned.
#[gtest]
fn nothing_known() {
    let now = Instant::now();
    let mut pace = GenerationPace::default();
    expect_that!(pace.longest(203, 0, now), none());
    record(&mut pace, 39, 28, 4, now);
    expect_that!(pace.longest(203, 0, now), none());
    record(&mut pace, 1, 28, 4, now);
    expect_that!(pace.longest(203, 0, now), some(anything()));
    expect_that!(pace.longest(203, 0, now + ms(40_000)), none());
    let mut pace = GenerationPace::default();
    (0..60).for_each(|_| pace.record(7, 1, Duration::ZERO, now));
    expect_that!(pace.longest(203, 0, now), none());
    (0..60).for_each(|_| pace.record(0, 4, ms(375), now));
    expect_that!(pace.longest(203, 0, now), none());
}

/// Guards against estimates from outputs that ended before they had used their tokens.
#[gtest]
fn outputs_that_end_early() {
    let now = Instant::now();
    let mut pace = GenerationPace::default();
    record(&mut pace, 200, 203, 4, now);
    record(&mut pace, 1, 203, 29, now);
    let later = now + ms(40_000);
    record(&mut pace, 60, 203, 4, later);
    expect_that!(pace.longest(203, 0, later), some(ge(ms(3_500))));
}

/// Guards against a resumption that is judged by the whole stream.
#[gtest]
fn rest_of_stream() {
    let now = Instant::now();
    let mut pace = GenerationPace::default();
    record(&mut pace, 60, 203, 29, now);
    expect_that!(pace.longest(203, 25, now), some(le(ms(700))));
    expect_that!(pace.longest(203, 40, now), some(eq(Duration::ZERO)));
}

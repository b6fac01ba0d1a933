//! Whether a request can end in the time that it has left.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_ingress::{DurationRange, LatencyHistogram, ends_before_process, may_meet_deadline};
use googletest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that are run although nearly all like them take longer than their deadline.
#[gtest]
fn near_deadline() {
    let range = DurationRange {
        low: ms(200),
        high: ms(7_000),
    };
    expect_that!(may_meet_deadline(ms(199), Some(range)), eq(false));
    // It is below the mean: some such requests end in time.
    expect_that!(may_meet_deadline(ms(200), Some(range)), eq(true));
    expect_that!(may_meet_deadline(ms(1), None), eq(true));
}

/// Guards against requests that a stop cuts since something other than their deadline was taken for their end.
#[gtest]
fn deadline_before_end() {
    expect_that!(ends_before_process(ms(3_999), ms(4_000)), eq(false));
    expect_that!(ends_before_process(ms(4_000), ms(4_000)), eq(true));
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

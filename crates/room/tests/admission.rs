//! Admission decisions and retry delays.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_room::{
    Admission, AdmissionRequest, Capacity, LoadTrend, MeanHoldTime, RETRY_INTERVAL,
    RETRY_INTERVALS, RetryDetector, RetryQueue, admit,
};
use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn random() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(3)
}

/// A service that finishes 100 requests per second.
fn capacity(online: u32, waiting: u32) -> Capacity {
    Capacity {
        slots: 50,
        online,
        trend_per_s: 0.0,
        waiting,
        expected_retries: Vec::new(),
        hold_time: ms(500),
    }
}

fn admission_request(age_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        age: ms(age_ms),
        target: ms(300),
        first_event: ms(45),
        left: ms(3_000),
        most_wait: ms(1_200),
        is_retry: false,
        failed: false,
        refusable: true,
        has_waited: age_ms > 0,
        counted: age_ms > 0,
    }
}

/// Number of 1,000 such requests that are served, wait and are refused.
fn counts(capacity: &Capacity, admission_request: &AdmissionRequest) -> [u32; 3] {
    let mut random = random();
    let mut counts = [0; 3];
    for _ in 0..1_000 {
        let place = match admit(capacity, admission_request, &mut random) {
            Admission::Serve => 0,
            Admission::Wait { .. } => 1,
            Admission::Refuse { .. } => 2,
        };
        counts[place] += 1;
    }
    counts
}

#[gtest]
fn free_slots() {
    expect_that!(
        counts(&capacity(20, 0), &admission_request(0)),
        eq([1_000, 0, 0])
    );
    expect_that!(
        counts(&capacity(20, 0), &admission_request(400)),
        eq([1_000, 0, 0])
    );
}

#[gtest]
fn one_slot() {
    let mut small = capacity(0, 0);
    small.slots = 1;
    expect_that!(counts(&small, &admission_request(0)), eq([1_000, 0, 0]));
    // The request itself is the waiting one.
    small.waiting = 1;
    expect_that!(counts(&small, &admission_request(20)), eq([1_000, 0, 0]));
    expect_that!(counts(&small, &admission_request(80)), eq([1_000, 0, 0]));
}

#[gtest]
fn waits() {
    expect_that!(capacity(49, 0).wait(), eq(ms(0)));
    expect_that!(capacity(50, 9).wait(), eq(ms(100)));
    let [served, waiting, refused] = counts(&capacity(53, 2), &admission_request(0));
    expect_that!(served, gt(0));
    expect_that!(waiting, gt(0));
    expect_that!(refused, eq(0));
}

#[gtest]
fn too_late() {
    // The expected wait is 300 ms.
    expect_that!(
        counts(&capacity(70, 10), &admission_request(0)),
        eq([0, 0, 1_000])
    );
    // The part of the target available for waiting is used up.
    expect_that!(
        counts(&capacity(60, 10), &admission_request(75)),
        eq([0, 0, 1_000])
    );
}

#[gtest]
fn refusals_rise_with_the_wait() {
    let refused = |waiting| counts(&capacity(60, waiting), &admission_request(0))[2];
    expect_that!(refused(0), gt(0));
    expect_that!(refused(4), gt(refused(0)));
    expect_that!(refused(7), gt(refused(4)));
    expect_that!(refused(7), lt(1_000));
}

#[gtest]
fn possibly_run_requests() {
    // It has run, so it must not be refused as not run.
    let ran = |age_ms| AdmissionRequest {
        refusable: false,
        ..admission_request(age_ms)
    };
    expect_that!(counts(&capacity(90, 10), &ran(0)), eq([0, 1_000, 0]));
    expect_that!(counts(&capacity(90, 10), &ran(1_200)), eq([1_000, 0, 0]));
}

#[gtest]
fn failed_elsewhere() {
    let failed = AdmissionRequest {
        failed: true,
        ..admission_request(100)
    };
    expect_that!(counts(&capacity(90, 10), &failed), eq([0, 1_000, 0]));
    let failed = AdmissionRequest {
        age: ms(200),
        ..failed
    };
    expect_that!(counts(&capacity(90, 10), &failed), eq([0, 0, 1_000]));
}

#[gtest]
fn retries_use_the_reserve() {
    let mut full = capacity(50, 20);
    full.expected_retries = vec![1];
    let is_retry = AdmissionRequest {
        is_retry: true,
        ..admission_request(0)
    };
    expect_that!(counts(&full, &is_retry)[0], eq(1_000));
    expect_that!(counts(&full, &admission_request(0))[0], lt(500));
    // Too many retries for the reserved slots.
    full.expected_retries = vec![40];
    expect_that!(counts(&full, &is_retry)[0], lt(250));
}

#[gtest]
fn times_to_return() {
    let mut full = capacity(60, 20);
    let mut random = random();
    // Never above the maximum.
    for _ in 0..100 {
        expect_that!(full.retry_delay(ms(1_000), &mut random), le(ms(1_000)));
    }
    let first = full.retry_delay(ms(1_000), &mut random);
    expect_that!(first, le(ms(200)));
    // No reserved slots left: late and spread out.
    full.expected_retries = vec![50; 32];
    let late = full.retry_delay(ms(1_000), &mut random);
    expect_that!(late, ge(ms(500)));
    expect_that!(full.retry_delay(ms(1_000), &mut random), not(eq(late)));
}

#[gtest]
fn hold_times() {
    let mut hold_time = MeanHoldTime::default();
    expect_that!(hold_time.mean(), eq(ms(1_000)));
    hold_time.record(ms(600));
    expect_that!(hold_time.mean(), eq(ms(600)));
    hold_time.record(ms(800));
    expect_that!(hold_time.mean(), all![gt(ms(600)), lt(ms(700))]);
}

#[gtest]
fn trends() {
    let mut trend = LoadTrend::default();
    let begin = Instant::now();
    expect_that!(trend.record(10, begin), eq(0.0));
    expect_that!(trend.record(20, begin + ms(100)), near(100.0, 0.1));
    // Old samples do not count.
    expect_that!(trend.record(20, begin + ms(400)), eq(0.0));
}

#[gtest]
fn shorter_deadlines() {
    let mut detector = RetryDetector::default();
    let now = Instant::now();
    expect_that!(detector.record(ms(5_000), now), eq(false));
    expect_that!(detector.record(ms(4_990), now), eq(false));
    expect_that!(detector.record(ms(4_800), now), eq(true));
    // A much shorter deadline is the client's choice.
    expect_that!(detector.record(ms(1_000), now), eq(false));
    let later = now + Duration::from_secs(25);
    expect_that!(detector.record(ms(1_000), later), eq(false));
}

#[gtest]
fn quota_retries_are_spread() {
    let mut queue = RetryQueue::default();
    let (now, mut random) = (Instant::now(), random());
    let mut next = || queue.next(ms(20), ms(100), ms(1_000), now, &mut random);
    let times: Vec<Duration> = (0..20).map(|_| next()).collect();
    for (place, time) in times.iter().take(9).enumerate() {
        let begins = ms(20 + 100 * place as u64);
        expect_that!(*time, all![ge(begins), le(begins + ms(100))]);
    }
    // There is no quota for the rest within the maximum delay.
    expect_that!(times[11..], each(all![ge(&ms(500)), le(&ms(1_000))]));
}

#[gtest]
fn long_prompts_wait_too() {
    let long = AdmissionRequest {
        first_event: ms(400),
        ..admission_request(20)
    };
    let [served, waiting, refused] = counts(&capacity(50, 5), &long);
    expect_that!(served + waiting, gt(0));
    expect_that!(refused, eq(0));
}

#[gtest]
fn retries_within_the_schedule() {
    let mut full = capacity(90, 40);
    full.expected_retries = vec![1_000; RETRY_INTERVALS];
    let mut random = random();
    let after = full.retry_delay(ms(20_000), &mut random);
    expect_that!(after, le(RETRY_INTERVAL * RETRY_INTERVALS as u32));
}

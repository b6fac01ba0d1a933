//! Tenant limits per node, token buckets and early rejection.

use dappleyard_decide::admission::{
    Infeasible, MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS, TokenBucket, feasible, node_share,
};
use dappleyard_decide::time::Millis;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

#[gtest]
fn node_shares_add_up_to_the_limit_or_the_floor() {
    for nodes in 1..400 {
        let limits = node_share(800.0, 1_600.0, 1_000_000, nodes);
        let whole = limits.requests_per_s.expect("a rate") * nodes as f64;
        expect_that!(whole, near(800.0, 1e-6));
        expect_that!(limits.concurrent_tokens, some(ge(1_000_000 / nodes as u64)));
    }
    let small = node_share(10.0, 0.0, 0, 100);
    expect_that!(small.requests_per_s, some(eq(1.0)));
    expect_that!(small.burst, eq(1.0));
    expect_that!(small.concurrent_tokens, none());
}

#[gtest]
fn unlimited_tenant_has_no_node_limits() {
    let limits = node_share(0.0, 0.0, 0, 3);
    expect_that!(limits.requests_per_s, none());
    expect_that!(limits.concurrent_tokens, none());
}

#[gtest]
fn token_bucket_respects_rate_and_burst() {
    let mut generator = StdRng::seed_from_u64(1);
    for _ in 0..50 {
        let (rate, burst) = (
            generator.random_range(0.5..50.0),
            generator.random_range(1.0..20.0),
        );
        let start = Millis(1_000);
        let (mut now, mut taken) = (start, 0_u32);
        let mut bucket = TokenBucket::full(burst, now);
        for _ in 0..500 {
            now = now.plus(generator.random_range(0..100));
            taken += u32::from(bucket.take(rate, burst, now).is_ok());
        }
        let most = burst + now.since(start) as f64 / 1_000.0 * rate;
        expect_that!(f64::from(taken), le(most + 1e-6));
    }
}

#[gtest]
fn retry_after_is_the_time_of_the_next_token() {
    let mut bucket = TokenBucket::full(1.0, Millis(0));
    expect_that!(bucket.take(2.0, 1.0, Millis(0)), ok(anything()));
    let wait_ms = bucket.take(2.0, 1.0, Millis(0)).expect_err("empty");
    expect_that!(wait_ms, eq(500));
    expect_that!(bucket.take(2.0, 1.0, Millis(499)), err(anything()));
    expect_that!(bucket.take(2.0, 1.0, Millis(500)), ok(anything()));
}

#[gtest]
fn clock_going_back_adds_no_tokens() {
    let mut bucket = TokenBucket::full(1.0, Millis(1_000));
    expect_that!(bucket.take(1.0, 1.0, Millis(1_000)), ok(anything()));
    expect_that!(bucket.take(1.0, 1.0, Millis(0)), err(anything()));
    expect_that!(bucket.take(1.0, 1.0, Millis(1_500)), err(anything()));
}

#[gtest]
fn long_waits_are_rejected_with_retry_after() {
    expect_that!(feasible(100, 1_000, 2_000), ok(anything()));
    expect_that!(
        feasible(2_500, 10_000, 2_000),
        err(eq((Infeasible::Queue, 500)))
    );
    expect_that!(
        feasible(300, 200, 2_000),
        err(eq((Infeasible::Deadline, 300)))
    );
    for wait_ms in [0, 1, 50, 5_000, u32::MAX] {
        if let Err((_, hint)) = feasible(wait_ms, 1, 2_000) {
            expect_that!(hint, all![ge(MIN_RETRY_AFTER_MS), le(MAX_RETRY_AFTER_MS)]);
        }
    }
}

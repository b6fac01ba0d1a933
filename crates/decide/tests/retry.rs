//! Retry budgets, retry conditions and backoff.

use dappleyard_decide::retry::{
    BUDGET_BURST, MAX_BACKOFF_MS, RetryBudget, may_retry, retry_delay_ms,
};
use dappleyard_wire::{Ran, Repeat};
use googletest::prelude::*;

#[gtest]
fn retries_are_limited_to_a_share_of_first_attempts() {
    let mut budget = RetryBudget::new(10);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.first_attempt();
        while budget.take() {
            retries += 1;
        }
    }
    expect_that!(retries, le(1_000 + BUDGET_BURST));
    expect_that!(retries, ge(1_000));
}

#[gtest]
fn burst_after_an_idle_period_is_limited() {
    let mut budget = RetryBudget::new(10);
    (0..100_000).for_each(|_| budget.first_attempt());
    let burst = std::iter::from_fn(|| budget.take().then_some(())).count();
    expect_that!(burst, eq(BUDGET_BURST as usize));
}

#[gtest]
fn non_repeatable_request_is_retried_only_if_it_did_not_run() {
    for ran in [Ran::No, Ran::Maybe, Ran::Yes] {
        expect_that!(may_retry(ran, Repeat::Allowed), is_true());
        expect_that!(may_retry(ran, Repeat::Never), eq(ran == Ran::No));
    }
}

#[gtest]
fn backoff_is_limited_and_never_reaches_the_deadline() {
    for retry in 0..100 {
        for unit in [0.0, 0.3, 0.999, 1.0, 7.0] {
            for left_ms in [0, 1, 10, 100, 10_000] {
                if let Some(pause) = retry_delay_ms(retry, unit, left_ms) {
                    expect_that!(pause, lt(left_ms));
                    expect_that!(pause, le(u64::from(MAX_BACKOFF_MS)));
                }
            }
        }
    }
    expect_that!(retry_delay_ms(1, 0.5, 1_000), some(eq(5)));
    expect_that!(retry_delay_ms(3, 0.5, 1_000), some(eq(20)));
}

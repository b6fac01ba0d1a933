//! Sums of demand and the retry schedule.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_room::{Demand, RETRY_INTERVAL, RETRY_INTERVALS, RetrySchedule, TenantWork};
use googletest::prelude::*;

fn work(tenant: u32, requests: u32) -> TenantWork {
    TenantWork { tenant, requests }
}

#[gtest]
fn sums() {
    let mut sum = Demand::of(7);
    sum.add(
        &Demand {
            service: 7,
            waiting: 2,
            returns: vec![5, 1, 4],
            tenants: vec![work(1, 3), work(9, 1)],
        },
        1,
    );
    sum.add(
        &Demand {
            service: 7,
            waiting: 1,
            returns: vec![2],
            tenants: vec![work(4, 8), work(9, 2)],
        },
        0,
    );
    expect_that!(sum.waiting, eq(3));
    expect_that!(sum.returns, elements_are![eq(&3), eq(&4)]);
    expect_that!(sum.tenants, eq(&vec![work(1, 3), work(4, 8), work(9, 3)]));
    sum.keep_busiest(2);
    expect_that!(sum.tenants, eq(&vec![work(1, 3), work(4, 8)]));
}

#[gtest]
fn retries_fall_due() {
    let began = Instant::now();
    let mut schedule = RetrySchedule::new(began);
    schedule.note(RETRY_INTERVAL * 2, began);
    schedule.note(RETRY_INTERVAL * 2, began + RETRY_INTERVAL / 2);
    expect_that!(schedule.due(began), elements_are![eq(&0), eq(&0), eq(&2)]);
    expect_that!(
        schedule.due(began + RETRY_INTERVAL * 2),
        elements_are![eq(&2)]
    );
    expect_that!(schedule.due(began + RETRY_INTERVAL * 3), is_empty());
    let late = began + Duration::from_secs(3600);
    schedule.note(Duration::from_secs(60), late);
    expect_that!(schedule.due(late), len(eq(RETRY_INTERVALS)));
}

#[gtest]
fn taken_off() {
    let one = Demand {
        service: 7,
        waiting: 2,
        returns: vec![0, 4],
        tenants: vec![work(1, 3)],
    };
    let other = Demand {
        service: 7,
        waiting: 1,
        returns: vec![2],
        tenants: vec![work(1, 1), work(4, 8)],
    };
    let mut sum = Demand::of(7);
    sum.add(&one, 0);
    sum.add(&other, 0);
    sum.subtract(&one, 0);
    expect_that!(sum, eq(&other));
}

//! Admission of batch items during bursts of online requests, in virtual time.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_jobs::{AdmissionChange, BatchAdmission, ServiceLoad, apportion, is_urgent};
use googletest::prelude::*;

/// Run time of an item.
const ITEM: Duration = Duration::from_secs(4);
const PASS_INTERVAL: Duration = Duration::from_millis(50);
const SLOTS: u32 = 100;

/// Load of a service with so many waiting online requests, running online requests and running items.
fn load(waiting: u32, online: u32, batch: u32) -> ServiceLoad {
    ServiceLoad {
        waiting,
        returning: 0,
        slots: SLOTS,
        online,
        batch,
        free: SLOTS.saturating_sub(online + batch),
    }
}

/// Closes admission at `now`, then observes the load `after` in each pass until admission reopens; also returns the
/// time at which it does.
fn reopened(now: Instant, after: ServiceLoad) -> (BatchAdmission, Instant) {
    let mut admission = BatchAdmission::default();
    admission.observe(&load(5, 100, after.batch), ITEM, now);
    let mut at = now;
    while admission.is_closed() {
        at += PASS_INTERVAL;
        admission.observe(&after, ITEM, at);
    }
    (admission, at)
}

#[gtest]
fn open_without_demand() {
    let mut admission = BatchAdmission::default();
    let now = Instant::now();
    let change = admission.observe(&load(0, 40, 10), ITEM, now);
    expect_that!(change, none());
    expect_that!(admission.capacity(&load(0, 40, 10), 0, now), eq(50));
}

#[gtest]
fn urgent_items_start_only_between_bursts() {
    let mut admission = BatchAdmission::default();
    let begin = Instant::now();
    let mut open_between_bursts = 0;
    // Bursts of 3 s that need more than all slots, separated by 3 s of low load.
    for pass in 0..360_u32 {
        let now = begin + PASS_INTERVAL * pass;
        let in_burst = (pass / 60) % 2 == 0;
        let seen = match in_burst {
            true => load(20, 100, 0),
            false => load(0, 20, 0),
        };
        admission.observe(&seen, ITEM, now);
        let capacity = admission.capacity(&seen, 50, now);
        match in_burst {
            true => expect_that!(capacity, eq(0), "pass {pass}"),
            false => open_between_bursts += u32::from(capacity > 0),
        }
    }
    // With 50 urgent items, items may start in nearly all of the 180 passes between bursts.
    expect_that!(open_between_bursts, gt(160));
}

#[gtest]
fn ramps_up_after_reopening() {
    let now = Instant::now();
    let (mut admission, opened) = reopened(now, load(0, 20, 0));
    expect_that!(opened - now, ge(Duration::from_millis(150)));
    let mut batch = 0;
    let mut steps = Vec::new();
    for pass in 0..40_u32 {
        let at = opened + PASS_INTERVAL * pass;
        let seen = load(0, 20, batch);
        admission.observe(&seen, ITEM, at);
        let capacity = admission.capacity(&seen, 0, at);
        batch += capacity;
        steps.push(capacity);
    }
    // At most a tenth of the slots per pass, and all of them in the end.
    expect_that!(steps.iter().max(), some(le(&10)));
    expect_that!(batch, eq(80));
}

#[gtest]
fn running_items_count_towards_ramp() {
    let now = Instant::now();
    let seen = load(0, 20, 30);
    let (admission, opened) = reopened(now, seen);
    expect_that!(admission.capacity(&seen, 0, opened), eq(0));
    expect_that!(admission.capacity(&seen, 0, opened + ITEM), eq(50));
}

#[gtest]
fn closes_once_per_burst() {
    let mut admission = BatchAdmission::default();
    let begin = Instant::now();
    let mut changes = Vec::new();
    for pass in 0..100_u32 {
        // A request waits in every second pass.
        let waiting = u32::from(pass < 60 && pass % 2 == 0);
        let seen = load(waiting, 60, 0);
        changes.extend(admission.observe(&seen, ITEM, begin + PASS_INTERVAL * pass));
    }
    expect_that!(
        changes,
        elements_are![
            eq(&AdmissionChange::Closed),
            matches_pattern!(AdmissionChange::Opened(_))
        ]
    );
}

#[gtest]
fn urgent_items_skip_ramp() {
    // An item that needs 3 s is urgent with 5 s left, but not with 10 s, nor with 2 s, which is too late already.
    let urgent = [5_000, 10_000, 2_000].map(|due_ms| is_urgent(due_ms, 3_000, 0));
    expect_that!(urgent, eq([true, false, false]));
    let now = Instant::now();
    let seen = load(0, 20, 0);
    let (admission, opened) = reopened(now, seen);
    expect_that!(admission.capacity(&seen, 7, opened), eq(7));
}

#[gtest]
fn urgent_items_yield_to_waiting_requests() {
    let now = Instant::now();
    let capacities = [100, 41, 40, 38, 1].map(|waiting| {
        let mut admission = BatchAdmission::default();
        let seen = load(waiting, 60, 0);
        admission.observe(&seen, ITEM, now);
        (admission.is_closed(), admission.capacity(&seen, 7, now))
    });
    // Waiting requests get free slots first.
    let expected = [(true, 0), (true, 0), (true, 0), (true, 2), (true, 7)];
    expect_that!(capacities, eq(expected));
}

#[gtest]
fn urgent_items_yield_to_retrying_requests() {
    let mut admission = BatchAdmission::default();
    let now = Instant::now();
    let seen = ServiceLoad {
        returning: 30,
        ..load(8, 60, 0)
    };
    admission.observe(&seen, ITEM, now);
    expect_that!(admission.capacity(&seen, 7, now), eq(2));
}

#[gtest]
fn state_is_recent_after_last_job() {
    let mut admission = BatchAdmission::default();
    let now = Instant::now();
    expect_that!(admission.is_recent(now), eq(false));
    admission.observe(&load(5, 100, 0), ITEM, now);
    // A new job soon after the last one ended finds the previous state.
    let ages = [Duration::from_millis(1_400), Duration::from_millis(1_500)];
    let recent = ages.map(|age| admission.is_recent(now + age));
    expect_that!(recent, eq([true, false]));
}

#[gtest]
fn closes_for_expected_retries() {
    let mut admission = BatchAdmission::default();
    let now = Instant::now();
    let seen = ServiceLoad {
        returning: 30,
        ..load(0, 40, 10)
    };
    admission.observe(&seen, ITEM, now);
    expect_that!(admission.capacity(&seen, 0, now), eq(20));
    let seen = ServiceLoad {
        returning: 60,
        ..seen
    };
    expect_that!(
        admission.observe(&seen, ITEM, now),
        some(eq(AdmissionChange::Closed))
    );
}

#[gtest]
fn stale_state_is_reset() {
    let mut admission = BatchAdmission::default();
    let now = Instant::now();
    admission.observe(&load(5, 100, 0), ITEM, now);
    // After a long time without observations, the service counts as one without demand.
    let seen = load(0, 20, 0);
    let later = now + Duration::from_millis(1_500);
    expect_that!(admission.observe(&seen, ITEM, later), none());
    expect_that!(admission.capacity(&seen, 0, later), eq(80));
}

#[gtest]
fn reopens_when_reports_stop() {
    // The nodes that reported waiting requests stop sending, while this node keeps observing.
    let now = Instant::now();
    let seen = load(0, 20, 0);
    let (admission, opened) = reopened(now, seen);
    expect_that!(opened - now, lt(Duration::from_millis(500)));
    expect_that!(admission.capacity(&seen, 0, opened + ITEM), eq(80));
}

#[gtest]
fn services_are_independent() {
    let now = Instant::now();
    let (mut first, mut second) = (BatchAdmission::default(), BatchAdmission::default());
    first.observe(&load(5, 100, 0), ITEM, now);
    second.observe(&load(0, 20, 0), ITEM, now);
    let capacities = [&first, &second].map(|service| service.capacity(&load(0, 20, 0), 0, now));
    expect_that!(capacities, eq([0, 80]));
}

#[gtest]
fn waiting_requests_use_free_slots_first() {
    let preempted = [(0, 10), (5, 10), (25, 10), (200, 10)].map(|(waiting, batch)| {
        let seen = ServiceLoad {
            free: 20,
            ..load(waiting, 70, batch)
        };
        seen.items_to_preempt()
    });
    expect_that!(preempted, eq([0, 0, 5, 10]));
}

#[gtest]
fn apportioned_parts_add_up() {
    let items = [3, 0, 7, 1, 5];
    for preempted in 0..=20 {
        let parts = apportion(preempted, &items);
        let total: u32 = parts.iter().sum();
        expect_that!(total, eq(preempted.min(16)));
        for (part, held) in parts.iter().zip(items) {
            expect_that!(*part, le(held));
        }
    }
    expect_that!(apportion(3, &[]), is_empty());
}

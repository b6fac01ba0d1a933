//! Items beside waves of online requests, in virtual time.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_jobs::{Change, ServiceLoad, Yielding, is_urgent, spread};
use googletest::prelude::*;

/// What an item takes.
const ITEM: Duration = Duration::from_secs(4);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
const SLOTS: u32 = 100;

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

/// A service that requests waited for until now, and that items may use again.
fn reopened(now: Instant, after: ServiceLoad) -> (Yielding, Instant) {
    let mut yielding = Yielding::default();
    yielding.observe(&load(5, 100, after.batch), ITEM, now);
    let mut at = now;
    while yielding.is_closed() {
        at += LOOK;
        yielding.observe(&after, ITEM, at);
    }
    (yielding, at)
}

#[gtest]
fn nobody_waiting() {
    let mut yielding = Yielding::default();
    let now = Instant::now();
    let change = yielding.observe(&load(0, 40, 10), ITEM, now);
    expect_that!(change, none());
    expect_that!(yielding.room(&load(0, 40, 10), 0, now), eq(50));
}

#[gtest]
fn square_waves() {
    let mut yielding = Yielding::default();
    let begin = Instant::now();
    let mut begun_in_gaps = 0;
    // Waves of 3 s that ask for more than all slots, and 3 s of little work between.
    for look in 0..360_u32 {
        let now = begin + LOOK * look;
        let in_wave = (look / 60) % 2 == 0;
        let seen = match in_wave {
            true => load(20, 100, 0),
            false => load(0, 20, 0),
        };
        yielding.observe(&seen, ITEM, now);
        let room = yielding.room(&seen, 50, now);
        match in_wave {
            true => expect_that!(room, eq(0), "look {look}"),
            false => begun_in_gaps += u32::from(room > 0),
        }
    }
    // Of 180 looks between waves, all but those of the first moment.
    expect_that!(begun_in_gaps, gt(160));
}

#[gtest]
fn comes_back_in_steps() {
    let now = Instant::now();
    let (mut yielding, opened) = reopened(now, load(0, 20, 0));
    expect_that!(opened - now, ge(Duration::from_millis(150)));
    let mut batch = 0;
    let mut steps = Vec::new();
    for look in 0..40_u32 {
        let at = opened + LOOK * look;
        let seen = load(0, 20, batch);
        yielding.observe(&seen, ITEM, at);
        let room = yielding.room(&seen, 0, at);
        batch += room;
        steps.push(room);
    }
    // Never more than a tenth of the slots at once, and all of them in the end.
    expect_that!(steps.iter().max(), some(le(&10)));
    expect_that!(batch, eq(80));
}

#[gtest]
fn items_that_stayed() {
    let now = Instant::now();
    let seen = load(0, 20, 30);
    let (yielding, opened) = reopened(now, seen);
    expect_that!(yielding.room(&seen, 0, opened), eq(0));
    expect_that!(yielding.room(&seen, 0, opened + ITEM), eq(50));
}

#[gtest]
fn one_wave_is_one_closing() {
    let mut yielding = Yielding::default();
    let begin = Instant::now();
    let mut changes = Vec::new();
    for look in 0..100_u32 {
        // A request waits at each other look.
        let waiting = u32::from(look < 60 && look % 2 == 0);
        let seen = load(waiting, 60, 0);
        changes.extend(yielding.observe(&seen, ITEM, begin + LOOK * look));
    }
    expect_that!(
        changes,
        elements_are![eq(&Change::Closed), matches_pattern!(Change::Opened(_))]
    );
}

#[gtest]
fn due_soon() {
    // It needs 3 s, and is due in 5 s; in 10 s; in 2 s, which it can't meet any more.
    let urgent = [5_000, 10_000, 2_000].map(|due_ms| is_urgent(due_ms, 3_000, 0));
    expect_that!(urgent, eq([true, false, false]));
    let now = Instant::now();
    let seen = load(0, 20, 0);
    let (yielding, opened) = reopened(now, seen);
    expect_that!(yielding.room(&seen, 7, opened), eq(7));
}

#[gtest]
fn due_soon_but_callers_wait() {
    let now = Instant::now();
    let rooms = [100, 41, 40, 38, 1].map(|waiting| {
        let mut yielding = Yielding::default();
        let seen = load(waiting, 60, 0);
        yielding.observe(&seen, ITEM, now);
        (yielding.is_closed(), yielding.room(&seen, 7, now))
    });
    // A slot for each request that waits comes first.
    let expected = [(true, 0), (true, 0), (true, 0), (true, 2), (true, 7)];
    expect_that!(rooms, eq(expected));
}

#[gtest]
fn due_soon_but_callers_return() {
    let mut yielding = Yielding::default();
    let now = Instant::now();
    let seen = ServiceLoad {
        returning: 30,
        ..load(8, 60, 0)
    };
    yielding.observe(&seen, ITEM, now);
    expect_that!(yielding.room(&seen, 7, now), eq(2));
}

#[gtest]
fn kept_without_jobs() {
    let mut yielding = Yielding::default();
    let now = Instant::now();
    expect_that!(yielding.is_recent(now), eq(false));
    yielding.observe(&load(5, 100, 0), ITEM, now);
    // A job that comes a moment after the last one ended finds the service as it was.
    let ages = [Duration::from_millis(1_400), Duration::from_millis(1_500)];
    let recent = ages.map(|age| yielding.is_recent(now + age));
    expect_that!(recent, eq([true, false]));
}

#[gtest]
fn refused_callers_return() {
    let mut yielding = Yielding::default();
    let now = Instant::now();
    let seen = ServiceLoad {
        returning: 30,
        ..load(0, 40, 10)
    };
    yielding.observe(&seen, ITEM, now);
    expect_that!(yielding.room(&seen, 0, now), eq(20));
    let seen = ServiceLoad {
        returning: 60,
        ..seen
    };
    expect_that!(yielding.observe(&seen, ITEM, now), some(eq(Change::Closed)));
}

#[gtest]
fn news_lost() {
    let mut yielding = Yielding::default();
    let now = Instant::now();
    yielding.observe(&load(5, 100, 0), ITEM, now);
    // Nothing was looked at for long: as a node that begins.
    let seen = load(0, 20, 0);
    let later = now + Duration::from_millis(1_500);
    expect_that!(yielding.observe(&seen, ITEM, later), none());
    expect_that!(yielding.room(&seen, 0, later), eq(80));
}

#[gtest]
fn demand_untold() {
    // The nodes that told of waiting requests fall silent; this one goes on to look.
    let now = Instant::now();
    let seen = load(0, 20, 0);
    let (yielding, opened) = reopened(now, seen);
    expect_that!(opened - now, lt(Duration::from_millis(500)));
    expect_that!(yielding.room(&seen, 0, opened + ITEM), eq(80));
}

#[gtest]
fn two_services() {
    let now = Instant::now();
    let (mut first, mut second) = (Yielding::default(), Yielding::default());
    first.observe(&load(5, 100, 0), ITEM, now);
    second.observe(&load(0, 20, 0), ITEM, now);
    let rooms = [&first, &second].map(|held| held.room(&load(0, 20, 0), 0, now));
    expect_that!(rooms, eq([0, 80]));
}

#[gtest]
fn no_more_than_needed() {
    // A request that waits takes a free slot before an item leaves for it.
    let leaving = [(0, 10), (5, 10), (25, 10), (200, 10)].map(|(waiting, batch)| {
        let seen = ServiceLoad {
            free: 20,
            ..load(waiting, 70, batch)
        };
        seen.to_leave()
    });
    expect_that!(leaving, eq([0, 0, 5, 10]));
}

#[gtest]
fn parts_add_up() {
    let items = [3, 0, 7, 1, 5];
    for leaving in 0..=20 {
        let parts = spread(leaving, &items);
        let total: u32 = parts.iter().sum();
        expect_that!(total, eq(leaving.min(16)));
        for (part, held) in parts.iter().zip(items) {
            expect_that!(*part, le(held));
        }
    }
    expect_that!(spread(3, &[]), is_empty());
}

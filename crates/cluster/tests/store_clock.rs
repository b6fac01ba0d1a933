//! Transit time of store answers.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::StoreClock;
use googletest::prelude::*;

async fn advance(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

#[tokio::test(start_paused = true)]
async fn delayed_answers() {
    let (clock, started) = (StoreClock::default(), Instant::now());
    let store_ms = || 70_000 + started.elapsed().as_millis() as u64;
    assert_that!(clock.transit_time(store_ms()), eq(Duration::ZERO));
    let sent_at = store_ms();
    advance(900).await;
    let transit_ms = clock.transit_time(sent_at).as_millis();
    assert_that!(transit_ms, ge(895));
    assert_that!(transit_ms, le(900));
    // A fast answer has no transit time.
    advance(100).await;
    assert_that!(clock.transit_time(store_ms()).as_millis(), le(1));
}

#[tokio::test(start_paused = true)]
async fn faster_answers() {
    let (clock, started) = (StoreClock::default(), Instant::now());
    let store_ms = || 70_000 + started.elapsed().as_millis() as u64;
    // The first answer was slow, which only a faster one reveals.
    let slow = store_ms();
    advance(300).await;
    assert_that!(clock.transit_time(slow), eq(Duration::ZERO));
    assert_that!(clock.transit_time(store_ms()), eq(Duration::ZERO));
    let sent_at = store_ms();
    advance(300).await;
    assert_that!(clock.transit_time(sent_at).as_millis(), ge(295));
}

#[tokio::test(start_paused = true)]
async fn clock_reset() {
    let clock = StoreClock::default();
    assert_that!(clock.transit_time(900_000), eq(Duration::ZERO));
    advance(1_000).await;
    // A reset of the store's clock does not count as a transit time.
    assert_that!(clock.transit_time(10), eq(Duration::ZERO));
    advance(1_000).await;
    assert_that!(clock.transit_time(1_010).as_millis(), le(1));
}

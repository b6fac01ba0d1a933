//! Transit time of store answers.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::StoreClock;
use googletest::prelude::*;

async fn pass(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

#[tokio::test(start_paused = true)]
async fn late_answers() {
    let (clock, began) = (StoreClock::default(), Instant::now());
    let store_ms = || 70_000 + began.elapsed().as_millis() as u64;
    assert_that!(clock.time_on_way(store_ms()), eq(Duration::ZERO));
    let told = store_ms();
    pass(900).await;
    let way_ms = clock.time_on_way(told).as_millis();
    assert_that!(way_ms, ge(895));
    assert_that!(way_ms, le(900));
    // A fast answer has no transit time.
    pass(100).await;
    assert_that!(clock.time_on_way(store_ms()).as_millis(), le(1));
}

#[tokio::test(start_paused = true)]
async fn quicker_answers() {
    let (clock, began) = (StoreClock::default(), Instant::now());
    let store_ms = || 70_000 + began.elapsed().as_millis() as u64;
    // The first answer was slow, which only a faster one reveals.
    let slow = store_ms();
    pass(300).await;
    assert_that!(clock.time_on_way(slow), eq(Duration::ZERO));
    assert_that!(clock.time_on_way(store_ms()), eq(Duration::ZERO));
    let told = store_ms();
    pass(300).await;
    assert_that!(clock.time_on_way(told).as_millis(), ge(295));
}

#[tokio::test(start_paused = true)]
async fn clock_set_anew() {
    let clock = StoreClock::default();
    assert_that!(clock.time_on_way(900_000), eq(Duration::ZERO));
    pass(1_000).await;
    // A reset of the store's clock does not count as a transit time.
    assert_that!(clock.time_on_way(10), eq(Duration::ZERO));
    pass(1_000).await;
    assert_that!(clock.time_on_way(1_010).as_millis(), le(1));
}

//! Silence timeouts for servers of different pace.

use std::time::Duration;

use dappleyard_cluster::Pace;
use dappleyard_ingress::Patience;
use googletest::prelude::*;

const MOST: Duration = ms(900);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn slow_server() {
    let patience = Patience::leave_after(ms(200));
    expect_that!(patience.suspect_time(Pace::new(3.0), MOST), eq(ms(600)));
    // The time until the attempt is abandoned does not depend on the pace.
    expect_that!(patience.abandon_after, some(eq(ms(200))));
}

#[gtest]
fn very_slow_server() {
    let patience = Patience::leave_after(ms(200));
    expect_that!(patience.suspect_time(Pace::new(8.0), MOST), eq(MOST));
}

#[gtest]
fn fast_server() {
    let patience = Patience::leave_after(ms(200));
    expect_that!(patience.suspect_time(Pace::new(0.5), MOST), eq(ms(200)));
}

#[gtest]
fn long_notice() {
    // The cap does not shorten a longer timeout.
    let patience = Patience::leave_after(ms(1_200));
    expect_that!(patience.suspect_time(Pace::new(3.0), MOST), eq(ms(1_200)));
}

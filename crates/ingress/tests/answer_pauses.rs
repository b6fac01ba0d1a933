//! The pace of a server from the pauses between events.

use std::time::Duration;

use dappleyard_cluster::Pace;
use dappleyard_ingress::AnswerPauses;
use googletest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The figure after seven pauses.
fn pace_of(pauses: [u64; 7], usual: Option<Duration>) -> Option<Pace> {
    let mut held = AnswerPauses::default();
    let figures: Vec<Option<Pace>> = pauses
        .iter()
        .map(|pause| held.note(ms(*pause), || usual))
        .collect();
    expect_that!(figures[..6].iter().flatten().count(), eq(0));
    figures[6]
}

#[gtest]
fn slow_server() {
    expect_that!(pace_of([90; 7], Some(ms(30))), some(eq(Pace::new(3.0))));
}

#[gtest]
fn one_long_pause() {
    let pauses = [30, 30, 2_000, 30, 30, 30, 30];
    expect_that!(pace_of(pauses, Some(ms(30))), some(eq(Pace::USUAL)));
}

#[gtest]
fn near_the_usual() {
    expect_that!(pace_of([33; 7], Some(ms(30))), some(eq(Pace::USUAL)));
}

#[gtest]
fn nothing_usual_known() {
    expect_that!(pace_of([90; 7], None), none());
}

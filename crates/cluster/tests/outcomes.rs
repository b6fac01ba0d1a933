//! Ejection of failing servers.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::{Ejection, LoadTable, OutcomeCounts, Outcomes};
use googletest::prelude::*;

fn counts(failed: u32, served: u32) -> OutcomeCounts {
    OutcomeCounts { failed, served }
}

#[gtest]
fn outcomes_expire() {
    let (start, mut outcomes) = (Instant::now(), Outcomes::default());
    let after = |ms| start + Duration::from_millis(ms);
    outcomes.note(false, after(0));
    outcomes.note(true, after(900));
    expect_that!(outcomes.counts(after(999)), eq(counts(1, 1)));
    expect_that!(outcomes.counts(after(1_900)), eq(counts(1, 1)));
    expect_that!(outcomes.counts(after(2_000)), eq(counts(0, 0)));
}

#[gtest]
fn ejection_requires_half_to_fail() {
    let now = Instant::now();
    let out = |failed, served| Ejection::default().evaluate(counts(failed, served), now);
    expect_that!(out(2, 0), eq(false));
    expect_that!(out(3, 0), eq(true));
    expect_that!(out(3, 3), eq(true));
    expect_that!(out(3, 4), eq(false));
}

#[gtest]
fn ejection_doubles_until_success() {
    let (start, mut ejection) = (Instant::now(), Ejection::default());
    let after = |ms| start + Duration::from_millis(ms);
    expect_that!(ejection.evaluate(counts(5, 0), after(0)), eq(true));
    expect_that!(ejection.is_ejected(after(2_400)), eq(true));
    expect_that!(ejection.evaluate(counts(9, 0), after(100)), eq(false));
    expect_that!(ejection.is_ejected(after(2_500)), eq(false));
    expect_that!(ejection.evaluate(counts(3, 0), after(2_600)), eq(true));
    expect_that!(ejection.is_ejected(after(7_500)), eq(true));
    expect_that!(ejection.is_ejected(after(7_700)), eq(false));
    // A success resets the ejection time.
    expect_that!(ejection.evaluate(counts(0, 1), after(7_800)), eq(false));
    expect_that!(ejection.evaluate(counts(3, 0), after(9_000)), eq(true));
    expect_that!(ejection.is_ejected(after(11_600)), eq(false));
}

#[gtest]
fn failing_servers_are_suspect() {
    let loads = Arc::new(LoadTable::default());
    loads.note_outcome("i-1", false);
    loads.note_outcome("i-1", false);
    expect_that!(loads.summary("i-1").suspect, eq(false));
    loads.note_outcome("i-1", false);
    expect_that!(loads.summary("i-1").suspect, eq(true));
    // Received bytes do not end an ejection: error responses have bytes too.
    loads.note_received("i-1");
    expect_that!(loads.summary("i-1").suspect, eq(true));
    expect_that!(loads.summary("i-2").suspect, eq(false));
}

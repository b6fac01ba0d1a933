//! Slowdown estimates of servers and their exchange between nodes.

mod support;

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::{LoadEntry, LoadTable, Slowdown, SlowdownEstimate, ZoneDigest};
use dappleyard_model::ServerRecord;
use googletest::prelude::*;

use support::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An estimate with a sample every 200 ms for `long`.
fn sampled(times: f64, long: Duration, from: Instant) -> SlowdownEstimate {
    let mut slowdown = SlowdownEstimate::default();
    let steps = long.as_millis() as u32 / 200;
    (0..=steps).for_each(|step| {
        slowdown.note(Slowdown::new(times), from + ms(200) * step);
    });
    slowdown
}

#[gtest]
fn normal_without_samples() {
    let slowdown = SlowdownEstimate::default();
    let now = Instant::now();
    expect_that!(
        (slowdown.now(now), slowdown.long_term(now)),
        eq((Slowdown::NORMAL, Slowdown::NORMAL))
    );
}

#[gtest]
fn single_sample_expires() {
    let start = Instant::now();
    let mut slowdown = sampled(1.0, ms(4_000), start);
    let slow = start + ms(4_200);
    slowdown.note(Slowdown::new(2.5), slow);
    expect_that!(slowdown.now(slow + ms(50)).percent(), eq(250));
    // The sample has expired.
    let after = slowdown.now(slow + ms(600));
    expect_that!(after, eq(slowdown.long_term(slow + ms(600))));
    expect_that!(after.percent(), le(125));
}

#[gtest]
fn constant_slowdown() {
    let start = Instant::now();
    let slowdown = sampled(3.0, ms(8_000), start);
    expect_that!(slowdown.long_term(start + ms(8_600)).percent(), ge(290));
}

#[gtest]
fn average_follows_change() {
    let start = Instant::now();
    let mut slowdown = sampled(1.0, ms(4_000), start);
    (1..=20).for_each(|step| {
        slowdown.note(Slowdown::new(3.0), start + ms(4_000) + ms(200) * step);
    });
    expect_that!(slowdown.long_term(start + ms(8_000)).percent(), ge(250));
}

#[gtest]
fn returns_to_normal_without_samples() {
    let start = Instant::now();
    let slowdown = sampled(3.0, ms(4_000), start);
    // A slow server gets no requests, so there are no samples that show its recovery.
    let later = slowdown.now(start + Duration::from_secs(60));
    expect_that!(later.percent(), le(102));
}

/// Servers close to normal are omitted from messages.
#[gtest]
fn normal_servers_are_omitted() {
    let start = Instant::now();
    let usual = sampled(1.1, ms(4_000), start).is_normal(start + ms(4_000));
    let slow = sampled(1.7, ms(4_000), start).is_normal(start + ms(4_000));
    expect_that!((usual, slow), eq((true, false)));
    // The return to normal of a slow server is sent.
    let mut back = sampled(3.0, ms(4_000), start);
    back.note(Slowdown::NORMAL, start + ms(4_200));
    expect_that!(back.is_normal(start + ms(4_200)), eq(false));
}

#[gtest]
fn values_are_clamped() {
    expect_that!(Slowdown::of_percent(0), none());
    let bounded =
        [1, 10_000, u32::MAX].map(|percent| Slowdown::of_percent(percent).map(Slowdown::percent));
    expect_that!(bounded, eq([Some(25), Some(800), Some(800)]));
    expect_that!(Slowdown::new(f64::NAN), eq(Slowdown::NORMAL));
}

#[gtest]
fn stale_sample_is_ignored() {
    let start = Instant::now();
    let mut slowdown = SlowdownEstimate::default();
    slowdown.note(Slowdown::new(3.0), start + ms(100));
    // A sample that arrives out of order is ignored.
    expect_that!(slowdown.note(Slowdown::new(1.0), start), eq(false));
    expect_that!(slowdown.now(start + ms(100)).percent(), eq(300));
}

#[gtest]
fn restarted_server() {
    let loads = LoadTable::default();
    let before = ServerRecord::start_id("i-1", Some(1_000));
    let after = ServerRecord::start_id("i-1", Some(2_000));
    loads.note_reported_slowdown(&before, Slowdown::new(3.0));
    expect_that!(loads.slowdown(&before).percent(), eq(300));
    expect_that!(loads.slowdown(&after), eq(Slowdown::NORMAL));
}

#[gtest]
fn excess_multiplies_reported_value() {
    let loads = LoadTable::default();
    loads.note_reported_slowdown("i-1", Slowdown::new(0.7));
    loads.note_excess_slowdown("i-1", Slowdown::new(6.0));
    expect_that!(loads.slowdown("i-1").percent(), eq(420));
    loads.note_reported_slowdown("i-1", Slowdown::new(4.0));
    expect_that!(loads.slowdown("i-1").percent(), eq(800));
}

fn report(percent: u32, pace_age_ms: u32) -> LoadEntry {
    LoadEntry {
        server: 1,
        online: 1,
        pace_age_ms,
        pace_percent: percent,
        ..LoadEntry::default()
    }
}

#[gtest]
fn small_changes_are_not_sent() {
    let mut digest = ZoneDigest::default();
    digest.next(vec![report(100, 1)], true);
    let quiet = [report(100, 30), report(110, 5), report(85, 5), report(0, 0)];
    let quiet = quiet.map(|sum| digest.next(vec![sum], false).loads.len());
    expect_that!(quiet, eq([0, 0, 0, 0]));
    expect_that!(digest.next(vec![report(250, 5)], false).loads.len(), eq(1));
}

#[gtest]
fn report_reaches_all_nodes() {
    run_local(async {
        let nodes = fleet(9).await;
        let report = report_until_known(&nodes).await;
        expect_that!(report, eq(true));
    });
}

/// In a large fleet nodes receive the report through delegates, also nodes without work there.
#[gtest]
fn report_reaches_all_nodes_of_large_fleet() {
    run_local(async {
        let nodes = fleet(36).await;
        let report = report_until_known(&nodes).await;
        expect_that!(report, eq(true));
    });
}

/// One node adds a slow sample every 50 ms. Returns whether all nodes learn of it.
async fn report_until_known(nodes: &[TestNode]) -> bool {
    wait_until("the node knows its peers", || {
        nodes[7].peers.count() * 3 > nodes.len() * 2
    })
    .await;
    let others_know = || {
        let mut slowdowns = nodes.iter().map(|node| node.loads.slowdown("i-1"));
        slowdowns.all(|slowdown| slowdown.percent() > 250)
    };
    for _ in 0..200 {
        nodes[7]
            .loads
            .note_reported_slowdown("i-1", Slowdown::new(3.0));
        tokio::time::sleep(ms(50)).await;
        if others_know() {
            return true;
        }
    }
    false
}

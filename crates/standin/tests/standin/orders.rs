//! Fenced orders, version loads and reports.

use dappleyard_engine::{OrderKind, Priority};
use googletest::prelude::*;

use crate::harness::{call, harness, settings, with_prefix};

#[gtest]
fn older_orders_are_refused() {
    let mut harness = harness(settings());
    let accepting = |accepting| OrderKind::SetAccepting { accepting };
    expect_true!(harness.order(2, 1, accepting(false)));
    expect_false!(harness.order(1, 9, accepting(true)));
    expect_false!(harness.order(2, 1, accepting(true)));
    expect_false!(harness.engine.status(harness.now_us).accepting);
    expect_true!(harness.order(2, 2, accepting(true)));
    expect_true!(harness.engine.status(harness.now_us).accepting);
}

#[gtest]
fn load_waits_for_running_work_and_failed_load_keeps_the_old_model() {
    let mut harness = harness(settings());
    let load = |version: &str| OrderKind::LoadVersion {
        service: "yard-assist".to_owned(),
        version: version.to_owned(),
    };
    harness.start(&call("runs", 10, 10, Priority::ONLINE));
    harness.order(1, 1, load("v2"));
    expect_that!(harness.engine.status(harness.now_us).loading, eq("v2"));
    expect_that!(harness.engine.load_to_query(), none());
    let new = call("new", 10, 10, Priority::ONLINE);
    let refused = harness
        .engine
        .generate(harness.now_us, &new, &mut Vec::new());
    expect_that!(refused.map_err(|refusal| refusal.status), err(eq(&503)));
    harness.run_until_idle();
    expect_that!(
        harness.engine.load_to_query(),
        some(eq(("yard-assist", "v2")))
    );

    let until_us = harness.now_us + 1_000;
    harness
        .engine
        .set_load_result(until_us, Err("broken".to_owned()));
    harness.due_us = Some(until_us);
    harness.run_until_idle();
    let status = harness.engine.status(harness.now_us);
    expect_that!(status.model.map(|model| model.version), some(eq("v1")));
    expect_that!(status.load_failure, eq("broken"));

    harness.order(1, 2, load("v3"));
    let until_us = harness.now_us + 1_000;
    harness.engine.set_load_result(until_us, Ok(()));
    harness.due_us = Some(until_us);
    harness.run_until_idle();
    let status = harness.engine.status(harness.now_us);
    expect_that!(status.model.map(|model| model.version), some(eq("v3")));
    expect_that!(status.load_failure, eq(""));
}

#[gtest]
fn reports_and_cache_events_are_delayed_and_events_lost() {
    let mut harness = harness(settings());
    for number in 0..400 {
        let name = format!("session {number}");
        let prompt = with_prefix(call(&name, 200, 1, Priority::ONLINE), number, 160);
        harness.start(&prompt);
        harness.run_until_idle();
    }
    let report = harness.engine.report(harness.now_us);
    expect_that!(report.age_ms, le(1_500));
    expect_that!(report.sequence, gt(0));
    harness.now_us += 5_000_000;
    let events = harness.engine.cache_events(harness.now_us, 0);
    let numbers: Vec<u64> = events.iter().map(|event| event.sequence).collect();
    expect_true!(numbers.is_sorted());
    let last = *numbers.last().expect("events");
    expect_that!(last, gt(numbers.len() as u64), "some events are lost");
    let later = harness.engine.cache_events(harness.now_us, last);
    expect_that!(later, is_empty());
}

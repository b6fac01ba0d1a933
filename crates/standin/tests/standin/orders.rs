//! Fenced orders, loads and reports.

use dappleyard_engine::{OrderKind, Priority};
use googletest::prelude::*;

use crate::bench::{bench, call, settings, with_prefix};

#[gtest]
fn older_orders_are_refused() {
    let mut bench = bench(settings());
    let accepting = |accepting| OrderKind::SetAccepting { accepting };
    expect_true!(bench.order(2, 1, accepting(false)));
    expect_false!(bench.order(1, 9, accepting(true)));
    expect_false!(bench.order(2, 1, accepting(true)));
    expect_false!(bench.engine.status(bench.now_us).accepting);
    expect_true!(bench.order(2, 2, accepting(true)));
    expect_true!(bench.engine.status(bench.now_us).accepting);
}

#[gtest]
fn load_waits_for_running_work_and_a_failed_one_leaves_the_old_model() {
    let mut bench = bench(settings());
    let load = |version: &str| OrderKind::LoadVersion {
        service: "yard-assist".to_owned(),
        version: version.to_owned(),
    };
    bench.start(&call("runs", 10, 10, Priority::ONLINE));
    bench.order(1, 1, load("v2"));
    expect_that!(bench.engine.status(bench.now_us).loading, eq("v2"));
    expect_that!(bench.engine.load_to_query(), none());
    let new = call("new", 10, 10, Priority::ONLINE);
    let refused = bench.engine.generate(bench.now_us, &new, &mut Vec::new());
    expect_that!(refused.map_err(|refusal| refusal.status), err(eq(&503)));
    bench.run_out();
    expect_that!(
        bench.engine.load_to_query(),
        some(eq(("yard-assist", "v2")))
    );

    let until_us = bench.now_us + 1_000;
    bench
        .engine
        .set_load_result(until_us, Err("broken".to_owned()));
    bench.due_us = Some(until_us);
    bench.run_out();
    let status = bench.engine.status(bench.now_us);
    expect_that!(status.model.map(|model| model.version), some(eq("v1")));
    expect_that!(status.load_failure, eq("broken"));

    bench.order(1, 2, load("v3"));
    let until_us = bench.now_us + 1_000;
    bench.engine.set_load_result(until_us, Ok(()));
    bench.due_us = Some(until_us);
    bench.run_out();
    let status = bench.engine.status(bench.now_us);
    expect_that!(status.model.map(|model| model.version), some(eq("v3")));
    expect_that!(status.load_failure, eq(""));
}

#[gtest]
fn reports_are_late_and_cache_events_late_with_gaps() {
    let mut bench = bench(settings());
    for number in 0..400 {
        let name = format!("session {number}");
        let prompt = with_prefix(call(&name, 200, 1, Priority::ONLINE), number, 160);
        bench.start(&prompt);
        bench.run_out();
    }
    let report = bench.engine.report(bench.now_us);
    expect_that!(report.age_ms, le(1_500));
    expect_that!(report.sequence, gt(0));
    bench.now_us += 5_000_000;
    let events = bench.engine.cache_events(bench.now_us, 0);
    let numbers: Vec<u64> = events.iter().map(|event| event.sequence).collect();
    expect_true!(numbers.is_sorted());
    let last = *numbers.last().expect("events");
    expect_that!(last, gt(numbers.len() as u64), "some were lost");
    let later = bench.engine.cache_events(bench.now_us, last);
    expect_that!(later, is_empty());
}

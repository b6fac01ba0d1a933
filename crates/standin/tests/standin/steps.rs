//! Step times and scheduling by priority.

use dappleyard_engine::Priority;
use dappleyard_standin::engine::record::RunEnd;
use dappleyard_standin::engine::{EngineModelSettings, Output};
use googletest::prelude::*;

use crate::harness::{call, harness, settings};

#[gtest]
fn step_costs_base_sequences_and_prefill() {
    let mut harness = harness(settings());
    harness.start(&call("a", 600, 3, Priority::BATCH));
    // The first step prefills 512 of 600 prompt tokens: 3.2 + 0.01 + 512 x 0.004 ms.
    expect_that!(harness.due_us, some(eq(5_258)));
    harness.step();
    // The second prefills the other 88, 3.2 + 0.01 + 88 x 0.004 ms, and yields the first token.
    expect_that!(harness.due_us, some(eq(5_258 + 3_562)));
    harness.step();
    expect_that!(harness.due_us, some(eq(5_258 + 3_562 + 3_210)));
    harness.run_until_idle();
    let record = &harness.engine.records().all()[0];
    expect_that!(record.first_token_us, some(eq(8_820)));
    expect_that!((record.from, record.to), eq((0, 3)));
    expect_that!(record.end, some(eq(RunEnd::Finished)));
}

#[gtest]
fn streaming_sends_a_token_per_step_and_non_streaming_sends_all_at_the_end() {
    let mut harness = harness(settings());
    let streamed = harness.start(&call("a", 10, 3, Priority::ONLINE)).stream;
    let mut unstreamed = call("b", 10, 3, Priority::BATCH);
    unstreamed.stream = false;
    let unstreamed = harness.start(&unstreamed).stream;
    harness.run_until_idle();
    let tokens = |from, to| Output::Tokens { from, to };
    expect_that!(
        harness.outputs(streamed)[..3],
        eq([tokens(0, 1), tokens(1, 2), tokens(2, 3)])
    );
    expect_that!(harness.outputs(unstreamed)[..1], eq([tokens(0, 3)]));
    expect_that!(harness.outputs(unstreamed).len(), eq(2));
}

#[gtest]
fn higher_priority_enters_a_full_engine_at_the_next_step() {
    let mut harness = harness(EngineModelSettings {
        maximum_sequences: 4,
        ..settings()
    });
    for number in 0..5 {
        harness.start(&call(&format!("batch {number}"), 10, 500, Priority::BATCH));
    }
    harness.step();
    harness.start(&call("online", 10, 5, Priority::ONLINE));
    harness.step();
    let status = harness.engine.status(harness.now_us);
    expect_that!(
        (
            status.running_online,
            status.running_batch,
            status.waiting_batch
        ),
        eq((1, 3, 2))
    );
    let records = harness.engine.records().all();
    let preempted: Vec<u32> = records.iter().map(|record| record.preempted).collect();
    expect_that!(
        preempted,
        eq(&vec![0, 0, 0, 1, 0, 0]),
        "the newest running sequence"
    );
}

#[gtest]
fn engine_without_priorities_serves_in_order_of_arrival() {
    let mut harness = harness(EngineModelSettings {
        maximum_sequences: 2,
        ignore_priority: true,
        ..settings()
    });
    for number in 0..3 {
        harness.start(&call(&format!("batch {number}"), 10, 50, Priority::BATCH));
    }
    harness.start(&call("online", 10, 5, Priority::ONLINE));
    harness.steps(3);
    let status = harness.engine.status(harness.now_us);
    expect_that!((status.running_batch, status.waiting_online), eq((2, 1)));
    harness.run_until_idle();
    let records = harness.engine.records().all();
    expect_true!(records.iter().all(|record| record.preempted == 0));
    expect_that!(records[3].started_us, gt(records[2].started_us));
    expect_true!(records[3].online);
    expect_that!(records[3].steps_behind_batch, gt(2));
}

#[gtest]
fn engine_with_priorities_keeps_no_online_sequence_behind_batch() {
    let mut harness = harness(EngineModelSettings {
        maximum_sequences: 2,
        ..settings()
    });
    for number in 0..3 {
        harness.start(&call(&format!("batch {number}"), 600, 50, Priority::BATCH));
    }
    harness.steps(1);
    harness.start(&call("online", 600, 5, Priority::ONLINE));
    harness.run_until_idle();
    let records = harness.engine.records().all();
    expect_that!(records[3].steps_behind_batch, eq(0));
}

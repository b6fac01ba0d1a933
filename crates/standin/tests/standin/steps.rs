//! Steps and priorities.

use dappleyard_engine::Priority;
use dappleyard_standin::engine::record::RunEnd;
use dappleyard_standin::engine::{EngineModelSettings, Output};
use googletest::prelude::*;

use crate::bench::{bench, call, settings};

#[gtest]
fn step_costs_base_sequences_and_prefill() {
    let mut bench = bench(settings());
    bench.start(&call("a", 600, 3, Priority::BATCH));
    // 512 of 600 prompt tokens fit the first step: 3.2 + 0.01 + 512 x 0.004 ms.
    expect_that!(bench.due_us, some(eq(5_258)));
    bench.step();
    // The other 88 tokens: 3.2 + 0.01 + 88 x 0.004 ms, and the first token of the answer.
    expect_that!(bench.due_us, some(eq(5_258 + 3_562)));
    bench.step();
    expect_that!(bench.due_us, some(eq(5_258 + 3_562 + 3_210)));
    bench.run_out();
    let record = &bench.engine.records().all()[0];
    expect_that!(record.first_token_us, some(eq(8_820)));
    expect_that!((record.from, record.to), eq((0, 3)));
    expect_that!(record.end, some(eq(RunEnd::Finished)));
}

#[gtest]
fn streamed_tokens_come_one_a_step_and_whole_answers_at_the_end() {
    let mut bench = bench(settings());
    let streamed = bench.start(&call("a", 10, 3, Priority::ONLINE)).stream;
    let mut silent = call("b", 10, 3, Priority::BATCH);
    silent.stream = false;
    let silent = bench.start(&silent).stream;
    bench.run_out();
    let tokens = |from, to| Output::Tokens { from, to };
    expect_that!(
        bench.outputs(streamed)[..3],
        eq([tokens(0, 1), tokens(1, 2), tokens(2, 3)])
    );
    expect_that!(bench.outputs(silent)[..1], eq([tokens(0, 3)]));
    expect_that!(bench.outputs(silent).len(), eq(2));
}

#[gtest]
fn higher_priority_enters_a_full_engine_at_the_next_step() {
    let mut bench = bench(EngineModelSettings {
        maximum_sequences: 4,
        ..settings()
    });
    for number in 0..5 {
        bench.start(&call(&format!("batch {number}"), 10, 500, Priority::BATCH));
    }
    bench.step();
    bench.start(&call("online", 10, 5, Priority::ONLINE));
    bench.step();
    let status = bench.engine.status(bench.now_us);
    expect_that!(
        (
            status.running_online,
            status.running_batch,
            status.waiting_batch
        ),
        eq((1, 3, 2))
    );
    let records = bench.engine.records().all();
    let preempted: Vec<u32> = records.iter().map(|record| record.preempted).collect();
    expect_that!(
        preempted,
        eq(&vec![0, 0, 0, 1, 0, 0]),
        "the newest that ran"
    );
}

#[gtest]
fn engine_without_priorities_serves_in_order_of_arrival() {
    let mut bench = bench(EngineModelSettings {
        maximum_sequences: 2,
        ignore_priority: true,
        ..settings()
    });
    for number in 0..3 {
        bench.start(&call(&format!("batch {number}"), 10, 50, Priority::BATCH));
    }
    bench.start(&call("online", 10, 5, Priority::ONLINE));
    bench.steps(3);
    let status = bench.engine.status(bench.now_us);
    expect_that!((status.running_batch, status.waiting_online), eq((2, 1)));
    bench.run_out();
    let records = bench.engine.records().all();
    expect_true!(records.iter().all(|record| record.preempted == 0));
    expect_that!(records[3].started_us, gt(records[2].started_us));
    expect_true!(records[3].online);
    expect_that!(records[3].steps_behind_batch, gt(2));
}

#[gtest]
fn engine_with_priorities_keeps_no_online_sequence_behind_batch() {
    let mut bench = bench(EngineModelSettings {
        maximum_sequences: 2,
        ..settings()
    });
    for number in 0..3 {
        bench.start(&call(&format!("batch {number}"), 600, 50, Priority::BATCH));
    }
    bench.steps(1);
    bench.start(&call("online", 600, 5, Priority::ONLINE));
    bench.run_out();
    let records = bench.engine.records().all();
    expect_that!(records[3].steps_behind_batch, eq(0));
}

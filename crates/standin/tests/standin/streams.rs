//! Streams: attached to, abandoned, cancelled.

use dappleyard_engine::Priority;
use dappleyard_standin::engine::record::RunEnd;
use dappleyard_standin::engine::{EngineModelSettings, Output};
use googletest::prelude::*;

use crate::bench::{bench, call, settings};

#[gtest]
fn lost_reader_may_attach_within_the_grace() {
    let mut bench = bench(settings());
    let original = call("attached", 10, 5_000, Priority::ONLINE);
    let stream = bench.start(&original).stream;
    bench.steps(20);
    bench.engine.detach(bench.now_us, stream);
    bench.steps(20);
    bench.effects.clear();

    let mut attach = original.clone();
    attach.attempt = 2;
    attach.resume_offset = 12;
    attach.attach_stream = format!("s{stream}");
    attach.attach_only = true;
    let started = bench.start(&attach);
    expect_that!(started.stream, eq(stream));
    expect_that!(
        bench.outputs(stream).first(),
        some(eq(&Output::Tokens { from: 12, to: 40 }))
    );
    let records = bench.engine.records().all();
    expect_that!((records.len(), records[0].attached), eq((1, 1)));

    bench.engine.detach(bench.now_us, stream);
    let limit_us = bench.now_us + 3_100_000;
    while bench.now_us < limit_us && bench.step() {}
    let record = bench.engine.records().all().remove(0);
    expect_that!(record.end, some(eq(RunEnd::Abandoned)));
    let refused = bench
        .engine
        .generate(bench.now_us, &attach, &mut bench.effects);
    expect_that!(refused.map_err(|refusal| refusal.status), err(eq(&404)));
}

#[gtest]
fn end_of_a_finished_stream_can_be_attached_to_by_its_own_request_only() {
    let mut bench = bench(settings());
    let original = call("finished", 10, 8, Priority::ONLINE);
    let stream = bench.start(&original).stream;
    bench.run_out();
    bench.effects.clear();
    let mut attach = original.clone();
    attach.attach_stream = format!("s{stream}");
    attach.attach_only = true;
    attach.resume_offset = 5;
    bench.start(&attach);
    expect_that!(
        bench.outputs(stream),
        elements_are![
            eq(&Output::Tokens { from: 5, to: 8 }),
            matches_pattern!(Output::Finished { total: eq(&8), .. })
        ]
    );
    attach.request_id = "another".to_owned();
    let refused = bench
        .engine
        .generate(bench.now_us, &attach, &mut bench.effects);
    expect_that!(refused.map_err(|refusal| refusal.status), err(eq(&404)));
}

#[gtest]
fn waiting_sequence_that_is_cancelled_has_not_run() {
    let mut bench = bench(EngineModelSettings {
        maximum_sequences: 1,
        ..settings()
    });
    bench.start(&call("runs", 10, 100, Priority::BATCH));
    let waits = bench.start(&call("waits", 10, 100, Priority::BATCH)).stream;
    bench.steps(3);
    bench.engine.cancel(bench.now_us, waits, &mut bench.effects);
    expect_that!(
        bench.outputs(waits),
        elements_are![matches_pattern!(Output::Finished {
            reason: eq(&"cancelled"),
            ran: eq(&false),
            ..
        })]
    );
    let record = bench.engine.records().all().remove(1);
    expect_that!(record.started_us, none());
}

//! Stream lifecycle: attach, detach, cancel.

use dappleyard_engine::Priority;
use dappleyard_standin::engine::record::RunEnd;
use dappleyard_standin::engine::{EngineModelSettings, Output};
use googletest::prelude::*;

use crate::harness::{call, harness, settings};

#[gtest]
fn detached_stream_can_be_attached_within_the_grace() {
    let mut harness = harness(settings());
    let original = call("attached", 10, 5_000, Priority::ONLINE);
    let stream = harness.start(&original).stream;
    harness.steps(20);
    harness.engine.detach(harness.now_us, stream);
    harness.steps(20);
    harness.effects.clear();

    let mut attach = original.clone();
    attach.attempt = 2;
    attach.resume_offset = 12;
    attach.attach_stream = format!("s{stream}");
    attach.attach_only = true;
    let started = harness.start(&attach);
    expect_that!(started.stream, eq(stream));
    expect_that!(
        harness.outputs(stream).first(),
        some(eq(&Output::Tokens { from: 12, to: 40 }))
    );
    let records = harness.engine.records().all();
    expect_that!((records.len(), records[0].attached), eq((1, 1)));

    harness.engine.detach(harness.now_us, stream);
    let limit_us = harness.now_us + 3_100_000;
    while harness.now_us < limit_us && harness.step() {}
    let record = harness.engine.records().all().remove(0);
    expect_that!(record.end, some(eq(RunEnd::Abandoned)));
    let refused = harness
        .engine
        .generate(harness.now_us, &attach, &mut harness.effects);
    expect_that!(refused.map_err(|refusal| refusal.status), err(eq(&404)));
}

#[gtest]
fn finished_stream_can_be_attached_by_its_own_request_only() {
    let mut harness = harness(settings());
    let original = call("finished", 10, 8, Priority::ONLINE);
    let stream = harness.start(&original).stream;
    harness.run_until_idle();
    harness.effects.clear();
    let mut attach = original.clone();
    attach.attach_stream = format!("s{stream}");
    attach.attach_only = true;
    attach.resume_offset = 5;
    harness.start(&attach);
    expect_that!(
        harness.outputs(stream),
        elements_are![
            eq(&Output::Tokens { from: 5, to: 8 }),
            matches_pattern!(Output::Finished { total: eq(&8), .. })
        ]
    );
    attach.request_id = "another".to_owned();
    let refused = harness
        .engine
        .generate(harness.now_us, &attach, &mut harness.effects);
    expect_that!(refused.map_err(|refusal| refusal.status), err(eq(&404)));
}

#[gtest]
fn waiting_sequence_that_is_cancelled_has_not_run() {
    let mut harness = harness(EngineModelSettings {
        maximum_sequences: 1,
        ..settings()
    });
    harness.start(&call("runs", 10, 100, Priority::BATCH));
    let waits = harness
        .start(&call("waits", 10, 100, Priority::BATCH))
        .stream;
    harness.steps(3);
    harness
        .engine
        .cancel(harness.now_us, waits, &mut harness.effects);
    expect_that!(
        harness.outputs(waits),
        elements_are![matches_pattern!(Output::Finished {
            reason: eq(&"cancelled"),
            ran: eq(&false),
            ..
        })]
    );
    let record = harness.engine.records().all().remove(1);
    expect_that!(record.started_us, none());
}

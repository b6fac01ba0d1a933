//! KV memory: preemption, prefix cache, resumption, transfer of KV state.

use dappleyard_engine::{KvExportRequest, Priority};
use dappleyard_standin::engine::{EngineModelSettings, Output};
use googletest::prelude::*;

use crate::harness::{call, harness, settings, with_prefix};

#[gtest]
fn online_preempts_batch_and_batch_resumes() {
    let mut harness = harness(EngineModelSettings {
        memory_tokens: 1_600,
        ..settings()
    });
    let batch = harness
        .start(&call("batch", 700, 100, Priority::BATCH))
        .stream;
    harness.start(&call("other batch", 600, 100, Priority::BATCH));
    harness.steps(6);
    let online = harness
        .start(&call("online", 800, 50, Priority::ONLINE))
        .stream;
    harness.step();
    let status = harness.engine.status(harness.now_us);
    expect_that!((status.running_online, status.waiting_batch), eq((1, 1)));
    harness.run_until_idle();
    for (stream, total) in [(batch, 100), (online, 50)] {
        let last = harness.outputs(stream).pop();
        expect_that!(
            last,
            some(matches_pattern!(Output::Finished {
                total: eq(&total),
                ..
            }))
        );
    }
    let made: u32 = harness
        .outputs(batch)
        .iter()
        .map(|output| match output {
            Output::Tokens { from, to } => to - from,
            Output::Finished { .. } => 0,
        })
        .sum();
    expect_that!(made, eq(100), "preemption does not repeat tokens");
}

#[gtest]
fn shared_prefix_is_prefilled_once_and_batch_evicts_it() {
    let mut harness = harness(EngineModelSettings {
        memory_tokens: 3_200,
        ..settings()
    });
    let first = with_prefix(call("first", 400, 2, Priority::ONLINE), 9, 320);
    let second = with_prefix(call("second", 400, 2, Priority::ONLINE), 9, 320);
    let third = with_prefix(call("third", 400, 2, Priority::ONLINE), 9, 320);
    let first = harness.start(&first).stream;
    harness.run_until_idle();
    let second = harness.start(&second).stream;
    harness.run_until_idle();
    expect_that!(harness.cached_tokens_of(first), some(eq(0)));
    expect_that!(harness.cached_tokens_of(second), some(eq(320)));

    harness.start(&call("batch", 3_000, 50, Priority::BATCH));
    harness.run_until_idle();
    let third = harness.start(&third).stream;
    harness.run_until_idle();
    let cached = harness.cached_tokens_of(third);
    expect_that!(cached, some(lt(320)), "batch evicted part of the prefix");
}

#[gtest]
fn resume_skips_prefill_unless_evicted() {
    let mut harness = harness(EngineModelSettings {
        memory_tokens: 3_200,
        ..settings()
    });
    let mut resumed = call("batch", 800, 300, Priority::BATCH);
    let stream = harness.start(&resumed).stream;
    harness.steps(100);
    expect_true!(
        harness
            .engine
            .cancel(harness.now_us, stream, &mut harness.effects)
    );
    let made = match harness.outputs(stream).pop() {
        Some(Output::Finished {
            total,
            reason: "cancelled",
            ..
        }) => total,
        other => panic!("not cancelled: {other:?}"),
    };
    resumed.attempt = 2;
    resumed.resume_offset = made;
    let begun = harness.now_us;
    let stream = harness.start(&resumed).stream;
    let first_step_ms = (harness.due_us.expect("a step") - begun) / 1_000;
    expect_that!(first_step_ms, eq(3), "at most one block is prefilled");
    harness.steps(10);
    harness
        .engine
        .cancel(harness.now_us, stream, &mut harness.effects);

    harness.start(&call("other", 3_100, 20, Priority::BATCH));
    harness.run_until_idle();
    resumed.attempt = 3;
    let begun = harness.now_us;
    harness.start(&resumed);
    let first_step_ms = (harness.due_us.expect("a step") - begun) / 1_000;
    expect_that!(first_step_ms, eq(5), "a full prefill chunk is recomputed");
    harness.run_until_idle();
    let record = harness.engine.records().all().pop().expect("a record");
    expect_that!(
        (record.resumed, record.from, record.to),
        eq((true, made, 300))
    );
}

#[gtest]
fn imported_kv_state_skips_prefill() {
    let mut from = harness(settings());
    let mut to = harness(settings());
    let mut moved = with_prefix(call("batch", 800, 300, Priority::BATCH), 9, 320);
    let stream = from.start(&moved).stream;
    from.steps(100);
    let query = KvExportRequest {
        prompt: moved.prompt.clone(),
        prefix_hash: 9,
    };
    let state = from.engine.export_kv(from.now_us, &query).expect("state");
    expect_that!(state.prefix_tokens, eq(320));
    from.engine.cancel(from.now_us, stream, &mut from.effects);

    let mut other_version = state.clone();
    other_version.version = "v0".to_owned();
    let refused = to.engine.import_kv(to.now_us, &other_version);
    expect_that!(refused.map_err(|refusal| refusal.status), err(eq(409)));
    expect_true!(to.engine.import_kv(to.now_us, &state).is_ok());
    expect_true!(to.engine.memory_is_consistent());
    moved.resume_offset = 98;
    to.start(&moved);
    let prefilled_us = to.due_us.expect("a step") - 3_210;
    expect_that!(prefilled_us, le(16 * 4), "at most one block is prefilled");
    to.run_until_idle();
    expect_true!(from.engine.memory_is_consistent());
}

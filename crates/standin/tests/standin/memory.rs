//! KV memory: preemption, prefix cache, resumption, moved state.

use dappleyard_engine::{KvExportRequest, Priority};
use dappleyard_standin::engine::{EngineModelSettings, Output};
use googletest::prelude::*;

use crate::bench::{bench, call, settings, with_prefix};

#[gtest]
fn online_takes_memory_of_batch_and_batch_resumes_by_itself() {
    let mut bench = bench(EngineModelSettings {
        memory_tokens: 1_600,
        ..settings()
    });
    let batch = bench
        .start(&call("batch", 700, 100, Priority::BATCH))
        .stream;
    bench.start(&call("other batch", 600, 100, Priority::BATCH));
    bench.steps(6);
    let online = bench
        .start(&call("online", 800, 50, Priority::ONLINE))
        .stream;
    bench.step();
    let status = bench.engine.status(bench.now_us);
    expect_that!((status.running_online, status.waiting_batch), eq((1, 1)));
    bench.run_out();
    for (stream, total) in [(batch, 100), (online, 50)] {
        let last = bench.outputs(stream).pop();
        expect_that!(
            last,
            some(matches_pattern!(Output::Finished {
                total: eq(&total),
                ..
            }))
        );
    }
    let made: u32 = bench
        .outputs(batch)
        .iter()
        .map(|output| match output {
            Output::Tokens { from, to } => to - from,
            Output::Finished { .. } => 0,
        })
        .sum();
    expect_that!(made, eq(100), "no token is sent twice over a preemption");
}

#[gtest]
fn shared_prefix_is_prefilled_once_and_batch_evicts_it() {
    let mut bench = bench(EngineModelSettings {
        memory_tokens: 3_200,
        ..settings()
    });
    let first = with_prefix(call("first", 400, 2, Priority::ONLINE), 9, 320);
    let second = with_prefix(call("second", 400, 2, Priority::ONLINE), 9, 320);
    let third = with_prefix(call("third", 400, 2, Priority::ONLINE), 9, 320);
    let first = bench.start(&first).stream;
    bench.run_out();
    let second = bench.start(&second).stream;
    bench.run_out();
    expect_that!(bench.cached_of(first), some(eq(0)));
    expect_that!(bench.cached_of(second), some(eq(320)));

    bench.start(&call("batch", 3_000, 50, Priority::BATCH));
    bench.run_out();
    let third = bench.start(&third).stream;
    bench.run_out();
    let cached = bench.cached_of(third);
    expect_that!(cached, some(lt(320)), "batch has evicted from the prefix");
}

#[gtest]
fn resume_soon_skips_prefill_and_resume_after_eviction_does_not() {
    let mut bench = bench(EngineModelSettings {
        memory_tokens: 3_200,
        ..settings()
    });
    let mut resumed = call("batch", 800, 300, Priority::BATCH);
    let stream = bench.start(&resumed).stream;
    bench.steps(100);
    expect_true!(
        bench
            .engine
            .cancel(bench.now_us, stream, &mut bench.effects)
    );
    let made = match bench.outputs(stream).pop() {
        Some(Output::Finished {
            total,
            reason: "cancelled",
            ..
        }) => total,
        other => panic!("not cancelled: {other:?}"),
    };
    resumed.attempt = 2;
    resumed.resume_offset = made;
    let begun = bench.now_us;
    let stream = bench.start(&resumed).stream;
    let first_step_ms = (bench.due_us.expect("a step") - begun) / 1_000;
    expect_that!(first_step_ms, eq(3), "at most a block is prefilled");
    bench.steps(10);
    bench
        .engine
        .cancel(bench.now_us, stream, &mut bench.effects);

    bench.start(&call("other", 3_100, 20, Priority::BATCH));
    bench.run_out();
    resumed.attempt = 3;
    let begun = bench.now_us;
    bench.start(&resumed);
    let first_step_ms = (bench.due_us.expect("a step") - begun) / 1_000;
    expect_that!(first_step_ms, eq(5), "a full chunk is prefilled again");
    bench.run_out();
    let record = bench.engine.records().all().pop().expect("a record");
    expect_that!(
        (record.resumed, record.from, record.to),
        eq((true, made, 300))
    );
}

#[gtest]
fn moved_state_spares_the_prefill_elsewhere() {
    let mut from = bench(settings());
    let mut to = bench(settings());
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
    expect_that!(prefilled_us, le(16 * 4), "at most a block");
    to.run_out();
    expect_true!(from.engine.memory_is_consistent());
}

//! Idle capacity and yield probes.

use dappleyard_engine::Priority;
use googletest::prelude::*;

use crate::harness::{call, harness, settings};

#[gtest]
fn idle_capacity_follows_its_definition() {
    let mut harness = harness(settings());
    harness.start(&call("online", 16, 100, Priority::ONLINE));
    harness.run_until_idle();
    let meter = harness.engine.meter(harness.now_us);
    // 5% of a 3.21 ms step allows 16 sequences of 0.01 ms in each of 100 steps. The step that
    // prefills 16 tokens takes 3.274 ms, which also allows 16.
    expect_that!(meter.idle_tokens(), eq(1_600.0));
    expect_that!(meter.online_tokens(), eq(100));

    // An idle second: 3,750 blocks at 44 per sequence allow 85 sequences, 4.05 ms per step.
    let before = harness.engine.meter(harness.now_us).idle_tokens();
    harness.now_us += 1_000_000;
    let made = harness.engine.meter(harness.now_us).idle_tokens() - before;
    expect_that!(made, near(1_000.0 / 4.05 * 85.0, 1.0));
}

#[gtest]
fn probe_counts_steps_until_batch_yields() {
    let mut harness = harness(settings());
    let mut batch = Vec::new();
    for number in 0..40 {
        let call = call(&format!("batch {number}"), 16, 1_000, Priority::BATCH);
        batch.push(harness.start(&call).stream);
    }
    harness.steps(200);
    harness.start(&call("online", 16, 500, Priority::ONLINE));
    harness.steps(2);
    for stream in batch.iter().skip(10) {
        harness
            .engine
            .cancel(harness.now_us, *stream, &mut harness.effects);
    }
    harness.steps(2);
    let meter = harness.engine.meter(harness.now_us);
    let (with_batch, alone) = meter.online_step_ms();
    // Four steps with 40, 40, 10 and 10 batch sequences and one online sequence, whose prefill is
    // 16 tokens.
    expect_that!(alone, near(4.0 * 3.21 + 16.0 * 0.004, 1e-6));
    expect_that!(with_batch - alone, near(1.0, 1e-6));
    let probe = meter.probe();
    // Two steps ended before the cancellation, and the third had already begun.
    expect_that!(probe.steps, eq(&[(3, 1)].into()));
    expect_that!(probe.never, eq(0));
    expect_that!(
        meter.usual_probe(),
        eq(probe),
        "both probes agree without noise"
    );
}

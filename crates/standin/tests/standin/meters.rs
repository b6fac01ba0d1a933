//! Idle capacity and the yield probe.

use dappleyard_engine::Priority;
use googletest::prelude::*;

use crate::bench::{bench, call, settings};

#[gtest]
fn idle_capacity_follows_its_definition() {
    let mut bench = bench(settings());
    bench.start(&call("online", 16, 100, Priority::ONLINE));
    bench.run_out();
    let meter = bench.engine.meter(bench.now_us);
    // 5% of 3.21 ms is 0.16 ms: 16 sequences of 0.01 ms beside each of 100 steps; the step with
    // the prefill of 16 tokens has 3.274 ms, also 16.
    expect_that!(meter.idle_tokens(), eq(1_600.0));
    expect_that!(meter.online_tokens(), eq(100));

    // Nothing to do for a second: 3,750 blocks of 44 a sequence are 85 sequences, 4.05 ms a step.
    let before = bench.engine.meter(bench.now_us).idle_tokens();
    bench.now_us += 1_000_000;
    let made = bench.engine.meter(bench.now_us).idle_tokens() - before;
    expect_that!(made, near(1_000.0 / 4.05 * 85.0, 1.0));
}

#[gtest]
fn probe_counts_steps_until_batch_is_out_of_the_way() {
    let mut bench = bench(settings());
    let mut batch = Vec::new();
    for number in 0..40 {
        let call = call(&format!("batch {number}"), 16, 1_000, Priority::BATCH);
        batch.push(bench.start(&call).stream);
    }
    bench.steps(200);
    bench.start(&call("online", 16, 500, Priority::ONLINE));
    bench.steps(2);
    for stream in batch.iter().skip(10) {
        bench
            .engine
            .cancel(bench.now_us, *stream, &mut bench.effects);
    }
    bench.steps(2);
    let meter = bench.engine.meter(bench.now_us);
    let (with_batch, alone) = meter.online_step_ms();
    // Four steps: 40, 40, 10 and 10 batch sequences beside one; 16 tokens of online prefill.
    expect_that!(alone, near(4.0 * 3.21 + 16.0 * 0.004, 1e-6));
    expect_that!(with_batch - alone, near(1.0, 1e-6));
    let probe = meter.probe();
    // Two steps passed before the cancel, and the one at hand had begun.
    expect_that!(probe.steps, eq(&[(3, 1)].into()));
    expect_that!(probe.never, eq(0));
    expect_that!(
        meter.usual_probe(),
        eq(probe),
        "without noise they are the same"
    );
}

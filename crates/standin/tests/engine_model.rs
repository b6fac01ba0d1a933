//! The engine's state machine in virtual time.

use dappleyard_engine::{EngineOrder, GenerateCall, KvQuery, OrderKind, Priority};
use dappleyard_standin::engine::record::RunEnd;
use dappleyard_standin::engine::{
    Effect, EngineModel, EngineModelSettings, EngineSpec, Output, Started,
};
use googletest::prelude::*;

/// An engine without noise, with its clock.
struct Bench {
    engine: EngineModel,
    now_us: u64,
    due_us: Option<u64>,
    effects: Vec<Effect>,
}

fn settings() -> EngineModelSettings {
    EngineModelSettings {
        noise_sigma: 0.0,
        slow_step_share: 0.0,
        ..EngineModelSettings::default()
    }
}

fn bench(model: EngineModelSettings) -> Bench {
    let spec = EngineSpec {
        server: "server-1".to_owned(),
        service: "yard-assist".to_owned(),
        version: "v1".to_owned(),
        adapters: Vec::new(),
        model,
        seed: 7,
    };
    Bench {
        engine: EngineModel::new(&spec, 0, 1),
        now_us: 0,
        due_us: None,
        effects: Vec::new(),
    }
}

impl Bench {
    fn start(&mut self, call: &GenerateCall) -> Started {
        let started = self
            .engine
            .generate(self.now_us, call, &mut self.effects)
            .expect("taken in");
        self.due_us = self.engine.advance(self.now_us, &mut self.effects);
        started
    }

    /// Goes on to the end of the step at hand; `false` when there is none.
    fn step(&mut self) -> bool {
        let Some(due_us) = self.due_us else {
            return false;
        };
        self.now_us = due_us;
        self.due_us = self.engine.advance(due_us, &mut self.effects);
        expect_true!(self.engine.memory_is_consistent());
        true
    }

    fn steps(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    fn run_out(&mut self) {
        while self.step() {}
    }

    fn order(&mut self, epoch: u64, sequence: u64, kind: OrderKind) -> bool {
        let order = EngineOrder {
            epoch,
            sequence,
            kind,
        };
        let applied = self.engine.order(self.now_us, &order).is_ok();
        self.due_us = self.engine.advance(self.now_us, &mut self.effects);
        applied
    }

    /// Outputs of a stream so far.
    fn outputs(&self, stream: u64) -> Vec<Output> {
        let of_stream = self.effects.iter().filter(|effect| effect.stream == stream);
        of_stream.map(|effect| effect.output.clone()).collect()
    }

    fn cached_of(&self, stream: u64) -> Option<u32> {
        self.outputs(stream)
            .into_iter()
            .find_map(|output| match output {
                Output::Finished { cached, .. } => Some(cached),
                Output::Tokens { .. } => None,
            })
    }
}

/// A call whose answer goes on to its limit.
fn call(name: &str, prompt_tokens: u32, max_tokens: u32, priority: Priority) -> GenerateCall {
    let endings = (0..).map(|number| format!("{name} {number}"));
    let prompt = endings
        .into_iter()
        .find(|prompt| {
            let source = dappleyard_standin::text::TextSource::new("v1", prompt);
            source.end(max_tokens).1 == "length"
        })
        .expect("most prompts do not end by themselves");
    GenerateCall {
        request_id: name.to_owned(),
        attempt: 1,
        service: "yard-assist".to_owned(),
        version: String::new(),
        adapter: String::new(),
        prompt,
        prompt_tokens,
        prefix_hash: 0,
        prefix_tokens: 0,
        max_tokens,
        priority,
        resume_offset: 0,
        attach_stream: String::new(),
        attach_only: false,
        stream: true,
    }
}

fn with_prefix(mut call: GenerateCall, hash: u64, tokens: u32) -> GenerateCall {
    call.prefix_hash = hash;
    call.prefix_tokens = tokens;
    call
}

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
    let query = KvQuery {
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
    expect_that!(bench.engine.wanted_load(), none());
    let new = call("new", 10, 10, Priority::ONLINE);
    let refused = bench.engine.generate(bench.now_us, &new, &mut Vec::new());
    expect_that!(refused.map_err(|refusal| refusal.status), err(eq(&503)));
    bench.run_out();
    expect_that!(bench.engine.wanted_load(), some(eq(("yard-assist", "v2"))));

    let until_us = bench.now_us + 1_000;
    bench.engine.set_load(until_us, Err("broken".to_owned()));
    bench.due_us = Some(until_us);
    bench.run_out();
    let status = bench.engine.status(bench.now_us);
    expect_that!(status.model.map(|model| model.version), some(eq("v1")));
    expect_that!(status.load_failure, eq("broken"));

    bench.order(1, 2, load("v3"));
    let until_us = bench.now_us + 1_000;
    bench.engine.set_load(until_us, Ok(()));
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
}

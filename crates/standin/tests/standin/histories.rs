//! Random sequences of operations on one engine, checking that no memory block is lost and that
//! streams have no gaps or repeated tokens.

use std::collections::BTreeMap;

use dappleyard_engine::{GenerateCall, KvExportRequest, Priority};
use dappleyard_standin::engine::{Effect, EngineModel, EngineModelSettings, EngineSpec, Output};
use googletest::prelude::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HISTORIES: u64 = 150;
const EVENTS: usize = 400;

/// What has been sent to the reader of a stream.
#[derive(Default)]
struct Received {
    next: u32,
    streaming: bool,
    ended: bool,
}

struct History {
    rng: ChaCha8Rng,
    engine: EngineModel,
    now_us: u64,
    due_us: Option<u64>,
    effects: Vec<Effect>,
    streams: BTreeMap<u64, Received>,
    calls: Vec<(u64, GenerateCall)>,
}

impl History {
    fn new(seed: u64) -> History {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let model = EngineModelSettings {
            memory_tokens: rng.random_range(800..4_000),
            maximum_sequences: rng.random_range(2..12),
            maximum_waiting: 20,
            ..EngineModelSettings::default()
        };
        let spec = EngineSpec {
            server: "server-1".to_owned(),
            service: "service".to_owned(),
            version: "v1".to_owned(),
            adapters: Vec::new(),
            model,
            seed,
        };
        History {
            engine: EngineModel::new(&spec, 0, 1),
            rng,
            now_us: 0,
            due_us: None,
            effects: Vec::new(),
            streams: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    fn event(&mut self) {
        match self.rng.random_range(0..10) {
            0..3 => self.submit(),
            3 => self.attach(),
            4 => self.cancel(),
            5 => self.detach(),
            6 => self.transfer_kv(),
            _ => self.run_steps(),
        }
        self.check_effects();
        assert!(
            self.engine.memory_is_consistent(),
            "blocks lost or counted twice"
        );
    }

    fn submit(&mut self) {
        let prompt_tokens = self.rng.random_range(1..900);
        let max_tokens = self.rng.random_range(1..120);
        let call = GenerateCall {
            request_id: format!("request {}", self.calls.len()),
            attempt: 1,
            service: "service".to_owned(),
            version: String::new(),
            adapter: String::new(),
            prompt: format!("prompt {}", self.rng.random_range(0..30)),
            prompt_tokens,
            prefix_hash: self.rng.random_range(0..4),
            prefix_tokens: self.rng.random_range(0..prompt_tokens + 50),
            max_tokens,
            priority: if self.rng.random_bool(0.4) {
                Priority::ONLINE
            } else {
                Priority::BATCH
            },
            resume_offset: if self.rng.random_bool(0.3) {
                max_tokens / 2
            } else {
                0
            },
            attach_stream: String::new(),
            attach_only: false,
            stream: self.rng.random_bool(0.5),
        };
        let accepted = self.engine.generate(self.now_us, &call, &mut self.effects);
        if let Ok(started) = accepted {
            let (target, _) = started.text.end(call.max_tokens);
            let received = Received {
                next: call.resume_offset.min(target),
                streaming: call.stream,
                ended: false,
            };
            self.streams.insert(started.stream, received);
            self.calls.push((started.stream, call));
        }
        self.schedule();
    }

    fn attach(&mut self) {
        let Some((stream, call)) = self.calls.choose(&mut self.rng).cloned() else {
            return;
        };
        let received = self.streams.entry(stream).or_default();
        let offset = self.rng.random_range(0..=received.next);
        let attach = GenerateCall {
            attempt: 2,
            attach_stream: format!("s{stream}"),
            attach_only: true,
            resume_offset: offset,
            ..call
        };
        let ended = received.ended;
        let attached = self
            .engine
            .generate(self.now_us, &attach, &mut self.effects);
        if attached.is_ok() {
            let from = if ended {
                offset
            } else {
                offset.min(received.next)
            };
            received.next = from;
            received.ended = false;
        }
    }

    fn cancel(&mut self) {
        if let Some((stream, _)) = self.calls.choose(&mut self.rng) {
            self.engine.cancel(self.now_us, *stream, &mut self.effects);
        }
    }

    fn detach(&mut self) {
        if let Some((stream, _)) = self.calls.choose(&mut self.rng) {
            self.engine.detach(self.now_us, *stream);
        }
    }

    fn transfer_kv(&mut self) {
        let query = KvExportRequest {
            prompt: format!("prompt {}", self.rng.random_range(0..30)),
            prefix_hash: self.rng.random_range(0..4),
        };
        if let Ok(mut state) = self.engine.export_kv(self.now_us, &query) {
            state.key = state.key.wrapping_add(self.rng.random_range(0..2));
            // A rejection for lack of memory is valid.
            let _ = self.engine.import_kv(self.now_us, &state);
        }
    }

    fn run_steps(&mut self) {
        for _ in 0..self.rng.random_range(1..30) {
            let Some(due_us) = self.due_us else { return };
            self.now_us = due_us + self.rng.random_range(0..200);
            self.due_us = self.engine.advance(self.now_us, &mut self.effects);
        }
    }

    fn schedule(&mut self) {
        if self.due_us.is_none() {
            self.due_us = self.engine.advance(self.now_us, &mut self.effects);
        }
    }

    fn check_effects(&mut self) {
        for effect in std::mem::take(&mut self.effects) {
            let received = self
                .streams
                .get_mut(&effect.stream)
                .expect("a known stream");
            match effect.output {
                Output::Tokens { from, to } => {
                    assert!(!received.ended, "tokens after the end of the stream");
                    assert_eq!(from, received.next, "gap or repeated token");
                    assert!(from < to);
                    assert!(!received.streaming || to - from >= 1);
                    received.next = to;
                }
                Output::Finished { total, .. } => {
                    assert!(!received.ended, "stream ended twice");
                    assert_eq!(
                        total, received.next,
                        "stream ended before all tokens were sent"
                    );
                    received.ended = true;
                }
            }
        }
    }
}

#[gtest]
fn random_histories_keep_memory_and_streams_consistent() {
    let mut ended = 0;
    for seed in 0..HISTORIES {
        let mut history = History::new(seed);
        for _ in 0..EVENTS {
            history.event();
        }
        while history.due_us.is_some() {
            history.run_steps();
            history.check_effects();
        }
        for (stream, received) in &history.streams {
            assert!(received.ended, "stream {stream} did not end (seed {seed})");
        }
        let records = history.engine.records().all();
        assert!(records.iter().all(|record| record.end.is_some()));
        ended += records.len();
    }
    expect_that!(ended, gt(1_000));
}

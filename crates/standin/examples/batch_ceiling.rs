//! How much of the idle capacity the best policy could use, in virtual time: batch work never ends,
//! and at each step the batch is exactly as wide as the meter allows.
//!
//! `cargo run --release -p dappleyard-standin --example batch_ceiling -- SLOWDOWN ONLINE_PER_S SECONDS`

use std::collections::VecDeque;

use dappleyard_engine::{GenerateCall, Priority};
use dappleyard_standin::engine::{Effect, EngineModel, EngineModelSettings, EngineSpec, Output};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

/// Widths tried; each run keeps at most so many batch sequences in the engine.
const WIDTHS: [usize; 6] = [64, 80, 96, 112, 128, 160];

fn main() {
    let arguments: Vec<f64> = std::env::args()
        .skip(1)
        .map(|argument| argument.parse().expect("a number"))
        .collect();
    let [slowdown, online_per_s, seconds] = arguments[..] else {
        eprintln!("usage: batch_ceiling SLOWDOWN ONLINE_PER_S SECONDS");
        std::process::exit(2);
    };
    println!("slowdown {slowdown}%, {online_per_s} online requests/s, {seconds} s");
    println!("width  share of idle  batch tokens/s  preempted  step ratio");
    for width in WIDTHS {
        let mut run = Run::new(slowdown, online_per_s, width);
        run.until((seconds * 1e6) as u64);
        run.print(seconds);
    }
}

struct Run {
    engine: EngineModel,
    rng: ChaCha8Rng,
    arrivals: Option<Exp<f64>>,
    next_arrival_us: u64,
    width: usize,
    number: u64,
    live: Vec<(u64, GenerateCall)>,
    paused: VecDeque<GenerateCall>,
    effects: Vec<Effect>,
}

impl Run {
    fn new(slowdown: f64, online_per_s: f64, width: usize) -> Run {
        let model = EngineModelSettings {
            online_slowdown_percent: slowdown,
            maximum_waiting: 1_000,
            ..EngineModelSettings::default()
        };
        let spec = EngineSpec {
            server: "server-1".to_owned(),
            service: "service".to_owned(),
            version: "v1".to_owned(),
            adapters: Vec::new(),
            model,
            seed: 1,
        };
        Run {
            engine: EngineModel::new(&spec, 0, 1),
            rng: ChaCha8Rng::seed_from_u64(1),
            arrivals: Exp::new(online_per_s).ok(),
            next_arrival_us: if online_per_s > 0.0 { 0 } else { u64::MAX },
            width,
            number: 0,
            live: Vec::new(),
            paused: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    fn until(&mut self, end_us: u64) {
        let mut now_us = 0;
        while now_us < end_us {
            while self.next_arrival_us <= now_us {
                self.online_arrives(now_us);
            }
            self.fill(now_us);
            let due_us = self.engine.advance(now_us, &mut self.effects);
            self.forget_ended();
            self.narrow(now_us);
            now_us = due_us.unwrap_or(now_us + 1_000);
        }
    }

    fn online_arrives(&mut self, now_us: u64) {
        let call = self.call(400.0, 120.0, 200, Priority::ONLINE);
        // A refusal is the engine's bound; the run goes on without the request.
        let _ = self.engine.generate(now_us, &call, &mut self.effects);
        let gap_s = self.arrivals.map_or(1e9, |gaps| gaps.sample(&mut self.rng));
        self.next_arrival_us += (gap_s * 1e6) as u64;
    }

    /// Sends batch work up to the width: paused work first.
    fn fill(&mut self, now_us: u64) {
        let allowed = self.engine.allowed_batch() as usize;
        while self.live.len() < self.width.min(allowed) {
            let paused = self.paused.pop_front();
            let call = paused.unwrap_or_else(|| self.call(600.0, 200.0, 300, Priority::BATCH));
            let Ok(started) = self.engine.generate(now_us, &call, &mut self.effects) else {
                return;
            };
            self.live.push((started.stream, call));
        }
    }

    /// Pauses the newest batch work beyond what is allowed now.
    fn narrow(&mut self, now_us: u64) {
        let allowed = self.engine.allowed_batch() as usize;
        while self.live.len() > allowed {
            let Some((stream, mut call)) = self.live.pop() else {
                return;
            };
            self.engine.cancel(now_us, stream, &mut self.effects);
            for effect in self.effects.drain(..) {
                if let Output::Finished { total, .. } = effect.output
                    && effect.stream == stream
                {
                    call.resume_offset = total;
                }
            }
            self.paused.push_front(call);
        }
    }

    fn forget_ended(&mut self) {
        for effect in self.effects.drain(..) {
            if matches!(effect.output, Output::Finished { .. }) {
                self.live.retain(|(stream, _)| *stream != effect.stream);
            }
        }
    }

    fn call(&mut self, prompt: f64, output: f64, prefix: u32, priority: Priority) -> GenerateCall {
        self.number += 1;
        let mut length = |median: f64, sigma: f64| {
            let lengths = LogNormal::new(median.ln(), sigma).expect("a sound distribution");
            lengths.sample(&mut self.rng).clamp(32.0, 2_000.0) as u32
        };
        let prompt_tokens = length(prompt, 0.3).max(prefix + 16);
        GenerateCall {
            request_id: format!("request {}", self.number),
            attempt: 1,
            service: "service".to_owned(),
            version: String::new(),
            adapter: String::new(),
            prompt: format!("prompt {}", self.number),
            prompt_tokens,
            prefix_hash: u64::from(prefix),
            prefix_tokens: prefix,
            max_tokens: length(output, 0.4),
            priority,
            resume_offset: 0,
            attach_stream: String::new(),
            attach_only: false,
            stream: false,
        }
    }

    fn print(&mut self, seconds: f64) {
        let records = self.engine.records().all();
        let batch = records.iter().filter(|record| !record.online);
        let preempted: u32 = batch.map(|record| record.preempted).sum();
        let meter = self.engine.meter_as_it_stands();
        let made = meter.batch_tokens() as f64;
        let (with_batch, alone) = meter.online_step_ms();
        println!(
            "{:5}  {:13.3}  {:14.0}  {:9}  {:10.3}",
            self.width,
            made / meter.idle_tokens(),
            made / seconds,
            preempted,
            if alone > 0.0 { with_batch / alone } else { 1.0 },
        );
    }
}

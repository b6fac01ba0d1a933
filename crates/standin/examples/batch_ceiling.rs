//! Simulates how much of the idle capacity a scheduling policy without lag could use. Batch work is
//! unlimited, and at each step the batch is at most as wide as the meter allows.
//!
//! The prefill of new batch sequences slows online ones, which the allowed width does not cover.
//! Each width is therefore run with different minimum numbers of steps between starts of new batch
//! sequences beside online work.
//!
//! `cargo run --release -p dappleyard-standin --example batch_ceiling -- SLOWDOWN ONLINE_PER_S SECONDS`

use std::collections::{HashMap, VecDeque};

use dappleyard_engine::{GenerateCall, Priority};
use dappleyard_standin::engine::{Effect, EngineModel, EngineModelSettings, EngineSpec, Output};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

/// Maximum numbers of batch sequences in the engine, one run each.
const WIDTHS: [usize; 3] = [64, 96, 128];
/// Minimum numbers of steps between starts of new batch sequences beside online work.
const STEPS_BETWEEN_STARTS: [u64; 6] = [0, 4, 10, 20, 40, u64::MAX];

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
    println!(
        "width  steps between  share  tokens/s  preempted  itl ms p50 p95 p99  ttft ms p50 p99"
    );
    let report = |width, between| {
        let mut run = Run::new(slowdown, online_per_s, width, between);
        run.run_until((seconds * 1e6) as u64);
        run.print(seconds);
    };
    report(0, 0);
    for width in WIDTHS {
        for between in STEPS_BETWEEN_STARTS {
            report(width, between);
        }
    }
}

struct Run {
    engine: EngineModel,
    rng: ChaCha8Rng,
    arrivals: Option<Exp<f64>>,
    next_arrival_us: u64,
    width: usize,
    steps_between_starts: u64,
    steps: u64,
    last_start: u64,
    online: HashMap<u64, (u64, bool)>,
    token_gaps_us: Vec<u64>,
    first_tokens_us: Vec<u64>,
    number: u64,
    live: Vec<(u64, GenerateCall)>,
    paused: VecDeque<GenerateCall>,
    effects: Vec<Effect>,
}

impl Run {
    fn new(slowdown: f64, online_per_s: f64, width: usize, steps_between_starts: u64) -> Run {
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
            steps_between_starts,
            steps: 0,
            last_start: 0,
            online: HashMap::new(),
            token_gaps_us: Vec::new(),
            first_tokens_us: Vec::new(),
            number: 0,
            live: Vec::new(),
            paused: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    fn run_until(&mut self, end_us: u64) {
        let mut now_us = 0;
        while now_us < end_us {
            while self.next_arrival_us <= now_us {
                self.submit_online(now_us);
            }
            self.start_batch(now_us);
            let due_us = self.engine.advance(now_us, &mut self.effects);
            self.steps += 1;
            self.take_effects(now_us);
            self.pause_excess(now_us);
            now_us = due_us.unwrap_or(now_us + 1_000);
        }
    }

    fn submit_online(&mut self, now_us: u64) {
        let call = self.call(400.0, 120.0, 200, Priority::ONLINE);
        // A request that the engine rejects for lack of capacity is skipped.
        if let Ok(started) = self.engine.generate(now_us, &call, &mut self.effects) {
            self.online.insert(started.stream, (now_us, false));
        }
        let gap_s = self.arrivals.map_or(1e9, |gaps| gaps.sample(&mut self.rng));
        self.next_arrival_us += (gap_s * 1e6) as u64;
    }

    /// Starts batch sequences up to the allowed width, paused ones before new ones.
    fn start_batch(&mut self, now_us: u64) {
        let allowed = self.engine.allowed_batch_width() as usize;
        while self.live.len() < self.width.min(allowed) {
            let call = match self.paused.pop_front() {
                Some(paused) => paused,
                None if self.may_start_new() => self.call(600.0, 200.0, 300, Priority::BATCH),
                None => return,
            };
            let Ok(started) = self.engine.generate(now_us, &call, &mut self.effects) else {
                return;
            };
            self.live.push((started.stream, call));
        }
    }

    fn may_start_new(&mut self) -> bool {
        let since = self.steps - self.last_start;
        let may = self.online.is_empty() || since >= self.steps_between_starts;
        if may {
            self.last_start = self.steps;
        }
        may
    }

    /// Pauses the newest batch sequences beyond the allowed width.
    fn pause_excess(&mut self, now_us: u64) {
        let allowed = self.engine.allowed_batch_width() as usize;
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

    fn take_effects(&mut self, now_us: u64) {
        for effect in self.effects.drain(..) {
            let stream = effect.stream;
            if matches!(effect.output, Output::Finished { .. }) {
                self.live.retain(|(other, _)| *other != stream);
                self.online.remove(&stream);
            } else if let Some((last_us, started)) = self.online.get_mut(&stream) {
                let gap_us = now_us - *last_us;
                if *started {
                    self.token_gaps_us.push(gap_us);
                } else {
                    self.first_tokens_us.push(gap_us);
                }
                (*last_us, *started) = (now_us, true);
            }
        }
    }

    fn call(&mut self, prompt: f64, output: f64, prefix: u32, priority: Priority) -> GenerateCall {
        self.number += 1;
        let mut length = |median: f64, sigma: f64| {
            let lengths =
                LogNormal::new(median.ln(), sigma).expect("valid distribution parameters");
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
            stream: priority == Priority::ONLINE,
        }
    }

    fn print(&mut self, seconds: f64) {
        let records = self.engine.records().all();
        let batch = records.iter().filter(|record| !record.online);
        let preempted: u32 = batch.map(|record| record.preempted).sum();
        let meter = self.engine.meter_without_update();
        let made = meter.batch_tokens() as f64;
        let share = made / meter.idle_tokens().max(1.0);
        let gaps = &mut self.token_gaps_us;
        let (p50, p95, p99) = (
            quantile(gaps, 0.5),
            quantile(gaps, 0.95),
            quantile(gaps, 0.99),
        );
        let first = &mut self.first_tokens_us;
        let (first_p50, first_p99) = (quantile(first, 0.5), quantile(first, 0.99));
        let between = match self.steps_between_starts {
            u64::MAX => "never".to_owned(),
            steps => steps.to_string(),
        };
        println!(
            "{:5}  {between:>13}  {share:5.3}  {:8.0}  {preempted:9}  {p50:10.2} {p95:.2} {p99:.2}  \
             {first_p50:11.1} {first_p99:.1}",
            self.width,
            made / seconds,
        );
    }
}

/// Quantile of a list of times, milliseconds; 0 if the list is empty.
fn quantile(times_us: &mut [u64], share: f64) -> f64 {
    times_us.sort_unstable();
    let last = times_us.len().saturating_sub(1) as f64;
    let at = times_us.get((last * share) as usize);
    at.map_or(0.0, |time_us| *time_us as f64 / 1_000.0)
}

//! Idle capacity, widths over time, harm to online steps, and how soon batch yields.

use serde::Serialize;

use super::probe::{Prober, YieldProbe};
use super::settings::EngineModelSettings;

/// Most samples kept for each engine: an hour at the usual interval.
const MAXIMUM_SAMPLES: usize = 36_000;

/// Widths at one moment, and what was made since the sample before.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Sample {
    /// Microseconds since the host started.
    pub at_us: u64,
    /// Running online sequences.
    pub online: u32,
    /// Running batch sequences.
    pub batch: u32,
    /// Waiting batch sequences in the engine.
    pub batch_waiting: u32,
    /// Batch tokens that could have been made.
    pub idle_tokens: f64,
    /// Batch tokens made.
    pub batch_tokens: u64,
    /// Online tokens made.
    pub online_tokens: u64,
}

/// One step as the meter sees it.
#[derive(Debug, Clone, Copy)]
pub(super) struct StepShape {
    /// Base time with its noise, milliseconds.
    pub noisy_base_ms: f64,
    /// Running sequences.
    pub online: u32,
    /// Running batch sequences.
    pub batch: u32,
    /// Prefill tokens of online sequences in the step.
    pub online_prefill: u32,
    /// KV blocks of shared prefixes in use, each counted once.
    pub shared_blocks: u32,
    /// Other KV blocks of online sequences.
    pub online_blocks: u32,
    /// Other KV blocks of batch sequences.
    pub batch_blocks: u32,
}

/// Meter of one engine.
#[derive(Debug)]
pub struct Meter {
    per_sequence_ms: f64,
    per_prefill_token_ms: f64,
    slowdown: f64,
    maximum_sequences: u32,
    total_blocks: u32,
    quiet_us: u64,
    usual_base_ms: f64,
    mean_batch_blocks: f64,
    idle_tokens: f64,
    batch_tokens: u64,
    online_tokens: u64,
    sampled: (f64, u64, u64),
    samples: Vec<Sample>,
    online_ended_us: Option<u64>,
    probe: Prober,
    usual_probe: Prober,
    steps: u64,
    online_step_ms: f64,
    online_alone_ms: f64,
    stalled_us: u64,
}

/// Weight of the newest step in the mean memory of a batch sequence.
const MEAN_WEIGHT: f64 = 0.05;

impl Meter {
    pub(super) fn new(settings: &EngineModelSettings) -> Meter {
        let typical = settings.typical_batch_tokens / settings.block_tokens.max(1) + 1;
        Meter {
            per_sequence_ms: settings.per_sequence_ms,
            per_prefill_token_ms: settings.per_prefill_token_ms,
            slowdown: settings.online_slowdown_percent / 100.0,
            maximum_sequences: settings.maximum_sequences,
            total_blocks: settings.total_blocks(),
            quiet_us: EngineModelSettings::micros(settings.probe_quiet_ms),
            usual_base_ms: settings.usual_base_ms(),
            mean_batch_blocks: f64::from(typical),
            idle_tokens: 0.0,
            batch_tokens: 0,
            online_tokens: 0,
            sampled: (0.0, 0, 0),
            samples: Vec::new(),
            online_ended_us: Some(0),
            probe: Prober::default(),
            usual_probe: Prober::default(),
            steps: 0,
            online_step_ms: 0.0,
            online_alone_ms: 0.0,
            stalled_us: 0,
        }
    }

    /// Batch tokens that could have been made so far.
    pub fn idle_tokens(&self) -> f64 {
        self.idle_tokens
    }

    /// Batch tokens made so far.
    pub fn batch_tokens(&self) -> u64 {
        self.batch_tokens
    }

    /// Online tokens made so far.
    pub fn online_tokens(&self) -> u64 {
        self.online_tokens
    }

    /// Steps made so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Time of all steps with online sequences, and what it would have been without batch work,
    /// milliseconds. Their ratio is the harm that batch does to online tokens, free of noise.
    pub fn online_step_ms(&self) -> (f64, f64) {
        (self.online_step_ms, self.online_alone_ms)
    }

    /// Time by which the machine drove the engine too late, microseconds. A run in which this is
    /// more than a small share of the time measured the machine and not the product.
    pub fn stalled_us(&self) -> u64 {
        self.stalled_us
    }

    /// Samples of widths.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// How soon batch yielded to what each step allowed with its own noise.
    pub fn probe(&self) -> &YieldProbe {
        &self.probe.seen
    }

    /// How soon batch yielded to what a step of usual length allows: a short step allows less, which
    /// nobody can know before.
    pub fn usual_probe(&self) -> &YieldProbe {
        &self.usual_probe.seen
    }

    pub(super) fn stalled(&mut self, microseconds: u64) {
        self.stalled_us += microseconds;
    }

    /// The widest batch that slows the step's online sequences by at most the allowed share, inside
    /// the limits of sequences and memory.
    pub(super) fn allowed_width(&self, step: &StepShape) -> u32 {
        let by_sequences = self.maximum_sequences.saturating_sub(step.online);
        let others = step.online_blocks + step.shared_blocks;
        let free_blocks = self.total_blocks.saturating_sub(others);
        let by_memory = (f64::from(free_blocks) / self.mean_batch_blocks) as u32;
        let width = by_sequences.min(by_memory);
        if step.online == 0 {
            return width;
        }
        let by_slowdown =
            self.alone_ms(step) * self.slowdown / self.per_sequence_ms.max(f64::EPSILON);
        width.min(by_slowdown as u32)
    }

    /// Time of the step if its online sequences were alone, milliseconds.
    fn alone_ms(&self, step: &StepShape) -> f64 {
        step.noisy_base_ms
            + self.per_sequence_ms * f64::from(step.online)
            + self.per_prefill_token_ms * f64::from(step.online_prefill)
    }

    /// A step begins that takes `step_ms`.
    pub(super) fn step_begins(&mut self, now_us: u64, step: &StepShape, step_ms: f64) {
        self.steps += 1;
        if step.online > 0 {
            self.online_step_ms += step_ms;
            self.online_alone_ms += self.alone_ms(step);
        }
        if step.batch > 0 {
            let blocks = f64::from(step.batch_blocks) / f64::from(step.batch);
            self.mean_batch_blocks += MEAN_WEIGHT * (blocks.max(1.0) - self.mean_batch_blocks);
        }
        let allowed = self.allowed_width(step);
        self.idle_tokens += f64::from(allowed);
        if step.online > 0 && step.batch <= allowed {
            self.probe.yielded(now_us);
        }
        let usual = StepShape {
            noisy_base_ms: self.usual_base_ms,
            ..*step
        };
        if step.online > 0 && step.batch <= self.allowed_width(&usual) {
            self.usual_probe.yielded(now_us);
        }
    }

    /// A step ended, having made some tokens.
    pub(super) fn step_ended(&mut self, online_tokens: u64, batch_tokens: u64) {
        self.online_tokens += online_tokens;
        self.batch_tokens += batch_tokens;
        self.probe.step_ended();
        self.usual_probe.step_ended();
    }

    /// The engine had nothing at all to do for some time: it could have run full batches.
    pub(super) fn idle_for(&mut self, microseconds: u64) {
        let empty = StepShape {
            noisy_base_ms: self.usual_base_ms,
            online: 0,
            batch: 0,
            online_prefill: 0,
            shared_blocks: 0,
            online_blocks: 0,
            batch_blocks: 0,
        };
        let width = f64::from(self.allowed_width(&empty));
        let step_ms = self.usual_base_ms + self.per_sequence_ms * width;
        self.idle_tokens += microseconds as f64 / 1_000.0 / step_ms * width;
    }

    /// An online sequence arrived; `others` are in the engine already.
    pub(super) fn online_arrived(&mut self, now_us: u64, others: usize) {
        let quiet_since = self.online_ended_us.filter(|_| others == 0);
        let quiet = quiet_since.is_some_and(|since| now_us - since.min(now_us) >= self.quiet_us);
        if quiet {
            self.probe.burst_begins(now_us);
            self.usual_probe.burst_begins(now_us);
        }
        self.online_ended_us = None;
    }

    /// The last online sequence has gone.
    pub(super) fn online_gone(&mut self, now_us: u64) {
        self.online_ended_us = Some(now_us);
        self.probe.burst_ends();
        self.usual_probe.burst_ends();
    }

    /// Takes a sample.
    pub(super) fn sample(&mut self, at_us: u64, online: u32, batch: u32, batch_waiting: u32) {
        let (idle, batch_made, online_made) = self.sampled;
        self.sampled = (self.idle_tokens, self.batch_tokens, self.online_tokens);
        if self.samples.len() < MAXIMUM_SAMPLES {
            self.samples.push(Sample {
                at_us,
                online,
                batch,
                batch_waiting,
                idle_tokens: self.idle_tokens - idle,
                batch_tokens: self.batch_tokens - batch_made,
                online_tokens: self.online_tokens - online_made,
            });
        }
    }
}

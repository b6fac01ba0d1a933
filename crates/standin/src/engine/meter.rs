//! Idle capacity, batch sizes over time, slowdown of online steps, and how soon batch yields.

use serde::Serialize;

use super::probe::{BurstTracker, YieldProbe};
use super::settings::EngineModelSettings;

/// Maximum number of samples per engine: one hour at the default interval.
const MAXIMUM_SAMPLES: usize = 36_000;

/// Batch sizes at one time, and tokens since the previous sample.
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
    /// Batch tokens that fit into the idle capacity.
    pub idle_tokens: f64,
    /// Batch tokens produced.
    pub batch_tokens: u64,
    /// Online tokens produced.
    pub online_tokens: u64,
}

/// Composition of one step.
#[derive(Debug, Clone, Copy)]
pub(super) struct StepShape {
    /// Base time including noise, milliseconds.
    pub noisy_base_ms: f64,
    /// Online sequences in the step.
    pub online: u32,
    /// Running batch sequences.
    pub batch: u32,
    /// Prefill tokens of online sequences in the step.
    pub online_prefill: u32,
    /// KV blocks of pinned prefixes, each counted once.
    pub shared_blocks: u32,
    /// Other KV blocks of online sequences.
    pub online_blocks: u32,
    /// Other KV blocks of batch sequences.
    pub batch_blocks: u32,
}

/// Capacity and throughput counters of one engine.
#[derive(Debug)]
pub struct Meter {
    per_sequence_ms: f64,
    per_prefill_token_ms: f64,
    allowed_slowdown: f64,
    maximum_sequences: u32,
    total_blocks: u32,
    quiet_us: u64,
    usual_base_ms: f64,
    mean_batch_blocks: f64,
    idle_tokens: f64,
    batch_tokens: u64,
    online_tokens: u64,
    sampled_totals: (f64, u64, u64),
    samples: Vec<Sample>,
    online_ended_us: Option<u64>,
    probe: BurstTracker,
    usual_probe: BurstTracker,
    steps: u64,
    online_step_ms: f64,
    online_alone_ms: f64,
    stalled_us: u64,
}

/// Weight of the newest step in the moving average of blocks per batch sequence.
const MEAN_WEIGHT: f64 = 0.05;

impl Meter {
    pub(super) fn new(settings: &EngineModelSettings) -> Meter {
        let typical = settings.typical_batch_tokens / settings.block_tokens.max(1) + 1;
        Meter {
            per_sequence_ms: settings.per_sequence_ms,
            per_prefill_token_ms: settings.per_prefill_token_ms,
            allowed_slowdown: settings.online_slowdown_percent / 100.0,
            maximum_sequences: settings.maximum_sequences,
            total_blocks: settings.total_blocks(),
            quiet_us: EngineModelSettings::milliseconds_to_us(settings.probe_quiet_ms),
            usual_base_ms: settings.usual_base_ms(),
            mean_batch_blocks: f64::from(typical),
            idle_tokens: 0.0,
            batch_tokens: 0,
            online_tokens: 0,
            sampled_totals: (0.0, 0, 0),
            samples: Vec::new(),
            online_ended_us: Some(0),
            probe: BurstTracker::default(),
            usual_probe: BurstTracker::default(),
            steps: 0,
            online_step_ms: 0.0,
            online_alone_ms: 0.0,
            stalled_us: 0,
        }
    }

    /// Batch tokens that fit into the idle capacity so far.
    pub fn idle_tokens(&self) -> f64 {
        self.idle_tokens
    }

    /// Batch tokens produced so far.
    pub fn batch_tokens(&self) -> u64 {
        self.batch_tokens
    }

    /// Online tokens produced so far.
    pub fn online_tokens(&self) -> u64 {
        self.online_tokens
    }

    /// Steps executed so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Total time of steps with online sequences, and the time of the same steps without batch
    /// sequences, milliseconds. Their ratio is the slowdown of online tokens by batch.
    pub fn online_step_ms(&self) -> (f64, f64) {
        (self.online_step_ms, self.online_alone_ms)
    }

    /// Total lateness of steps that exceeded the tolerance, microseconds. If this is more than a
    /// small share of a run, the machine was overloaded and the measurements are invalid.
    pub fn stalled_us(&self) -> u64 {
        self.stalled_us
    }

    /// Batch size samples, oldest first.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// Time until batch yielded, by the width that each step allows with its noise.
    pub fn probe(&self) -> &YieldProbe {
        &self.probe.histogram
    }

    /// Time until batch yielded, by the width that a step of mean length allows. A scheduler cannot
    /// know in advance that a step will be short and allow less.
    pub fn usual_probe(&self) -> &YieldProbe {
        &self.usual_probe.histogram
    }

    pub(super) fn record_lateness(&mut self, microseconds: u64) {
        self.stalled_us += microseconds;
    }

    /// Maximum batch width that slows the online sequences of the step by at most the allowed share
    /// and stays within the sequence and memory limits.
    pub(super) fn allowed_width(&self, step: &StepShape) -> u32 {
        let width_by_sequences = self.maximum_sequences.saturating_sub(step.online);
        let others = step.online_blocks + step.shared_blocks;
        let free_blocks = self.total_blocks.saturating_sub(others);
        let width_by_memory = (f64::from(free_blocks) / self.mean_batch_blocks) as u32;
        let width = width_by_sequences.min(width_by_memory);
        if step.online == 0 {
            return width;
        }
        let width_by_slowdown = self.online_only_ms(step) * self.allowed_slowdown
            / self.per_sequence_ms.max(f64::EPSILON);
        width.min(width_by_slowdown as u32)
    }

    /// Time of the step without batch sequences, milliseconds.
    fn online_only_ms(&self, step: &StepShape) -> f64 {
        step.noisy_base_ms
            + self.per_sequence_ms * f64::from(step.online)
            + self.per_prefill_token_ms * f64::from(step.online_prefill)
    }

    /// Records the start of a step that takes `step_ms`.
    pub(super) fn step_begins(&mut self, now_us: u64, step: &StepShape, step_ms: f64) {
        self.steps += 1;
        if step.online > 0 {
            self.online_step_ms += step_ms;
            self.online_alone_ms += self.online_only_ms(step);
        }
        if step.batch > 0 {
            let blocks = f64::from(step.batch_blocks) / f64::from(step.batch);
            self.mean_batch_blocks += MEAN_WEIGHT * (blocks.max(1.0) - self.mean_batch_blocks);
        }
        let allowed = self.allowed_width(step);
        self.idle_tokens += f64::from(allowed);
        if step.online > 0 && step.batch <= allowed {
            self.probe.batch_yielded(now_us);
        }
        let usual = StepShape {
            noisy_base_ms: self.usual_base_ms,
            ..*step
        };
        if step.online > 0 && step.batch <= self.allowed_width(&usual) {
            self.usual_probe.batch_yielded(now_us);
        }
    }

    /// Records the end of a step and the tokens it produced.
    pub(super) fn step_ended(&mut self, online_tokens: u64, batch_tokens: u64) {
        self.online_tokens += online_tokens;
        self.batch_tokens += batch_tokens;
        self.probe.step_ended();
        self.usual_probe.step_ended();
    }

    /// Records time without any sequence, in which full batches could have run.
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

    /// Records an online arrival; `others` online sequences are already in the engine.
    pub(super) fn online_arrived(&mut self, now_us: u64, others: usize) {
        let quiet_since = self.online_ended_us.filter(|_| others == 0);
        let quiet = quiet_since.is_some_and(|since| now_us - since.min(now_us) >= self.quiet_us);
        if quiet {
            self.probe.burst_begins(now_us);
            self.usual_probe.burst_begins(now_us);
        }
        self.online_ended_us = None;
    }

    /// Records that the last online sequence has left the engine.
    pub(super) fn online_drained(&mut self, now_us: u64) {
        self.online_ended_us = Some(now_us);
        self.probe.burst_ends();
        self.usual_probe.burst_ends();
    }

    pub(super) fn sample(&mut self, at_us: u64, online: u32, batch: u32, batch_waiting: u32) {
        let (idle, previous_batch, previous_online) = self.sampled_totals;
        self.sampled_totals = (self.idle_tokens, self.batch_tokens, self.online_tokens);
        if self.samples.len() < MAXIMUM_SAMPLES {
            self.samples.push(Sample {
                at_us,
                online,
                batch,
                batch_waiting,
                idle_tokens: self.idle_tokens - idle,
                batch_tokens: self.batch_tokens - previous_batch,
                online_tokens: self.online_tokens - previous_online,
            });
        }
    }
}

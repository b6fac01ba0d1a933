//! Engine steps with continuous batching.

use rand::Rng;
use rand_distr::{Distribution, LogNormal};

use super::streams::emit;
use super::{Effect, EngineModel, LoadPhase, RunEnd, Step};
use crate::engine::meter::StepShape;
use crate::engine::settings::EngineModelSettings;

/// Driver lateness up to which the next step begins at its scheduled time, microseconds.
const TOLERATED_LATENESS_US: u64 = 20_000;
/// Weight of the newest step in the moving average of the step time.
const STEP_WEIGHT: f64 = 0.1;

impl EngineModel {
    /// Ends the steps that are due and begins the next one. Returns the time of the next call;
    /// `None` if the engine is idle until it receives a request or order.
    pub fn advance(&mut self, now_us: u64, effects: &mut Vec<Effect>) -> Option<u64> {
        loop {
            match self.step {
                Some(step) if step.due_us > now_us => return Some(step.due_us),
                Some(step) => {
                    self.catch_up(step.due_us);
                    self.end_step(step.due_us, effects);
                    let late = now_us - step.due_us;
                    let begin = if late > TOLERATED_LATENESS_US {
                        self.meter.record_lateness(late);
                        now_us
                    } else {
                        step.due_us
                    };
                    self.begin_step(begin, effects);
                }
                None => {
                    self.catch_up(now_us);
                    self.begin_step(now_us, effects);
                }
            }
            if self.step.is_none() {
                return self.load_due();
            }
        }
    }

    /// Resumes after a hang. A step that was due during the hang ends now, and the time of the hang
    /// counts neither as idle nor as driver lateness.
    pub fn resume_after_hang(&mut self, now_us: u64) {
        self.idle_since_us = now_us;
        if let Some(step) = &mut self.step {
            step.due_us = step.due_us.max(now_us);
        }
    }

    fn begin_step(&mut self, now_us: u64, effects: &mut Vec<Effect>) {
        self.end_detached_streams(now_us, effects);
        self.advance_load(now_us);
        self.schedule();
        if self.running.is_empty() {
            self.step = None;
            self.idle_since_us = now_us;
            return;
        }
        let prefill = self.assign_prefill();
        let noisy_base_ms = self.noisy_base_ms();
        let shape = self.shape(noisy_base_ms);
        self.mark_started(now_us);
        self.count_online_waits();
        let sequences = self.running.len() as f64;
        let step_ms = shape.noisy_base_ms
            + self.settings.per_sequence_ms * sequences
            + self.settings.per_prefill_token_ms * f64::from(prefill);
        self.meter.step_begins(now_us, &shape, step_ms);
        self.step_ms += STEP_WEIGHT * (step_ms - self.step_ms);
        let step_us = ((step_ms * 1_000.0) as u64).max(1);
        self.step = Some(Step {
            due_us: now_us + step_us,
        });
    }

    /// Distributes the step's prefill budget, highest priority first. Returns the tokens used.
    fn assign_prefill(&mut self) -> u32 {
        let mut left = self.settings.maximum_prefill_tokens;
        for sequence in &mut self.running {
            sequence.prefill_now = sequence.prefill_left.min(left);
            left -= sequence.prefill_now;
        }
        self.settings.maximum_prefill_tokens - left
    }

    fn mark_started(&mut self, now_us: u64) {
        for sequence in &mut self.running {
            let participates = sequence.prefill_left == 0 || sequence.prefill_now > 0;
            if participates && !sequence.ran {
                sequence.ran = true;
                self.records
                    .change(sequence.record, |record| record.started_us = Some(now_us));
            }
        }
    }

    /// Counts the step for each online sequence that waits while batch sequences are served.
    fn count_online_waits(&mut self) {
        let batch = || self.running.iter().filter(|sequence| !sequence.online);
        let batch_prefills = batch().any(|sequence| sequence.prefill_now > 0);
        if batch().next().is_none() {
            return;
        }
        let entered = self.running.iter().filter(|_| batch_prefills);
        let behind = entered.chain(&self.waiting);
        for sequence in behind.filter(|sequence| sequence.online && !sequence.ran) {
            self.records
                .change(sequence.record, |record| record.steps_behind_batch += 1);
        }
    }

    fn shape(&self, noisy_base_ms: f64) -> StepShape {
        let mut shape = StepShape {
            noisy_base_ms,
            online: 0,
            batch: 0,
            online_prefill: 0,
            shared_blocks: self.memory.pinned_blocks(),
            online_blocks: 0,
            batch_blocks: 0,
        };
        for sequence in &self.running {
            if sequence.online {
                shape.online += 1;
                shape.online_prefill += sequence.prefill_now;
                shape.online_blocks += sequence.own_blocks;
            } else {
                shape.batch += 1;
                shape.batch_blocks += sequence.own_blocks;
            }
        }
        shape
    }

    /// Batch width that the definition of idle capacity allows beside the current sequences, for a
    /// step of mean length.
    pub fn allowed_batch_width(&self) -> u32 {
        let usual_ms = self.settings.usual_base_ms();
        self.meter.allowed_width(&self.shape(usual_ms))
    }

    fn noisy_base_ms(&mut self) -> f64 {
        let settings = &self.settings;
        let noise = match LogNormal::new(0.0, settings.noise_sigma) {
            Ok(distribution) => distribution.sample(&mut self.rng),
            Err(_) => 1.0,
        };
        let slow = self
            .rng
            .random_bool(settings.slow_step_share.clamp(0.0, 1.0));
        let factor = if slow { settings.slow_step_factor } else { 1.0 };
        settings.base_ms * noise * factor
    }

    fn end_step(&mut self, now_us: u64, effects: &mut Vec<Effect>) {
        self.step = None;
        let (mut online_tokens, mut batch_tokens) = (0, 0);
        for index in 0..self.running.len() {
            if !self.compute(now_us, index, effects) {
                continue;
            }
            if self.running[index].online {
                online_tokens += 1;
            } else {
                batch_tokens += 1;
            }
        }
        self.meter.step_ended(online_tokens, batch_tokens);
        self.finish_completed(now_us, effects);
        self.allocate_next_blocks();
        self.publish_evictions(now_us);
    }

    /// Applies the step to one sequence; returns `true` if it produced a token.
    fn compute(&mut self, now_us: u64, index: usize, effects: &mut Vec<Effect>) -> bool {
        let sequence = &mut self.running[index];
        if sequence.prefill_left > 0 {
            sequence.prefill_left -= sequence.prefill_now;
            sequence.prefill_now = 0;
            if sequence.prefill_left > 0 {
                return false;
            }
            if let Some((key, blocks)) = self.share_prefix(index) {
                let tokens = blocks * self.settings.block_tokens;
                self.publish_cache(now_us, key, tokens);
            }
        }
        let sequence = &mut self.running[index];
        if sequence.produced >= sequence.target {
            return false;
        }
        sequence.produced += 1;
        if sequence.produced == sequence.from + 1 {
            self.records.change(sequence.record, |record| {
                record.first_token_us = Some(now_us)
            });
        }
        if sequence.streaming {
            emit(sequence, effects);
        }
        true
    }

    fn finish_completed(&mut self, now_us: u64, effects: &mut Vec<Effect>) {
        let mut index = 0;
        while index < self.running.len() {
            let sequence = &self.running[index];
            if sequence.prefill_left == 0 && sequence.produced >= sequence.target {
                let sequence = self.running.remove(index);
                self.finish(now_us, sequence, RunEnd::Finished, effects);
            } else {
                index += 1;
            }
        }
    }

    fn publish_cache(&mut self, now_us: u64, key: u64, tokens: u32) {
        let delay_us = EngineModelSettings::milliseconds_to_us(self.settings.cache_event_delay_ms);
        let loss = self.settings.cache_event_loss;
        self.publication
            .cache_event(now_us, delay_us, loss, &mut self.rng, (key, tokens));
    }

    fn publish_evictions(&mut self, now_us: u64) {
        for key in self.memory.drain_evicted() {
            self.publish_cache(now_us, key, 0);
        }
    }

    /// Takes the samples and publishes the reports that have become due since the last change.
    pub(super) fn catch_up(&mut self, now_us: u64) {
        loop {
            let next = self.next_report_us.min(self.next_sample_us);
            if next > now_us {
                break;
            }
            self.count_idle_time(next);
            if next == self.next_sample_us {
                self.take_sample(next);
            }
            if next == self.next_report_us {
                self.publish_report(next);
            }
        }
        self.count_idle_time(now_us);
    }

    fn count_idle_time(&mut self, now_us: u64) {
        let empty = self.step.is_none() && self.running.is_empty() && self.waiting.is_empty();
        if empty && now_us > self.idle_since_us {
            if matches!(self.load, LoadPhase::None) {
                self.meter.idle_for(now_us - self.idle_since_us);
            }
            self.idle_since_us = now_us;
        }
    }

    fn take_sample(&mut self, at_us: u64) {
        let online = self.running.iter().filter(|other| other.online).count();
        let waiting = self.waiting.iter().filter(|other| !other.online);
        let batch_waiting = waiting.count() as u32;
        let batch = self.running.len() - online;
        self.meter
            .sample(at_us, online as u32, batch as u32, batch_waiting);
        self.next_sample_us +=
            EngineModelSettings::milliseconds_to_us(self.settings.sample_interval_ms.max(1));
    }

    fn publish_report(&mut self, at_us: u64) {
        let report = self.snapshot();
        let delay_us = EngineModelSettings::milliseconds_to_us(self.settings.report_delay_ms);
        self.publication
            .report(at_us, delay_us, &mut self.rng, report);
        self.next_report_us +=
            EngineModelSettings::milliseconds_to_us(self.settings.report_interval_ms.max(1));
    }
}

//! Streams: attached to, left, cancelled, finished, and remembered for a while.

use std::sync::Arc;

use dappleyard_engine::GenerateCall;

use super::{Effect, EngineModel, Output, Started};
use crate::engine::record::RunEnd;
use crate::engine::sequence::{Sequence, StreamNumber};
use crate::engine::settings::EngineModelSettings;

/// The end of a stream, kept for a while so that it can be attached to.
#[derive(Debug)]
pub(super) struct FinishedStream {
    at_us: u64,
    started: Started,
    request_id: Arc<str>,
    produced: u32,
    reason: &'static str,
    cached: u32,
}

impl EngineModel {
    /// Attaches a call to its stream while that lives, or to its end while that is remembered.
    pub(super) fn attach(
        &mut self,
        stream: StreamNumber,
        call: &GenerateCall,
        effects: &mut Vec<Effect>,
    ) -> Option<Started> {
        let offset = call.resume_offset;
        let version = self.version.clone();
        let mut living = self.running.iter_mut().chain(self.waiting.iter_mut());
        if let Some(sequence) = living.find(|sequence| sequence.stream == stream) {
            if *sequence.request_id != *call.request_id {
                return None;
            }
            sequence.detached_at = None;
            sequence.streaming = call.stream;
            sequence.emitted = offset.min(sequence.produced);
            if sequence.streaming {
                emit(sequence, effects);
            }
            let (record, text) = (sequence.record, sequence.text);
            self.records.change(record, |record| record.attached += 1);
            return Some(Started {
                stream,
                version,
                text,
            });
        }
        let ended = self.finished.iter().find(|ended| {
            ended.started.stream == stream && *ended.request_id == *call.request_id
        })?;
        let from = offset.min(ended.produced);
        if from < ended.produced {
            let output = Output::Tokens {
                from,
                to: ended.produced,
            };
            effects.push(Effect { stream, output });
        }
        effects.push(Effect {
            stream,
            output: Output::Finished {
                reason: ended.reason,
                total: ended.produced,
                cached: ended.cached,
                ran: true,
            },
        });
        Some(ended.started.clone())
    }

    /// Cancels a stream; `false` when it does not live.
    pub fn cancel(&mut self, now_us: u64, stream: StreamNumber, effects: &mut Vec<Effect>) -> bool {
        self.catch_up(now_us);
        self.remove(now_us, stream, RunEnd::Cancelled, effects)
    }

    /// The reader of a stream was lost: the stream goes on for the grace.
    pub fn detach(&mut self, now_us: u64, stream: StreamNumber) {
        let mut living = self.running.iter_mut().chain(self.waiting.iter_mut());
        if let Some(sequence) = living.find(|sequence| sequence.stream == stream) {
            sequence.detached_at = Some(now_us);
        }
    }

    pub(super) fn remove(
        &mut self,
        now_us: u64,
        stream: StreamNumber,
        end: RunEnd,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let found = self.running.iter().position(|other| other.stream == stream);
        let sequence = if let Some(index) = found {
            self.running.remove(index)
        } else {
            let found = self.waiting.iter().position(|other| other.stream == stream);
            let Some(index) = found else { return false };
            self.waiting.remove(index)
        };
        self.finish(now_us, sequence, end, effects);
        true
    }

    /// Ends a sequence that is in no list any more: its memory becomes cache, its reader is told.
    pub(super) fn finish(
        &mut self,
        now_us: u64,
        mut sequence: Sequence,
        end: RunEnd,
        effects: &mut Vec<Effect>,
    ) {
        self.release(&mut sequence);
        emit(&mut sequence, effects);
        let reason = match end {
            RunEnd::Finished => sequence.reason,
            _ => "cancelled",
        };
        effects.push(Effect {
            stream: sequence.stream,
            output: Output::Finished {
                reason,
                total: sequence.produced,
                cached: sequence.cached_tokens.min(sequence.prompt_tokens),
                ran: sequence.ran,
            },
        });
        let produced = sequence.produced;
        self.records.change(sequence.record, |record| {
            record.to = produced;
            record.ended_us = Some(now_us);
            record.end = Some(end);
        });
        if sequence.online && self.online_count() == 0 {
            self.meter.online_gone(now_us);
        }
        if end == RunEnd::Finished {
            self.remember(now_us, &sequence);
        }
    }

    fn remember(&mut self, now_us: u64, sequence: &Sequence) {
        let grace = EngineModelSettings::micros(self.settings.finished_grace_ms);
        while let Some(oldest) = self.finished.front()
            && now_us.saturating_sub(oldest.at_us) > grace
        {
            self.finished.pop_front();
        }
        self.finished.push_back(FinishedStream {
            at_us: now_us,
            started: Started {
                stream: sequence.stream,
                version: self.version.clone(),
                text: sequence.text,
            },
            request_id: sequence.request_id.clone(),
            produced: sequence.produced,
            reason: sequence.reason,
            cached: sequence.cached_tokens.min(sequence.prompt_tokens),
        });
    }
}

/// Sends the tokens of a sequence that were not sent yet.
pub(super) fn emit(sequence: &mut Sequence, effects: &mut Vec<Effect>) {
    if sequence.emitted < sequence.produced {
        effects.push(Effect {
            stream: sequence.stream,
            output: Output::Tokens {
                from: sequence.emitted,
                to: sequence.produced,
            },
        });
        sequence.emitted = sequence.produced;
    }
}

//! Stream lifecycle: attach, detach, cancel, finish.

use std::sync::Arc;

use dappleyard_engine::GenerateCall;

use super::{Effect, EngineModel, Output, Started};
use crate::engine::record::RunEnd;
use crate::engine::sequence::{Sequence, StreamNumber};
use crate::engine::settings::EngineModelSettings;

/// A finished stream, kept for a grace period so that callers can still attach to it.
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
    /// Attaches a call to its stream if that is live or among the finished streams still kept.
    pub(super) fn attach(
        &mut self,
        stream: StreamNumber,
        call: &GenerateCall,
        effects: &mut Vec<Effect>,
    ) -> Option<Started> {
        let offset = call.resume_offset;
        let version = self.version.clone();
        let mut live = self.running.iter_mut().chain(self.waiting.iter_mut());
        if let Some(sequence) = live.find(|sequence| sequence.stream == stream) {
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

    /// Cancels a stream; `false` if it is not live.
    pub fn cancel(&mut self, now_us: u64, stream: StreamNumber, effects: &mut Vec<Effect>) -> bool {
        self.catch_up(now_us);
        self.remove(now_us, stream, RunEnd::Cancelled, effects)
    }

    /// Records that a stream lost its reader. The stream continues for the grace period.
    pub fn detach(&mut self, now_us: u64, stream: StreamNumber) {
        let mut live = self.running.iter_mut().chain(self.waiting.iter_mut());
        if let Some(sequence) = live.find(|sequence| sequence.stream == stream) {
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

    /// Finishes a sequence that was removed from its queue: caches its memory and sends the reader
    /// the remaining tokens and the end.
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
            self.meter.online_drained(now_us);
        }
        if end == RunEnd::Finished {
            self.retain_finished(now_us, &sequence);
        }
    }

    fn retain_finished(&mut self, now_us: u64, sequence: &Sequence) {
        let grace = EngineModelSettings::milliseconds_to_us(self.settings.finished_grace_ms);
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

/// Sends the tokens of a sequence that have not been sent yet.
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

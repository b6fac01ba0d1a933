//! The state machine of one engine, in virtual time: calls and [`EngineModel::advance`] take the
//! time in microseconds and add [`Effect`]s for the shell to deliver.
//!
//! Entry, preemption and memory are in `schedule`, steps in `step`, orders in `orders`, movement of
//! KV state in `kv`.

mod kv;
mod orders;
mod schedule;
mod step;

use std::collections::VecDeque;
use std::sync::Arc;

use dappleyard_decide::fence::OrderPosition;
use dappleyard_engine::{CacheEvent, EngineReport, GenerateCall, LoadedModel, Priority};
use derive_more::{Display, Error};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::memory::Memory;
use super::meter::Meter;
use super::record::{Records, RunEnd, RunRecord};
use super::reports::Publication;
use super::sequence::{Sequence, StreamNumber, insert_ordered};
use super::settings::{EngineModelSettings, EngineSpec};
use crate::text::TextSource;

pub use orders::LoadPhase;

/// Something to be sent to the reader of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// The stream.
    pub stream: StreamNumber,
    /// What to send.
    pub output: Output,
}

/// What is sent to the reader of a stream. Text is made from offsets by who sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Tokens `from..to`.
    Tokens {
        /// First token.
        from: u32,
        /// Token after the last.
        to: u32,
    },
    /// The stream ended.
    Finished {
        /// "stop", "length" or "cancelled".
        reason: &'static str,
        /// Tokens of the whole answer so far.
        total: u32,
        /// Prompt tokens found in the cache.
        cached: u32,
        /// Whether any step of this attempt ran.
        ran: bool,
    },
}

/// Why a call was refused; nothing ran.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// A sentence.
    pub reason: String,
}

impl Refusal {
    pub(super) fn new(status: u16, reason: impl Into<String>) -> Refusal {
        Refusal {
            status,
            reason: reason.into(),
        }
    }
}

/// A call that was taken in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    /// Its stream.
    pub stream: StreamNumber,
    /// Version that answers.
    pub version: Arc<str>,
    /// Text of the answer.
    pub text: TextSource,
}

/// The end of a stream, kept for a while so that it can be attached to.
#[derive(Debug)]
struct FinishedStream {
    at_us: u64,
    started: Started,
    request_id: Arc<str>,
    produced: u32,
    reason: &'static str,
    cached: u32,
}

/// The step at hand.
#[derive(Debug, Clone, Copy)]
struct Step {
    due_us: u64,
}

/// One engine.
pub struct EngineModel {
    settings: EngineModelSettings,
    server: Arc<str>,
    model: Option<LoadedModel>,
    version: Arc<str>,
    load: LoadPhase,
    load_failure: String,
    previous: Option<LoadedModel>,
    accepting: bool,
    position: OrderPosition,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    finished: VecDeque<FinishedStream>,
    next_stream: StreamNumber,
    memory: Memory,
    meter: Meter,
    records: Records,
    publication: Publication,
    rng: ChaCha8Rng,
    step: Option<Step>,
    step_ms: f64,
    idle_since_us: u64,
    next_report_us: u64,
    next_sample_us: u64,
}

impl EngineModel {
    /// An engine as its specification says, at some time. `first_stream` keeps the numbers of
    /// streams apart from those before a restart.
    pub fn new(spec: &EngineSpec, now_us: u64, first_stream: StreamNumber) -> EngineModel {
        let settings = spec.model.clone();
        EngineModel {
            server: Arc::from(spec.server.as_str()),
            model: Some(LoadedModel {
                service: spec.service.clone(),
                version: spec.version.clone(),
                adapters: spec.adapters.clone(),
            }),
            version: Arc::from(spec.version.as_str()),
            load: LoadPhase::None,
            load_failure: String::new(),
            previous: None,
            accepting: true,
            position: OrderPosition::default(),
            running: Vec::new(),
            waiting: Vec::new(),
            finished: VecDeque::new(),
            next_stream: first_stream,
            memory: Memory::new(settings.total_blocks()),
            meter: Meter::new(&settings),
            records: Records::new(settings.maximum_records),
            publication: Publication::new(),
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            step: None,
            step_ms: settings.base_ms,
            idle_since_us: now_us,
            next_report_us: now_us,
            next_sample_us: now_us,
            settings,
        }
    }

    /// Takes a call in, or attaches it to a stream that lives.
    pub fn generate(
        &mut self,
        now_us: u64,
        call: &GenerateCall,
        effects: &mut Vec<Effect>,
    ) -> Result<Started, Refusal> {
        self.catch_up(now_us);
        if let Some(stream) = parse_stream(&call.attach_stream)
            && let Some(started) = self.attach(stream, call, effects)
        {
            return Ok(started);
        }
        if call.attach_only {
            return Err(Refusal::new(404, "no such stream to attach to"));
        }
        self.check(call)?;
        Ok(self.begin(now_us, call))
    }

    fn check(&self, call: &GenerateCall) -> Result<(), Refusal> {
        if !self.accepting {
            return Err(Refusal::new(503, "the engine takes no new work"));
        }
        let Some(model) = &self.model else {
            return Err(Refusal::new(503, "the engine is loading a model"));
        };
        if model.service != call.service {
            return Err(Refusal::new(404, "the engine does not carry this service"));
        }
        if !call.version.is_empty() && model.version != call.version {
            return Err(Refusal::new(404, "the engine does not carry this version"));
        }
        if !call.adapter.is_empty() && !model.adapters.contains(&call.adapter) {
            return Err(Refusal::new(404, "the engine does not carry this adapter"));
        }
        let tokens = u64::from(call.prompt_tokens) + u64::from(call.max_tokens);
        if tokens > u64::from(self.settings.memory_tokens) {
            return Err(Refusal::new(400, "prompt and answer do not fit the memory"));
        }
        if call.resume_offset > call.max_tokens {
            return Err(Refusal::new(400, "the answer ends before the offset"));
        }
        if self.waiting.len() >= self.settings.maximum_waiting as usize {
            return Err(Refusal::new(429, "too many sequences wait"));
        }
        Ok(())
    }

    fn begin(&mut self, now_us: u64, call: &GenerateCall) -> Started {
        let text = TextSource::new(&self.version, &call.prompt);
        let (target, reason) = text.end(call.max_tokens);
        let produced = call.resume_offset.min(target);
        let stream = self.next_stream;
        self.next_stream += 1;
        let request_id: Arc<str> = Arc::from(call.request_id.as_str());
        let online = call.priority > Priority::BATCH;
        if online {
            let others = self.online_count();
            self.meter.online_arrived(now_us, others);
        }
        let record = self.records.add(RunRecord {
            server: self.server.clone(),
            request_id: request_id.clone(),
            attempt: call.attempt,
            stream,
            online,
            priority: call.priority.0,
            arrived_us: now_us,
            started_us: None,
            first_token_us: None,
            ended_us: None,
            end: None,
            from: produced,
            to: produced,
            resumed: call.resume_offset > 0,
            attached: 0,
            preempted: 0,
            version: self.version.clone(),
        });
        let prompt_tokens = call.prompt_tokens.max(1);
        let prefix_tokens = call.prefix_tokens.min(prompt_tokens);
        let sequence = Sequence {
            stream,
            request_id,
            priority: self.served_priority(call.priority),
            online,
            text,
            prompt_tokens,
            prefix_key: call.prefix_hash,
            prefix_blocks: prefix_tokens / self.settings.block_tokens.max(1),
            target,
            reason,
            from: produced,
            produced,
            emitted: produced,
            streaming: call.stream,
            prefill_left: 0,
            prefill_now: 0,
            cached_tokens: 0,
            own_blocks: 0,
            pinned_blocks: 0,
            pins: false,
            ran: false,
            record,
            detached_at: None,
        };
        insert_ordered(&mut self.waiting, sequence);
        Started {
            stream,
            version: self.version.clone(),
            text,
        }
    }

    fn served_priority(&self, priority: Priority) -> Priority {
        if self.settings.ignore_priority {
            Priority::BATCH
        } else {
            priority
        }
    }

    /// Attaches a call to its stream while that lives, or to its end while that is remembered.
    fn attach(
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

    fn remove(
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
    fn finish(
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

    /// The engine is lost with all that it held; its records stay.
    pub fn lose(&mut self, now_us: u64) -> Vec<RunRecord> {
        self.catch_up(now_us);
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        for sequence in lost {
            let produced = sequence.produced;
            self.records.change(sequence.record, |record| {
                record.to = produced;
                record.ended_us = Some(now_us);
                record.end = Some(RunEnd::Lost);
            });
        }
        self.step = None;
        self.records.all()
    }

    /// The state at this moment.
    pub fn status(&mut self, now_us: u64) -> EngineReport {
        self.catch_up(now_us);
        self.snapshot()
    }

    /// The latest report that was delivered; the state at start until there is one.
    pub fn report(&mut self, now_us: u64) -> EngineReport {
        self.catch_up(now_us);
        let latest = self.publication.latest(now_us);
        latest.unwrap_or_else(|| self.snapshot())
    }

    /// Delivered cache events after a number.
    pub fn cache_events(&mut self, now_us: u64, after: u64) -> Vec<CacheEvent> {
        self.catch_up(now_us);
        self.publication.cache_events(now_us, after)
    }

    /// Makes reports and cache events later by some time, and may drop all cache events.
    pub fn set_publication_faults(&mut self, extra_delay_us: u64, events_dropped: bool) {
        self.publication.extra_delay_us = extra_delay_us;
        self.publication.events_dropped = events_dropped;
    }

    /// Truth about what ran.
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Idle capacity and widths, up to date at this moment.
    pub fn meter(&mut self, now_us: u64) -> &Meter {
        self.catch_up(now_us);
        &self.meter
    }

    /// The meter as it was brought up to date last.
    pub fn meter_as_it_stands(&self) -> &Meter {
        &self.meter
    }

    /// Server id.
    pub fn server(&self) -> &Arc<str> {
        &self.server
    }

    /// First stream number that was not used.
    pub fn next_stream(&self) -> StreamNumber {
        self.next_stream
    }

    /// Whether the memory's blocks add up: for tests.
    pub fn memory_is_consistent(&self) -> bool {
        let owned = self.running.iter().map(|sequence| sequence.own_blocks);
        self.memory.is_consistent(owned.sum())
    }

    fn online_count(&self) -> usize {
        let all = self.running.iter().chain(self.waiting.iter());
        all.filter(|sequence| sequence.online).count()
    }

    fn snapshot(&self) -> EngineReport {
        let count = |list: &[Sequence], online: bool| {
            let matching = list.iter().filter(|other| other.online == online);
            matching.count() as u32
        };
        EngineReport {
            server: self.server.to_string(),
            sequence: 0,
            age_ms: 0,
            model: self.model.clone(),
            loading: self.load.version().unwrap_or_default().to_owned(),
            running_online: count(&self.running, true),
            running_batch: count(&self.running, false),
            waiting_online: count(&self.waiting, true),
            waiting_batch: count(&self.waiting, false),
            free_blocks: self.memory.available(),
            total_blocks: self.memory.total(),
            block_tokens: self.settings.block_tokens,
            maximum_sequences: self.settings.maximum_sequences,
            step_ms: self.step_ms,
            accepting: self.accepting,
            order_epoch: self.position.epoch,
            order_sequence: self.position.sequence,
            load_failure: self.load_failure.clone(),
        }
    }
}

/// Name of a stream on the wire.
pub fn stream_name(stream: StreamNumber) -> String {
    format!("s{stream}")
}

/// Number of a stream named on the wire.
pub fn parse_stream(name: &str) -> Option<StreamNumber> {
    name.strip_prefix('s')?.parse().ok()
}

/// Sends the tokens of a sequence that were not sent yet.
fn emit(sequence: &mut Sequence, effects: &mut Vec<Effect>) {
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

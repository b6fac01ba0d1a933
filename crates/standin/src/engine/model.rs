//! State machine of one engine in virtual time. Methods take the time in microseconds and append
//! [`Effect`]s for the caller to deliver.
//!
//! - `arrival`: admission of calls
//! - `streams`: stream lifecycle
//! - `schedule`: admission to the running batch, preemption and memory
//! - `step`: steps and the reports and samples that depend on time
//! - `orders`: fenced orders and version loads
//! - `kv`: export and import of KV state

mod arrival;
mod kv;
mod orders;
mod schedule;
mod step;
mod streams;

use std::collections::VecDeque;
use std::sync::Arc;

use dappleyard_decide::fence::OrderPosition;
use dappleyard_engine::{CacheEvent, EngineReport, LoadedModel};
use derive_more::{Display, Error};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::memory::Memory;
use super::meter::Meter;
use super::record::{Records, RunEnd, RunRecord};
use super::reports::Publication;
use super::sequence::{Sequence, StreamNumber};
use super::settings::{EngineModelSettings, EngineSpec};
use crate::text::TextSource;

use streams::FinishedStream;

pub use orders::LoadPhase;

/// An output to be sent to the reader of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// Target stream.
    pub stream: StreamNumber,
    /// Output to send.
    pub output: Output,
}

/// Output of a stream. The sender generates the text from the token offsets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Tokens `from..to`.
    Tokens {
        /// Offset of the first token.
        from: u32,
        /// Offset after the last token.
        to: u32,
    },
    /// The stream ended.
    Finished {
        /// "stop", "length" or "cancelled".
        reason: &'static str,
        /// Tokens of the answer so far, those of earlier attempts included.
        total: u32,
        /// Prompt tokens found in the cache.
        cached: u32,
        /// Whether this attempt took part in any step.
        ran: bool,
    },
}

/// Rejection of a call, which then has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Message for the caller.
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

/// An accepted call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    /// Assigned stream.
    pub stream: StreamNumber,
    /// Version that generates the answer.
    pub version: Arc<str>,
    /// Source of the answer text.
    pub text: TextSource,
}

/// The step in progress.
#[derive(Debug, Clone, Copy)]
struct Step {
    due_us: u64,
}

/// State machine of one engine.
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
    /// Creates an engine. After a restart, `first_stream` must be greater than all stream numbers
    /// used before it.
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

    /// Ends all sequences as lost, without notifying readers. Returns the records, which are kept.
    pub fn end_as_lost(&mut self, now_us: u64) -> Vec<RunRecord> {
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

    /// The current state.
    pub fn status(&mut self, now_us: u64) -> EngineReport {
        self.catch_up(now_us);
        self.snapshot()
    }

    /// The latest delivered report; the current state until one has been delivered.
    pub fn report(&mut self, now_us: u64) -> EngineReport {
        self.catch_up(now_us);
        let latest = self.publication.latest(now_us);
        latest.unwrap_or_else(|| self.snapshot())
    }

    /// Delivered cache events with a sequence number greater than `after`.
    pub fn cache_events(&mut self, now_us: u64, after: u64) -> Vec<CacheEvent> {
        self.catch_up(now_us);
        self.publication.cache_events(now_us, after)
    }

    /// Adds a delay to reports and cache events, and optionally drops all cache events.
    pub fn set_publication_faults(&mut self, extra_delay_us: u64, events_dropped: bool) {
        self.publication.extra_delay_us = extra_delay_us;
        self.publication.events_dropped = events_dropped;
    }

    /// Records of all attempts.
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// The meter, updated to `now_us`.
    pub fn meter(&mut self, now_us: u64) -> &Meter {
        self.catch_up(now_us);
        &self.meter
    }

    /// The meter as of the last update.
    pub fn meter_without_update(&self) -> &Meter {
        &self.meter
    }

    pub fn server(&self) -> &Arc<str> {
        &self.server
    }

    /// The next unused stream number.
    pub fn next_stream(&self) -> StreamNumber {
        self.next_stream
    }

    /// Whether every memory block is accounted for exactly once. For tests.
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

/// Formats a stream number as its name on the wire.
pub fn stream_name(stream: StreamNumber) -> String {
    format!("s{stream}")
}

/// Parses the name of a stream on the wire.
pub fn parse_stream(name: &str) -> Option<StreamNumber> {
    name.strip_prefix('s')?.parse().ok()
}

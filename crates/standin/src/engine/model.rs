//! The state machine of one engine, in virtual time: calls and [`EngineModel::advance`] take the
//! time in microseconds and add [`Effect`]s for the shell to deliver.
//!
//! Calls come in through `arrival` and end or go on in `streams`. Entry, preemption and memory are in `schedule`, steps in `step`, orders in `orders`, movement of
//! KV state in `kv`.

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

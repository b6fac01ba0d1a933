//! One engine of a host: its state machine, the readers of its streams, and the state machines from
//! before restarts.
//!
//! HTTP handlers and drivers call into this module; `experiment` has the operations that only tests
//! and experiments use.

mod experiment;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dappleyard_engine::{
    CacheEvent, EngineOrder, EngineReport, GenerateCall, KvExportRequest, KvState,
};
use parking_lot::Mutex;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::driver::Wakeups;
use super::host::{OrderRecord, WeightSource};
use super::model::{Effect, EngineModel, Output, Refusal, Started, parse_stream};
use super::sequence::StreamNumber;
use super::settings::EngineSpec;

/// Maximum number of orders recorded for the invariant checker.
const MAXIMUM_ORDERS: usize = 10_000;

/// Message to the reader of a stream.
#[derive(Debug)]
pub(super) enum Delivery {
    /// Output of the stream.
    Output(Output),
    /// The engine was killed; the reader aborts the connection.
    EngineLost,
}

/// Why a call failed.
#[derive(Debug)]
pub(super) enum CallError {
    /// The host has no such engine.
    NoSuchEngine,
    /// The engine was killed; the connection is aborted.
    Killed,
    /// The engine hangs; the call waits until it resumes.
    Hung,
    /// The engine rejected the call.
    Refused(Refusal),
}

struct Sink {
    sender: UnboundedSender<Delivery>,
    reader: u64,
}

struct Inner {
    model: Option<EngineModel>,
    hung: bool,
    retired: Vec<EngineModel>,
    sinks: HashMap<StreamNumber, Sink>,
    next_reader: u64,
    due_us: Option<u64>,
    effects: Vec<Effect>,
    orders: Vec<OrderRecord>,
    next_stream: StreamNumber,
}

/// One engine of a host.
pub(super) struct Slot {
    index: usize,
    spec: EngineSpec,
    started: Instant,
    wakeups: Arc<Wakeups>,
    weights: Option<Arc<dyn WeightSource>>,
    inner: Mutex<Inner>,
}

/// Reader of a stream. Detaches the stream if dropped before its end.
pub(super) struct Reader {
    pub(super) started: Started,
    pub(super) deliveries: UnboundedReceiver<Delivery>,
    pub(super) slot: Arc<Slot>,
    reader: u64,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.slot.detach(self.started.stream, self.reader);
    }
}

impl Slot {
    pub(super) fn new(
        index: usize,
        spec: EngineSpec,
        started: Instant,
        wakeups: Arc<Wakeups>,
        weights: Option<Arc<dyn WeightSource>>,
    ) -> Slot {
        let now_us = started.elapsed().as_micros() as u64;
        let inner = Inner {
            model: Some(EngineModel::new(&spec, now_us, 1)),
            hung: false,
            retired: Vec::new(),
            sinks: HashMap::new(),
            next_reader: 1,
            due_us: None,
            effects: Vec::new(),
            orders: Vec::new(),
            next_stream: 1,
        };
        Slot {
            index,
            spec,
            started,
            wakeups,
            weights,
            inner: Mutex::new(inner),
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    pub(super) fn server(&self) -> &str {
        &self.spec.server
    }

    /// Starts a call and returns the reader of its stream.
    pub(super) fn generate(self: &Arc<Self>, call: &GenerateCall) -> Result<Reader, CallError> {
        let mut inner = self.inner.lock();
        let now_us = self.now_us();
        let mut effects = std::mem::take(&mut inner.effects);
        let model = inner.responsive_model()?;
        let started = model
            .generate(now_us, call, &mut effects)
            .map_err(CallError::Refused)?;
        let (sender, deliveries) = unbounded_channel();
        let reader = inner.next_reader;
        inner.next_reader += 1;
        inner.sinks.insert(started.stream, Sink { sender, reader });
        inner.effects = effects;
        inner.deliver();
        self.advance_if_unscheduled(&mut inner, now_us);
        Ok(Reader {
            started,
            deliveries,
            slot: self.clone(),
            reader,
        })
    }

    fn detach(&self, stream: StreamNumber, reader: u64) {
        let mut inner = self.inner.lock();
        let is_current = inner
            .sinks
            .get(&stream)
            .is_some_and(|sink| sink.reader == reader);
        if !is_current {
            return;
        }
        inner.sinks.remove(&stream);
        let now_us = self.now_us();
        if let Some(model) = &mut inner.model {
            model.detach(now_us, stream);
        }
    }

    /// Cancels a stream; `Ok(false)` if it is not live.
    pub(super) fn cancel(&self, name: &str) -> Result<bool, CallError> {
        let mut inner = self.inner.lock();
        let now_us = self.now_us();
        let mut effects = std::mem::take(&mut inner.effects);
        let model = inner.responsive_model()?;
        let stream = parse_stream(name);
        let found = stream.is_some_and(|stream| model.cancel(now_us, stream, &mut effects));
        inner.effects = effects;
        inner.deliver();
        Ok(found)
    }

    pub(super) fn cancel_all(&self, names: &[String]) -> Result<(), CallError> {
        let mut inner = self.inner.lock();
        let now_us = self.now_us();
        let mut effects = std::mem::take(&mut inner.effects);
        let model = inner.responsive_model()?;
        for stream in names.iter().filter_map(|name| parse_stream(name)) {
            model.cancel(now_us, stream, &mut effects);
        }
        inner.effects = effects;
        inner.deliver();
        Ok(())
    }

    pub(super) fn report(&self) -> Result<EngineReport, CallError> {
        self.with_model(|model, now_us| model.report(now_us))
    }

    pub(super) fn status(&self) -> Result<EngineReport, CallError> {
        self.with_model(|model, now_us| model.status(now_us))
    }

    pub(super) fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, CallError> {
        self.with_model(|model, now_us| model.cache_events(now_us, after))
    }

    pub(super) fn export_kv(&self, query: &KvExportRequest) -> Result<KvState, CallError> {
        let exported = self.with_model(|model, now_us| model.export_kv(now_us, query))?;
        exported.map_err(CallError::Refused)
    }

    pub(super) fn import_kv(&self, state: &KvState) -> Result<(), CallError> {
        let imported = self.with_model(|model, now_us| model.import_kv(now_us, state))?;
        imported.map_err(CallError::Refused)
    }

    /// Time to transfer the KV state of `tokens` tokens.
    pub(super) fn transfer_time(&self, tokens: u32) -> Duration {
        let token_us = self.spec.model.kv_transfer_us_per_token;
        Duration::from_micros(token_us.saturating_mul(tokens.into()))
    }

    fn with_model<R>(&self, read: impl FnOnce(&mut EngineModel, u64) -> R) -> Result<R, CallError> {
        let mut inner = self.inner.lock();
        let now_us = self.now_us();
        let model = inner.responsive_model()?;
        Ok(read(model, now_us))
    }

    pub(super) fn order(&self, order: &EngineOrder) -> Result<(), CallError> {
        let mut inner = self.inner.lock();
        let now_us = self.now_us();
        let model = inner.responsive_model()?;
        let result = model.order(now_us, order);
        if inner.orders.len() < MAXIMUM_ORDERS {
            inner.orders.push(OrderRecord {
                server: self.spec.server.clone(),
                at_us: now_us,
                order: order.clone(),
                applied: result.is_ok(),
            });
        }
        self.advance_if_unscheduled(&mut inner, now_us);
        result.map_err(CallError::Refused)
    }

    /// Advances the engine; called by the driver at `due_us`. Returns the next due time, `None` if
    /// the engine was rescheduled in the meantime or is idle.
    pub(super) fn advance(&self, due_us: u64) -> Option<u64> {
        let mut inner = self.inner.lock();
        if inner.due_us != Some(due_us) {
            return None;
        }
        let now_us = self.now_us();
        self.advance_model(&mut inner, now_us);
        inner.due_us
    }

    fn advance_if_unscheduled(&self, inner: &mut Inner, now_us: u64) {
        if inner.due_us.is_some() {
            return;
        }
        self.advance_model(inner, now_us);
        if let Some(due_us) = inner.due_us {
            self.wakeups.add(due_us, self.index);
        }
    }

    fn advance_model(&self, inner: &mut Inner, now_us: u64) {
        let mut effects = std::mem::take(&mut inner.effects);
        inner.due_us = None;
        if let Some(model) = &mut inner.model
            && !inner.hung
        {
            inner.due_us = model.advance(now_us, &mut effects);
            if let Some((service, version)) = model.load_to_query() {
                let (load_us, outcome) = self.query_weight_source(service, version);
                model.set_load_result(now_us + load_us, outcome);
                inner.due_us = Some(now_us + load_us);
            }
        }
        inner.effects = effects;
        inner.deliver();
    }

    /// Queries the duration, microseconds, and the result of a load.
    fn query_weight_source(&self, service: &str, version: &str) -> (u64, Result<(), String>) {
        let usual_us = self.spec.model.load_ms.saturating_mul(1_000);
        if self.spec.model.broken_versions.contains(version) {
            return (usual_us, Err(format!("{version} is broken")));
        }
        let Some(weights) = &self.weights else {
            return (usual_us, Ok(()));
        };
        match weights.load(service, version) {
            Ok(time) => (time.as_micros() as u64, Ok(())),
            Err(failure) => (usual_us, Err(failure)),
        }
    }
}

impl Inner {
    /// The engine, unless it was killed or hangs.
    fn responsive_model(&mut self) -> Result<&mut EngineModel, CallError> {
        match &mut self.model {
            None => Err(CallError::Killed),
            Some(_) if self.hung => Err(CallError::Hung),
            Some(model) => Ok(model),
        }
    }

    fn deliver(&mut self) {
        for effect in self.effects.drain(..) {
            let ends = matches!(effect.output, Output::Finished { .. });
            let Some(sink) = self.sinks.get(&effect.stream) else {
                continue;
            };
            // Sending fails if the reader was dropped, which has detached the stream.
            let _ = sink.sender.send(Delivery::Output(effect.output));
            if ends {
                self.sinks.remove(&effect.stream);
            }
        }
    }
}

//! Runs many simulated engines in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use actix_web::{App, HttpServer, web};
use dappleyard_engine::{EngineOrder, EngineReport};
use parking_lot::Mutex;
use serde::Serialize;

use super::driver::{self, Slots, Wakeups};
use super::http::{self, SlotsByName};
use super::meter::{Meter, Sample};
use super::probe::YieldProbe;
use super::record::RunRecord;
use super::settings::EngineSpec;
use super::slot::Slot;
use crate::server::{self, RunningServer};

/// Source of model weights.
pub trait WeightSource: Send + Sync {
    /// Starts loading a version. Returns the duration, or why the load fails.
    fn load(&self, service: &str, version: &str) -> Result<Duration, String>;
}

/// Options of a host.
#[derive(Clone)]
pub struct HostOptions {
    /// Listening address; port 0 selects a free port.
    pub listen: String,
    /// Worker threads of the HTTP server.
    pub workers: usize,
    /// Number of driver threads.
    pub drivers: usize,
    /// Weight source; if `None`, loads take the time given in the engine's settings.
    pub weights: Option<Arc<dyn WeightSource>>,
}

impl Default for HostOptions {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            workers: 2,
            drivers: 1,
            weights: None,
        }
    }
}

/// An order received by an engine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Server id.
    pub server: String,
    /// Microseconds since the host started.
    pub at_us: u64,
    pub order: EngineOrder,
    /// Whether it was applied rather than rejected.
    pub applied: bool,
}

/// Meter totals of one engine, restarts included.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct MeterSummary {
    /// Batch tokens that fit into the idle capacity.
    pub idle_tokens: f64,
    /// Batch tokens produced.
    pub batch_tokens: u64,
    /// Online tokens produced.
    pub online_tokens: u64,
    /// Steps executed.
    pub steps: u64,
    /// Total time of steps with online sequences, milliseconds.
    pub online_step_ms: f64,
    /// Total time of the same steps without batch sequences, milliseconds.
    pub online_alone_ms: f64,
    /// Total lateness of steps that exceeded the tolerance, microseconds.
    pub stalled_us: u64,
    /// Time until batch yielded to online bursts, by the width that each step allowed.
    pub probe: YieldProbe,
    /// The same, by the width that a step of mean length allows.
    pub usual_probe: YieldProbe,
}

/// Starts hosts of engines.
pub struct EngineHost;

impl EngineHost {
    /// Starts engines with default options, on a free port.
    pub fn start(specs: Vec<EngineSpec>) -> std::io::Result<EngineHandle> {
        Self::start_with(specs, HostOptions::default())
    }

    /// Starts engines on their own threads; the caller needs no runtime.
    pub fn start_with(
        specs: Vec<EngineSpec>,
        options: HostOptions,
    ) -> std::io::Result<EngineHandle> {
        let started = Instant::now();
        let slots = Slots::default();
        let by_name = SlotsByName::default();
        let mut drivers = Vec::new();
        for number in 0..options.drivers.max(1) {
            let wakeups = Arc::new(Wakeups::default());
            let name = format!("engines-{number}");
            let thread = driver::start(name, wakeups.clone(), slots.clone(), started)?;
            drivers.push((wakeups, thread));
        }
        let server = serve(&options, by_name.clone())?;
        let handle = EngineHandle {
            started,
            slots,
            by_name,
            drivers: Mutex::new(drivers),
            server,
            weights: options.weights,
        };
        for spec in specs {
            handle.add(spec);
        }
        Ok(handle)
    }
}

fn serve(options: &HostOptions, by_name: SlotsByName) -> std::io::Result<RunningServer> {
    let (listen, workers) = (options.listen.clone(), options.workers.max(1));
    server::start("engines-http", move || {
        let data = web::Data::new(by_name.clone());
        HttpServer::new(move || App::new().app_data(data.clone()).configure(http::configure))
            .workers(workers)
            .keep_alive(server::KEEP_ALIVE)
            .disable_signals()
            .bind(listen.as_str())
            .map(|server| (server.addrs(), server.run()))
    })
}

/// Handle of a running host: fault injection, and direct access to records and meters.
pub struct EngineHandle {
    started: Instant,
    slots: Slots,
    by_name: SlotsByName,
    drivers: Mutex<Vec<(Arc<Wakeups>, JoinHandle<()>)>>,
    server: RunningServer,
    weights: Option<Arc<dyn WeightSource>>,
}

impl EngineHandle {
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Start of the host, the origin of all times in records.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Microseconds since the host started.
    pub fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Base URL of an engine's HTTP interface.
    pub fn base_url(&self, server: &str) -> String {
        format!("http://{}/engines/{server}", self.address())
    }

    /// Adds an engine; does nothing if one of this name exists.
    pub fn add(&self, spec: EngineSpec) {
        let mut by_name = self.by_name.write();
        if by_name.contains_key(&spec.server) {
            return;
        }
        let mut slots = self.slots.write();
        let index = slots.len();
        let drivers = self.drivers.lock();
        let Some((wakeups, _)) = drivers.get(index % drivers.len().max(1)) else {
            return;
        };
        let name = spec.server.clone();
        let weights = self.weights.clone();
        let slot = Arc::new(Slot::new(
            index,
            spec,
            self.started,
            wakeups.clone(),
            weights,
        ));
        slots.push(slot.clone());
        by_name.insert(name, slot);
    }

    /// Server ids of all engines, in the order they were added.
    pub fn servers(&self) -> Vec<String> {
        let slots = self.slots.read();
        slots.iter().map(|slot| slot.server().to_owned()).collect()
    }

    /// Kills an engine: drops its state, aborts open streams and fails further calls.
    pub fn kill(&self, server: &str) {
        self.with_slot(server, Slot::kill);
    }

    /// Restarts a killed engine with empty state.
    pub fn restart(&self, server: &str) {
        self.with_slot(server, Slot::restart);
    }

    /// Makes an engine hang, with its connections open but silent, or resumes it.
    pub fn set_hung(&self, server: &str, hung: bool) {
        self.with_slot(server, |slot| slot.set_hung(hung));
    }

    /// Whether an engine exists and has not been killed.
    pub fn is_alive(&self, server: &str) -> bool {
        self.with_slot(server, Slot::is_alive).unwrap_or(false)
    }

    /// Adds a delay to an engine's reports and cache events, and optionally drops all cache events.
    pub fn set_publication_faults(&self, server: &str, extra_delay: Duration, drop_events: bool) {
        let extra_us = extra_delay.as_micros() as u64;
        self.with_slot(server, |slot| {
            slot.set_publication_faults(extra_us, drop_events)
        });
    }

    /// The current state of an engine; `None` if it was killed or hangs.
    pub fn status(&self, server: &str) -> Option<EngineReport> {
        self.with_slot(server, |slot| slot.status().ok()).flatten()
    }

    /// Records of all engines.
    pub fn records(&self) -> Vec<RunRecord> {
        let slots = self.slots.read().clone();
        slots.iter().flat_map(|slot| slot.records()).collect()
    }

    /// Records of one engine.
    pub fn engine_records(&self, server: &str) -> Vec<RunRecord> {
        self.with_slot(server, Slot::records).unwrap_or_default()
    }

    /// Number of records dropped because of the limit. If it is not 0, checks over the records are
    /// incomplete.
    pub fn records_dropped(&self) -> u64 {
        let slots = self.slots.read().clone();
        slots.iter().map(|slot| slot.records_dropped()).sum()
    }

    /// Orders received by all engines.
    pub fn orders(&self) -> Vec<OrderRecord> {
        let slots = self.slots.read().clone();
        slots.iter().flat_map(|slot| slot.orders()).collect()
    }

    /// Meter totals of one engine.
    pub fn meter(&self, server: &str) -> MeterSummary {
        let summed = self.with_slot(server, |slot| slot.with_meters(sum));
        summed.unwrap_or_default()
    }

    /// Meter totals of all engines.
    pub fn meters(&self) -> MeterSummary {
        let slots = self.slots.read().clone();
        let mut total = MeterSummary::default();
        for slot in &slots {
            total.merge(&slot.with_meters(sum));
        }
        total
    }

    /// Batch size samples of one engine, those before restarts included.
    pub fn samples(&self, server: &str) -> Vec<Sample> {
        let all = |meters: &[&Meter]| {
            let samples = meters.iter().flat_map(|meter| meter.samples());
            samples.copied().collect()
        };
        let samples = self.with_slot(server, |slot| slot.with_meters(all));
        samples.unwrap_or_default()
    }

    /// Stops the HTTP server and the driver threads.
    pub fn stop(&self) {
        self.server.stop();
        let drivers = std::mem::take(&mut *self.drivers.lock());
        for (wakeups, _) in &drivers {
            wakeups.stop();
        }
        for (_, thread) in drivers {
            // A panic of the thread is ignored here.
            let _ = thread.join();
        }
    }

    fn with_slot<R>(&self, server: &str, read: impl FnOnce(&Slot) -> R) -> Option<R> {
        let slot = self.by_name.read().get(server).cloned();
        slot.map(|slot| read(&slot))
    }
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

impl MeterSummary {
    pub fn merge(&mut self, other: &MeterSummary) {
        self.idle_tokens += other.idle_tokens;
        self.batch_tokens += other.batch_tokens;
        self.online_tokens += other.online_tokens;
        self.steps += other.steps;
        self.online_step_ms += other.online_step_ms;
        self.online_alone_ms += other.online_alone_ms;
        self.stalled_us += other.stalled_us;
        self.probe.merge(&other.probe);
        self.usual_probe.merge(&other.usual_probe);
    }
}

fn sum(meters: &[&Meter]) -> MeterSummary {
    let mut total = MeterSummary::default();
    for meter in meters {
        let (online_step_ms, online_alone_ms) = meter.online_step_ms();
        total.merge(&MeterSummary {
            idle_tokens: meter.idle_tokens(),
            batch_tokens: meter.batch_tokens(),
            online_tokens: meter.online_tokens(),
            steps: meter.steps(),
            online_step_ms,
            online_alone_ms,
            stalled_us: meter.stalled_us(),
            probe: meter.probe().clone(),
            usual_probe: meter.usual_probe().clone(),
        });
    }
    total
}

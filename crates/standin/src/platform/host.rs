//! Runs the simulated platform services and provides a handle to control them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::{App, HttpServer, web};
use bytes::Bytes;
use dappleyard_store::{Changes, Machine, Row, StoreError, Transaction};
use parking_lot::Mutex;
use tokio::sync::watch;

use super::faults::{Fault, Faults, Service};
use super::http;
use super::machines::MachineState;
use super::objects::ObjectState;
use super::settings::PlatformStandInSettings;
use super::tables::{CallCounts, ConfigurationChange, HistoryRow, TableState};
use super::token_bucket::TokenBucket;
use super::weights::WeightState;
use crate::engine::host::WeightSource;
use crate::server::{self, RunningServer};

/// State of all services. No two of its locks are held at the same time.
pub(super) struct State {
    started: Instant,
    settings: PlatformStandInSettings,
    pub(super) faults: Faults,
    pub(super) tables: Mutex<TableState>,
    pub(super) objects: Mutex<ObjectState>,
    machines: Mutex<MachineState>,
    weights: Mutex<WeightState>,
    table_limit: Mutex<TokenBucket>,
    object_limit: Mutex<TokenBucket>,
    revision: watch::Sender<u64>,
}

impl State {
    fn new(settings: PlatformStandInSettings) -> State {
        let weights = WeightState::new(
            settings.weight_megabytes,
            settings.weight_megabytes_per_s,
            &settings.broken_versions,
        );
        let tables = TokenBucket::new(settings.table_calls_per_s, settings.table_calls_burst);
        let objects = TokenBucket::new(settings.object_calls_per_s, settings.object_calls_burst);
        State {
            started: Instant::now(),
            faults: Faults::new(settings.seed),
            tables: Mutex::new(TableState::new(&settings)),
            objects: Mutex::new(ObjectState::new(settings.maximum_object_bytes)),
            machines: Mutex::new(MachineState::new(settings.machine_list_lag_ms * 1_000)),
            weights: Mutex::new(weights),
            table_limit: Mutex::new(tables),
            object_limit: Mutex::new(objects),
            revision: watch::Sender::new(0),
            settings,
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Configured latency of a call.
    pub(super) fn latency(&self, service: Service) -> Duration {
        let milliseconds = match service {
            Service::Tables => self.settings.table_latency_ms,
            Service::Objects => self.settings.object_latency_ms,
            Service::Machines => 0,
        };
        Duration::from_millis(milliseconds)
    }

    /// Checks the rate limit of a service. The error is the time to wait, milliseconds.
    pub(super) fn admit(&self, service: Service) -> Result<(), u32> {
        let now_us = self.now_us();
        match service {
            Service::Tables => self.table_limit.lock().take(now_us),
            Service::Objects => self.object_limit.lock().take(now_us),
            Service::Machines => Ok(()),
        }
    }

    /// Applies a transaction and notifies readers that wait for changes.
    pub(super) fn transact(&self, transaction: Transaction) -> Result<u64, StoreError> {
        let revision = self.tables.lock().transact(transaction)?;
        self.revision.send_replace(revision);
        Ok(revision)
    }

    /// Changes under a prefix after a revision. Waits up to `wait` if there are none (long polling).
    pub(super) async fn changes(&self, prefix: &str, after: u64, wait: Duration) -> Changes {
        let mut revision = self.revision.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        self.tables.lock().count_read(prefix);
        loop {
            revision.mark_unchanged();
            let changes = self.tables.lock().changes(prefix, after);
            if !changes.rows.is_empty() || changes.compacted {
                return changes;
            }
            let changed = tokio::time::timeout_at(deadline, revision.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return changes;
            }
        }
    }

    /// The machine list as clients see it, delayed by the lag.
    pub(super) fn visible_machines(&self) -> Vec<Machine> {
        let now_us = self.now_us();
        self.machines.lock().visible(now_us)
    }
}

/// Starts the simulated platform services.
pub struct PlatformStandIn;

impl PlatformStandIn {
    /// Starts the services on their own threads; the caller needs no runtime.
    pub fn start(settings: PlatformStandInSettings) -> std::io::Result<PlatformHandle> {
        let listen = settings.listen.clone();
        let workers = settings.workers.max(1);
        let maximum_object = settings.maximum_object_bytes;
        let state = Arc::new(State::new(settings));
        let shared = state.clone();
        let server = server::start("platform-http", move || {
            let data = web::Data::new(shared);
            HttpServer::new(move || {
                App::new()
                    .app_data(data.clone())
                    .configure(|config| http::configure(config, maximum_object))
            })
            .workers(workers)
            .keep_alive(server::KEEP_ALIVE)
            .disable_signals()
            .bind(listen.as_str())
            .map(|server| (server.addrs(), server.run()))
        })?;
        Ok(PlatformHandle {
            state,
            server: Arc::new(server),
        })
    }
}

/// Handle of running platform services: fault injection, and direct access to rows, objects and
/// counters. Clones share the services.
#[derive(Clone)]
pub struct PlatformHandle {
    state: Arc<State>,
    server: Arc<RunningServer>,
}

impl PlatformHandle {
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Base URL of the table service.
    pub fn tables_url(&self) -> String {
        format!("http://{}/tables", self.address())
    }

    /// Base URL of the object store.
    pub fn objects_url(&self) -> String {
        format!("http://{}/objects", self.address())
    }

    /// URL of the machine list.
    pub fn machines_url(&self) -> String {
        format!("http://{}/machines", self.address())
    }

    /// Sets the fault of a service; `Fault::default()` clears it.
    pub fn set_fault(&self, service: Service, fault: Fault) {
        self.state.faults.set(service, fault);
    }

    /// Changes the rate limit of the table service, calls per second.
    pub fn set_table_rate(&self, per_s: f64, burst: f64) {
        self.state.table_limit.lock().set(per_s, burst);
    }

    /// Changes the rate limit of the object store, calls per second.
    pub fn set_object_rate(&self, per_s: f64, burst: f64) {
        self.state.object_limit.lock().set(per_s, burst);
    }

    /// Applies a transaction directly, bypassing faults and rate limits.
    pub fn transact(&self, transaction: Transaction) -> Result<u64, StoreError> {
        self.state.transact(transaction)
    }

    /// Reads a row directly.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state.tables.lock().peek(key)
    }

    /// Reads all rows under a prefix directly.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let tables = self.state.tables.lock();
        tables.peek_range(prefix, "", usize::MAX)
    }

    /// Revision of the table service.
    pub fn revision(&self) -> u64 {
        self.state.tables.lock().revision()
    }

    /// Compacts the change feed up to a revision.
    pub fn compact_to(&self, revision: u64) {
        self.state.tables.lock().compact_to(revision);
    }

    /// Calls of the table service by key class.
    pub fn table_counts(&self) -> BTreeMap<String, CallCounts> {
        self.state.tables.lock().counts()
    }

    /// Applied configuration changes, oldest first.
    pub fn configuration_log(&self) -> Vec<ConfigurationChange> {
        self.state.tables.lock().configuration()
    }

    /// All writes under the prefixes that the feed still holds.
    pub fn history(&self, prefixes: &[&str]) -> Vec<HistoryRow> {
        let started = self.state.started;
        self.state.tables.lock().history(prefixes, started)
    }

    /// Reads an object directly.
    pub fn object(&self, name: &str) -> Option<Bytes> {
        self.state.objects.lock().peek(name)
    }

    /// Names and sizes of objects under a prefix.
    pub fn objects(&self, prefix: &str) -> Vec<(String, u64)> {
        self.state.objects.lock().list(prefix, "", usize::MAX)
    }

    /// Number of objects created and of reads so far.
    pub fn object_counts(&self) -> (u64, u64) {
        self.state.objects.lock().counts()
    }

    /// Replaces the machine list and its history; clients see it without lag.
    pub fn set_initial_machines(&self, machines: Vec<Machine>) {
        self.state.machines.lock().set_initial(machines);
    }

    /// Adds or replaces a machine; clients see it after the lag.
    pub fn put_machine(&self, machine: Machine) {
        let now_us = self.state.now_us();
        self.state.machines.lock().change(now_us, |list| {
            list.insert(machine.name.clone(), machine);
        });
    }

    /// Removes a machine; clients see it after the lag.
    pub fn remove_machine(&self, name: &str) {
        let now_us = self.state.now_us();
        self.state.machines.lock().change(now_us, |list| {
            list.remove(name);
        });
    }

    /// Sets whether a machine is leaving; clients see it after the lag.
    pub fn set_leaving(&self, name: &str, leaving: bool) {
        let now_us = self.state.now_us();
        self.state.machines.lock().change(now_us, |list| {
            if let Some(machine) = list.get_mut(name) {
                machine.leaving = leaving;
            }
        });
    }

    /// Changes the lag of the machine list.
    pub fn set_machine_lag(&self, lag: Duration) {
        let lag_us = lag.as_micros() as u64;
        self.state.machines.lock().set_lag(lag_us);
    }

    /// The current machine list, without lag.
    pub fn machines(&self) -> Vec<Machine> {
        self.state.machines.lock().current().into_values().collect()
    }

    /// Sets whether loading a version fails.
    pub fn set_broken_version(&self, version: &str, broken: bool) {
        self.state.weights.lock().set_broken(version, broken);
    }

    /// Number of weight loads started.
    pub fn weight_loads(&self) -> u64 {
        self.state.weights.lock().loads()
    }

    /// The weight store, for [`crate::engine::host::HostOptions`].
    pub fn weights(&self) -> Arc<dyn WeightSource> {
        Arc::new(Weights(self.state.clone()))
    }

    /// Stops the HTTP server and closes open connections.
    pub fn stop(&self) {
        self.server.stop();
    }
}

struct Weights(Arc<State>);

impl WeightSource for Weights {
    fn load(&self, _service: &str, version: &str) -> Result<Duration, String> {
        let now_us = self.0.now_us();
        let time_us = self.0.weights.lock().load(now_us, version)?;
        Ok(Duration::from_micros(time_us))
    }
}

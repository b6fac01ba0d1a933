//! Live state of the servers this node owns: the meeting point of the online and the batch path.
//!
//! The owner counts what it has itself in flight on each server, which corrects the engine's lagged
//! reports. The online path announces each arrival and end; the batch path is woken by
//! [`ServersTable::subscribe`] and adapts its width at once.

use std::collections::BTreeMap;

use dappleyard_decide::time::Millis;
use dappleyard_engine::EngineReport;
use dappleyard_wire::ids::{RequestId, ServerId};
use tokio::sync::watch;

use crate::directory::ServerEntry;
use crate::rank::{Rank, Ranked};

/// One sequence that this node has in flight on a server.
#[derive(Debug, Clone, PartialEq)]
pub struct InFlight {
    /// Tokens that it may still hold in KV memory: prompt and the most it may generate.
    pub tokens: u32,
    /// Prompt tokens still to be prefilled when it was sent.
    pub prefill_tokens: u32,
    /// When it was sent.
    pub since: Millis,
    /// The first output token has come back.
    pub started: bool,
}

/// State of one owned server.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnedServer {
    /// Who and where it is.
    pub entry: ServerEntry,
    /// Last report and when it came.
    pub report: Option<(EngineReport, Millis)>,
    /// Online sequences in flight from this node.
    pub online: BTreeMap<RequestId, InFlight>,
    /// Online sequences that other nodes have there, as far as reports show them.
    pub foreign_online: u32,
    /// Batch sequences in flight from this node.
    pub batch: BTreeMap<RequestId, InFlight>,
    /// Most batch sequences at present, as the width control decided.
    pub batch_width: u32,
    /// Online work is kept off the server: it is in the batch share of the policy `static-split`.
    pub batch_only: bool,
    /// Time between two tokens that online streams of this server see, smoothed, milliseconds.
    pub online_step_ms: f64,
    /// Why the server takes no new work, with the time since when; `None` while it does.
    pub withdrawn: Option<(String, Millis)>,
    /// Calls to the engine that failed in a row.
    pub failures: u32,
    /// When the engine was last asked or told us that it takes new work.
    pub accepting_known_at: Millis,
}

impl OwnedServer {
    /// Version that the last report shows as loaded.
    pub fn version(&self) -> Option<&str> {
        let (report, _) = self.report.as_ref()?;
        report.model.as_ref().map(|model| model.version.as_str())
    }

    /// Whether new work may be sent.
    pub fn takes_new_work(&self) -> bool {
        self.withdrawn.is_none() && !self.entry.leaving && self.version().is_some()
    }

    /// Tokens held by online and batch sequences in flight.
    pub fn tokens_in_flight(&self) -> u32 {
        self.online
            .values()
            .chain(self.batch.values())
            .map(|flight| flight.tokens)
            .sum()
    }
}

/// Table of owned servers.
pub struct ServersTable {
    servers: Ranked<BTreeMap<ServerId, OwnedServer>>,
    online_changed: watch::Sender<u64>,
}

impl Default for ServersTable {
    fn default() -> Self {
        Self {
            servers: Ranked::new(Rank::Servers, BTreeMap::new()),
            online_changed: watch::Sender::new(0),
        }
    }
}

impl ServersTable {
    /// Makes `entries` the owned servers; state of those kept stays. Servers no longer owned are
    /// forgotten; streams that run on them go on.
    pub fn set_owned(&self, entries: Vec<ServerEntry>) {
        let mut servers = self.servers.lock();
        let mut next = BTreeMap::new();
        for entry in entries {
            let id = entry.server.clone();
            let state = match servers.remove(&id) {
                Some(state) => OwnedServer { entry, ..state },
                None => new_server(entry),
            };
            next.insert(id, state);
        }
        *servers = next;
    }

    /// Reads or changes one server's state; `None` when it is not owned.
    pub fn with<R>(
        &self,
        server: &ServerId,
        change: impl FnOnce(&mut OwnedServer) -> R,
    ) -> Option<R> {
        self.servers.lock().get_mut(server).map(change)
    }

    /// Reads all servers under one lock.
    pub fn read<R>(&self, reader: impl FnOnce(&BTreeMap<ServerId, OwnedServer>) -> R) -> R {
        reader(&self.servers.lock())
    }

    /// Copies of all servers' states.
    pub fn all(&self) -> Vec<OwnedServer> {
        self.servers.lock().values().cloned().collect()
    }

    /// Counts an online sequence as sent and wakes the batch path.
    pub fn begin_online(&self, server: &ServerId, request: &RequestId, flight: InFlight) {
        self.with(server, |state| state.online.insert(request.clone(), flight));
        self.wake();
    }

    /// Notes that the first token of an online sequence came back.
    pub fn started_online(&self, server: &ServerId, request: &RequestId) {
        self.with(server, |state| {
            if let Some(flight) = state.online.get_mut(request) {
                flight.started = true;
            }
        });
    }

    /// Counts an online sequence as ended and wakes the batch path.
    pub fn end_online(&self, server: &ServerId, request: &RequestId) {
        self.with(server, |state| state.online.remove(request));
        self.wake();
    }

    /// Counts a batch sequence as sent.
    pub fn begin_batch(&self, server: &ServerId, request: &RequestId, flight: InFlight) {
        self.with(server, |state| state.batch.insert(request.clone(), flight));
    }

    /// Counts a batch sequence as ended.
    pub fn end_batch(&self, server: &ServerId, request: &RequestId) {
        self.with(server, |state| state.batch.remove(request));
    }

    /// A receiver that sees a new value whenever online work comes or goes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.online_changed.subscribe()
    }

    fn wake(&self) {
        self.online_changed.send_modify(|version| *version += 1);
    }
}

fn new_server(entry: ServerEntry) -> OwnedServer {
    OwnedServer {
        entry,
        report: None,
        online: BTreeMap::new(),
        foreign_online: 0,
        batch: BTreeMap::new(),
        batch_width: 0,
        batch_only: false,
        online_step_ms: 0.0,
        withdrawn: None,
        failures: 0,
        accepting_known_at: Millis(0),
    }
}

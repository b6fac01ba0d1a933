//! Live state of the servers this node owns, shared by the online and the batch path.
//!
//! The owner tracks its own sequences in flight on each server, since the engine's reports lag. The online path records
//! each start and end of a sequence, which wakes the batch path through [`ServersTable::subscribe`] to adapt its width.

use std::collections::BTreeMap;

use dappleyard_decide::time::Millis;
use dappleyard_engine::EngineReport;
use dappleyard_wire::ids::{RequestId, ServerId};
use tokio::sync::watch;

use crate::directory::ServerEntry;
use crate::rank::{Rank, RankedMutex};

/// Sequence in flight from this node on a server.
#[derive(Debug, Clone, PartialEq)]
pub struct InFlight {
    /// Maximum number of tokens in KV memory: prompt plus generation limit.
    pub tokens: u32,
    /// Prompt tokens left to prefill when it was sent.
    pub prefill_tokens: u32,
    /// Time of sending.
    pub since: Millis,
    /// Whether the first output token has arrived.
    pub started: bool,
}

/// State of an owned server.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnedServer {
    /// Directory entry.
    pub entry: ServerEntry,
    /// Last report and the time of its arrival.
    pub report: Option<(EngineReport, Millis)>,
    /// Online sequences in flight from this node.
    pub online: BTreeMap<RequestId, InFlight>,
    /// Online sequences of other nodes, according to the reports.
    pub foreign_online: u32,
    /// Batch sequences in flight from this node.
    pub batch: BTreeMap<RequestId, InFlight>,
    /// Current limit on batch sequences, set by the width control.
    pub batch_width: u32,
    /// Whether the server is reserved for batch work by the `static-split` policy.
    pub batch_only: bool,
    /// Smoothed inter-token latency of online streams, milliseconds.
    pub online_step_ms: f64,
    /// Reason why the server takes no new work, and since when; `None` if it does.
    pub withdrawn: Option<(String, Millis)>,
    /// Consecutive failed calls to the engine.
    pub failures: u32,
    /// Time as of which the engine is known to take new work; zero if unknown.
    pub accepting_known_at: Millis,
}

impl OwnedServer {
    /// Model version loaded according to the last report.
    pub fn version(&self) -> Option<&str> {
        let (report, _) = self.report.as_ref()?;
        report.model.as_ref().map(|model| model.version.as_str())
    }

    /// Whether new work may be sent.
    pub fn takes_new_work(&self) -> bool {
        self.withdrawn.is_none() && !self.entry.leaving && self.version().is_some()
    }

    /// Sum of [`InFlight::tokens`] over online and batch sequences.
    pub fn tokens_in_flight(&self) -> u32 {
        self.online
            .values()
            .chain(self.batch.values())
            .map(|flight| flight.tokens)
            .sum()
    }
}

pub struct ServersTable {
    servers: RankedMutex<BTreeMap<ServerId, OwnedServer>>,
    online_changed: watch::Sender<u64>,
}

impl Default for ServersTable {
    fn default() -> Self {
        Self {
            servers: RankedMutex::new(Rank::Servers, BTreeMap::new()),
            online_changed: watch::Sender::new(0),
        }
    }
}

impl ServersTable {
    /// Sets the owned servers. State of servers that stay owned is kept; that of others is dropped, without affecting streams
    /// that still run on them.
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

    /// Reads or changes a server's state; `None` if it is not owned.
    pub fn with<R>(
        &self,
        server: &ServerId,
        change: impl FnOnce(&mut OwnedServer) -> R,
    ) -> Option<R> {
        self.servers.lock().get_mut(server).map(change)
    }

    /// Reads all servers under the lock.
    pub fn read<R>(&self, reader: impl FnOnce(&BTreeMap<ServerId, OwnedServer>) -> R) -> R {
        reader(&self.servers.lock())
    }

    /// Copies the states of all servers.
    pub fn all(&self) -> Vec<OwnedServer> {
        self.servers.lock().values().cloned().collect()
    }

    /// Records the start of an online sequence and wakes the batch path.
    pub fn begin_online(&self, server: &ServerId, request: &RequestId, flight: InFlight) {
        self.with(server, |state| state.online.insert(request.clone(), flight));
        self.wake();
    }

    /// Records the first token of an online sequence.
    pub fn started_online(&self, server: &ServerId, request: &RequestId) {
        self.with(server, |state| {
            if let Some(flight) = state.online.get_mut(request) {
                flight.started = true;
            }
        });
    }

    /// Records the end of an online sequence and wakes the batch path.
    pub fn end_online(&self, server: &ServerId, request: &RequestId) {
        self.with(server, |state| state.online.remove(request));
        self.wake();
    }

    /// Records the start of a batch sequence.
    pub fn begin_batch(&self, server: &ServerId, request: &RequestId, flight: InFlight) {
        self.with(server, |state| state.batch.insert(request.clone(), flight));
    }

    /// Records the end of a batch sequence.
    pub fn end_batch(&self, server: &ServerId, request: &RequestId) {
        self.with(server, |state| state.batch.remove(request));
    }

    /// Subscribes to starts and ends of online sequences; the value is a change counter.
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

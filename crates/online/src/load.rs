//! Load summary of this node, computed from the current state of its owned servers.

use std::collections::BTreeMap;

use dappleyard_decide::placement::{ServerCapacity, expected_tokens, expected_wait_ms};
use dappleyard_tables::servers::{InFlight, OwnedServer};
use dappleyard_tables::{Lifecycle, NodeTables};
use dappleyard_wire::messages::{NodeLoad, ServiceLoad};

use crate::dispatch;

/// Step time assumed for a server without measurements, milliseconds.
const DEFAULT_STEP_MS: f64 = 4.0;

/// Size of a typical request, for the expected wait in a summary, tokens.
const TYPICAL_TOKENS: u32 = 512;

/// Current load of this node.
pub fn node_load(tables: &NodeTables) -> NodeLoad {
    let configuration = tables.configuration.current();
    let services = tables.servers.read(|servers| {
        let mut services: BTreeMap<&str, ServiceSummary> = BTreeMap::new();
        for state in servers.values() {
            let draining = dispatch::is_draining(&configuration, &state.entry);
            if draining || !state.takes_new_work() {
                continue;
            }
            services.entry(service_of(state)).or_default().add(state);
        }
        services
            .into_iter()
            .map(|(service, sums)| sums.finish(service))
            .collect()
    });
    NodeLoad {
        node: tables.identity.node.to_string(),
        sequence: tables.clock.unix_ms(),
        services,
        draining: *tables.lifecycle.borrow() != Lifecycle::Ready,
    }
}

/// Service of the loaded model, otherwise the service that the server is assigned to.
pub(crate) fn service_of(state: &OwnedServer) -> &str {
    let loaded = state
        .report
        .as_ref()
        .and_then(|(report, _)| report.model.as_ref());
    loaded.map_or(state.entry.service.as_str(), |model| &model.service)
}

/// Capacity of a server for another online sequence. Online sequences are counted by this owner, since
/// the report lags.
pub(crate) fn room(state: &OwnedServer) -> ServerCapacity {
    let report = state.report.as_ref().map(|(report, _)| report);
    let unstarted = state.online.values().filter(|flight| !flight.started);
    let own = u32::try_from(state.online.len()).unwrap_or(u32::MAX);
    ServerCapacity {
        online: own + state.foreign_online,
        prefill_tokens: unstarted.map(|flight| flight.prefill_tokens).sum(),
        online_tokens: state.online.values().map(held_tokens).sum(),
        total_tokens: report.map_or(0, |report| report.total_blocks * report.block_tokens),
        maximum_sequences: report.map_or(0, |report| report.maximum_sequences),
        step_ms: step_ms(state),
    }
}

/// Expected number of KV tokens held by a sequence in flight.
fn held_tokens(flight: &InFlight) -> u32 {
    let output = flight.tokens.saturating_sub(flight.prefill_tokens);
    expected_tokens(flight.prefill_tokens, output)
}

/// Step time measured on online streams, otherwise the reported one, milliseconds.
pub(crate) fn step_ms(state: &OwnedServer) -> f64 {
    if state.online_step_ms > 0.0 {
        return state.online_step_ms;
    }
    match &state.report {
        Some((report, _)) if report.step_ms > 0.0 => report.step_ms,
        _ => DEFAULT_STEP_MS,
    }
}

#[derive(Default)]
struct ServiceSummary {
    servers: u32,
    online: u32,
    free: u32,
    shortest_wait_ms: Option<u32>,
    versions: BTreeMap<String, u32>,
}

impl ServiceSummary {
    fn add(&mut self, state: &OwnedServer) {
        let room = room(state);
        let wait_ms = expected_wait_ms(&room, TYPICAL_TOKENS);
        self.servers += 1;
        self.online += room.online;
        self.free += room.maximum_sequences.saturating_sub(room.online);
        self.shortest_wait_ms = Some(self.shortest_wait_ms.map_or(wait_ms, |w| w.min(wait_ms)));
        if let Some(version) = state.version() {
            *self.versions.entry(version.to_owned()).or_default() += 1;
        }
    }

    fn finish(self, service: &str) -> ServiceLoad {
        let mut versions: Vec<(String, u32)> = self.versions.into_iter().collect();
        versions.sort_by_key(|(_, servers)| std::cmp::Reverse(*servers));
        ServiceLoad {
            service: service.to_owned(),
            servers: self.servers,
            online_sequences: self.online,
            free_sequences: self.free,
            wait_ms: self.shortest_wait_ms.unwrap_or(0),
            versions: versions.into_iter().map(|(version, _)| version).collect(),
        }
    }
}

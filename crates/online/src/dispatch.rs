//! Server selection and engine calls at the owner stage.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_decide::freshness;
use dappleyard_decide::placement::{Candidate, expected_tokens, expected_wait_ms, rank};
use dappleyard_engine::{GenerateCall, Priority};
use dappleyard_tables::NodeTables;
use dappleyard_tables::configuration::Configuration;
use dappleyard_tables::directory::ServerEntry;
use dappleyard_tables::servers::{InFlight, OwnedServer};
use dappleyard_wire::hash::rendezvous_weight;
use dappleyard_wire::ids::{RequestId, ServerId};
use dappleyard_wire::{ErrorKind, Failure};

use crate::admit;
use crate::load;
use crate::place::{affinity, affinity_key};
use crate::receive::{EarlierRun, Incoming};
use crate::reports;
use crate::worker::OnlineWorker;

/// Server selected for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SelectedServer {
    pub server: ServerId,
    /// Base URL of its engine.
    pub base_url: String,
    /// Last known loaded version; empty if unknown.
    pub version: String,
}

/// Selects one of the owned servers that accept new work.
pub(crate) fn select_server(
    worker: &OnlineWorker,
    incoming: &Incoming,
    version: &str,
    excluded: &[ServerId],
) -> Result<SelectedServer, Failure> {
    let configuration = worker.tables.configuration.current();
    let best = worker.tables.servers.read(|owned| {
        let eligible = |state: &&OwnedServer| {
            !excluded.contains(&state.entry.server)
                && is_eligible(state, incoming, version)
                && !is_draining(&configuration, &state.entry)
        };
        let servers: Vec<&OwnedServer> = owned.values().filter(eligible).collect();
        best_server(&servers, incoming, worker.settings.affinity_bound_percent)
    });
    let Some((selected, wait_ms)) = best else {
        return Err(Failure::not_run(
            ErrorKind::Bounced,
            "this node owns no server that takes the request",
        ));
    };
    admit::check_wait(worker, incoming, wait_ms)?;
    Ok(selected)
}

/// Returns the best server and its expected wait in milliseconds.
fn best_server(
    servers: &[&OwnedServer],
    incoming: &Incoming,
    bound_percent: u32,
) -> Option<(SelectedServer, u32)> {
    let (key, has_key) = affinity_key(&incoming.request);
    let (prompt, output) = (incoming.request.prompt_tokens, incoming.request.max_tokens);
    let candidate = |state: &&OwnedServer| {
        let room = load::room(state);
        Candidate {
            weight: rendezvous_weight(key, state.entry.server.as_str()),
            servers: 1,
            sequences: room.online,
            wait_ms: expected_wait_ms(&room, expected_tokens(prompt, output)),
        }
    };
    let candidates: Vec<Candidate> = servers.iter().map(candidate).collect();
    let mut best = [0];
    if rank(&candidates, affinity(has_key, bound_percent), &mut best) == 0 {
        return None;
    }
    let state = servers[best[0]];
    let selected = SelectedServer {
        server: state.entry.server.clone(),
        base_url: state.entry.base_url.clone(),
        version: state.version().unwrap_or_default().to_owned(),
    };
    Some((selected, candidates[best[0]].wait_ms))
}

/// Whether the server, its hall or its zone is being drained.
pub(crate) fn is_draining(configuration: &Configuration, entry: &ServerEntry) -> bool {
    configuration.drains(entry)
}

fn is_eligible(state: &OwnedServer, incoming: &Incoming, version: &str) -> bool {
    let request = &incoming.request;
    let has_version = version.is_empty() || state.version() == Some(version);
    state.takes_new_work()
        && load::service_of(state) == request.service
        && has_version
        && has_adapter(state, &request.adapter)
}

fn has_adapter(state: &OwnedServer, adapter: &str) -> bool {
    let report = state.report.as_ref();
    let model = report.and_then(|(report, _)| report.model.as_ref());
    adapter.is_empty()
        || model.is_some_and(|model| model.adapters.iter().any(|loaded| loaded == adapter))
}

/// Whether the engine accepts new work. Requests its status if the last known state is too old.
pub(crate) async fn still_accepts(worker: &OnlineWorker, selected: &SelectedServer) -> bool {
    let now = worker.tables.clock.now();
    let bound = worker.settings.leaving_bound_ms;
    let known = worker.tables.servers.with(&selected.server, |state| {
        freshness::is_fresh(state.accepting_known_at, now, bound)
    });
    if known == Some(true) {
        return true;
    }
    worker.shared.metrics.status_asked.inc();
    let call_timeout = Duration::from_millis(worker.settings.engine_connect_timeout_ms);
    let status_call = worker.engine.status(&selected.base_url);
    match tokio::time::timeout(call_timeout, status_call).await {
        Ok(Ok(report)) => {
            let accepts = report.accepting && report.model.is_some();
            reports::apply_report(&worker.tables, &selected.server, report, now);
            accepts
        }
        Ok(Err(error)) => {
            reports::record_failure(&worker.tables, &selected.server, &error.to_string());
            false
        }
        Err(_) => {
            reports::record_failure(&worker.tables, &selected.server, "no status in time");
            false
        }
    }
}

/// Builds the engine call. A call that attaches to a stream never starts a new run.
pub(crate) fn engine_call(
    incoming: &Incoming,
    attempt: u32,
    offset: u32,
    earlier: &EarlierRun,
    attach: bool,
) -> GenerateCall {
    let request = &incoming.request;
    let attach_stream = if attach {
        earlier.engine_stream.clone()
    } else {
        String::new()
    };
    GenerateCall {
        request_id: request.request_id.clone(),
        attempt,
        service: request.service.clone(),
        version: earlier.version.clone(),
        adapter: request.adapter.clone(),
        prompt: request.prompt.clone(),
        prompt_tokens: request.prompt_tokens,
        prefix_hash: request.prefix_hash,
        prefix_tokens: request.prefix_tokens,
        max_tokens: request.max_tokens,
        priority: Priority::ONLINE,
        resume_offset: offset,
        attach_stream,
        attach_only: attach,
        stream: true,
    }
}

/// Counts a sequence as in flight on a server until it is dropped.
pub(crate) struct InFlightGuard {
    tables: Arc<NodeTables>,
    server: ServerId,
    flight: RequestId,
}

impl InFlightGuard {
    pub fn begin(
        tables: &Arc<NodeTables>,
        server: &ServerId,
        incoming: &Incoming,
        attempt: u32,
        offset: u32,
    ) -> InFlightGuard {
        let flight = RequestId::from(format!("{}#{attempt}", incoming.id));
        let in_flight = InFlight {
            tokens: incoming.tokens(),
            prefill_tokens: incoming.request.prompt_tokens.saturating_add(offset),
            since: tables.clock.now(),
            started: false,
        };
        tables.servers.begin_online(server, &flight, in_flight);
        InFlightGuard {
            tables: tables.clone(),
            server: server.clone(),
            flight,
        }
    }

    /// Marks the sequence as started: its first token was received.
    pub fn started(&self) {
        self.tables
            .servers
            .started_online(&self.server, &self.flight);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.tables.servers.end_online(&self.server, &self.flight);
    }
}

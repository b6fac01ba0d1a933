//! Polls the engine reports of owned servers, withdraws servers whose engines are draining or failing,
//! and publishes this node's load summary.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_decide::freshness;
use dappleyard_decide::time::Millis;
use dappleyard_engine::{Engine, EngineReport};
use dappleyard_settings::OnlineSettings;
use dappleyard_tables::NodeTables;
use dappleyard_tables::decisions::{Decision, DecisionKind, Subject};
use dappleyard_tables::servers::OwnedServer;
use dappleyard_wire::ids::ServerId;
use tokio::time::MissedTickBehavior;

use crate::load;

/// Consecutive failed calls after which a server is withdrawn.
const FAILURES_BEFORE_WITHDRAWAL: u32 = 2;

/// HTTP status returned by an engine that accepts no new work.
const DRAINING_STATUS: u16 = 503;

/// Own sequence counts kept per server, one per poll. They must cover the lag of the reports.
const OWN_COUNT_SAMPLES: usize = 10;

/// Starts a task on the current arbiter that polls the engines of the servers owned by this node and
/// publishes the node's load. The task never ends.
pub fn start_report_poller(
    tables: Arc<NodeTables>,
    settings: OnlineSettings,
    engine: Rc<dyn Engine>,
) {
    let poller = Rc::new(Poller {
        tables,
        engine,
        call_timeout: Duration::from_millis(settings.engine_connect_timeout_ms),
        polling: RefCell::default(),
        own_count_samples: RefCell::default(),
    });
    actix_rt::spawn(async move {
        let period = Duration::from_millis(settings.report_interval_ms.max(1));
        let mut ticks = tokio::time::interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            poller.poll_all();
            let now = poller.tables.clock.now();
            poller
                .tables
                .loads
                .put_node(load::node_load(&poller.tables), now);
        }
    });
}

struct Poller {
    tables: Arc<NodeTables>,
    engine: Rc<dyn Engine>,
    call_timeout: Duration,
    /// Servers with a poll in progress.
    polling: RefCell<BTreeSet<ServerId>>,
    /// Number of this node's own sequences on each server at recent polls.
    own_count_samples: RefCell<BTreeMap<ServerId, VecDeque<u32>>>,
}

impl Poller {
    fn poll_all(self: &Rc<Self>) {
        let targets = self.tables.servers.read(|servers| {
            servers
                .iter()
                .map(|(id, state)| {
                    let url = state.entry.base_url.clone();
                    (id.clone(), url, state.report.is_none(), state.online.len())
                })
                .collect::<Vec<_>>()
        });
        self.own_count_samples
            .borrow_mut()
            .retain(|id, _| targets.iter().any(|(target, ..)| target == id));
        for (server, base, first, own) in targets {
            self.sample_own_count(&server, own);
            if !self.polling.borrow_mut().insert(server.clone()) {
                continue;
            }
            let poller = self.clone();
            actix_rt::spawn(async move {
                poller.poll(&server, &base, first).await;
                poller.polling.borrow_mut().remove(&server);
            });
        }
    }

    fn sample_own_count(&self, server: &ServerId, own: usize) {
        let mut counts = self.own_count_samples.borrow_mut();
        let counts = counts.entry(server.clone()).or_default();
        if counts.len() == OWN_COUNT_SAMPLES {
            counts.pop_front();
        }
        counts.push_back(u32::try_from(own).unwrap_or(u32::MAX));
    }

    /// Requests the current status of a server without a report, and the published report of any other.
    async fn poll(&self, server: &ServerId, base: &str, first: bool) {
        let asked = self.tables.clock.now();
        let report_call = async {
            if first {
                self.engine.status(base).await
            } else {
                self.engine.report(base).await
            }
        };
        match tokio::time::timeout(self.call_timeout, report_call).await {
            Ok(Ok(report)) => {
                let own = self
                    .own_count_samples
                    .borrow()
                    .get(server)
                    .and_then(|c| c.iter().max().copied());
                let online = report.running_online + report.waiting_online;
                let foreign = online.saturating_sub(own.unwrap_or(0));
                apply_report(&self.tables, server, report, asked);
                self.tables
                    .servers
                    .with(server, |state| state.foreign_online = foreign);
            }
            Ok(Err(error)) => record_failure(&self.tables, server, &error.to_string()),
            Err(_) => record_failure(&self.tables, server, "no report in time"),
        }
    }
}

/// Stores a report or status requested at `asked`. A report older than the stored one is ignored.
pub(crate) fn apply_report(
    tables: &NodeTables,
    server: &ServerId,
    report: EngineReport,
    asked: Millis,
) {
    let now = tables.clock.now();
    let reported_at = freshness::valid_at(asked, u64::from(report.age_ms));
    let change = tables.servers.with(server, |state| {
        state.failures = 0;
        if reported_at < state.accepting_known_at {
            return None;
        }
        let change = accepting_change(state, report.accepting, reported_at, now);
        state.accepting_known_at = reported_at;
        state.report = Some((report, now));
        change
    });
    if let Some(Some(cause)) = change {
        record_decision(tables, server, cause, "as the engine says");
    }
}

fn accepting_change(
    state: &mut OwnedServer,
    accepting: bool,
    reported_at: Millis,
    now: Millis,
) -> Option<&'static str> {
    match (&state.withdrawn, accepting) {
        (None, false) => {
            state.withdrawn = Some(("the engine takes no new work".to_owned(), now));
            Some("takes no new work")
        }
        (Some((_, since)), true) if *since <= reported_at => {
            state.withdrawn = None;
            Some("takes new work again")
        }
        _ => None,
    }
}

/// Counts a failed call. After [`FAILURES_BEFORE_WITHDRAWAL`] consecutive failures the server is
/// withdrawn until its engine answers again.
pub(crate) fn record_failure(tables: &NodeTables, server: &ServerId, reason: &str) {
    let now = tables.clock.now();
    let withdrawn = tables.servers.with(server, |state| {
        state.failures += 1;
        let newly = state.failures >= FAILURES_BEFORE_WITHDRAWAL && state.withdrawn.is_none();
        if newly {
            state.withdrawn = Some((format!("the engine does not answer: {reason}"), now));
        }
        newly
    });
    if withdrawn == Some(true) {
        record_decision(tables, server, "does not answer", reason);
    }
}

/// Handles a refused call. A draining engine is withdrawn until a later report says otherwise; after any
/// other refusal the engine's status is requested before the next dispatch.
pub(crate) fn record_refusal(tables: &NodeTables, server: &ServerId, status: u16) {
    let now = tables.clock.now();
    let withdrawn = tables.servers.with(server, |state| {
        if status != DRAINING_STATUS {
            state.accepting_known_at = Millis(0);
            return false;
        }
        let newly = state.withdrawn.is_none();
        state.withdrawn = Some(("the engine refused a call: it leaves".to_owned(), now));
        newly
    });
    if withdrawn == Some(true) {
        record_decision(tables, server, "takes no new work", "it refused a call");
    }
}

fn record_decision(tables: &NodeTables, server: &ServerId, cause: &str, input: &str) {
    tracing::info!(%server, cause, input, "server state changed");
    tables.decisions.record(Decision {
        unix_ms: tables.clock.unix_ms(),
        node: tables.identity.node.to_string(),
        kind: DecisionKind::Withdrawn,
        subjects: vec![Subject::Server(server.to_string())],
        cause: cause.to_owned(),
        inputs: vec![("engine".to_owned(), input.to_owned())],
        outcome: "new work goes accordingly".to_owned(),
    });
}

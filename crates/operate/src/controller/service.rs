//! Reconciler of one service.

use std::collections::{BTreeMap, BTreeSet};

use dappleyard_decide::rollout::{Assignment, Target, assign};
use dappleyard_decide::time::Millis;
use dappleyard_decide::windows::{WindowState, service_state};
use dappleyard_engine::{EngineError, EngineOrder, OrderKind};
use dappleyard_tables::decisions::{DecisionKind, Subject};
use dappleyard_wire::messages::ServiceRow;

use crate::controller::ReconcilerDeps;
use crate::controller::authority::Authority;
use crate::controller::observe::Observations;
use crate::local::{LocalReport, local_report};
use crate::record::record;

/// HTTP status with which an engine rejects an order of an old epoch.
const STALE_ORDER_STATUS: u16 = 409;

/// Whether the controller still holds the service after a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundOutcome {
    /// The controller still holds the epoch, as far as it knows.
    Held,
    /// Another controller has raised the epoch.
    Lost,
}

/// Result of an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    Accepted,
    /// The engine refused the order or was unreachable.
    NotAccepted,
    /// The engine has seen a later epoch.
    Fenced,
}

pub struct ServiceController {
    pub(super) service: String,
    pub(super) authority: Authority,
    pub(super) observed: Observations,
    /// Time since which all canaries serve the canary version.
    pub(super) canaries_loaded_since: Option<Millis>,
    /// By server: time of the next load order, and orders sent since it last had the assigned
    /// version.
    pub(super) load_retries: BTreeMap<String, (Millis, u32)>,
    /// Servers that were ordered to reject new work; `None` before the row was read.
    pub(super) closed: Option<BTreeSet<String>>,
    /// Last recorded reason for a blocked load, to avoid repeated records.
    pub(super) last_held_reason: String,
}

impl ServiceController {
    pub fn new(service: &str, authority: Authority) -> ServiceController {
        ServiceController {
            service: service.to_owned(),
            authority,
            observed: Observations::default(),
            canaries_loaded_since: None,
            load_retries: BTreeMap::new(),
            closed: None,
            last_held_reason: String::new(),
        }
    }

    /// Runs one round: polls the servers, then orders changes toward the configured state.
    pub async fn round(&mut self, deps: ReconcilerDeps<'_>) -> RoundOutcome {
        let configuration = deps.tables.configuration.current();
        let Some(row) = configuration.services.get(&self.service) else {
            return RoundOutcome::Held;
        };
        let now_unix_s = deps.tables.clock.unix_ms() / 1000;
        let window = service_state(configuration.windows.values(), &self.service, now_unix_s);
        let target = rollout_target(row, window);
        self.observed.update_servers(deps.tables, &self.service);
        let priority_servers = self.priority_servers(&target);
        let failing = self.failing(deps, &target).await;
        self.observed
            .poll(deps.tables, deps.engine, &priority_servers, &failing)
            .await;
        if self.update_accepting(deps).await == RoundOutcome::Lost {
            return RoundOutcome::Lost;
        }
        if self.evaluate_canaries(deps, &target).await == RoundOutcome::Lost {
            return RoundOutcome::Lost;
        }
        let assignments = assign(&target, &self.observed.views());
        if self.order_loads(deps, row, &assignments, window).await == RoundOutcome::Lost {
            return RoundOutcome::Lost;
        }
        self.order_adapters(deps, row, &assignments).await
    }

    /// Servers to poll in every round: canaries, leaving servers and those without their assigned
    /// version.
    fn priority_servers(&self, target: &Target) -> BTreeSet<String> {
        let assigned = assign(target, &self.observed.views());
        let mut priority_servers: BTreeSet<String> = assigned
            .iter()
            .filter(|assignment| {
                let is_canary = !target.canary.is_empty() && assignment.version == target.canary;
                is_canary || self.version_of(&assignment.server) != assignment.version
            })
            .map(|assignment| assignment.server.clone())
            .collect();
        let drained = self.observed.all().filter(|observed| observed.view.leaving);
        priority_servers.extend(drained.map(|observed| observed.view.server.clone()));
        priority_servers
    }

    /// Servers whose owners report failed calls; only asked during a canary stage.
    async fn failing(&self, deps: ReconcilerDeps<'_>, target: &Target) -> BTreeSet<String> {
        if target.canary.is_empty() {
            return BTreeSet::new();
        }
        let owners: BTreeSet<&str> = self
            .observed
            .all()
            .filter(|observed| observed.view.version == target.canary)
            .filter_map(|observed| observed.entry.owner.as_ref())
            .map(|owner| owner.as_str())
            .collect();
        let responses = deps
            .peers
            .query_where::<LocalReport>("/admin/v1/local", |node| owners.contains(node))
            .await;
        let own = local_report(deps.tables);
        let reports = responses.responses.into_iter().chain([own]);
        reports
            .flat_map(|report| report.servers)
            .filter(|server| server.failures > 0)
            .map(|server| server.server)
            .collect()
    }

    pub(super) fn version_of(&self, server: &str) -> &str {
        self.observed
            .get(server)
            .map_or("", |observed| &observed.view.version)
    }

    /// Loads missing adapters on servers that serve their assigned version.
    async fn order_adapters(
        &mut self,
        deps: ReconcilerDeps<'_>,
        row: &ServiceRow,
        assignments: &[Assignment],
    ) -> RoundOutcome {
        let mut missing = Vec::new();
        for assignment in assignments {
            let Some(observed) = self.observed.get(&assignment.server) else {
                continue;
            };
            if observed.view.version != assignment.version || !observed.view.serves() {
                continue;
            }
            let wanted = row.adapters.iter();
            missing.extend(
                wanted
                    .filter(|adapter| !observed.adapters.contains(adapter))
                    .map(|adapter| (assignment.server.clone(), adapter.clone())),
            );
        }
        for (server, adapter) in missing.into_iter().take(deps.settings.load_concurrency) {
            let kind = OrderKind::LoadAdapter { adapter };
            let cause = "the service row names the adapter";
            if self.order(deps, &server, kind, cause).await == OrderOutcome::Fenced {
                return RoundOutcome::Lost;
            }
        }
        RoundOutcome::Held
    }

    /// Sends a fenced order to an engine and records the result.
    pub(super) async fn order(
        &mut self,
        deps: ReconcilerDeps<'_>,
        server: &str,
        kind: OrderKind,
        cause: &str,
    ) -> OrderOutcome {
        let Some(base) = self
            .observed
            .get(server)
            .map(|observed| observed.entry.base_url.clone())
        else {
            return OrderOutcome::NotAccepted;
        };
        let position = self.authority.next_position();
        let order = EngineOrder {
            epoch: position.epoch,
            sequence: position.sequence,
            kind,
        };
        let (name, description) = describe_order(&order.kind);
        let (order_outcome, outcome, outcome_text) = match deps.engine.order(&base, order).await {
            Ok(()) => (
                OrderOutcome::Accepted,
                "given",
                "the engine took it".to_owned(),
            ),
            Err(EngineError::Refused { status, reason }) if status == STALE_ORDER_STATUS => (
                OrderOutcome::Fenced,
                "fenced",
                format!("the engine refused it as old: {reason}"),
            ),
            Err(EngineError::Refused { reason, .. }) => (
                OrderOutcome::NotAccepted,
                "refused",
                format!("the engine refused it: {reason}"),
            ),
            Err(error) => (OrderOutcome::NotAccepted, "unreachable", error.to_string()),
        };
        deps.metrics
            .orders
            .with_label_values(&[name, outcome])
            .inc();
        record(deps.tables, DecisionKind::Ordered, cause)
            .about(Subject::Server(server.to_owned()))
            .about(Subject::Service(self.service.clone()))
            .input("order", description)
            .input("epoch", position.epoch)
            .input("sequence", position.sequence)
            .outcome(outcome_text);
        order_outcome
    }
}

/// Target state of the service. While a demand window is open or near, the replica limit is lifted.
fn rollout_target(row: &ServiceRow, window: WindowState) -> Target {
    Target {
        version: row.version.clone(),
        canary: row.canary.clone(),
        canary_percent: row.canary_percent,
        replicas: if window == WindowState::Closed {
            row.replicas
        } else {
            0
        },
    }
}

fn describe_order(kind: &OrderKind) -> (&'static str, String) {
    match kind {
        OrderKind::LoadVersion { version, .. } => ("load_version", format!("load {version}")),
        OrderKind::LoadAdapter { adapter } => ("load_adapter", format!("load adapter {adapter}")),
        OrderKind::SetAccepting { accepting: true } => {
            ("set_accepting", "take new work again".to_owned())
        }
        OrderKind::SetAccepting { accepting: false } => {
            ("set_accepting", "take no new work".to_owned())
        }
    }
}

//! One step of a confirmed drain: starts draining the servers that the disruption budgets allow,
//! updates the progress, and closes the plan once the servers are idle.

use std::collections::{BTreeMap, BTreeSet};

use dappleyard_decide::disruption::{
    Budget, BudgetContext, DisruptionDecision, Replica, ReplicaState, may_disrupt,
};
use dappleyard_settings::OperateSettings;
use dappleyard_store::{Expect, StoreError, TableStore, Transaction};
use dappleyard_wire::Failure;
use dappleyard_wire::ids::PlanId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{DrainRow, PlanPhase, PlanRow, ServiceRow};

use crate::head::ConfigurationHead;
use crate::intent::{DrainKind, DrainTarget};
use crate::plans::body::Progress;
use crate::plans::changes::{drain_row, drained_servers};
use crate::plans::disruptions::ServiceDisruptions;
use crate::plans::store::{StoredPlan, encoded};
use crate::snapshot::{decode, store_failure};
use crate::status::{FleetStatus, ServerStatus};

const SERVER_DRAIN_PREFIX: &str = "config/drain/server/";
const PAGE_SIZE: usize = 1_000;
/// Time after which all nodes are assumed to have applied a drain row.
const PROPAGATION_MS: u64 = 3_000;

/// Inputs of a drain step.
pub struct DrainView<'a> {
    pub status: &'a FleetStatus,
    /// Servers whose engine reports no requests or is unreachable.
    pub idle: &'a BTreeSet<String>,
    pub settings: &'a OperateSettings,
    pub unix_ms: u64,
}

/// Reads the drain rows of individual servers, keyed by server.
pub async fn server_drains(tables: &dyn TableStore) -> Result<BTreeMap<String, DrainRow>, Failure> {
    let mut drains = BTreeMap::new();
    let mut after = String::new();
    loop {
        let page = tables
            .range(SERVER_DRAIN_PREFIX, &after, PAGE_SIZE)
            .await
            .map_err(|error| store_failure(&error))?;
        for row in &page {
            let drain: DrainRow = decode(&row.key, &row.value)?;
            drains.insert(drain.name.clone(), drain);
        }
        match page.last() {
            Some(last) if page.len() == PAGE_SIZE => after.clone_from(&last.key),
            _ => return Ok(drains),
        }
    }
}

/// Result of a plan step.
#[derive(Debug, Clone, PartialEq)]
pub enum StepOutcome {
    /// The plan row was updated to this value.
    Advanced(PlanRow),
    /// Nothing to write.
    Unchanged,
    /// Another writer committed first; retry from the current rows.
    Contended,
}

/// Executes one step of a server, hall or zone drain.
pub async fn step(
    tables: &dyn TableStore,
    plan: &StoredPlan,
    target: &DrainTarget,
    view: &DrainView<'_>,
) -> Result<StepOutcome, Failure> {
    let drains = server_drains(tables).await?;
    let mut next = DrainStep::new(target, view, &drains);
    let services = next.services();
    let mut service_disruptions = Vec::new();
    for service in services {
        let mut disruptions = ServiceDisruptions::read(tables, &service).await?;
        let budget = budget(tables, &service).await?;
        disruptions.remove_settled(
            &next.done,
            view.settings.disruption_timeout_ms,
            view.unix_ms,
        );
        next.start_drains(&service, budget, &mut disruptions, &plan.row.id);
        service_disruptions.push(disruptions);
    }
    write(tables, plan, &next, &service_disruptions).await
}

async fn budget(tables: &dyn TableStore, service: &str) -> Result<Budget, Failure> {
    let key = keys::service(service);
    let row = tables
        .get(&key)
        .await
        .map_err(|error| store_failure(&error))?;
    let row: ServiceRow = match row {
        Some(row) => decode(&key, &row.value)?,
        None => ServiceRow::default(),
    };
    Ok(Budget::of_row(
        row.max_unavailable_zone,
        row.max_unavailable_total,
    ))
}

/// State of the servers of a drain, and the servers to drain in this step.
struct DrainStep<'a> {
    target: &'a DrainTarget,
    view: &'a DrainView<'a>,
    drains: &'a BTreeMap<String, DrainRow>,
    servers: Vec<&'a ServerStatus>,
    done: BTreeSet<String>,
    starting: Vec<String>,
    blocked_reason: String,
}

impl<'a> DrainStep<'a> {
    fn new(
        target: &'a DrainTarget,
        view: &'a DrainView<'a>,
        drains: &'a BTreeMap<String, DrainRow>,
    ) -> DrainStep<'a> {
        let servers: Vec<&ServerStatus> = drained_servers(target, view.status).collect();
        let mut next = DrainStep {
            target,
            view,
            drains,
            servers,
            done: BTreeSet::new(),
            starting: Vec::new(),
            blocked_reason: String::new(),
        };
        next.done = next
            .view
            .status
            .servers
            .iter()
            .filter(|server| next.is_done(server))
            .map(|server| server.server.clone())
            .collect();
        next
    }

    /// A server is done when its drain has propagated and its engine is idle.
    fn is_done(&self, server: &ServerStatus) -> bool {
        let Some(drain) = self.drains.get(&server.server) else {
            return false;
        };
        let age_ms = self.view.unix_ms.saturating_sub(drain.since_unix_ms);
        age_ms >= PROPAGATION_MS && self.view.idle.contains(&server.server)
    }

    fn services(&self) -> BTreeSet<String> {
        let servers = self.servers.iter();
        servers.map(|server| server.service.clone()).collect()
    }

    fn not_drained(&self, service: &str) -> Vec<&'a ServerStatus> {
        let servers = self.servers.iter().copied();
        servers
            .filter(|server| server.service == service)
            .filter(|server| !self.drains.contains_key(&server.server))
            .collect()
    }

    /// Maps a server to its budget state: a draining server is unavailable until it is idle, and
    /// not counted after that.
    fn replica(&self, server: &ServerStatus) -> Replica {
        let has_drain_row = self.drains.contains_key(&server.server);
        let drained_by_location = server.is_drained() && !has_drain_row;
        let state = if self.done.contains(&server.server) || drained_by_location {
            ReplicaState::Removed
        } else if server.serves() && !has_drain_row {
            ReplicaState::Healthy
        } else {
            ReplicaState::Unhealthy
        };
        Replica {
            server: server.server.clone(),
            zone: server.zone.clone(),
            state,
        }
    }

    fn start_drains(
        &mut self,
        service: &str,
        budget: Budget,
        disruptions: &mut ServiceDisruptions,
        plan: &str,
    ) {
        let all = self.view.status.servers.iter();
        let replicas: Vec<Replica> = all
            .filter(|server| server.service == service)
            .map(|server| self.replica(server))
            .collect();
        for server in self.not_drained(service) {
            let in_flight = disruptions.in_flight();
            let context = BudgetContext {
                replicas: &replicas,
                in_flight: &in_flight,
                timeout_ms: self.view.settings.disruption_timeout_ms,
                now_ms: self.view.unix_ms,
            };
            match may_disrupt(&self.replica(server), context, budget) {
                DisruptionDecision::Allowed | DisruptionDecision::AllowedUnhealthy => {
                    disruptions.add(&server.server, &server.zone, plan, self.view.unix_ms);
                    self.starting.push(server.server.clone());
                }
                DisruptionDecision::AlreadyInFlight => {
                    self.blocked_reason =
                        format!("server {} is being changed already", server.server);
                }
                DisruptionDecision::Denied(exhausted) => {
                    self.blocked_reason = exhausted.description()
                }
            }
        }
    }

    fn is_finished(&self) -> bool {
        let mut servers = self.servers.iter();
        servers.all(|server| self.done.contains(&server.server))
    }

    fn progress(&self) -> Progress {
        let draining: Vec<&ServerStatus> = self
            .servers
            .iter()
            .copied()
            .filter(|server| !self.done.contains(&server.server))
            .filter(|server| {
                self.drains.contains_key(&server.server) || self.starting.contains(&server.server)
            })
            .collect();
        let live = draining.iter().filter_map(|server| server.live.as_ref());
        let (online, batch) = live.fold((0, 0), |(online, batch), live| {
            (online + live.online, batch + live.batch)
        });
        let is_completed = |server: &&&ServerStatus| self.done.contains(&server.server);
        Progress {
            servers: self.servers.len(),
            done: self
                .servers
                .iter()
                .filter(is_completed)
                .map(|server| server.server.clone())
                .collect(),
            in_progress: draining
                .iter()
                .map(|server| server.server.clone())
                .collect(),
            online,
            batch,
            waiting_for: if self.starting.is_empty() {
                self.blocked_reason.clone()
            } else {
                String::new()
            },
        }
    }

    /// Replaces the per-server rows of a finished hall or zone drain with one row, so that machines
    /// added later are drained too.
    fn add_final_rows(&self, mut transaction: Transaction, plan: &str) -> Transaction {
        if self.target.kind == DrainKind::Server {
            return transaction;
        }
        let row = drain_row(
            self.target.kind.name(),
            &self.target.name,
            plan,
            self.view.unix_ms,
        );
        transaction = transaction.put(
            keys::drain(self.target.kind.name(), &self.target.name),
            encoded(&row),
        );
        let own = self
            .servers
            .iter()
            .filter_map(|server| self.drains.get(&server.server));
        own.filter(|drain| drain.plan_id == plan)
            .fold(transaction, |transaction, drain| {
                transaction.delete(keys::drain("server", &drain.name))
            })
    }
}

async fn write(
    tables: &dyn TableStore,
    plan: &StoredPlan,
    next: &DrainStep<'_>,
    service_disruptions: &[ServiceDisruptions],
) -> Result<StepOutcome, Failure> {
    let finished = next.is_finished();
    let row = next_row(plan, next, finished);
    let unchanged = next.starting.is_empty()
        && !finished
        && row.progress_json == plan.row.progress_json
        && !service_disruptions
            .iter()
            .any(ServiceDisruptions::is_changed);
    if unchanged {
        return Ok(StepOutcome::Unchanged);
    }
    let id = PlanId::from(&plan.row.id);
    let mut transaction = Transaction::default()
        .expect(keys::plan(&id), Expect::Revision(plan.revision))
        .put(keys::plan(&id), encoded(&row));
    for disruptions in service_disruptions
        .iter()
        .filter(|disruptions| disruptions.is_changed())
    {
        transaction = disruptions.write(transaction);
    }
    for server in &next.starting {
        let drain = drain_row("server", server, &plan.row.id, next.view.unix_ms);
        transaction = transaction.put(keys::drain("server", server), encoded(&drain));
    }
    if finished {
        transaction = next.add_final_rows(transaction.delete(keys::active_plan(&id)), &plan.row.id);
    }
    let changes_configuration =
        !next.starting.is_empty() || finished && next.target.kind != DrainKind::Server;
    if changes_configuration {
        let head = ConfigurationHead::read(tables)
            .await
            .map_err(|error| store_failure(&error))?;
        transaction = head.chain(transaction);
    }
    match tables.transact(transaction).await {
        Ok(_) => Ok(StepOutcome::Advanced(row)),
        // The next step reads the rows again, which resolves an ambiguous result.
        Err(StoreError::Conflict { .. } | StoreError::Ambiguous { .. }) => {
            Ok(StepOutcome::Contended)
        }
        Err(error) => Err(store_failure(&error)),
    }
}

fn next_row(plan: &StoredPlan, next: &DrainStep<'_>, finished: bool) -> PlanRow {
    let progress = next.progress();
    let (phase, message) = if finished {
        (
            PlanPhase::PlanDone,
            "nothing runs there any more".to_owned(),
        )
    } else if progress.waiting_for.is_empty() {
        let message = format!(
            "{} of {} servers are out",
            progress.done.len(),
            progress.servers
        );
        (PlanPhase::PlanRunning, message)
    } else {
        let message = format!("held back: {}", progress.waiting_for);
        (PlanPhase::PlanRunning, message)
    };
    let mut row = plan.with_phase(phase, &message, next.view.unix_ms);
    row.progress_json = serde_json::to_string(&progress).unwrap_or_default();
    row.step = u32::try_from(progress.done.len()).unwrap_or(u32::MAX);
    row
}

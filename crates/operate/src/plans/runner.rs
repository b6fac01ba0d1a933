//! Executes the steps of confirmed plans. Usually one node does this; two at the same time are safe
//! because every step is a transaction that compares the plan row.

use std::collections::BTreeSet;

use dappleyard_settings::OperateSettings;
use dappleyard_store::{Expect, StoreError, TableStore, Transaction};
use dappleyard_wire::Failure;
use dappleyard_wire::ids::PlanId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{PlanPhase, PlanRow, ServiceRow};

use crate::head::ConfigurationHead;
use crate::intent::{DrainKind, DrainTarget, Intent, Rollout};
use crate::plans::body::Progress;
use crate::plans::changes::drain_row;
use crate::plans::drain::{DrainView, StepOutcome, step};
use crate::plans::store::{StoredPlan, encoded, read_plan};
use crate::snapshot::{decode, store_failure};
use crate::status::FleetStatus;

/// Inputs of a plan step.
pub struct RunView<'a> {
    pub status: &'a FleetStatus,
    /// Servers whose engine reports no requests or is unreachable.
    pub idle: &'a BTreeSet<String>,
    pub settings: &'a OperateSettings,
    pub unix_ms: u64,
}

/// Executes the next step of a running plan.
pub async fn advance(
    tables: &dyn TableStore,
    id: &str,
    view: &RunView<'_>,
) -> Result<StepOutcome, Failure> {
    let plan = read_plan(tables, id).await?;
    if plan.row.phase() != PlanPhase::PlanRunning {
        return remove_from_index(tables, &plan).await;
    }
    match plan.intent()? {
        Intent::Drain(target) if target.kind == DrainKind::Node => {
            drain_node(tables, &plan, &target, view).await
        }
        Intent::Drain(target) => {
            let drain_view = DrainView {
                status: view.status,
                idle: view.idle,
                settings: view.settings,
                unix_ms: view.unix_ms,
            };
            step(tables, &plan, &target, &drain_view).await
        }
        Intent::Rollout(rollout) => track_rollout(tables, &plan, &rollout, view).await,
        _ => {
            write(
                tables,
                &plan,
                completed_row(&plan, "confirmed and written", view),
                Transaction::default(),
            )
            .await
        }
    }
}

/// Removes a finished plan from the index of running plans.
async fn remove_from_index(
    tables: &dyn TableStore,
    plan: &StoredPlan,
) -> Result<StepOutcome, Failure> {
    let key = keys::active_plan(&PlanId::from(&plan.row.id));
    let transaction = Transaction::default().delete(key);
    match tables.transact(transaction).await {
        Ok(_) => Ok(StepOutcome::Unchanged),
        Err(error) => Err(store_failure(&error)),
    }
}

/// Writes the drain row of a node and waits until the node is idle or has left the cluster.
async fn drain_node(
    tables: &dyn TableStore,
    plan: &StoredPlan,
    target: &DrainTarget,
    view: &RunView<'_>,
) -> Result<StepOutcome, Failure> {
    let key = keys::drain("node", &target.name);
    let known = tables
        .get(&key)
        .await
        .map_err(|error| store_failure(&error))?;
    if known.is_none() {
        let head = ConfigurationHead::read(tables)
            .await
            .map_err(|error| store_failure(&error))?;
        let row = drain_row("node", &target.name, &plan.row.id, view.unix_ms);
        let transaction = head.chain(
            Transaction::default()
                .expect(key.clone(), Expect::Absent)
                .put(key, encoded(&row)),
        );
        let next = plan.with_phase(PlanPhase::PlanRunning, "the node is told", view.unix_ms);
        return write(tables, plan, next, transaction).await;
    }
    let node = view
        .status
        .nodes
        .iter()
        .find(|node| node.node == target.name);
    let is_gone = node.is_none_or(|node| matches!(node.member.as_str(), "dead" | "left"));
    let empty = node.is_some_and(|node| node.lifecycle == "draining" && node.busy == 0);
    if is_gone || empty {
        let next = completed_row(plan, "the node runs nothing any more", view);
        return write(tables, plan, next, Transaction::default()).await;
    }
    let busy = node.map_or(0, |node| node.busy);
    let progress = Progress {
        in_progress: vec![target.name.clone()],
        waiting_for: format!("{busy} sequences still run from the node"),
        ..Progress::default()
    };
    write_progress(tables, plan, progress, view).await
}

/// Updates the progress of a rollout and closes its plan. The service's controller loads the
/// versions and evaluates the canaries.
async fn track_rollout(
    tables: &dyn TableStore,
    plan: &StoredPlan,
    rollout: &Rollout,
    view: &RunView<'_>,
) -> Result<StepOutcome, Failure> {
    let key = keys::service(&rollout.service);
    let row = tables
        .get(&key)
        .await
        .map_err(|error| store_failure(&error))?;
    let row: ServiceRow = match row {
        Some(row) => decode(&key, &row.value)?,
        None => ServiceRow::default(),
    };
    let in_canary_stage = row.canary == rollout.version;
    if !in_canary_stage && row.version != rollout.version {
        let message = format!(
            "taken back: {} has version {}",
            rollout.service, row.version
        );
        let next = plan.with_phase(PlanPhase::PlanFailed, &message, view.unix_ms);
        return write(tables, plan, next, Transaction::default()).await;
    }
    let progress = rollout_progress(rollout, in_canary_stage, view.status);
    let finished = !in_canary_stage && progress.done.len() == progress.servers;
    if finished {
        let message = format!("all {} servers carry {}", progress.servers, rollout.version);
        let mut next = completed_row(plan, &message, view);
        next.progress_json = serde_json::to_string(&progress).unwrap_or_default();
        return write(tables, plan, next, Transaction::default()).await;
    }
    write_progress(tables, plan, progress, view).await
}

fn rollout_progress(rollout: &Rollout, in_canary_stage: bool, status: &FleetStatus) -> Progress {
    let service_servers: Vec<_> = status
        .servers
        .iter()
        .filter(|server| server.service == rollout.service)
        .filter(|server| !matches!(server.state.as_str(), "drained" | "leaving" | "unknown"))
        .collect();
    let done = service_servers
        .iter()
        .filter(|server| server.version() == rollout.version);
    let loading = service_servers
        .iter()
        .filter(|server| server.state == "loading");
    Progress {
        servers: service_servers.len(),
        done: done.map(|server| server.server.clone()).collect(),
        in_progress: loading.map(|server| server.server.clone()).collect(),
        waiting_for: if in_canary_stage {
            "the canaries' health gate".to_owned()
        } else {
            String::new()
        },
        ..Progress::default()
    }
}

fn completed_row(plan: &StoredPlan, message: &str, view: &RunView<'_>) -> PlanRow {
    plan.with_phase(PlanPhase::PlanDone, message, view.unix_ms)
}

async fn write_progress(
    tables: &dyn TableStore,
    plan: &StoredPlan,
    progress: Progress,
    view: &RunView<'_>,
) -> Result<StepOutcome, Failure> {
    let json = serde_json::to_string(&progress).unwrap_or_default();
    if json == plan.row.progress_json {
        return Ok(StepOutcome::Unchanged);
    }
    let message = if progress.waiting_for.is_empty() {
        format!(
            "{} of {} servers are done",
            progress.done.len(),
            progress.servers
        )
    } else {
        format!("waits for {}", progress.waiting_for)
    };
    let mut row = plan.with_phase(PlanPhase::PlanRunning, &message, view.unix_ms);
    row.progress_json = json;
    write(tables, plan, row, Transaction::default()).await
}

/// Writes the plan row together with the changes of the step.
async fn write(
    tables: &dyn TableStore,
    plan: &StoredPlan,
    row: PlanRow,
    step: Transaction,
) -> Result<StepOutcome, Failure> {
    let id = PlanId::from(&plan.row.id);
    let mut transaction = step
        .expect(keys::plan(&id), Expect::Revision(plan.revision))
        .put(keys::plan(&id), encoded(&row));
    if row.phase() != PlanPhase::PlanRunning {
        transaction = transaction.delete(keys::active_plan(&id));
    }
    match tables.transact(transaction).await {
        Ok(_) => Ok(StepOutcome::Advanced(row)),
        Err(StoreError::Conflict { .. } | StoreError::Ambiguous { .. }) => {
            Ok(StepOutcome::Contended)
        }
        Err(error) => Err(store_failure(&error)),
    }
}

//! Background tasks of this crate on a node's control arbiter.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_engine::Engine;
use dappleyard_settings::OperateSettings;
use dappleyard_store::Platform;
use dappleyard_tables::decisions::{DecisionKind, Subject};
use dappleyard_tables::{Lifecycle, NodeTables};
use dappleyard_wire::Failure;
use tokio::task::JoinHandle;

use crate::controller;
use crate::describe::phase_name;
use crate::journal::{self, Journal};
use crate::metrics::Metrics;
use crate::own_drain::watch_own_drain;
use crate::peers::Peers;
use crate::plans::drain::StepOutcome;
use crate::plans::runner::{RunView, advance};
use crate::plans::store::{remove_older, running_ids};
use crate::preferred::is_preferred;
use crate::record::record;
use crate::status::{FleetStatus, gather};

/// Dependencies of the controllers, the plan runner and the journal.
pub struct OperateContext {
    pub tables: Arc<NodeTables>,
    pub settings: OperateSettings,
    pub platform: Platform,
    pub engine: Rc<dyn Engine>,
}

/// Handle of the running tasks.
pub struct OperateHandle {
    tasks: Vec<JoinHandle<()>>,
    journal: JoinHandle<()>,
    stopping: Rc<Cell<bool>>,
    wake: Rc<tokio::sync::Notify>,
}

impl OperateHandle {
    /// Stops the tasks and writes the remaining decision records.
    pub async fn stop(self) {
        self.stopping.set(true);
        for task in &self.tasks {
            task.abort();
        }
        self.wake.notify_one();
        let _ = self.journal.await;
    }
}

/// Starts the plan runner, the controllers and the journal on the calling arbiter.
pub fn start(context: OperateContext) -> OperateHandle {
    let context = Rc::new(context);
    let stopping = Rc::new(Cell::new(false));
    let wake = Rc::new(tokio::sync::Notify::new());
    let metrics = Metrics::register(&context.tables);
    let tasks = vec![
        actix_rt::spawn(run_plans(context.clone(), metrics.clone())),
        actix_rt::spawn(controller::run(context.clone(), metrics.clone())),
        actix_rt::spawn(watch_own_drain(context.tables.clone())),
        actix_rt::spawn(remove_expired(context.clone())),
    ];
    let journal = actix_rt::spawn(run_journal(
        context,
        metrics,
        stopping.clone(),
        wake.clone(),
    ));
    OperateHandle {
        tasks,
        journal,
        stopping,
        wake,
    }
}

const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
/// Limit on plans, and on journal objects, considered per cleanup round.
const CLEANUP_BATCH: usize = 200;

/// Removes plans and journal objects older than the retention time, on the preferred node.
async fn remove_expired(context: Rc<OperateContext>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        if !is_preferred(&context.tables, "plan-runner") {
            continue;
        }
        let retention_ms = context.settings.retention_s.saturating_mul(1_000);
        let before = context.tables.clock.unix_ms().saturating_sub(retention_ms);
        // Errors are ignored; the next round retries.
        let _ = remove_older(&*context.platform.tables, before, CLEANUP_BATCH).await;
        let _ = journal::remove_older(&*context.platform.objects, before, CLEANUP_BATCH).await;
    }
}

async fn run_plans(context: Rc<OperateContext>, metrics: Metrics) {
    let peers = Peers::new(context.tables.clone(), context.settings.peer_timeout_ms);
    let interval = Duration::from_millis(context.settings.reconcile_interval_ms.max(10));
    loop {
        tokio::time::sleep(interval).await;
        if is_preferred(&context.tables, "plan-runner")
            && let Err(failure) = advance_plans(&context, &peers, &metrics).await
        {
            tracing::debug!(%failure, "failed to advance the running plans");
        }
    }
}

async fn advance_plans(
    context: &OperateContext,
    peers: &Peers,
    metrics: &Metrics,
) -> Result<(), Failure> {
    let tables = &*context.platform.tables;
    let running = running_ids(tables).await?;
    metrics.plans_running.set(running.len() as i64);
    if running.is_empty() {
        return Ok(());
    }
    let status = gather(&context.tables, peers).await;
    let idle = idle_servers(context, &status).await;
    for id in running {
        let view = RunView {
            status: &status,
            idle: &idle,
            settings: &context.settings,
            unix_ms: context.tables.clock.unix_ms(),
        };
        let result = advance(tables, &id, &view).await;
        record_step(context, metrics, &id, &result);
    }
    Ok(())
}

fn record_step(
    context: &OperateContext,
    metrics: &Metrics,
    plan: &str,
    result: &Result<StepOutcome, Failure>,
) {
    let outcome = match result {
        Ok(StepOutcome::Advanced(_)) => "moved",
        Ok(StepOutcome::Unchanged) => "unchanged",
        Ok(StepOutcome::Contended) => "overtaken",
        Err(_) => "failed",
    };
    metrics.plan_steps.with_label_values(&[outcome]).inc();
    if let Ok(StepOutcome::Advanced(row)) = result {
        record(&context.tables, DecisionKind::PlanStep, row.message.clone())
            .about(Subject::Plan(plan.to_owned()))
            .input("servers done", row.step)
            .outcome(format!("the plan is {}", phase_name(row.phase())));
    }
}

/// Drained servers whose engine reports no requests or is unreachable.
async fn idle_servers(context: &OperateContext, status: &FleetStatus) -> BTreeSet<String> {
    let drained = status.servers.iter().filter(|server| server.is_drained());
    let checks = drained.map(|server| async {
        let id = server.server.as_str().into();
        let entry = context.tables.directory.get(&id)?;
        let busy = match context.engine.status(&entry.base_url).await {
            Ok(report) => {
                report.running_online
                    + report.running_batch
                    + report.waiting_online
                    + report.waiting_batch
            }
            Err(_) => 0,
        };
        (busy == 0).then(|| server.server.clone())
    });
    let results = futures::future::join_all(checks).await;
    results.into_iter().flatten().collect()
}

async fn run_journal(
    context: Rc<OperateContext>,
    metrics: Metrics,
    stopping: Rc<Cell<bool>>,
    wake: Rc<tokio::sync::Notify>,
) {
    let mut journal = Journal::new(context.tables.clone(), context.settings.journal_objects);
    let interval = Duration::from_millis(context.settings.journal_interval_ms.max(10));
    let objects = &*context.platform.objects;
    while !stopping.get() && *context.tables.lifecycle.borrow() != Lifecycle::Stopped {
        let _ = tokio::time::timeout(interval, wake.notified()).await;
        // A failed write is retried with the next one.
        let written = journal
            .write_if_due(objects, context.settings.journal_interval_ms)
            .await;
        let outcome = match written {
            Ok(false) => continue,
            Ok(true) => "written",
            Err(_) => "failed",
        };
        metrics.journal.with_label_values(&[outcome]).inc();
    }
    if let Err(error) = journal.flush(objects).await {
        tracing::warn!(%error, "decision records of the last interval were not written");
    }
}

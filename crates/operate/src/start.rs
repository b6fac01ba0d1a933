//! The parts of this crate that run on a node's control arbiter.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_engine::Engine;
use dappleyard_platform::Platform;
use dappleyard_settings::OperateSettings;
use dappleyard_tables::{Lifecycle, NodeTables};
use dappleyard_wire::hash::{hash_bytes, rendezvous_weight};
use dappleyard_wire::messages::MemberState;
use tokio::task::JoinHandle;

use crate::journal::Journal;
use crate::peers::Peers;
use crate::plans::runner::{RunView, advance};
use crate::plans::store::running_ids;
use crate::status::{FleetStatus, gather};

/// What the controllers, the plan runner and the journal need.
pub struct OperateContext {
    /// The node's tables.
    pub tables: Arc<NodeTables>,
    /// Settings.
    pub settings: OperateSettings,
    /// Platform, for the control arbiter.
    pub platform: Platform,
    /// Engines, for the control arbiter.
    pub engine: Rc<dyn Engine>,
}

/// The running parts.
pub struct OperateHandle {
    tasks: Vec<JoinHandle<()>>,
    journal: JoinHandle<()>,
    stopping: Rc<Cell<bool>>,
    wake: Rc<tokio::sync::Notify>,
}

impl OperateHandle {
    /// Stops controllers and plan runner, and writes the last decision records.
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
    let runner = actix_rt::spawn(run_plans(context.clone()));
    let journal = actix_rt::spawn(run_journal(context, stopping.clone(), wake.clone()));
    OperateHandle {
        tasks: vec![runner],
        journal,
        stopping,
        wake,
    }
}

/// Node that the rendezvous hash prefers for a resource among the live members that do not drain.
pub fn preferred_node(tables: &NodeTables, resource: &str) -> Option<String> {
    let key = hash_bytes(resource.as_bytes());
    let me = tables.identity.node.to_string();
    let own = tables.takes_new_work().then_some(me.clone());
    let members = tables.members.all().into_iter();
    let others = members
        .filter(|member| member.node != me && !member.draining)
        .filter(|member| member.state() == MemberState::MemberAlive)
        .map(|member| member.node);
    others
        .chain(own)
        .max_by_key(|node| rendezvous_weight(key, node))
}

/// Whether this node is the preferred one for a resource.
pub fn is_preferred(tables: &NodeTables, resource: &str) -> bool {
    preferred_node(tables, resource).is_some_and(|node| node == tables.identity.node.as_str())
}

async fn run_plans(context: Rc<OperateContext>) {
    let peers = Peers::new(context.tables.clone(), context.settings.peer_timeout_ms);
    let interval = Duration::from_millis(context.settings.reconcile_interval_ms.max(10));
    loop {
        tokio::time::sleep(interval).await;
        if is_preferred(&context.tables, "plan-runner")
            && let Err(failure) = look_at_plans(&context, &peers).await
        {
            tracing::debug!(%failure, "the plans could not be looked at");
        }
    }
}

async fn look_at_plans(
    context: &OperateContext,
    peers: &Peers,
) -> Result<(), dappleyard_wire::Failure> {
    let tables = &*context.platform.tables;
    let running = running_ids(tables).await?;
    if running.is_empty() {
        return Ok(());
    }
    let status = gather(&context.tables, &context.platform, peers).await;
    let idle = idle_servers(context, &status).await;
    for id in running {
        let view = RunView {
            status: &status,
            idle: &idle,
            settings: &context.settings,
            unix_ms: context.tables.clock.unix_ms(),
        };
        advance(tables, &id, &view).await?;
    }
    Ok(())
}

/// Drained servers whose engine runs nothing, or is gone.
async fn idle_servers(context: &OperateContext, status: &FleetStatus) -> BTreeSet<String> {
    let drained = status.servers.iter().filter(|server| server.is_drained());
    let looks = drained.map(|server| async {
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
    let looked = futures::future::join_all(looks).await;
    looked.into_iter().flatten().collect()
}

async fn run_journal(
    context: Rc<OperateContext>,
    stopping: Rc<Cell<bool>>,
    wake: Rc<tokio::sync::Notify>,
) {
    let mut journal = Journal::new(context.tables.clone(), context.settings.journal_objects);
    let interval = Duration::from_millis(context.settings.journal_interval_ms.max(10));
    let objects = &*context.platform.objects;
    while !stopping.get() && *context.tables.lifecycle.borrow() != Lifecycle::Stopped {
        let _ = tokio::time::timeout(interval, wake.notified()).await;
        // A failed write is tried again with the next one.
        let _ = journal
            .run(objects, context.settings.journal_interval_ms)
            .await;
    }
    let _ = journal.flush(objects).await;
}

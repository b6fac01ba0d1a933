//! The batch runner of a node, a set of tasks on the batch arbiter.
//!
//! - `feed` mirrors the active jobs
//! - `split` divides accepted jobs into chunk rows
//! - `claim` claims open chunks for this node's servers and `load` reads their input
//! - `dispatch` starts and pauses items on the servers and `run_item` runs a single attempt
//! - `at_most_once` marks items that must not be repeated before they start
//! - `outcome` records result lines and `commit` commits the result of a chunk
//! - `takeover` reopens chunks of failed nodes
//! - `cleanup` completes jobs, repairs chunk lists and removes rows of cancelled jobs
//! - `handback` returns chunks on a graceful shutdown

mod at_most_once;
mod cache;
mod claim;
mod cleanup;
mod commit;
mod dispatch;
mod feed;
mod handback;
mod load;
mod outcome;
mod run_item;
mod server;
mod split;
mod state;
mod takeover;
mod work;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use dappleyard_decide::chunks::Claimant;
use dappleyard_decide::time::Millis;
use dappleyard_engine::Engine;
use dappleyard_settings::BatchSettings;
use dappleyard_store::Platform;
use dappleyard_tables::NodeTables;
use dappleyard_tables::decisions::{Decision, DecisionKind, Subject};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

use crate::metrics::Metrics;
use state::{ChunkId, RunnerState};

/// Uptime before which a holder missing from the member table is not considered gone, milliseconds;
/// covers several rounds of gossip and of machine list updates.
const UNKNOWN_HOLDER_GRACE_MS: u64 = 15_000;

/// Dependencies of a batch runner.
pub struct BatchContext {
    /// Shared tables of the node.
    pub tables: Arc<NodeTables>,
    pub settings: BatchSettings,
    /// Platform services, accessed through the store gate.
    pub platform: Platform,
    /// Engine client.
    pub engine: Rc<dyn Engine>,
}

/// State shared by the runner's tasks, which all run on one thread.
pub(crate) struct Runner {
    tables: Arc<NodeTables>,
    settings: BatchSettings,
    platform: Platform,
    engine: Rc<dyn Engine>,
    metrics: Metrics,
    state: RefCell<RunnerState>,
    dispatch_wake: Notify,
    claim_wake: Notify,
    split_wake: Notify,
    draining: Cell<bool>,
    started_at: Millis,
    /// Chunk loads, item attempts, stream cancellations and commits; aborted when the handle is
    /// dropped.
    children: RefCell<JoinSet<()>>,
}

/// Handle of a batch runner; dropping it aborts all its tasks.
pub struct BatchHandle {
    runner: Rc<Runner>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts the batch runner on the calling arbiter.
pub fn start(context: BatchContext) -> BatchHandle {
    let metrics = Metrics::register(&context.tables.metrics);
    let started_at = context.tables.clock.now();
    let runner = Rc::new(Runner {
        tables: context.tables,
        settings: context.settings,
        platform: context.platform,
        engine: context.engine,
        metrics,
        state: RefCell::new(RunnerState::default()),
        dispatch_wake: Notify::new(),
        claim_wake: Notify::new(),
        split_wake: Notify::new(),
        draining: Cell::new(false),
        started_at,
        children: RefCell::new(JoinSet::new()),
    });
    let tasks = vec![
        actix_rt::spawn(feed::run(runner.clone())),
        actix_rt::spawn(split::run(runner.clone())),
        actix_rt::spawn(claim::run(runner.clone())),
        actix_rt::spawn(dispatch::run(runner.clone())),
        actix_rt::spawn(takeover::run(runner.clone())),
        actix_rt::spawn(cleanup::run(runner.clone())),
        actix_rt::spawn(handback::watch(runner.clone())),
    ];
    BatchHandle { runner, tasks }
}

impl BatchHandle {
    /// Hands back the chunks of this node so that other nodes can continue them; returns once none
    /// is held. The caller may drop the future to bound the time; other nodes take over what is
    /// left.
    pub async fn drain(&self) {
        self.runner.draining.set(true);
        handback::run(&self.runner).await;
    }
}

impl Drop for BatchHandle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.runner.children.borrow_mut().abort_all();
    }
}

impl Runner {
    /// Spawns a task that is aborted when the handle is dropped.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut children = self.children.borrow_mut();
        while children.try_join_next().is_some() {}
        children.spawn_local(task);
    }

    fn claimant(&self) -> Claimant {
        Claimant {
            node: self.tables.identity.node.as_str().to_owned(),
            incarnation: self.tables.identity.incarnation,
        }
    }

    fn takes_new_work(&self) -> bool {
        !self.draining.get() && self.tables.takes_new_work()
    }

    fn now_unix_s(&self) -> u64 {
        self.tables.clock.unix_ms() / 1_000
    }

    /// Whether a holder is considered gone. An earlier incarnation of this node always is. A node
    /// missing from the member table is not until this node has been up for
    /// [`UNKNOWN_HOLDER_GRACE_MS`].
    fn is_gone(&self, holder: &str, incarnation: u64) -> bool {
        let own = &self.tables.identity;
        if holder == own.node.as_str() {
            return incarnation != own.incarnation;
        }
        let up_ms = self.tables.clock.now().since(self.started_at);
        if self.tables.members.get(&holder.into()).is_none() && up_ms < UNKNOWN_HOLDER_GRACE_MS {
            return false;
        }
        self.tables.members.is_gone(holder, incarnation)
    }

    /// Removes a finished or stopped chunk and wakes the dispatcher and the claimer.
    fn remove_chunk(&self, chunk_id: &ChunkId) {
        self.state.borrow_mut().remove_chunk(chunk_id);
        self.dispatch_wake.notify_one();
        self.claim_wake.notify_one();
    }

    fn record_decision(&self, kind: DecisionKind, job: &str, cause: &str, outcome: String) {
        tracing::info!(node = %self.tables.identity.node, ?kind, job, cause, outcome);
        self.tables.decisions.record(Decision {
            unix_ms: self.tables.clock.unix_ms(),
            node: self.tables.identity.node.to_string(),
            kind,
            subjects: vec![Subject::Job(job.to_owned())],
            cause: cause.to_owned(),
            inputs: Vec::new(),
            outcome,
        });
    }
}

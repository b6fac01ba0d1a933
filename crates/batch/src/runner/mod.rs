//! The batch runner of a node: one set of tasks on the batch arbiter.
//!
//! - `feed` mirrors the jobs that are not finished,
//! - `split` cuts accepted jobs into chunk rows,
//! - `claim` takes open chunks for this node's servers, `load` reads their input,
//! - `dispatch` starts and pauses items on the servers, `run_item` follows one of them,
//! - `once` marks items that must not repeat,
//! - `settle` keeps result lines, `commit` makes the result of a chunk durable,
//! - `takeover` opens chunks of nodes that are gone, `janitor` removes what is left behind,
//! - `handback` gives chunks back on a planned stop.

mod cache;
mod claim;
mod commit;
mod dispatch;
mod feed;
mod handback;
mod janitor;
mod load;
mod once;
mod run_item;
mod server;
mod settle;
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
use state::{ChunkPlace, State};

/// Time after its start from which a node takes a holder that it has never heard of for gone,
/// milliseconds: several rounds of gossip and of the machine list.
const UNKNOWN_GONE_MS: u64 = 15_000;

/// What a batch runner works with.
pub struct BatchContext {
    /// Tables of the node.
    pub tables: Arc<NodeTables>,
    /// Settings.
    pub settings: BatchSettings,
    /// Platform, behind the store gate.
    pub platform: Platform,
    /// Client of the engines.
    pub engine: Rc<dyn Engine>,
}

/// Shared state of the runner's tasks, all on one thread.
pub(crate) struct Runner {
    tables: Arc<NodeTables>,
    settings: BatchSettings,
    platform: Platform,
    engine: Rc<dyn Engine>,
    metrics: Metrics,
    state: RefCell<State>,
    /// Wakes the dispatcher.
    dispatch_wake: Notify,
    /// Wakes the claimer.
    claim_wake: Notify,
    /// Wakes the splitter.
    split_wake: Notify,
    draining: Cell<bool>,
    started_at: Millis,
    /// Items under way and commits; they end with the runner.
    children: RefCell<JoinSet<()>>,
}

/// A running batch runner.
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
        state: RefCell::new(State::default()),
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
        actix_rt::spawn(janitor::run(runner.clone())),
        actix_rt::spawn(handback::watch(runner.clone())),
    ];
    BatchHandle { runner, tasks }
}

impl BatchHandle {
    /// Hands back what this node holds, so that other nodes go on with it; returns when nothing is
    /// held any more. Bounded by the caller, who may drop the future: whatever is then still held is
    /// taken over by other nodes.
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
    /// Runs a task that ends with the runner.
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

    /// Whether a holder is believed gone. An earlier start of this very node is. A node that this one
    /// has never heard of counts as gone only once this one has been up long enough to have heard of
    /// all that live.
    fn is_gone(&self, holder: &str, incarnation: u64) -> bool {
        let own = &self.tables.identity;
        if holder == own.node.as_str() {
            return incarnation != own.incarnation;
        }
        let up_ms = self.tables.clock.now().since(self.started_at);
        if self.tables.members.get(&holder.into()).is_none() && up_ms < UNKNOWN_GONE_MS {
            return false;
        }
        self.tables.members.is_gone(holder, incarnation)
    }

    /// Drops a chunk that is finished or was stopped, and wakes who may go on.
    fn forget(&self, place: &ChunkPlace) {
        self.state.borrow_mut().forget(place);
        self.dispatch_wake.notify_one();
        self.claim_wake.notify_one();
    }

    fn decide(&self, kind: DecisionKind, job: &str, cause: &str, outcome: String) {
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

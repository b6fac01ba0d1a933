//! The main loop of the job runner, on one thread: each pass compares the job rows and server loads with the jobs
//! that this node owns.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::Allowance;
use dappleyard_ingress::{Node, Upstreams};
use dappleyard_model::RowStore;
use tokio::sync::Notify;

use crate::order::RunEstimate;
use crate::owned::{OwnedJob, commit_results};
use crate::preempt::preempt;
use crate::release::release;
use crate::service_state::{ServiceState, refresh_services};
use crate::table::JobTable;
use dappleyard_clock::Instant;

/// Longest interval between passes on a node that owns jobs or suspects an owner.
pub(crate) const ACTIVE_TICK: Duration = Duration::from_millis(100);
/// Longest interval between passes on any other node. Failure detection takes 0.7 to 2.5 s, and most nodes of a
/// large fleet own no job.
const IDLE_TICK: Duration = Duration::from_millis(300);
/// Shortest interval between passes caused by waiting requests: a pass visits all items, and other nodes' loads are
/// not updated more often.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between passes above which this node counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);

pub struct Runner {
    pub(crate) node: Arc<Node>,
    pub(crate) table: Arc<JobTable>,
    pub(crate) store: Rc<dyn RowStore>,
    pub(crate) upstreams: Upstreams,
    /// Starts the next pass.
    pub(crate) wake: Notify,
    pub(crate) estimate: Cell<RunEstimate>,
    pub(crate) owned: RefCell<HashMap<String, Rc<OwnedJob>>>,
    /// Jobs that are being claimed or loaded.
    pub(crate) in_transition: RefCell<HashSet<String>>,
    /// When the owner of each job was first suspected.
    pub(crate) suspected: RefCell<HashMap<String, Instant>>,
    /// Times at which this node lost jobs to another one.
    pub(crate) taken: RefCell<HashMap<String, Instant>>,
    /// Start of the time without a stall of this node or a loss of the store.
    pub(crate) stable_since: Cell<Instant>,
    last_pass: Cell<Instant>,
    pub(crate) last_gc: Cell<Instant>,
    pub(crate) allowances: RefCell<HashMap<String, Allowance>>,
    pub(crate) services: RefCell<HashMap<String, ServiceState>>,
    stopping: Cell<bool>,
}

impl Runner {
    pub fn new(
        node: Arc<Node>,
        table: Arc<JobTable>,
        store: Rc<dyn RowStore>,
        upstreams: Upstreams,
    ) -> Rc<Self> {
        Rc::new(Self {
            node,
            table,
            store,
            upstreams,
            wake: Notify::new(),
            estimate: Cell::default(),
            owned: RefCell::default(),
            in_transition: RefCell::default(),
            suspected: RefCell::default(),
            taken: RefCell::default(),
            stable_since: Cell::new(Instant::now()),
            last_pass: Cell::new(Instant::now()),
            last_gc: Cell::new(Instant::now()),
            allowances: RefCell::default(),
            services: RefCell::default(),
            stopping: Cell::new(false),
        })
    }

    /// Runs passes until [`Runner::stop`] is called.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.table.changed(self.tick()) => {}
                () = self.wake.notified() => {}
                () = self.node.loads.wait_for_pressure() => {}
                () = self.wait_for_demand(), if self.has_jobs() => {}
            }
            if self.stopping.get() {
                return;
            }
            self.detect_stall();
            self.reconcile();
            self.start_commits();
            refresh_services(&self);
            preempt(&self);
            self.schedule();
            self.collect_garbage();
        }
    }

    /// Whether this node owns jobs, whose items may block online requests.
    fn has_jobs(&self) -> bool {
        !self.owned.borrow().is_empty()
    }

    /// Waits until online requests queue for a slot, at least [`MIN_DEMAND_INTERVAL`] after the last pass.
    async fn wait_for_demand(&self) {
        self.node.loads.demand.wait_for_pressure().await;
        let remaining = MIN_DEMAND_INTERVAL.saturating_sub(self.last_pass.get().elapsed());
        tokio::time::sleep(remaining).await;
    }

    /// Longest wait for the next pass.
    fn tick(&self) -> Duration {
        let idle = self.owned.borrow().is_empty() && self.suspected.borrow().is_empty();
        match idle && self.in_transition.borrow().is_empty() {
            true => IDLE_TICK,
            false => ACTIVE_TICK,
        }
    }

    /// Releases all jobs to the other nodes before the process exits.
    pub async fn stop(self: &Rc<Self>) {
        self.stopping.set(true);
        let jobs: Vec<Rc<OwnedJob>> = self.owned.borrow().values().cloned().collect();
        let released = jobs.iter().map(|job| self.release_job(job));
        futures::future::join_all(released).await;
    }

    /// Cancels the runs of a job, commits its finished results and releases it, within half of the grace period.
    async fn release_job(self: &Rc<Self>, job: &Rc<OwnedJob>) {
        for item in &mut job.state.borrow_mut().items {
            if let Some(active_run) = item.active_run.take() {
                active_run.abort();
            }
        }
        let until = Instant::now() + Duration::from_millis(self.node.settings.bounds.grace_ms / 2);
        while Instant::now() < until {
            let committing = std::mem::replace(&mut job.state.borrow_mut().committing, true);
            if committing {
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            }
            commit_results(self, job).await;
            if job.state.borrow().lost || !job.state.borrow().row.is_open() {
                return;
            }
            if release(self, job).await.is_ok() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Restarts the stable period after a stall of this node or a loss of the store.
    fn detect_stall(&self) {
        let now = Instant::now();
        let stalled = now.duration_since(self.last_pass.replace(now)) > STALL_THRESHOLD;
        if stalled || !self.table.is_fresh() {
            self.stable_since.set(now);
        }
    }

    /// Starts a task that commits, for each job that has something to commit and no such task.
    fn start_commits(self: &Rc<Self>) {
        for job in self.owned.borrow().values() {
            let mut state = job.state.borrow_mut();
            if !state.has_uncommitted() || state.committing || state.lost {
                continue;
            }
            state.committing = true;
            let (runner, job) = (self.clone(), job.clone());
            tokio::task::spawn_local(async move {
                commit_results(&runner, &job).await;
                runner.wake.notify_one();
            });
        }
    }

    /// Concurrent requests that a server supports; `None` if the server is unknown.
    pub(crate) fn slots(&self, server: &str) -> Option<u32> {
        self.node.view.server(server).map(|server| server.slots)
    }
}

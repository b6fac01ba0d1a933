//! Runs jobs on one thread: looks at rows, loads and its own jobs again and again.

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
use crate::service_state::{ServiceView, look};
use crate::table::JobTable;
use dappleyard_clock::Instant;

/// Longest time between two looks at the jobs of a node that owns some, or doubts an owner.
pub(crate) const TICK: Duration = Duration::from_millis(100);
/// The same for any other node: that an owner has fallen silent shows after 0.7 to 2.5 s, and most nodes of a large fleet own
/// no job.
const IDLE_TICK: Duration = Duration::from_millis(300);
/// Least time between two looks for requests that wait: loads of others are told no sooner, and each look goes over all items.
const LEAST_GAP: Duration = Duration::from_millis(20);
/// Time between two looks from which this node counts as paused.
const LONGEST_GAP: Duration = Duration::from_millis(500);

/// Runs jobs on one thread.
pub struct Runner {
    pub(crate) node: Arc<Node>,
    pub(crate) table: Arc<JobTable>,
    pub(crate) store: Rc<dyn RowStore>,
    pub(crate) upstreams: Upstreams,
    pub(crate) wake: Notify,
    pub(crate) estimate: Cell<RunEstimate>,
    pub(crate) owned: RefCell<HashMap<String, Rc<OwnedJob>>>,
    pub(crate) busy: RefCell<HashSet<String>>,
    pub(crate) suspected: RefCell<HashMap<String, Instant>>,
    /// When jobs were taken from this node by another one.
    pub(crate) taken: RefCell<HashMap<String, Instant>>,
    pub(crate) steady_since: Cell<Instant>,
    last_look: Cell<Instant>,
    pub(crate) cleaned: Cell<Instant>,
    pub(crate) allowances: RefCell<HashMap<String, Allowance>>,
    pub(crate) services: RefCell<HashMap<String, ServiceView>>,
    stopping: Cell<bool>,
}

impl Runner {
    /// A runner that owns no job yet.
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
            busy: RefCell::default(),
            suspected: RefCell::default(),
            taken: RefCell::default(),
            steady_since: Cell::new(Instant::now()),
            last_look: Cell::new(Instant::now()),
            cleaned: Cell::new(Instant::now()),
            allowances: RefCell::default(),
            services: RefCell::default(),
            stopping: Cell::new(false),
        })
    }

    /// Runs until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.table.changed(self.tick()) => {}
                () = self.wake.notified() => {}
                () = self.node.loads.pressed() => {}
                () = self.demand_pressed(), if self.has_items() => {}
            }
            if self.stopping.get() {
                return;
            }
            self.note_steadiness();
            self.reconcile();
            self.start_commits();
            look(&self);
            preempt(&self);
            self.schedule();
            self.clean();
        }
    }

    /// Whether this node runs jobs, whose items may be in the way of online requests.
    fn has_items(&self) -> bool {
        !self.owned.borrow().is_empty()
    }

    /// Waits until requests begin to wait for a slot, and a moment has passed since the last look.
    async fn demand_pressed(&self) {
        self.node.loads.demand.pressed().await;
        let rest = LEAST_GAP.saturating_sub(self.last_look.get().elapsed());
        tokio::time::sleep(rest).await;
    }

    /// Longest time until the next look.
    fn tick(&self) -> Duration {
        let idle = self.owned.borrow().is_empty() && self.suspected.borrow().is_empty();
        match idle && self.busy.borrow().is_empty() {
            true => IDLE_TICK,
            false => TICK,
        }
    }

    /// Gives all jobs back to the other nodes; the process is about to end.
    pub async fn stop(self: &Rc<Self>) {
        self.stopping.set(true);
        let jobs: Vec<Rc<OwnedJob>> = self.owned.borrow().values().cloned().collect();
        let released = jobs.iter().map(|job| self.give_back(job));
        futures::future::join_all(released).await;
    }

    async fn give_back(self: &Rc<Self>, job: &Rc<OwnedJob>) {
        for item in &mut job.state.borrow_mut().items {
            if let Some(task) = item.task.take() {
                task.abort();
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

    /// Notes a gap in this node's own running, or in the answers of the store.
    fn note_steadiness(&self) {
        let now = Instant::now();
        let gap = now.duration_since(self.last_look.replace(now)) > LONGEST_GAP;
        if gap || !self.table.is_fresh() {
            self.steady_since.set(now);
        }
    }

    fn start_commits(self: &Rc<Self>) {
        for job in self.owned.borrow().values() {
            let mut state = job.state.borrow_mut();
            if !state.has_news() || state.committing || state.lost {
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

    /// Requests that a server works on at once; `None` when it is gone.
    pub(crate) fn slots(&self, server: &str) -> Option<u32> {
        self.node.view.server(server).map(|server| server.slots)
    }
}

//! Claims jobs, and runs the items of those that this node owns.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::{Allowance, PeerStatus};
use dappleyard_ingress::{Metrics, Node, Upstreams, reached};
use dappleyard_model::{
    Configuration, Homes, Route, RouteKind, RowStore, ServerRecord, StoreError, Transaction,
};
use prost::Message;
use tokio::sync::Notify;

use crate::claiming::{Ground, may_claim, may_claim_away, preferred};
use crate::give_up::{give_up, is_over};
use crate::keys::job_key;
use crate::messages::JobRow;
use crate::order::{Rank, RunEstimate, rank};
use crate::owned::{Item, OwnedJob, Progress, Run, commit_results};
use crate::partials;
use crate::preempt::preempt;
use crate::read::{read_items, retry};
use crate::release::release;
use crate::run::{begin_work, run_item};
use crate::table::{JobTable, Known};
use crate::width::{ServerRoom, pick_server, room, within_reach};
use tokio::time::Instant;

/// Longest time between two looks at the jobs.
const TICK: Duration = Duration::from_millis(100);
/// Time between two looks from which this node counts as paused.
const LONGEST_GAP: Duration = Duration::from_millis(500);

/// An item that waits for its turn.
struct Turn {
    job: Rc<OwnedJob>,
    index: usize,
    route: Route,
    rank: Rank,
    avoid: Option<String>,
    last: Option<String>,
    homes: Homes,
}

/// Runs jobs on one thread.
pub struct Runner {
    pub(crate) node: Arc<Node>,
    pub(crate) table: Arc<JobTable>,
    pub(crate) store: Rc<dyn RowStore>,
    pub(crate) upstreams: Upstreams,
    pub(crate) wake: Notify,
    pub(crate) estimate: Cell<RunEstimate>,
    pub(crate) owned: RefCell<HashMap<String, Rc<OwnedJob>>>,
    busy: RefCell<HashSet<String>>,
    suspected: RefCell<HashMap<String, Instant>>,
    /// When jobs were taken from this node by another one.
    taken: RefCell<HashMap<String, Instant>>,
    steady_since: Cell<Instant>,
    last_look: Cell<Instant>,
    pub(crate) cleaned: Cell<Instant>,
    allowances: RefCell<HashMap<String, Allowance>>,
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
            stopping: Cell::new(false),
        })
    }

    /// Runs until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.table.changed(TICK) => {}
                () = self.wake.notified() => {}
                () = self.node.loads.pressed() => {}
            }
            if self.stopping.get() {
                return;
            }
            self.note_steadiness();
            self.reconcile();
            self.start_commits();
            preempt(&self);
            self.schedule();
            self.clean();
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

    /// Brings what is owned into line with the rows.
    fn reconcile(self: &Rc<Self>) {
        let own = (&self.node.settings.name, self.node.life);
        self.owned.borrow_mut().retain(|name, job| {
            let known = self.table.get(name);
            let kept = known.is_some_and(|known| {
                let row = &known.row;
                // The table may lag behind this node's own commits.
                let behind = known.revision < job.state.borrow().revision;
                behind || (row.is_open() && (&row.owner, row.life) == own)
            });
            let kept = kept && !job.state.borrow().lost;
            let done = !job.state.borrow().row.is_open();
            if !kept && !done {
                let mut taken = self.taken.borrow_mut();
                taken.insert(name.clone(), Instant::now());
            }
            if !kept || done {
                job.lose();
            }
            kept && !done
        });
        let open = self.table.select(JobRow::is_open);
        self.suspected
            .borrow_mut()
            .retain(|name, _| open.iter().any(|(job, _)| job == name));
        self.taken
            .borrow_mut()
            .retain(|name, _| open.iter().any(|(job, _)| job == name));
        for (name, known) in open {
            if self.owned.borrow().contains_key(&name) || self.busy.borrow().contains(&name) {
                continue;
            }
            if (&known.row.owner, known.row.life) == own {
                self.spawn_adopt(name, known);
            } else if self.should_claim(&name, &known.row) {
                self.spawn_claim(name, known);
            }
        }
    }

    fn should_claim(&self, job: &str, row: &JobRow) -> bool {
        if !self.table.is_fresh() || self.node.is_leaving() {
            return false;
        }
        let now = Instant::now();
        let owner = (!row.owner.is_empty()).then(|| self.node.peers.status(&row.owner, row.life));
        let mut suspected = self.suspected.borrow_mut();
        if matches!(owner, Some(PeerStatus::Ready | PeerStatus::Present)) {
            suspected.remove(job);
            return false;
        }
        let since = *suspected.entry(job.to_owned()).or_insert(now);
        let ground = Ground {
            owner,
            suspected: now.duration_since(since),
            steady: now.duration_since(self.steady_since.get()),
            answered: !self.node.health.is_lost(),
            taken: self.taken.borrow().get(job).map(Instant::elapsed),
        };
        let away = self.is_away(row) && !may_claim_away(ground.steady);
        may_claim(ground) && !away && self.is_preferred(job, row, &self.homes_of(row))
    }

    /// Whether a job was accepted in another region.
    fn is_away(&self, row: &JobRow) -> bool {
        let settings = &self.node.settings;
        let region = row.region.as_deref();
        region.is_some_and(|region| !self.node.view.ways().is_in(&settings.zone, region))
    }

    /// Whether this node is the one of all that should take a job.
    pub(crate) fn is_preferred(&self, job: &str, row: &JobRow, homes: &Homes) -> bool {
        let mut workers = self.node.peers.workers(true);
        let ways = self.node.view.ways();
        let region = row.region.as_deref();
        let is_home = |zone: &str| region.is_some_and(|region| ways.is_in(zone, region));
        workers.retain(|worker| homes.allow(&worker.zone, ways.places()) || is_home(&worker.zone));
        let preferred = preferred(job, &workers, is_home);
        preferred.is_some_and(|worker| worker.name == self.node.settings.name)
    }

    /// Notes a gap in this node's own running, or in the answers of the store.
    fn note_steadiness(&self) {
        let now = Instant::now();
        let gap = now.duration_since(self.last_look.replace(now)) > LONGEST_GAP;
        if gap || !self.table.is_fresh() {
            self.steady_since.set(now);
        }
    }

    fn spawn_claim(self: &Rc<Self>, name: String, known: Known) {
        self.busy.borrow_mut().insert(name.clone());
        let runner = self.clone();
        tokio::task::spawn_local(async move {
            let mut row = JobRow::clone(&known.row);
            let previous = std::mem::replace(&mut row.owner, runner.node.settings.name.clone());
            row.life = runner.node.life;
            row.epoch += 1;
            let key = job_key(&name);
            let transaction = Transaction::default()
                .expect(key.clone(), known.revision)
                .put(key, row.encode_to_vec());
            let outcome = runner.store.transact(&transaction).await;
            runner.node.log.write("job_claim", || {
                serde_json::json!({"job": name, "from": previous, "epoch": row.epoch,
                    "outcome": outcome.as_ref().map_or_else(ToString::to_string, |_| "claimed".to_owned())})
            });
            match outcome {
                Ok(committed) => {
                    Metrics::count(&runner.node.metrics.jobs_claimed);
                    runner.table.put(&name, row, committed.revision);
                }
                Err(StoreError::Conflict { rows }) => {
                    // Somebody else was first: until the feed tells, the claim would be tried again.
                    runner.table.put_found(&name, &rows);
                    runner.suspected.borrow_mut().remove(&name);
                }
                // The record above names it; the claim is tried again.
                Err(_) => {}
            }
            runner.busy.borrow_mut().remove(&name);
            runner.wake.notify_one();
        });
    }

    fn spawn_adopt(self: &Rc<Self>, name: String, known: Known) {
        self.busy.borrow_mut().insert(name.clone());
        let runner = self.clone();
        tokio::task::spawn_local(async move {
            match runner.load(&name, &known.row).await {
                Ok(items) => {
                    let row = JobRow::clone(&known.row);
                    let job = OwnedJob::new(&name, row, known.revision, items);
                    let mut owned = runner.owned.borrow_mut();
                    owned.insert(name.clone(), Rc::new(job));
                }
                Err(error) => {
                    runner.node.log.write(
                        "job_load_failed",
                        || serde_json::json!({"job": name, "cause": error.to_string()}),
                    );
                    tokio::time::sleep(TICK).await;
                }
            }
            runner.busy.borrow_mut().remove(&name);
            runner.wake.notify_one();
        });
    }

    async fn load(&self, name: &str, row: &JobRow) -> Result<Vec<Item>, StoreError> {
        let stored = match self.table.take_handed_over(name) {
            Some(items) => items,
            None => retry(|| read_items(self.store.as_ref(), name)).await?,
        };
        if stored.len() as u64 != row.total {
            return Err(StoreError::Unavailable {
                reason: format!("{} of {} items", stored.len(), row.total),
            });
        }
        let mut items: Vec<Item> = stored
            .into_iter()
            .enumerate()
            .map(|(index, item)| Item::new(item, row.is_listed(index)))
            .collect();
        if row.has_partials {
            partials::load(self.store.as_ref(), name, &mut items).await?;
        }
        Ok(items)
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

    /// Starts items where servers have room, in the order of their ranks.
    fn schedule(self: &Rc<Self>) {
        let Some(configuration) = self.node.view.configuration() else {
            return;
        };
        let Some(now_ms) = self.table.now_ms() else {
            return;
        };
        let jobs: Vec<Rc<OwnedJob>> = self.owned.borrow().values().cloned().collect();
        let mut waiting: Vec<Turn> = jobs
            .iter()
            .flat_map(|job| self.turns(job, &configuration, now_ms))
            .collect();
        waiting.sort_by(|a, b| (a.rank, &a.job.job, a.index).cmp(&(b.rank, &b.job.job, b.index)));
        let loads = &self.node.loads;
        loads
            .waiting
            .set_own(u32::try_from(waiting.len()).unwrap_or(u32::MAX));
        let mut refreshed: HashSet<String> = HashSet::new();
        // A service without room, such as one whose zones are evacuated, holds up no other one.
        let mut full: HashSet<String> = HashSet::new();
        for turn in waiting {
            let service = turn.route.pick_service(rand::random()).unwrap_or_default();
            if full.contains(service) {
                continue;
            }
            let mut allowances = self.allowances.borrow_mut();
            let allowance = allowances.entry(service.to_owned()).or_default();
            if refreshed.insert(service.to_owned()) {
                allowance.refresh(&loads.waiting, self.room_at(service), rand::random());
            }
            // An item that waits for its home says nothing of the others' room, and takes nothing of it.
            if turn.homes.bind() && self.pick(service, &turn).is_none() {
                continue;
            }
            let may_start = allowance.take();
            drop(allowances);
            let server = may_start.then(|| self.pick(service, &turn)).flatten();
            let Some(server) = server else {
                full.insert(service.to_owned());
                continue;
            };
            self.start(&turn.job, turn.index, server, turn.route);
        }
    }

    /// Items that the servers of a service still take, as this node sees them.
    fn room_at(&self, service: &str) -> u32 {
        let servers = self.node.view.servers(service);
        let rooms = servers.used.iter().map(|server| self.room_of(server));
        within_reach(rooms.collect(), self.node.view.ways())
            .iter()
            .map(|server| room(server.slots, &server.load))
            .sum()
    }

    /// The items of a job that wait; those whose time or route is over are given up.
    fn turns(&self, job: &Rc<OwnedJob>, configuration: &Configuration, now_ms: u64) -> Vec<Turn> {
        let now = Instant::now();
        let mut turns = Vec::new();
        let mut over = None;
        let state = job.state.borrow();
        for (index, item) in state.items.iter().enumerate() {
            if item.progress == Progress::Finished {
                continue;
            }
            let route = configuration
                .route(&state.row.host, &item.stored.path)
                .filter(|route| route.kind == RouteKind::Batch);
            let Some(route) = route else {
                over = Some("the route is gone");
                break;
            };
            if is_over(state.row.accepted_ms, route.max_wait_s, now_ms) {
                over = Some("the time is over");
                break;
            }
            let resting = item.not_before.is_some_and(|at| at > now);
            if item.progress == Progress::Running || resting {
                continue;
            }
            let needs_ms = self.estimate.get().remaining_ms(item.events);
            let priority = configuration.priority(route, &state.row.tenant);
            turns.push(Turn {
                job: job.clone(),
                index,
                route: route.clone(),
                homes: self.homes(route, &state.row.tenant),
                rank: rank(state.row.due_ms, needs_ms, now_ms, priority),
                avoid: item.avoid.clone(),
                last: item.last_server.clone(),
            });
        }
        drop(state);
        match over {
            Some(cause) => {
                give_up(self, job, cause);
                Vec::new()
            }
            None => turns,
        }
    }

    fn start(
        self: &Rc<Self>,
        job: &Rc<OwnedJob>,
        index: usize,
        server: Arc<ServerRecord>,
        route: Route,
    ) {
        let id = server.id.clone();
        let work = {
            let mut state = job.state.borrow_mut();
            let host = state.row.host.clone();
            let item = &mut state.items[index];
            item.progress = Progress::Running;
            item.answered = false;
            item.last_server = Some(server.id.clone());
            begin_work(self, &item.stored, &host, &server)
        };
        let run = run_item(self.clone(), job.clone(), index, server, route, work);
        let task = tokio::task::spawn_local(run);
        job.state.borrow_mut().items[index].task = Some(Run::new(&id, task.abort_handle()));
    }

    /// Requests that a server works on at once; `None` when it is gone.
    pub(crate) fn slots(&self, server: &str) -> Option<u32> {
        self.node.view.server(server).map(|server| server.slots)
    }

    fn room_of<'a>(&self, server: &'a ServerRecord) -> ServerRoom<'a> {
        ServerRoom {
            id: &server.id,
            zone: &server.zone,
            slots: server.slots,
            load: self.node.loads.summary(&server.id),
        }
    }

    fn pick(&self, service: &str, turn: &Turn) -> Option<Arc<ServerRecord>> {
        let servers = self.node.view.servers(service);
        let places = &self.node.settings.places;
        let open: Vec<&Arc<ServerRecord>> = reached(&servers, &turn.homes, &self.node)
            .filter(|server| turn.homes.allow(&server.zone, places))
            .collect();
        let avoided = |server: &ServerRecord| turn.avoid.as_ref() == Some(&server.id);
        let rooms: Vec<ServerRoom<'_>> = open
            .iter()
            .filter(|server| open.len() == 1 || !avoided(server))
            .map(|server| self.room_of(server))
            .collect();
        let rooms = within_reach(rooms, self.node.view.ways());
        let settings = &self.node.settings;
        let chosen = pick_server(&rooms, &settings.name, &settings.zone, turn.last.as_deref())?.id;
        let mut open = open.into_iter();
        open.find(|server| server.id == chosen).cloned()
    }
}

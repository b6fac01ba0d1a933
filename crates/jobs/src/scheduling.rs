//! Starts items where servers have room, in the order of their ranks.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use dappleyard_clock::Instant;
use dappleyard_crashes::{Fingerprint, Permit};
use dappleyard_ingress::{apart, reached};
use dappleyard_model::{Configuration, Homes, Route, ServerRecord};

use crate::admission::is_urgent;
use crate::expiry::{give_up, is_over};
use crate::order::{Rank, rank};
use crate::owned::{OwnedJob, Progress, Run};
use crate::placement::{ServerRoom, pick_server, room, within_reach};
use crate::run::{BegunRun, begin_work, run_item};
use crate::runner::Runner;

/// An item that waits for its turn.
struct Turn {
    job: Rc<OwnedJob>,
    index: usize,
    route: Route,
    /// The service that is asked.
    service: String,
    rank: Rank,
    avoid: Option<String>,
    last: Option<String>,
    homes: Homes,
    fingerprint: Fingerprint,
    permit: Permit,
    /// It must begin now to be in time.
    urgent: bool,
}

impl Runner {
    /// Starts items where servers have room, in the order of their ranks.
    pub(crate) fn schedule(self: &Rc<Self>) {
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
        let urgent = urgent_by_service(&waiting);
        // Items that may begin now at each service.
        let mut rooms: HashMap<String, u32> = HashMap::new();
        // A service without room, such as one whose zones are evacuated, holds up no other one.
        let mut full: HashSet<String> = HashSet::new();
        let mut held_back = 0;
        for turn in waiting {
            let service = turn.service.as_str();
            if !turn.urgent && self.is_closed(service) {
                held_back += 1;
                continue;
            }
            if full.contains(service) {
                continue;
            }
            let mut allowances = self.allowances.borrow_mut();
            let allowance = allowances.entry(service.to_owned()).or_default();
            let room = rooms.entry(service.to_owned()).or_insert_with(|| {
                let urgent = urgent.get(service).copied().unwrap_or(0);
                let room = self.paced_room(service, loads.waiting.over_all(urgent));
                allowance.refresh(&loads.waiting, room, rand::random());
                room
            });
            // An item that waits for its home says nothing of the others' room, and takes nothing of it.
            if turn.homes.bind() && self.pick(service, &turn).is_none() {
                continue;
            }
            // Starts that are left from before say nothing of what came since.
            let may_start = *room > 0 && allowance.take();
            *room -= u32::from(may_start);
            drop(allowances);
            let server = may_start.then(|| self.pick(service, &turn)).flatten();
            let Some(server) = server else {
                full.insert(service.to_owned());
                continue;
            };
            self.start(&turn.job, turn.index, server, turn.route);
        }
        let gauge = &self.node.metrics.items_held_back;
        gauge.store(held_back, Ordering::Relaxed);
    }

    /// Whether no item may begin at a service but those that are urgent, since online requests need it.
    fn is_closed(&self, service: &str) -> bool {
        let services = self.services.borrow();
        let held = services.get(service);
        held.is_some_and(|held| held.yielding.is_closed())
    }

    /// Items that a service still takes, at the pace at which they come back behind online requests; `urgent` ones,
    /// over all nodes, need not keep to it.
    fn paced_room(&self, service: &str, urgent: u32) -> u32 {
        let room = self.room_at(service);
        let services = self.services.borrow();
        match services.get(service) {
            Some(held) => room.min(held.yielding.room(&held.load, urgent, Instant::now())),
            None => room,
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
            let Some(route) = state.route(configuration, item) else {
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
            // An item that crashes servers waits until it may be given up.
            let permit = self.node.crashes.permit(&item.fingerprint);
            if matches!(permit, Permit::Refused | Permit::Wait) {
                continue;
            }
            let needs_ms = self.estimate.get().remaining_ms(item.events);
            let priority = configuration.priority(route, &state.row.tenant);
            turns.push(Turn {
                job: job.clone(),
                index,
                route: route.clone(),
                service: route
                    .pick_service(rand::random())
                    .unwrap_or_default()
                    .to_owned(),
                homes: self.homes(route, &state.row.tenant),
                rank: rank(state.row.due_ms, needs_ms, now_ms, priority),
                urgent: is_urgent(state.row.due_ms, needs_ms, now_ms),
                avoid: item.avoid.clone(),
                last: item.last_server.clone(),
                fingerprint: item.fingerprint,
                permit,
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
        let fingerprint = job.state.borrow().items[index].fingerprint;
        let Ok(counted) = self.node.crashes.begin(fingerprint, &id) else {
            // Another node has begun to run the same, or told of its end, since the turn was made.
            return;
        };
        let work = {
            let mut state = job.state.borrow_mut();
            let host = state.row.host.clone();
            let item = &mut state.items[index];
            item.progress = Progress::Running;
            item.answered = false;
            item.last_server = Some(server.id.clone());
            begin_work(self, &item.stored, &host, &server)
        };
        let begun = BegunRun { work, run: counted };
        let run = run_item(self.clone(), job.clone(), index, server, route, begun);
        let task = tokio::task::spawn_local(run);
        job.state.borrow_mut().items[index].task = Some(Run::new(&id, task.abort_handle()));
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
        if turn.permit == Permit::LastRun {
            let free = rooms.iter().filter(|held| room(held.slots, &held.load) > 0);
            let free: HashSet<&str> = free.map(|held| held.id).collect();
            let open = open
                .into_iter()
                .filter(|server| free.contains(server.id.as_str()));
            return apart(&self.node, &turn.fingerprint, open.cloned().collect());
        }
        let settings = &self.node.settings;
        let chosen = pick_server(&rooms, &settings.name, &settings.zone, turn.last.as_deref())?.id;
        let mut open = open.into_iter();
        open.find(|server| server.id == chosen).cloned()
    }
}

/// Items of this node that must begin now, by the service that they ask.
fn urgent_by_service(turns: &[Turn]) -> HashMap<String, u32> {
    let mut urgent: HashMap<String, u32> = HashMap::new();
    for turn in turns.iter().filter(|turn| turn.urgent) {
        *urgent.entry(turn.service.clone()).or_default() += 1;
    }
    urgent
}

//! Starts waiting items on servers with free capacity, in order of rank.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use dappleyard_clock::Instant;
use dappleyard_crashes::{Permit, RequestFeatures};
use dappleyard_ingress::{Metrics, candidate_servers, last_run_server};
use dappleyard_model::{Configuration, HomeRegions, Route, RunOrigin, ServerRecord, may_run_at};

use crate::admission::is_urgent;
use crate::continuation::{self, Continuation};
use crate::expiry::{abandon_items, handle_missing_route, is_expired, may_abandon};
use crate::order::{Rank, rank};
use crate::owned::{ActiveRun, Item, OwnedJob, Progress};
use crate::placement::{ServerCapacity, capacity, pick_server, prefer_local_region};
use crate::run::{StartedRun, begin_in_flight, run_item};
use crate::runner::Runner;

/// An item that is ready to start.
struct Candidate {
    job: Rc<OwnedJob>,
    index: usize,
    route: Route,
    /// Service chosen from the targets of the route.
    service: String,
    rank: Rank,
    /// Address of the server of the last interrupted run; used only if there is no other.
    avoided_address: Option<SocketAddr>,
    /// Server of the last run.
    last: Option<String>,
    homes: HomeRegions,
    /// Where its output began; it may be continued there only.
    origin: Option<RunOrigin>,
    /// What crashes of servers are counted by.
    features: RequestFeatures,
    permit: Permit,
    /// Whether it must start now to meet its deadline.
    urgent: bool,
}

impl Runner {
    /// Starts waiting items on servers with free capacity, in order of rank.
    pub(crate) fn schedule(self: &Rc<Self>) {
        let Some(configuration) = self.node.view.configuration() else {
            return;
        };
        let Some(now_ms) = self.table.now_ms() else {
            return;
        };
        let jobs: Vec<Rc<OwnedJob>> = self.owned.borrow().values().cloned().collect();
        let mut waiting: Vec<Candidate> = jobs
            .iter()
            .flat_map(|job| self.candidates(job, &configuration, now_ms))
            .collect();
        waiting.sort_by(|a, b| (a.rank, &a.job.job, a.index).cmp(&(b.rank, &b.job.job, b.index)));
        let loads = &self.node.loads;
        loads
            .waiting
            .set_own(u32::try_from(waiting.len()).unwrap_or(u32::MAX));
        let urgent = urgent_by_service(&waiting);
        // Items that may still start at each service in this pass.
        let mut capacities: HashMap<String, u32> = HashMap::new();
        // A service without capacity, such as one whose zones are being evacuated, does not block the others.
        let mut full: HashSet<String> = HashSet::new();
        let mut held_back = 0;
        for candidate in waiting {
            let service = candidate.service.as_str();
            if !candidate.urgent && self.is_closed(service) {
                held_back += 1;
                continue;
            }
            if full.contains(service) {
                continue;
            }
            let mut allowances = self.allowances.borrow_mut();
            let allowance = allowances.entry(service.to_owned()).or_default();
            let capacity = capacities.entry(service.to_owned()).or_insert_with(|| {
                let urgent = urgent.get(service).copied().unwrap_or(0);
                let capacity = self.admissible_items(service, loads.waiting.scale_to_fleet(urgent));
                allowance.refresh(&loads.waiting, capacity, rand::random());
                capacity
            });
            // An item that may use a part of the servers only neither uses up the allowance nor marks the service as
            // full while that part has no free server.
            let origin = candidate.origin.as_ref();
            let is_restricted = candidate.homes.is_restricted() || origin.is_some();
            if is_restricted && self.pick(service, &candidate, origin).is_none() {
                drop(allowances);
                let others_are_free =
                    origin.is_some() && self.pick(service, &candidate, None).is_some();
                if others_are_free {
                    self.wait_or_restart(&candidate);
                } else if !candidate.homes.is_restricted() {
                    full.insert(service.to_owned());
                }
                continue;
            }
            // The allowance may have been granted in an earlier pass, so the current capacity is checked too.
            let may_start = *capacity > 0 && allowance.take();
            *capacity -= u32::from(may_start);
            drop(allowances);
            let server = may_start
                .then(|| self.pick(service, &candidate, origin))
                .flatten();
            let Some(server) = server else {
                full.insert(service.to_owned());
                continue;
            };
            self.start(&candidate.job, candidate.index, server, candidate.route);
        }
        let gauge = &self.node.metrics.items_held_back;
        gauge.store(held_back, Ordering::Relaxed);
    }

    /// Drops the output of an item that no server may continue while others have capacity, once it has waited long
    /// enough.
    fn wait_or_restart(&self, candidate: &Candidate) {
        let mut state = candidate.job.state.borrow_mut();
        let item = &mut state.items[candidate.index];
        let Some(origin) = item.origin.clone() else {
            return;
        };
        let waited = item
            .no_server_since
            .get_or_insert_with(Instant::now)
            .elapsed();
        let output_duration = self.estimate.get().output_duration(item.events);
        if continuation::decide(waited, output_duration) == Continuation::Wait {
            return;
        }
        let events = item.events;
        item.restart();
        Metrics::count(&self.node.metrics.items_restarted);
        self.node.log.write("item_restarted", || {
            serde_json::json!({"job": candidate.job.job, "item": item.stored.id,
                "origin": origin.to_string(), "events": events,
                "waited_ms": waited.as_millis() as u64, "restarts": item.restarts})
        });
        self.wake.notify_one();
    }

    /// Whether a service accepts only urgent items, because online requests need its slots.
    fn is_closed(&self, service: &str) -> bool {
        let services = self.services.borrow();
        let service_state = services.get(service);
        service_state.is_some_and(|service_state| service_state.admission.is_closed())
    }

    /// Number of items that may start at a service at the current ramp-up rate; `urgent` ones, counted over all nodes,
    /// are exempt from the ramp.
    fn admissible_items(&self, service: &str, urgent: u32) -> u32 {
        let capacity = self.service_capacity(service);
        let services = self.services.borrow();
        match services.get(service) {
            Some(service_state) => capacity.min(service_state.admission.capacity(
                &service_state.load,
                urgent,
                Instant::now(),
            )),
            None => capacity,
        }
    }

    /// Number of items that the servers of a service can still accept, as seen by this node.
    fn service_capacity(&self, service: &str) -> u32 {
        let servers = self.node.view.servers(service);
        let capacities = servers
            .used
            .iter()
            .map(|server| self.server_capacity(server));
        prefer_local_region(capacities.collect(), self.node.view.zone_distances())
            .iter()
            .map(|server| capacity(server.slots, &server.load))
            .sum()
    }

    /// The items of a job that are ready to start; abandons the job's items if they are expired or their route was removed.
    fn candidates(
        &self,
        job: &Rc<OwnedJob>,
        configuration: &Configuration,
        now_ms: u64,
    ) -> Vec<Candidate> {
        let now = Instant::now();
        let may_abandon = may_abandon(self, job);
        let mut candidates = Vec::new();
        let mut failed = Vec::new();
        let state = job.state.borrow();
        if !state.has_unfinished() {
            return candidates;
        }
        let Some(route) = state.route(configuration) else {
            drop(state);
            handle_missing_route(self, job, configuration.version);
            return candidates;
        };
        job.route_missing_since.set(None);
        if may_abandon && is_expired(state.row.accepted_ms, route.max_wait_s, now_ms) {
            drop(state);
            abandon_items(self, job, "the maximum wait was exceeded");
            return candidates;
        }
        for (index, item) in state.items.iter().enumerate() {
            if item.progress == Progress::Finished {
                continue;
            }
            let has_failed = item.failures > 0 && item.failures >= route.max_attempts;
            if item.progress == Progress::Waiting && has_failed {
                failed.extend(may_abandon.then_some(index));
                continue;
            }
            let is_delayed = item.not_before.is_some_and(|at| at > now);
            if item.progress == Progress::Running || is_delayed {
                continue;
            }
            // An item that crashes servers is held until it may run again or be abandoned.
            let permit = self.node.crashes.permit(&item.features);
            if matches!(permit, Permit::Refused | Permit::Wait) {
                continue;
            }
            let needed_ms = self.estimate.get().remaining_ms(item.events);
            let priority = configuration.priority(route, &state.row.tenant);
            candidates.push(Candidate {
                job: job.clone(),
                index,
                route: route.clone(),
                service: service_of(route, item),
                origin: item.origin.clone(),
                homes: self.item_homes(route, &state.row.tenant),
                rank: rank(state.row.due_ms, needed_ms, now_ms, priority),
                urgent: is_urgent(state.row.due_ms, needed_ms, now_ms),
                avoided_address: item.avoided_address,
                last: item.last_server.clone(),
                features: item.features.clone(),
                permit,
            });
        }
        drop(state);
        for index in failed {
            job.finish(index, false);
        }
        candidates
    }

    /// Starts an item on a server, unless crash tracking refuses it.
    fn start(
        self: &Rc<Self>,
        job: &Rc<OwnedJob>,
        index: usize,
        server: Arc<ServerRecord>,
        route: Route,
    ) {
        let id = server.id.clone();
        let features = job.state.borrow().items[index].features.clone();
        let Ok(tracked_run) = self.node.crashes.begin(&features, &id) else {
            // Since the permit was issued, another node has started an item with one of its features or reported a crash.
            return;
        };
        let work = {
            let mut state = job.state.borrow_mut();
            let host = state.row.host.clone();
            let item = &mut state.items[index];
            item.progress = Progress::Running;
            item.response_started = false;
            item.last_server = Some(server.id.clone());
            item.no_server_since = None;
            begin_in_flight(self, &item.stored, &host, &server)
        };
        let started_run = StartedRun {
            work,
            run: tracked_run,
        };
        let run = run_item(self.clone(), job.clone(), index, server, route, started_run);
        let task = tokio::task::spawn_local(run);
        job.state.borrow_mut().items[index].active_run =
            Some(ActiveRun::new(&id, task.abort_handle()));
    }

    fn server_capacity<'a>(&self, server: &'a ServerRecord) -> ServerCapacity<'a> {
        ServerCapacity {
            id: &server.id,
            zone: &server.zone,
            slots: server.slots,
            load: self.node.loads.summary(&server.id),
        }
    }

    /// Chooses the server for an item, as if its output began at `origin`; `None` if none with capacity is allowed.
    fn pick(
        &self,
        service: &str,
        candidate: &Candidate,
        origin: Option<&RunOrigin>,
    ) -> Option<Arc<ServerRecord>> {
        let servers = self.node.view.servers(service);
        let places = &self.node.settings.places;
        let open: Vec<&Arc<ServerRecord>> =
            candidate_servers(&servers, &candidate.homes, origin, &self.node)
                .filter(|server| candidate.homes.allows_zone(&server.zone, places))
                .filter(|server| may_run_at(origin, server))
                .collect();
        let avoided = |server: &ServerRecord| candidate.avoided_address == Some(server.address);
        let capacities: Vec<ServerCapacity<'_>> = open
            .iter()
            .filter(|server| open.len() == 1 || !avoided(server))
            .map(|server| self.server_capacity(server))
            .collect();
        let capacities = prefer_local_region(capacities, self.node.view.zone_distances());
        if candidate.permit == Permit::LastRun {
            let free = capacities
                .iter()
                .filter(|usable| capacity(usable.slots, &usable.load) > 0);
            let free: HashSet<&str> = free.map(|usable| usable.id).collect();
            let open = open
                .into_iter()
                .filter(|server| free.contains(server.id.as_str()));
            return last_run_server(&self.node, &candidate.features, open.cloned().collect());
        }
        let settings = &self.node.settings;
        let chosen = pick_server(
            &capacities,
            &settings.name,
            &settings.zone,
            candidate.last.as_deref(),
        )?
        .id;
        let mut open = open.into_iter();
        open.find(|server| server.id == chosen).cloned()
    }
}

/// Service for an item: the one that began its output, while the route has it, otherwise one of the route's targets.
fn service_of(route: &Route, item: &Item) -> String {
    let began = item.origin.as_ref().map(|origin| origin.service.as_str());
    let began = began.filter(|service| route.has_service(service));
    let service = began.or_else(|| route.pick_service(rand::random()));
    service.unwrap_or_default().to_owned()
}

/// Number of urgent items of each service.
fn urgent_by_service(candidates: &[Candidate]) -> HashMap<String, u32> {
    let mut urgent: HashMap<String, u32> = HashMap::new();
    for candidate in candidates.iter().filter(|candidate| candidate.urgent) {
        *urgent.entry(candidate.service.clone()).or_default() += 1;
    }
    urgent
}

//! Capacity estimates of services, and admission of requests based on them.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{Configuration, Homes, RequestFacts, Route, TenantName, Tenants};
use dappleyard_room::{
    Admission, Asking, CreditQueue, Demand, HoldTime, OBEYED_PART, Room, Trend, UsualDeadline,
    admit,
};
use parking_lot::Mutex;

use crate::attempt::Ran;
use crate::dispatch::Request;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::slot_usage::{SlotUsage, slot_usage};
use crate::urgency::due_age;

/// How long a computed capacity is reused; few own requests start in the meantime.
const ROOM_LIFE: Duration = Duration::from_millis(10);
/// Minimum retry delay, several times the cost of a connection and a refusal.
pub(crate) const SHORTEST_WAIT: Duration = Duration::from_millis(50);
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Time to the first event, excluding the prompt.
const FIRST_EVENT: Duration = Duration::from_millis(30);
/// Prompt tokens that a slow server processes per millisecond.
const TOKENS_PER_MS: f64 = 30.0;

/// Estimates from this node's own requests. Locks are taken one at a time.
#[derive(Default)]
pub struct RoomTable {
    /// Version of the configuration last adopted.
    version: AtomicU64,
    holds: Mutex<HashMap<String, HoldTime>>,
    deadlines: Mutex<HashMap<String, UsualDeadline>>,
    credit: Mutex<HashMap<TenantName, CreditQueue>>,
    trends: Mutex<HashMap<String, Trend>>,
    rooms: Mutex<HashMap<String, (Instant, Arc<Room>)>>,
}

impl RoomTable {
    /// Drops the state of routes, services and tenants that are no longer configured.
    pub(crate) fn adopt(&self, configuration: &Configuration) {
        let before = self.version.swap(configuration.version, Ordering::Relaxed);
        if before == configuration.version {
            return;
        }
        let routes: HashSet<&str> = configuration
            .routes
            .iter()
            .map(|route| route.name.as_str())
            .collect();
        let services: HashSet<&str> = configuration
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        let tenants = configuration.tenants.iter().flat_map(Tenants::iter);
        let tenants: HashSet<&TenantName> = tenants.map(|tenant| &tenant.name).collect();
        self.deadlines
            .lock()
            .retain(|name, _| routes.contains(name.as_str()));
        self.holds
            .lock()
            .retain(|name, _| services.contains(name.as_str()));
        self.trends
            .lock()
            .retain(|name, _| services.contains(name.as_str()));
        self.rooms
            .lock()
            .retain(|name, _| services.contains(name.as_str()));
        self.credit.lock().retain(|name, _| tenants.contains(name));
    }

    /// Records how long a request held a slot.
    pub(crate) fn note_hold(&self, service: &str, held: Duration) {
        let mut holds = self.holds.lock();
        holds.entry(service.to_owned()).or_default().note(held);
    }

    /// Retry delay for a tenant's refused request. Each request gets its own time, after those
    /// refused before by this node, at the rate at which capacity becomes available over all nodes.
    pub(crate) fn come_back_after(
        &self,
        tenant: &TenantName,
        coming: Coming,
        facts: &RequestFacts,
    ) -> Duration {
        let step = Duration::from_secs_f64(coming.nodes.max(1) as f64 / coming.per_s.max(0.001));
        let mut queues = self.credit.lock();
        let queue = queues.entry(tenant.clone()).or_default();
        let most = longest_return(facts);
        let after = queue.next(
            coming.earliest,
            step,
            most,
            Instant::now(),
            &mut rand::rng(),
        );
        after.max(SHORTEST_WAIT)
    }

    fn trend_per_s(&self, service: &str, online: u32) -> f64 {
        let mut trends = self.trends.lock();
        let trend = trends.entry(service.to_owned()).or_default();
        trend.note(online, Instant::now())
    }

    fn hold(&self, service: &str) -> Duration {
        let holds = self.holds.lock();
        holds.get(service).copied().unwrap_or_default().mean()
    }
}

/// Capacity that becomes available for a tenant's refused requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Coming {
    /// Time until the first one can be served.
    pub(crate) earliest: Duration,
    /// Requests per second that can be served from then on, over all nodes.
    pub(crate) per_s: f64,
    /// Nodes that receive the tenant's requests.
    pub(crate) nodes: usize,
}

/// Maximum retry delay, a fraction of the client's remaining time.
fn longest_return(facts: &RequestFacts) -> Duration {
    let left = facts
        .deadline_ms
        .map_or(LONGEST_WAIT, Duration::from_millis);
    left.mul_f64(OBEYED_PART).min(LONGEST_WAIT)
}

/// Whether a request resumes a stream of which its client has received a part.
pub(crate) fn goes_on(route: &Route, facts: &RequestFacts) -> bool {
    route.resumable && facts.last_event_id.is_some()
}

/// Whether a request is a retry after a refusal, judged by its deadline.
pub(crate) fn comes_again(node: &Node, route: &Route, facts: &RequestFacts) -> bool {
    if goes_on(route, facts) {
        return false;
    }
    let Some(deadline_ms) = facts.deadline_ms.filter(|_| node.settings.load_shedding) else {
        return false;
    };
    // Capped at the route's timeout, so that one client with a long deadline does not make all
    // others look like retries.
    let longest_ms = match route.timeout_ms {
        0 => u64::MAX,
        timeout_ms => timeout_ms,
    };
    let deadline = Duration::from_millis(deadline_ms.min(longest_ms));
    let mut deadlines = node.rooms.deadlines.lock();
    let usual = deadlines.entry(route.name.clone()).or_default();
    let again = usual.note(deadline, Instant::now());
    if again {
        Metrics::count(&node.metrics.returns_seen);
    }
    again
}

/// Capacity of a request's service; `None` if too few other nodes are known or no server is
/// healthy.
fn room_of(node: &Node, request: &Request) -> Option<Arc<Room>> {
    let bound = request.homes.bind();
    if !bound
        && let Some((at, room)) = node.rooms.rooms.lock().get(&request.service)
        && at.elapsed() < ROOM_LIFE
    {
        return Some(room.clone());
    }
    if node.peers.count() * 2 < node.peers.expected() {
        return None;
    }
    let room = Arc::new(sum_up(node, &request.service, &request.homes)?);
    if !bound {
        let held = (Instant::now(), room.clone());
        node.rooms
            .rooms
            .lock()
            .insert(request.service.clone(), held);
    }
    Some(room)
}

fn sum_up(node: &Node, service: &str, homes: &Homes) -> Option<Room> {
    let SlotUsage { slots, online } = slot_usage(node, &node.view.servers(service), homes);
    // Queue lengths are only exchanged within a region.
    let told_here = homes.allow(&node.settings.zone, &node.settings.places);
    let demand = match told_here {
        true => node.loads.demand.pressure_on(service),
        false => Demand::default(),
    };
    let trend_per_s = match homes.bind() {
        true => 0.0,
        false => node.rooms.trend_per_s(service, online),
    };
    (slots > 0).then(|| Room {
        slots,
        online,
        trend_per_s,
        waiting: demand.waiting,
        returns: demand.returns,
        hold: node.rooms.hold(service),
    })
}

/// Wait state of a request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Looks {
    /// It has checked for a slot before.
    pub(crate) before: bool,
    /// It is included in the count of waiting requests.
    pub(crate) counted: bool,
}

/// Decides on a request; `None` if this node has too little information.
pub(crate) fn ask(node: &Node, request: &Request, looks: Looks) -> Option<Admission> {
    let room = room_of(node, request)?;
    let asking = asking(request, looks);
    let admission = admit(&room, &asking, &mut rand::rng());
    if let Admission::Refuse { retry_after } = admission {
        note_refused(node, request, &room, &asking, retry_after);
    }
    Some(admission)
}

fn asking(request: &Request, looks: Looks) -> Asking {
    let route = &request.route;
    let patience = Duration::from_millis(route.patience_ms);
    let target = route.first_event_target();
    let prompt = Duration::from_secs_f64(f64::from(request.shape.tokens) / TOKENS_PER_MS / 1_000.0);
    Asking {
        age: request.arrived.elapsed(),
        target,
        first_event: FIRST_EVENT + prompt,
        left: request.caller_left(),
        most_wait: due_age(patience),
        again: request.again,
        failed: !request.asked.is_empty(),
        refusable: request.ran == Ran::No,
        waits: looks.before,
        counted: looks.counted,
    }
}

fn note_refused(
    node: &Node,
    request: &Request,
    room: &Room,
    asking: &Asking,
    retry_after: Duration,
) {
    Metrics::count(&node.metrics.refused_for_room);
    match request.again {
        // The client may not retry again.
        true => Metrics::count(&node.metrics.returns_refused),
        false => node.loads.demand.note_return(&request.service, retry_after),
    }
    node.log.write("no_room", || {
        serde_json::json!({"request": request.facts.id, "route": request.route.name,
            "tenant": request.caller.tenant_name(), "again": request.again,
            "slots": room.slots, "online": room.online, "trend_per_s": room.trend_per_s, "waiting": room.waiting,
            "returns": room.returns, "hold_ms": room.hold.as_millis() as u64,
            "wait_ms": room.wait().as_millis() as u64, "age_ms": asking.age.as_millis() as u64,
            "target_ms": asking.target.as_millis() as u64, "left_ms": asking.left.as_millis() as u64,
            "retry_after_ms": retry_after.as_millis() as u64})
    });
}

//! Capacity estimates of services, and admission of requests based on them.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{Configuration, HomeRegions, RequestMetadata, Route, TenantName, Tenants};
use dappleyard_room::{
    Admission, AdmissionRequest, Capacity, Demand, LoadTrend, MeanHoldTime, RETRY_FRACTION,
    RetryDetector, RetryQueue, admit,
};
use parking_lot::Mutex;

use crate::attempt::Ran;
use crate::dispatch::Request;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::resumption::is_resumption;
use crate::slot_usage::{SlotUsage, slot_usage};
use crate::urgency::due_age;

/// How long a computed capacity is reused; this node starts few requests in that time.
const CAPACITY_TTL: Duration = Duration::from_millis(10);
/// Minimum retry delay, several times as long as it takes to connect and be refused.
pub(crate) const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time to the first event, excluding the prompt.
const BASE_FIRST_EVENT: Duration = Duration::from_millis(30);
/// Prompt tokens that a slow server processes per millisecond.
const TOKENS_PER_MS: f64 = 30.0;

/// Estimates from this node's own requests. Locks are taken one at a time.
#[derive(Default)]
pub struct CapacityTable {
    /// Version of the configuration last adopted.
    version: AtomicU64,
    hold_times: Mutex<HashMap<String, MeanHoldTime>>,
    retry_detectors: Mutex<HashMap<String, RetryDetector>>,
    retry_queues: Mutex<HashMap<TenantName, RetryQueue>>,
    trends: Mutex<HashMap<String, LoadTrend>>,
    capacities: Mutex<HashMap<String, (Instant, Arc<Capacity>)>>,
}

impl CapacityTable {
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
        self.retry_detectors
            .lock()
            .retain(|name, _| routes.contains(name.as_str()));
        self.hold_times
            .lock()
            .retain(|name, _| services.contains(name.as_str()));
        self.trends
            .lock()
            .retain(|name, _| services.contains(name.as_str()));
        self.capacities
            .lock()
            .retain(|name, _| services.contains(name.as_str()));
        self.retry_queues
            .lock()
            .retain(|name, _| tenants.contains(name));
    }

    /// Records how long a request held a slot.
    pub(crate) fn record_hold_time(&self, service: &str, held: Duration) {
        let mut hold_times = self.hold_times.lock();
        hold_times
            .entry(service.to_owned())
            .or_default()
            .record(held);
    }

    /// Retry delay for a tenant's refused request. The requests that this node refuses get
    /// successive retry times, spaced so that all nodes together match the rate at which capacity
    /// becomes available.
    pub(crate) fn tenant_retry_delay(
        &self,
        tenant: &TenantName,
        forecast: CapacityForecast,
        facts: &RequestMetadata,
    ) -> Duration {
        let step =
            Duration::from_secs_f64(forecast.nodes.max(1) as f64 / forecast.per_s.max(0.001));
        let mut queues = self.retry_queues.lock();
        let queue = queues.entry(tenant.clone()).or_default();
        let most = max_retry_delay(facts);
        let after = queue.next(
            forecast.earliest,
            step,
            most,
            Instant::now(),
            &mut rand::rng(),
        );
        after.max(MIN_RETRY_DELAY)
    }

    fn trend_per_s(&self, service: &str, online: u32) -> f64 {
        let mut trends = self.trends.lock();
        let trend = trends.entry(service.to_owned()).or_default();
        trend.record(online, Instant::now())
    }

    /// Mean time for which a request of a service holds a slot.
    pub(crate) fn hold_time(&self, service: &str) -> Duration {
        let hold_times = self.hold_times.lock();
        hold_times.get(service).copied().unwrap_or_default().mean()
    }
}

/// Capacity that becomes available for a tenant's refused requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CapacityForecast {
    /// Time until the first one can be served.
    pub(crate) earliest: Duration,
    /// Requests per second that can be served from then on, over all nodes.
    pub(crate) per_s: f64,
    /// Nodes that receive the tenant's requests.
    pub(crate) nodes: usize,
}

/// Maximum retry delay, a fraction of the client's remaining time.
fn max_retry_delay(facts: &RequestMetadata) -> Duration {
    let left = facts
        .deadline_ms
        .map_or(MAX_RETRY_DELAY, Duration::from_millis);
    left.mul_f64(RETRY_FRACTION).min(MAX_RETRY_DELAY)
}

/// Whether a request is a retry after a refusal, judged by its deadline.
pub(crate) fn detect_retry(node: &Node, route: &Route, facts: &RequestMetadata) -> bool {
    if is_resumption(route, facts) {
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
    let mut retry_detectors = node.capacities.retry_detectors.lock();
    let detector = retry_detectors.entry(route.name.clone()).or_default();
    let is_retry = detector.record(deadline, Instant::now());
    if is_retry {
        Metrics::count(&node.metrics.returns_seen);
    }
    is_retry
}

/// Capacity of a request's service; `None` if too few other nodes are known or no server is
/// healthy.
fn service_capacity(node: &Node, request: &Request) -> Option<Arc<Capacity>> {
    let restricted = request.homes.is_restricted();
    if !restricted
        && let Some((at, capacity)) = node.capacities.capacities.lock().get(&request.service)
        && at.elapsed() < CAPACITY_TTL
    {
        return Some(capacity.clone());
    }
    if node.peers.count() * 2 < node.peers.expected() {
        return None;
    }
    let capacity = Arc::new(compute_capacity(node, &request.service, &request.homes)?);
    if !restricted {
        let cached = (Instant::now(), capacity.clone());
        node.capacities
            .capacities
            .lock()
            .insert(request.service.clone(), cached);
    }
    Some(capacity)
}

fn compute_capacity(node: &Node, service: &str, homes: &HomeRegions) -> Option<Capacity> {
    let SlotUsage { slots, online } = slot_usage(node, &node.view.servers(service), homes);
    // Demand is only exchanged within a region, so it is unknown if the request may not be served
    // in this one.
    let demand_known = homes.allows_zone(&node.settings.zone, &node.settings.places);
    let demand = match demand_known {
        true => node.loads.demand.pressure_on(service),
        false => Demand::default(),
    };
    // The trend is only recorded for requests without home regions.
    let trend_per_s = match homes.is_restricted() {
        true => 0.0,
        false => node.capacities.trend_per_s(service, online),
    };
    (slots > 0).then(|| Capacity {
        slots,
        online,
        trend_per_s,
        waiting: demand.waiting,
        expected_retries: demand.returns,
        hold_time: node.capacities.hold_time(service),
    })
}

/// Wait state of a request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WaitState {
    /// It has checked for a slot before.
    pub(crate) checked_before: bool,
    /// It is included in the count of waiting requests.
    pub(crate) counted: bool,
}

/// Decides on a request; `None` if this node has too little information.
pub(crate) fn decide(node: &Node, request: &Request, wait_state: WaitState) -> Option<Admission> {
    let capacity = service_capacity(node, request)?;
    let admission_request = admission_request(request, wait_state);
    let admission = admit(&capacity, &admission_request, &mut rand::rng());
    if let Admission::Refuse { retry_after } = admission {
        record_refusal(node, request, &capacity, &admission_request, retry_after);
    }
    Some(admission)
}

fn admission_request(request: &Request, wait_state: WaitState) -> AdmissionRequest {
    let route = &request.route;
    let patience = Duration::from_millis(route.patience_ms);
    let target = route.first_event_target();
    let prompt = Duration::from_secs_f64(f64::from(request.shape.tokens) / TOKENS_PER_MS / 1_000.0);
    AdmissionRequest {
        age: request.arrived.elapsed(),
        target,
        first_event: BASE_FIRST_EVENT + prompt,
        left: request.client_time_left(),
        most_wait: due_age(patience),
        is_retry: request.is_retry,
        failed: !request.tried.is_empty(),
        refusable: request.ran == Ran::No,
        has_waited: wait_state.checked_before,
        counted: wait_state.counted,
    }
}

fn record_refusal(
    node: &Node,
    request: &Request,
    capacity: &Capacity,
    admission_request: &AdmissionRequest,
    retry_after: Duration,
) {
    Metrics::count(&node.metrics.refused_for_room);
    match request.is_retry {
        // A client that was refused twice may give up, so no further retry is expected.
        true => Metrics::count(&node.metrics.returns_refused),
        false => node.loads.demand.note_retry(&request.service, retry_after),
    }
    node.log.write("no_room", || {
        serde_json::json!({"request": request.facts.id, "route": request.route.name,
            "tenant": request.caller.tenant_name(), "again": request.is_retry,
            "slots": capacity.slots, "online": capacity.online, "trend_per_s": capacity.trend_per_s, "waiting": capacity.waiting,
            "returns": capacity.expected_retries, "hold_ms": capacity.hold_time.as_millis() as u64,
            "wait_ms": capacity.wait().as_millis() as u64, "age_ms": admission_request.age.as_millis() as u64,
            "target_ms": admission_request.target.as_millis() as u64, "left_ms": admission_request.left.as_millis() as u64,
            "retry_after_ms": retry_after.as_millis() as u64})
    });
}

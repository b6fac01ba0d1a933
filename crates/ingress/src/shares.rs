//! Enforces tenants' fair shares of a service while it is overloaded.
//!
//! Each request that passes its tenant's quota is counted, over all nodes, until its response ends.
//! `dappleyard_room` computes the shares from the counts, the slots and the configured weights;
//! this module supplies the inputs and caches the result.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::Work;
use dappleyard_model::{
    Configuration, HomeRegions, RateLimit, RequestMetadata, Route, Tenant, TenantName, Tenants,
};
use dappleyard_room::{Claim, Demand, OverShare, Shares, TenantWork};
use dappleyard_tenants::{Caller, tenant_number};
use parking_lot::Mutex;

use crate::admission::Refusal;
use crate::capacity::{CapacityForecast, MIN_RETRY_DELAY};
use crate::error_kind::ErrorKind;
use crate::metrics::{Metrics, NAMED_TENANTS};
use crate::node::Node;
use crate::resumption::is_resumption;
use crate::slot_usage::{SlotUsage, slot_usage};

/// How long computed shares are reused; load information is updated at the same interval.
const SNAPSHOT_TTL: Duration = Duration::from_millis(25);
/// Assumed duration of a request before any has finished.
const DEFAULT_DURATION: Duration = Duration::from_millis(500);
/// Smoothing factor of the exponential moving average.
const SMOOTHING: f64 = 0.05;
/// Weight of a tenant if no tenant has a limit.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Usage of one service as known to this node.
struct ServiceUsage {
    /// Slots of healthy servers.
    slots: u32,
    /// Online requests in flight at these servers.
    online: u32,
    demand: Demand,
}

/// Shares of one service and the usage they are based on.
struct ShareSnapshot {
    at: Instant,
    shares: Shares,
    /// Requests by tenant number: those of all nodes when the shares were computed, plus those that
    /// this node has admitted since.
    requests: HashMap<u32, u32>,
}

#[derive(Default)]
struct Weights {
    version: Option<u64>,
    /// Weights of tenants with a limit, by tenant number.
    limited: HashMap<u32, f64>,
    /// Weight of all other tenants.
    other: f64,
}

impl Weights {
    fn adopt(&mut self, configuration: &Configuration) {
        if self.version == Some(configuration.version) {
            return;
        }
        let tenants = configuration.tenants.iter().flat_map(Tenants::iter);
        let limited = |tenant: &Arc<Tenant>| {
            let RateLimit { per_s, .. } = tenant.limit?;
            Some((tenant_number(tenant.name.as_str()), per_s))
        };
        self.limited = tenants.filter_map(limited).collect();
        self.other = match self.limited.len() {
            0 => DEFAULT_WEIGHT,
            count => self.limited.values().sum::<f64>() / count as f64,
        };
        self.version = Some(configuration.version);
    }

    fn of(&self, tenant: u32) -> f64 {
        self.limited.get(&tenant).copied().unwrap_or(self.other)
    }
}

#[derive(Default)]
struct State {
    weights: Weights,
    snapshots: HashMap<String, ShareSnapshot>,
    /// Mean duration of requests by service.
    mean_durations: HashMap<String, Duration>,
    refused: HashMap<TenantName, u64>,
}

/// Shares of all services as computed by this node.
#[derive(Default)]
pub struct ShareTable {
    state: Mutex<State>,
}

/// Metrics of one tenant.
#[derive(Clone, Copy, Default)]
struct TenantShare {
    /// Online requests in flight, over all nodes and services.
    in_flight: u32,
    /// Slots granted in overloaded services; `None` if no service is overloaded.
    share: Option<f64>,
    /// Requests refused by this node as over the share.
    refused: u64,
}

/// Counts a request towards its tenant's share until dropped.
pub(crate) struct ShareGuard {
    node: Arc<Node>,
    service: String,
    since: Instant,
    answered: bool,
    _work: Work,
}

impl ShareGuard {
    /// Marks the start of the response; its end frees a slot.
    pub(crate) fn response_started(&mut self) {
        self.answered = true;
    }
}

impl Drop for ShareGuard {
    fn drop(&mut self) {
        if self.answered {
            let duration = self.since.elapsed();
            self.node.shares.record_duration(&self.service, duration);
        }
    }
}

/// Counts a request towards its tenant's share, or refuses it if the share is used up. Returns
/// `None` if shares do not apply: load shedding is off, the request resumes a stream, or the
/// deployment has no tenants.
pub(crate) fn acquire_share(
    node: &Arc<Node>,
    configuration: &Configuration,
    caller: &Caller,
    route: &Route,
    service: &str,
    facts: &RequestMetadata,
) -> Result<Option<ShareGuard>, Refusal> {
    let shared = node.settings.load_shedding && !is_resumption(route, facts);
    if !shared || *caller == Caller::TenantsDisabled {
        return Ok(None);
    }
    // All clients without a key count as one tenant.
    let number = tenant_number(caller.tenant_name());
    refresh(node, configuration, service);
    // `point` adds a random part to the retry delay. The delays of a tenant are already spread by
    // its retry queue.
    let point = caller.tenant().map_or_else(rand::random, |_| 0.0);
    if let Err(over) = node.shares.admit(service, number, point) {
        return Err(refuse_over_share(node, caller, &over, facts));
    }
    Ok(Some(ShareGuard {
        node: node.clone(),
        service: service.to_owned(),
        since: Instant::now(),
        answered: false,
        _work: node.loads.demand.work(service, number),
    }))
}

/// Builds the refusal of a request over its tenant's share and refunds the quota charged for it.
fn refuse_over_share(
    node: &Node,
    caller: &Caller,
    over: &OverShare,
    facts: &RequestMetadata,
) -> Refusal {
    Metrics::count(&node.metrics.over_share);
    let (who, retry_after) = match caller.tenant() {
        Some(tenant) => {
            node.quotas.refund(&tenant.name);
            node.shares.record_refusal(&tenant.name);
            let forecast = CapacityForecast {
                earliest: over.retry_after,
                per_s: over.completions_per_s,
                nodes: node.peers.count(),
            };
            let after = node
                .capacities
                .tenant_retry_delay(&tenant.name, forecast, facts);
            (format!("tenant {}", tenant.name), after)
        }
        None => {
            let after = over.retry_after.max(MIN_RETRY_DELAY);
            ("callers without a key".to_owned(), after)
        }
    };
    Refusal {
        kind: ErrorKind::OverShare,
        detail: format!("{who}: {over}"),
        retry_after_ms: Some(retry_after.as_millis() as u64),
    }
}

/// Recomputes the shares of a service if they are outdated.
fn refresh(node: &Node, configuration: &Configuration, service: &str) {
    let now = Instant::now();
    if node.shares.is_fresh(service, now) {
        return;
    }
    let SlotUsage { slots, online } =
        slot_usage(node, &node.view.servers(service), &HomeRegions::default());
    let demand = node.loads.demand.total(service);
    let usage = ServiceUsage {
        slots,
        online,
        demand,
    };
    node.shares.note(configuration, service, &usage, now);
}

impl ShareTable {
    fn is_fresh(&self, service: &str, now: Instant) -> bool {
        let state = self.state.lock();
        let snapshot = state.snapshots.get(service);
        snapshot.is_some_and(|snapshot| now.saturating_duration_since(snapshot.at) < SNAPSHOT_TTL)
    }

    fn note(
        &self,
        configuration: &Configuration,
        service: &str,
        usage: &ServiceUsage,
        now: Instant,
    ) {
        let mut state = self.state.lock();
        if state.weights.version != Some(configuration.version) {
            let tenants = configuration.tenants.as_ref();
            let known =
                |name: &str| tenants.is_some_and(|configured| configured.named(name).is_some());
            state.refused.retain(|name, _| known(name.as_str()));
        }
        state.weights.adopt(configuration);
        let tenants = usage.demand.tenants.iter();
        let claim = |work: &TenantWork| Claim {
            requests: work.requests,
            weight: state.weights.of(work.tenant),
        };
        let claims: Vec<Claim> = tenants.clone().map(claim).collect();
        let reported = claims
            .iter()
            .fold(0, |sum: u32, claim| sum.saturating_add(claim.requests));
        let snapshot = ShareSnapshot {
            at: now,
            // The other online requests are of tenants too small to be reported individually.
            shares: Shares::new(&claims, usage.online.saturating_sub(reported), usage.slots),
            requests: tenants.map(|work| (work.tenant, work.requests)).collect(),
        };
        state.snapshots.insert(service.to_owned(), snapshot);
    }

    /// Counts one more request of a tenant if its share allows it.
    fn admit(&self, service: &str, tenant: u32, point: f64) -> Result<(), OverShare> {
        let mut state = self.state.lock();
        let weight = state.weights.of(tenant);
        let duration = state
            .mean_durations
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_DURATION);
        let Some(snapshot) = state.snapshots.get_mut(service) else {
            return Ok(());
        };
        let requests = snapshot.requests.entry(tenant).or_default();
        let claim = Claim {
            requests: *requests,
            weight,
        };
        snapshot.shares.admit(claim, duration, point)?;
        *requests += 1;
        Ok(())
    }

    fn record_duration(&self, service: &str, duration: Duration) {
        let mut state = self.state.lock();
        match state.mean_durations.get_mut(service) {
            Some(mean) => *mean = mean.mul_f64(1.0 - SMOOTHING) + duration.mul_f64(SMOOTHING),
            None => {
                state.mean_durations.insert(service.to_owned(), duration);
            }
        }
    }

    fn record_refusal(&self, tenant: &TenantName) {
        let mut state = self.state.lock();
        *state.refused.entry(tenant.clone()).or_default() += 1;
    }

    /// Metrics of a tenant from the latest shares of each service.
    fn tenant_share(&self, tenant: &TenantName) -> TenantShare {
        let number = tenant_number(tenant.as_str());
        let state = self.state.lock();
        let weight = state.weights.of(number);
        let mut tenant_share = TenantShare {
            refused: state.refused.get(tenant).copied().unwrap_or_default(),
            ..TenantShare::default()
        };
        for snapshot in state.snapshots.values() {
            tenant_share.in_flight += snapshot.requests.get(&number).copied().unwrap_or_default();
            if let Some(share) = snapshot.shares.of(weight) {
                tenant_share.share = Some(tenant_share.share.unwrap_or_default() + share);
            }
        }
        tenant_share
    }
}

/// Shares of the busiest tenants in the Prometheus text format; empty if shares do not apply.
pub(crate) fn share_metrics(node: &Node) -> String {
    let Some(configuration) = node.view.configuration() else {
        return String::new();
    };
    if !node.settings.load_shedding || configuration.tenants.is_none() {
        return String::new();
    }
    for service in &configuration.services {
        refresh(node, &configuration, &service.name);
    }
    let (named, _) = node.quotas.busiest(NAMED_TENANTS);
    let all: Vec<(TenantName, TenantShare)> = named
        .into_iter()
        .map(|(name, _)| (name.clone(), node.shares.tenant_share(&name)))
        .collect();
    let mut text = String::from("# TYPE dappleyard_tenant_under_way gauge\n");
    for (name, tenant_share) in &all {
        let (name, value) = (name.as_str(), tenant_share.in_flight);
        text += &format!("dappleyard_tenant_under_way{{tenant={name:?}}} {value}\n");
    }
    text += "# TYPE dappleyard_tenant_share_slots gauge\n";
    for (name, tenant_share) in &all {
        if let (name, Some(value)) = (name.as_str(), tenant_share.share) {
            text += &format!("dappleyard_tenant_share_slots{{tenant={name:?}}} {value:.1}\n");
        }
    }
    text += "# TYPE dappleyard_tenant_over_share_total counter\n";
    for (name, tenant_share) in &all {
        let (name, value) = (name.as_str(), tenant_share.refused);
        text += &format!("dappleyard_tenant_over_share_total{{tenant={name:?}}} {value}\n");
    }
    text
}

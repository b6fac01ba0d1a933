//! Operator configuration: routes, services, tenants and limits.

use std::time::Duration;

use crate::place::RegionName;
use crate::tenant::Tenants;

/// Execution semantics of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once for each attempt of the caller.
    Unsafe,
    /// Answers with an event stream.
    Streaming,
    /// Takes batch jobs.
    Batch,
}

/// Service of a route, with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    pub service: String,
    /// Relative weight.
    pub weight: u32,
}

/// Route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    pub path_prefix: String,
    /// Execution semantics of its requests.
    pub kind: RouteKind,
    /// Time limit of a request.
    pub timeout_ms: u64,
    /// Latency target of an answer.
    pub target_ms: u64,
    /// Time without data after which callers give up.
    pub patience_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Services that serve it.
    pub targets: Vec<Target>,
    /// Maximum number of servers tried per attempt of a caller.
    pub max_attempts: u32,
    /// Whether another server may resume a broken stream.
    pub resumable: bool,
    /// Time within which the results of a job are due, from its first submission.
    pub result_target_ms: u64,
    /// Time after which an item may be given up, in seconds.
    pub max_wait_s: u64,
    /// Maximum number of queued tokens; 0 means no limit.
    pub max_queued_tokens: u64,
    /// Regions in which its requests may be served and stored; empty means any.
    pub home_regions: Vec<RegionName>,
}

impl Route {
    /// Whether a request of this route may run more than once.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Batch => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::Unsafe => false,
        }
    }

    /// Latency target of the first event; the callers' patience if the route has no target.
    pub fn first_event_target(&self) -> Duration {
        match self.target_ms {
            0 => Duration::from_millis(self.patience_ms),
            target_ms => Duration::from_millis(target_ms),
        }
    }

    /// The service of the route; `None` if it has several.
    pub fn only_service(&self) -> Option<&str> {
        match self.targets.as_slice() {
            [target] => Some(&target.service),
            _ => None,
        }
    }

    /// Whether requests of the route may go to a service.
    pub fn has_service(&self, service: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| target.service == service && target.weight > 0)
    }

    /// Selects a service by weight; `point` is uniformly distributed over `u32`.
    pub fn pick_service(&self, sample: u32) -> Option<&str> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.targets.first().map(|target| target.service.as_str());
        }
        let mut remaining = (u64::from(sample) * total) >> 32;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// A model service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    pub name: String,
    /// Maximum number of connections per server.
    pub max_conns: u32,
    /// Path of the servers' health check; empty if they have none.
    pub health_path: String,
    /// Warm-up time of a server after its start.
    pub cold_start_ms: u64,
    /// Requests per second that a cold server can take from all nodes together; 0 means no limit.
    pub cold_per_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficLimits {
    pub max_body_bytes: usize,
    /// Idle timeout of a keep-alive connection.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Increases with each change.
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: TrafficLimits,
    /// Tenants that may call; `None` if requests carry no API key.
    pub tenants: Option<Tenants>,
}

impl Configuration {
    /// Route for a host and path: the longest matching prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes_of(host)
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Routes of a host; a port in `host` is ignored.
    pub fn routes_of(&self, host: &str) -> impl Iterator<Item = &Route> {
        let host = host_name(host);
        self.routes
            .iter()
            .filter(move |route| host.eq_ignore_ascii_case(&route.host))
    }

    pub fn route_named(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Priority of a tenant's requests on a route: the tenant's own if set, else the route's.
    pub fn priority(&self, route: &Route, tenant: &str) -> u32 {
        let tenants = self.tenants.as_ref();
        let own = tenants.and_then(|tenants| tenants.named(tenant)?.priority);
        own.unwrap_or(route.priority)
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

fn host_name(host: &str) -> &str {
    host.rsplit_once(':')
        .filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()))
        .map_or(host, |(name, _)| name)
}

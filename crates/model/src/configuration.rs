//! The operators' configuration: routes, services, tenants and limits of one version.

use std::time::Duration;

use crate::place::RegionName;
use crate::tenant::Tenants;

/// What a request of a route allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once for each attempt of the caller.
    Unsafe,
    /// Answers with a series of events.
    Streaming,
    /// Takes batch jobs.
    Batch,
}

/// One service of a route, and its share of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Relative share.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that it answers to, in lower case.
    pub host: String,
    /// Beginning of the paths that it takes.
    pub path_prefix: String,
    /// What its requests allow.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout_ms: u64,
    /// Time within which an answer is on time.
    pub target_ms: u64,
    /// Time without a byte after which a caller gives up.
    pub patience_ms: u64,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Its requests need no key.
    pub public: bool,
    /// Services that serve it.
    pub targets: Vec<Target>,
    /// Most servers that one attempt of a caller may run on.
    pub max_attempts: u32,
    /// A broken stream may be continued by another server.
    pub resumable: bool,
    /// Time within which the results of a job are due, from its first sending.
    pub result_target_ms: u64,
    /// Time from which an item may be given up, in seconds.
    pub max_wait_s: u64,
    /// Most tokens that may wait on the route; 0 is without limit.
    pub max_queued_tokens: u64,
    /// Regions in which its requests may be served and kept; empty is without bound.
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

    /// Time within which the first event is on time; its caller's patience where the route names none.
    pub fn first_event_target(&self) -> Duration {
        match self.target_ms {
            0 => Duration::from_millis(self.patience_ms),
            target_ms => Duration::from_millis(target_ms),
        }
    }

    /// Chooses a service by weight; `point` is uniform over all values.
    pub fn pick_service(&self, point: u32) -> Option<&str> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.targets.first().map(|target| target.service.as_str());
        }
        let mut rest = (u64::from(point) * total) >> 32;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
        }
        None
    }
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Most connections that one server accepts.
    pub max_conns: u32,
    /// Path on which a server answers health questions; empty where it answers none.
    pub health_path: String,
    /// Time for which a server is cold after its start.
    pub cold_start_ms: u64,
    /// Requests a second that a cold server bears, from all nodes together; 0 is without bound.
    pub cold_per_s: f64,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficLimits {
    /// Longest body, bytes.
    pub max_body_bytes: usize,
    /// Longest rest of a kept connection.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version; rises with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: TrafficLimits,
    /// Who may call; `None` where requests carry no key.
    pub tenants: Option<Tenants>,
}

impl Configuration {
    /// The route of a host and path: the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes_of(host)
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// The routes of a host.
    pub fn routes_of(&self, host: &str) -> impl Iterator<Item = &Route> {
        let host = host_name(host);
        self.routes
            .iter()
            .filter(move |route| host.eq_ignore_ascii_case(&route.host))
    }

    /// The route of a name.
    pub fn route_named(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Rank of a tenant's requests on a route: the tenant's own, or else the route's.
    pub fn priority(&self, route: &Route, tenant: &str) -> u32 {
        let tenants = self.tenants.as_ref();
        let own = tenants.and_then(|tenants| tenants.named(tenant)?.priority);
        own.unwrap_or(route.priority)
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

fn host_name(host: &str) -> &str {
    host.rsplit_once(':')
        .filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()))
        .map_or(host, |(name, _)| name)
}

//! Settings of a node.

use std::net::{IpAddr, SocketAddr};

use dappleyard_budget::CallerLimits;

use crate::place::Topology;

/// Listen addresses of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Requests and jobs from callers.
    pub front: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Resolution of addresses for callers.
    pub directory: SocketAddr,
    /// Metrics; disabled if `None`.
    pub metrics: Option<SocketAddr>,
}

/// Settings of the row store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Maximum size of a row's value, bytes.
    pub row_bytes: usize,
}

/// Guarantees that the deployment must keep.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Shutdown grace period.
    pub grace_ms: u64,
    /// Maximum TTL of a directory answer.
    pub directory_ttl_ms: u64,
    /// Retention of results, from the submission of the job.
    pub status_ms: u64,
    /// Time within which the state of a job reported by one node is visible at every node.
    pub settle_ms: u64,
    /// Time within which an accepted configuration takes effect at every node.
    pub config_apply_ms: u64,
    /// Age of the configuration above which a node that cannot refresh it rejects API keys.
    pub revoke_ms: u64,
    /// Whether `revoke_ms` applies to every node; if false, only to nodes that are cut off from most others.
    pub revoke_strict: bool,
    /// Measurement of tenant quotas.
    pub quota: QuotaBounds,
    /// Time after the acceptance of an evacuation from which the servers of the zone get no more requests.
    pub evacuation_ms: u64,
    /// Measurement of requests to cold servers; `None` if they are not measured.
    pub cold: Option<ColdBounds>,
}

/// Limit on the requests that a cold server gets from all nodes in one second: `rate * over + slack`, where `rate` is
/// configured for the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor applied to the rate.
    pub over: f64,
    /// Requests allowed in addition.
    pub slack: f64,
}

/// Simultaneous failures that the deployment must tolerate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FailureTolerance {
    /// Number of zones.
    pub zones: u32,
    /// Number of regions.
    pub regions: u32,
}

/// Measurement of tenant quotas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the measurement window.
    pub window_ms: u64,
    /// Fraction of a window's quota by which all nodes together may exceed it.
    pub over: f64,
    /// Requests allowed in addition.
    pub slack: f64,
}

/// Machine resources available to the node process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resources {
    /// CPU time, thousandths of a core.
    pub core_millis: u32,
    /// Network bandwidth, megabits per second.
    pub link_mbps: u32,
    /// Memory, megabytes.
    pub memory_mb: u32,
    /// Open descriptors of the process.
    pub max_fds: u32,
}

impl Resources {
    /// What callers may use of the machine.
    pub fn caller_limits(&self) -> CallerLimits {
        CallerLimits::of_machine(self.memory_mb as usize, self.max_fds as usize)
    }
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the machine.
    pub name: String,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Zones of the deployment and their regions.
    pub places: Topology,
    /// Failures that the deployment must tolerate.
    pub tolerated: FailureTolerance,
    /// Port for traffic between nodes, the same on all machines.
    pub peer_port: u16,
    pub listen: Listen,
    pub store: StoreSettings,
    pub bounds: Bounds,
    pub resources: Resources,
    /// Whether an overloaded service sheds load: requests that cannot be served in time are rejected at once, tenants get
    /// fair shares, and batch work yields entirely to online requests.
    pub load_shedding: bool,
}

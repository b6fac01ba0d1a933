//! Settings of one node, as the program uses them.

use std::net::{IpAddr, SocketAddr};

use crate::place::Places;

/// Addresses that a node listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Requests and jobs of callers.
    pub front: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Callers that ask where to go.
    pub directory: SocketAddr,
    /// Counters and histograms; not served where it is left out.
    pub metrics: Option<SocketAddr>,
}

/// The row store as the settings describe it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Longest value of a row, bytes.
    pub row_bytes: usize,
}

/// Bounds that the operators hold the system to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time that a stopping process has.
    pub grace_ms: u64,
    /// Longest time to live of a directory answer.
    pub directory_ttl_ms: u64,
    /// Time for which results stay readable, from the sending of the job.
    pub status_ms: u64,
    /// Time from which what one node has told of a job holds at every node.
    pub settle_ms: u64,
    /// Time from which an accepted configuration is in force at every node.
    pub config_apply_ms: u64,
    /// Age of the configuration from which a node that cannot learn of a newer one refuses keys.
    pub revoke_ms: u64,
    /// That holds for every node; otherwise only for one that is cut off from most others.
    pub revoke_strict: bool,
    /// How quotas are measured.
    pub quota: QuotaBounds,
    /// Time from which the servers of a zone get nothing more after its evacuation was accepted.
    pub evacuation_ms: u64,
    /// How the requests at a server that is cold are measured; `None` where they are not.
    pub cold: Option<ColdBounds>,
}

/// How the operators measure the requests that a cold server gets from all nodes in one second: at most
/// `rate x over + slack`, where the configuration of the service gives the rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Multiple of the rate.
    pub over: f64,
    /// Requests beyond it.
    pub slack: f64,
}

/// What may be lost at once without a rule broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tolerated {
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

/// How the operators measure the quota of a tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Span in which requests are counted, milliseconds.
    pub window_ms: u64,
    /// Share of what a quota allows in a span by which all nodes together may pass it.
    pub over: f64,
    /// Requests by which they may pass it besides.
    pub slack: f64,
}

/// What a machine has for the process of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resources {
    /// Processor time, thousandths of a core.
    pub core_millis: u32,
    /// Bandwidth of the machine's link, megabits a second.
    pub link_mbps: u32,
    /// Memory, megabytes.
    pub memory_mb: u32,
}

/// Settings of one node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the machine.
    pub name: String,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// All zones, and the region of each.
    pub places: Places,
    /// What the deployment is to bear.
    pub tolerated: Tolerated,
    /// Port for talk between nodes, alike on all machines.
    pub peer_port: u16,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The row store.
    pub store: StoreSettings,
    /// Bounds.
    pub bounds: Bounds,
    /// What the machine has.
    pub resources: Resources,
    /// While a service has too little room, requests that can't be served in time are refused at once, tenants get
    /// fair shares, and batch work makes way for online requests wholly.
    pub load_shedding: bool,
}

//! State shared by all threads of a node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use dappleyard_cluster::directory::{self, DirectoryContext, DirectoryQuery, FrontNode};
use dappleyard_cluster::{LoadTable, PeerTable, StoreHealth, View, is_strong};
use dappleyard_crashes::CrashTable;
use dappleyard_model::{Configuration, Dialect, EventLog, KeyDigest, NodeSettings};
use dappleyard_streams::StreamTable;
use dappleyard_tenants::{Caller, ConfigurationStatus, KeyRefusal, QuotaTable, identify};
use dappleyard_upstream::ConnectionLimit;
use parking_lot::Mutex;

use crate::capacity::CapacityTable;
use crate::home_regions;
use crate::metrics::Metrics;
use crate::response_times::ResponseTimes;
use crate::shares::{ShareGuard, ShareTable};
use crate::shutdown::ProcessEnd;
use dappleyard_callers::ConnectionGate;
use dappleyard_clock::Instant;

/// Time for which callers may use a directory answer.
pub const DIRECTORY_TTL_MS: u64 = 1_500;

/// A node. At most one lock is held at a time, and none across an await.
pub struct Node {
    pub settings: NodeSettings,
    /// Incarnation number of the process.
    pub life: u64,
    /// Known configuration and servers.
    pub view: Arc<View>,
    /// Load of the servers.
    pub loads: Arc<LoadTable>,
    pub response_times: ResponseTimes,
    /// Estimates of the services' capacity.
    pub capacities: CapacityTable,
    pub quotas: Arc<QuotaTable>,
    /// Tenants' shares of overloaded services.
    pub shares: ShareTable,
    /// Requests during which servers crashed.
    pub crashes: Arc<CrashTable>,
    /// Where streams began.
    pub streams: Arc<StreamTable>,
    pub peers: Arc<PeerTable>,
    /// Whether the store responds to this node.
    pub health: Arc<StoreHealth>,
    /// Message formats of the deployment.
    pub dialect: Arc<dyn Dialect>,
    /// Structured log of decisions.
    pub log: Arc<EventLog>,
    pub metrics: Arc<Metrics>,
    /// The node is shutting down.
    pub leaving: Arc<AtomicBool>,
    /// Connections of callers, which a stop closes.
    pub connections: Arc<ConnectionGate>,
    /// Bound on connections to servers.
    pub server_connections: Arc<ConnectionLimit>,
    pub process_end: ProcessEnd,
    /// Arrival of the last client request.
    pub last_request: Mutex<Instant>,
    /// Response bytes buffered for clients.
    pub buffered_bytes: AtomicU64,
}

impl Node {
    /// Metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        self.metrics
            .text(self.buffered_bytes.load(Ordering::Relaxed))
            + &self.connections.metrics_text("dappleyard")
    }

    /// Whether the node reports itself ready for requests.
    pub fn is_ready(&self) -> bool {
        self.view.is_ready() && !self.is_leaving()
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Identifies the sender of a request by its key.
    pub fn identify(
        &self,
        configuration: &Configuration,
        public: bool,
        key: Option<&KeyDigest>,
    ) -> Result<Caller, KeyRefusal> {
        let status = ConfigurationStatus {
            age: self.view.configuration_age(),
            in_majority: self.peers.count() * 2 >= self.peers.expected(),
        };
        let bounds = &self.settings.bounds;
        identify(configuration, public, key, status, bounds)
    }

    /// Directory response for a client of a zone that asks for a host; `None` if no ready node is
    /// known.
    pub fn resolve(&self, host: Option<&str>, zone: Option<&str>) -> Option<bytes::Bytes> {
        let mut nodes = self.peers.front_nodes();
        let isolated = self
            .view
            .store_age()
            .is_none_or(|age| age > Duration::from_millis(3200));
        let others_ready = nodes.iter().any(|node| node.ready);
        if self.is_ready() && (!isolated || !others_ready) {
            nodes.push(self.own_entry());
        }
        if !nodes.iter().any(|node| node.ready) {
            return None;
        }
        let context = DirectoryContext {
            own_zone: &self.settings.zone,
            places: &self.settings.places,
            tolerated: self.settings.tolerated,
        };
        let configuration = self.view.configuration();
        let homes = home_regions::host_homes(configuration.as_deref(), host);
        let regions = home_regions::directory_regions(&homes, zone, context.places);
        let response =
            |regions| directory::addresses_for(DirectoryQuery { zone, regions }, context, &nodes);
        let mut addresses = response(regions.as_ref());
        if addresses.is_empty() && regions.is_some() {
            // Any node can tell the client when to retry.
            addresses = response(None);
        }
        let ttl_ms = DIRECTORY_TTL_MS.min(self.settings.bounds.directory_ttl_ms);
        Some(self.dialect.resolve_answer(&addresses, ttl_ms))
    }

    /// This node's own directory entry.
    fn own_entry(&self) -> FrontNode {
        FrontNode {
            address: self.settings.listen.front.to_string(),
            zone: self.settings.zone.clone(),
            age: Duration::ZERO,
            ready: true,
            strong: is_strong(self.settings.resources),
        }
    }
}

/// A client request in progress.
#[derive(Default)]
pub(crate) struct InFlightGuard {
    /// The request's entry in its tenant's share.
    share_guard: Option<ShareGuard>,
}

impl InFlightGuard {
    pub(crate) fn begin(node: &Arc<Node>) -> Self {
        *node.last_request.lock() = Instant::now();
        Self::default()
    }

    pub(crate) fn count(&mut self, share_guard: Option<ShareGuard>) {
        self.share_guard = share_guard;
    }

    /// Marks the start of the response.
    pub(crate) fn response_started(&mut self) {
        if let Some(share_guard) = &mut self.share_guard {
            share_guard.response_started();
        }
    }
}

/// Logs a client disconnect if a request is dropped before its end.
pub(crate) struct DisconnectLogger {
    node: Arc<Node>,
    request: String,
    ended: bool,
}

impl DisconnectLogger {
    pub(crate) fn begin(node: &Arc<Node>, request: &str) -> Self {
        Self {
            node: node.clone(),
            request: request.to_owned(),
            ended: false,
        }
    }

    /// The request ended and is logged elsewhere.
    pub(crate) fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for DisconnectLogger {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.node.log.write(
            "caller_left",
            || serde_json::json!({"request": self.request}),
        );
    }
}

//! What all threads of a node share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use dappleyard_cluster::directory::{self, Asked, FrontNode, Ground};
use dappleyard_cluster::{LoadTable, PeerTable, StoreHealth, View, is_strong};
use dappleyard_crashes::CrashTable;
use dappleyard_model::{Configuration, Dialect, EventLog, KeyDigest, NodeSettings};
use dappleyard_tenants::{Caller, KeyRefusal, QuotaTable, Standing, identify};
use parking_lot::Mutex;

use crate::answer_times::AnswerTimes;
use crate::homes;
use crate::metrics::Metrics;
use crate::room::RoomTable;
use crate::shares::{Counted, ShareTable};
use dappleyard_clock::Instant;

/// Time for which callers may use a directory answer.
const DIRECTORY_TTL_MS: u64 = 1_500;

/// One node. Locks are taken one at a time; none is held across an await.
pub struct Node {
    /// Settings at the start.
    pub settings: NodeSettings,
    /// Number of this life of the process.
    pub life: u64,
    /// Configuration and servers.
    pub view: Arc<View>,
    /// Work at servers.
    pub loads: Arc<LoadTable>,
    /// How long servers take to answer.
    pub times: AnswerTimes,
    /// What is learned of the room of services.
    pub rooms: RoomTable,
    /// Quotas of tenants.
    pub quotas: Arc<QuotaTable>,
    /// What each tenant may have of a service that is short of room.
    pub shares: ShareTable,
    /// Requests under which servers ended.
    pub crashes: Arc<CrashTable>,
    /// The other nodes.
    pub peers: Arc<PeerTable>,
    /// Whether the store answers this node's own calls.
    pub health: Arc<StoreHealth>,
    /// Formats.
    pub dialect: Arc<dyn Dialect>,
    /// Decision records.
    pub log: Arc<EventLog>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The node takes no new work and will end.
    pub leaving: Arc<AtomicBool>,
    /// Requests of callers under way.
    pub under_way: AtomicU64,
    /// Bytes of answers that are kept now for callers who have not read them.
    pub kept_bytes: AtomicU64,
    /// When the last request of a caller came.
    pub last_request: Mutex<Instant>,
}

impl Node {
    /// Its figures in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.text(self.kept_bytes.load(Ordering::Relaxed))
    }

    /// Whether the node says that it takes requests.
    pub fn is_ready(&self) -> bool {
        self.view.is_ready() && !self.is_leaving()
    }

    /// Whether the node will end.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whose request it is, by the key that came with it.
    pub fn identify(
        &self,
        configuration: &Configuration,
        public: bool,
        key: Option<&KeyDigest>,
    ) -> Result<Caller, KeyRefusal> {
        let standing = Standing {
            age: self.view.configuration_age(),
            among_most: self.peers.count() * 2 >= self.peers.expected(),
        };
        let bounds = &self.settings.bounds;
        identify(configuration, public, key, standing, bounds)
    }

    /// Answer to a caller of a zone that asks where to go for a host; `None` when this node cannot tell.
    pub fn resolve(&self, host: Option<&str>, zone: Option<&str>) -> Option<bytes::Bytes> {
        let mut nodes = self.peers.front_nodes();
        let isolated = self
            .view
            .store_age()
            .is_none_or(|age| age > Duration::from_millis(3200));
        let others_ready = nodes.iter().any(|node| node.ready);
        if self.is_ready() && (!isolated || !others_ready) {
            nodes.push(self.own_front());
        }
        if !nodes.iter().any(|node| node.ready) {
            return None;
        }
        let ground = Ground {
            own_zone: &self.settings.zone,
            places: &self.settings.places,
            tolerated: self.settings.tolerated,
        };
        let configuration = self.view.configuration();
        let homes = homes::of_host(configuration.as_deref(), host);
        let regions = homes::regions_for(&homes, zone, ground.places);
        let answer = |regions| directory::addresses_for(Asked { zone, regions }, ground, &nodes);
        let mut addresses = answer(regions.as_ref());
        if addresses.is_empty() && regions.is_some() {
            // Any node tells the caller when to come back.
            addresses = answer(None);
        }
        let ttl_ms = DIRECTORY_TTL_MS.min(self.settings.bounds.directory_ttl_ms);
        Some(self.dialect.resolve_answer(&addresses, ttl_ms))
    }

    /// This node as callers may be sent to it.
    fn own_front(&self) -> FrontNode {
        FrontNode {
            address: self.settings.listen.front.to_string(),
            zone: self.settings.zone.clone(),
            age: Duration::ZERO,
            ready: true,
            strong: is_strong(self.settings.resources),
        }
    }
}

/// Counts a request of a caller as under way until it is dropped.
pub(crate) struct UnderWay {
    node: Arc<Node>,
    /// Its part of its tenant's share.
    counted: Option<Counted>,
}

impl UnderWay {
    pub(crate) fn begin(node: &Arc<Node>) -> Self {
        node.under_way.fetch_add(1, Ordering::Relaxed);
        *node.last_request.lock() = Instant::now();
        Self {
            node: node.clone(),
            counted: None,
        }
    }

    /// From now on the request counts towards a share too.
    pub(crate) fn count(&mut self, counted: Option<Counted>) {
        self.counted = counted;
    }

    /// The answer has begun.
    pub(crate) fn begin_answer(&mut self) {
        if let Some(counted) = &mut self.counted {
            counted.begin_answer();
        }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.node.under_way.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Writes a record when a request is dropped before its end, which is how a caller's leaving shows.
pub(crate) struct UntilEnd {
    node: Arc<Node>,
    request: String,
    ended: bool,
}

impl UntilEnd {
    pub(crate) fn begin(node: &Arc<Node>, request: &str) -> Self {
        Self {
            node: node.clone(),
            request: request.to_owned(),
            ended: false,
        }
    }

    /// The request ended, and another record says how.
    pub(crate) fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for UntilEnd {
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

//! Selects how a node reaches the store: directly or through other nodes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::{
    NODES_TABLE, PeerTable, RelayPeer, Roster, StoreClock, StoreHealth, TableSink, View,
    ZoneDistances,
};
use dappleyard_model::{EventLog, Row, RowStore};
use derive_more::Display;
use parking_lot::Mutex;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

/// Interval between updates of the path.
const REFRESH_INTERVAL: Duration = Duration::from_millis(150);
/// The same for a node that copies tables in a large fleet; it also updates the path as soon as its sources fail.
const FOLLOWER_REFRESH_INTERVAL: Duration = Duration::from_millis(450);
/// Time without an answer of the store after which it is probed.
const PROBE_AFTER: Duration = Duration::from_millis(900);
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// A peer may forward calls if the store answered it within this time.
const MAX_RELAY_STORE_AGE: Duration = Duration::from_millis(2_000);
/// How long a node reads from the store directly after all sources failed.
const PEER_FAILURE_BACKOFF: Duration = Duration::from_secs(2);
/// Poll interval per node of the zone: the interval grows with the zone, so its delegates together answer at most 800
/// polls per second whatever its size. In a zone of 200 nodes this delays changes by 0.25 s. Job rows change some fifty
/// times a second in a fleet of a thousand nodes, so a poll for each change would make that 10,000.
const POLL_INTERVAL_PER_NODE: Duration = Duration::from_micros(1_250);
/// Window per node of the zone over which nodes spread their fallback to the store when all sources fail. A large fleet
/// that read the store at the same time would saturate its link: a thousand nodes before 10,000 servers read 0.6 GB a
/// second.
const FALLBACK_SPREAD_PER_NODE: Duration = Duration::from_millis(20);
/// Nodes per region that read the tables from the store for the others; two, so that one may fail.
const STORE_READERS: usize = 2;
/// Long-poll wait of a call for changes.
const POLL_WAIT: Duration = Duration::from_millis(400);
/// The same for a delegate.
const DELEGATE_POLL_WAIT: Duration = Duration::from_millis(150);
/// Page size of node discovery.
const DISCOVERY_PAGE_ROWS: usize = 500;
/// Failed reads after which node discovery gives up.
const MAX_DISCOVERY_FAILURES: u32 = 4;
/// The same while the store is unreachable: peers may have the tables.
const MAX_DISCOVERY_FAILURES_WHEN_LOST: u32 = 1;
/// Backoff after the first failed read; doubles with each failure.
const DISCOVERY_BACKOFF: Duration = Duration::from_millis(100);

/// Where tables are followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Path {
    /// At the store.
    #[display("direct")]
    Direct,
    /// Through another node.
    #[display("by_peer")]
    ByPeer,
    /// Not decided until node discovery has finished.
    #[display("undecided")]
    Undecided,
}

/// Inputs to the choice of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathInputs {
    /// The fleet is large: only readers follow tables at the store.
    pub large: bool,
    /// This node reads the tables from the store for others.
    pub reader: bool,
    /// This node cannot reach the store.
    pub lost: bool,
    /// Number of nodes that could serve the tables.
    pub peers: usize,
    /// All of them failed recently.
    pub peers_failed: bool,
}

pub fn choose_path(inputs: &PathInputs) -> Path {
    let needs_others = inputs.lost || (inputs.large && !inputs.reader);
    match needs_others && inputs.peers > 0 && !inputs.peers_failed {
        true => Path::ByPeer,
        false => Path::Direct,
    }
}

/// Path of this node to the store, shared by all threads.
pub struct Access {
    name: String,
    zone: String,
    zone_distances: Arc<ZoneDistances>,
    body_tables: Option<(Arc<View>, &'static [&'static str])>,
    health: Arc<StoreHealth>,
    clock: StoreClock,
    peers: Arc<PeerTable>,
    path: watch::Sender<Path>,
    peers_failed: Mutex<Option<Instant>>,
    starting: AtomicBool,
    log: Arc<EventLog>,
}

impl Access {
    /// Creates an access that starts on [`Path::Direct`].
    pub fn new(
        name: &str,
        zone: &str,
        health: Arc<StoreHealth>,
        peers: Arc<PeerTable>,
        log: Arc<EventLog>,
    ) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            zone_distances: Arc::new(ZoneDistances::single_region(zone)),
            body_tables: None,
            health,
            clock: StoreClock::default(),
            peers,
            path: watch::channel(Path::Direct).0,
            peers_failed: Mutex::default(),
            starting: AtomicBool::new(true),
            log,
        }
    }

    /// Sets the distances from this node to the zones of the deployment.
    pub fn with_zone_distances(self, zone_distances: Arc<ZoneDistances>) -> Self {
        Self {
            zone_distances,
            ..self
        }
    }

    /// Starts on [`Path::Undecided`], for a node that calls [`Access::discover_nodes`] first.
    pub fn undecided(self) -> Self {
        self.path.send_replace(Path::Undecided);
        self
    }

    /// Marks tables that hold request bodies. While the configuration restricts any request to home regions, calls for these
    /// tables are forwarded only within the region, so that no body leaves it.
    pub fn with_body_tables(self, view: Arc<View>, tables: &'static [&'static str]) -> Self {
        let body_tables = Some((view, tables));
        Self {
            body_tables,
            ..self
        }
    }

    /// Nodes that may forward a call for these tables, best first.
    pub fn relays_for<'a>(&self, tables: impl IntoIterator<Item = &'a str>) -> Vec<RelayPeer> {
        let mut relays = self.relays();
        let Some((view, body_tables)) = &self.body_tables else {
            return relays;
        };
        let mut tables = tables.into_iter();
        let bound = || {
            view.configuration()
                .is_some_and(|held| held.has_home_regions())
        };
        if tables.any(|table| body_tables.contains(&table)) && bound() {
            relays.retain(|peer| self.zone_distances.is_near(&peer.zone));
        }
        relays
    }

    /// Health of the direct path, from the outcomes of this node's own calls.
    pub fn health(&self) -> &StoreHealth {
        &self.health
    }

    /// Estimate of the store's clock, used to compute the age of data.
    pub fn clock(&self) -> &StoreClock {
        &self.clock
    }

    /// The current path.
    pub fn path(&self) -> Path {
        *self.path.borrow()
    }

    /// Names of the nodes that read the tables from the store for the region, chosen among the delegates of its zones. The
    /// other delegates copy from them, since server heartbeats are too much traffic for every delegate to read at the store.
    fn store_readers(&self, roster: &Roster) -> Vec<String> {
        let zones = roster
            .zones()
            .filter(|zone| self.zone_distances.is_near(zone));
        let delegates = zones.flat_map(|zone| roster.delegates(zone));
        let mut ranked: Vec<(u64, &String)> = delegates
            .map(|name| (xxh3_64(name.as_bytes()), name))
            .collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(STORE_READERS);
        first.map(|(_, name)| name.clone()).collect()
    }

    /// Whether this node reads the tables from the store for others.
    fn is_store_reader(&self, roster: &Roster) -> bool {
        roster.own_delegate_index().is_some() && self.store_readers(roster).contains(&self.name)
    }

    /// Long-poll wait to request. Delegates poll more often, since the ages of copies add up along the chain.
    pub(crate) fn poll_wait(&self) -> Duration {
        match self.serves_others() {
            true => DELEGATE_POLL_WAIT,
            false => POLL_WAIT,
        }
    }

    /// Shortest interval between polls; it grows with the zone, so the load on its delegates does not.
    pub(crate) fn poll_interval(&self) -> Duration {
        let roster = self.peers.roster();
        match self.peers.is_large() && roster.own_delegate_index().is_none() {
            true => POLL_INTERVAL_PER_NODE * roster.own_zone_peers().count() as u32,
            false => Duration::ZERO,
        }
    }

    /// Random delay before falling back to the store when no source is left.
    pub(crate) fn store_fallback_delay(&self) -> Duration {
        if !self.peers.is_large() || self.peers.is_delegate() {
            return Duration::ZERO;
        }
        let nodes = self.peers.roster().own_zone_peers().count() as u32;
        (FALLBACK_SPREAD_PER_NODE * nodes).mul_f64(rand::random_range(0.0..1.0))
    }

    /// Whether other nodes normally copy tables from this one.
    pub fn serves_others(&self) -> bool {
        self.peers.is_large() && self.peers.is_delegate()
    }

    /// Waits until this is the current path.
    pub async fn wait_for_path(&self, wanted: Path) {
        let mut path = self.path.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = path.wait_for(|path| *path == wanted).await;
    }

    /// Whether this node has not loaded all tables yet.
    pub fn is_starting(&self) -> bool {
        self.starting.load(Ordering::Relaxed)
    }

    /// Records that all tables are loaded.
    pub(crate) fn mark_started(&self) {
        self.starting.store(false, Ordering::Relaxed);
    }

    /// Nodes to copy tables from, best first. A node that starts while it cannot reach the store copies from any node: old
    /// data is better than none.
    pub fn sources(&self) -> Vec<RelayPeer> {
        let roster = self.peers.roster();
        if self.is_starting() && self.health.is_unavailable() {
            let mut peers = roster.peers.clone();
            self.sort(&mut peers);
            return peers;
        }
        if !self.peers.is_large() {
            return self.usable_relays();
        }
        let mut sources: Vec<RelayPeer> = match roster.own_delegate_index() {
            Some(_) => {
                let readers = self.store_readers(&roster);
                let readers = readers.iter().filter_map(|name| roster.peer(name));
                readers.cloned().collect()
            }
            None => {
                // Includes delegates of the region's other zones, preferred over the store; `sort` puts the own zone first.
                let zones = roster
                    .zones()
                    .filter(|zone| self.zone_distances.is_near(zone));
                let delegates = zones.flat_map(|zone| roster.delegate_peers(zone));
                delegates.cloned().collect()
            }
        };
        self.sort(&mut sources);
        sources
    }

    /// Nodes that may forward a call, best first.
    pub fn relays(&self) -> Vec<RelayPeer> {
        let mut relays = self.usable_relays();
        if relays.is_empty() && self.peers.is_large() {
            relays = self.sources();
        }
        relays
    }

    /// Reads the nodes of the own zone from the store and chooses the first path. In a large fleet a starting node then
    /// copies the tables from a peer, so that a restart of the fleet does not overload the store.
    pub async fn discover_nodes(&self, store: &dyn RowStore, nodes: &dyn TableSink) {
        let mut pause = DISCOVERY_BACKOFF;
        let mut from = String::new();
        let mut failures = 0;
        while failures < MAX_DISCOVERY_FAILURES
            && !(self.health.is_unavailable() && failures >= MAX_DISCOVERY_FAILURES_WHEN_LOST)
        {
            let read = store
                .read(NODES_TABLE, &self.zone, &from, "", DISCOVERY_PAGE_ROWS)
                .await;
            self.health.note(&read);
            let Ok(read) = read else {
                failures += 1;
                tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
                pause *= 2;
                continue;
            };
            let last = read.rows.last().map(|row| format!("{}\u{1}", row.key));
            for row in read.rows {
                let part = self.zone.clone();
                nodes.change(Row { part, ..row });
            }
            match last {
                Some(last) if read.more => from = last,
                _ => break,
            }
        }
        self.update_path();
    }

    /// Records that all sources failed.
    pub fn mark_peers_failed(&self) {
        *self.peers_failed.lock() = Some(Instant::now());
    }

    /// Probes the store and updates the path until the process ends.
    pub async fn run(&self, store: &dyn RowStore) {
        loop {
            let follows = self.peers.is_large() && self.path() == Path::ByPeer;
            let refresh = match follows && !self.health.is_unavailable() {
                true => FOLLOWER_REFRESH_INTERVAL,
                false => REFRESH_INTERVAL,
            };
            tokio::time::sleep(refresh).await;
            self.probe(store).await;
            self.refresh();
        }
    }

    /// Updates the path unless it is still undecided.
    pub fn refresh(&self) {
        if self.path() != Path::Undecided {
            self.update_path();
        }
    }

    fn update_path(&self) {
        let failed = *self.peers_failed.lock();
        let inputs = PathInputs {
            large: self.peers.is_large(),
            reader: self.is_store_reader(&self.peers.roster()),
            lost: self.health.is_unavailable(),
            peers: self.sources().len(),
            peers_failed: failed.is_some_and(|at| at.elapsed() < PEER_FAILURE_BACKOFF),
        };
        let next = choose_path(&inputs);
        let changed = self.path.send_if_modified(|path| {
            let changed = *path != next;
            *path = next;
            changed
        });
        if changed {
            self.log.write("store_path", || {
                serde_json::json!({"path": next.to_string(), "lost": inputs.lost,
                    "reader": inputs.reader, "large": inputs.large,
                    "peers": inputs.peers, "peers_failed": inputs.peers_failed,
                    "store_age_ms": self.health.age().map(|age| age.as_millis() as u64)})
            });
        }
    }

    /// Probes the store with a small read if it has not answered for a while and this node follows it or has lost it.
    async fn probe(&self, store: &dyn RowStore) {
        let is_idle = self.health.age().is_none_or(|age| age > PROBE_AFTER);
        let follows = self.path() == Path::Direct;
        if !(is_idle && (follows || self.health.is_unavailable())) {
            return;
        }
        let next_key = format!("{}\u{1}", self.name);
        let read = store.read(NODES_TABLE, &self.zone, &self.name, &next_key, 1);
        let outcome = tokio::time::timeout(PROBE_TIMEOUT, read).await;
        let outcome = outcome.unwrap_or_else(|_| {
            Err(dappleyard_model::StoreError::Ambiguous {
                reason: "no answer to a probe".to_owned(),
            })
        });
        self.health.note(&outcome);
    }

    /// Nodes that the store answered recently.
    fn usable_relays(&self) -> Vec<RelayPeer> {
        let answered = |peer: &RelayPeer| {
            peer.answered
                .is_some_and(|at| at.elapsed() < MAX_RELAY_STORE_AGE)
        };
        // The roster may be outdated here: it lacks the latest answer times.
        let mut usable_relays = self.peers.relay_peers();
        usable_relays.retain(answered);
        self.sort(&mut usable_relays);
        usable_relays
    }

    /// Sorts by distance; ties are broken by a hash of both names, so that nodes spread over their peers.
    fn sort(&self, peers: &mut [RelayPeer]) {
        peers.sort_by_key(|peer| {
            let mut bytes = self.name.as_bytes().to_vec();
            bytes.extend_from_slice(peer.name.as_bytes());
            (self.zone_distances.distance(&peer.zone), xxh3_64(&bytes))
        });
    }
}

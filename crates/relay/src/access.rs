//! How a node reaches the store: by itself, or by way of other nodes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::{
    NODES_TABLE, PeerTable, RelayPeer, Roster, StoreClock, StoreHealth, TableSink, View, Ways,
};
use dappleyard_model::{EventLog, Row, RowStore};
use derive_more::Display;
use parking_lot::Mutex;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(150);
/// The same for a node of a large fleet that takes tables from others: it looks at once when they fail it.
const FOLLOWER_LOOK: Duration = Duration::from_millis(450);
/// Time without an answer of the store after which a node that follows tables there makes sure.
const QUIET: Duration = Duration::from_millis(900);
/// Longest wait for the answer that makes sure.
const PROBE_LIMIT: Duration = Duration::from_millis(350);
/// A node that the store answered this long ago, as far as is known, may pass calls on.
const FIT: Duration = Duration::from_millis(2_000);
/// Time for which a node reads the store itself after its readers failed it.
const AFTER_FAILURE: Duration = Duration::from_secs(2);
/// Each node of a zone adds this to the time from one call for changes to the next of each of them. Rows of jobs change some
/// fifty times a second in a fleet of a thousand nodes; were each change a call of each node, the two readers of a zone of 200
/// would answer 10,000 a second. With this they answer 800, in a zone of any size, and such a node learns of a change 0.25 s
/// later.
const PACE_BY_NODE: Duration = Duration::from_micros(1_250);
/// In a large fleet nodes that all readers failed go to the store one after the other, so far apart in the mean for each
/// node of the zone: a thousand that follow 10,000 servers at the store read 0.6 GB a second, more than its link carries.
const BETWEEN_NODES: Duration = Duration::from_millis(20);
/// Nodes of a region that follow the tables at the store for the others: when one is lost, the other goes on.
const STORE_READERS: usize = 2;
/// How long another node may hold its answer.
const WAIT: Duration = Duration::from_millis(400);
/// The same for a call of a delegate.
const DELEGATE_WAIT: Duration = Duration::from_millis(150);
/// Rows of nodes that one call of the survey reads.
const SURVEYED: usize = 500;
/// Failed calls after which the survey ends without an answer.
const SURVEYS: u32 = 4;
/// The same while the store has answered nothing to this node for a while: others may have the tables.
const SURVEYS_WHEN_LOST: u32 = 1;
/// Pause after the first time that this failed; it doubles.
const SURVEY_PAUSE: Duration = Duration::from_millis(100);

/// How tables are followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Path {
    /// At the store.
    #[display("direct")]
    Direct,
    /// By way of another node.
    #[display("by_peer")]
    ByPeer,
    /// Not yet: this node first looks which nodes there are.
    #[display("undecided")]
    Undecided,
}

/// What the choice of a path rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Situation {
    /// The fleet is so large that only readers follow tables at the store.
    pub large: bool,
    /// This node is one of those that follow the tables for all others.
    pub reader: bool,
    /// The store does not answer this node.
    pub lost: bool,
    /// Other nodes could pass on what they know.
    pub peers: usize,
    /// Those failed a moment ago.
    pub peers_failed: bool,
}

/// Chooses a path.
pub fn decide(situation: &Situation) -> Path {
    let needs_others = situation.lost || (situation.large && !situation.reader);
    match needs_others && situation.peers > 0 && !situation.peers_failed {
        true => Path::ByPeer,
        false => Path::Direct,
    }
}

/// How this node reaches the store, shared by all threads.
pub struct Access {
    name: String,
    zone: String,
    ways: Arc<Ways>,
    bodies: Option<(Arc<View>, &'static [&'static str])>,
    health: Arc<StoreHealth>,
    clock: StoreClock,
    peers: Arc<PeerTable>,
    path: watch::Sender<Path>,
    peers_failed: Mutex<Option<Instant>>,
    starting: AtomicBool,
    log: Arc<EventLog>,
}

impl Access {
    /// Direct access of a node.
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
            ways: Arc::new(Ways::within(zone)),
            bodies: None,
            health,
            clock: StoreClock::default(),
            peers,
            path: watch::channel(Path::Direct).0,
            peers_failed: Mutex::default(),
            starting: AtomicBool::new(true),
            log,
        }
    }

    /// The same in a deployment where these ways begin at the node.
    pub fn with_ways(self, ways: Arc<Ways>) -> Self {
        Self { ways, ..self }
    }

    /// The same for a node that looks which nodes there are before it follows any table: see [`Access::survey`].
    pub fn undecided(self) -> Self {
        self.path.send_replace(Path::Undecided);
        self
    }

    /// The same where these tables hold bodies of requests. While the configuration binds any request to home
    /// regions, nodes of the own region alone pass calls about them on: a node holds bodies only of requests
    /// that may be in its region.
    pub fn with_bodies(self, view: Arc<View>, tables: &'static [&'static str]) -> Self {
        let bodies = Some((view, tables));
        Self { bodies, ..self }
    }

    /// Nodes that may pass a call about these tables on, the best first.
    pub fn relays_for<'a>(&self, tables: impl IntoIterator<Item = &'a str>) -> Vec<RelayPeer> {
        let mut relays = self.relays();
        let Some((view, bodies)) = &self.bodies else {
            return relays;
        };
        let mut tables = tables.into_iter();
        let bound = || view.configuration().is_some_and(|held| held.has_homes());
        if tables.any(|table| bodies.contains(&table)) && bound() {
            relays.retain(|peer| self.ways.is_near(&peer.zone));
        }
        relays
    }

    /// Outcomes of this node's own calls.
    pub fn health(&self) -> &StoreHealth {
        &self.health
    }

    /// The store's clock, for the age of what it or another node tells.
    pub fn clock(&self) -> &StoreClock {
        &self.clock
    }

    /// How tables are followed now.
    pub fn path(&self) -> Path {
        *self.path.borrow()
    }

    /// Names of the nodes that follow the tables at the store for the region: two of the delegates of its zones. All delegates
    /// take the tables from them, and each tells its zone. The entries of 10,000 servers change 2,000 times a second with
    /// their heartbeats, 0.6 MB, of which hardly anything matters: read by two delegates of each of five zones that is 0.3 GB
    /// in 50 s, by two nodes 0.06 GB.
    fn store_readers(&self, roster: &Roster) -> Vec<String> {
        let zones = roster.zones().filter(|zone| self.ways.is_near(zone));
        let delegates = zones.flat_map(|zone| roster.delegates(zone));
        let mut ranked: Vec<(u64, &String)> = delegates
            .map(|name| (xxh3_64(name.as_bytes()), name))
            .collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(STORE_READERS);
        first.map(|(_, name)| name.clone()).collect()
    }

    /// Whether this node follows the tables at the store for others.
    fn is_store_reader(&self, roster: &Roster) -> bool {
        roster.own_place().is_some() && self.store_readers(roster).contains(&self.name)
    }

    /// How long another node may hold its answer to this one. A delegate tells its whole zone what it hears, so it asks more
    /// often: ages add up on the way.
    pub(crate) fn held(&self) -> Duration {
        match self.serves_others() {
            true => DELEGATE_WAIT,
            false => WAIT,
        }
    }

    /// Shortest time from one call for changes to the next, so that the readers of a zone have the same work however many
    /// nodes it has.
    pub(crate) fn pace(&self) -> Duration {
        let roster = self.peers.roster();
        match self.peers.is_large() && roster.own_place().is_none() {
            true => PACE_BY_NODE * roster.near().count() as u32,
            false => Duration::ZERO,
        }
    }

    /// How long this node waits before it follows tables at the store since no other gave them.
    pub(crate) fn before_store(&self) -> Duration {
        if !self.peers.is_large() || self.peers.is_delegate() {
            return Duration::ZERO;
        }
        let nodes = self.peers.roster().near().count() as u32;
        (BETWEEN_NODES * nodes).mul_f64(rand::random_range(0.0..1.0))
    }

    /// Whether other nodes take tables from this one as a rule.
    pub fn serves_others(&self) -> bool {
        self.peers.is_large() && self.peers.is_delegate()
    }

    /// Waits until tables are followed by this path.
    pub async fn until(&self, wanted: Path) {
        let mut path = self.path.subscribe();
        // The sender lives as long as this does.
        let _ = path.wait_for(|path| *path == wanted).await;
    }

    /// Whether this node does not know all tables yet.
    pub fn is_starting(&self) -> bool {
        self.starting.load(Ordering::Relaxed)
    }

    /// All tables are known.
    pub(crate) fn started(&self) {
        self.starting.store(false, Ordering::Relaxed);
    }

    /// Nodes to take tables from, the best first. A node that starts while the store is away takes
    /// them from anybody: old knowledge is better than none.
    pub fn sources(&self) -> Vec<RelayPeer> {
        let roster = self.peers.roster();
        if self.is_starting() && self.health.is_lost() {
            let mut peers = roster.peers.clone();
            self.sort(&mut peers);
            return peers;
        }
        if !self.peers.is_large() {
            return self.fit();
        }
        let mut sources: Vec<RelayPeer> = match roster.own_place() {
            Some(_) => {
                let readers = self.store_readers(&roster);
                let readers = readers.iter().filter_map(|name| roster.peer(name));
                readers.cloned().collect()
            }
            None => {
                // Those of the own zone come first. Another one of the region is still better than the store.
                let zones = roster.zones().filter(|zone| self.ways.is_near(zone));
                let delegates = zones.flat_map(|zone| roster.delegate_peers(zone));
                delegates.cloned().collect()
            }
        };
        self.sort(&mut sources);
        sources
    }

    /// Nodes that may pass a call on, the best first.
    pub fn relays(&self) -> Vec<RelayPeer> {
        let mut relays = self.fit();
        if relays.is_empty() && self.peers.is_large() {
            relays = self.sources();
        }
        relays
    }

    /// Looks which nodes there are in the own zone, and chooses the first path by it. Where they are many, all tables come by
    /// way of one of them: if each node of a large fleet read them at the store when it begins, a thousand nodes before 10,000
    /// servers would read 3 GB, and keep the store busy for as long as they keep failing.
    pub async fn survey(&self, store: &dyn RowStore, nodes: &dyn TableSink) {
        let mut pause = SURVEY_PAUSE;
        let mut from = String::new();
        let mut failures = 0;
        while failures < SURVEYS && !(self.health.is_lost() && failures >= SURVEYS_WHEN_LOST) {
            let read = store
                .read(NODES_TABLE, &self.zone, &from, "", SURVEYED)
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
        self.choose();
    }

    /// Notes that no node gave what was asked.
    pub fn note_peers_failed(&self) {
        *self.peers_failed.lock() = Some(Instant::now());
    }

    /// Watches over the access until the process ends.
    pub async fn run(&self, store: &dyn RowStore) {
        loop {
            let follows = self.peers.is_large() && self.path() == Path::ByPeer;
            let look = match follows && !self.health.is_lost() {
                true => FOLLOWER_LOOK,
                false => LOOK,
            };
            tokio::time::sleep(look).await;
            self.probe(store).await;
            self.look();
        }
    }

    /// Chooses the path anew, once there is one.
    pub fn look(&self) {
        if self.path() != Path::Undecided {
            self.choose();
        }
    }

    fn choose(&self) {
        let failed = *self.peers_failed.lock();
        let situation = Situation {
            large: self.peers.is_large(),
            reader: self.is_store_reader(&self.peers.roster()),
            lost: self.health.is_lost(),
            peers: self.sources().len(),
            peers_failed: failed.is_some_and(|at| at.elapsed() < AFTER_FAILURE),
        };
        let next = decide(&situation);
        let changed = self.path.send_if_modified(|path| {
            let changed = *path != next;
            *path = next;
            changed
        });
        if changed {
            self.log.write("store_path", || {
                serde_json::json!({"path": next.to_string(), "lost": situation.lost,
                    "reader": situation.reader, "large": situation.large,
                    "peers": situation.peers, "peers_failed": situation.peers_failed,
                    "store_age_ms": self.health.age().map(|age| age.as_millis() as u64)})
            });
        }
    }

    /// Makes sure of the store when it has been quiet, or whether it answers again.
    async fn probe(&self, store: &dyn RowStore) {
        let quiet = self.health.age().is_none_or(|age| age > QUIET);
        let follows = self.path() == Path::Direct;
        if !(quiet && (follows || self.health.is_lost())) {
            return;
        }
        let behind = format!("{}\u{1}", self.name);
        let read = store.read(NODES_TABLE, &self.zone, &self.name, &behind, 1);
        let outcome = tokio::time::timeout(PROBE_LIMIT, read).await;
        let outcome = outcome.unwrap_or_else(|_| {
            Err(dappleyard_model::StoreError::Ambiguous {
                reason: "no answer to a probe".to_owned(),
            })
        });
        self.health.note(&outcome);
    }

    /// Nodes that the store answered a moment ago, as far as is known.
    fn fit(&self) -> Vec<RelayPeer> {
        let answered = |peer: &RelayPeer| peer.answered.is_some_and(|at| at.elapsed() < FIT);
        // Not of the roster, which does not know the newest answers.
        let mut fit = self.peers.relay_peers();
        fit.retain(answered);
        self.sort(&mut fit);
        fit
    }

    /// Nodes of the own zone first, then those of the region, in an order of this node's own.
    fn sort(&self, peers: &mut [RelayPeer]) {
        peers.sort_by_key(|peer| {
            let mut bytes = self.name.as_bytes().to_vec();
            bytes.extend_from_slice(peer.name.as_bytes());
            (self.ways.distance(&peer.zone), xxh3_64(&bytes))
        });
    }
}

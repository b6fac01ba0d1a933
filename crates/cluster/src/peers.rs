//! The other nodes: their rows, and when they were last heard.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_model::{EventLog, Row};
use parking_lot::Mutex;
use prost::Message;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;

use crate::delegates::{Candidate, delegates};
use crate::directory::FrontNode;
use crate::follow::{Contact, TableSink};
use crate::messages::{Heartbeat, LifeSign, LifeSigns, NodeRow};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Table of the nodes' rows.
pub const NODES_TABLE: &str = "nodes";
/// Silence after which a node of the own zone counts as down.
const NEAR_SILENCE: Duration = Duration::from_millis(700);
/// Silence after which a node of another zone counts as down.
const FAR_SILENCE: Duration = Duration::from_millis(1600);
/// Most nodes of a fleet in which every node hears every other.
pub const ALL_HEARD: usize = 24;
/// Silence after which a node counts as down in a larger fleet, where heartbeats are relayed.
const RELAYED_SILENCE: Duration = Duration::from_millis(2_500);
/// Nodes of which one heartbeat relays when they were heard.
const RELAYED: usize = 32;
/// Time that a node has from the moment its row is seen to its first heartbeat.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(1600);
/// Time without a sign after which a node is taken for gone for good.
pub(crate) const FORGOTTEN: Duration = Duration::from_secs(60);
/// A node that has had no answer of the store for this long can commit nothing.
const STORE_SILENCE: Duration = Duration::from_millis(3200);

/// When the store last answered the sender of a heartbeat itself.
fn direct_answer(heartbeat: &Heartbeat, now: Instant) -> Option<Instant> {
    let age_ms = u64::from(heartbeat.direct_age_ms.checked_sub(1)?);
    now.checked_sub(Duration::from_millis(age_ms))
}

/// Number that stands for one life of a node in relayed entries.
fn life_number(name: &str, life: u64) -> u32 {
    xxh3_64_with_seed(name.as_bytes(), life) as u32
}

/// What is believed of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatus {
    /// It is heard and takes requests.
    Ready,
    /// It is heard or was just started, and takes no requests.
    Present,
    /// It is heard, but the store does not answer it.
    Isolated,
    /// It has fallen silent, or it is not known.
    Down,
    /// Another process runs under its name.
    Replaced,
}

/// A node that can run jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
}

pub(crate) struct Peer {
    pub(crate) row: NodeRow,
    revision: u64,
    address: Option<SocketAddr>,
    seen: Instant,
    /// When its newest message is known to have come, here or at another node.
    heard: Option<Instant>,
    /// Number of that message.
    sequence: u64,
    ready: bool,
    leaving: bool,
    store_silent: bool,
    direct: Option<Instant>,
    logged_down: bool,
}

impl Peer {
    /// Whether the node may still be there: it was heard, or its row seen, not long ago.
    fn is_recent(&self, now: Instant) -> bool {
        now.duration_since(self.last()) < FORGOTTEN
    }

    /// When it was last heard, or its row seen.
    pub(crate) fn last(&self) -> Instant {
        self.heard.unwrap_or(self.seen).max(self.seen)
    }

    /// Whether the node took requests when it was last heard.
    fn took_requests(&self) -> bool {
        self.heard.is_some() && self.ready && !(self.leaving || self.row.leaving)
    }

    /// Takes a message of the node for known since some time; an older one than known says nothing.
    fn note_message(&mut self, sequence: u64, at: Instant) {
        if self.heard.is_none() || sequence > self.sequence {
            self.sequence = sequence;
            self.heard = self.heard.max(Some(at));
        }
    }
}

/// A node that is heard before its row is known.
struct Stranger {
    address: SocketAddr,
    heard: Instant,
    direct: Option<Instant>,
}

/// A node that may pass calls to the store on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayPeer {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Address for calls between nodes.
    pub address: SocketAddr,
    /// Time since the store last answered it, as far as is known.
    pub direct_age: Option<Duration>,
    /// Its machine can carry duties for a whole zone.
    pub strong: bool,
}

/// The nodes that are known, this one included.
pub struct PeerTable {
    pub(crate) own_name: String,
    pub(crate) own_zone: String,
    pub(crate) peers: Mutex<HashMap<String, Peer>>,
    /// Senders of heartbeats while no row of a node is known. Locked after `peers`.
    strangers: Mutex<HashMap<String, Stranger>>,
    changed: Notify,
    log: Arc<EventLog>,
}

impl PeerTable {
    /// A table that knows no node yet.
    pub fn new(own_name: &str, own_zone: &str, log: Arc<EventLog>) -> Self {
        Self {
            own_name: own_name.to_owned(),
            own_zone: own_zone.to_owned(),
            peers: Mutex::default(),
            strangers: Mutex::default(),
            changed: Notify::new(),
            log,
        }
    }

    /// Waits for the next change of a node's row.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// What is believed of the life of a node.
    pub fn status(&self, name: &str, life: u64) -> PeerStatus {
        let peers = self.peers.lock();
        match peers.get(name) {
            Some(peer) if peer.row.life == life => self.judge(peer, Instant::now(), peers.len()),
            Some(_) => PeerStatus::Replaced,
            None => PeerStatus::Down,
        }
    }

    /// The nodes that can run jobs, this one included when it is fit.
    pub fn workers(&self, own_fit: bool) -> Vec<Worker> {
        let now = Instant::now();
        let peers = self.peers.lock();
        let others = peers
            .iter()
            .filter(|(name, _)| **name != self.own_name)
            .filter(|(_, peer)| self.judge(peer, now, peers.len()) == PeerStatus::Ready)
            .map(|(name, peer)| Worker {
                name: name.clone(),
                zone: peer.row.zone.clone(),
            });
        let own = own_fit.then(|| Worker {
            name: self.own_name.clone(),
            zone: self.own_zone.clone(),
        });
        others.chain(own).collect()
    }

    /// Nodes that callers may be sent to, this one left out: those that take requests, and those that did when
    /// they were last heard.
    pub fn front_nodes(&self) -> Vec<FrontNode> {
        let now = Instant::now();
        let peers = self.peers.lock();
        let others = peers.iter().filter(|(name, _)| **name != self.own_name);
        let taking = others.filter_map(|(_, peer)| {
            let ready = match self.judge(peer, now, peers.len()) {
                PeerStatus::Ready => true,
                PeerStatus::Down if peer.took_requests() => false,
                _ => return None,
            };
            let newest = peer.heard.unwrap_or(peer.seen).max(peer.seen);
            Some(FrontNode {
                address: peer.row.front.clone(),
                zone: peer.row.zone.clone(),
                age: now.duration_since(newest),
                ready,
                strong: peer.row.strong,
            })
        });
        taking.collect()
    }

    /// Where to send heartbeats: address, and whether the node is in the own zone.
    pub fn heartbeat_targets(&self) -> Vec<(SocketAddr, bool)> {
        let now = Instant::now();
        let peers = self.peers.lock();
        peers
            .iter()
            .filter(|(name, _)| **name != self.own_name)
            .filter(|(_, peer)| peer.is_recent(now))
            .filter_map(|(_, peer)| Some((peer.address?, peer.row.zone == self.own_zone)))
            .collect()
    }

    /// Notes who sends heartbeats while this node knows no row of any node: one that starts while
    /// the store is away learns from them.
    pub fn meet(&self, heartbeat: &Heartbeat, address: SocketAddr) {
        let peers = self.peers.lock();
        if !peers.is_empty() || heartbeat.name == self.own_name {
            return;
        }
        let now = Instant::now();
        let stranger = Stranger {
            address,
            heard: now,
            direct: direct_answer(heartbeat, now),
        };
        let mut strangers = self.strangers.lock();
        strangers.insert(heartbeat.name.clone(), stranger);
    }

    fn strangers(&self, now: Instant) -> Vec<RelayPeer> {
        let strangers = self.strangers.lock();
        let heard = strangers
            .iter()
            .filter(|(_, stranger)| now.duration_since(stranger.heard) < FAR_SILENCE);
        heard
            .map(|(name, stranger)| RelayPeer {
                name: name.clone(),
                zone: String::new(),
                address: stranger.address,
                direct_age: stranger.direct.map(|at| now.duration_since(at)),
                strong: false,
            })
            .collect()
    }

    /// The other nodes that are alive and stay.
    pub fn relay_peers(&self) -> Vec<RelayPeer> {
        let now = Instant::now();
        let peers = self.peers.lock();
        if peers.is_empty() {
            return self.strangers(now);
        }
        let others = peers.iter().filter(|(name, peer)| {
            let leaves = peer.row.leaving || peer.leaving;
            **name != self.own_name
                && !leaves
                && self.judge(peer, now, peers.len()) != PeerStatus::Down
        });
        others
            .filter_map(|(name, peer)| {
                Some(RelayPeer {
                    name: name.clone(),
                    zone: peer.row.zone.clone(),
                    address: peer.address?,
                    direct_age: peer.direct.map(|at| now.duration_since(at)),
                    strong: peer.row.strong,
                })
            })
            .collect()
    }

    /// The delegates of other zones of which no node is heard, as these zones chose them when all was well.
    pub fn silent_delegates(&self) -> Vec<RelayPeer> {
        let silent = self.silent_zones();
        let chosen = silent.iter().flat_map(|(zone, nodes)| {
            let names = self.delegates_among(nodes, zone);
            let chosen = nodes
                .iter()
                .filter(move |node| names.contains(&node.name.as_str()));
            chosen.cloned()
        });
        chosen.collect()
    }

    /// The nodes of other zones of which none is heard, as they were last known.
    fn silent_zones(&self) -> BTreeMap<String, Vec<RelayPeer>> {
        let now = Instant::now();
        let alive = self.relay_peers();
        let heard: HashSet<&str> = alive.iter().map(|peer| peer.zone.as_str()).collect();
        let mut zones: BTreeMap<String, Vec<RelayPeer>> = BTreeMap::new();
        let peers = self.peers.lock();
        for (name, peer) in peers.iter() {
            let zone = &peer.row.zone;
            let leaves = peer.row.leaving || peer.leaving;
            if *zone == self.own_zone || heard.contains(zone.as_str()) || leaves {
                continue;
            }
            let Some(address) = peer.address.filter(|_| peer.is_recent(now)) else {
                continue;
            };
            zones.entry(zone.clone()).or_default().push(RelayPeer {
                name: name.clone(),
                zone: zone.clone(),
                address,
                direct_age: None,
                strong: peer.row.strong,
            });
        }
        zones
    }

    /// Number of nodes that have a row, this one included.
    pub fn listed(&self) -> usize {
        self.peers.lock().len()
    }

    /// Number of nodes that have a row and were heard or began within the last minute, this one
    /// included: the row of a machine that is gone for good may stay.
    pub fn expected(&self) -> usize {
        let now = Instant::now();
        let peers = self.peers.lock();
        let others = peers
            .iter()
            .filter(|(name, _)| **name != self.own_name)
            .filter(|(_, peer)| peer.is_recent(now));
        others.count() + 1
    }

    /// Number of nodes that are heard, this one included.
    pub fn count(&self) -> usize {
        let now = Instant::now();
        let peers = self.peers.lock();
        let others = peers
            .iter()
            .filter(|(name, _)| **name != self.own_name)
            .filter(|(_, peer)| self.judge(peer, now, peers.len()) != PeerStatus::Down);
        others.count() + 1
    }

    /// Takes a heartbeat; whether it is of a life that is known.
    pub fn heard(&self, heartbeat: &Heartbeat) -> bool {
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(&heartbeat.name) else {
            return false;
        };
        if peer.row.life != heartbeat.life {
            return false;
        }
        peer.note_message(heartbeat.sequence, Instant::now());
        peer.ready = heartbeat.ready;
        peer.leaving = heartbeat.leaving;
        peer.store_silent =
            Duration::from_millis(u64::from(heartbeat.store_age_ms)) > STORE_SILENCE;
        if let Some(direct) = direct_answer(heartbeat, Instant::now()) {
            peer.direct = Some(direct);
        }
        if std::mem::take(&mut peer.logged_down) {
            self.log.write(
                "peer_back",
                || serde_json::json!({"peer": heartbeat.name, "life": heartbeat.life}),
            );
        }
        true
    }

    /// Whether the fleet is so large that not every node hears every other.
    pub fn is_large(&self) -> bool {
        self.peers.lock().len() > ALL_HEARD
    }

    /// Whether this node is a delegate of its zone.
    pub fn is_delegate(&self) -> bool {
        self.delegates(&self.own_zone).contains(&self.own_name)
    }

    /// The delegates of a zone among the nodes that are alive and stay, this one included.
    pub fn delegates(&self, zone: &str) -> Vec<String> {
        let peers = self.relay_peers();
        self.delegates_among(&peers, zone)
            .into_iter()
            .map(str::to_owned)
            .collect()
    }

    /// The delegates of a zone among some nodes and this one.
    pub(crate) fn delegates_among<'a>(
        &'a self,
        peers: &'a [RelayPeer],
        zone: &str,
    ) -> Vec<&'a str> {
        let others = peers.iter().filter(|peer| peer.zone == zone);
        let others = others.map(|peer| Candidate {
            name: &peer.name,
            strong: peer.strong,
        });
        let own = (zone == self.own_zone).then(|| Candidate {
            name: &self.own_name,
            strong: self.is_strong(),
        });
        delegates(others.chain(own))
    }

    /// Whether this node's own row says that it can carry duties for its zone.
    fn is_strong(&self) -> bool {
        let peers = self.peers.lock();
        peers.get(&self.own_name).is_some_and(|own| own.row.strong)
    }

    /// Zone of a node.
    pub(crate) fn zone_of(&self, name: &str) -> Option<String> {
        let peers = self.peers.lock();
        peers.get(name).map(|peer| peer.row.zone.clone())
    }

    /// Takes the sender of a message for alive; whether it is of a life that is known.
    pub(crate) fn heard_from(&self, name: &str, life: u64, sequence: u64) -> bool {
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(name).filter(|peer| peer.row.life == life) else {
            return false;
        };
        peer.note_message(sequence, Instant::now());
        true
    }

    /// Life signs of the nodes of one zone, or of all zones.
    pub fn life_signs(&self, zone: Option<&str>) -> LifeSigns {
        let wanted = |peer: &Peer| zone.is_none_or(|zone| peer.row.zone == zone);
        self.recent_signs(wanted).into_iter().collect()
    }

    /// Life signs of some nodes, chosen at random.
    pub(crate) fn some_life_signs(&self) -> LifeSigns {
        let signs = self.recent_signs(|_| true);
        let chosen = signs.choose_multiple(&mut rand::rng(), RELAYED);
        chosen.copied().collect()
    }

    fn recent_signs(&self, wanted: impl Fn(&Peer) -> bool) -> Vec<LifeSign> {
        let now = Instant::now();
        let peers = self.peers.lock();
        let recent = peers
            .iter()
            .filter(|(_, peer)| wanted(peer))
            .filter_map(|(name, peer)| {
                let age = now.duration_since(peer.heard?);
                (age < RELAYED_SILENCE).then(|| LifeSign {
                    node: life_number(name, peer.row.life),
                    sequence: peer.sequence,
                    age_ms: age.as_millis() as u32,
                })
            });
        recent.collect()
    }

    /// Takes over the life signs that another node knows of.
    pub fn take_life_signs(&self, signs: &LifeSigns) {
        if signs.nodes.is_empty() {
            return;
        }
        let now = Instant::now();
        let signs: HashMap<u32, LifeSign> = signs.iter().map(|sign| (sign.node, sign)).collect();
        let mut peers = self.peers.lock();
        for (name, peer) in peers.iter_mut() {
            let Some(sign) = signs.get(&life_number(name, peer.row.life)) else {
                continue;
            };
            let age = Duration::from_millis(u64::from(sign.age_ms));
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            if peer.heard.is_none() {
                // A node that others hear takes requests unless its row says otherwise.
                peer.ready = true;
            }
            peer.note_message(sign.sequence, at);
        }
    }

    /// Writes a record for each node that has fallen silent since the last call.
    pub(crate) fn log_silent(&self) {
        let now = Instant::now();
        let mut peers = self.peers.lock();
        let fleet = peers.len();
        for (name, peer) in peers.iter_mut() {
            let down = *name != self.own_name && self.judge(peer, now, fleet) == PeerStatus::Down;
            if down && !peer.logged_down {
                peer.logged_down = true;
                let silent_ms = peer
                    .heard
                    .map(|heard| now.duration_since(heard).as_millis());
                self.log.write("peer_gone", || {
                    serde_json::json!({"peer": name, "life": peer.row.life,
                        "silent_ms": silent_ms.map(|ms| ms as u64)})
                });
            }
        }
    }

    pub(crate) fn judge(&self, peer: &Peer, now: Instant, fleet: usize) -> PeerStatus {
        let limit = match (fleet > ALL_HEARD, peer.row.zone == self.own_zone) {
            (true, _) => RELAYED_SILENCE,
            (false, true) => NEAR_SILENCE,
            (false, false) => FAR_SILENCE,
        };
        let alive = match peer.heard {
            Some(heard) => now.duration_since(heard) < limit,
            None => now.duration_since(peer.seen) < FIRST_HEARTBEAT,
        };
        if !alive {
            return PeerStatus::Down;
        }
        if peer.row.leaving || peer.leaving || !peer.ready {
            return PeerStatus::Present;
        }
        match peer.store_silent {
            true => PeerStatus::Isolated,
            false => PeerStatus::Ready,
        }
    }

    fn put(peers: &mut HashMap<String, Peer>, row: &Row) {
        let Some(value) = &row.value else {
            peers.remove(&row.key);
            return;
        };
        let Ok(node) = NodeRow::decode(value.clone()) else {
            return;
        };
        let address = node.peer.parse().ok();
        match peers.get_mut(&row.key) {
            Some(peer) if peer.revision >= row.revision => {}
            Some(peer) if peer.row.life == node.life => {
                peer.row = node;
                peer.revision = row.revision;
            }
            _ => {
                let peer = Peer {
                    row: node,
                    revision: row.revision,
                    address,
                    seen: Instant::now(),
                    heard: None,
                    sequence: 0,
                    ready: false,
                    leaving: false,
                    store_silent: false,
                    direct: None,
                    logged_down: false,
                };
                peers.insert(row.key.clone(), peer);
            }
        }
    }
}

impl TableSink for PeerTable {
    fn table(&self) -> &'static str {
        NODES_TABLE
    }

    fn is_partitioned(&self) -> bool {
        false
    }

    fn replace(&self, rows: Vec<Row>, revision: u64) {
        let mut peers = self.peers.lock();
        peers.retain(|name, peer| {
            peer.revision > revision || rows.iter().any(|row| row.key == *name)
        });
        for row in &rows {
            Self::put(&mut peers, row);
        }
        drop(peers);
        self.changed.notify_waiters();
    }

    fn change(&self, row: Row) {
        Self::put(&mut self.peers.lock(), &row);
        self.changed.notify_waiters();
    }

    fn contact(&self, _contact: &Contact) {}
}

//! The other nodes: their rows, and when they were last heard.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dappleyard_model::EventLog;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::directory::FrontNode;
use crate::messages::{Heartbeat, NodeRow};
use crate::roster::HeldRoster;
use crate::strangers::Stranger;
use dappleyard_clock::Instant;

/// Table of the nodes' rows.
pub const NODES_TABLE: &str = "nodes";
/// Silence after which a node of the own zone counts as down.
const NEAR_SILENCE: Duration = Duration::from_millis(700);
/// Silence after which a node of another zone counts as down.
pub(crate) const FAR_SILENCE: Duration = Duration::from_millis(1600);
/// Most nodes of a fleet in which every node hears every other.
pub const ALL_HEARD: usize = 24;
/// Silence after which a node counts as down in a larger fleet, where heartbeats are relayed.
pub(crate) const RELAYED_SILENCE: Duration = Duration::from_millis(2_500);
/// Time that a node has from the moment its row is seen to its first heartbeat.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(1600);
/// Time without a sign after which a node is taken for gone for good.
pub(crate) const FORGOTTEN: Duration = Duration::from_secs(60);
/// A node that has had no answer of the store for this long can commit nothing.
const STORE_SILENCE: Duration = Duration::from_millis(3200);

/// When the store last answered the sender of a heartbeat itself.
pub(crate) fn direct_answer(heartbeat: &Heartbeat, now: Instant) -> Option<Instant> {
    let age_ms = u64::from(heartbeat.direct_age_ms.checked_sub(1)?);
    now.checked_sub(Duration::from_millis(age_ms))
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
    /// Number that stands for its row as it is: name, life, zone, addresses and strength.
    pub(crate) number: u64,
    pub(crate) row: NodeRow,
    /// Partition in which the row stands.
    pub(crate) part: String,
    pub(crate) revision: u64,
    pub(crate) address: Option<SocketAddr>,
    pub(crate) seen: Instant,
    /// When its newest message is known to have come, here or at another node.
    pub(crate) heard: Option<Instant>,
    /// Number of that message.
    pub(crate) sequence: u64,
    pub(crate) ready: bool,
    pub(crate) leaving: bool,
    pub(crate) store_silent: bool,
    pub(crate) direct: Option<Instant>,
    pub(crate) logged_down: bool,
}

impl Peer {
    /// Whether the node may still be there: it was heard, or its row seen, not long ago.
    pub(crate) fn is_recent(&self, now: Instant) -> bool {
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
    pub(crate) fn note_message(&mut self, sequence: u64, at: Instant) {
        if self.heard.is_none() || sequence > self.sequence {
            self.sequence = sequence;
            self.heard = self.heard.max(Some(at));
        }
    }
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
    /// When the store last answered it, as far as is known.
    pub answered: Option<Instant>,
    /// Its machine can carry duties for a whole zone.
    pub strong: bool,
}

/// The nodes that are known, this one included.
pub struct PeerTable {
    pub(crate) own_name: String,
    pub(crate) own_zone: String,
    pub(crate) peers: Mutex<HashMap<String, Peer>>,
    /// Senders of heartbeats while no row of a node is known. Locked after `peers`.
    pub(crate) strangers: Mutex<HashMap<String, Stranger>>,
    pub(crate) changed: Notify,
    /// Counts the changes after which a roster is no longer true: nodes that come or leave.
    changes: AtomicU64,
    /// Never locked together with `peers`.
    pub(crate) roster: Mutex<HeldRoster>,
    pub(crate) log: Arc<EventLog>,
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
            changes: AtomicU64::new(0),
            roster: Mutex::default(),
            log,
        }
    }

    /// Counts the changes after which a roster is no longer true.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.load(Ordering::Acquire)
    }

    /// A node came or left.
    pub(crate) fn note_change(&self) {
        self.changes.fetch_add(1, Ordering::Release);
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

    /// Whether a node is alive and stays, in a fleet of some size.
    fn stays(&self, peer: &Peer, now: Instant, fleet: usize) -> bool {
        let leaves = peer.row.leaving || peer.leaving;
        !leaves && self.judge(peer, now, fleet) != PeerStatus::Down
    }

    /// Sum over the numbers of the nodes that are alive and stay: the same for the same nodes.
    pub(crate) fn sum_of_alive(&self) -> u64 {
        let now = Instant::now();
        let peers = self.peers.lock();
        let alive = peers
            .values()
            .filter(|peer| self.stays(peer, now, peers.len()));
        alive.fold(0_u64, |sum, peer| sum.wrapping_add(peer.number))
    }

    /// The other nodes that are alive and stay.
    pub fn relay_peers(&self) -> Vec<RelayPeer> {
        let now = Instant::now();
        let peers = self.peers.lock();
        if peers.is_empty() {
            return self.strangers(now);
        }
        let others = peers
            .iter()
            .filter(|(name, peer)| **name != self.own_name && self.stays(peer, now, peers.len()));
        others
            .filter_map(|(name, peer)| {
                Some(RelayPeer {
                    name: name.clone(),
                    zone: peer.row.zone.clone(),
                    address: peer.address?,
                    answered: peer.direct,
                    strong: peer.row.strong,
                })
            })
            .collect()
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
        let now = Instant::now();
        let returns = peer
            .heard
            .is_none_or(|at| now.duration_since(at) >= FAR_SILENCE);
        if returns || peer.leaving != heartbeat.leaving {
            self.note_change();
        }
        peer.note_message(heartbeat.sequence, now);
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
}

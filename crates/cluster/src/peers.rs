//! Peer table: the rows of the other nodes and when each was last heard.

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
use crate::roster::RosterCache;
use crate::unlisted::UnlistedSender;
use dappleyard_clock::Instant;

pub const NODES_TABLE: &str = "nodes";
/// Silence after which a node of the own zone counts as down in a small fleet.
const SAME_ZONE_TIMEOUT: Duration = Duration::from_millis(700);
/// Silence after which a node of another zone counts as down in a small fleet.
pub(crate) const OTHER_ZONE_TIMEOUT: Duration = Duration::from_millis(1600);
/// Maximum number of nodes of a small fleet, in which every node sends heartbeats to every other.
pub const MAX_FULL_MESH_NODES: usize = 24;
/// Silence after which a node counts as down in a large fleet, where heartbeats are relayed.
pub(crate) const RELAYED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time allowed from the discovery of a node's row to its first heartbeat.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1600);
/// Silence after which a node counts as gone permanently.
pub(crate) const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Silence of the store after which a node counts as isolated from it.
const STORE_TIMEOUT: Duration = Duration::from_millis(3200);

/// When the store last answered a direct call of the sender. The heartbeat holds the age in
/// milliseconds plus one; 0 stands for no answer.
pub(crate) fn last_direct_answer(heartbeat: &Heartbeat, now: Instant) -> Option<Instant> {
    let age_ms = u64::from(heartbeat.direct_age_ms.checked_sub(1)?);
    now.checked_sub(Duration::from_millis(age_ms))
}

/// Liveness of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatus {
    /// Alive and accepting requests.
    Ready,
    /// Alive or just started, and not accepting requests.
    Present,
    /// Alive, but without contact to the store.
    Isolated,
    /// Silent or unknown.
    Down,
    /// Superseded by another run of the process with the same name.
    Replaced,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Worker {
    pub name: String,
    pub zone: String,
}

pub(crate) struct Peer {
    /// Hash of its name and row.
    pub(crate) row_hash: u64,
    pub(crate) row: NodeRow,
    /// Table partition in which the row was found.
    pub(crate) part: String,
    pub(crate) revision: u64,
    pub(crate) address: Option<SocketAddr>,
    /// When this node first read a row of this run.
    pub(crate) row_seen_at: Instant,
    /// When its newest known message arrived, here or at another node.
    pub(crate) heard: Option<Instant>,
    /// Sequence number of that message.
    pub(crate) sequence: u64,
    pub(crate) ready: bool,
    pub(crate) leaving: bool,
    pub(crate) store_timed_out: bool,
    pub(crate) store_answered_at: Option<Instant>,
    pub(crate) logged_down: bool,
}

impl Peer {
    /// Whether the node was heard, or its row discovered, within `FORGET_AFTER`.
    pub(crate) fn is_recent(&self, now: Instant) -> bool {
        now.duration_since(self.last_seen()) < FORGET_AFTER
    }

    /// When it was last heard or its row was discovered.
    pub(crate) fn last_seen(&self) -> Instant {
        self.heard.unwrap_or(self.row_seen_at).max(self.row_seen_at)
    }

    /// Whether the node accepted requests when it was last heard.
    fn was_ready(&self) -> bool {
        self.heard.is_some() && self.ready && !(self.leaving || self.row.leaving)
    }

    /// Records the arrival of a message; one that is older than the newest known is ignored.
    pub(crate) fn record_message(&mut self, sequence: u64, at: Instant) {
        if self.heard.is_none() || sequence > self.sequence {
            self.sequence = sequence;
            self.heard = self.heard.max(Some(at));
        }
    }
}

/// A node that may relay calls to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayPeer {
    pub name: String,
    pub zone: String,
    /// Address for traffic between nodes.
    pub address: SocketAddr,
    /// When the store last answered a direct call of it, as far as is known.
    pub answered: Option<Instant>,
    /// Its machine has the capacity to act as a delegate.
    pub strong: bool,
}

/// The known nodes, including this one.
pub struct PeerTable {
    pub(crate) own_name: String,
    pub(crate) own_zone: String,
    pub(crate) peers: Mutex<HashMap<String, Peer>>,
    /// Senders of heartbeats while no node row is known. Locked after `peers`.
    pub(crate) unlisted_senders: Mutex<HashMap<String, UnlistedSender>>,
    pub(crate) changed: Notify,
    /// Incremented by each change that invalidates the roster: nodes that join or leave.
    changes: AtomicU64,
    /// Never locked together with `peers`.
    pub(crate) roster: Mutex<RosterCache>,
    pub(crate) log: Arc<EventLog>,
}

impl PeerTable {
    /// Creates an empty table.
    pub fn new(own_name: &str, own_zone: &str, log: Arc<EventLog>) -> Self {
        Self {
            own_name: own_name.to_owned(),
            own_zone: own_zone.to_owned(),
            peers: Mutex::default(),
            unlisted_senders: Mutex::default(),
            changed: Notify::new(),
            changes: AtomicU64::new(0),
            roster: Mutex::default(),
            log,
        }
    }

    /// Number of changes that invalidated the roster.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.load(Ordering::Acquire)
    }

    /// Records that a node joined or left.
    pub(crate) fn record_membership_change(&self) {
        self.changes.fetch_add(1, Ordering::Release);
    }

    /// Waits for the next change of any node row.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Status of one run of a node.
    pub fn status(&self, name: &str, life: u64) -> PeerStatus {
        let peers = self.peers.lock();
        match peers.get(name) {
            Some(peer) if peer.row.life == life => {
                self.evaluate_status(peer, Instant::now(), peers.len())
            }
            Some(_) => PeerStatus::Replaced,
            None => PeerStatus::Down,
        }
    }

    /// The nodes that can run jobs, including this one if `own_ready` is set.
    pub fn workers(&self, own_ready: bool) -> Vec<Worker> {
        let now = Instant::now();
        let peers = self.peers.lock();
        let others = peers
            .iter()
            .filter(|(name, _)| **name != self.own_name)
            .filter(|(_, peer)| self.evaluate_status(peer, now, peers.len()) == PeerStatus::Ready)
            .map(|(name, peer)| Worker {
                name: name.clone(),
                zone: peer.row.zone.clone(),
            });
        let own = own_ready.then(|| Worker {
            name: self.own_name.clone(),
            zone: self.own_zone.clone(),
        });
        others.chain(own).collect()
    }

    /// The other nodes whose addresses callers may get: those that accept requests, and silent ones
    /// that did when they were last heard.
    pub fn front_nodes(&self) -> Vec<FrontNode> {
        let now = Instant::now();
        let peers = self.peers.lock();
        let others = peers.iter().filter(|(name, _)| **name != self.own_name);
        let listed = others.filter_map(|(_, peer)| {
            let ready = match self.evaluate_status(peer, now, peers.len()) {
                PeerStatus::Ready => true,
                PeerStatus::Down if peer.was_ready() => false,
                _ => return None,
            };
            let newest = peer.heard.unwrap_or(peer.row_seen_at).max(peer.row_seen_at);
            Some(FrontNode {
                address: peer.row.front.clone(),
                zone: peer.row.zone.clone(),
                age: now.duration_since(newest),
                ready,
                strong: peer.row.strong,
            })
        });
        listed.collect()
    }

    /// Heartbeat targets: address, and whether the node is in the own zone.
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

    /// Whether a node is alive and not shutting down.
    fn is_active(&self, peer: &Peer, now: Instant, fleet: usize) -> bool {
        let is_leaving = peer.row.leaving || peer.leaving;
        !is_leaving && self.evaluate_status(peer, now, fleet) != PeerStatus::Down
    }

    /// Sum of the row hashes of the nodes that are alive and not shutting down; changes with this
    /// set.
    pub(crate) fn alive_hash_sum(&self) -> u64 {
        let now = Instant::now();
        let peers = self.peers.lock();
        let alive = peers
            .values()
            .filter(|peer| self.is_active(peer, now, peers.len()));
        alive.fold(0_u64, |sum, peer| sum.wrapping_add(peer.row_hash))
    }

    /// The other nodes that are alive and not shutting down; while no row is known, those that sent
    /// heartbeats.
    pub fn relay_peers(&self) -> Vec<RelayPeer> {
        let now = Instant::now();
        let peers = self.peers.lock();
        if peers.is_empty() {
            return self.unlisted_senders(now);
        }
        let others = peers.iter().filter(|(name, peer)| {
            **name != self.own_name && self.is_active(peer, now, peers.len())
        });
        others
            .filter_map(|(name, peer)| {
                Some(RelayPeer {
                    name: name.clone(),
                    zone: peer.row.zone.clone(),
                    address: peer.address?,
                    answered: peer.store_answered_at,
                    strong: peer.row.strong,
                })
            })
            .collect()
    }

    /// Number of nodes with a row, including this one.
    pub fn row_count(&self) -> usize {
        self.peers.lock().len()
    }

    /// Number of nodes that were heard or whose row was discovered within `FORGET_AFTER`, including
    /// this one. Rows of machines that are gone permanently do not count.
    pub fn expected(&self) -> usize {
        let now = Instant::now();
        let peers = self.peers.lock();
        let others = peers
            .iter()
            .filter(|(name, _)| **name != self.own_name)
            .filter(|(_, peer)| peer.is_recent(now));
        others.count() + 1
    }

    /// Number of nodes that are alive, including this one.
    pub fn count(&self) -> usize {
        let now = Instant::now();
        let peers = self.peers.lock();
        let others = peers
            .iter()
            .filter(|(name, _)| **name != self.own_name)
            .filter(|(_, peer)| self.evaluate_status(peer, now, peers.len()) != PeerStatus::Down);
        others.count() + 1
    }

    /// Applies a heartbeat; returns whether its sender is a known run of a node.
    pub fn apply_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(&heartbeat.name) else {
            return false;
        };
        if peer.row.life != heartbeat.life {
            return false;
        }
        let now = Instant::now();
        let is_back = peer
            .heard
            .is_none_or(|at| now.duration_since(at) >= OTHER_ZONE_TIMEOUT);
        if is_back || peer.leaving != heartbeat.leaving {
            self.record_membership_change();
        }
        peer.record_message(heartbeat.sequence, now);
        peer.ready = heartbeat.ready;
        peer.leaving = heartbeat.leaving;
        peer.store_timed_out =
            Duration::from_millis(u64::from(heartbeat.store_age_ms)) > STORE_TIMEOUT;
        if let Some(direct) = last_direct_answer(heartbeat, Instant::now()) {
            peer.store_answered_at = Some(direct);
        }
        if std::mem::take(&mut peer.logged_down) {
            self.log.write(
                "peer_back",
                || serde_json::json!({"peer": heartbeat.name, "life": heartbeat.life}),
            );
        }
        true
    }

    /// Whether the fleet has more than `MAX_FULL_MESH_NODES` nodes, so that heartbeats go to
    /// delegates instead of all nodes.
    pub fn is_large(&self) -> bool {
        self.peers.lock().len() > MAX_FULL_MESH_NODES
    }

    pub(crate) fn zone_of(&self, name: &str) -> Option<String> {
        let peers = self.peers.lock();
        peers.get(name).map(|peer| peer.row.zone.clone())
    }

    /// Records a message of a node; returns whether it is a known run.
    pub(crate) fn record_message_from(&self, name: &str, life: u64, sequence: u64) -> bool {
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(name).filter(|peer| peer.row.life == life) else {
            return false;
        };
        peer.record_message(sequence, Instant::now());
        true
    }

    /// Logs each node that went down since the last call.
    pub(crate) fn log_silent(&self) {
        let now = Instant::now();
        let mut peers = self.peers.lock();
        let fleet = peers.len();
        for (name, peer) in peers.iter_mut() {
            let down = *name != self.own_name
                && self.evaluate_status(peer, now, fleet) == PeerStatus::Down;
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

    pub(crate) fn evaluate_status(&self, peer: &Peer, now: Instant, fleet: usize) -> PeerStatus {
        let limit = match (fleet > MAX_FULL_MESH_NODES, peer.row.zone == self.own_zone) {
            (true, _) => RELAYED_TIMEOUT,
            (false, true) => SAME_ZONE_TIMEOUT,
            (false, false) => OTHER_ZONE_TIMEOUT,
        };
        let alive = match peer.heard {
            Some(heard) => now.duration_since(heard) < limit,
            None => now.duration_since(peer.row_seen_at) < FIRST_HEARTBEAT_TIMEOUT,
        };
        if !alive {
            return PeerStatus::Down;
        }
        if peer.row.leaving || peer.leaving || !peer.ready {
            return PeerStatus::Present;
        }
        match peer.store_timed_out {
            true => PeerStatus::Isolated,
            false => PeerStatus::Ready,
        }
    }
}

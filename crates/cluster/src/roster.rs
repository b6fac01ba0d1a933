//! Roster of the live nodes and the delegates of each zone.
//!
//! It is needed for every datagram, and computing it copies and sorts all nodes. A large fleet
//! therefore caches it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::delegates::{Candidate, delegates};
use crate::peers::{PeerTable, RelayPeer};

/// Time for which a cached roster of a large fleet is used without a check of the live nodes, if no
/// node joined or left. It delays the detection of a silent node.
const ROSTER_TTL: Duration = Duration::from_millis(100);

/// Snapshot of the nodes that are alive and not shutting down.
#[derive(Debug)]
pub struct Roster {
    own_zone: String,
    own_name: String,
    /// The other nodes, sorted by name.
    pub peers: Vec<RelayPeer>,
    /// Delegates by zone, including this node.
    delegates: BTreeMap<String, Vec<String>>,
}

impl Roster {
    /// Builds the roster of the other nodes and this one.
    fn new(mut peers: Vec<RelayPeer>, own: &RelayPeer) -> Self {
        peers.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let mut zones: BTreeMap<&str, Vec<Candidate<'_>>> = BTreeMap::new();
        for node in peers.iter().chain([own]) {
            let candidate = Candidate {
                name: &node.name,
                strong: node.strong,
            };
            zones.entry(&node.zone).or_default().push(candidate);
        }
        let chosen = zones.into_iter().map(|(zone, candidates)| {
            let chosen = delegates(candidates.into_iter());
            let names = chosen.into_iter().map(str::to_owned).collect();
            (zone.to_owned(), names)
        });
        Self {
            delegates: chosen.collect(),
            own_zone: own.zone.clone(),
            own_name: own.name.clone(),
            peers,
        }
    }

    /// Names of the delegates of a zone.
    pub fn delegates(&self, zone: &str) -> &[String] {
        self.delegates.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Index of this node among the delegates of its zone; `None` if it is not a delegate.
    pub fn own_delegate_index(&self) -> Option<usize> {
        let own = self.delegates(&self.own_zone);
        own.iter().position(|name| *name == self.own_name)
    }

    /// Finds another node by name.
    pub fn peer(&self, name: &str) -> Option<&RelayPeer> {
        let index = self
            .peers
            .binary_search_by(|peer| peer.name.as_str().cmp(name));
        self.peers.get(index.ok()?)
    }

    /// The delegates of a zone except this node.
    pub fn delegate_peers(&self, zone: &str) -> impl Iterator<Item = &RelayPeer> {
        let names = self.delegates(zone).iter();
        names.filter_map(|name| self.peer(name))
    }

    /// Zones with live nodes.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.delegates.keys().map(String::as_str)
    }

    /// The other nodes of this node's zone.
    pub fn own_zone_peers(&self) -> impl Iterator<Item = &RelayPeer> {
        self.peers.iter().filter(|peer| peer.zone == self.own_zone)
    }
}

#[derive(Default)]
pub(crate) struct RosterCache {
    cached: Option<CachedRoster>,
}

struct CachedRoster {
    /// When it was last found up to date.
    checked_at: Instant,
    /// Change count of the peer table at that time.
    changes: u64,
    /// `alive_hash_sum` of the nodes in it.
    sum: u64,
    roster: Arc<Roster>,
}

impl PeerTable {
    /// The current roster; in a large fleet up to `ROSTER_TTL` old.
    pub fn roster(&self) -> Arc<Roster> {
        let changes = self.changes();
        let large = self.is_large();
        if let Some(cached) = &self.roster.lock().cached
            && cached.changes == changes
            && cached.checked_at.elapsed() < ROSTER_TTL
            && large
        {
            return cached.roster.clone();
        }
        let sum = self.alive_hash_sum();
        if let Some(cached) = &mut self.roster.lock().cached
            && cached.sum == sum
            && large
        {
            cached.checked_at = Instant::now();
            cached.changes = changes;
            return cached.roster.clone();
        }
        let own = RelayPeer {
            name: self.own_name.clone(),
            zone: self.own_zone.clone(),
            address: ([0, 0, 0, 0], 0).into(),
            answered: None,
            strong: self.is_strong(),
        };
        let roster = Arc::new(Roster::new(self.relay_peers(), &own));
        self.roster.lock().cached = Some(CachedRoster {
            checked_at: Instant::now(),
            changes,
            sum,
            roster: roster.clone(),
        });
        roster
    }

    /// Whether this node is a delegate of its zone.
    pub fn is_delegate(&self) -> bool {
        self.roster().own_delegate_index().is_some()
    }

    /// Names of the delegates of a zone, including this node.
    pub fn delegates(&self, zone: &str) -> Vec<String> {
        self.roster().delegates(zone).to_vec()
    }
}

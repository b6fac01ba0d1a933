//! The nodes that are alive and stay, and who the delegates among them are: looked up for every datagram and every
//! look at the store, so they are worked out once for many look-ups.
//!
//! Worked out anew, the names and zones of all nodes are copied and sorted. That costs time for each node of the fleet, and
//! it was done for each datagram, of which a delegate receives some for each node of its zone: the cost grew with the
//! square of the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::delegates::{Candidate, delegates};
use crate::peers::{PeerTable, RelayPeer};

/// How long a roster of a large fleet is taken for true when nobody came or left. A silence of seconds makes a node leave;
/// it is noticed later by this much at most. Then the nodes are looked through, and the roster is worked out anew only when it
/// would be another one.
const ROSTER_LIFE: Duration = Duration::from_millis(100);

/// The nodes that are alive and stay, as of one moment.
#[derive(Debug)]
pub struct Roster {
    own_zone: String,
    own_name: String,
    /// The other nodes.
    pub peers: Vec<RelayPeer>,
    /// Delegates of each zone, this node included.
    delegates: BTreeMap<String, Vec<String>>,
}

impl Roster {
    /// A roster of other nodes, in the order of their names, and of this one.
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

    /// Place of this node among the delegates of its zone; `None` when it is none of them.
    pub fn own_place(&self) -> Option<usize> {
        let own = self.delegates(&self.own_zone);
        own.iter().position(|name| *name == self.own_name)
    }

    /// Another node, by its name.
    pub fn peer(&self, name: &str) -> Option<&RelayPeer> {
        let place = self
            .peers
            .binary_search_by(|peer| peer.name.as_str().cmp(name));
        self.peers.get(place.ok()?)
    }

    /// The delegates of a zone but for this node.
    pub fn delegate_peers(&self, zone: &str) -> impl Iterator<Item = &RelayPeer> {
        let names = self.delegates(zone).iter();
        names.filter_map(|name| self.peer(name))
    }

    /// Zones in which nodes are alive.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.delegates.keys().map(String::as_str)
    }

    /// The other nodes of this node's zone.
    pub fn near(&self) -> impl Iterator<Item = &RelayPeer> {
        self.peers.iter().filter(|peer| peer.zone == self.own_zone)
    }
}

/// The roster worked out last.
#[derive(Default)]
pub(crate) struct HeldRoster {
    held: Option<Held>,
}

struct Held {
    /// When it was last found true.
    looked: Instant,
    /// Changes of the table as of then.
    changes: u64,
    /// Sum over the numbers of the nodes in it.
    sum: u64,
    roster: Arc<Roster>,
}

impl PeerTable {
    /// The nodes that are alive and stay, now or a moment ago. In a small fleet it is worked out for each look-up.
    pub fn roster(&self) -> Arc<Roster> {
        let changes = self.changes();
        let large = self.is_large();
        if let Some(held) = &self.roster.lock().held
            && held.changes == changes
            && held.looked.elapsed() < ROSTER_LIFE
            && large
        {
            return held.roster.clone();
        }
        let sum = self.sum_of_alive();
        if let Some(held) = &mut self.roster.lock().held
            && held.sum == sum
            && large
        {
            held.looked = Instant::now();
            held.changes = changes;
            return held.roster.clone();
        }
        let own = RelayPeer {
            name: self.own_name.clone(),
            zone: self.own_zone.clone(),
            address: ([0, 0, 0, 0], 0).into(),
            answered: None,
            strong: self.is_strong(),
        };
        let roster = Arc::new(Roster::new(self.relay_peers(), &own));
        self.roster.lock().held = Some(Held {
            looked: Instant::now(),
            changes,
            sum,
            roster: roster.clone(),
        });
        roster
    }

    /// Whether this node is a delegate of its zone.
    pub fn is_delegate(&self) -> bool {
        self.roster().own_place().is_some()
    }

    /// The delegates of a zone among the nodes that are alive and stay, this one included.
    pub fn delegates(&self, zone: &str) -> Vec<String> {
        self.roster().delegates(zone).to_vec()
    }
}

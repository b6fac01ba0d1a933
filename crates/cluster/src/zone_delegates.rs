//! Delegates of silent zones.

use std::collections::{BTreeMap, HashSet};

use dappleyard_clock::Instant;

use crate::delegates::{Candidate, delegates};
use crate::peers::{PeerTable, RelayPeer};

impl PeerTable {
    /// The last known delegates of the other zones of which no node is alive.
    pub fn silent_delegates(&self) -> Vec<RelayPeer> {
        let silent = self.silent_zones();
        let chosen = silent.values().flat_map(|nodes| {
            let candidates = nodes.iter().map(|node| Candidate {
                name: &node.name,
                strong: node.strong,
            });
            let names = delegates(candidates);
            let chosen = nodes
                .iter()
                .filter(move |node| names.contains(&node.name.as_str()));
            chosen.cloned()
        });
        chosen.collect()
    }

    /// The last known nodes of the other zones of which no node is alive.
    fn silent_zones(&self) -> BTreeMap<String, Vec<RelayPeer>> {
        let now = Instant::now();
        let alive = self.roster();
        let heard: HashSet<&str> = alive.peers.iter().map(|peer| peer.zone.as_str()).collect();
        let mut zones: BTreeMap<String, Vec<RelayPeer>> = BTreeMap::new();
        let peers = self.peers.lock();
        for (name, peer) in peers.iter() {
            let zone = &peer.row.zone;
            let is_leaving = peer.row.leaving || peer.leaving;
            if *zone == self.own_zone || heard.contains(zone.as_str()) || is_leaving {
                continue;
            }
            let Some(address) = peer.address.filter(|_| peer.is_recent(now)) else {
                continue;
            };
            zones.entry(zone.clone()).or_default().push(RelayPeer {
                name: name.clone(),
                zone: zone.clone(),
                address,
                answered: None,
                strong: peer.row.strong,
            });
        }
        zones
    }

    /// Whether this node's row marks it as strong enough to act as a delegate.
    pub(crate) fn is_strong(&self) -> bool {
        let peers = self.peers.lock();
        peers.get(&self.own_name).is_some_and(|own| own.row.strong)
    }
}

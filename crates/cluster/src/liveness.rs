//! Liveness records: the newest known message of each node, relayed between nodes of a large fleet.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::messages::{LifeSign, LifeSigns};
use crate::peers::{FAR_SILENCE, Peer, PeerTable, RELAYED_SILENCE};

/// Liveness records relayed by a heartbeat to random nodes.
const RELAYED: usize = 32;

/// Maximum liveness records per message, about 4 KB. The records of a fleet of 1,900 nodes would
/// exceed a datagram.
const SIGNS_IN_MESSAGE: usize = 400;

/// Identifies one run of a node in liveness records.
fn life_number(name: &str, life: u64) -> u32 {
    xxh3_64_with_seed(name.as_bytes(), life) as u32
}

impl PeerTable {
    /// Liveness records of one zone, or of all zones, split into messages.
    pub fn life_signs(&self, zone: Option<&str>) -> Vec<LifeSigns> {
        let wanted = |peer: &Peer| zone.is_none_or(|zone| peer.row.zone == zone);
        let signs = self.recent_signs(wanted);
        let messages = signs.chunks(SIGNS_IN_MESSAGE);
        messages
            .map(|signs| signs.iter().copied().collect())
            .collect()
    }

    /// Liveness records of some random nodes.
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

    /// Merges the liveness records of another node.
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
                // A node heard by others counts as ready unless its row says otherwise.
                peer.ready = true;
            }
            let returns = peer
                .heard
                .is_none_or(|heard| now.duration_since(heard) >= FAR_SILENCE);
            if returns {
                self.note_change();
            }
            peer.note_message(sign.sequence, at);
        }
    }
}

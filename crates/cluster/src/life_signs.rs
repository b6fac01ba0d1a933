//! Life signs: when the newest message of each node came, told on between nodes of a large fleet.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::messages::{LifeSign, LifeSigns};
use crate::peers::{FAR_SILENCE, Peer, PeerTable, RELAYED_SILENCE};

/// Nodes of which one heartbeat relays when they were heard.
const RELAYED: usize = 32;

/// Life signs of one message: about 4 KB. A message that told of all nodes of a fleet would outgrow a datagram at 1,900 nodes,
/// be cut off and then say nothing at all.
const SIGNS_IN_MESSAGE: usize = 400;

/// Number that stands for one life of a node in relayed entries.
fn life_number(name: &str, life: u64) -> u32 {
    xxh3_64_with_seed(name.as_bytes(), life) as u32
}

impl PeerTable {
    /// Life signs of the nodes of one zone, or of all zones, in as many messages as they take.
    pub fn life_signs(&self, zone: Option<&str>) -> Vec<LifeSigns> {
        let wanted = |peer: &Peer| zone.is_none_or(|zone| peer.row.zone == zone);
        let signs = self.recent_signs(wanted);
        let messages = signs.chunks(SIGNS_IN_MESSAGE);
        messages
            .map(|signs| signs.iter().copied().collect())
            .collect()
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

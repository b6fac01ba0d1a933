//! Liveness records: the newest known message of each node, relayed between nodes of a large fleet.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::messages::{LivenessRecord, LivenessRecords};
use crate::peers::{OTHER_ZONE_TIMEOUT, Peer, PeerTable, RELAYED_TIMEOUT};

/// Liveness records relayed by a heartbeat to random nodes.
const SAMPLED_RECORDS: usize = 32;

/// Maximum liveness records per message, about 4 KB. The records of a fleet of 1,900 nodes would
/// exceed a datagram.
const MAX_RECORDS_PER_MESSAGE: usize = 400;

/// Identifies one run of a node in liveness records.
fn run_hash(name: &str, life: u64) -> u32 {
    xxh3_64_with_seed(name.as_bytes(), life) as u32
}

impl PeerTable {
    /// Liveness records of one zone, or of all zones, split into messages.
    pub fn liveness_records(&self, zone: Option<&str>) -> Vec<LivenessRecords> {
        let wanted = |peer: &Peer| zone.is_none_or(|zone| peer.row.zone == zone);
        let records = self.recent_records(wanted);
        let messages = records.chunks(MAX_RECORDS_PER_MESSAGE);
        messages
            .map(|records| records.iter().copied().collect())
            .collect()
    }

    /// Liveness records of some random nodes.
    pub(crate) fn sample_liveness_records(&self) -> LivenessRecords {
        let records = self.recent_records(|_| true);
        let chosen = records.choose_multiple(&mut rand::rng(), SAMPLED_RECORDS);
        chosen.copied().collect()
    }

    fn recent_records(&self, wanted: impl Fn(&Peer) -> bool) -> Vec<LivenessRecord> {
        let now = Instant::now();
        let peers = self.peers.lock();
        let recent = peers
            .iter()
            .filter(|(_, peer)| wanted(peer))
            .filter_map(|(name, peer)| {
                let age = now.duration_since(peer.heard?);
                (age < RELAYED_TIMEOUT).then(|| LivenessRecord {
                    node: run_hash(name, peer.row.life),
                    sequence: peer.sequence,
                    age_ms: age.as_millis() as u32,
                })
            });
        recent.collect()
    }

    /// Merges the liveness records of another node.
    pub fn merge_liveness_records(&self, records: &LivenessRecords) {
        if records.nodes.is_empty() {
            return;
        }
        let now = Instant::now();
        let records: HashMap<u32, LivenessRecord> =
            records.iter().map(|record| (record.node, record)).collect();
        let mut peers = self.peers.lock();
        for (name, peer) in peers.iter_mut() {
            let Some(record) = records.get(&run_hash(name, peer.row.life)) else {
                continue;
            };
            let age = Duration::from_millis(u64::from(record.age_ms));
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            if peer.heard.is_none() {
                // A node heard by others counts as ready unless its row says otherwise.
                peer.ready = true;
            }
            let is_back = peer
                .heard
                .is_none_or(|heard| now.duration_since(heard) >= OTHER_ZONE_TIMEOUT);
            if is_back {
                self.record_membership_change();
            }
            peer.record_message(record.sequence, at);
        }
    }
}

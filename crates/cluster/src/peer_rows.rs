//! Applies the rows of the node table to the peer table.

use std::collections::{HashMap, HashSet};

use dappleyard_clock::Instant;
use dappleyard_model::{Row, RowKey};
use prost::Message;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::follow::{Contact, TableSink};
use crate::messages::NodeRow;
use crate::peers::{NODES_TABLE, Peer, PeerTable};

/// Key of a node's row. Each zone has its own partition, which spreads the writes of many nodes
/// that start at once and lets a starting node read its own zone first.
pub fn node_key(zone: &str, name: &str) -> RowKey {
    RowKey::new(NODES_TABLE, zone, name)
}

impl PeerTable {
    fn apply_row(peers: &mut HashMap<String, Peer>, row: &Row) {
        let Some(value) = &row.value else {
            // A row left in another partition by an earlier version of the program does not stand
            // for the node.
            let own = peers
                .get(&row.key)
                .is_some_and(|peer| peer.part == row.part);
            if own {
                peers.remove(&row.key);
            }
            return;
        };
        let Ok(node) = NodeRow::decode(value.clone()) else {
            return;
        };
        let address = node.peer.parse().ok();
        let row_hash = xxh3_64_with_seed(value, xxh3_64(row.key.as_bytes()));
        match peers.get_mut(&row.key) {
            Some(peer) if peer.revision >= row.revision => {}
            Some(peer) if peer.row.life == node.life => {
                peer.row = node;
                peer.row_hash = row_hash;
                peer.part.clone_from(&row.part);
                peer.revision = row.revision;
            }
            _ => {
                let peer = Peer {
                    row_hash,
                    row: node,
                    part: row.part.clone(),
                    revision: row.revision,
                    address,
                    row_seen_at: Instant::now(),
                    heard: None,
                    sequence: 0,
                    ready: false,
                    leaving: false,
                    store_timed_out: false,
                    store_answered_at: None,
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
        true
    }

    fn replace(&self, rows: Vec<Row>, revision: u64) {
        let mut peers = self.peers.lock();
        let listed: HashSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        peers.retain(|name, peer| peer.revision > revision || listed.contains(name.as_str()));
        for row in &rows {
            Self::apply_row(&mut peers, row);
        }
        drop(peers);
        self.record_membership_change();
        self.changed.notify_waiters();
    }

    fn change(&self, row: Row) {
        Self::apply_row(&mut self.peers.lock(), &row);
        self.record_membership_change();
        self.changed.notify_waiters();
    }

    fn contact(&self, _contact: &Contact) {}
}

//! Feeds the rows of the nodes into the table of nodes.

use std::collections::HashMap;

use dappleyard_clock::Instant;
use dappleyard_model::Row;
use prost::Message;

use crate::follow::{Contact, TableSink};
use crate::messages::NodeRow;
use crate::peers::{NODES_TABLE, Peer, PeerTable};

impl PeerTable {
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

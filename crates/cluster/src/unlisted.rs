//! Senders of heartbeats known before any node row is, so that a node that starts during an outage
//! of the store can use them as relays.

use std::net::SocketAddr;

use dappleyard_clock::Instant;

use crate::messages::Heartbeat;
use crate::peers::{FAR_SILENCE, PeerTable, RelayPeer, direct_answer};

pub(crate) struct Stranger {
    pub(crate) address: SocketAddr,
    pub(crate) heard: Instant,
    pub(crate) direct: Option<Instant>,
}

impl PeerTable {
    /// Records the sender of a heartbeat while no node row is known.
    pub fn meet(&self, heartbeat: &Heartbeat, address: SocketAddr) {
        let peers = self.peers.lock();
        if !peers.is_empty() || heartbeat.name == self.own_name {
            return;
        }
        let now = Instant::now();
        let stranger = Stranger {
            address,
            heard: now,
            direct: direct_answer(heartbeat, now),
        };
        let mut strangers = self.strangers.lock();
        strangers.insert(heartbeat.name.clone(), stranger);
    }

    pub(crate) fn strangers(&self, now: Instant) -> Vec<RelayPeer> {
        let strangers = self.strangers.lock();
        let heard = strangers
            .iter()
            .filter(|(_, stranger)| now.duration_since(stranger.heard) < FAR_SILENCE);
        heard
            .map(|(name, stranger)| RelayPeer {
                name: name.clone(),
                zone: String::new(),
                address: stranger.address,
                answered: stranger.direct,
                strong: false,
            })
            .collect()
    }
}

//! Senders of heartbeats known before any node row is, so that a node that starts during an outage
//! of the store can use them as relays.

use std::net::SocketAddr;

use dappleyard_clock::Instant;

use crate::messages::Heartbeat;
use crate::peers::{OTHER_ZONE_TIMEOUT, PeerTable, RelayPeer, last_direct_answer};

pub(crate) struct UnlistedSender {
    pub(crate) address: SocketAddr,
    pub(crate) heard: Instant,
    pub(crate) store_answered_at: Option<Instant>,
}

impl PeerTable {
    /// Records the sender of a heartbeat while no node row is known.
    pub fn note_unlisted_sender(&self, heartbeat: &Heartbeat, address: SocketAddr) {
        let peers = self.peers.lock();
        if !peers.is_empty() || heartbeat.name == self.own_name {
            return;
        }
        let now = Instant::now();
        let sender = UnlistedSender {
            address,
            heard: now,
            store_answered_at: last_direct_answer(heartbeat, now),
        };
        let mut unlisted_senders = self.unlisted_senders.lock();
        unlisted_senders.insert(heartbeat.name.clone(), sender);
    }

    /// The recorded senders that were heard within `OTHER_ZONE_TIMEOUT`.
    pub(crate) fn unlisted_senders(&self, now: Instant) -> Vec<RelayPeer> {
        let unlisted_senders = self.unlisted_senders.lock();
        let heard = unlisted_senders
            .iter()
            .filter(|(_, sender)| now.duration_since(sender.heard) < OTHER_ZONE_TIMEOUT);
        heard
            .map(|(name, sender)| RelayPeer {
                name: name.clone(),
                zone: String::new(),
                address: sender.address,
                answered: sender.store_answered_at,
                strong: false,
            })
            .collect()
    }
}

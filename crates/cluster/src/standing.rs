//! Which nodes stand for a cold server: they alone send to it.

use dappleyard_clock::Instant;

use crate::cold_parts::{first, standing};
use crate::peers::{FORGOTTEN, Peer, PeerStatus, PeerTable};

impl PeerTable {
    /// The place of this node among the nodes that stand for a server in a zone; `None` when it is not one of
    /// them. Rows choose the nodes of the zone, and as many of other zones for when all of those are silent. Who was
    /// heard a moment ago chooses nobody: nodes that are cut off from each other would all choose themselves.
    pub fn standing(&self, server: &str, zone: &str, nodes: u32) -> Option<u32> {
        let now = Instant::now();
        let peers = self.peers.lock();
        let own = self.own_name.as_str();
        // Gone for good is who has been silent for long while others were heard.
        let newest = peers.values().map(Peer::last).max()?;
        let listed = peers
            .iter()
            .filter(|(name, peer)| *name == own || newest.duration_since(peer.last()) < FORGOTTEN);
        let (near, far): (Vec<_>, Vec<_>) = listed
            .map(|(name, peer)| (name.as_str(), peer))
            .partition(|(_, peer)| peer.row.zone == zone);
        if near.len() < nodes as usize {
            let all = near.iter().chain(&far).map(|(name, _)| *name);
            return standing(server, own, all, nodes);
        }
        if self.own_zone == zone {
            return standing(server, own, near.iter().map(|(name, _)| *name), nodes);
        }
        let place = standing(server, own, far.iter().map(|(name, _)| *name), nodes)?;
        let first = first(server, near, nodes);
        let silent = |peer: &Peer| self.judge(peer, now, peers.len()) == PeerStatus::Down;
        first.iter().all(|(_, peer)| silent(peer)).then_some(place)
    }
}

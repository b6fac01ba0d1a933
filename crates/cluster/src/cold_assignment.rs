//! Assignment of cold servers to nodes; only assigned nodes send to them.

use dappleyard_clock::Instant;

use crate::cold_quota::{assigned_nodes, assignment_rank};
use crate::peers::{FORGET_AFTER, Peer, PeerStatus, PeerTable};

impl PeerTable {
    /// The rank of this node among those assigned to a server in `zone`; `None` if it is not
    /// assigned. The nodes of that zone are assigned, or those of all zones if it has fewer than
    /// `nodes`. While all assigned nodes of the zone are silent, as many of other zones replace them.
    /// The choice depends on registered nodes, not on recently heard
    /// ones: otherwise partitioned nodes would all assign themselves.
    pub fn assignment_rank(&self, server: &str, zone: &str, nodes: u32) -> Option<u32> {
        let now = Instant::now();
        let peers = self.peers.lock();
        let own = self.own_name.as_str();
        // Leaves out nodes that were last heard `FORGET_AFTER` before the newest one.
        let newest = peers.values().map(Peer::last_seen).max()?;
        let listed = peers.iter().filter(|(name, peer)| {
            *name == own || newest.duration_since(peer.last_seen()) < FORGET_AFTER
        });
        let (local, remote): (Vec<_>, Vec<_>) = listed
            .map(|(name, peer)| (name.as_str(), peer))
            .partition(|(_, peer)| peer.row.zone == zone);
        if local.len() < nodes as usize {
            let all = local.iter().chain(&remote).map(|(name, _)| *name);
            return assignment_rank(server, own, all, nodes);
        }
        if self.own_zone == zone {
            return assignment_rank(server, own, local.iter().map(|(name, _)| *name), nodes);
        }
        let rank = assignment_rank(server, own, remote.iter().map(|(name, _)| *name), nodes)?;
        let assigned_nodes = assigned_nodes(server, local, nodes);
        let silent = |peer: &Peer| self.evaluate_status(peer, now, peers.len()) == PeerStatus::Down;
        assigned_nodes
            .iter()
            .all(|(_, peer)| silent(peer))
            .then_some(rank)
    }
}

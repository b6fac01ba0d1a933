//! Chooses the node that a request enters at.
//!
//! The nearest nodes that take new work are looked at only: those of the same zone, else of the same
//! region, else any. Among them the request's key picks two by rendezvous hash, and the one with the
//! shorter expected wait, then with fewer streams from here, wins.

use std::cmp::Reverse;

use dappleyard_settings::Location;
use dappleyard_wire::hash::rendezvous_weight;

/// Nodes that a key picks and whose load is compared.
const COMPARED_NODES: usize = 2;

/// A node that a request may enter at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Node id.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Expected wait that it last told for the service, milliseconds.
    pub wait_ms: u32,
    /// Streams open to it from this worker.
    pub open_streams: usize,
}

/// Distance from a rank: 0 in the same zone, 1 in the same region, 2 elsewhere.
pub fn distance(from: &Location, zone: &str, region: &str) -> u8 {
    if region != from.region {
        2
    } else {
        u8::from(zone != from.zone)
    }
}

/// How a key picks among the nearest nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The less loaded of the key's two nodes.
    LessLoaded,
    /// The key's first node, whatever its load: calls that belong together go the same way.
    First,
}

/// Index of the chosen candidate. Nodes in `avoid` are taken only when there is no other.
pub fn select_node(
    from: &Location,
    key: u64,
    policy: SelectionPolicy,
    candidates: &[Candidate],
    avoid: &[String],
) -> Option<usize> {
    let rank = |index: &usize| {
        let candidate = &candidates[*index];
        let avoided = avoid.contains(&candidate.node);
        (avoided, distance(from, &candidate.zone, &candidate.region))
    };
    let nearest = (0..candidates.len()).map(|index| rank(&index)).min()?;
    let mut near: Vec<usize> = (0..candidates.len())
        .filter(|index| rank(index) == nearest)
        .collect();
    near.sort_by_key(|index| Reverse(rendezvous_weight(key, &candidates[*index].node)));
    let compared = match policy {
        SelectionPolicy::LessLoaded => COMPARED_NODES,
        SelectionPolicy::First => 1,
    };
    near.into_iter()
        .take(compared)
        .min_by_key(|index| (candidates[*index].wait_ms, candidates[*index].open_streams))
}

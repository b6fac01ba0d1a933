//! Selects the node to which a request is sent.
//!
//! Only the nearest candidates are considered: the same zone, else the same region, else any. Of
//! these, rendezvous hashing of the request's key picks two; the one with the shorter expected wait
//! is selected, ties broken by the number of open streams.

use std::cmp::Reverse;

use dappleyard_settings::Location;
use dappleyard_wire::hash::rendezvous_weight;

/// Nodes whose load is compared for each key.
const COMPARED_NODES: usize = 2;

/// A node to which a request can be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub node: String,
    pub zone: String,
    pub region: String,
    /// Last reported expected wait for the service.
    pub wait_ms: u32,
    /// Streams open to it from this worker.
    pub open_streams: usize,
}

/// 0 in the same zone, 1 in the same region, 2 elsewhere.
pub fn distance(from: &Location, zone: &str, region: &str) -> u8 {
    if region != from.region {
        2
    } else {
        u8::from(zone != from.zone)
    }
}

/// How a key selects among the nearest nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The less loaded of the two nodes with the highest rendezvous weight.
    LessLoaded,
    /// The node with the highest rendezvous weight, regardless of load; keeps related calls on one
    /// node.
    First,
}

/// Returns the index of the selected candidate. Nodes in `avoid` are used only as a last resort.
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

//! Placement at the ingress stage: ranks the nodes that a request can be sent to.

use dappleyard_decide::placement::{Affinity, Candidate, rank};
use dappleyard_wire::hash::{hash_bytes, rendezvous_weight};
use dappleyard_wire::messages::{GenerateRequest, Stage};

use crate::view::{CellView, NodeAddress, PlacementView};

/// Destination of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Target {
    /// The owner stage of this node.
    Local,
    /// Another node, which runs the given stage.
    Node(NodeAddress, Stage),
}

/// Affinity key of a request, and whether it stands for a shared prefix or session. Without either, the
/// request id spreads requests evenly. The sidecar selects the ingress node by the same key, so the
/// ingress node is often the preferred owner as well.
pub(crate) fn affinity_key(request: &GenerateRequest) -> (u64, bool) {
    if request.prefix_hash != 0 {
        return (request.prefix_hash, true);
    }
    if !request.session.is_empty() {
        return (hash_bytes(request.session.as_bytes()), true);
    }
    (hash_bytes(request.request_id.as_bytes()), false)
}

pub(crate) fn affinity(has_key: bool, bound_percent: u32) -> Affinity {
    Affinity {
        bound_percent: has_key.then_some(bound_percent),
    }
}

/// Requirements of a request on its target, and the nodes tried so far.
pub(crate) struct PlacementQuery<'a> {
    pub request: &'a GenerateRequest,
    /// Version required to continue the request; empty for any.
    pub version: &'a str,
    /// Load up to which affinity is preferred, percent of the mean.
    pub bound_percent: u32,
    pub tried: &'a [String],
}

/// Best untried owner in this cell, otherwise the best untried entry node of another cell.
pub(crate) fn next_target(
    view: &PlacementView,
    query: &PlacementQuery<'_>,
    may_ask_owner: bool,
    may_spill: bool,
) -> Option<Target> {
    let owner = may_ask_owner.then(|| best_owner(view, query)).flatten();
    owner.or_else(|| may_spill.then(|| best_entry(view, query)).flatten())
}

fn best_owner(view: &PlacementView, query: &PlacementQuery<'_>) -> Option<Target> {
    let (key, has_key) = affinity_key(query.request);
    let mut owners = Vec::with_capacity(view.owners.len());
    let mut candidates = Vec::with_capacity(view.owners.len());
    for owner in &view.owners {
        let node = &owner.address.node;
        let Some(load) = owner.service(&query.request.service) else {
            continue;
        };
        if query.tried.contains(node) || !can_serve(load.servers, load.versions, query.version) {
            continue;
        }
        owners.push(owner);
        candidates.push(Candidate {
            weight: rendezvous_weight(key, node),
            servers: load.servers,
            sequences: load.sequences,
            wait_ms: load.wait_ms,
        });
    }
    let mut best = [0];
    if rank(
        &candidates,
        affinity(has_key, query.bound_percent),
        &mut best,
    ) == 0
    {
        return None;
    }
    let owner = owners[best[0]];
    owner.count_sent();
    Some(if owner.is_self {
        Target::Local
    } else {
        Target::Node(owner.address.clone(), Stage::Owner)
    })
}

/// Selects the nearest cell, then the shortest wait, then the entry node by rendezvous hashing.
fn best_entry(view: &PlacementView, query: &PlacementQuery<'_>) -> Option<Target> {
    let (key, _) = affinity_key(query.request);
    let wait = |cell: &CellView| {
        let services = cell.services.iter();
        let found = services.filter(|load| load.service == query.request.service);
        found
            .filter(|load| can_serve(load.servers, &load.versions, query.version))
            .map(|load| load.wait_ms)
            .min()
    };
    let entry = |cell: &CellView| {
        let entries = cell.entries.iter();
        entries
            .filter(|entry| !query.tried.contains(&entry.node))
            .max_by_key(|entry| rendezvous_weight(key, &entry.node))
            .cloned()
    };
    view.cells
        .iter()
        .filter_map(|cell| Some((cell.distance, wait(cell)?, entry(cell)?)))
        .min_by_key(|(distance, wait_ms, _)| (*distance, *wait_ms))
        .map(|(_, _, entry)| Target::Node(entry, Stage::Cell))
}

fn can_serve(servers: u32, versions: &[String], version: &str) -> bool {
    servers > 0 && (version.is_empty() || versions.iter().any(|one| one == version))
}

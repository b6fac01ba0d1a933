//! The placement filter of the ingress stage: orders the nodes that may be asked.

use dappleyard_decide::placement::{Affinity, Candidate, rank};
use dappleyard_wire::hash::{hash_bytes, rendezvous_weight};
use dappleyard_wire::messages::{GenerateRequest, Stage};

use crate::view::{CellView, NodeAddress, PlacementView};

/// Where a request is sent next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Target {
    /// The owner stage of this node.
    Local,
    /// Another node, which is to do this stage.
    Node(NodeAddress, Stage),
}

/// Key by which requests meet the same prefix cache, and whether it is one at all: without a prefix
/// or session the request's own id spreads requests evenly. The sidecar chooses the ingress node by
/// the same key, so that this is often the home owner.
pub(crate) fn affinity_key(request: &GenerateRequest) -> (u64, bool) {
    if request.prefix_hash != 0 {
        return (request.prefix_hash, true);
    }
    if !request.session.is_empty() {
        return (hash_bytes(request.session.as_bytes()), true);
    }
    (hash_bytes(request.request_id.as_bytes()), false)
}

/// How far affinity goes for a request.
pub(crate) fn affinity(has_key: bool, bound_percent: u32) -> Affinity {
    Affinity {
        bound_percent: has_key.then_some(bound_percent),
    }
}

/// What a node must be able to do, and which were asked already.
pub(crate) struct Wanted<'a> {
    /// The request.
    pub request: &'a GenerateRequest,
    /// Version that must go on with it; empty for any.
    pub version: &'a str,
    /// Load up to which affinity wins, percent of the mean.
    pub bound_percent: u32,
    /// Nodes that were asked already.
    pub tried: &'a [String],
}

/// The best owner of this cell that was not asked yet, else the best entry node of another cell.
pub(crate) fn next_target(
    view: &PlacementView,
    wanted: &Wanted<'_>,
    may_ask_owner: bool,
    may_spill: bool,
) -> Option<Target> {
    let owner = may_ask_owner.then(|| best_owner(view, wanted)).flatten();
    owner.or_else(|| may_spill.then(|| best_entry(view, wanted)).flatten())
}

fn best_owner(view: &PlacementView, wanted: &Wanted<'_>) -> Option<Target> {
    let (key, has_key) = affinity_key(wanted.request);
    let mut owners = Vec::with_capacity(view.owners.len());
    let mut candidates = Vec::with_capacity(view.owners.len());
    for owner in &view.owners {
        let node = &owner.address.node;
        let Some(load) = owner.service(&wanted.request.service) else {
            continue;
        };
        if wanted.tried.contains(node) || !serves(load.servers, load.versions, wanted.version) {
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
        affinity(has_key, wanted.bound_percent),
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

/// Nearest cell first, then the shortest wait; within a cell the entry node that the key prefers.
fn best_entry(view: &PlacementView, wanted: &Wanted<'_>) -> Option<Target> {
    let (key, _) = affinity_key(wanted.request);
    let wait = |cell: &CellView| {
        let services = cell.services.iter();
        let found = services.filter(|load| load.service == wanted.request.service);
        found
            .filter(|load| serves(load.servers, &load.versions, wanted.version))
            .map(|load| load.wait_ms)
            .min()
    };
    let entry = |cell: &CellView| {
        let entries = cell.entries.iter();
        entries
            .filter(|entry| !wanted.tried.contains(&entry.node))
            .max_by_key(|entry| rendezvous_weight(key, &entry.node))
            .cloned()
    };
    view.cells
        .iter()
        .filter_map(|cell| Some((cell.distance, wait(cell)?, entry(cell)?)))
        .min_by_key(|(distance, wait_ms, _)| (*distance, *wait_ms))
        .map(|(_, _, entry)| Target::Node(entry, Stage::Cell))
}

fn serves(servers: u32, versions: &[String], version: &str) -> bool {
    servers > 0 && (version.is_empty() || versions.iter().any(|one| one == version))
}

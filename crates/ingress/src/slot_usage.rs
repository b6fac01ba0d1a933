//! Counts the slots of a service and the online requests that use them.

use std::sync::Arc;

use dappleyard_cluster::ServerSet;
use dappleyard_model::{HomeRegions, ServerRecord};
use rand::seq::IteratorRandom;

use crate::home_regions::candidate_servers;
use crate::node::Node;

/// Servers that are examined at most; larger fleets are sampled to bound the cost.
const MAX_SAMPLED_SERVERS: usize = 64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlotUsage {
    /// Slots of healthy servers.
    pub(crate) slots: u32,
    /// Online requests in flight at these servers.
    pub(crate) online: u32,
}

/// Sums up the servers that requests with these home regions may use. Without home regions only the
/// own region counts, since queue lengths are reported per region. The sums over the sample are
/// scaled up to all these servers.
pub(crate) fn slot_usage(node: &Node, servers: &ServerSet, homes: &HomeRegions) -> SlotUsage {
    let (places, zone_distances) = (&node.settings.places, node.view.zone_distances());
    let allowed = |server: &&Arc<ServerRecord>| match homes.is_restricted() {
        true => homes.allows_zone(&server.zone, places),
        false => !zone_distances.has_regions() || zone_distances.is_near(&server.zone),
    };
    let sampled = candidate_servers(servers, homes, None, node)
        .filter(allowed)
        .choose_multiple(&mut rand::rng(), MAX_SAMPLED_SERVERS);
    let all = servers.all.iter().filter(allowed).count();
    let (mut slots, mut online) = (0, 0);
    for server in &sampled {
        let load = node.loads.summary(&server.id);
        if !load.suspect {
            slots += server.slots;
            online += load.online;
        }
    }
    let scale = all as f64 / sampled.len().max(1) as f64;
    let scaled = |count: u32| (f64::from(count) * scale).round() as u32;
    SlotUsage {
        slots: scaled(slots),
        online: scaled(online),
    }
}

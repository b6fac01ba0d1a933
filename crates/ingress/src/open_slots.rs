//! Slots of a service that online requests may have, and how many they have.

use std::sync::Arc;

use dappleyard_cluster::ServerSet;
use dappleyard_model::{Homes, ServerRecord};
use rand::seq::IteratorRandom;

use crate::homes::reached;
use crate::node::Node;

/// Servers that are looked at for one sum; of more, as many are drawn, so that a look costs the same however many
/// there are.
const SERVERS_SUMMED: usize = 64;

/// Slots of a service, and the online requests there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OpenSlots {
    /// Slots of the servers that answer.
    pub(crate) slots: u32,
    /// Online requests under way there.
    pub(crate) online: u32,
}

/// Sums up the servers that requests bound to some homes may go to. What waits is told of a whole region, so the servers
/// that are looked at stand for all of them there.
pub(crate) fn open_slots(node: &Node, servers: &ServerSet, homes: &Homes) -> OpenSlots {
    let (places, ways) = (&node.settings.places, node.view.ways());
    let allowed = |server: &&Arc<ServerRecord>| match homes.bind() {
        true => homes.allow(&server.zone, places),
        false => !ways.has_regions() || ways.is_near(&server.zone),
    };
    let looked_at = reached(servers, homes, node)
        .filter(allowed)
        .choose_multiple(&mut rand::rng(), SERVERS_SUMMED);
    let all = servers.all.iter().filter(allowed).count();
    let (mut slots, mut online) = (0, 0);
    for server in &looked_at {
        let load = node.loads.summary(&server.id);
        if !load.suspect {
            slots += server.slots;
            online += load.online;
        }
    }
    let stands_for = all as f64 / looked_at.len().max(1) as f64;
    let whole = |count: u32| (f64::from(count) * stands_for).round() as u32;
    OpenSlots {
        slots: whole(slots),
        online: whole(online),
    }
}

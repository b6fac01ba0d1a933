//! Placement of items: how many items a server can run beside its online requests, and which server is chosen. Pure
//! functions.

use dappleyard_cluster::{LoadSummary, WarmupState, ZoneDistances};
use xxhash_rust::xxh3::xxh3_64;

/// Slots kept free for the next online request. One is enough, since items that block a burst are preempted.
const RESERVED_SLOTS: u32 = 1;
/// Queued prompt tokens above which a server accepts no items.
const MAX_UNREAD_TOKENS: u32 = 4_000;
/// Cost of a server in another zone.
const OTHER_ZONE_COST: f64 = 3.0;
/// Cost of the server that ran the item last, negative because it may have the prompt cached.
const SAME_SERVER_COST: f64 = -2.0;
/// Work of the item itself, in the cost of an idle slow server.
const ITEM_WEIGHT: f64 = 4.0;
/// Largest cost added by hash, so that nodes that see the same loads choose different servers.
const MAX_TIE_BREAK: f64 = 2.0;

/// A server and its load, as input to placement.
#[derive(Debug, Clone)]
pub struct ServerCapacity<'a> {
    pub id: &'a str,
    pub zone: &'a str,
    /// Concurrent requests that it supports.
    pub slots: u32,
    pub load: LoadSummary,
}

/// Whether items may be sent to a server at all.
pub(crate) fn accepts_items(load: &LoadSummary) -> bool {
    // The limited load that a cold server can handle is left to online requests.
    let warm = matches!(load.warmup_state, None | Some(WarmupState::Warm));
    !load.suspect && warm
}

/// Number of items that a server can still accept.
pub fn capacity(slots: u32, load: &LoadSummary) -> u32 {
    if !accepts_items(load) || load.unread_tokens > MAX_UNREAD_TOKENS {
        return 0;
    }
    // On a slow server a slot is freed later, so more slots are reserved for online requests.
    let slowdown = f64::from(RESERVED_SLOTS) * load.long_term_slowdown.times().max(1.0);
    // At most half the slots are reserved, since a service may have only slow servers.
    let reserved = (slowdown.round() as u32).min(slots / 2).max(RESERVED_SLOTS);
    slots.saturating_sub(load.online + load.batch + reserved)
}

/// Restricts placement to the local region while it has capacity. Compared with an item's run time, the latency
/// between regions is negligible, but traffic between regions is expensive, so it is not used to balance load.
pub fn prefer_local_region<'a>(
    servers: Vec<ServerCapacity<'a>>,
    zone_distances: &ZoneDistances,
) -> Vec<ServerCapacity<'a>> {
    let is_near = |server: &ServerCapacity<'a>| zone_distances.is_near(server.zone);
    let has_capacity = |server: &ServerCapacity<'a>| capacity(server.slots, &server.load) > 0;
    let is_near_with_capacity =
        |server: &ServerCapacity<'a>| is_near(server) && has_capacity(server);
    match zone_distances.has_regions() && servers.iter().any(is_near_with_capacity) {
        true => servers.into_iter().filter(is_near).collect(),
        false => servers,
    }
}

/// Chooses the server for the next item. `node` and `zone` are those of the caller; `last` is the server that ran
/// the item last.
pub fn pick_server<'a>(
    servers: &'a [ServerCapacity<'a>],
    node: &str,
    zone: &str,
    last: Option<&str>,
) -> Option<&'a ServerCapacity<'a>> {
    servers
        .iter()
        .filter(|server| capacity(server.slots, &server.load) > 0)
        .min_by(|a, b| cost(a, node, zone, last).total_cmp(&cost(b, node, zone, last)))
}

/// Cost of running the item on a server, in concurrent requests; the server with the lowest cost is chosen.
fn cost(server: &ServerCapacity<'_>, node: &str, zone: &str, last: Option<&str>) -> f64 {
    let work = f64::from(server.load.online + server.load.batch);
    let zone_cost = match server.zone == zone {
        true => 0.0,
        false => OTHER_ZONE_COST,
    };
    let mut bytes = node.as_bytes().to_vec();
    bytes.extend_from_slice(server.id.as_bytes());
    let tie_break = xxh3_64(&bytes) as f64 / u64::MAX as f64 * MAX_TIE_BREAK;
    let affinity = match last == Some(server.id) {
        true => SAME_SERVER_COST,
        false => 0.0,
    };
    let slowdown = (server.load.long_term_slowdown.times() - 1.0) * (work + ITEM_WEIGHT);
    work + slowdown + zone_cost + affinity + tie_break + server.load.excess_ms / 20.0
}

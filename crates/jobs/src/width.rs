//! How much batch work a server takes beside its online work. Pure.

use dappleyard_cluster::LoadSummary;
use xxhash_rust::xxh3::xxh3_64;

/// Slots that stay free beyond the most online work seen lately.
const SPARE_SLOTS: u32 = 2;
/// Batch items that a server takes however busy it is online.
const LEAST_WIDTH: u32 = 3;
/// Slots that batch work never takes.
const ONLINE_SLOTS: u32 = 3;
/// Unread prompt tokens above which no further item begins at a server.
const UNREAD_TOKENS: u32 = 4_000;
/// Weight of a server in another zone.
const OTHER_ZONE: f64 = 3.0;
/// Spread between nodes that see the same loads.
const SPREAD: f64 = 2.0;

/// One server as batch work sees it.
#[derive(Debug, Clone)]
pub struct ServerRoom<'a> {
    /// Identifier.
    pub id: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Load over all nodes.
    pub load: LoadSummary,
}

/// Items that a server still takes.
pub fn room(slots: u32, load: &LoadSummary) -> u32 {
    if load.suspect || load.unread_tokens > UNREAD_TOKENS {
        return 0;
    }
    let most = slots.saturating_sub(ONLINE_SLOTS).max(1);
    let width = slots
        .saturating_sub(load.online_peak.max(load.online) + SPARE_SLOTS)
        .clamp(LEAST_WIDTH.min(most), most);
    let free = slots.saturating_sub(load.online + load.batch + 1);
    width.saturating_sub(load.batch).min(free)
}

/// The server for the next item; `node` and `zone` are those of the caller.
pub fn pick_server<'a>(
    servers: &'a [ServerRoom<'a>],
    node: &str,
    zone: &str,
) -> Option<&'a ServerRoom<'a>> {
    servers
        .iter()
        .filter(|server| room(server.slots, &server.load) > 0)
        .min_by(|a, b| weight(a, node, zone).total_cmp(&weight(b, node, zone)))
}

fn weight(server: &ServerRoom<'_>, node: &str, zone: &str) -> f64 {
    let work = f64::from(server.load.online + server.load.batch);
    let away = match server.zone == zone {
        true => 0.0,
        false => OTHER_ZONE,
    };
    let mut bytes = node.as_bytes().to_vec();
    bytes.extend_from_slice(server.id.as_bytes());
    let spread = xxh3_64(&bytes) as f64 / u64::MAX as f64 * SPREAD;
    work + away + spread + server.load.excess_ms / 20.0
}

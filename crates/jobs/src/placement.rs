//! How much batch work a server takes beside its online work. Pure.

use dappleyard_cluster::{LoadSummary, Temperature, Ways};
use xxhash_rust::xxh3::xxh3_64;

/// Slots that stay free for the next online request. More would idle: items that are in the way
/// of a burst are paused at once.
const SPARE_SLOTS: u32 = 1;
/// Unread prompt tokens above which no further item begins at a server.
const UNREAD_TOKENS: u32 = 4_000;
/// Weight of a server in another zone.
const OTHER_ZONE: f64 = 3.0;
/// Weight of the server where the item ran last: it may keep the prompt.
const SAME_SERVER: f64 = -2.0;
/// Weight of an item's own time at a server of the usual pace: what a slower server adds when it is empty.
const ITEM: f64 = 4.0;
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

/// Whether items may be sent to a server at all.
pub(crate) fn takes_items(load: &LoadSummary) -> bool {
    // What a cold server bears is left to online requests.
    let warm = matches!(load.temperature, None | Some(Temperature::Warm));
    !load.suspect && warm
}

/// Items that a server still takes.
pub fn room(slots: u32, load: &LoadSummary) -> u32 {
    if !takes_items(load) || load.unread_tokens > UNREAD_TOKENS {
        return 0;
    }
    // The next online request waits the longer for a slot here, the longer work takes.
    let slower = f64::from(SPARE_SLOTS) * load.lasting_pace.times().max(1.0);
    // A server without work takes items at any pace: there may be no other one.
    let spare = (slower.round() as u32).min(slots / 2).max(SPARE_SLOTS);
    slots.saturating_sub(load.online + load.batch + spare)
}

/// The servers among which an item is placed: those of the own region while any of them has room, else all.
/// The time of the way is nothing beside that of an item; its bytes are dear, so that no server elsewhere is
/// taken for being less busy.
pub fn within_reach<'a>(servers: Vec<ServerRoom<'a>>, ways: &Ways) -> Vec<ServerRoom<'a>> {
    let is_near = |server: &ServerRoom<'a>| ways.is_near(server.zone);
    let has_room = |server: &ServerRoom<'a>| room(server.slots, &server.load) > 0;
    let stays = |server: &ServerRoom<'a>| is_near(server) && has_room(server);
    match ways.has_regions() && servers.iter().any(stays) {
        true => servers.into_iter().filter(is_near).collect(),
        false => servers,
    }
}

/// The server for the next item; `node` and `zone` are those of the caller, and `last` is the
/// server where the item ran last.
pub fn pick_server<'a>(
    servers: &'a [ServerRoom<'a>],
    node: &str,
    zone: &str,
    last: Option<&str>,
) -> Option<&'a ServerRoom<'a>> {
    servers
        .iter()
        .filter(|server| room(server.slots, &server.load) > 0)
        .min_by(|a, b| weight(a, node, zone, last).total_cmp(&weight(b, node, zone, last)))
}

fn weight(server: &ServerRoom<'_>, node: &str, zone: &str, last: Option<&str>) -> f64 {
    let work = f64::from(server.load.online + server.load.batch);
    let away = match server.zone == zone {
        true => 0.0,
        false => OTHER_ZONE,
    };
    let mut bytes = node.as_bytes().to_vec();
    bytes.extend_from_slice(server.id.as_bytes());
    let spread = xxh3_64(&bytes) as f64 / u64::MAX as f64 * SPREAD;
    let same = match last == Some(server.id) {
        true => SAME_SERVER,
        false => 0.0,
    };
    let slower = (server.load.lasting_pace.times() - 1.0) * (work + ITEM);
    work + slower + away + same + spread + server.load.excess_ms / 20.0
}

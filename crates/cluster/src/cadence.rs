//! Schedule of the gossip messages: which of them are due in which round.
//!
//! In a small fleet every node sends heartbeats to every other. In a large one
//! (`MAX_FULL_MESH_NODES`) each zone has delegates: nodes that add up the loads of the zone's nodes
//! per server (the load sums) and send them to the nodes of the zone and to other delegates.

use std::time::Duration;

/// Interval between two rounds.
pub(crate) const ROUND_INTERVAL: Duration = Duration::from_millis(25);
/// Heartbeats within the own zone, in a large fleet only to its delegates: every 150 ms.
const HEARTBEAT_ROUNDS: u32 = 6;
/// Heartbeats to nodes of other zones, in a large fleet to a random node: every 450 ms.
const FAR_HEARTBEAT_ROUNDS: u32 = 18;
/// Delegates forward liveness records every 450 ms. A record that crosses two delegates arrives
/// within 0.9 s, which leaves time for one lost datagram before the 2.5 s timeout of a node.
const LIVENESS_ROUNDS: u32 = 18;
/// Delegates send the load sums of all servers to other zones every 600 ms; the messages between
/// hold changed sums only. One message may be lost before the receiver drops the previous sums after
/// 1,500 ms.
const FULL_SUMS_ROUNDS: u32 = 24;
/// Maximum average number of nodes to which a delegate sends in one round, in zones of up to 60
/// other nodes: 800 messages a second. Up to 20 other nodes are updated every 25 ms, so that few
/// requests go to servers that have just filled up; larger zones are updated less often to bound
/// the load on the delegates.
const NODES_PER_ROUND: usize = 20;
/// Longest interval between the load sums of a zone below `LARGE_ZONE_NODES`: 75 ms.
const MAX_SUMS_ROUNDS: u32 = 3;
/// Interval between the load sums of a large zone: 150 ms. Nodes of a large zone share few servers
/// with each other, so their loads matter less to each other, and the delegates send half as many
/// messages.
const LARGE_ZONE_SUMS_ROUNDS: u32 = 2 * MAX_SUMS_ROUNDS;
/// A zone is large if a node has at least this many other nodes in it.
const LARGE_ZONE_NODES: usize = 80;
/// Heartbeats in a large zone: every 300 ms, eight before a node counts as down. Load changes are
/// sent immediately, so heartbeats only need to show liveness here.
const LARGE_ZONE_HEARTBEAT_ROUNDS: u32 = 2 * HEARTBEAT_ROUNDS;
/// Heartbeats from a large zone to nodes of other zones or to a random node: every 900 ms.
const LARGE_ZONE_FAR_ROUNDS: u32 = 2 * FAR_HEARTBEAT_ROUNDS;

/// The load sums go to other regions in rounds that are a multiple of this and in which sums are
/// due: every 75 ms, or every 150 ms in a zone whose sums are due every 50 ms or 150 ms.
/// `LIVENESS_ROUNDS` and `FULL_SUMS_ROUNDS` are multiples of it, so that other regions receive
/// these messages too.
const REGION_ROUNDS: u32 = MAX_SUMS_ROUNDS;

/// Messages that are due in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DueMessages {
    /// Heartbeat to the nodes of the own zone, in a large fleet to its delegates.
    pub heartbeat: bool,
    /// Heartbeat to nodes of other zones, in a large fleet to a random node.
    pub far: bool,
    /// Load sums of a delegate to its zone and to other zones.
    pub sums: bool,
    /// Liveness records, sent with the load sums.
    pub liveness: bool,
    /// The load sums to other zones cover all servers instead of the changed ones only.
    pub all: bool,
    /// The load sums go to other regions as well.
    pub regions: bool,
}

/// Number of rounds until the next one in which a message is due, in a zone with this many other
/// nodes. `sends_sums` is set for a delegate of a large fleet.
pub fn rounds_until_due(round: u32, own_zone_peers: usize, sends_sums: bool) -> u32 {
    let is_due = |rounds: &u32| {
        let due_messages = due_messages(round.wrapping_add(*rounds), own_zone_peers);
        due_messages.heartbeat || (sends_sums && due_messages.sums)
    };
    let max_rounds = LARGE_ZONE_HEARTBEAT_ROUNDS;
    (1..max_rounds).find(is_due).unwrap_or(max_rounds)
}

/// Messages due in a round, in a zone with this many other nodes.
pub fn due_messages(round: u32, own_zone_peers: usize) -> DueMessages {
    let (heartbeat, far, sums_rounds) = match own_zone_peers >= LARGE_ZONE_NODES {
        true => (
            LARGE_ZONE_HEARTBEAT_ROUNDS,
            LARGE_ZONE_FAR_ROUNDS,
            LARGE_ZONE_SUMS_ROUNDS,
        ),
        false => {
            let sums_rounds = own_zone_peers.div_ceil(NODES_PER_ROUND) as u32;
            (
                HEARTBEAT_ROUNDS,
                FAR_HEARTBEAT_ROUNDS,
                sums_rounds.clamp(1, MAX_SUMS_ROUNDS),
            )
        }
    };
    DueMessages {
        heartbeat: round.is_multiple_of(heartbeat),
        far: round.is_multiple_of(far),
        sums: round.is_multiple_of(sums_rounds),
        liveness: round.is_multiple_of(LIVENESS_ROUNDS),
        all: round.is_multiple_of(FULL_SUMS_ROUNDS),
        regions: round.is_multiple_of(REGION_ROUNDS),
    }
}

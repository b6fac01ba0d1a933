//! What a node tells in which round. Pure.

use std::time::Duration;

/// Time between two rounds.
pub(crate) const ROUND: Duration = Duration::from_millis(25);
/// Heartbeats to nodes of the own zone and to delegates: each 150 ms.
const HEARTBEAT_EVERY: u32 = 6;
/// Heartbeats to nodes of other zones: each 450 ms.
const FAR_EVERY: u32 = 18;
/// A delegate passes life signs on each 450 ms. A sign then passes two delegates in 0.9 s at most, and one
/// datagram may be lost before a node counts as silent after 2.5 s.
const SIGNS_EVERY: u32 = 18;
/// A delegate tells other zones of all servers each 600 ms, so that one message may be lost before what was
/// told is forgotten, after 1,500 ms.
const ALL_EVERY: u32 = 24;
/// Nodes that a delegate tells in one round in the mean: 800 messages a second. A zone of 20 nodes is told each
/// 25 ms, so that fewer requests of a wave go to servers that are full by then; a larger one is told less often,
/// since its delegates have callers of their own to serve.
const NODES_IN_ROUND: usize = 20;
/// Most rounds from one message of a delegate to the next in a zone of some size: 75 ms.
const MOST_ROUNDS: u32 = 3;
/// The same in a larger zone: 150 ms. A zone of 200 nodes before 2,000 servers has forty servers for each
/// node, and four nodes in the mean that use the same one: news of each other matter less the larger a zone is, and cost
/// its delegates 1,300 messages a second instead of 2,600.
const LARGE_ZONE_ROUNDS: u32 = 2 * MOST_ROUNDS;
/// Nodes of a zone from which it is one of these.
const LARGE_ZONE: usize = 80;
/// Heartbeats in such a zone: each 300 ms, eight before a node counts as silent. What changes of a node's work is told at once
/// beside them, so a heartbeat is a life sign there, and two delegates hear 660 a second each from 200 nodes instead of 1,300.
const LARGE_ZONE_HEARTBEAT: u32 = 2 * HEARTBEAT_EVERY;
/// Heartbeats to far nodes, or life signs to random ones, from such a zone: each 900 ms.
const LARGE_ZONE_FAR: u32 = 2 * FAR_EVERY;

/// Rounds from one message to another region to the next: 75 ms, as long as a zone of some size waits for its own.
/// Every round with life signs or all servers is one of these.
const REGION_ROUNDS: u32 = MOST_ROUNDS;

/// What is due in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Duties {
    /// A heartbeat to near nodes or to the delegates.
    pub heartbeat: bool,
    /// A heartbeat to far nodes, or a life sign to a random one.
    pub far: bool,
    /// A delegate's sums to its zone and to other zones.
    pub sums: bool,
    /// Life signs with them.
    pub signs: bool,
    /// The sums to other zones hold all servers, not only those that have changed.
    pub all: bool,
    /// The sums go to other regions too.
    pub regions: bool,
}

/// Rounds until the next one in which a node has something to tell; a delegate of a large fleet tells sums too.
pub fn rounds_until_due(round: u32, zone_nodes: usize, tells_sums: bool) -> u32 {
    let is_due = |rounds: &u32| {
        let duties = duties(round.wrapping_add(*rounds), zone_nodes);
        duties.heartbeat || (tells_sums && duties.sums)
    };
    let longest = LARGE_ZONE_HEARTBEAT;
    (1..longest).find(is_due).unwrap_or(longest)
}

/// What is due in a round, in a zone of so many other nodes.
pub fn duties(round: u32, zone_nodes: usize) -> Duties {
    let (heartbeat, far, rounds) = match zone_nodes >= LARGE_ZONE {
        true => (LARGE_ZONE_HEARTBEAT, LARGE_ZONE_FAR, LARGE_ZONE_ROUNDS),
        false => {
            let rounds = zone_nodes.div_ceil(NODES_IN_ROUND) as u32;
            (HEARTBEAT_EVERY, FAR_EVERY, rounds.clamp(1, MOST_ROUNDS))
        }
    };
    Duties {
        heartbeat: round.is_multiple_of(heartbeat),
        far: round.is_multiple_of(far),
        sums: round.is_multiple_of(rounds),
        signs: round.is_multiple_of(SIGNS_EVERY),
        all: round.is_multiple_of(ALL_EVERY),
        regions: round.is_multiple_of(REGION_ROUNDS),
    }
}

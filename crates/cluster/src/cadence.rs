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
/// Nodes that a delegate tells in one round in the mean: 800 messages a second. Told each 25 ms instead of
/// each 75 ms, a zone of 20 nodes sends far fewer requests of a wave to servers that are full by then:
/// 0.936 of the worth instead of 0.915 on a quiet day of short waves. In a zone of 60 nodes the same would take
/// three times the processor time that a delegate has left beside its callers.
const NODES_IN_ROUND: usize = 20;
/// Most rounds from one message of a delegate to the next: 75 ms.
const MOST_ROUNDS: usize = 3;

/// Rounds from one message to another region to the next: 75 ms, as long as a large zone waits for its own.
/// Every round with life signs or all servers is one of these.
const REGION_ROUNDS: u32 = MOST_ROUNDS as u32;

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

/// What is due in a round, in a zone of so many other nodes.
pub fn duties(round: u32, zone_nodes: usize) -> Duties {
    let rounds = zone_nodes.div_ceil(NODES_IN_ROUND).clamp(1, MOST_ROUNDS) as u32;
    Duties {
        heartbeat: round.is_multiple_of(HEARTBEAT_EVERY),
        far: round.is_multiple_of(FAR_EVERY),
        sums: round.is_multiple_of(rounds),
        signs: round.is_multiple_of(SIGNS_EVERY),
        all: round.is_multiple_of(ALL_EVERY),
        regions: round.is_multiple_of(REGION_ROUNDS),
    }
}

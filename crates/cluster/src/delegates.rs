//! Selection of delegates: nodes that relay the store's tables and aggregate loads for their zone
//! in a large fleet, so that the traffic of a node does not grow with the fleet.

use dappleyard_model::Resources;
use xxhash_rust::xxh3::xxh3_64;

/// Delegates per zone; the second one covers the loss of the first.
const DELEGATES_PER_ZONE: usize = 2;

/// Processor capacity required of a delegate, thousandths of a core. In a fleet of 295 nodes a
/// delegate uses up to 119 of them, and its callers come first.
const MIN_CORE_MILLIS: u32 = 250;
/// Bandwidth required of a delegate. Sending 6 KB to 59 nodes 13 times a second takes 38 Mbit/s, by
/// calculation.
const MIN_LINK_MBPS: u32 = 100;

/// Whether a machine has the capacity to act as a delegate.
pub fn is_strong(resources: Resources) -> bool {
    resources.core_millis >= MIN_CORE_MILLIS && resources.link_mbps >= MIN_LINK_MBPS
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    pub name: &'a str,
    /// Its machine has the capacity to act as a delegate.
    pub strong: bool,
}

/// Selects the delegates of a zone: strong machines first, then by a hash of the name, so that all
/// nodes with the same membership view select the same ones.
pub fn delegates<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> Vec<&'a str> {
    let mut ranked: Vec<(bool, u64, &str)> = candidates
        .map(|node| (!node.strong, xxh3_64(node.name.as_bytes()), node.name))
        .collect();
    ranked.sort_unstable();
    let chosen = ranked.into_iter().take(DELEGATES_PER_ZONE);
    chosen.map(|(_, _, name)| name).collect()
}

/// Delegates of a zone in another region to which one of `senders` delegates sends. Each of them
/// receives from one sender where the counts allow, which limits traffic between regions. After the
/// loss of a sender its receivers get no updates until the loss is detected.
pub fn cross_region_receivers(own_index: usize, senders: usize, receivers: Vec<&str>) -> Vec<&str> {
    let (senders, receiver_count) = (senders.max(1), receivers.len().max(1));
    let pairs = receivers.into_iter().enumerate();
    let is_receiver =
        |index: usize| index % senders == own_index || own_index % receiver_count == index;
    pairs
        .filter(|(index, _)| is_receiver(*index))
        .map(|(_, name)| name)
        .collect()
}

//! Delegates: the nodes of a zone that act for it in a large fleet. They hand on the store's tables
//! and sum up loads, so that what each node sends and reads does not grow with the fleet.

use dappleyard_model::Resources;
use xxhash_rust::xxh3::xxh3_64;

/// Delegates of one zone: when one is lost, the other goes on.
const DELEGATES: usize = 2;

/// Processor time that a delegate's machine should have, thousandths of a core: on the bench's fleets
/// of 295 nodes a delegate spent up to 119 (docs/large-fleets.md), and its callers come first.
const DELEGATE_CORE_MILLIS: u32 = 250;
/// Bandwidth that it should have. Worked out, not measured: 6 KB to 59 nodes 13 times a second, as
/// delegates once told them, is 38 Mbit/s.
const DELEGATE_LINK_MBPS: u32 = 100;

/// Whether a machine can carry the duties of a delegate beside its callers.
pub fn is_strong(resources: Resources) -> bool {
    resources.core_millis >= DELEGATE_CORE_MILLIS && resources.link_mbps >= DELEGATE_LINK_MBPS
}

/// A node that may become a delegate of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name.
    pub name: &'a str,
    /// Its machine can carry the duties of a delegate.
    pub strong: bool,
}

/// The delegates among the nodes of a zone: strong machines first, and among equals by a hash, so
/// that all who know the same nodes choose the same ones.
pub fn delegates<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> Vec<&'a str> {
    let mut ranked: Vec<(bool, u64, &str)> = candidates
        .map(|node| (!node.strong, xxh3_64(node.name.as_bytes()), node.name))
        .collect();
    ranked.sort_unstable();
    let chosen = ranked.into_iter().take(DELEGATES);
    chosen.map(|(_, _, name)| name).collect()
}

/// The delegates of a zone of another region that one of several delegates tells: each hears one voice of
/// the zone, not all of them, since bytes between regions are dear. One that is lost is replaced when its
/// silence is noticed; until then half of the delegates there go by older news.
pub fn told_by(own: usize, tellers: usize, there: Vec<&str>) -> Vec<&str> {
    let (tellers, told) = (tellers.max(1), there.len().max(1));
    let pairs = there.into_iter().enumerate();
    let is_told = |place: usize| place % tellers == own || own % told == place;
    pairs
        .filter(|(place, _)| is_told(*place))
        .map(|(_, name)| name)
        .collect()
}

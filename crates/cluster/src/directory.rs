//! Selects the node addresses that a caller may connect to.
//!
//! A caller keeps an answer for some seconds and picks a random address from it for each new
//! connection. The answer holds nodes of the caller's zone; if these are few, other nodes of the
//! region; and nodes of other regions only if the region has hardly any. Traffic between zones is
//! billed, and an unreachable address costs the caller a second.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleyard_model::{Distance, FailureTolerance, RegionName, Topology};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Number of nodes below which an answer is filled up from other regions.
const MIN_CHOICES: usize = 3;
/// Nodes of the caller's zone for each spare node of another zone, if the deployment must tolerate
/// the loss of a zone: callers of a lost zone reach no directory and have only the cached answer.
const NODES_PER_SPARE: usize = 3;
/// Age of the newest liveness record of most nodes of a zone after which callers are no longer sent
/// to them. Records of another zone pass its delegates and those of the own zone, which forward
/// them every 450 ms; one datagram may be lost. A single node times out later, after 2.5 s in a
/// large fleet.
const ZONE_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_350);
/// Minimum number of silent nodes that counts as a zone failure; fewer may be restarting.
const MIN_SILENT_NODES: usize = 2;
/// Maximum age of the liveness record of a node in another region: two forwarding intervals of 450
/// ms, one more for a lost datagram, and the network delay.
const MAX_FAR_AGE: Duration = Duration::from_millis(1_500);
/// Maximum age of the liveness record of nodes that are not ready, but are listed because the zone
/// of the answering node seems partitioned. Operators rely on a node that is gone not being listed
/// for more than a few seconds.
const MAX_LAST_KNOWN_AGE: Duration = Duration::from_millis(4_500);

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontNode {
    /// Address for callers.
    pub address: String,
    pub zone: String,
    /// Time since its newest liveness record.
    pub age: Duration,
    /// Accepts requests; otherwise it did when it was last heard.
    pub ready: bool,
    /// Its machine has capacity beyond its own callers.
    pub strong: bool,
}

/// Deployment facts that an answer depends on, besides the nodes.
#[derive(Debug, Clone, Copy)]
pub struct DirectoryContext<'a> {
    /// Zone of the node that answers.
    pub own_zone: &'a str,
    /// The region of each zone.
    pub places: &'a Topology,
    /// Failures that the deployment must tolerate.
    pub tolerated: FailureTolerance,
}

/// The caller of a query.
#[derive(Debug, Clone, Copy, Default)]
pub struct DirectoryQuery<'a> {
    /// Zone of the caller, if it is known.
    pub zone: Option<&'a str>,
    /// Regions whose nodes may be listed; `None` allows all.
    pub regions: Option<&'a BTreeSet<RegionName>>,
}

/// Addresses for a caller, sorted.
pub fn addresses_for(
    query: DirectoryQuery<'_>,
    context: DirectoryContext<'_>,
    nodes: &[FrontNode],
) -> Vec<String> {
    let allowed = |node: &&FrontNode| {
        query.regions.is_none_or(|regions| {
            let region = context.places.region(&node.zone);
            region.is_some_and(|region| regions.contains(region))
        })
    };
    let allowed: Vec<&FrontNode> = nodes.iter().filter(allowed).collect();
    let zones = count_by_zone(&allowed);
    let partitioned = seems_partitioned(&zones, context);
    let usable = usable(&allowed, &zones, partitioned);
    let mut chosen = match query.zone {
        None => usable,
        Some(zone) => nearest(zone, context, partitioned, &usable),
    };
    chosen.truncate(MAX_ADDRESSES);
    let mut addresses: Vec<String> = chosen.iter().map(|node| node.address.clone()).collect();
    addresses.sort();
    addresses
}

#[derive(Debug, Clone, Copy, Default)]
struct ZoneCounts {
    nodes: usize,
    /// Nodes whose newest liveness record is older than `ZONE_SILENCE_TIMEOUT`.
    silent: usize,
}

impl ZoneCounts {
    /// At least half of the nodes are silent.
    fn is_mostly_silent(self) -> bool {
        self.silent >= MIN_SILENT_NODES && self.silent * 2 >= self.nodes
    }

    fn is_silent(self) -> bool {
        self.is_mostly_silent() && self.silent == self.nodes
    }
}

fn is_silent(node: &FrontNode) -> bool {
    node.age > ZONE_SILENCE_TIMEOUT
}

fn count_by_zone<'a>(nodes: &[&'a FrontNode]) -> BTreeMap<&'a str, ZoneCounts> {
    let mut zones: BTreeMap<&str, ZoneCounts> = BTreeMap::new();
    for node in nodes {
        let counts = zones.entry(&node.zone).or_default();
        counts.nodes += 1;
        counts.silent += usize::from(is_silent(node));
    }
    zones
}

/// Whether the zone of the answering node seems partitioned: all other zones are silent, and they
/// are more than may fail at once. This cannot be decided with two zones.
fn seems_partitioned(zones: &BTreeMap<&str, ZoneCounts>, context: DirectoryContext<'_>) -> bool {
    let others = zones.iter().filter(|(zone, _)| **zone != context.own_zone);
    let others: Vec<ZoneCounts> = others.map(|(_, counts)| *counts).collect();
    let max_lost_zones = context.tolerated.zones.max(1) as usize;
    others.len() > max_lost_zones && others.iter().all(|counts| counts.is_silent())
}

/// The nodes that an answer may list.
fn usable<'a>(
    nodes: &[&'a FrontNode],
    zones: &BTreeMap<&str, ZoneCounts>,
    partitioned: bool,
) -> Vec<&'a FrontNode> {
    let last_known = |node: &&&FrontNode| node.ready || node.age <= MAX_LAST_KNOWN_AGE;
    if partitioned {
        return nodes.iter().filter(last_known).copied().collect();
    }
    let ready: Vec<&FrontNode> = nodes.iter().filter(|node| node.ready).copied().collect();
    let is_mostly_silent = |zone: &str| {
        zones
            .get(zone)
            .is_some_and(|counts| counts.is_mostly_silent())
    };
    let is_reachable = |node: &&&FrontNode| !(is_silent(node) && is_mostly_silent(&node.zone));
    let heard: Vec<&FrontNode> = ready.iter().filter(is_reachable).copied().collect();
    // Stale nodes are better than an empty answer.
    match heard.is_empty() {
        true => ready,
        false => heard,
    }
}

/// The nodes for callers of a zone, nearest first.
fn nearest<'a>(
    zone: &str,
    context: DirectoryContext<'_>,
    partitioned: bool,
    nodes: &[&'a FrontNode],
) -> Vec<&'a FrontNode> {
    let at_distance = |distance: Distance| -> Vec<&'a FrontNode> {
        let matching = |node: &&&FrontNode| context.places.distance(zone, &node.zone) == distance;
        let mut matching: Vec<&FrontNode> = nodes.iter().filter(matching).copied().collect();
        // The order depends on the caller's zone, which spreads the callers of several zones over
        // different nodes.
        matching.sort_by_key(|node| (!node.strong, hash_order(zone, node)));
        matching
    };
    let mut own = at_distance(Distance::SameZone);
    own.sort_by_key(|node| hash_order(zone, node));
    let region = at_distance(Distance::SameRegion);
    let spare_count = spare_count(&own, &region, context.tolerated, partitioned);
    own.truncate(MAX_ADDRESSES - spare_count.min(MAX_ADDRESSES / 4));
    let mut chosen = own;
    chosen.extend(region.into_iter().take(spare_count));
    if chosen.len() < MIN_CHOICES {
        let mut far = at_distance(Distance::OtherRegion);
        if !partitioned && far.iter().any(|node| node.age <= MAX_FAR_AGE) {
            far.retain(|node| node.age <= MAX_FAR_AGE);
        }
        let missing = match chosen.is_empty() {
            true => far.len(),
            false => MIN_CHOICES - chosen.len(),
        };
        chosen.extend(far.into_iter().take(missing));
    }
    chosen
}

/// Number of nodes of other zones of the region to list besides those of the caller's zone.
fn spare_count(
    own: &[&FrontNode],
    region: &[&FrontNode],
    tolerated: FailureTolerance,
    partitioned: bool,
) -> usize {
    let zones: BTreeSet<&str> = region.iter().map(|node| node.zone.as_str()).collect();
    let average_nodes = region.len().div_ceil(zones.len().max(1));
    let spares = match tolerated.zones {
        0 => 0,
        _ => own.len().div_ceil(NODES_PER_SPARE),
    };
    match own.len() {
        0 => region.len(),
        // A partitioned zone cannot do some work, such as taking jobs, that others can.
        count if partitioned => count,
        // Most of the zone is gone; the remaining nodes must not serve all of its callers.
        count if count * 2 < average_nodes => average_nodes - count,
        _ => spares,
    }
}

fn hash_order(zone: &str, node: &FrontNode) -> u64 {
    xxh3_64_with_seed(
        node.address.as_bytes(),
        xxh3_64_with_seed(zone.as_bytes(), 0),
    )
}

//! Which nodes a caller is sent to. Pure.
//!
//! A caller keeps an answer for some seconds, and chooses one of its addresses at random for each new
//! connection. So an answer names the nodes of the caller's zone; where these are few, others of the
//! region, and those of other regions only where the region has hardly any. Bytes between zones are paid for,
//! and an address that does not answer costs the caller a second.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleyard_model::{Distance, Places, RegionName, Tolerated};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most addresses of one answer.
const MOST_ADDRESSES: usize = 64;
/// Nodes that a caller should be able to choose among before another region is named.
const FEW: usize = 3;
/// Nodes of the zone for each node of another one named beside them, where the deployment is to bear the loss
/// of a zone: a caller whose whole zone is gone reaches no directory of it either, and has only the answer that it
/// keeps. While a zone of 22 nodes was without power for 4 s of a simulated day, 425 requests of its callers
/// failed with 2 others named, and 295 with 8.
const NODES_PER_SPARE: usize = 3;
/// Silence of most nodes of a zone after which nobody is sent to them. Signs of the nodes of another zone
/// come by its delegates and those of the own zone, each of which tells them every 450 ms; one datagram may
/// be lost. A single node is given up later, after 2.5 s in a large fleet.
const ZONE_SILENCE: Duration = Duration::from_millis(1_350);
/// Nodes of a zone whose silence together has one cause; fewer may be one restart.
const TOGETHER: usize = 2;
/// Age of the newest sign of a node in another region above which no caller is sent there: two steps of 450 ms,
/// one of them lost, and the way.
const FAR_AGE: Duration = Duration::from_millis(1_500);
/// Age up to which nodes that were ready are named by a node whose zone seems cut off. Operators count on it that
/// a node that is gone for several seconds is named no longer.
const LAST_KNOWN: Duration = Duration::from_millis(4_500);

/// A node that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontNode {
    /// Address for callers.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Time since the newest sign of it.
    pub age: Duration,
    /// It is believed to take requests; otherwise it did when it was last heard.
    pub ready: bool,
    /// Its machine can carry more than its callers.
    pub strong: bool,
}

/// What an answer rests on beside the nodes.
#[derive(Debug, Clone, Copy)]
pub struct Ground<'a> {
    /// Zone of the node that answers.
    pub own_zone: &'a str,
    /// All zones, and the region of each.
    pub places: &'a Places,
    /// What the deployment is to bear.
    pub tolerated: Tolerated,
}

/// Who asks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Asked<'a> {
    /// Zone of the caller, when it tells.
    pub zone: Option<&'a str>,
    /// Regions whose nodes may be named; `None` stands for all.
    pub regions: Option<&'a BTreeSet<RegionName>>,
}

/// Addresses for a caller, in order.
pub fn addresses_for(asked: Asked<'_>, ground: Ground<'_>, nodes: &[FrontNode]) -> Vec<String> {
    let allowed = |node: &&FrontNode| {
        asked.regions.is_none_or(|regions| {
            let region = ground.places.region(&node.zone);
            region.is_some_and(|region| regions.contains(region))
        })
    };
    let allowed: Vec<&FrontNode> = nodes.iter().filter(allowed).collect();
    let zones = count_zones(&allowed);
    let cut_off = is_cut_off(&zones, ground);
    let usable = usable(&allowed, &zones, cut_off);
    let mut chosen = match asked.zone {
        None => usable,
        Some(zone) => near(zone, ground, cut_off, &usable),
    };
    chosen.truncate(MOST_ADDRESSES);
    let mut addresses: Vec<String> = chosen.iter().map(|node| node.address.clone()).collect();
    addresses.sort();
    addresses
}

/// Nodes of one zone.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneCounts {
    nodes: usize,
    silent: usize,
}

impl ZoneCounts {
    /// Half of the nodes or more fell silent.
    fn is_hit(self) -> bool {
        self.silent >= TOGETHER && self.silent * 2 >= self.nodes
    }

    /// All of the nodes fell silent.
    fn is_silent(self) -> bool {
        self.is_hit() && self.silent == self.nodes
    }
}

fn is_silent(node: &FrontNode) -> bool {
    node.age > ZONE_SILENCE
}

fn count_zones<'a>(nodes: &[&'a FrontNode]) -> BTreeMap<&'a str, ZoneCounts> {
    let mut zones: BTreeMap<&str, ZoneCounts> = BTreeMap::new();
    for node in nodes {
        let counts = zones.entry(&node.zone).or_default();
        counts.nodes += 1;
        counts.silent += usize::from(is_silent(node));
    }
    zones
}

/// Whether the zone of the node that answers seems cut off: it hears no other one, which are more than may be
/// lost at once. Where there are two zones, nobody can tell.
fn is_cut_off(zones: &BTreeMap<&str, ZoneCounts>, ground: Ground<'_>) -> bool {
    let others = zones.iter().filter(|(zone, _)| **zone != ground.own_zone);
    let others: Vec<ZoneCounts> = others.map(|(_, counts)| *counts).collect();
    let most_lost = ground.tolerated.zones.max(1) as usize;
    others.len() > most_lost && others.iter().all(|counts| counts.is_silent())
}

/// The nodes that may be named at all.
fn usable<'a>(
    nodes: &[&'a FrontNode],
    zones: &BTreeMap<&str, ZoneCounts>,
    cut_off: bool,
) -> Vec<&'a FrontNode> {
    let last_known = |node: &&&FrontNode| node.ready || node.age <= LAST_KNOWN;
    if cut_off {
        return nodes.iter().filter(last_known).copied().collect();
    }
    let ready: Vec<&FrontNode> = nodes.iter().filter(|node| node.ready).copied().collect();
    let is_hit = |zone: &str| zones.get(zone).is_some_and(|counts| counts.is_hit());
    let in_touch = |node: &&&FrontNode| !(is_silent(node) && is_hit(&node.zone));
    let heard: Vec<&FrontNode> = ready.iter().filter(in_touch).copied().collect();
    // Old news is better than none.
    match heard.is_empty() {
        true => ready,
        false => heard,
    }
}

/// The nodes for callers of a zone.
fn near<'a>(
    zone: &str,
    ground: Ground<'_>,
    cut_off: bool,
    nodes: &[&'a FrontNode],
) -> Vec<&'a FrontNode> {
    let at = |distance: Distance| -> Vec<&'a FrontNode> {
        let there = |node: &&&FrontNode| ground.places.distance(zone, &node.zone) == distance;
        let mut there: Vec<&FrontNode> = nodes.iter().filter(there).copied().collect();
        // Each zone has an order of its own, so that the callers of several zones go to different nodes.
        there.sort_by_key(|node| (!node.strong, order(zone, node)));
        there
    };
    let mut own = at(Distance::SameZone);
    own.sort_by_key(|node| order(zone, node));
    let region = at(Distance::SameRegion);
    let wanted = wanted(&own, &region, ground.tolerated, cut_off);
    own.truncate(MOST_ADDRESSES - wanted.min(MOST_ADDRESSES / 4));
    let mut chosen = own;
    chosen.extend(region.into_iter().take(wanted));
    if chosen.len() < FEW {
        let mut far = at(Distance::OtherRegion);
        if !cut_off && far.iter().any(|node| node.age <= FAR_AGE) {
            far.retain(|node| node.age <= FAR_AGE);
        }
        let missing = match chosen.is_empty() {
            true => far.len(),
            false => FEW - chosen.len(),
        };
        chosen.extend(far.into_iter().take(missing));
    }
    chosen
}

/// How many nodes of the other zones of the region are named beside those of the zone.
fn wanted(own: &[&FrontNode], region: &[&FrontNode], tolerated: Tolerated, cut_off: bool) -> usize {
    let zones: BTreeSet<&str> = region.iter().map(|node| node.zone.as_str()).collect();
    let usual = region.len().div_ceil(zones.len().max(1));
    let spares = match tolerated.zones {
        0 => 0,
        _ => own.len().div_ceil(NODES_PER_SPARE),
    };
    match own.len() {
        0 => region.len(),
        // What a zone that is cut off cannot do, such as taking jobs, others can.
        count if cut_off => count,
        // A zone of which most is gone: the rest must not bear all of its callers.
        count if count * 2 < usual => usual - count,
        _ => spares,
    }
}

fn order(zone: &str, node: &FrontNode) -> u64 {
    xxh3_64_with_seed(
        node.address.as_bytes(),
        xxh3_64_with_seed(zone.as_bytes(), 0),
    )
}

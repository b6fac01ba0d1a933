//! The servers of a service as one node uses them.
//!
//! In a large fleet a node does not weigh, nor connect to, all servers: it uses a subset of its own
//! zone that differs from node to node, so that work per request and connections stay bounded. Where
//! a service is spread over regions, a node uses few servers of the others however small the service
//! is: connections there serve only while its own region cannot.

use std::sync::Arc;

use dappleyard_model::{Distance, ServerRecord};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ways::Ways;

/// Servers up to which a node uses all of them, where they stand in one region.
const ALL_USED: usize = 64;
/// Servers of the own zone that a node of a large fleet uses.
const NEAR_USED: usize = 40;
/// Servers of any other zone that it uses besides; in a service that is spread over regions, servers of other
/// regions. Where the own zone has none, evacuated ones say, a node uses as many of other zones as it would of all:
/// eight would be full while most of the fleet has room.
const FAR_USED: usize = 8;
/// Servers of the other zones of its region that it uses, where a service is spread over regions: the
/// sum of all is then no more than where all are used.
const REGION_USED: usize = ALL_USED - NEAR_USED - FAR_USED;

/// Where a node stands.
#[derive(Debug)]
pub struct Standpoint {
    number: u64,
    ways: Arc<Ways>,
}

/// Servers of one service that take new work.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerSet {
    /// All of them, by identifier.
    pub all: Vec<Arc<ServerRecord>>,
    /// Those that the node sends work to.
    pub used: Vec<Arc<ServerRecord>>,
    /// Those among which prompts have their homes: all, or those of the zone in a large fleet where it has
    /// any; never those of another region while the own one has any.
    pub homes: Vec<Arc<ServerRecord>>,
}

impl ServerSet {
    /// Whether the node uses only some of the servers.
    pub fn is_large(&self) -> bool {
        self.used.len() < self.all.len()
    }
}

impl Standpoint {
    /// The standpoint of a node in a deployment of one region.
    pub fn new(node: &str, zone: &str) -> Self {
        Self::with_ways(node, Arc::new(Ways::within(zone)))
    }

    /// The standpoint of a node from which these ways begin.
    pub fn with_ways(node: &str, ways: Arc<Ways>) -> Self {
        Self {
            number: xxh3_64(node.as_bytes()),
            ways,
        }
    }

    /// The ways from here.
    pub fn ways(&self) -> &Arc<Ways> {
        &self.ways
    }

    /// Sorts the servers of a service into those that the node uses.
    ///
    /// A set is built anew after each change of a server. Of a large service it takes one look at each server and no sort of
    /// them all: 3.3 ms for 10,000 of them, in a build on a shared machine.
    pub fn servers(&self, mut all: Vec<Arc<ServerRecord>>) -> ServerSet {
        if !all.is_sorted_by(|a, b| a.id <= b.id) {
            all.sort_by(|a, b| a.id.cmp(&b.id));
        }
        let spread = all.iter().any(|server| !self.ways.is_near(&server.zone));
        if spread {
            return self.spread_servers(all);
        }
        if all.len() <= ALL_USED {
            return ServerSet {
                used: all.clone(),
                homes: all.clone(),
                all,
            };
        }
        let is_near = |server: &&Arc<ServerRecord>| server.zone == self.ways.zone();
        let homes: Vec<_> = all.iter().filter(is_near).cloned().collect();
        if homes.is_empty() {
            return ServerSet {
                used: self.first(all.iter(), NEAR_USED + FAR_USED),
                homes: all.clone(),
                all,
            };
        }
        let mut used = self.first(homes.iter(), NEAR_USED);
        used.extend(self.first(all.iter().filter(|server| !is_near(server)), FAR_USED));
        ServerSet { used, homes, all }
    }

    /// The first of some servers in this node's own order.
    fn first<'a>(
        &self,
        servers: impl Iterator<Item = &'a Arc<ServerRecord>>,
        most: usize,
    ) -> Vec<Arc<ServerRecord>> {
        let turn = |server: &ServerRecord| xxh3_64_with_seed(server.id.as_bytes(), self.number);
        let mut turns: Vec<(u64, &Arc<ServerRecord>)> =
            servers.map(|server| (turn(server), server)).collect();
        if turns.len() > most {
            turns.select_nth_unstable_by_key(most, |(turn, _)| *turn);
            turns.truncate(most);
        }
        turns.sort_unstable_by_key(|(turn, _)| *turn);
        turns
            .into_iter()
            .map(|(_, server)| server.clone())
            .collect()
    }

    /// The same where some servers stand in other regions.
    fn spread_servers(&self, all: Vec<Arc<ServerRecord>>) -> ServerSet {
        let some = |distance: Distance, most: usize| {
            let servers = all.iter();
            let there = servers.filter(|server| self.ways.distance(&server.zone) == distance);
            self.first(there, most)
        };
        let mut used = some(Distance::SameZone, NEAR_USED);
        used.extend(some(Distance::SameRegion, REGION_USED));
        let far = match used.is_empty() {
            // The node's own region has none: the others are all that it has.
            true => NEAR_USED,
            false => FAR_USED,
        };
        used.extend(some(Distance::OtherRegion, far));
        ServerSet {
            used,
            homes: self.spread_homes(&all),
            all,
        }
    }

    /// Homes of prompts: in a large fleet the own zone's servers, else those of the region, and all where
    /// the region has none.
    fn spread_homes(&self, all: &[Arc<ServerRecord>]) -> Vec<Arc<ServerRecord>> {
        let within = |farthest: Distance| -> Vec<_> {
            let servers = all.iter();
            let there = servers.filter(|server| self.ways.distance(&server.zone) <= farthest);
            there.cloned().collect()
        };
        let zone = within(Distance::SameZone);
        if all.len() > ALL_USED && !zone.is_empty() {
            return zone;
        }
        let region = within(Distance::SameRegion);
        match region.is_empty() {
            true => all.to_vec(),
            false => region,
        }
    }
}

//! Selects the servers of a service that one node uses.
//!
//! In a large fleet each node uses a different subset of its own zone, which bounds its connections
//! and the cost of placing a request. Of a service in several regions it uses few servers in other
//! regions, since they serve only while its own region cannot.

use std::sync::Arc;

use dappleyard_clock::Instant;
use dappleyard_model::{Distance, ServerRecord, SoftwareVersion};
use dappleyard_streams::Versions;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::zone_distances::ZoneDistances;

/// A node uses all servers of a service that has at most this many, all of them in its region.
const MAX_ALL_USED: usize = 64;
/// Servers of its own zone that a node of a large fleet uses.
const OWN_ZONE_USED: usize = 40;
/// Servers of other zones that it uses, or of other regions if the service is in several. If its
/// own zone has none, for example while it is evacuated, it uses as many servers of other zones as
/// it would use in total.
const REMOTE_USED: usize = 8;
/// Servers in the other zones of its region that it uses if the service is in several regions. The
/// total then equals `MAX_ALL_USED`.
const OWN_REGION_USED: usize = MAX_ALL_USED - OWN_ZONE_USED - REMOTE_USED;

/// Location and identity of a node, which determine the servers it uses.
#[derive(Debug)]
pub struct ServerSelector {
    /// Hash of the node name.
    number: u64,
    zone_distances: Arc<ZoneDistances>,
}

/// The servers of one service that accept new work.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerSet {
    /// All servers, ordered by identifier.
    pub all: Vec<Arc<ServerRecord>>,
    /// Servers that this node sends requests to.
    pub used: Vec<Arc<ServerRecord>>,
    /// Servers over which prompts are hashed for cache affinity: all, or in a large fleet those of
    /// the own zone if there are any. Servers of other regions are included only if the own region
    /// has none.
    pub affinity_servers: Vec<Arc<ServerRecord>>,
    /// Software versions at which no streams begin yet, with the time from which they do.
    pub settling: Vec<(Option<SoftwareVersion>, Instant)>,
    /// Software versions that the store has not recorded. No stream that may be resumed begins there: were all nodes lost,
    /// nobody would know that it had.
    pub unrecorded: Versions,
}

impl ServerSet {
    /// Whether streams may begin at a server now. Servers of a version that has just appeared take none while there are
    /// others.
    pub fn is_settled(&self, server: &ServerRecord, now: Instant) -> bool {
        let mut settling = self.settling.iter();
        !settling.any(|(version, until)| *version == server.version && now < *until)
    }

    /// Whether the store has recorded the software version of a server.
    pub fn is_recorded(&self, server: &ServerRecord) -> bool {
        !self.unrecorded.contains(&server.version)
    }

    /// Whether the node uses only a subset of the servers.
    pub fn is_large(&self) -> bool {
        self.used.len() < self.all.len()
    }
}

impl ServerSelector {
    /// A node in a deployment of one region.
    pub fn new(node: &str, zone: &str) -> Self {
        Self::with_zone_distances(node, Arc::new(ZoneDistances::single_region(zone)))
    }

    /// A node with the given distances to other zones.
    pub fn with_zone_distances(node: &str, zone_distances: Arc<ZoneDistances>) -> Self {
        Self {
            number: xxh3_64(node.as_bytes()),
            zone_distances,
        }
    }

    /// Distances from this node to the servers of each zone.
    pub fn zone_distances(&self) -> &Arc<ZoneDistances> {
        &self.zone_distances
    }

    /// Builds the set of a service. Runs after each change of a server, so a large service costs
    /// one pass over its servers and no full sort.
    pub fn servers(&self, mut all: Vec<Arc<ServerRecord>>) -> ServerSet {
        if !all.is_sorted_by(|a, b| a.id <= b.id) {
            all.sort_by(|a, b| a.id.cmp(&b.id));
        }
        let multi_region = all
            .iter()
            .any(|server| !self.zone_distances.is_near(&server.zone));
        if multi_region {
            return self.multi_region_set(all);
        }
        if all.len() <= MAX_ALL_USED {
            return ServerSet {
                used: all.clone(),
                affinity_servers: all.clone(),
                all,
                settling: Vec::new(),
                unrecorded: Versions::new(),
            };
        }
        let is_near = |server: &&Arc<ServerRecord>| server.zone == self.zone_distances.zone();
        let affinity_servers: Vec<_> = all.iter().filter(is_near).cloned().collect();
        if affinity_servers.is_empty() {
            return ServerSet {
                used: self.select(all.iter(), OWN_ZONE_USED + REMOTE_USED),
                affinity_servers: all.clone(),
                all,
                settling: Vec::new(),
                unrecorded: Versions::new(),
            };
        }
        let mut used = self.select(affinity_servers.iter(), OWN_ZONE_USED);
        used.extend(self.select(all.iter().filter(|server| !is_near(server)), REMOTE_USED));
        ServerSet {
            used,
            affinity_servers,
            all,
            settling: Vec::new(),
            unrecorded: Versions::new(),
        }
    }

    /// Selects up to `most` servers by a hash that differs from node to node.
    fn select<'a>(
        &self,
        servers: impl Iterator<Item = &'a Arc<ServerRecord>>,
        most: usize,
    ) -> Vec<Arc<ServerRecord>> {
        let hash = |server: &ServerRecord| xxh3_64_with_seed(server.id.as_bytes(), self.number);
        let mut hashes: Vec<(u64, &Arc<ServerRecord>)> =
            servers.map(|server| (hash(server), server)).collect();
        if hashes.len() > most {
            hashes.select_nth_unstable_by_key(most, |(hash, _)| *hash);
            hashes.truncate(most);
        }
        hashes.sort_unstable_by_key(|(hash, _)| *hash);
        hashes
            .into_iter()
            .map(|(_, server)| server.clone())
            .collect()
    }

    /// Builds the set of a service with servers in other regions.
    fn multi_region_set(&self, all: Vec<Arc<ServerRecord>>) -> ServerSet {
        let at_distance = |distance: Distance, most: usize| {
            let servers = all.iter();
            let matching =
                servers.filter(|server| self.zone_distances.distance(&server.zone) == distance);
            self.select(matching, most)
        };
        let mut used = at_distance(Distance::SameZone, OWN_ZONE_USED);
        used.extend(at_distance(Distance::SameRegion, OWN_REGION_USED));
        let remote = match used.is_empty() {
            // The own region has no servers; use more of the others.
            true => OWN_ZONE_USED,
            false => REMOTE_USED,
        };
        used.extend(at_distance(Distance::OtherRegion, remote));
        ServerSet {
            used,
            affinity_servers: self.multi_region_affinity_servers(&all),
            all,
            settling: Vec::new(),
            unrecorded: Versions::new(),
        }
    }

    /// Servers for prompt hashing: those of the own zone in a large fleet, otherwise those of the
    /// region, or all if the region has none.
    fn multi_region_affinity_servers(&self, all: &[Arc<ServerRecord>]) -> Vec<Arc<ServerRecord>> {
        let within = |farthest: Distance| -> Vec<_> {
            let servers = all.iter();
            let matching =
                servers.filter(|server| self.zone_distances.distance(&server.zone) <= farthest);
            matching.cloned().collect()
        };
        let zone = within(Distance::SameZone);
        if all.len() > MAX_ALL_USED && !zone.is_empty() {
            return zone;
        }
        let region = within(Distance::SameRegion);
        match region.is_empty() {
            true => all.to_vec(),
            false => region,
        }
    }
}

//! The servers of a service as one node uses them.
//!
//! In a large fleet a node does not weigh, nor connect to, all servers: it uses a subset of its own
//! zone that differs from node to node, so that work per request and connections stay bounded.

use std::sync::Arc;

use dappleyard_model::ServerRecord;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Servers up to which a node uses all of them.
const ALL_USED: usize = 64;
/// Servers of the own zone that a node of a large fleet uses.
const NEAR_USED: usize = 40;
/// Servers of any zone that it uses besides, for when its zone has none.
const FAR_USED: usize = 8;

/// Where a node stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standpoint {
    number: u64,
    zone: String,
}

/// Servers of one service that take new work.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerSet {
    /// All of them, by identifier.
    pub all: Vec<Arc<ServerRecord>>,
    /// Those that the node sends work to.
    pub used: Vec<Arc<ServerRecord>>,
    /// Those among which prompts have their homes: all, or those of the zone in a large fleet.
    pub homes: Vec<Arc<ServerRecord>>,
}

impl ServerSet {
    /// Whether the node uses only some of the servers.
    pub fn is_large(&self) -> bool {
        self.all.len() > ALL_USED
    }
}

impl Standpoint {
    /// The standpoint of a node.
    pub fn new(node: &str, zone: &str) -> Self {
        Self {
            number: xxh3_64(node.as_bytes()),
            zone: zone.to_owned(),
        }
    }

    /// Sorts the servers of a service into those that the node uses.
    pub fn servers(&self, mut all: Vec<Arc<ServerRecord>>) -> ServerSet {
        all.sort_by(|a, b| a.id.cmp(&b.id));
        if all.len() <= ALL_USED {
            return ServerSet {
                used: all.clone(),
                homes: all.clone(),
                all,
            };
        }
        let mut preferred = all.clone();
        preferred.sort_by_key(|server| xxh3_64_with_seed(server.id.as_bytes(), self.number));
        let (near, far): (Vec<_>, Vec<_>) = preferred
            .into_iter()
            .partition(|server| server.zone == self.zone);
        let mut homes = near.clone();
        homes.sort_by(|a, b| a.id.cmp(&b.id));
        let used = near.into_iter().take(NEAR_USED);
        ServerSet {
            used: used.chain(far.into_iter().take(FAR_USED)).collect(),
            homes,
            all,
        }
    }
}

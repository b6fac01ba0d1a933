//! Simulated network between processes: delays by zone and region, partitions and datagram loss.
//!
//! The [`Network`] maps addresses and process ids to locations and holds the active faults. Each
//! process has a [`ProcessPolicy`] that looks up its links there.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_transport::policy::{LinkPolicy, PathState, SharedPolicy};
use derive_more::Display;
use parking_lot::RwLock;

use crate::scenario::NetworkScenario;

/// Location of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NetworkLocation {
    pub zone: String,
    pub region: String,
    /// The process is a sidecar, next to callers.
    pub sidecar: bool,
}

/// A part of the fleet that is partitioned from the rest.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Partition {
    /// A zone, including its sidecars.
    #[display("zone {_0}")]
    Zone(String),
    /// A region, including its sidecars.
    #[display("region {_0}")]
    Region(String),
}

impl Partition {
    pub fn contains(&self, location: &NetworkLocation) -> bool {
        match self {
            Partition::Zone(zone) => location.zone == *zone,
            Partition::Region(region) => location.region == *region,
        }
    }
}

#[derive(Debug, Default)]
struct Faults {
    partitions: Vec<Partition>,
    loss: f64,
}

#[derive(Debug)]
pub struct Network {
    delays: NetworkScenario,
    locations: RwLock<HashMap<String, NetworkLocation>>,
    faults: RwLock<Faults>,
}

impl Network {
    pub fn new(delays: NetworkScenario) -> Arc<Network> {
        Arc::new(Network {
            delays,
            locations: RwLock::default(),
            faults: RwLock::default(),
        })
    }

    /// Sets the location of an address or process id.
    pub fn set_location(&self, name: impl Into<String>, location: &NetworkLocation) {
        self.locations.write().insert(name.into(), location.clone());
    }

    /// Returns the link policy of a process at a location.
    pub fn policy(self: &Arc<Self>, location: &NetworkLocation) -> SharedPolicy {
        Arc::new(ProcessPolicy {
            network: self.clone(),
            own_location: location.clone(),
        })
    }

    /// Partitions a part of the fleet from the rest.
    pub fn partition(&self, partition: Partition) {
        self.faults.write().partitions.push(partition);
    }

    /// Removes a partition.
    pub fn heal(&self, partition: &Partition) {
        self.faults
            .write()
            .partitions
            .retain(|active| active != partition);
    }

    /// Sets the share of datagrams lost on all links, 0 to 1.
    pub fn set_loss(&self, share: f64) {
        self.faults.write().loss = share;
    }

    /// State of the link between two locations.
    pub fn link_state(&self, one: &NetworkLocation, other: &NetworkLocation) -> PathState {
        let faults = self.faults.read();
        PathState {
            delay: self.delay(one, other),
            cut: faults
                .partitions
                .iter()
                .any(|partition| partition.contains(one) != partition.contains(other)),
            loss: faults.loss,
        }
    }

    fn delay(&self, one: &NetworkLocation, other: &NetworkLocation) -> Duration {
        let mut milliseconds = 0.0;
        if one.sidecar || other.sidecar {
            milliseconds += self.delays.to_clients_ms;
        }
        if one.region != other.region {
            milliseconds += self.delays.between_regions_ms;
        } else if one.zone != other.zone {
            milliseconds += self.delays.between_zones_ms;
        }
        Duration::from_secs_f64(milliseconds / 1_000.0)
    }
}

/// The network as seen by one process.
#[derive(Debug)]
struct ProcessPolicy {
    network: Arc<Network>,
    own_location: NetworkLocation,
}

impl LinkPolicy for ProcessPolicy {
    /// Unknown peers are reached directly, without faults.
    fn path(&self, peer: &str) -> PathState {
        let locations = self.network.locations.read();
        locations.get(peer).map_or(PathState::DIRECT, |location| {
            self.network.link_state(&self.own_location, location)
        })
    }
}

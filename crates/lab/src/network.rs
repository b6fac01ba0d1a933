//! The simulated network between processes: delays by zone, partitions and losses.
//!
//! Each process gets a [`ProcessPolicy`] that knows where it stands; the [`Network`] knows where
//! every address and process id stands, and which faults hold at present.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_transport::policy::{LinkPolicy, LinkState, SharedPolicy};
use derive_more::Display;
use parking_lot::RwLock;

use crate::scenario::NetworkScenario;

/// Where a process stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NetworkLocation {
    pub zone: String,
    pub region: String,
    /// The process stands beside callers.
    pub sidecar: bool,
}

/// A part of the fleet that is cut off from the rest.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Partition {
    /// A zone, its sidecars included.
    #[display("zone {_0}")]
    Zone(String),
    /// A region, its sidecars included.
    #[display("region {_0}")]
    Region(String),
}

impl Partition {
    /// Whether a location is inside.
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

/// The network of an experiment.
#[derive(Debug)]
pub struct Network {
    delays: NetworkScenario,
    locations: RwLock<HashMap<String, NetworkLocation>>,
    faults: RwLock<Faults>,
}

impl Network {
    /// A network without faults.
    pub fn new(delays: NetworkScenario) -> Arc<Network> {
        Arc::new(Network {
            delays,
            locations: RwLock::default(),
            faults: RwLock::default(),
        })
    }

    /// Says where an address or process id stands.
    pub fn set_location(&self, name: impl Into<String>, location: &NetworkLocation) {
        self.locations.write().insert(name.into(), location.clone());
    }

    /// The policy of a process that stands at a location.
    pub fn policy(self: &Arc<Self>, location: &NetworkLocation) -> SharedPolicy {
        Arc::new(ProcessPolicy {
            network: self.clone(),
            own_location: location.clone(),
        })
    }

    /// Cuts a part of the fleet off.
    pub fn partition(&self, partition: Partition) {
        self.faults.write().partitions.push(partition);
    }

    /// Joins it again.
    pub fn heal(&self, partition: &Partition) {
        self.faults
            .write()
            .partitions
            .retain(|active| active != partition);
    }

    /// Share of datagrams lost everywhere, 0 to 1.
    pub fn set_loss(&self, share: f64) {
        self.faults.write().loss = share;
    }

    /// State of the path between two locations.
    pub fn link_state(&self, one: &NetworkLocation, other: &NetworkLocation) -> LinkState {
        let faults = self.faults.read();
        LinkState {
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

/// The network as one process sees it.
#[derive(Debug)]
struct ProcessPolicy {
    network: Arc<Network>,
    own_location: NetworkLocation,
}

impl LinkPolicy for ProcessPolicy {
    /// Peers that are not known yet are reached without delay.
    fn path(&self, peer: &str) -> LinkState {
        let locations = self.network.locations.read();
        locations.get(peer).map_or(LinkState::DIRECT, |location| {
            self.network.link_state(&self.own_location, location)
        })
    }
}

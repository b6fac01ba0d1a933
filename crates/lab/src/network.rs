//! The simulated network between processes: delays by zone, cuts and losses.
//!
//! Each process gets a [`ProcessPolicy`] that knows where it stands; the [`Network`] knows where
//! every address and process id stands, and which faults hold at present.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_transport::policy::{LinkPolicy, PathState, SharedPolicy};
use derive_more::Display;
use parking_lot::RwLock;

use crate::scenario::NetworkScenario;

/// Where a process stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spot {
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// The process stands beside callers.
    pub sidecar: bool,
}

/// A part of the fleet that is cut off from the rest.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Cut {
    /// A zone, its sidecars included.
    #[display("zone {_0}")]
    Zone(String),
    /// A region, its sidecars included.
    #[display("region {_0}")]
    Region(String),
}

impl Cut {
    /// Whether a spot is inside.
    pub fn holds(&self, spot: &Spot) -> bool {
        match self {
            Cut::Zone(zone) => spot.zone == *zone,
            Cut::Region(region) => spot.region == *region,
        }
    }
}

#[derive(Debug, Default)]
struct Faults {
    cuts: Vec<Cut>,
    loss: f64,
}

/// The network of an experiment.
#[derive(Debug)]
pub struct Network {
    delays: NetworkScenario,
    spots: RwLock<HashMap<String, Spot>>,
    faults: RwLock<Faults>,
}

impl Network {
    /// A network without faults.
    pub fn new(delays: NetworkScenario) -> Arc<Network> {
        Arc::new(Network {
            delays,
            spots: RwLock::default(),
            faults: RwLock::default(),
        })
    }

    /// Says where an address or process id stands.
    pub fn place(&self, name: impl Into<String>, spot: &Spot) {
        self.spots.write().insert(name.into(), spot.clone());
    }

    /// The policy of a process that stands at a spot.
    pub fn policy(self: &Arc<Self>, spot: &Spot) -> SharedPolicy {
        Arc::new(ProcessPolicy {
            network: self.clone(),
            own: spot.clone(),
        })
    }

    /// Cuts a part of the fleet off.
    pub fn cut(&self, cut: Cut) {
        self.faults.write().cuts.push(cut);
    }

    /// Joins it again.
    pub fn join(&self, cut: &Cut) {
        self.faults.write().cuts.retain(|held| held != cut);
    }

    /// Share of datagrams lost everywhere, 0 to 1.
    pub fn lose(&self, share: f64) {
        self.faults.write().loss = share;
    }

    /// State of the path between two spots.
    pub fn between(&self, one: &Spot, other: &Spot) -> PathState {
        let faults = self.faults.read();
        PathState {
            delay: self.delay(one, other),
            cut: faults
                .cuts
                .iter()
                .any(|cut| cut.holds(one) != cut.holds(other)),
            loss: faults.loss,
        }
    }

    fn delay(&self, one: &Spot, other: &Spot) -> Duration {
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
    own: Spot,
}

impl LinkPolicy for ProcessPolicy {
    /// Peers that are not known yet are reached without delay.
    fn path(&self, peer: &str) -> PathState {
        let spots = self.network.spots.read();
        spots.get(peer).map_or(PathState::DIRECT, |spot| {
            self.network.between(&self.own, spot)
        })
    }
}

//! Names and locations of processes and servers, derived from the scenario.

use crate::network::NetworkLocation;
use crate::scenario::{Scenario, ZoneScenario};

/// A process or server and its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    pub name: String,
    pub location: NetworkLocation,
}

/// Nodes in the order of the scenario file.
pub fn nodes(scenario: &Scenario) -> Vec<Instance> {
    instances(scenario, "node", false, |zone| zone.nodes)
}

/// Servers in the order of the scenario file.
pub fn servers(scenario: &Scenario) -> Vec<Instance> {
    instances(scenario, "server", false, |zone| zone.servers)
}

/// Sidecars in the order of the scenario file.
pub fn sidecars(scenario: &Scenario) -> Vec<Instance> {
    instances(scenario, "sidecar", true, |zone| zone.sidecars)
}

fn instances(
    scenario: &Scenario,
    kind: &str,
    sidecar: bool,
    count: impl Fn(&ZoneScenario) -> usize,
) -> Vec<Instance> {
    let mut all = Vec::new();
    for zone in &scenario.zones {
        for number in 1..=count(zone) {
            all.push(Instance {
                name: format!("{}-{kind}-{number}", zone.name),
                location: NetworkLocation {
                    zone: zone.name.clone(),
                    region: zone.region.clone(),
                    sidecar,
                },
            });
        }
    }
    all
}

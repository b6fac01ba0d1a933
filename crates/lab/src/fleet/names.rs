//! Names of processes and servers, from the scenario alone.

use crate::network::Spot;
use crate::scenario::{Scenario, ZoneScenario};

/// A process or server and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placed {
    /// Name.
    pub name: String,
    /// Where it stands.
    pub spot: Spot,
}

/// Nodes in the order of the scenario file.
pub fn nodes(scenario: &Scenario) -> Vec<Placed> {
    placed(scenario, "node", false, |zone| zone.nodes)
}

/// Servers in the order of the scenario file.
pub fn servers(scenario: &Scenario) -> Vec<Placed> {
    placed(scenario, "server", false, |zone| zone.servers)
}

/// Sidecars in the order of the scenario file.
pub fn sidecars(scenario: &Scenario) -> Vec<Placed> {
    placed(scenario, "sidecar", true, |zone| zone.sidecars)
}

fn placed(
    scenario: &Scenario,
    kind: &str,
    sidecar: bool,
    count: impl Fn(&ZoneScenario) -> usize,
) -> Vec<Placed> {
    let mut all = Vec::new();
    for zone in &scenario.zones {
        for number in 1..=count(zone) {
            all.push(Placed {
                name: format!("{}-{kind}-{number}", zone.name),
                spot: Spot {
                    zone: zone.name.clone(),
                    region: zone.region.clone(),
                    sidecar,
                },
            });
        }
    }
    all
}

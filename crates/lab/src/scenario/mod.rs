//! Scenario files: the fleet, the engines, the load and the bounds of an experiment.
//!
//! Every field is required unless a default is stated, and unknown keys are refused. Times are in
//! milliseconds or seconds as the name says, lengths in tokens.

mod check;
mod load;
mod policy;

use std::path::Path;

use dappleyard_standin::engine::EngineModelSettings;
use dappleyard_standin::platform::PlatformStandInSettings;
use serde::{Deserialize, Serialize};

use crate::error::LabError;

pub use load::{BatchScenario, Lengths, OnceScenario, OnlineScenario, RefusedScenario};
pub use policy::Policy;

/// One experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, as in reports.
    pub name: String,
    /// Seed of arrivals and engines when none is given.
    pub seed: u64,
    /// Length of the load, seconds, when none is given.
    pub seconds: u64,
    /// The model service.
    pub service: ServiceScenario,
    /// Zones, with what stands in each.
    pub zones: Vec<ZoneScenario>,
    /// Delays between processes.
    pub network: NetworkScenario,
    /// Cost model of the engines; its slowdown is the service's.
    #[serde(default)]
    pub engine: EngineModelSettings,
    /// Platform; its seed is the run's.
    #[serde(default)]
    pub platform: PlatformStandInSettings,
    /// Processes of the system.
    #[serde(default)]
    pub processes: ProcessScenario,
    /// Online load.
    pub online: OnlineScenario,
    /// Must-not-repeat requests.
    pub once: OnceScenario,
    /// Requests of a tenant with a low limit, so that refusals are seen in every run.
    pub refused: RefusedScenario,
    /// Batch load.
    pub batch: BatchScenario,
    /// Events of every run.
    #[serde(default)]
    pub routine: RoutineScenario,
    /// Settings of the policies that batch work is compared under.
    pub policy: PolicyScenario,
    /// Bounds that the invariants are judged by.
    #[serde(default)]
    pub bounds: Bounds,
}

/// The model service of a scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceScenario {
    /// Name, as callers give it as the model.
    pub name: String,
    /// Version loaded at the start.
    pub version: String,
    /// How much slower an online step may become through batch work, percent.
    pub online_slowdown_percent: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneScenario {
    pub name: String,
    pub region: String,
    /// Servers, each with one engine.
    pub servers: usize,
    pub nodes: usize,
    /// Sidecars, each with its callers.
    pub sidecars: usize,
}

/// One-way delays.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkScenario {
    /// Between two zones, milliseconds.
    pub between_zones_ms: f64,
    /// Between two regions, milliseconds.
    #[serde(default)]
    pub between_regions_ms: f64,
    /// Between a sidecar and a node of its zone, milliseconds.
    pub to_clients_ms: f64,
}

/// Settings of nodes and sidecars that differ from their defaults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessScenario {
    /// Request threads of a node.
    pub node_workers: usize,
    /// Threads of a sidecar.
    pub sidecar_workers: usize,
    /// Longest time that a planned stop may take, milliseconds.
    pub stop_bound_ms: u64,
    /// Work that one chunk of a job should hold, milliseconds.
    pub chunk_target_ms: u64,
}

impl Default for ProcessScenario {
    fn default() -> Self {
        Self {
            node_workers: 1,
            sidecar_workers: 1,
            stop_bound_ms: 15_000,
            chunk_target_ms: 3_000,
        }
    }
}

/// Mild events of every run, as parts of the run's length.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutineScenario {
    /// Whether they take place.
    pub enabled: bool,
    /// When one node is stopped as planned, to be started again, percent of the run.
    pub stop_node_at_percent: u32,
    /// When one server is drained, percent of the run.
    pub drain_server_at_percent: u32,
    /// Configuration changes, spread over the run.
    pub configuration_changes: u32,
}

impl Default for RoutineScenario {
    fn default() -> Self {
        Self {
            enabled: true,
            stop_node_at_percent: 55,
            drain_server_at_percent: 30,
            configuration_changes: 6,
        }
    }
}

/// Settings of the policies for comparison.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyScenario {
    /// Share of the servers that `static-split` gives to batch work: the greatest that leaves
    /// online requests the tail they have alone; found by measurement.
    pub static_split_percent: u32,
}

/// Bounds that the invariants are judged by.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time after which a cancelled job starts no item, milliseconds.
    pub cancel_ms: u64,
    /// Time after which a leaving server receives no new work, milliseconds.
    pub drain_ms: u64,
    /// Time within which a configuration change is in force on each node that can be reached,
    /// milliseconds.
    pub configuration_ms: u64,
    /// Engine steps that an online request may wait for its first one while batch work is served.
    pub online_wait_steps: u32,
    /// Time after the load within which all accepted work is finished, milliseconds.
    pub settle_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            cancel_ms: 2_000,
            drain_ms: 3_000,
            configuration_ms: 8_000,
            online_wait_steps: 2,
            settle_ms: 45_000,
        }
    }
}

impl Scenario {
    /// Reads and checks a scenario file.
    pub fn load(path: &Path) -> Result<Scenario, LabError> {
        let place = path.display();
        let text = std::fs::read_to_string(path)
            .map_err(|error| LabError::usage(format!("{place}: {error}")))?;
        let scenario = Scenario::parse(&text)
            .map_err(|problems| LabError::usage(format!("{place}: {problems}")))?;
        Ok(scenario)
    }

    /// Reads and checks the text of a scenario file.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| error.to_string())?;
        let problems = check::problems(&scenario);
        if problems.is_empty() {
            Ok(scenario)
        } else {
            Err(problems.join("\n"))
        }
    }

    /// Servers of all zones.
    pub fn server_count(&self) -> usize {
        self.zones.iter().map(|zone| zone.servers).sum()
    }

    /// Sidecars of all zones.
    pub fn sidecar_count(&self) -> usize {
        self.zones.iter().map(|zone| zone.sidecars).sum()
    }
}

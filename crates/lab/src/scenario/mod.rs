//! Scenario files: fleet, engines, load and bounds of an experiment.
//!
//! A field without a default is required, and unknown keys are rejected. Lengths are in tokens.

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

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name shown in reports.
    pub name: String,
    /// Default seed of arrivals and engines.
    pub seed: u64,
    /// Default length of the load, seconds.
    pub seconds: u64,
    pub service: ServiceScenario,
    /// Zones with their servers, nodes and sidecars.
    pub zones: Vec<ZoneScenario>,
    /// Network delays between processes.
    pub network: NetworkScenario,
    /// Cost model of the engines; the slowdown is taken from the service.
    #[serde(default)]
    pub engine: EngineModelSettings,
    /// Platform; the seed is taken from the run.
    #[serde(default)]
    pub platform: PlatformStandInSettings,
    /// Settings of nodes and sidecars.
    #[serde(default)]
    pub processes: ProcessScenario,
    pub online: OnlineScenario,
    /// At-most-once requests.
    pub once: OnceScenario,
    /// Requests of a tenant with a low rate limit, so that every run has refusals.
    pub refused: RefusedScenario,
    pub batch: BatchScenario,
    /// Routine events of every run.
    #[serde(default)]
    pub routine: RoutineScenario,
    /// Settings of the batch policies.
    pub policy: PolicyScenario,
    /// Bounds of the invariants.
    #[serde(default)]
    pub bounds: Bounds,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceScenario {
    /// Model name in requests.
    pub name: String,
    /// Model version loaded at the start.
    pub version: String,
    /// Allowed slowdown of an online step by batch work, percent.
    pub online_slowdown_percent: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneScenario {
    pub name: String,
    pub region: String,
    /// Number of servers, each with one engine.
    pub servers: usize,
    pub nodes: usize,
    /// Number of sidecars.
    pub sidecars: usize,
}

/// One-way network delays.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkScenario {
    /// Between two zones, milliseconds.
    pub between_zones_ms: f64,
    /// Between two regions, milliseconds.
    #[serde(default)]
    pub between_regions_ms: f64,
    /// Between a sidecar and its peers, added to the other delays, milliseconds.
    pub to_clients_ms: f64,
}

/// Settings of nodes and sidecars.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessScenario {
    pub node_workers: usize,
    pub sidecar_workers: usize,
    /// Longest allowed duration of a planned stop, milliseconds.
    pub stop_bound_ms: u64,
    /// Target duration of a chunk of a job, milliseconds.
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

/// Routine events of every run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutineScenario {
    pub enabled: bool,
    /// When a node is stopped gracefully and then restarted, percent of the run.
    pub stop_node_at_percent: u32,
    /// When a server is drained, percent of the run.
    pub drain_server_at_percent: u32,
    /// Number of configuration changes.
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

/// Settings of the batch policies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyScenario {
    /// Share of the servers that `static-split` assigns to batch work. Should be the largest that
    /// does not raise the online tail latency.
    pub static_split_percent: u32,
}

/// Bounds of the invariants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time after a cancel from which no item of the job may start, milliseconds.
    pub cancel_ms: u64,
    /// Time after which a draining server may receive no new work, milliseconds.
    pub drain_ms: u64,
    /// Time within which each reachable node must apply a configuration change, milliseconds.
    pub configuration_ms: u64,
    /// Engine steps running batch work that an online request may wait for its first step.
    pub online_wait_steps: u32,
    /// Time after the load within which all accepted work must finish, milliseconds.
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
    /// Reads and validates a scenario file.
    pub fn load(path: &Path) -> Result<Scenario, LabError> {
        let place = path.display();
        let text = std::fs::read_to_string(path)
            .map_err(|error| LabError::usage(format!("{place}: {error}")))?;
        let scenario = Scenario::parse(&text)
            .map_err(|problems| LabError::usage(format!("{place}: {problems}")))?;
        Ok(scenario)
    }

    /// Parses and validates the text of a scenario file.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| error.to_string())?;
        let problems = check::problems(&scenario);
        if problems.is_empty() {
            Ok(scenario)
        } else {
            Err(problems.join("\n"))
        }
    }

    /// Number of servers in all zones.
    pub fn server_count(&self) -> usize {
        self.zones.iter().map(|zone| zone.servers).sum()
    }

    /// Number of sidecars in all zones.
    pub fn sidecar_count(&self) -> usize {
        self.zones.iter().map(|zone| zone.sidecars).sum()
    }
}

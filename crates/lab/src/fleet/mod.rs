//! Runs the fleet of an experiment in one process: platform, engines, nodes and sidecars.

pub mod admin;
pub mod names;
mod node;
mod settings;

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_sidecar::SidecarHandle;
use dappleyard_standin::engine::host::{EngineHandle, EngineHost, HostOptions};
use dappleyard_standin::engine::{EngineModelSettings, EngineSpec};
use dappleyard_standin::platform::{PlatformHandle, PlatformStandIn, PlatformStandInSettings};
use dappleyard_store::{Machine, MachineRole};
use dappleyard_tables::Lifecycle;

use crate::error::LabError;
use crate::network::Network;
use crate::recorder::{Event, Recorder, RevisionSample};
use crate::scenario::{Policy, Scenario};

pub use names::Instance;
use node::NodeSlot;

const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A running fleet, owned by the main arbiter.
pub struct Fleet {
    pub scenario: Scenario,
    /// Simulated network between the processes.
    pub network: Arc<Network>,
    pub recorder: Recorder,
    pub platform: PlatformHandle,
    pub engines: EngineHandle,
    /// Servers in the order of the scenario.
    pub servers: Vec<Instance>,
    policy: Policy,
    nodes: RefCell<Vec<NodeSlot>>,
    sidecars: Vec<SidecarHandle>,
}

/// Starts the platform of a scenario and writes the initial configuration.
pub fn start_platform(
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
) -> Result<PlatformHandle, LabError> {
    let settings = PlatformStandInSettings {
        seed,
        ..scenario.platform.clone()
    };
    let platform = PlatformStandIn::start(settings)
        .map_err(|error| LabError::failed(format!("platform failed to start: {error}")))?;
    platform
        .transact(settings::initial_configuration(scenario, policy))
        .map_err(|error| {
            LabError::failed(format!("writing the initial configuration failed: {error}"))
        })?;
    Ok(platform)
}

/// Starts the engines of a scenario on an address.
pub fn start_engines(
    scenario: &Scenario,
    policy: Policy,
    platform: &PlatformHandle,
    seed: u64,
    listen: &str,
) -> Result<EngineHandle, LabError> {
    let specs = names::servers(scenario)
        .into_iter()
        .enumerate()
        .map(|(index, server)| EngineSpec {
            server: server.name,
            service: scenario.service_of(policy, index),
            version: scenario.service.version.clone(),
            adapters: Vec::new(),
            model: EngineModelSettings {
                online_slowdown_percent: f64::from(scenario.service.online_slowdown_percent),
                ignore_priority: policy.ignores_priority(),
                ..scenario.engine.clone()
            },
            seed: seed.wrapping_mul(1_000).wrapping_add(index as u64),
        })
        .collect();
    let options = HostOptions {
        listen: listen.to_owned(),
        weights: Some(platform.weights()),
        ..HostOptions::default()
    };
    EngineHost::start_with(specs, options)
        .map_err(|error| LabError::failed(format!("engines failed to start: {error}")))
}

/// The servers of a scenario as the machine list shows them.
pub fn server_machines(
    scenario: &Scenario,
    policy: Policy,
    engines: &EngineHandle,
) -> Vec<Machine> {
    names::servers(scenario)
        .into_iter()
        .enumerate()
        .map(|(index, server)| Machine {
            role: MachineRole::Server,
            region: server.location.region.as_str().into(),
            zone: server.location.zone.as_str().into(),
            hall: server.location.zone.clone(),
            address: engines.base_url(&server.name),
            service: scenario.service_of(policy, index).into(),
            leaving: false,
            name: server.name,
        })
        .collect()
}

impl Fleet {
    /// Starts all processes and waits until all nodes are ready.
    pub async fn start(
        scenario: &Scenario,
        seed: u64,
        policy: Policy,
        recorder: Recorder,
    ) -> Result<Fleet, LabError> {
        let platform = start_platform(scenario, policy, seed)?;
        let engines = start_engines(scenario, policy, &platform, seed, settings::ANY_PORT)?;
        platform.set_initial_machines(server_machines(scenario, policy, &engines));
        let mut fleet = Fleet {
            network: Network::new(scenario.network.clone()),
            servers: names::servers(scenario),
            nodes: RefCell::new(
                names::nodes(scenario)
                    .into_iter()
                    .map(NodeSlot::new)
                    .collect(),
            ),
            sidecars: Vec::new(),
            scenario: scenario.clone(),
            recorder,
            platform,
            engines,
            policy,
        };
        for index in 0..fleet.node_count() {
            fleet.start_node(index).await?;
        }
        fleet.start_sidecars()?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    fn start_sidecars(&mut self) -> Result<(), LabError> {
        for instance in names::sidecars(&self.scenario) {
            self.network
                .set_location(instance.name.clone(), &instance.location);
            let policy = self.network.policy(&instance.location);
            let settings = settings::sidecar(self, &instance);
            let sidecar = dappleyard_sidecar::start(settings, policy)
                .map_err(|error| LabError::failed(format!("{}: {error}", instance.name)))?;
            self.sidecars.push(sidecar);
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), LabError> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        loop {
            let waiting = self.nodes_not_ready();
            if waiting.is_empty() {
                return Ok(());
            }
            if tokio::time::Instant::now() >= deadline {
                return Err(LabError::failed(format!(
                    "nodes not ready before the timeout: {waiting:?}"
                )));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Describes the nodes that are not ready: lifecycle and number of known servers.
    fn nodes_not_ready(&self) -> Vec<String> {
        let servers = self.servers.len();
        let nodes = self.nodes.borrow();
        nodes
            .iter()
            .filter_map(|slot| {
                let tables = slot.handle()?.tables();
                let lifecycle = *tables.lifecycle.borrow();
                let known = tables.directory.len();
                let ready = lifecycle == Lifecycle::Ready && known >= servers;
                (!ready).then(|| {
                    format!(
                        "{} {lifecycle:?}, {known} servers known",
                        slot.instance.name
                    )
                })
            })
            .collect()
    }

    /// Records that a planned action could not be performed.
    pub fn record_not_done(&self, what: impl ToString, reason: &str) {
        self.recorder.add_event(Event::NotDone {
            what: what.to_string(),
            reason: reason.to_owned(),
            at: self.recorder.clock.now(),
        });
    }

    /// Base URLs of the sidecars.
    pub fn sidecar_urls(&self) -> Vec<String> {
        self.sidecars
            .iter()
            .map(|sidecar| format!("http://{}", sidecar.address()))
            .collect()
    }

    /// Records the configuration revision applied on each running node.
    pub fn sample_revisions(&self) {
        let at = self.recorder.clock.now();
        for slot in self.nodes.borrow().iter() {
            if let Some(handle) = slot.handle() {
                self.recorder.add_revision(RevisionSample {
                    node: slot.instance.name.clone(),
                    start: slot.starts(),
                    at,
                    revision: handle.tables().configuration.revision(),
                    ready: handle.tables().takes_new_work(),
                });
            }
        }
    }

    /// Stops all processes; nodes are killed.
    pub async fn stop(self) {
        for sidecar in self.sidecars {
            sidecar.stop().await;
        }
        for slot in self.nodes.into_inner() {
            slot.kill().await;
        }
        self.engines.stop();
        self.platform.stop();
    }
}

//! The stand-ins as one plain process: what `dappleyard-lab standins` runs.
//!
//! [`StandIns::start`] starts the platform, the engines that [`StandInsSpec`] lists, and a control
//! interface over HTTP by which a script sets faults and reads what happened. The command only has
//! to read the specification, start, print the URLs and wait for a signal.

mod control;

use std::net::SocketAddr;
use std::sync::Arc;

use dappleyard_platform::{Machine, MachineRole};
use serde::{Deserialize, Serialize};

use crate::engine::host::HostOptions;
use crate::engine::{EngineHandle, EngineHost, EngineSpec};
use crate::platform::{PlatformHandle, PlatformStandIn, PlatformStandInSettings};
use crate::server::RunningServer;

/// One engine and where its machine stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSpec {
    /// Region.
    pub region: String,
    /// Zone.
    pub zone: String,
    /// Hall within the zone.
    pub hall: String,
    /// The engine.
    pub engine: EngineSpec,
}

/// All that a process of stand-ins runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandInsSpec {
    /// The platform, with its listening address.
    #[serde(default)]
    pub platform: PlatformStandInSettings,
    /// Listening address of the engines; port 0 takes one from the operating system.
    #[serde(default = "any_port")]
    pub engines_listen: String,
    /// Listening address of the control interface.
    #[serde(default = "any_port")]
    pub control_listen: String,
    /// Engines.
    #[serde(default)]
    pub servers: Vec<ServerSpec>,
    /// Nodes in the machine list from the start.
    #[serde(default)]
    pub nodes: Vec<Machine>,
}

fn any_port() -> String {
    "127.0.0.1:0".to_owned()
}

/// Running stand-ins.
pub struct StandIns {
    platform: PlatformHandle,
    engines: Arc<EngineHandle>,
    control: RunningServer,
}

impl StandIns {
    /// Starts everything; the machine list shows all engines and nodes from the start.
    pub fn start(spec: StandInsSpec) -> std::io::Result<StandIns> {
        let platform = PlatformStandIn::start(spec.platform)?;
        let options = HostOptions {
            listen: spec.engines_listen,
            weights: Some(platform.weights()),
            ..HostOptions::default()
        };
        let engines = spec.servers.iter().map(|server| server.engine.clone());
        let engines = Arc::new(EngineHost::start_with(engines.collect(), options)?);
        let servers = spec.servers.iter();
        let servers = servers.map(|server| machine(server, &engines));
        platform.begin_with_machines(servers.chain(spec.nodes).collect());
        let control = control::start(&spec.control_listen, engines.clone(), platform.clone())?;
        Ok(StandIns {
            platform,
            engines,
            control,
        })
    }

    /// The platform.
    pub fn platform(&self) -> &PlatformHandle {
        &self.platform
    }

    /// The engines.
    pub fn engines(&self) -> &EngineHandle {
        &self.engines
    }

    /// Address of the control interface.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Stops everything.
    pub fn stop(&self) {
        self.control.stop();
        self.engines.stop();
        self.platform.stop();
    }
}

/// An engine's entry in the machine list.
pub fn machine(server: &ServerSpec, engines: &EngineHandle) -> Machine {
    Machine {
        name: server.engine.server.clone(),
        role: MachineRole::Server,
        region: server.region.as_str().into(),
        zone: server.zone.as_str().into(),
        hall: server.hall.clone(),
        address: engines.base(&server.engine.server),
        service: server.engine.service.as_str().into(),
        leaving: false,
    }
}

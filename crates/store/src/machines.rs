//! Trait of the platform's machine list, which may be seconds out of date.

use async_trait::async_trait;
use dappleyard_wire::ids::{RegionId, ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::tables::StoreError;

/// Role of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A node of the system.
    Node,
    /// A model engine.
    Server,
}

/// Machine as shown by the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Node id or server id.
    pub name: String,
    /// What the machine runs.
    pub role: MachineRole,
    /// Region of the machine.
    pub region: RegionId,
    /// Zone of the machine.
    pub zone: ZoneId,
    /// Hall within the zone; the zone's name if it has no halls.
    pub hall: String,
    /// Base URL of a server, or `host:port` of a node's gossip socket.
    pub address: String,
    /// Service of a server; empty for a node.
    pub service: ServiceId,
    /// Whether the machine is about to be removed.
    pub leaving: bool,
}

/// Machine list of the platform.
#[async_trait(?Send)]
pub trait MachineList {
    /// Returns the current list.
    async fn machines(&self) -> Result<Vec<Machine>, StoreError>;
}

//! Port of the platform's lagging list of live and leaving machines.

use async_trait::async_trait;
use dappleyard_wire::ids::{RegionId, ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::tables::StoreError;

/// What a machine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A node of the system.
    Node,
    /// A model engine.
    Server,
}

/// One machine as the list shows it; the list lags behind the truth by seconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name: a node id or a server id.
    pub name: String,
    /// What it runs.
    pub role: MachineRole,
    /// Region.
    pub region: RegionId,
    /// Zone.
    pub zone: ZoneId,
    /// Hall within the zone; the zone's name where there are no halls.
    pub hall: String,
    /// For a server its base URL; for a node `host:port` of its gossip socket.
    pub address: String,
    /// For a server the service that it is meant for; empty for a node.
    pub service: ServiceId,
    /// The machine has been told to leave.
    pub leaving: bool,
}

/// The platform's machine list.
#[async_trait(?Send)]
pub trait MachineList {
    /// All machines that the list shows at present.
    async fn machines(&self) -> Result<Vec<Machine>, StoreError>;
}

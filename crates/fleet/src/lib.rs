//! Cluster membership, server ownership, configuration gossip and load reports.
//!
//! [`start`] runs one actor on the calling arbiter. It owns the timers and the gossip socket, drives
//! the I/O-free state machines of `dappleyard-decide`, and writes the node's shared tables: members,
//! directory, owned servers, configuration, loads, cancelled jobs, and the life cycle between
//! starting, ready and withdrawn. It does not change a life cycle that is draining or stopped.

mod actor;
pub mod cancelled_job_gossip;
mod configuration_gossip;
pub mod crash_gossip;
mod directory;
mod lifecycle;
mod loads;
mod machines;
mod metrics;
mod regions;
mod status;
mod sync;
mod watcher;

pub use regions::{StaleRegion, read_stale_regions};
pub use status::{ConfigurationStatus, configuration_status};
pub use sync::cell_sync;

use std::rc::Rc;
use std::sync::Arc;

use actix::{Actor, Addr};
use dappleyard_settings::FleetSettings;
use dappleyard_store::Platform;
use dappleyard_tables::NodeTables;
use dappleyard_transport::policy::SharedPolicy;
use dappleyard_transport::{DatagramSocket, LinkSettings};

use crate::actor::{FleetActor, Leave};

pub struct FleetContext {
    pub tables: Arc<NodeTables>,
    pub settings: FleetSettings,
    pub platform: Platform,
    pub socket: DatagramSocket,
    /// `host:port` of the node's links.
    pub link_address: String,
    /// `host:port` of the node's admin HTTP listener.
    pub admin_address: String,
    pub policy: SharedPolicy,
    pub link_settings: LinkSettings,
}

#[derive(Clone)]
pub struct FleetHandle {
    actor: Addr<FleetActor>,
}

impl FleetHandle {
    /// Announces the node's departure and stops gossip. Resolves once the announcements are sent.
    pub async fn leave(&self) {
        let _ = self.actor.send(Leave).await;
    }
}

/// Starts the fleet part on the calling arbiter.
pub fn start(context: FleetContext) -> FleetHandle {
    let socket = Rc::new(context.socket);
    let actor = FleetActor::new(
        context.tables,
        context.settings,
        context.platform,
        socket,
        context.link_address,
        context.admin_address,
        sync::SnapshotClient {
            policy: context.policy,
            settings: context.link_settings,
        },
    );
    FleetHandle {
        actor: actor.start(),
    }
}

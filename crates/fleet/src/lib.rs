//! Membership, ownership of servers, spread of configuration, and load reports.
//!
//! [`start`] runs one actor on the calling arbiter. It owns the timers and the gossip socket, asks
//! the pure state machines of `dappleyard-decide` what to do, and writes the node's shared tables:
//! members, directory, owned servers, configuration, loads, cancelled jobs and the life cycle from
//! starting to ready, withdrawn and back. It never touches a life cycle that is draining or stopped.

mod actor;
pub mod cancelled;
pub mod crashes;
mod directory;
mod lifecycle;
mod loads;
mod machines;
mod metrics;
mod regions;
mod spread;
mod status;
mod sync;
mod watcher;

pub use regions::{StaleRegion, regions_fresh};
pub use status::{InForce, in_force};
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

/// What the fleet part of a node needs.
pub struct FleetContext {
    /// Shared tables of the node.
    pub tables: Arc<NodeTables>,
    /// Settings.
    pub settings: FleetSettings,
    /// Platform.
    pub platform: Platform,
    /// Bound gossip socket.
    pub socket: DatagramSocket,
    /// `host:port` of the node's links.
    pub link_address: String,
    /// `host:port` of the node's admin HTTP listener.
    pub admin_address: String,
    /// Shaping of traffic.
    pub policy: SharedPolicy,
    /// Bounds of links.
    pub link_settings: LinkSettings,
}

/// The running fleet part.
#[derive(Clone)]
pub struct FleetHandle {
    actor: Addr<FleetActor>,
}

impl FleetHandle {
    /// Announces that the node has left, and stops gossip. Resolves when that has been sent.
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
        sync::Dialler {
            policy: context.policy,
            settings: context.link_settings,
        },
    );
    FleetHandle {
        actor: actor.start(),
    }
}

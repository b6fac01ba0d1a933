//! Shared state of a node's worker threads.
//!
//! The locks of the tables have ranks ([`rank::Rank`]) and are acquired in that order; debug builds panic on a violation.
//! No lock is held across an await. The tables only hold state; the decision logic is in `dappleyard-decide`.

pub mod clock;
pub mod configuration;
pub mod crashes;
pub mod decisions;
pub mod directory;
pub mod loads;
pub mod members;
mod mutex;
pub mod rank;
pub mod servers;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dappleyard_decide::time::Millis;
use dappleyard_wire::hash::rendezvous_weight;
use dappleyard_wire::ids::{NodeId, RegionId, ZoneId};
use tokio::sync::watch;

use crate::rank::{Rank, RankedMutex};

/// Identity of this node.
#[derive(Debug, Clone)]
pub struct Identity {
    pub node: NodeId,
    pub zone: ZoneId,
    pub region: RegionId,
    /// Increases with each start; membership also raises it to refute a suspicion.
    pub incarnation: u64,
}

/// Lifecycle state of the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Loading members and configuration; does not serve.
    Starting,
    /// Serving.
    Ready,
    /// Cannot confirm its configuration; finishes current work and takes no new work.
    Withdrawn,
    /// Shutting down; finishes current work, takes no new work, then leaves.
    Draining,
    Stopped,
}

/// All tables of a node.
pub struct NodeTables {
    /// Identity of this node.
    pub identity: Identity,
    /// Clock of this node.
    pub clock: clock::Clock,
    /// Lifecycle state, which the components watch.
    pub lifecycle: watch::Sender<Lifecycle>,
    /// Members of the fleet.
    pub members: members::MembersTable,
    /// Servers of the fleet and their owners.
    pub directory: directory::DirectoryTable,
    pub configuration: configuration::ConfigurationTable,
    /// Live state of the servers this node owns.
    pub servers: servers::ServersTable,
    /// Load summaries of other nodes and cells.
    pub loads: loads::LoadsTable,
    /// Cancelled jobs, spread by gossip.
    pub cancelled_jobs: RankedMutex<BTreeSet<String>>,
    /// Requests that crashed engines, spread by gossip.
    pub crashes: Arc<crashes::CrashesTable>,
    /// Bounded decision records.
    pub decisions: decisions::DecisionsTable,
    /// Metrics of this node.
    pub metrics: prometheus::Registry,
    lifecycle_valid_until: AtomicU64,
}

impl NodeTables {
    /// Creates the empty tables of a starting node.
    pub fn new(identity: Identity) -> Arc<NodeTables> {
        let node_start = rendezvous_weight(identity.incarnation, identity.node.as_str());
        Arc::new(NodeTables {
            crashes: crashes::CrashesTable::new(node_start),
            identity,
            clock: clock::Clock::start(),
            lifecycle: watch::Sender::new(Lifecycle::Starting),
            members: members::MembersTable::default(),
            directory: directory::DirectoryTable::default(),
            configuration: configuration::ConfigurationTable::default(),
            servers: servers::ServersTable::default(),
            loads: loads::LoadsTable::default(),
            cancelled_jobs: RankedMutex::new(Rank::CancelledJobs, BTreeSet::new()),
            decisions: decisions::DecisionsTable::default(),
            metrics: prometheus::Registry::new(),
            lifecycle_valid_until: AtomicU64::new(u64::MAX),
        })
    }

    /// Whether the node takes new work: it is ready, and the fleet component has confirmed that recently. After a pause of the
    /// process this is false on all threads until the next confirmation.
    pub fn takes_new_work(&self) -> bool {
        let is_valid = self.clock.now().0 <= self.lifecycle_valid_until.load(Ordering::Relaxed);
        is_valid && *self.lifecycle.borrow() == Lifecycle::Ready
    }

    /// Sets the time until which the lifecycle state is valid without another call. Before the first call it never expires.
    pub fn set_lifecycle_valid_until(&self, until: Millis) {
        self.lifecycle_valid_until.store(until.0, Ordering::Relaxed);
    }
}

//! Shared tables of a node: what its worker threads read and write.
//!
//! Each table has one lock of a stated rank ([`rank::Rank`]); locks are taken in order of rank, and a
//! debug build panics on an acquisition out of order. No lock is held across an await. The tables
//! hold state and answer questions; decisions are taken by `dappleyard-decide`.

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

use crate::rank::{Rank, Ranked};

/// Who this node is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Node id.
    pub node: NodeId,
    /// Zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// Grows with each start; membership raises it to refute a suspicion.
    pub incarnation: u64,
}

/// Where the node is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Learning members and configuration: serves nothing.
    Starting,
    /// Serves.
    Ready,
    /// Cannot vouch for its configuration: finishes what it has, takes nothing new.
    Withdrawn,
    /// Told to stop: finishes what it has, takes nothing new, then leaves.
    Draining,
    /// Has left.
    Stopped,
}

/// All tables of a node.
pub struct NodeTables {
    /// Who this node is.
    pub identity: Identity,
    /// The node's monotonic clock.
    pub clock: clock::Clock,
    /// Life cycle; every part subscribes.
    pub lifecycle: watch::Sender<Lifecycle>,
    /// Members of the fleet.
    pub members: members::MembersTable,
    /// Servers of the fleet and who owns them.
    pub directory: directory::DirectoryTable,
    /// Configuration in force.
    pub configuration: configuration::ConfigurationTable,
    /// Live state of the servers this node owns.
    pub servers: servers::ServersTable,
    /// Load summaries of other nodes and cells.
    pub loads: loads::LoadsTable,
    /// Jobs known to be cancelled, spread by gossip.
    pub cancelled_jobs: Ranked<BTreeSet<String>>,
    /// Requests under which engines ended, spread by gossip.
    pub crashes: Arc<crashes::CrashesTable>,
    /// Bounded decision records.
    pub decisions: decisions::DecisionsTable,
    /// Registry of this node's metrics.
    pub metrics: prometheus::Registry,
    vouched_until: AtomicU64,
}

impl NodeTables {
    /// Empty tables of a starting node.
    pub fn new(identity: Identity) -> Arc<NodeTables> {
        let number = rendezvous_weight(identity.incarnation, identity.node.as_str());
        Arc::new(NodeTables {
            crashes: crashes::CrashesTable::new(number),
            identity,
            clock: clock::Clock::start(),
            lifecycle: watch::Sender::new(Lifecycle::Starting),
            members: members::MembersTable::default(),
            directory: directory::DirectoryTable::default(),
            configuration: configuration::ConfigurationTable::default(),
            servers: servers::ServersTable::default(),
            loads: loads::LoadsTable::default(),
            cancelled_jobs: Ranked::new(Rank::CancelledJobs, BTreeSet::new()),
            decisions: decisions::DecisionsTable::default(),
            metrics: prometheus::Registry::new(),
            vouched_until: AtomicU64::new(u64::MAX),
        })
    }

    /// Whether the node takes new work: it is ready, and the fleet part has vouched for that a moment
    /// ago. After a pause of the process this is false at once on every thread.
    pub fn takes_new_work(&self) -> bool {
        let vouched = self.clock.now().0 <= self.vouched_until.load(Ordering::Relaxed);
        vouched && *self.lifecycle.borrow() == Lifecycle::Ready
    }

    /// Sets until when the life cycle holds without another word of the fleet part. Until the first
    /// call it holds for ever.
    pub fn set_vouched_until(&self, until: Millis) {
        self.vouched_until.store(until.0, Ordering::Relaxed);
    }
}

//! Members of the fleet, as seen by the membership protocol.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use dappleyard_wire::ids::NodeId;
use dappleyard_wire::messages::{Member, MemberState};
use tokio::sync::watch;

use crate::rank::{Rank, RankedMutex};

/// Table of members, written by the membership protocol only.
pub struct MembersTable {
    members: RankedMutex<BTreeMap<NodeId, Member>>,
    /// Cell of each member; never locked together with `members`.
    cells: RankedMutex<BTreeMap<NodeId, String>>,
    changed: watch::Sender<u64>,
}

impl Default for MembersTable {
    fn default() -> Self {
        Self {
            members: RankedMutex::new(Rank::Members, BTreeMap::new()),
            cells: RankedMutex::new(Rank::Members, BTreeMap::new()),
            changed: watch::Sender::new(0),
        }
    }
}

impl MembersTable {
    /// Inserts or updates a member.
    pub fn put(&self, member: Member) {
        self.members
            .lock()
            .insert(NodeId::from(&member.node), member);
        self.changed.send_modify(|version| *version += 1);
    }

    /// Raises the configuration revision that a member has applied, without notifying subscribers.
    pub fn note_revision(&self, node: &NodeId, revision: u64) {
        if let Some(member) = self.members.lock().get_mut(node) {
            member.configuration_revision = member.configuration_revision.max(revision);
        }
    }

    pub fn set_cells(&self, cells: BTreeMap<NodeId, String>) {
        *self.cells.lock() = cells;
    }

    pub fn cells(&self) -> BTreeMap<NodeId, String> {
        self.cells.lock().clone()
    }

    pub fn remove(&self, node: &NodeId) {
        self.members.lock().remove(node);
        self.changed.send_modify(|version| *version += 1);
    }

    pub fn get(&self, node: &NodeId) -> Option<Member> {
        self.members.lock().get(node).cloned()
    }

    pub fn all(&self) -> Vec<Member> {
        self.members.lock().values().cloned().collect()
    }

    /// Number of known members, including dead and departed ones.
    pub fn len(&self) -> usize {
        self.members.lock().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the start of the node to which `incarnation` belongs is dead, has left, or was followed by another start. An
    /// unknown node counts as gone; the state of an earlier start does not apply to a later one.
    pub fn is_gone(&self, node: &str, incarnation: u64) -> bool {
        let members = self.members.lock();
        let Some(member) = members.get(&NodeId::from(node)) else {
            return true;
        };
        match start_of(member.incarnation).cmp(&start_of(incarnation)) {
            Ordering::Less => false,
            Ordering::Equal => matches!(
                member.state(),
                MemberState::MemberDead | MemberState::MemberLeft
            ),
            Ordering::Greater => true,
        }
    }

    /// Subscribes to changes; the value is a change counter.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Low bits of an incarnation, which count refutations; the bits above identify the start.
pub const REFUTATION_BITS: u32 = 16;

/// Start that an incarnation belongs to.
const fn start_of(incarnation: u64) -> u64 {
    incarnation >> REFUTATION_BITS
}

//! Members of the fleet as membership believes them to be.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use dappleyard_wire::ids::NodeId;
use dappleyard_wire::messages::{Member, MemberState};
use tokio::sync::watch;

use crate::rank::{Rank, Ranked};

/// Table of members. Membership writes it; everyone else reads it.
pub struct MembersTable {
    members: Ranked<BTreeMap<NodeId, Member>>,
    /// Cell of each member. Never locked together with `members`.
    cells: Ranked<BTreeMap<NodeId, String>>,
    changed: watch::Sender<u64>,
}

impl Default for MembersTable {
    fn default() -> Self {
        Self {
            members: Ranked::new(Rank::Members, BTreeMap::new()),
            cells: Ranked::new(Rank::Members, BTreeMap::new()),
            changed: watch::Sender::new(0),
        }
    }
}

impl MembersTable {
    /// Writes a member's state.
    pub fn put(&self, member: Member) {
        self.members
            .lock()
            .insert(NodeId::from(&member.node), member);
        self.changed.send_modify(|version| *version += 1);
    }

    /// Notes the configuration revision that a member has applied. Subscribers are not woken.
    pub fn note_revision(&self, node: &NodeId, revision: u64) {
        if let Some(member) = self.members.lock().get_mut(node) {
            member.configuration_revision = member.configuration_revision.max(revision);
        }
    }

    /// Sets the cell of each member.
    pub fn set_cells(&self, cells: BTreeMap<NodeId, String>) {
        *self.cells.lock() = cells;
    }

    /// The cell of each member.
    pub fn cells(&self) -> BTreeMap<NodeId, String> {
        self.cells.lock().clone()
    }

    /// Forgets a member.
    pub fn remove(&self, node: &NodeId) {
        self.members.lock().remove(node);
        self.changed.send_modify(|version| *version += 1);
    }

    /// A member's state.
    pub fn get(&self, node: &NodeId) -> Option<Member> {
        self.members.lock().get(node).cloned()
    }

    /// All members.
    pub fn all(&self) -> Vec<Member> {
        self.members.lock().values().cloned().collect()
    }

    /// Number of members remembered, gone ones included.
    pub fn len(&self) -> usize {
        self.members.lock().len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the start of the node that this incarnation belongs to is believed dead or gone. An
    /// unknown node counts as gone; what is known of an earlier start says nothing about a later one.
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

    /// A receiver that sees a new value whenever a member changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Bits of an incarnation that count refutations of one start; the bits above number the start.
pub const REFUTATION_BITS: u32 = 16;

/// Number of the start that an incarnation belongs to.
const fn start_of(incarnation: u64) -> u64 {
    incarnation >> REFUTATION_BITS
}

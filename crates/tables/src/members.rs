//! Members of the fleet as membership believes them to be.

use std::collections::BTreeMap;

use dappleyard_wire::ids::NodeId;
use dappleyard_wire::messages::{Member, MemberState};
use tokio::sync::watch;

use crate::rank::{Rank, Ranked};

/// Table of members. Membership writes it; everyone else reads it.
pub struct MembersTable {
    members: Ranked<BTreeMap<NodeId, Member>>,
    changed: watch::Sender<u64>,
}

impl Default for MembersTable {
    fn default() -> Self {
        Self {
            members: Ranked::new(Rank::Members, BTreeMap::new()),
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

    /// Whether the node, under this incarnation or a later one, is believed dead or gone. An unknown
    /// node counts as gone.
    pub fn is_gone(&self, node: &str, incarnation: u64) -> bool {
        match self.members.lock().get(&NodeId::from(node)) {
            None => true,
            Some(member) => {
                matches!(
                    member.state(),
                    MemberState::MemberDead | MemberState::MemberLeft
                ) || member.incarnation > incarnation && is_restart(member, incarnation)
            }
        }
    }

    /// A receiver that sees a new value whenever a member changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Bits of an incarnation that count refutations of one start; the bits above number the start.
pub const REFUTATION_BITS: u32 = 16;

fn is_restart(member: &Member, incarnation: u64) -> bool {
    member.incarnation >> REFUTATION_BITS > incarnation >> REFUTATION_BITS
}

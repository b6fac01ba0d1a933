//! State of another member, and precedence of updates.

use std::net::SocketAddr;

use dappleyard_wire::messages::{Member, MemberState};

use crate::time::Millis;

/// Low bits of an incarnation that count refutations; the high bits hold the start number.
pub const REFUTATION_BITS: u32 = 16;

/// Start number of an incarnation; it increases with each restart of the node.
pub const fn start_number(incarnation: u64) -> u64 {
    incarnation >> REFUTATION_BITS
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    pub since: Millis,
    /// Time at which the member is declared dead, provided that own probes failed too.
    pub deadline: Millis,
    /// Failed own probes since the suspicion began.
    pub failed_probes: u32,
    /// Time of the last probe due to the suspicion.
    pub probed: Millis,
}

/// State of another member.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Latest update about the member, from itself or from others.
    pub member: Member,
    /// Gossip address; `None` if it is invalid.
    pub address: Option<SocketAddr>,
    pub changed: Millis,
    pub suspicion: Option<Suspicion>,
}

impl Entry {
    pub fn new(member: Member, now: Millis) -> Entry {
        Entry {
            address: member.gossip_address.parse().ok(),
            member,
            changed: now,
            suspicion: None,
        }
    }

    /// Whether the member is alive or suspected.
    pub fn is_present(&self) -> bool {
        is_present(&self.member)
    }
}

/// Whether the member is alive or suspected.
pub fn is_present(member: &Member) -> bool {
    matches!(
        member.state(),
        MemberState::MemberAlive | MemberState::MemberSuspect
    )
}

/// Whether `incoming` overrides `known`: it has a higher incarnation, or a higher state (alive,
/// suspect, dead, left) at the same incarnation.
pub fn supersedes(incoming: &Member, known: &Member) -> bool {
    (incoming.incarnation, incoming.state() as i32) > (known.incarnation, known.state() as i32)
}

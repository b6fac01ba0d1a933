//! What a node knows of one other member, and which of two statements about it is the later one.

use std::net::SocketAddr;

use dappleyard_wire::messages::{Member, MemberState};

use crate::time::Millis;

/// Bits of an incarnation that count refutations of one start; the bits above number the start.
pub const REFUTATION_BITS: u32 = 16;

/// Number of the start that an incarnation belongs to.
pub const fn start_of(incarnation: u64) -> u64 {
    incarnation >> REFUTATION_BITS
}

/// Why and until when a member is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// Since when.
    pub since: Millis,
    /// When it is declared dead, provided that own probes failed too.
    pub deadline: Millis,
    /// Own probes that failed since.
    pub failed_probes: u32,
    /// When this node last probed it because of the suspicion.
    pub probed: Millis,
}

/// What a node knows of one other member.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The member's last statement about itself, or what was said about it.
    pub member: Member,
    /// Its gossip address; `None` when it does not parse.
    pub address: Option<SocketAddr>,
    /// When the state last changed.
    pub changed: Millis,
    /// Set while it is suspected.
    pub suspicion: Option<Suspicion>,
}

impl Entry {
    /// An entry for a member just heard of.
    pub fn new(member: Member, now: Millis) -> Entry {
        Entry {
            address: member.gossip_address.parse().ok(),
            member,
            changed: now,
            suspicion: None,
        }
    }

    /// Whether the member is alive or only suspected.
    pub fn is_present(&self) -> bool {
        is_present(&self.member)
    }
}

/// Whether the member is alive or only suspected.
pub fn is_present(member: &Member) -> bool {
    matches!(
        member.state(),
        MemberState::MemberAlive | MemberState::MemberSuspect
    )
}

/// Whether `news` is a later statement than `known`: a greater incarnation, or the graver state at
/// the same one.
pub fn supersedes(news: &Member, known: &Member) -> bool {
    (news.incarnation, news.state() as i32) > (known.incarnation, known.state() as i32)
}

//! SWIM membership (probing, suspicion, incarnations) as a pure state machine.
//!
//! Each node probes one member per interval. A member that does not respond is probed indirectly,
//! then suspected, then declared dead unless it refutes the suspicion with a higher incarnation.
//! Updates are piggybacked on probes and acknowledgements a bounded number of times, so the cost
//! per node does not grow with the fleet. [`Membership::tick`] and [`Membership::receive`] return
//! the datagrams to send and the membership changes.
//!
//! Extensions to SWIM:
//! - A node that detects a gap between its ticks was paused. It drops its pending probes, extends
//!   all suspicions by the gap, and is not [`MembershipStatus::Current`] until a later probe is
//!   acknowledged.
//! - A node that learns it was declared dead refutes this and also needs a new acknowledgement.
//! - Only a node that sees at least half of the fleet or of its zone, or that reaches the store,
//!   declares members dead, so the minority side of a partition does not.
//! - Many concurrent suspicions are treated as one event and evaluated once no more are added.
//! - A node declares a member dead only after its own probes of the member failed.

mod entry;
mod gossip;
mod probing;
mod status;
mod suspects;

pub use entry::{Entry, REFUTATION_BITS, Suspicion, is_present, start_number, supersedes};
pub use status::MembershipStatus;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dappleyard_wire::messages::{Datagram, Member, MemberState};
use rand::Rng;

use crate::broadcast::Broadcasts;
use crate::time::Millis;

/// Membership timers and limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    pub probe_interval_ms: u64,
    /// Time to wait for a direct acknowledgement.
    pub probe_timeout_ms: u64,
    /// Members asked to probe a member that did not respond.
    pub indirect_probes: usize,
    /// Time from suspicion until a member is declared dead.
    pub suspicion_ms: u64,
    /// Maximum time without an acknowledgement or a store response before the node is isolated.
    pub vouch_ms: u64,
    /// Time after which dead and left members are removed.
    pub forget_ms: u64,
}

/// Output of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send { to: SocketAddr, datagram: Datagram },
    Changed {
        member: Member,
        /// Previous state; `None` for a new member.
        before: Option<MemberState>,
        /// Detected by this node's own probes.
        detected_locally: bool,
        /// Time from suspicion to death, in milliseconds; set only if this node declared the death.
        detected_after_ms: Option<u64>,
    },
    /// A dead or left member was removed.
    Forgotten { node: String },
    /// This node refuted an update that it was suspect or dead.
    Refuted {
        /// State claimed by the update.
        claimed_state: MemberState,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingProbe {
    target: String,
    sent: Millis,
    indirect_sent: bool,
    /// For an indirect probe: the requester's address and nonce, to forward the acknowledgement.
    on_behalf: Option<(SocketAddr, u64)>,
}

/// Membership state of one node.
#[derive(Debug, Clone)]
pub struct Membership {
    settings: MembershipSettings,
    own: Member,
    members: BTreeMap<String, Entry>,
    contacts: Vec<SocketAddr>,
    updates: Broadcasts<Member>,
    probes: BTreeMap<u64, PendingProbe>,
    probe_order: Vec<String>,
    nonce: u64,
    sequence: u64,
    last_tick: Option<Millis>,
    next_probe: Millis,
    next_sample: Millis,
    rounds: u64,
    differing_digests: u32,
    full_sync_peer: Option<String>,
    status: status::Evidence,
}

impl Membership {
    /// Creates the state of a node that knows no other members.
    pub fn new(own: Member, settings: MembershipSettings, now: Millis) -> Membership {
        let mut membership = Membership {
            settings,
            own,
            members: BTreeMap::new(),
            contacts: Vec::new(),
            updates: Broadcasts::default(),
            probes: BTreeMap::new(),
            probe_order: Vec::new(),
            nonce: 0,
            sequence: 0,
            last_tick: None,
            next_probe: now,
            next_sample: now,
            rounds: 0,
            differing_digests: 0,
            full_sync_peer: None,
            status: status::Evidence::new(now),
        };
        membership.announce_self();
        membership
    }

    /// This node's own member record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// The other known members.
    pub fn members(&self) -> impl Iterator<Item = &Entry> {
        self.members.values()
    }

    pub fn member(&self, node: &str) -> Option<&Entry> {
        self.members.get(node)
    }

    /// Number of other members that are alive or suspected.
    pub fn present(&self) -> usize {
        self.members
            .values()
            .filter(|entry| entry.is_present())
            .count()
    }

    /// Sets addresses to probe for unknown members: seeds and the machine list.
    pub fn set_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
    }

    /// Announces whether this node is draining.
    pub fn set_draining(&mut self, draining: bool) {
        if self.own.draining != draining {
            self.own.draining = draining;
            self.own.incarnation += 1;
            self.announce_self();
        }
    }

    /// Sets the configuration revision sent in acknowledgements.
    pub fn set_revision(&mut self, revision: u64) {
        self.own.configuration_revision = revision;
    }

    /// Processes timers. Call it several times per probe timeout.
    pub fn tick<R: Rng>(&mut self, now: Millis, rng: &mut R) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now);
        self.last_tick = Some(now);
        if self.own.state() == MemberState::MemberLeft {
            return actions;
        }
        self.expire_probes(now, rng, &mut actions);
        self.check_suspects(now, rng, &mut actions);
        if now >= self.next_probe {
            self.next_probe = now.plus(self.settings.probe_interval_ms);
            self.rounds += 1;
            self.probe_next(now, rng, &mut actions);
            self.remove_expired(now, &mut actions);
        }
        actions
    }

    /// Announces that this node is leaving. Call it repeatedly to compensate for packet loss.
    pub fn leave<R: Rng>(&mut self, rng: &mut R) -> Vec<Action> {
        self.own.set_state(MemberState::MemberLeft);
        let targets = self.random_present(LEAVE_FANOUT, "", rng);
        let own = self.own.clone();
        targets
            .into_iter()
            .map(|to| Action::Send {
                to,
                datagram: Datagram {
                    members: vec![own.clone()],
                    ..self.header()
                },
            })
            .collect()
    }

    fn announce_self(&mut self) {
        let own = self.own.clone();
        self.broadcast(own);
    }

    fn remove_expired(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let forget_ms = self.settings.forget_ms;
        self.members.retain(|node, entry| {
            let old = !entry.is_present() && now.since(entry.changed) >= forget_ms;
            if old {
                actions.push(Action::Forgotten { node: node.clone() });
            }
            !old
        });
    }
}

/// Members notified directly when this node leaves.
const LEAVE_FANOUT: usize = 6;

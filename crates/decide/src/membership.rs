//! Probing, suspicion and incarnations of nodes (SWIM) as a pure state machine.
//!
//! Each node probes one member each interval; one that does not answer is probed through others,
//! then suspected, then declared dead unless it refutes the suspicion with a greater incarnation.
//! Updates ride on probes and acknowledgements, each a bounded number of times, so that the cost of
//! a node does not depend on the size of the fleet. [`Membership::tick`] and
//! [`Membership::receive`] return what to send and what has changed; time and randomness are
//! arguments.
//!
//! Besides SWIM:
//! - a node that finds a gap in its own ticks was paused: it forgets its probes, gives all
//!   suspicions the length of the gap, and is not [`Standing::Vouched`] until a member has
//!   acknowledged a probe sent after the gap;
//! - a node that hears of its own death refutes it and must be acknowledged anew as well;
//! - only a node that sees at least half of the fleet or of its zone, or the store, declares deaths:
//!   the small side of a cut does not declare the world dead;
//! - many suspicions at once are one event, judged when it has stopped growing;
//! - nobody is declared dead by a node whose own probes since the suspicion did not fail too.

mod entry;
mod gossip;
mod probing;
mod standing;
mod suspects;

pub use entry::{Entry, REFUTATION_BITS, Suspicion, is_present, start_of, supersedes};
pub use standing::Standing;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dappleyard_wire::messages::{Datagram, Member, MemberState};
use rand::Rng;

use crate::broadcast::Broadcasts;
use crate::time::Millis;

/// Timers and bounds of membership. Times are milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two probes.
    pub probe_interval_ms: u64,
    /// Wait for a direct acknowledgement.
    pub probe_timeout_ms: u64,
    /// Members asked to probe one that did not answer.
    pub indirect_probes: usize,
    /// Time from suspicion to death.
    pub suspicion_ms: u64,
    /// Longest time without an acknowledgement or an answer of the store while vouched for.
    pub vouch_ms: u64,
    /// Time after which dead and left members are forgotten.
    pub forget_ms: u64,
}

/// Something to do, as decided by the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// What to send.
        datagram: Datagram,
    },
    /// A member has changed.
    Changed {
        /// The member as it is now.
        member: Member,
        /// Its state before; `None` for a new one.
        before: Option<MemberState>,
        /// This node found it out by its own probes.
        own_finding: bool,
        /// Time from the last sign that all was well, milliseconds; for a death that this node
        /// declared itself.
        detected_after_ms: Option<u64>,
    },
    /// A dead or left member is forgotten.
    Forgotten {
        /// Its id.
        node: String,
    },
    /// This node refuted a statement that it was suspect or dead.
    Refuted {
        /// What was said of it.
        accused: MemberState,
    },
}

/// A probe that waits for its acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingProbe {
    target: String,
    sent: Millis,
    indirect_sent: bool,
    /// Set when another member asked for the probe: where its acknowledgement goes, and its nonce.
    on_behalf: Option<(SocketAddr, u64)>,
}

/// Membership as one node sees it.
#[derive(Debug, Clone)]
pub struct Membership {
    settings: MembershipSettings,
    own: Member,
    members: BTreeMap<String, Entry>,
    contacts: Vec<SocketAddr>,
    updates: Broadcasts<Member>,
    probes: BTreeMap<u64, PendingProbe>,
    order: Vec<String>,
    nonce: u64,
    sequence: u64,
    last_tick: Option<Millis>,
    next_probe: Millis,
    next_survey: Millis,
    rounds: u64,
    differing_digests: u32,
    differs_from: Option<String>,
    standing: standing::Evidence,
}

impl Membership {
    /// Membership of a node that knows nobody. `own` is its statement about itself.
    pub fn new(own: Member, settings: MembershipSettings, now: Millis) -> Membership {
        let mut membership = Membership {
            settings,
            own,
            members: BTreeMap::new(),
            contacts: Vec::new(),
            updates: Broadcasts::default(),
            probes: BTreeMap::new(),
            order: Vec::new(),
            nonce: 0,
            sequence: 0,
            last_tick: None,
            next_probe: now,
            next_survey: now,
            rounds: 0,
            differing_digests: 0,
            differs_from: None,
            standing: standing::Evidence::new(now),
        };
        membership.announce_self();
        membership
    }

    /// This node's statement about itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// What is known of the others.
    pub fn members(&self) -> impl Iterator<Item = &Entry> {
        self.members.values()
    }

    /// What is known of one other member.
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

    /// Sets the addresses at which unknown members may be found: seeds and the machine list.
    pub fn set_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
    }

    /// Tells the others whether this node takes new work.
    pub fn set_draining(&mut self, draining: bool) {
        if self.own.draining != draining {
            self.own.draining = draining;
            self.own.incarnation += 1;
            self.announce_self();
        }
    }

    /// Sets the configuration revision that acknowledgements state.
    pub fn set_revision(&mut self, revision: u64) {
        self.own.configuration_revision = revision;
    }

    /// Lets time pass. Call it several times in each probe timeout.
    pub fn tick<R: Rng>(&mut self, now: Millis, rng: &mut R) -> Vec<Action> {
        let mut actions = Vec::new();
        self.notice_gap(now);
        self.last_tick = Some(now);
        if self.own.state() == MemberState::MemberLeft {
            return actions;
        }
        self.expire_probes(now, rng, &mut actions);
        self.judge_suspects(now, rng, &mut actions);
        if now >= self.next_probe {
            self.next_probe = now.plus(self.settings.probe_interval_ms);
            self.rounds += 1;
            self.probe_next(now, rng, &mut actions);
            self.forget_old(now, &mut actions);
        }
        actions
    }

    /// Announces that this node leaves. Send the actions; repeat for loss.
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

    fn forget_old(&mut self, now: Millis, actions: &mut Vec<Action>) {
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

/// Members told directly that this node leaves.
const LEAVE_FANOUT: usize = 6;

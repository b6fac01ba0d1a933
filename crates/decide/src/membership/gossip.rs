//! Membership updates: merging, refutation, dissemination and anti-entropy.

use std::net::SocketAddr;

use dappleyard_wire::MAXIMUM_DATAGRAM_BYTES;
use dappleyard_wire::messages::datagram::Body;
use dappleyard_wire::messages::{Datagram, Member, MemberState, SyncDigest};
use prost::Message;
use rand::Rng;

use super::entry::{Entry, start_number, supersedes};
use super::{Action, Membership};
use crate::broadcast::retransmits;
use crate::time::Millis;

/// Bytes of a datagram reserved for configuration and cancelled jobs.
const RESERVED_BYTES: usize = 500;
/// Encoding overhead (tag and length) of a piggybacked update.
const UPDATE_OVERHEAD_BYTES: usize = 3;
/// Members sent to a peer whose member list differs.
const SYNC_MEMBERS: usize = 10;
/// Consecutive differing digests before a full sync is requested.
const DIFFERING_DIGESTS: u32 = 3;

impl Membership {
    /// Processes a datagram. Bodies not related to membership are left to the caller.
    pub fn receive<R: Rng>(
        &mut self,
        now: Millis,
        from: SocketAddr,
        datagram: &Datagram,
        rng: &mut R,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.own.state() == MemberState::MemberLeft {
            return actions;
        }
        if datagram.from == self.own.node {
            if start_number(datagram.incarnation) > start_number(self.own.incarnation) {
                self.supersede();
            }
            return actions;
        }
        for member in &datagram.members {
            self.merge_update(member, now, &mut actions);
        }
        match &datagram.body {
            Some(Body::Probe(probe)) => {
                self.answer_probe(from, &datagram.from, probe, &mut actions);
            }
            Some(Body::Ack(ack)) => self.handle_ack(ack, now, &mut actions),
            Some(Body::IndirectProbe(request)) => {
                self.probe_for_other(from, request, now, &mut actions);
            }
            Some(Body::Digest(digest)) => {
                self.compare_digest(from, &datagram.from, digest, rng, &mut actions);
            }
            _ => {}
        }
        actions
    }

    /// Sends a digest of the known members to a random member, which responds if its own differs.
    pub fn send_digest<R: Rng>(&mut self, rng: &mut R) -> Vec<Action> {
        let digest = self.digest(false);
        let targets = self.random_present(1, "", rng);
        targets
            .into_iter()
            .map(|to| {
                let mut datagram = self.header();
                datagram.body = Some(digest.clone());
                Action::Send { to, datagram }
            })
            .collect()
    }

    /// Digest of the known members. `answering` marks a response to another digest.
    pub fn digest(&self, answering: bool) -> Body {
        Body::Digest(SyncDigest {
            configuration_revision: self.own.configuration_revision,
            members_hash: self.members_hash(),
            want_entries: answering,
            members: u32::try_from(self.present() + 1).unwrap_or(u32::MAX),
        })
    }

    /// If the sender's member list differs, sends it some members and requests some in return.
    fn compare_digest<R: Rng>(
        &mut self,
        from: SocketAddr,
        sender: &str,
        digest: &SyncDigest,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) {
        if digest.members_hash == self.members_hash() {
            self.differing_digests = 0;
            return;
        }
        self.differing_digests += 1;
        let knows_many_more = digest.members as usize > self.present() + 1 + SYNC_MEMBERS;
        if knows_many_more || self.differing_digests >= DIFFERING_DIGESTS {
            self.full_sync_peer = Some(sender.to_owned());
        }
        let mut datagram = self.header();
        datagram.members = self.sync_members(rng);
        if !digest.want_entries {
            datagram.body = Some(self.digest(true));
        }
        actions.push(Action::Send { to: from, datagram });
    }

    /// Takes the peer to request a full member list from, if digests differed repeatedly or a peer
    /// knows many more members.
    pub fn take_full_sync_peer(&mut self) -> Option<String> {
        self.differing_digests = 0;
        self.full_sync_peer.take()
    }

    /// Merges a full member list. The updates are not gossiped further.
    pub fn merge_member_list(&mut self, members: &[Member], now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        let waiting = self.updates.clone();
        let incarnation = self.own.incarnation;
        for member in members {
            self.merge_update(member, now, &mut actions);
        }
        self.updates = waiting;
        if self.own.incarnation != incarnation {
            self.announce_self();
        }
        actions
    }

    fn merge_update(&mut self, incoming: &Member, now: Millis, actions: &mut Vec<Action>) {
        if incoming.node.is_empty() {
            return;
        }
        if incoming.node == self.own.node {
            self.handle_own_update(incoming, now, actions);
            return;
        }
        match self.members.get(&incoming.node) {
            None if super::is_present(incoming) => {
                self.set_state(incoming.clone(), now, false, None, actions)
            }
            None => {}
            Some(known) if supersedes(incoming, &known.member) => {
                self.set_state(incoming.clone(), now, false, None, actions);
            }
            Some(_) => {}
        }
    }

    fn handle_own_update(&mut self, incoming: &Member, now: Millis, actions: &mut Vec<Action>) {
        if start_number(incoming.incarnation) > start_number(self.own.incarnation) {
            self.supersede();
            return;
        }
        if incoming.state() == MemberState::MemberAlive
            || incoming.incarnation < self.own.incarnation
        {
            return;
        }
        self.own.incarnation = incoming.incarnation + 1;
        self.announce_self();
        if incoming.state() != MemberState::MemberSuspect {
            self.invalidate_contacts(now);
        }
        actions.push(Action::Refuted {
            claimed_state: incoming.state(),
        });
    }

    /// Stores a member's new state, queues it for gossip and emits [`Action::Changed`].
    pub(super) fn set_state(
        &mut self,
        member: Member,
        now: Millis,
        detected_locally: bool,
        detected_after_ms: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let suspicion = (member.state() == MemberState::MemberSuspect)
            .then(|| self.new_suspicion(now, detected_locally));
        let known = self.members.get(&member.node);
        let before = known.map(|entry| entry.member.state());
        let mut entry = Entry::new(member, now);
        entry.suspicion = suspicion;
        if let Some(known) = known {
            let revision = known.member.configuration_revision;
            let same_start =
                start_number(known.member.incarnation) == start_number(entry.member.incarnation);
            if same_start && entry.member.configuration_revision < revision {
                entry.member.configuration_revision = revision;
            }
        }
        let member = entry.member.clone();
        self.members.insert(member.node.clone(), entry);
        self.broadcast(member.clone());
        actions.push(Action::Changed {
            member,
            before,
            detected_locally,
            detected_after_ms,
        });
    }

    pub(super) fn broadcast(&mut self, member: Member) {
        let bytes = member.encoded_len() + UPDATE_OVERHEAD_BYTES;
        let node = member.node.clone();
        self.updates.push(&node, member, bytes);
    }

    /// Builds a datagram with a body, the required updates in `first`, and as many others as fit.
    pub fn compose(&mut self, body: Body, first: Vec<Member>) -> Datagram {
        let mut datagram = self.header();
        datagram.body = Some(body);
        datagram.members = first;
        let used = datagram.encoded_len();
        let budget = MAXIMUM_DATAGRAM_BYTES.saturating_sub(RESERVED_BYTES + used);
        let limit = retransmits(self.members.len() + 1);
        let updates = self.updates.take(budget, limit);
        for update in updates {
            if !datagram
                .members
                .iter()
                .any(|member| member.node == update.node)
            {
                datagram.members.push(update);
            }
        }
        datagram
    }

    /// Order-independent hash of all present members and their incarnations.
    fn members_hash(&self) -> u64 {
        let others = self.members.values().map(|entry| &entry.member);
        let present = others
            .chain(std::iter::once(&self.own))
            .filter(|member| super::is_present(member));
        present.fold(0, |sum: u64, member| {
            let text = format!("{}@{}", member.node, member.incarnation);
            sum.wrapping_add(dappleyard_wire::hash::hash_bytes(text.as_bytes()))
        })
    }

    /// Members to send to a peer whose list differs: the most recent changes and a random sample.
    fn sync_members<R: Rng>(&self, rng: &mut R) -> Vec<Member> {
        let mut entries: Vec<&Entry> = self.members.values().collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.changed));
        let latest = entries.len().min(SYNC_MEMBERS / 2);
        let mut chosen: Vec<Member> = entries[..latest].iter().map(|e| e.member.clone()).collect();
        for _ in latest..entries.len().min(SYNC_MEMBERS) {
            let index = rng.random_range(latest..entries.len());
            chosen.push(entries[index].member.clone());
        }
        chosen
    }
}

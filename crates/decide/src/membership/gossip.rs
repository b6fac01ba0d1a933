//! Statements about members: taking them in, refuting those about oneself, passing them on.

use std::net::SocketAddr;

use dappleyard_wire::MAXIMUM_DATAGRAM_BYTES;
use dappleyard_wire::messages::datagram::Body;
use dappleyard_wire::messages::{Datagram, Member, MemberState, SyncDigest};
use prost::Message;
use rand::Rng;

use super::entry::{Entry, start_of, supersedes};
use super::{Action, Membership};
use crate::broadcast::retransmits;
use crate::time::Millis;

/// Bytes of a datagram kept free for configuration and cancelled jobs.
const RESERVED_BYTES: usize = 500;
/// Bytes that the tag and length of one piggybacked update take.
const UPDATE_OVERHEAD_BYTES: usize = 3;
/// Members sent to one whose member list differs.
const REPAIR_MEMBERS: usize = 10;
/// Digests in a row that differ before the whole list is asked for.
const DIFFERING_DIGESTS: u32 = 3;

impl Membership {
    /// Takes a datagram. Bodies other than probes and acknowledgements are the caller's.
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
            if start_of(datagram.incarnation) > start_of(self.own.incarnation) {
                self.supersede();
            }
            return actions;
        }
        for member in &datagram.members {
            self.learn(member, now, &mut actions);
        }
        match &datagram.body {
            Some(Body::Probe(probe)) => {
                self.answer_probe(from, &datagram.from, probe, &mut actions);
            }
            Some(Body::Ack(ack)) => self.take_ack(ack, now, &mut actions),
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

    /// Sends a digest of what this node knows to a random member, which answers with what differs.
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

    /// A digest of what this node knows. `answering` says that it answers one already.
    pub fn digest(&self, answering: bool) -> Body {
        Body::Digest(SyncDigest {
            configuration_revision: self.own.configuration_revision,
            members_hash: self.members_hash(),
            want_entries: answering,
            members: u32::try_from(self.present() + 1).unwrap_or(u32::MAX),
        })
    }

    /// Sends some statements about members when the sender's list differs, and asks for its own.
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
        let knows_many_more = digest.members as usize > self.present() + 1 + REPAIR_MEMBERS;
        if knows_many_more || self.differing_digests >= DIFFERING_DIGESTS {
            self.differs_from = Some(sender.to_owned());
        }
        let mut datagram = self.header();
        datagram.members = self.repair_members(rng);
        if !digest.want_entries {
            datagram.body = Some(self.digest(true));
        }
        actions.push(Action::Send { to: from, datagram });
    }

    /// A member whose list differs, after several digests in a row that did: many members have come
    /// or gone at once, and its whole list should be asked for.
    pub fn take_differing(&mut self) -> Option<String> {
        self.differing_digests = 0;
        self.differs_from.take()
    }

    /// Takes the whole list of another member. It is not passed on: others ask for theirs.
    pub fn learn_all(&mut self, members: &[Member], now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        let waiting = self.updates.clone();
        let incarnation = self.own.incarnation;
        for member in members {
            self.learn(member, now, &mut actions);
        }
        self.updates = waiting;
        if self.own.incarnation != incarnation {
            self.announce_self();
        }
        actions
    }

    fn learn(&mut self, news: &Member, now: Millis, actions: &mut Vec<Action>) {
        if news.node.is_empty() {
            return;
        }
        if news.node == self.own.node {
            self.hear_of_self(news, now, actions);
            return;
        }
        match self.members.get(&news.node) {
            None if super::is_present(news) => {
                self.set_state(news.clone(), now, false, None, actions)
            }
            None => {}
            Some(known) if supersedes(news, &known.member) => {
                self.set_state(news.clone(), now, false, None, actions);
            }
            Some(_) => {}
        }
    }

    fn hear_of_self(&mut self, news: &Member, now: Millis, actions: &mut Vec<Action>) {
        if start_of(news.incarnation) > start_of(self.own.incarnation) {
            self.supersede();
            return;
        }
        if news.state() == MemberState::MemberAlive || news.incarnation < self.own.incarnation {
            return;
        }
        self.own.incarnation = news.incarnation + 1;
        self.announce_self();
        if news.state() != MemberState::MemberSuspect {
            self.doubt(now);
        }
        actions.push(Action::Refuted {
            accused: news.state(),
        });
    }

    /// Sets a member's state, passes it on, and says so.
    pub(super) fn set_state(
        &mut self,
        member: Member,
        now: Millis,
        own_finding: bool,
        detected_after_ms: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let suspicion = (member.state() == MemberState::MemberSuspect)
            .then(|| self.new_suspicion(now, own_finding));
        let known = self.members.get(&member.node);
        let before = known.map(|entry| entry.member.state());
        let mut entry = Entry::new(member, now);
        entry.suspicion = suspicion;
        if let Some(known) = known {
            let revision = known.member.configuration_revision;
            let same_start =
                start_of(known.member.incarnation) == start_of(entry.member.incarnation);
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
            own_finding,
            detected_after_ms,
        });
    }

    pub(super) fn broadcast(&mut self, member: Member) {
        let bytes = member.encoded_len() + UPDATE_OVERHEAD_BYTES;
        let node = member.node.clone();
        self.updates.push(&node, member, bytes);
    }

    /// A datagram with its body, `first` statements that it must carry, and as many updates as fit.
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

    /// A hash over all present members, equal on nodes that agree.
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

    /// Statements for a member whose list differs: the latest changes and a random few.
    fn repair_members<R: Rng>(&self, rng: &mut R) -> Vec<Member> {
        let mut entries: Vec<&Entry> = self.members.values().collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.changed));
        let latest = entries.len().min(REPAIR_MEMBERS / 2);
        let mut chosen: Vec<Member> = entries[..latest].iter().map(|e| e.member.clone()).collect();
        for _ in latest..entries.len().min(REPAIR_MEMBERS) {
            let index = rng.random_range(latest..entries.len());
            chosen.push(entries[index].member.clone());
        }
        chosen
    }
}

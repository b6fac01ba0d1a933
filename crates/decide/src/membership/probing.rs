//! Direct and indirect probes of members, and probes of contact addresses.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dappleyard_wire::messages::datagram::Body;
use dappleyard_wire::messages::{Ack, Datagram, IndirectProbe, Member, MemberState, Probe};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::{Action, Membership, PendingProbe};
use crate::time::Millis;

/// Contacts probed per round while no other member is present.
const CONTACTS_WHILE_ALONE: usize = 3;
/// Rounds between probes of a contact, or of a dead member at a contact address, otherwise.
const ROUNDS_BETWEEN_CONTACTS: u64 = 5;

impl Membership {
    /// Probes the next member in shuffled round-robin order, and periodically a contact.
    pub(super) fn probe_next<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) {
        if let Some(target) = self.next_in_order(rng) {
            self.probe_member(&target, now, actions);
        }
        let alone = self.present() == 0;
        if alone || self.rounds.is_multiple_of(ROUNDS_BETWEEN_CONTACTS) {
            let wanted = if alone { CONTACTS_WHILE_ALONE } else { 1 };
            self.probe_contacts(wanted, now, rng, actions);
        }
    }

    fn next_in_order<R: Rng>(&mut self, rng: &mut R) -> Option<String> {
        loop {
            if self.probe_order.is_empty() {
                let present = self.members.iter().filter(|(_, entry)| entry.is_present());
                self.probe_order = present.map(|(node, _)| node.clone()).collect();
                self.probe_order.shuffle(rng);
                if self.probe_order.is_empty() {
                    return None;
                }
            }
            let next = self.probe_order.pop()?;
            if self
                .members
                .get(&next)
                .is_some_and(super::Entry::is_present)
            {
                return Some(next);
            }
        }
    }

    /// Probes contact addresses that belong to no present member.
    fn probe_contacts<R: Rng>(
        &mut self,
        wanted: usize,
        now: Millis,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) {
        let own: Option<SocketAddr> = self.own.gossip_address.parse().ok();
        let present: BTreeSet<SocketAddr> = self
            .members
            .values()
            .filter(|entry| entry.is_present())
            .filter_map(|entry| entry.address)
            .collect();
        let unknown: Vec<SocketAddr> = self
            .contacts
            .iter()
            .copied()
            .filter(|address| Some(*address) != own && !present.contains(address))
            .collect();
        for to in unknown.choose_multiple(rng, wanted) {
            self.probe_address(*to, String::new(), now, None, actions);
        }
    }

    pub(super) fn probe_member(&mut self, target: &str, now: Millis, actions: &mut Vec<Action>) {
        let address = self.members.get(target).and_then(|entry| entry.address);
        if let Some(to) = address {
            self.probe_address(to, target.to_owned(), now, None, actions);
        }
    }

    fn probe_address(
        &mut self,
        to: SocketAddr,
        target: String,
        now: Millis,
        on_behalf: Option<(SocketAddr, u64)>,
        actions: &mut Vec<Action>,
    ) {
        self.nonce += 1;
        let probe = PendingProbe {
            target: target.clone(),
            sent: now,
            indirect_sent: on_behalf.is_some() || target.is_empty(),
            on_behalf,
        };
        self.probes.insert(self.nonce, probe);
        let nonce = self.nonce;
        let mut first = vec![self.own.clone()];
        let refutable = self.refutable_record(&target);
        let body = Body::Probe(Probe { nonce, target });
        let datagram = match refutable {
            None => self.compose(body, first),
            // Don't use up retransmissions on a member that is probably unreachable.
            Some(refutable) => {
                first.push(refutable);
                Datagram {
                    body: Some(body),
                    members: first,
                    ..self.header()
                }
            }
        };
        actions.push(Action::Send { to, datagram });
    }

    /// The member's record if it is not alive here, sent to the member so that it can refute it.
    pub(super) fn refutable_record(&self, node: &str) -> Option<Member> {
        let member = &self.members.get(node)?.member;
        (member.state() != MemberState::MemberAlive).then(|| member.clone())
    }

    /// Sends indirect probes for probes past the timeout, and fails those past the final deadline.
    pub(super) fn expire_probes<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) {
        let end = self
            .settings
            .probe_interval_ms
            .max(2 * self.settings.probe_timeout_ms);
        let timeout = self.settings.probe_timeout_ms;
        let late: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| now.since(probe.sent) >= timeout)
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in late {
            let Some(probe) = self.probes.get_mut(&nonce) else {
                continue;
            };
            if now.since(probe.sent) >= end {
                let probe = self.probes.remove(&nonce);
                self.probe_failed(probe, now, actions);
            } else if !probe.indirect_sent {
                probe.indirect_sent = true;
                let target = probe.target.clone();
                self.probe_through_others(nonce, &target, rng, actions);
            }
        }
    }

    fn probe_through_others<R: Rng>(
        &mut self,
        nonce: u64,
        target: &str,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.members.get(target) else {
            return;
        };
        let request = IndirectProbe {
            nonce,
            target: target.to_owned(),
            target_address: entry.member.gossip_address.clone(),
        };
        for to in self.random_present(self.settings.indirect_probes, target, rng) {
            let datagram = self.compose(Body::IndirectProbe(request.clone()), Vec::new());
            actions.push(Action::Send { to, datagram });
        }
    }

    fn probe_failed(
        &mut self,
        probe: Option<PendingProbe>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(probe) = probe.filter(|probe| probe.on_behalf.is_none()) else {
            return;
        };
        let Some(entry) = self.members.get_mut(&probe.target) else {
            return;
        };
        match entry.member.state() {
            MemberState::MemberAlive => {
                let mut member = entry.member.clone();
                member.set_state(MemberState::MemberSuspect);
                self.set_state(member, now, true, None, actions);
            }
            MemberState::MemberSuspect => {
                if let Some(suspicion) = &mut entry.suspicion {
                    suspicion.failed_probes += 1;
                }
            }
            _ => {}
        }
    }

    /// Acknowledges a probe, unless it targets another node that previously used this address.
    pub(super) fn answer_probe(
        &mut self,
        from: SocketAddr,
        sender: &str,
        probe: &Probe,
        actions: &mut Vec<Action>,
    ) {
        if !probe.target.is_empty() && probe.target != self.own.node {
            return;
        }
        let mut first: Vec<Member> = self.refutable_record(sender).into_iter().collect();
        if probe.target.is_empty() {
            first.push(self.own.clone());
        }
        let ack = Ack {
            nonce: probe.nonce,
            target: self.own.node.clone(),
            configuration_revision: self.own.configuration_revision,
        };
        let datagram = self.compose(Body::Ack(ack), first);
        actions.push(Action::Send { to: from, datagram });
    }

    /// Processes the acknowledgement of a pending probe.
    pub(super) fn handle_ack(&mut self, ack: &Ack, now: Millis, actions: &mut Vec<Action>) {
        let expected = self
            .probes
            .get(&ack.nonce)
            .is_some_and(|probe| probe.target.is_empty() || probe.target == ack.target);
        if !expected {
            return;
        }
        let Some(probe) = self.probes.remove(&ack.nonce) else {
            return;
        };
        self.record_ack(probe.sent);
        if let Some((to, nonce)) = probe.on_behalf {
            let forwarded = Ack {
                nonce,
                ..ack.clone()
            };
            let datagram = self.compose(Body::Ack(forwarded), Vec::new());
            actions.push(Action::Send { to, datagram });
        }
        self.clear_suspicion(&ack.target, now, actions);
    }

    /// Marks an acknowledged member alive locally; other nodes rely on the member's refutation.
    fn clear_suspicion(&mut self, node: &str, now: Millis, actions: &mut Vec<Action>) {
        let Some(entry) = self.members.get_mut(node) else {
            return;
        };
        if entry.member.state() == MemberState::MemberSuspect {
            entry.member.set_state(MemberState::MemberAlive);
            entry.suspicion = None;
            entry.changed = now;
            actions.push(Action::Changed {
                member: entry.member.clone(),
                before: Some(MemberState::MemberSuspect),
                detected_locally: true,
                detected_after_ms: None,
            });
        }
    }

    /// Probes the target on behalf of another member.
    pub(super) fn probe_for_other(
        &mut self,
        from: SocketAddr,
        request: &IndirectProbe,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if let Ok(to) = request.target_address.parse() {
            let on_behalf = Some((from, request.nonce));
            self.probe_address(to, request.target.clone(), now, on_behalf, actions);
        }
    }

    /// Addresses of up to `count` random alive members other than `except`.
    pub fn random_present<R: Rng>(
        &self,
        count: usize,
        except: &str,
        rng: &mut R,
    ) -> Vec<SocketAddr> {
        let present: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(node, entry)| {
                entry.member.state() == MemberState::MemberAlive && node.as_str() != except
            })
            .filter_map(|(_, entry)| entry.address)
            .collect();
        present.choose_multiple(rng, count).copied().collect()
    }

    /// Datagram with only the sender's fields set.
    pub fn header(&mut self) -> Datagram {
        self.sequence += 1;
        Datagram {
            from: self.own.node.clone(),
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            ..Datagram::default()
        }
    }
}

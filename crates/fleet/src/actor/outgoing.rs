//! Datagrams other than probes: load reports, aggregates, digests and their answers.

use std::net::SocketAddr;

use dappleyard_decide::broadcast::retransmits;
use dappleyard_decide::membership::Action;
use dappleyard_decide::time::Millis;
use dappleyard_wire::MAXIMUM_DATAGRAM_BYTES;
use dappleyard_wire::messages::datagram::Body;
use dappleyard_wire::messages::{CellAggregate, Datagram, SyncDigest, SyncEntries};

use super::FleetActor;
use crate::loads;

/// Number of members to which updates are pushed at once.
const PUSH_FANOUT: usize = 2;

impl FleetActor {
    /// Performs the actions of the membership state machine.
    pub(super) fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send_with_updates(to, datagram),
                other => self.handle_change(other),
            }
        }
    }

    /// Sends a datagram with as many queued updates as fit.
    fn send_with_updates(&mut self, to: SocketAddr, mut datagram: Datagram) {
        use prost::Message;
        let limit = retransmits(self.membership.present() + 1);
        let free = MAXIMUM_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        datagram.configuration = self.configuration_gossip.next_updates(free, limit);
        let free = MAXIMUM_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        datagram.cancelled_jobs = self.cancelled.next_updates(free, limit);
        let free = MAXIMUM_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        datagram.crashes = self.crashes.next_updates(free, limit);
        let free = MAXIMUM_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        datagram.servers = self.machines.next_updates(free, limit);
        datagram.reread_machines_unix_ms = self.machines.reread_unix_ms();
        self.send(to, &datagram);
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let bytes = self.socket.send(to, datagram);
        self.metrics
            .count_datagram("out", datagram.body.as_ref(), bytes);
    }

    fn send_body(&mut self, to: SocketAddr, body: Body) {
        let mut datagram = self.membership.header();
        datagram.body = Some(body);
        self.send(to, &datagram);
    }

    /// Pushes newly applied changes and new crash records to a few members without waiting for a probe.
    pub(super) fn push_new_updates(&mut self) {
        let changed = self.configuration_gossip.take_push_pending();
        if !self.crashes.take_push_pending() && !changed {
            return;
        }
        for to in self
            .membership
            .random_present(PUSH_FANOUT, "", &mut self.random)
        {
            let datagram = self.membership.header();
            self.send_with_updates(to, datagram);
        }
    }

    /// Asks a member with a greater configuration revision for the missing changes.
    pub(super) fn ask_for_missing(&mut self) {
        let lags = self.tables.configuration.revision() < self.highest_remote_revision;
        if let Some(to) = self.newer_peer.take()
            && lags
            && self.synced
        {
            let digest = self.membership.digest(true);
            self.send_body(to, digest);
        }
    }

    /// Answers a digest with the changes that the sender is missing, and notes the sender's revision.
    pub(super) fn answer_digest(&mut self, from: SocketAddr, digest: &SyncDigest) {
        if self.synced
            && let Some(answer) = self
                .configuration_gossip
                .answer_digest(digest.configuration_revision)
        {
            self.send_body(from, Body::Entries(answer));
        }
        self.note_remote_revision(from, digest.configuration_revision);
    }

    /// Applies the answer to a digest; requests a snapshot when the peer sent no entries.
    pub(super) fn apply_sync_entries(&mut self, from: &str, answer: &SyncEntries) {
        if !self.synced {
            return;
        }
        if answer.entries.is_empty() && answer.up_to > self.tables.configuration.revision() {
            self.snapshot_peer = Some(from.to_owned());
            return;
        }
        self.configuration_gossip.merge(answer, &self.metrics);
    }

    /// Reports this node's load to its cell. Returns the number of members in it, also when the
    /// report is unchanged and not sent.
    pub(super) fn send_load(&mut self) -> usize {
        let receivers = self.cell_addresses();
        if let Some(report) = self.loads.report(&self.tables) {
            for to in &receivers {
                self.send_body(*to, Body::Load(report.clone()));
            }
        }
        receivers.len()
    }

    /// Addresses of the other members of this node's cell.
    fn cell_addresses(&self) -> Vec<SocketAddr> {
        let Some(cell) = self.directory.cell_of(&self.membership.own().node) else {
            return Vec::new();
        };
        let members = cell.nodes.iter();
        members
            .filter_map(|node| self.membership.member(&node.node))
            .filter(|entry| entry.is_present())
            .filter_map(|entry| entry.address)
            .collect()
    }

    /// Sends the aggregate of this node's cell to some other cells, if this node is its reporter.
    pub(super) fn send_aggregate(&mut self, now: Millis) {
        let own = self.membership.own().node.clone();
        let Some(cell) = self.directory.cell_of(&own) else {
            return;
        };
        if loads::reporter(cell) != Some(own.as_str()) {
            return;
        }
        let aggregate = loads::aggregate(&self.tables, cell, now);
        let name = cell.name.clone();
        let mut targets = Vec::new();
        for other in self.loads.next_cells(self.directory.cells(), &name) {
            use rand::seq::IteratorRandom;
            let able = other.nodes.iter().filter(|node| node.eligible);
            let chosen = able.choose(&mut self.random);
            let entry = chosen.and_then(|node| self.membership.member(&node.node));
            targets.extend(entry.and_then(|entry| entry.address));
        }
        for to in targets {
            self.send_body(to, Body::Aggregate(aggregate.clone()));
        }
    }

    /// Stores an aggregate; forwards it within this cell when it came from another cell.
    pub(super) fn receive_aggregate(&mut self, from: &str, aggregate: CellAggregate, now: Millis) {
        let own = self.directory.cell_of(&self.membership.own().node);
        let from_outside = own.is_some_and(|cell| cell.nodes.iter().all(|n| n.node != from));
        self.tables.loads.put_cell(aggregate.clone(), now);
        if from_outside {
            for to in self.cell_addresses() {
                self.send_body(to, Body::Aggregate(aggregate.clone()));
            }
        }
    }
}

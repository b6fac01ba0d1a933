//! What the actor sends besides probes: load reports, aggregates, digests and their answers.

use std::net::SocketAddr;

use dappleyard_decide::broadcast::retransmits;
use dappleyard_decide::membership::Action;
use dappleyard_decide::time::Millis;
use dappleyard_wire::MAXIMUM_DATAGRAM_BYTES;
use dappleyard_wire::messages::datagram::Body;
use dappleyard_wire::messages::{CellAggregate, Datagram, SyncDigest, SyncEntries};

use super::FleetActor;
use crate::loads;

/// Members to which a change is pushed as soon as it is applied.
const PUSH_FANOUT: usize = 2;

impl FleetActor {
    /// Does what the membership state machine decided.
    pub(super) fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send_with_updates(to, datagram),
                other => self.note_change(other),
            }
        }
    }

    /// Sends a datagram with as much of what waits to be spread as fits.
    fn send_with_updates(&mut self, to: SocketAddr, mut datagram: Datagram) {
        use prost::Message;
        let limit = retransmits(self.membership.present() + 1);
        let free = MAXIMUM_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        datagram.configuration = self.spread.take(free, limit);
        let free = MAXIMUM_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        datagram.cancelled_jobs = self.cancelled.take(free, limit);
        let free = MAXIMUM_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        datagram.crashes = self.crashes.take(free, limit);
        let free = MAXIMUM_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        datagram.servers = self.machines.take(free, limit);
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

    /// Pushes what is new, a change that was just applied or a request that ends engines, to a few members, without waiting for a probe.
    pub(super) fn push_fresh(&mut self) {
        let changed = self.spread.take_fresh();
        if !self.crashes.take_fresh() && !changed {
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

    /// Asks a member that has shown a greater revision for what is missing here.
    pub(super) fn ask_for_missing(&mut self) {
        let lags = self.tables.configuration.revision() < self.highest_heard;
        if let Some(to) = self.ahead.take()
            && lags
            && self.synced
        {
            let digest = self.membership.digest(true);
            self.send_body(to, digest);
        }
    }

    /// Answers a digest with what the sender lacks; asks back when this node lacks something.
    pub(super) fn answer_digest(&mut self, from: SocketAddr, digest: &SyncDigest) {
        if self.synced
            && let Some(answer) = self.spread.answer_digest(digest.configuration_revision)
        {
            self.send_body(from, Body::Entries(answer));
        }
        self.hear_revision(from, digest.configuration_revision);
    }

    /// Takes the answer to a digest; fetches the snapshot when it did not fit a datagram.
    pub(super) fn take_entries(&mut self, from: &str, answer: &SyncEntries) {
        if !self.synced {
            return;
        }
        if answer.entries.is_empty() && answer.up_to > self.tables.configuration.revision() {
            self.snapshot_from = Some(from.to_owned());
            return;
        }
        self.spread.merge(answer, &self.metrics);
    }

    /// Reports this node's load to its cell.
    /// Returns the number of receivers.
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

    /// The reporter of the cell tells some other cells of it, in turn.
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

    /// Takes another cell's aggregate; one from outside goes on to the members of this cell.
    pub(super) fn take_aggregate(&mut self, from: &str, aggregate: CellAggregate, now: Millis) {
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

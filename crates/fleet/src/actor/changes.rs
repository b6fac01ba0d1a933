//! Handles membership changes: updates tables, metrics and decision records.

use dappleyard_decide::membership::{Action, start_number};
use dappleyard_decide::time::Millis;
use dappleyard_tables::decisions::{Decision, DecisionKind, Subject};
use dappleyard_wire::ids::NodeId;
use dappleyard_wire::messages::{Member, MemberState};

use super::FleetActor;

/// Minimum interval between publications of the directory, milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 250;
/// Largest factor by which member changes since the last publication extend the interval.
const MAXIMUM_INTERVAL_FACTOR: u64 = 8;
/// Smallest zone, in members, whose loss is recorded as one event.
const ZONE_LOSS_MINIMUM: usize = 3;

impl FleetActor {
    pub(super) fn handle_change(&mut self, action: Action) {
        match action {
            Action::Send { .. } => {}
            Action::Changed {
                member,
                before,
                detected_locally,
                detected_after_ms,
            } => {
                if detected_locally && member.state() == MemberState::MemberSuspect {
                    self.metrics.own_suspicions.inc();
                }
                self.member_changed(member, before, detected_after_ms);
            }
            Action::Forgotten { node } => {
                self.tables.members.remove(&NodeId::from(node));
                self.dirty = true;
            }
            Action::Refuted { claimed_state } => {
                self.metrics.refutations.inc();
                self.dirty = true;
                let own = self.membership.own().clone();
                let cause = format!("others believed this node {}", state_name(claimed_state));
                self.record_member(&own, cause, "refuted with a greater incarnation");
            }
        }
    }

    fn member_changed(
        &mut self,
        member: Member,
        before: Option<MemberState>,
        detected_after_ms: Option<u64>,
    ) {
        let node = NodeId::from(&member.node);
        let known = self.tables.members.get(&node);
        let restarted = known.as_ref().is_some_and(|known| {
            start_number(known.incarnation) != start_number(member.incarnation)
        });
        let gone = !dappleyard_decide::membership::is_present(&member);
        if restarted || gone {
            self.tables.loads.remove_node(&member.node);
        }
        self.count_change(&member, before, restarted, detected_after_ms);
        self.record_change(&member, before, restarted, detected_after_ms);
        self.tables.members.put(member);
        self.member_changes += 1;
        self.dirty = true;
    }

    fn count_change(
        &self,
        member: &Member,
        before: Option<MemberState>,
        restarted: bool,
        detected_after_ms: Option<u64>,
    ) {
        use MemberState::{MemberAlive, MemberDead, MemberSuspect};
        match (before, member.state()) {
            (_, MemberSuspect) => self.metrics.suspicions.inc(),
            (Some(MemberSuspect), MemberAlive) if !restarted => {
                self.metrics.false_suspicions.inc();
            }
            (Some(MemberDead), MemberAlive) if !restarted => self.metrics.false_deaths.inc(),
            _ => {}
        }
        if let Some(milliseconds) = detected_after_ms {
            self.metrics.detection.observe(milliseconds as f64 / 1000.0);
        }
        let present = self.membership.present() + 1;
        self.metrics
            .members
            .set(i64::try_from(present).unwrap_or(i64::MAX));
    }

    /// Records changes in this node's zone and those it detected itself. The loss of a zone is one
    /// record.
    fn record_change(
        &mut self,
        member: &Member,
        before: Option<MemberState>,
        restarted: bool,
        detected_after_ms: Option<u64>,
    ) {
        if member.state() == MemberState::MemberDead && self.is_zone_loss(&member.zone) {
            return;
        }
        if member.state() == MemberState::MemberAlive {
            self.lost_zones.remove(&member.zone);
        }
        let same_zone = member.zone == self.membership.own().zone;
        let unchanged = before == Some(member.state()) && !restarted;
        if unchanged || (!same_zone && detected_after_ms.is_none()) {
            return;
        }
        let before = before.map_or("unknown", state_name);
        let cause = match detected_after_ms {
            Some(milliseconds) => format!("no probe was answered for {milliseconds} ms"),
            None => "gossip".to_owned(),
        };
        let outcome = format!("{before} to {}", state_name(member.state()));
        self.record_member(member, cause, &outcome);
    }

    /// Whether at least half of a zone's members are gone. Records and logs the loss once.
    fn is_zone_loss(&mut self, zone: &str) -> bool {
        let of_zone = self
            .membership
            .members()
            .filter(|entry| entry.member.zone == zone);
        let (mut known, mut gone) = (0, 0);
        for entry in of_zone {
            match entry.member.state() {
                MemberState::MemberLeft => {}
                MemberState::MemberAlive => known += 1,
                _ => {
                    known += 1;
                    gone += 1;
                }
            }
        }
        let lost = known >= ZONE_LOSS_MINIMUM && gone * 2 >= known;
        if lost && self.lost_zones.insert(zone.to_owned()) {
            tracing::warn!(zone, gone, known, "most members of a zone are lost");
            self.record_zone_loss(zone, gone, known);
        }
        lost
    }

    fn record_zone_loss(&self, zone: &str, gone: usize, known: usize) {
        self.tables.decisions.record(Decision {
            unix_ms: self.tables.clock.unix_ms(),
            node: self.tables.identity.node.to_string(),
            kind: DecisionKind::MemberChanged,
            subjects: vec![Subject::Node(format!("zone {zone}"))],
            cause: "most members of the zone stopped answering together".to_owned(),
            inputs: vec![
                ("gone".to_owned(), gone.to_string()),
                ("known".to_owned(), known.to_string()),
            ],
            outcome: "taken as one event".to_owned(),
        });
    }

    fn record_member(&self, member: &Member, cause: String, outcome: &str) {
        self.tables.decisions.record(Decision {
            unix_ms: self.tables.clock.unix_ms(),
            node: self.tables.identity.node.to_string(),
            kind: DecisionKind::MemberChanged,
            subjects: vec![Subject::Node(member.node.clone())],
            cause,
            inputs: vec![("incarnation".to_owned(), member.incarnation.to_string())],
            outcome: outcome.to_owned(),
        });
    }

    /// Publishes the effects of member changes: cells, directory, owned servers and this node's own
    /// entry. Changes in quick succession are batched.
    pub(super) fn publish(&mut self, now: Millis) {
        if !self.dirty || now < self.deadlines.publish {
            return;
        }
        self.dirty = false;
        let changes = std::mem::take(&mut self.member_changes).clamp(1, MAXIMUM_INTERVAL_FACTOR);
        self.deadlines.publish = now.plus(PUBLISH_INTERVAL_MS * changes);
        let own = self.membership.own().clone();
        self.tables.members.put(own);
        let members_changed = self
            .directory
            .set_members(&self.membership, self.settings.cell_size);
        if members_changed {
            self.tables.members.set_cells(self.directory.cell_names());
        }
        if members_changed || std::mem::take(&mut self.servers_changed) {
            let owned = self.directory.publish(&self.tables);
            self.metrics
                .owned_servers
                .set(i64::try_from(owned).unwrap_or(i64::MAX));
        }
    }
}

const fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::MemberAlive => "alive",
        MemberState::MemberSuspect => "suspect",
        MemberState::MemberDead => "dead",
        MemberState::MemberLeft => "left",
    }
}

//! Whether a node's membership view is current, and whether it may declare others dead.

use dappleyard_wire::messages::MemberState;

use super::{Entry, Membership, Suspicion};
use crate::time::Millis;

/// Minimum number of concurrent suspicions that are treated as one event.
const CORRELATED_MINIMUM: usize = 3;
/// In larger fleets the minimum is one in this many members.
const CORRELATED_SHARE: usize = 20;
/// Maximum wait for more correlated suspicions, as a multiple of the suspicion time.
const MAX_SETTLING_FACTOR: u64 = 4;

/// Whether a node's membership view is current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipStatus {
    /// A member or the store responded recently, and after the last pause or death claim.
    Current,
    /// No member and no store response within `vouch_ms`.
    Isolated,
    /// No response since the node was paused or was declared dead by others.
    Unconfirmed,
    /// A later start of the same node id exists; this process must stop acting.
    Superseded,
}

/// Times of the latest contact with other members and the store.
#[derive(Debug, Clone)]
pub(super) struct Evidence {
    /// Send time of the latest acknowledged probe.
    acknowledged: Option<Millis>,
    /// Send time of the latest successful store call.
    store: Option<Millis>,
    /// Time of the last pause or death claim; earlier contacts do not count.
    invalidated_at: Option<Millis>,
    started: Millis,
    superseded: bool,
}

impl Evidence {
    pub(super) fn new(now: Millis) -> Evidence {
        Evidence {
            acknowledged: None,
            store: None,
            invalidated_at: None,
            started: now,
            superseded: false,
        }
    }
}

fn has_left(entry: &Entry) -> bool {
    entry.member.state() == MemberState::MemberLeft
}

impl Membership {
    /// Records that the store responded to a call sent at this time.
    pub fn record_store_response(&mut self, sent: Millis) {
        self.status.store = self.status.store.max(Some(sent));
    }

    /// Whether this node's membership view is current.
    pub fn status(&self, now: Millis) -> MembershipStatus {
        let evidence = &self.status;
        if evidence.superseded {
            return MembershipStatus::Superseded;
        }
        let last_contact = evidence.acknowledged.max(evidence.store);
        let alone = self.members.values().all(has_left);
        if let Some(invalidated) = evidence.invalidated_at
            && !alone
            && last_contact.is_none_or(|contact| contact < invalidated)
        {
            return MembershipStatus::Unconfirmed;
        }
        let contact = last_contact.unwrap_or(evidence.started);
        if !alone && now.since(contact) > self.settings.vouch_ms {
            return MembershipStatus::Isolated;
        }
        MembershipStatus::Current
    }

    /// Whether this node may declare a member of `zone` dead that was suspected at `suspected`. It
    /// needs a recent store response, or an acknowledgement since then together with at least half
    /// of the fleet (or of its own zone, for a member of that zone) alive.
    pub(super) fn may_declare_dead(&self, zone: &str, suspected: Millis, now: Millis) -> bool {
        let evidence = &self.status;
        let store_answers = evidence
            .store
            .is_some_and(|sent| now.since(sent) <= self.settings.vouch_ms);
        let member_answers = evidence.acknowledged.is_some_and(|sent| sent >= suspected);
        let last_one = self.present() <= 1;
        let own_zone = zone == self.own.zone;
        let sees_half =
            self.sees_half(|_| true) || own_zone && self.sees_half(|of| of == self.own.zone);
        store_answers || (member_answers || last_one) && sees_half
    }

    /// Whether no more correlated suspicions are expected. Many concurrent suspicions indicate one
    /// event, such as the loss of a zone or of this node's own network, and are evaluated together
    /// once no new one was raised for the suspicion time. `latest` is the time of the latest one,
    /// `None` if there are few.
    pub(super) fn suspicions_settled(
        &self,
        latest: Option<Millis>,
        suspicion: &Suspicion,
        now: Millis,
    ) -> bool {
        let longest = self.settings.suspicion_ms * MAX_SETTLING_FACTOR;
        latest.is_none_or(|latest| {
            now.since(latest) >= self.settings.suspicion_ms || now.since(suspicion.since) >= longest
        })
    }

    /// Time of the latest suspicion if there are many; `None` otherwise.
    pub(super) fn latest_correlated_suspicion(&self) -> Option<Millis> {
        let suspicions = self.members.values().filter_map(|entry| entry.suspicion);
        let (count, latest) = suspicions.fold((0, Millis(0)), |(count, latest), suspicion| {
            (count + 1, latest.max(suspicion.since))
        });
        let many = (self.members.len() / CORRELATED_SHARE).max(CORRELATED_MINIMUM);
        (count >= many).then_some(latest)
    }

    /// Whether at least half of the known members of the matching zones, including this node, are
    /// alive. Left members do not count.
    fn sees_half(&self, zones: impl Fn(&str) -> bool) -> bool {
        let mut alive = 1;
        let mut known = 1;
        for entry in self.members.values().filter(|e| zones(&e.member.zone)) {
            match entry.member.state() {
                MemberState::MemberLeft => {}
                MemberState::MemberAlive => {
                    alive += 1;
                    known += 1;
                }
                _ => known += 1,
            }
        }
        alive * 2 >= known
    }

    /// Treats a long gap between ticks as a pause of this process.
    pub(super) fn detect_pause(&mut self, now: Millis) {
        let Some(last) = self.last_tick else { return };
        let gap = now.since(last);
        if gap < self.settings.suspicion_ms / 2 {
            return;
        }
        self.status.invalidated_at = Some(now);
        self.probes.clear();
        self.next_probe = now;
        for entry in self.members.values_mut() {
            if let Some(suspicion) = &mut entry.suspicion {
                suspicion.deadline = suspicion.deadline.plus(gap);
            }
        }
    }

    pub(super) fn record_ack(&mut self, sent: Millis) {
        self.status.acknowledged = self.status.acknowledged.max(Some(sent));
    }

    pub(super) fn invalidate_contacts(&mut self, now: Millis) {
        self.status.invalidated_at = Some(now);
        self.next_probe = now;
    }

    pub(super) fn supersede(&mut self) {
        self.status.superseded = true;
    }
}

//! Whether a node can vouch for what it knows, and whether it may declare others dead.

use dappleyard_wire::messages::MemberState;

use super::{Entry, Membership, Suspicion};
use crate::time::Millis;

/// Suspicions at once that count as one event: this many, or one in so many members.
const CORRELATED_MINIMUM: usize = 3;
const CORRELATED_SHARE: usize = 20;
/// Longest wait for losses to settle, in suspicion times.
const LONGEST_SETTLING: u64 = 4;

/// Whether a node can vouch for what it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// A member or the store has answered within the vouch time, and after the last doubt.
    Vouched,
    /// Nobody has answered for too long.
    Isolated,
    /// The node was paused, or declared dead by others, and nobody has answered since.
    Doubted,
    /// A later start of the same node id is alive: this process must not act any more.
    Superseded,
}

/// Signs that a node is in touch with the fleet.
#[derive(Debug, Clone)]
pub(super) struct Evidence {
    /// When the last acknowledged probe was sent.
    acknowledged: Option<Millis>,
    /// When the last answered call to the store was sent.
    store: Option<Millis>,
    /// Since when signs count: the start, the end of a pause, an accusation.
    doubted_at: Option<Millis>,
    started: Millis,
    superseded: bool,
}

impl Evidence {
    pub(super) fn new(now: Millis) -> Evidence {
        Evidence {
            acknowledged: None,
            store: None,
            doubted_at: None,
            started: now,
            superseded: false,
        }
    }
}

fn has_left(entry: &Entry) -> bool {
    entry.member.state() == MemberState::MemberLeft
}

impl Membership {
    /// Notes that the store answered a call sent at this time.
    pub fn note_store(&mut self, sent: Millis) {
        self.standing.store = self.standing.store.max(Some(sent));
    }

    /// Whether this node can vouch for what it knows.
    pub fn standing(&self, now: Millis) -> Standing {
        let evidence = &self.standing;
        if evidence.superseded {
            return Standing::Superseded;
        }
        let last_sign = evidence.acknowledged.max(evidence.store);
        let alone = self.members.values().all(has_left);
        if let Some(doubted) = evidence.doubted_at
            && !alone
            && last_sign.is_none_or(|sign| sign < doubted)
        {
            return Standing::Doubted;
        }
        let sign = last_sign.unwrap_or(evidence.started);
        if !alone && now.since(sign) > self.settings.vouch_ms {
            return Standing::Isolated;
        }
        Standing::Vouched
    }

    /// Whether this node sees enough to declare a member of this zone dead, which it has suspected
    /// since some time: somebody has answered since; and at least half of the fleet, or of the zone
    /// if it is its own, is alive, or the store answers.
    pub(super) fn may_judge(&self, zone: &str, suspected: Millis, now: Millis) -> bool {
        let evidence = &self.standing;
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

    /// Whether the losses that this node sees have stopped growing. Many suspicions at once are one
    /// event, such as the loss of a zone or of this node's own network: they are judged together
    /// when none has come for the suspicion time, in which a survey looks for more. `latest` is when
    /// the latest of many suspicions was raised, `None` while there are few.
    pub(super) fn losses_settled(
        &self,
        latest: Option<Millis>,
        suspicion: &Suspicion,
        now: Millis,
    ) -> bool {
        let longest = self.settings.suspicion_ms * LONGEST_SETTLING;
        latest.is_none_or(|latest| {
            now.since(latest) >= self.settings.suspicion_ms || now.since(suspicion.since) >= longest
        })
    }

    /// When the latest of many suspicions at once was raised; `None` while there are few.
    pub(super) fn many_losses(&self) -> Option<Millis> {
        let suspicions = self.members.values().filter_map(|entry| entry.suspicion);
        let (count, latest) = suspicions.fold((0, Millis(0)), |(count, latest), suspicion| {
            (count + 1, latest.max(suspicion.since))
        });
        let many = (self.members.len() / CORRELATED_SHARE).max(CORRELATED_MINIMUM);
        (count >= many).then_some(latest)
    }

    /// Whether at least half of the remembered members of the zones, with this node, are alive. Left
    /// members do not count.
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

    /// A gap in this node's own ticks means that it was paused.
    pub(super) fn notice_gap(&mut self, now: Millis) {
        let Some(last) = self.last_tick else { return };
        let gap = now.since(last);
        if gap < self.settings.suspicion_ms / 2 {
            return;
        }
        self.standing.doubted_at = Some(now);
        self.probes.clear();
        self.next_probe = now;
        for entry in self.members.values_mut() {
            if let Some(suspicion) = &mut entry.suspicion {
                suspicion.deadline = suspicion.deadline.plus(gap);
            }
        }
    }

    pub(super) fn note_acknowledged(&mut self, sent: Millis) {
        self.standing.acknowledged = self.standing.acknowledged.max(Some(sent));
    }

    pub(super) fn doubt(&mut self, now: Millis) {
        self.standing.doubted_at = Some(now);
        self.next_probe = now;
    }

    pub(super) fn supersede(&mut self) {
        self.standing.superseded = true;
    }
}

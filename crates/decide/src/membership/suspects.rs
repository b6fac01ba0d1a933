//! Suspected members: probed again, surveyed when they are many, declared dead when proven.

use dappleyard_wire::messages::MemberState;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::entry::Suspicion;
use super::{Action, Membership};
use crate::time::Millis;

/// Members probed in each interval beside the usual one while many losses are seen.
const SURVEY_PROBES: usize = 4;
/// Own probes that must fail after a suspicion before a member is declared dead.
const FAILED_PROBES_FOR_DEATH: u32 = 3;
/// Longest time between the extra probes of a suspect that may not be judged, milliseconds.
const LONGEST_SUSPECT_PAUSE_MS: u64 = 60_000;
/// Suspicions that this node has not raised itself end this many times later.
const HEARSAY_FACTOR: u64 = 2;

impl Membership {
    /// The suspicion of a member that was just suspected, by an own probe or by hearsay.
    pub(super) fn new_suspicion(&self, now: Millis, own: bool) -> Suspicion {
        let factor = if own { 1 } else { HEARSAY_FACTOR };
        Suspicion {
            since: now,
            deadline: now.plus(self.settings.suspicion_ms * factor),
            failed_probes: u32::from(own),
            probed: now,
        }
    }

    /// Probes suspects again, and declares dead those whose time is up and whom own probes did not
    /// reach either.
    pub(super) fn judge_suspects<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) {
        let many_losses = self.many_losses();
        if many_losses.is_some() && now >= self.next_survey {
            self.next_survey = now.plus(self.settings.probe_interval_ms);
            self.survey(now, rng, actions);
        }
        let suspects: Vec<(String, Suspicion)> = self
            .members
            .iter()
            .filter_map(|(node, entry)| Some((node.clone(), entry.suspicion?)))
            .collect();
        for (node, suspicion) in suspects {
            let due = now >= suspicion.deadline;
            let proven = suspicion.failed_probes >= FAILED_PROBES_FOR_DEATH;
            let settled = self.losses_settled(many_losses, &suspicion, now);
            if due && proven && settled && self.declare_dead(&node, suspicion, now, actions) {
                continue;
            }
            self.probe_suspect(&node, suspicion, now, actions);
        }
    }

    /// Probes some members that are believed alive, to learn how far a loss reaches.
    fn survey<R: Rng>(&mut self, now: Millis, rng: &mut R, actions: &mut Vec<Action>) {
        let alive = self
            .members
            .iter()
            .filter(|(_, entry)| entry.member.state() == MemberState::MemberAlive);
        let chosen = alive
            .map(|(node, _)| node.clone())
            .choose_multiple(rng, SURVEY_PROBES);
        for node in chosen {
            self.probe_member(&node, now, actions);
        }
    }

    /// Only those that raised the suspicion probe again before its end, so that a death costs a
    /// bounded number of probes; the others do so when its end comes.
    fn probe_suspect(
        &mut self,
        node: &str,
        suspicion: Suspicion,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let overdue = now.since(suspicion.deadline);
        let raised_here = suspicion.failed_probes > 0;
        if !raised_here && now < suspicion.deadline {
            return;
        }
        // A suspect that may not be judged is probed less and less often.
        let pause =
            (self.settings.probe_interval_ms / 2 + overdue / 4).min(LONGEST_SUSPECT_PAUSE_MS);
        if now.since(suspicion.probed) < pause {
            return;
        }
        if let Some(known) = self
            .members
            .get_mut(node)
            .and_then(|e| e.suspicion.as_mut())
        {
            known.probed = now;
        }
        self.probe_member(node, now, actions);
    }

    fn declare_dead(
        &mut self,
        node: &str,
        suspicion: Suspicion,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(entry) = self.members.get(node) else {
            return true;
        };
        if !self.may_judge(&entry.member.zone, suspicion.since, now) {
            return false;
        }
        let mut member = entry.member.clone();
        member.set_state(MemberState::MemberDead);
        let detected = now.since(suspicion.since);
        self.set_state(member, now, true, Some(detected), actions);
        true
    }
}

//! Probing of suspected members and declaration of deaths.

use dappleyard_wire::messages::MemberState;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::entry::Suspicion;
use super::{Action, Membership};
use crate::time::Millis;

/// Additional members probed per interval while there are many suspicions.
const SAMPLE_PROBES: usize = 4;
/// Failed own probes required before a member is declared dead.
const FAILED_PROBES_FOR_DEATH: u32 = 3;
/// Maximum time between probes of a suspect that cannot be declared dead yet, in milliseconds.
const MAX_SUSPECT_PROBE_INTERVAL_MS: u64 = 60_000;
/// Multiple of the suspicion time for suspicions raised by other nodes.
const REMOTE_SUSPICION_FACTOR: u64 = 2;

impl Membership {
    /// Creates a suspicion; `own` if it was raised by this node's probes.
    pub(super) fn new_suspicion(&self, now: Millis, own: bool) -> Suspicion {
        let factor = if own { 1 } else { REMOTE_SUSPICION_FACTOR };
        Suspicion {
            since: now,
            deadline: now.plus(self.settings.suspicion_ms * factor),
            failed_probes: u32::from(own),
            probed: now,
        }
    }

    /// Probes suspects again, and declares dead those past their deadline whose probes also failed.
    pub(super) fn check_suspects<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) {
        let latest_correlated_suspicion = self.latest_correlated_suspicion();
        if latest_correlated_suspicion.is_some() && now >= self.next_sample {
            self.next_sample = now.plus(self.settings.probe_interval_ms);
            self.probe_sample(now, rng, actions);
        }
        let suspects: Vec<(String, Suspicion)> = self
            .members
            .iter()
            .filter_map(|(node, entry)| Some((node.clone(), entry.suspicion?)))
            .collect();
        for (node, suspicion) in suspects {
            let due = now >= suspicion.deadline;
            let enough_failures = suspicion.failed_probes >= FAILED_PROBES_FOR_DEATH;
            let settled = self.suspicions_settled(latest_correlated_suspicion, &suspicion, now);
            if due
                && enough_failures
                && settled
                && self.declare_dead(&node, suspicion, now, actions)
            {
                continue;
            }
            self.probe_suspect(&node, suspicion, now, actions);
        }
    }

    /// Probes a random sample of alive members, to find the extent of a correlated failure.
    fn probe_sample<R: Rng>(&mut self, now: Millis, rng: &mut R, actions: &mut Vec<Action>) {
        let alive = self
            .members
            .iter()
            .filter(|(_, entry)| entry.member.state() == MemberState::MemberAlive);
        let chosen = alive
            .map(|(node, _)| node.clone())
            .choose_multiple(rng, SAMPLE_PROBES);
        for node in chosen {
            self.probe_member(&node, now, actions);
        }
    }

    /// Before the deadline only nodes whose own probes failed probe again, which bounds the number
    /// of probes per death; the others start at the deadline.
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
        // Back off while the suspect cannot be declared dead.
        let interval =
            (self.settings.probe_interval_ms / 2 + overdue / 4).min(MAX_SUSPECT_PROBE_INTERVAL_MS);
        if now.since(suspicion.probed) < interval {
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
        if !self.may_declare_dead(&entry.member.zone, suspicion.since, now) {
            return false;
        }
        let mut member = entry.member.clone();
        member.set_state(MemberState::MemberDead);
        let detected = now.since(suspicion.since);
        self.set_state(member, now, true, Some(detected), actions);
        true
    }
}

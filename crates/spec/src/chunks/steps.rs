//! The enabled actions of a state.

use dappleyard_wire::messages::ChunkRow;

use super::Chunks;
use super::state::{
    Action, Call, Change, Item, ReopenReason, Run, State, Work, read_back, settle_unknown,
};
use crate::store::{Delivery, Versioned};

impl Chunks {
    pub(super) fn steps_of_node(
        &self,
        state: &State,
        node: usize,
        steps: &mut Vec<(Action, State)>,
    ) {
        let faults_left = state.faults < self.limits.faults;
        match &state.nodes[node].work {
            Work::Idle => self.steps_of_idle(state, node, steps),
            Work::Claiming { .. } | Work::Marking { .. } | Work::Committing { .. } => {
                let early = state.calls.iter().any(|call| call.node == node);
                if !early || faults_left {
                    let mut next = state.clone();
                    next.faults += u8::from(early);
                    read_back(&mut next, node);
                    steps.push((Action::TimeOut { node }, next));
                }
            }
            Work::Holding { row, item } => self.steps_of_holder(state, node, row, *item, steps),
        }
        if faults_left {
            let mut next = state.clone();
            next.faults += 1;
            next.nodes[node].incarnation += 1;
            next.nodes[node].work = Work::Idle;
            steps.push((Action::Crash { node }, next));
        }
    }

    /// Chunks of a cancelled job are neither claimed nor reopened, since a node also reads the job row.
    pub(super) fn steps_of_idle(
        &self,
        state: &State,
        node: usize,
        steps: &mut Vec<(Action, State)>,
    ) {
        let is_pending_reopen = |call: &Call| call.node == node && call.change == Change::Reopen;
        if state.job.value || state.calls.iter().any(is_pending_reopen) {
            return;
        }
        let mut next = state.clone();
        if self.claim(&mut next, node) {
            steps.push((Action::Claim { node }, next));
            return;
        }
        let Some(reason) = self.reopen_reason(state, node) else {
            return;
        };
        let mut next = state.clone();
        next.suspicions += u8::from(reason == ReopenReason::Suspected);
        if self.reopen(&mut next, node, &state.row, true) {
            steps.push((Action::Reopen { node, reason }, next));
        }
    }

    pub(super) fn steps_of_holder(
        &self,
        state: &State,
        node: usize,
        row: &Versioned<ChunkRow>,
        item: Item,
        steps: &mut Vec<(Action, State)>,
    ) {
        let faults_left = state.faults < self.limits.faults;
        let mut next = state.clone();
        if !self.may_start(&row.value, item) {
            if item == Item::NotStarted {
                settle_unknown(&mut next, node, row.clone());
                steps.push((Action::SettleUnknown { node }, next));
            } else {
                self.commit(&mut next, node);
                steps.push((Action::Commit { node }, next));
            }
            return;
        }
        let mut handed_back = state.clone();
        handed_back.faults += 1;
        if faults_left && self.reopen(&mut handed_back, node, row, false) {
            let reason = ReopenReason::HandBack;
            steps.push((Action::Reopen { node, reason }, handed_back));
        }
        if self.must_mark(&row.value) {
            Self::mark(&mut next, node);
            steps.push((Action::Mark { node }, next));
            return;
        }
        for run in [Run::Completes, Run::AnswerLost, Run::Lost] {
            if run == Run::Completes || faults_left {
                let mut next = state.clone();
                next.faults += u8::from(run != Run::Completes);
                self.start(&mut next, node, run);
                steps.push((Action::Start { node, run }, next));
            }
        }
    }

    pub(super) fn steps_of_network(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        for index in 0..state.calls.len() {
            for delivery in Delivery::ALL {
                let fault = delivery != Delivery::Answered;
                if fault && state.faults >= self.limits.faults {
                    continue;
                }
                let mut next = state.clone();
                next.faults += u8::from(fault);
                self.deliver(&mut next, index, delivery);
                steps.push((Action::Network { index, delivery }, next));
            }
        }
    }
}

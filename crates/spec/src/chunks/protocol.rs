//! Transitions of a node on a chunk, and effects of the network and the store on its calls.

use dappleyard_decide::chunks::{
    ChunkResult, ClaimDecision, CommitDecision, claim, commit, mark_started, may_start_item, reopen,
};
use dappleyard_wire::messages::{ChunkPhase, ChunkRow, JobRow, Repeat};

use super::state::{
    Call, Change, FAULT_FREE_ROUNDS, Item, NODES, ReopenReason, Run, State, Work, apply_commit,
    claimant, is_marked, node_name, read_back, send_call, settle_unknown,
};
use super::{Chunks, Mutant};
use crate::store::{Delivery, Versioned};

impl Chunks {
    pub(super) fn claim(&self, state: &mut State, node: usize) -> bool {
        let decision = claim(&state.row.value, &claimant(state, node), false);
        let ClaimDecision::Write(next) = decision else {
            return false;
        };
        let revision = state.row.revision;
        send_call(state, node, next.clone(), revision, Change::Claim);
        state.nodes[node].work = Work::Claiming { next };
        true
    }

    /// Sends a reopen of a claimed chunk, conditional on the revision of `row`, and drops the chunk.
    pub(super) fn reopen(
        &self,
        state: &mut State,
        node: usize,
        row: &Versioned<ChunkRow>,
        gone: bool,
    ) -> bool {
        let Some(mut next) = reopen(&row.value, &claimant(state, node), gone) else {
            return false;
        };
        if self.mutant == Some(Mutant::TakeoverForgetsStart) {
            next.maybe_started = false;
            next.started_items = 0;
        }
        send_call(state, node, next, row.revision, Change::Reopen);
        state.nodes[node].work = Work::Idle;
        true
    }

    /// The reason for which an idle node may reopen the chunk, if any.
    pub(super) fn reopen_reason(&self, state: &State, node: usize) -> Option<ReopenReason> {
        let row = &state.row.value;
        let holder = (0..NODES).find(|other| row.holder == node_name(*other))?;
        if row.holder_incarnation < state.nodes[holder].incarnation {
            Some(ReopenReason::Restarted)
        } else if holder == node {
            Some(ReopenReason::Unknown)
        } else {
            (state.suspicions < self.limits.suspicions).then_some(ReopenReason::Suspected)
        }
    }

    pub(super) fn may_start(&self, row: &ChunkRow, item: Item) -> bool {
        item == Item::NotStarted
            && (self.repeat == Repeat::Allowed || may_start_item(row, 0) || is_marked(row))
    }

    /// Whether the item must be marked before it is started.
    pub(super) fn must_mark(&self, row: &ChunkRow) -> bool {
        let skipped = self.mutant == Some(Mutant::StartedBeforeMark);
        self.repeat == Repeat::Never && !is_marked(row) && !skipped
    }

    pub(super) fn mark(state: &mut State, node: usize) {
        if let Work::Holding { row, .. } = state.nodes[node].work.clone() {
            let next = mark_started(&row.value, 0);
            send_call(state, node, next, row.revision, Change::Mark);
            state.nodes[node].work = Work::Marking { row };
        }
    }

    pub(super) fn start(&self, state: &mut State, node: usize, run: Run) {
        let Work::Holding { item, .. } = &mut state.nodes[node].work else {
            return;
        };
        let retryable =
            self.repeat == Repeat::Allowed || self.mutant == Some(Mutant::RetryAfterMaybe);
        *item = match run {
            Run::Completes => Item::Completed,
            Run::AnswerLost | Run::Lost if retryable => Item::NotStarted,
            Run::AnswerLost | Run::Lost => Item::Unknown,
        };
        if run != Run::Lost {
            let maximum = if self.repeat == Repeat::Never { 2 } else { 1 };
            state.runs = (state.runs + 1).min(maximum);
        }
    }

    pub(super) fn commit(&self, state: &mut State, node: usize) {
        let Work::Holding { row, item } = state.nodes[node].work.clone() else {
            return;
        };
        state.objects.insert(row.value.epoch);
        let result = ChunkResult {
            object: row.value.epoch.to_string(),
            completed: u32::from(item == Item::Completed),
            failed: u32::from(item == Item::Unknown),
        };
        let current = state.row.clone();
        let job = JobRow {
            cancelled: state.job.value,
            ..JobRow::default()
        };
        let epoch = match self.mutant {
            Some(Mutant::EpochNotCompared) => current.value.epoch,
            _ => row.value.epoch,
        };
        state.nodes[node].work = match commit(&current.value, &job, epoch, &result) {
            CommitDecision::Write(next) => {
                let job_revision = state.job.revision;
                let change = Change::Commit { job_revision, item };
                send_call(state, node, next, current.revision, change);
                Work::Committing { row, item }
            }
            CommitDecision::AlreadyCommitted
            | CommitDecision::Fenced
            | CommitDecision::Cancelled => Work::Idle,
        };
    }

    pub(super) fn deliver(&self, state: &mut State, index: usize, delivery: Delivery) {
        let call = state.calls.remove(index);
        if delivery == Delivery::Lost {
            return;
        }
        let done = self.apply_call(state, &call);
        let restarted = state.nodes[call.node].incarnation != call.incarnation;
        if delivery == Delivery::AnswerLost || restarted {
            return;
        }
        let row = Versioned {
            value: call.next.clone(),
            revision: state.row.revision,
        };
        let item = Item::NotStarted;
        let work = &mut state.nodes[call.node].work;
        match (work.clone(), call.change) {
            (Work::Claiming { next }, Change::Claim) if done && next == call.next => {
                *work = Work::Holding { row, item };
            }
            (Work::Marking { .. }, Change::Mark) if done => *work = Work::Holding { row, item },
            (Work::Committing { .. }, Change::Commit { .. }) if done => *work = Work::Idle,
            (_, Change::Reopen) => {}
            // The conflict may be with an earlier call of the same node that took effect.
            _ => read_back(state, call.node),
        }
    }

    pub(super) fn apply_call(&self, state: &mut State, call: &Call) -> bool {
        if let Change::Commit { job_revision, item } = call.change {
            let compared = self.mutant != Some(Mutant::CancelNotCompared);
            if compared && state.job.revision != job_revision {
                return false;
            }
            return apply_commit(state, call, item);
        }
        state.row.compare_and_swap(call.revision, call.next.clone())
    }

    /// Liveness: without further faults the chunk is done or its job is cancelled.
    pub(super) fn terminates(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..FAULT_FREE_ROUNDS {
            if state.job.value || state.row.value.phase() == ChunkPhase::ChunkDone {
                return true;
            }
            while !state.calls.is_empty() {
                self.deliver(&mut state, 0, Delivery::Answered);
            }
            for node in 0..NODES {
                self.advance(&mut state, node);
            }
        }
        false
    }

    pub(super) fn advance(&self, state: &mut State, node: usize) {
        match state.nodes[node].work.clone() {
            Work::Idle if self.claim(state, node) => {}
            Work::Idle => {
                let reopen_reason = self.reopen_reason(state, node);
                let row = state.row.clone();
                if reopen_reason
                    .is_some_and(|reopen_reason| reopen_reason != ReopenReason::Suspected)
                {
                    self.reopen(state, node, &row, true);
                }
            }
            Work::Claiming { .. } | Work::Marking { .. } | Work::Committing { .. } => {
                read_back(state, node);
            }
            Work::Holding { row, item } if self.may_start(&row.value, item) => {
                if self.must_mark(&row.value) {
                    Self::mark(state, node);
                } else {
                    self.start(state, node, Run::Completes);
                }
            }
            Work::Holding {
                row,
                item: Item::NotStarted,
            } => settle_unknown(state, node, row),
            Work::Holding { .. } => self.commit(state, node),
        }
    }
}

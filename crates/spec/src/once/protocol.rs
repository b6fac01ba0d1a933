//! Transitions of an attempt on its record, and effects of the network and the store on its calls.

use dappleyard_decide::once::{OnceDecision, decide, give_up, may_settle, settle, unknown_outcome};
use dappleyard_wire::ErrorKind;
use dappleyard_wire::messages::{OnceOutcome, OncePhase, Ran};

use super::state::{
    ATTEMPTS, Attempt, FAULT_FREE_ROUNDS, LOOPS, Loop, Phase, Run, Source, State, finish_loop,
    has_crashed, is_waiting_for, once_attempt, send_call,
};
use super::{Mutant, Once};
use crate::store::Delivery;

impl Once {
    /// One iteration of a loop: sends a create, or ends the loop, depending on the record as read.
    pub(super) fn iterate(
        &self,
        state: &mut State,
        attempt: usize,
        loop_index: usize,
        ambiguous: bool,
        first: bool,
    ) {
        if !self.may_create(&state.attempts[attempt], loop_index) {
            state.attempts[attempt].loops[loop_index] = Loop::Answered;
            return;
        }
        let row = if first { None } else { state.row.value.clone() };
        let revision = if first { 0 } else { state.row.revision };
        let mut decision = decide(row.as_ref(), &once_attempt(attempt), true);
        if self.mutant == Some(Mutant::WriterNotCompared) && decision == OnceDecision::InProgress {
            decision = OnceDecision::Run;
        }
        let may_run = match decision {
            OnceDecision::Create(next) => {
                state.attempts[attempt].loops[loop_index] = Loop::Waiting { ambiguous };
                let source = Source::Loop(loop_index);
                return send_call(state, attempt, source, next, revision);
            }
            OnceDecision::Run => true,
            _ => false,
        };
        finish_loop(
            state,
            attempt,
            loop_index,
            if may_run {
                Phase::Running
            } else {
                Phase::Ended
            },
        );
    }

    /// Whether a loop may continue: only while its attempt waits for it. Its timeout has passed before
    /// the attempt starts the other loop, gives up or ends.
    pub(super) fn may_create(&self, attempt: &Attempt, loop_index: usize) -> bool {
        is_waiting_for(attempt, loop_index) || self.mutant == Some(Mutant::LoopOutlivesWait)
    }

    pub(super) fn deliver(&self, state: &mut State, index: usize, delivery: Delivery) {
        let call = state.calls.remove(index);
        if delivery == Delivery::Lost {
            return;
        }
        let done = state
            .row
            .compare_and_swap(call.revision, Some(call.next.clone()));
        if delivery == Delivery::AnswerLost {
            return;
        }
        match call.source {
            Source::Loop(loop_index) => {
                let Loop::Waiting { ambiguous } = state.attempts[call.attempt].loops[loop_index]
                else {
                    return;
                };
                if done {
                    finish_loop(state, call.attempt, loop_index, Phase::Running);
                } else {
                    self.iterate(state, call.attempt, loop_index, ambiguous, false);
                }
            }
            Source::Settle | Source::GiveUp => {
                let phase = &mut state.attempts[call.attempt].phase;
                if done && matches!(phase, Phase::Settling(_) | Phase::GivingUp) {
                    *phase = Phase::Ended;
                }
            }
        }
    }

    /// The store rejected the call without effect. The key must be released if an earlier create of
    /// the attempt is unconfirmed.
    pub(super) fn refuse(&self, state: &mut State, index: usize) {
        let call = state.calls.remove(index);
        let Source::Loop(loop_index) = call.source else {
            return;
        };
        let attempt = &state.attempts[call.attempt];
        let Loop::Waiting { ambiguous } = attempt.loops[loop_index] else {
            return;
        };
        let unconfirmed = ambiguous || loop_index > 0;
        let phase = self.phase_when_refused(unconfirmed);
        if finish_loop(state, call.attempt, loop_index, phase) {
            state.attempts[call.attempt].reported_not_run = true;
        }
    }

    pub(super) fn phase_when_refused(&self, unconfirmed: bool) -> Phase {
        if unconfirmed && self.mutant != Some(Mutant::NotGivenUp) {
            Phase::GivingUp
        } else {
            Phase::Ended
        }
    }

    pub(super) fn start(&self, state: &mut State, attempt: usize, run: Run) {
        let attempt = &mut state.attempts[attempt];
        attempt.ran |= matches!(run, Run::Completes | Run::AnswerLost);
        let refused = OnceOutcome {
            kind: ErrorKind::Overloaded as u32,
            ran: Ran::No as i32,
            ..OnceOutcome::default()
        };
        let outcome = match run {
            Run::Completes => OnceOutcome {
                ran: Ran::Yes as i32,
                ..OnceOutcome::default()
            },
            Run::Refused => refused,
            _ if self.mutant == Some(Mutant::RetryAfterMaybe) => refused,
            Run::AnswerLost | Run::Lost => unknown_outcome(),
        };
        attempt.reported_not_run |= run == Run::Refused;
        attempt.phase = Phase::Settling(outcome);
    }

    /// Sends the settlement or the release, or ends the attempt if neither needs to be written.
    pub(super) fn write(&self, state: &mut State, attempt: usize) {
        let row = state.row.value.clone();
        let once_attempt = once_attempt(attempt);
        let next = match &state.attempts[attempt].phase {
            Phase::Settling(outcome) => row
                .filter(|row| {
                    may_settle(row, &once_attempt.request_id, &once_attempt.writer, outcome)
                })
                .map(|row| settle(&row, outcome.clone())),
            Phase::GivingUp => give_up(row.as_ref(), &once_attempt),
            _ => return,
        };
        let source = match state.attempts[attempt].phase {
            Phase::GivingUp => Source::GiveUp,
            _ => Source::Settle,
        };
        match next {
            Some(next) => {
                let revision = state.row.revision;
                send_call(state, attempt, source, next, revision);
            }
            None => state.attempts[attempt].phase = Phase::Ended,
        }
    }

    /// Liveness: without further faults the record ends up settled, released or with a crashed writer.
    pub(super) fn terminates(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..FAULT_FREE_ROUNDS {
            while !state.calls.is_empty() {
                self.deliver(&mut state, 0, Delivery::Answered);
            }
            for attempt in 0..ATTEMPTS {
                self.advance(&mut state, attempt);
            }
        }
        state.row.value.as_ref().is_none_or(|row| {
            row.phase() != OncePhase::OnceStarted || has_crashed(&state, &row.writer)
        })
    }

    pub(super) fn advance(&self, state: &mut State, attempt: usize) {
        for loop_index in 0..LOOPS {
            if matches!(
                state.attempts[attempt].loops[loop_index],
                Loop::Waiting { .. }
            ) {
                self.iterate(state, attempt, loop_index, true, false);
            }
        }
        match state.attempts[attempt].phase {
            Phase::Running => self.start(state, attempt, Run::Completes),
            Phase::Settling(_) | Phase::GivingUp => self.write(state, attempt),
            Phase::Idle | Phase::Asking | Phase::Ended => {}
        }
    }
}

//! What an attempt does with its record, and what the network and the store do with its calls.

use dappleyard_decide::once::{OnceDecision, decide, give_up, may_settle, settle, unknown_outcome};
use dappleyard_wire::ErrorKind;
use dappleyard_wire::messages::{OnceOutcome, OncePhase, Ran};

use super::state::{
    ATTEMPTS, Attempt, HEALING_ROUNDS, LOOPS, Loop, Phase, Run, Source, State, answer, asker,
    is_gone, listens, send,
};
use super::{Mutant, Once};
use crate::store::Delivery;

impl Once {
    /// One round of a loop: decides on the record as read and sends a create, or answers.
    pub(super) fn round(
        &self,
        state: &mut State,
        attempt: usize,
        way: usize,
        ambiguous: bool,
        first: bool,
    ) {
        if !self.may_create(&state.attempts[attempt], way) {
            state.attempts[attempt].loops[way] = Loop::Answered;
            return;
        }
        let row = if first { None } else { state.row.value.clone() };
        let revision = if first { 0 } else { state.row.revision };
        let mut decision = decide(row.as_ref(), &asker(attempt), true);
        if self.mutant == Some(Mutant::WriterNotCompared) && decision == OnceDecision::InProgress {
            decision = OnceDecision::Run;
        }
        let fresh = match decision {
            OnceDecision::Create(next) => {
                state.attempts[attempt].loops[way] = Loop::Waiting { ambiguous };
                let source = Source::Loop(way);
                return send(state, attempt, source, next, revision);
            }
            OnceDecision::Run => true,
            _ => false,
        };
        answer(
            state,
            attempt,
            way,
            if fresh { Phase::Running } else { Phase::Ended },
        );
    }

    /// A loop goes on only while its attempt waits for it: the time that it was given has passed
    /// before the attempt asks by another way, gives up or ends.
    pub(super) fn may_create(&self, attempt: &Attempt, way: usize) -> bool {
        listens(attempt, way) || self.mutant == Some(Mutant::LoopOutlivesWait)
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
            Source::Loop(way) => {
                let Loop::Waiting { ambiguous } = state.attempts[call.attempt].loops[way] else {
                    return;
                };
                if done {
                    answer(state, call.attempt, way, Phase::Running);
                } else {
                    self.round(state, call.attempt, way, ambiguous, false);
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

    /// The store is known to have done nothing. Whether the key must be given up depends on whether
    /// any create was sent before and never confirmed.
    pub(super) fn refuse(&self, state: &mut State, index: usize) {
        let call = state.calls.remove(index);
        let Source::Loop(way) = call.source else {
            return;
        };
        let attempt = &state.attempts[call.attempt];
        let Loop::Waiting { ambiguous } = attempt.loops[way] else {
            return;
        };
        let unconfirmed = ambiguous || way > 0;
        let phase = self.phase_when_refused(unconfirmed);
        if answer(state, call.attempt, way, phase) {
            state.attempts[call.attempt].told_not_run = true;
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
        attempt.told_not_run |= run == Run::Refused;
        attempt.phase = Phase::Settling(outcome);
    }

    /// Sends the settlement or the release, or finds that there is nothing to write.
    pub(super) fn write(&self, state: &mut State, attempt: usize) {
        let row = state.row.value.clone();
        let asker = asker(attempt);
        let next = match &state.attempts[attempt].phase {
            Phase::Settling(outcome) => row
                .filter(|row| may_settle(row, &asker.request_id, &asker.writer, outcome))
                .map(|row| settle(&row, outcome.clone())),
            Phase::GivingUp => give_up(row.as_ref(), &asker),
            _ => return,
        };
        let source = match state.attempts[attempt].phase {
            Phase::GivingUp => Source::GiveUp,
            _ => Source::Settle,
        };
        match next {
            Some(next) => {
                let revision = state.row.revision;
                send(state, attempt, source, next, revision);
            }
            None => state.attempts[attempt].phase = Phase::Ended,
        }
    }

    /// Whether the record ends settled, released or with a writer that is gone, once every call is
    /// answered and nothing fails any more.
    pub(super) fn finishes(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..HEALING_ROUNDS {
            while !state.calls.is_empty() {
                self.deliver(&mut state, 0, Delivery::Answered);
            }
            for attempt in 0..ATTEMPTS {
                self.proceed(&mut state, attempt);
            }
        }
        state
            .row
            .value
            .as_ref()
            .is_none_or(|row| row.phase() != OncePhase::OnceStarted || is_gone(&state, &row.writer))
    }

    pub(super) fn proceed(&self, state: &mut State, attempt: usize) {
        for way in 0..LOOPS {
            if matches!(state.attempts[attempt].loops[way], Loop::Waiting { .. }) {
                self.round(state, attempt, way, true, false);
            }
        }
        match state.attempts[attempt].phase {
            Phase::Running => self.start(state, attempt, Run::Completes),
            Phase::Settling(_) | Phase::GivingUp => self.write(state, attempt),
            Phase::Idle | Phase::Asking | Phase::Ended => {}
        }
    }
}

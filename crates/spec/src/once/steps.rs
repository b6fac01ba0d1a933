//! The enabled actions of a state.

use dappleyard_decide::once::{settle, unknown_outcome};
use dappleyard_wire::messages::OncePhase;

use super::Once;
use super::state::{
    Action, LOOPS, Loop, Phase, Run, Source, State, has_crashed, once_attempt, send_call, start,
};
use crate::store::Delivery;

impl Once {
    pub(super) fn steps_of_attempt(
        &self,
        state: &State,
        attempt: usize,
        steps: &mut Vec<(Action, State)>,
    ) {
        let faults_left = state.faults < self.limits.faults;
        let mut step = |action: Action, faulty: bool, change: &dyn Fn(&mut State)| {
            if !faulty || faults_left {
                let mut next = state.clone();
                next.faults += u8::from(faulty);
                change(&mut next);
                steps.push((action, next));
            }
        };
        let this = &state.attempts[attempt];
        match &this.phase {
            Phase::Idle => step(
                Action::Ask {
                    attempt,
                    loop_index: 0,
                },
                false,
                &|next| {
                    next.attempts[attempt].phase = Phase::Asking;
                    self.iterate(next, attempt, 0, false, true);
                },
            ),
            Phase::Asking => {
                if this.loops[1] == Loop::NotStarted {
                    step(
                        Action::Ask {
                            attempt,
                            loop_index: 1,
                        },
                        true,
                        &|next| {
                            self.iterate(next, attempt, 1, false, true);
                        },
                    );
                }
                step(Action::GiveUp { attempt }, true, &|next| {
                    next.attempts[attempt].reported_not_run = true;
                    next.attempts[attempt].phase = self.phase_when_refused(true);
                });
            }
            Phase::Running => {
                step(start(attempt, Run::Completes), false, &|next| {
                    self.start(next, attempt, Run::Completes);
                });
                for run in [Run::Refused, Run::AnswerLost, Run::Lost] {
                    step(start(attempt, run), true, &|next| {
                        self.start(next, attempt, run);
                    });
                }
            }
            Phase::Settling(_) | Phase::GivingUp => {
                let waiting = state
                    .calls
                    .iter()
                    .any(|call| call.attempt == attempt && !matches!(call.source, Source::Loop(_)));
                step(Action::Write { attempt }, waiting, &|next| {
                    self.write(next, attempt);
                });
            }
            Phase::Ended => {}
        }
        for loop_index in 0..LOOPS {
            if matches!(this.loops[loop_index], Loop::Waiting { .. }) {
                let source = Source::Loop(loop_index);
                let early = state
                    .calls
                    .iter()
                    .any(|call| call.attempt == attempt && call.source == source);
                step(
                    Action::ReadBack {
                        attempt,
                        loop_index,
                    },
                    early,
                    &|next| {
                        self.iterate(next, attempt, loop_index, true, false);
                    },
                );
            }
        }
        if !this.crashed && this.phase != Phase::Idle && this.phase != Phase::Ended {
            step(Action::Crash { attempt }, true, &|next| {
                let this = &mut next.attempts[attempt];
                this.crashed = true;
                this.phase = Phase::Ended;
                this.loops[1] = Loop::Answered;
            });
        }
    }

    /// An attempt that finds a record started by a writer it suspects settles it as unknown.
    pub(super) fn steps_of_suspicion(
        &self,
        state: &State,
        attempt: usize,
        steps: &mut Vec<(Action, State)>,
    ) {
        let Some(row) = &state.row.value else { return };
        let this = &state.attempts[attempt];
        let asks = matches!(this.phase, Phase::Asking | Phase::Ended) && !this.crashed;
        let other = row.writer != once_attempt(attempt).writer;
        let sent = state
            .calls
            .iter()
            .any(|call| call.attempt == attempt && call.source == Source::Settle);
        if !asks || !other || sent || row.phase() != OncePhase::OnceStarted {
            return;
        }
        let gone = has_crashed(state, &row.writer);
        if gone || state.suspicions < self.limits.suspicions {
            let mut next = state.clone();
            next.suspicions += u8::from(!gone);
            let unknown = settle(row, unknown_outcome());
            let revision = next.row.revision;
            send_call(&mut next, attempt, Source::Settle, unknown, revision);
            steps.push((Action::SettleUnknown { attempt }, next));
        }
    }

    pub(super) fn steps_of_network(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        let faults_left = state.faults < self.limits.faults;
        for index in 0..state.calls.len() {
            for delivery in Delivery::ALL {
                let fault = delivery != Delivery::Answered;
                if !fault || faults_left {
                    let mut next = state.clone();
                    next.faults += u8::from(fault);
                    self.deliver(&mut next, index, delivery);
                    steps.push((Action::Network { index, delivery }, next));
                }
            }
            if faults_left {
                let mut next = state.clone();
                next.faults += 1;
                self.refuse(&mut next, index);
                steps.push((Action::Unavailable { index }, next));
            }
        }
    }
}

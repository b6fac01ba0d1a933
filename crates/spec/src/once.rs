//! The at-most-once record with two attempts under one key.
//!
//! An attempt asks the recorder of its cell for the record and, when that does not answer in time,
//! writes the record itself, with the same token: two loops of reading and creating may run at once.
//! An attempt that stops waiting refuses its caller with "not run" and gives the key up. Membership
//! may wrongly believe the node of an attempt gone; calls may take effect after their sender has
//! given up on them.

mod protocol;
mod state;
mod steps;

use dappleyard_decide::once::unknown_outcome;
use dappleyard_wire::messages::{OncePhase, OnceRow};

use self::state::{ATTEMPTS, Attempt, LOOPS, Loop, Phase, forget_spent_calls};
use crate::checker::Specification;
use crate::store::Versioned;

pub use self::state::{Action, Run, State};

/// Plausible mistakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A run whose answer was lost is recorded as not run, so that the key is used again.
    RetryAfterMaybe,
    /// Any record that has started is taken for the attempt's own.
    WriterNotCompared,
    /// A create that was not confirmed is not given up.
    NotGivenUp,
    /// A loop goes on to create the record after its attempt has stopped waiting for it.
    LoopOutlivesWait,
}

/// How far the exploration goes.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Lost calls, lost answers, early time-outs, lost engines and crashes in one run.
    pub faults: u8,
    /// Times that a live attempt is believed gone.
    pub suspicions: u8,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Once {
    /// The mistake to make; `None` for the protocol as it is.
    pub mutant: Option<Mutant>,
    /// How far to explore.
    pub limits: Limits,
}

impl Specification for Once {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let attempt = Attempt {
            phase: Phase::Idle,
            loops: [Loop::NotBegun; LOOPS],
            crashed: false,
            told_not_run: false,
            ran: false,
        };
        State {
            row: Versioned::default(),
            attempts: [attempt.clone(), attempt],
            calls: Vec::new(),
            faults: 0,
            suspicions: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        for attempt in 0..ATTEMPTS {
            self.steps_of_attempt(state, attempt, &mut steps);
            self.steps_of_suspicion(state, attempt, &mut steps);
        }
        self.steps_of_network(state, &mut steps);
        for (_, next) in &mut steps {
            forget_spent_calls(next);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let runs = state.attempts.iter().filter(|attempt| attempt.ran).count();
        let lied = |attempt: &Attempt| attempt.told_not_run && attempt.ran;
        let answered = state.row.value.as_ref().is_some_and(|row| {
            let outcome = row.outcome.as_ref();
            outcome.is_some_and(|outcome| outcome.kind == 0)
        });
        let broken = if runs > 1 {
            "the request ran twice"
        } else if state.attempts.iter().any(lied) {
            "an attempt that was refused as not run has run"
        } else if answered && runs == 0 {
            "an answer is recorded that nobody gave"
        } else if !self.finishes(state) {
            "the key stays in progress for good, with nobody running the request"
        } else {
            return None;
        };
        Some(broken.to_owned())
    }

    fn situations(&self, state: &State) -> Vec<&'static str> {
        let phase = state.row.value.as_ref().map(OnceRow::phase);
        let unknown = state.row.value.as_ref().is_some_and(|row| {
            row.outcome
                .as_ref()
                .is_some_and(|outcome| *outcome == unknown_outcome())
        });
        let gave_up = |attempt: &Attempt| attempt.phase == Phase::GivingUp;
        let seen = [
            ("settled", phase == Some(OncePhase::OnceSettled)),
            ("released", phase == Some(OncePhase::OnceReleased)),
            ("recorded as unknown", unknown),
            ("gives up", state.attempts.iter().any(gave_up)),
            ("wrong suspicion", state.suspicions > 0),
            (
                "crash",
                state.attempts.iter().any(|attempt| attempt.crashed),
            ),
        ];
        seen.into_iter()
            .filter_map(|(name, seen)| seen.then_some(name))
            .collect()
    }

    fn bounds(&self) -> String {
        format!(
            "1 key, {ATTEMPTS} attempts with {LOOPS} ways to the record each, up to {} faults and {} \
             wrong suspicions",
            self.limits.faults, self.limits.suspicions
        )
    }
}

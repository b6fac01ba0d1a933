//! Models the at-most-once record while two attempts run concurrently for one key.
//!
//! An attempt asks the recorder, the node of its cell that reserves the key, to create the record. On a
//! timeout the attempt also writes the record itself, with the same token. Each of the two reads the
//! record and creates it in a loop, and both loops may run at once. An attempt that stops waiting for
//! the create reports "not run" to its caller and releases the key. The failure detector may suspect
//! the node of a live attempt, and calls may take effect after their sender timed out.

mod protocol;
mod state;
mod steps;

use dappleyard_decide::once::unknown_outcome;
use dappleyard_wire::messages::{OncePhase, OnceRow};

use self::state::{ATTEMPTS, Attempt, LOOPS, Loop, Phase, drop_expired_calls};
use crate::checker::Specification;
use crate::store::Versioned;

pub use self::state::{Action, Run, State};

/// Bugs that can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A run whose response was lost is recorded as not run, so that a retry with the key runs again.
    RetryAfterMaybe,
    /// An attempt treats any started record as its own, without comparing the writer's token.
    WriterNotCompared,
    /// An attempt that stops waiting for an unconfirmed create does not release the key.
    NotGivenUp,
    /// A loop still creates the record after its attempt has stopped waiting.
    LoopOutlivesWait,
}

/// Bounds on the faults in one trace.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum faults in one trace: lost calls and responses, timeouts before the response arrives,
    /// lost engines and crashes of attempts.
    pub faults: u8,
    /// Maximum wrong suspicions, those of a live attempt's node, in one trace.
    pub suspicions: u8,
}

/// Specification of the at-most-once record.
#[derive(Debug, Clone)]
pub struct Once {
    /// The injected bug; `None` for the unmodified protocol.
    pub mutant: Option<Mutant>,
    /// Bounds of the exploration.
    pub limits: Limits,
}

impl Specification for Once {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let attempt = Attempt {
            phase: Phase::Idle,
            loops: [Loop::NotStarted; LOOPS],
            crashed: false,
            reported_not_run: false,
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
            drop_expired_calls(next);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let runs = state.attempts.iter().filter(|attempt| attempt.ran).count();
        let wrongly_reported = |attempt: &Attempt| attempt.reported_not_run && attempt.ran;
        let response_recorded = state.row.value.as_ref().is_some_and(|row| {
            let outcome = row.outcome.as_ref();
            // An error kind of 0 means that the outcome is a response.
            outcome.is_some_and(|outcome| outcome.kind == 0)
        });
        let message = if runs > 1 {
            "the request ran twice"
        } else if state.attempts.iter().any(wrongly_reported) {
            "an attempt that was reported as not run has run"
        } else if response_recorded && runs == 0 {
            "an answer is recorded although the request never ran"
        } else if !self.terminates(state) {
            "the key stays in progress although no attempt runs the request"
        } else {
            return None;
        };
        Some(message.to_owned())
    }

    fn coverage(&self, state: &State) -> Vec<&'static str> {
        let phase = state.row.value.as_ref().map(OnceRow::phase);
        let unknown = state.row.value.as_ref().is_some_and(|row| {
            row.outcome
                .as_ref()
                .is_some_and(|outcome| *outcome == unknown_outcome())
        });
        let gave_up = |attempt: &Attempt| attempt.phase == Phase::GivingUp;
        let conditions = [
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
        conditions
            .into_iter()
            .filter_map(|(name, holds)| holds.then_some(name))
            .collect()
    }

    fn bounds(&self) -> String {
        format!(
            "1 key, {ATTEMPTS} attempts with {LOOPS} loops each, up to {} faults and {} \
             wrong suspicions",
            self.limits.faults, self.limits.suspicions
        )
    }
}

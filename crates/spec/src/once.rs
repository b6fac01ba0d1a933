//! The at-most-once record with two concurrent attempts for one key.
//!
//! An attempt asks the recorder of its cell to create the record and, on a timeout, writes the record
//! itself with the same token, so two read-and-create loops of one attempt may run at once. An attempt
//! that stops waiting answers its caller "not run" and releases the key. The failure detector may
//! suspect the node of a live attempt, and calls may take effect after their sender timed out.

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
    /// A run whose answer was lost is recorded as not run, so that the key can run again.
    RetryAfterMaybe,
    /// An attempt treats any started record as its own.
    WriterNotCompared,
    /// An attempt does not release the key after an unconfirmed create.
    NotGivenUp,
    /// A loop still creates the record after its attempt has stopped waiting for it.
    LoopOutlivesWait,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum faults in one trace: lost calls and answers, early timeouts, lost engines, crashes.
    pub faults: u8,
    /// Maximum suspicions of a live attempt in one trace.
    pub suspicions: u8,
}

/// Specification of the protocol in this module.
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
        let answered = state.row.value.as_ref().is_some_and(|row| {
            let outcome = row.outcome.as_ref();
            outcome.is_some_and(|outcome| outcome.kind == 0)
        });
        let message = if runs > 1 {
            "the request ran twice"
        } else if state.attempts.iter().any(wrongly_reported) {
            "an attempt that was reported as not run has run"
        } else if answered && runs == 0 {
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
        let holds = [
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
        holds
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

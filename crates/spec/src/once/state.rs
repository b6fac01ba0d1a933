//! State of the record, the attempts and the network, and the actions.

use dappleyard_decide::once::OnceAttempt;
use dappleyard_wire::messages::{OnceOutcome, OnceRow};
use derive_more::Display;

use crate::store::{Delivery, Versioned};

pub(super) const ATTEMPTS: usize = 2;

pub(super) const LOOPS: usize = 2;

pub(super) const FINGERPRINT: u64 = 1;

/// Fault-free rounds within which a live protocol must terminate.
pub(super) const FAULT_FREE_ROUNDS: usize = 12;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Loop {
    NotStarted,
    /// `ambiguous`: an earlier create of this loop is unconfirmed.
    Waiting {
        ambiguous: bool,
    },
    Answered,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    Idle,
    /// Waits for its latest loop.
    Asking,
    Running,
    Settling(OnceOutcome),
    GivingUp,
    Ended,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) phase: Phase,
    pub(super) loops: [Loop; LOOPS],
    pub(super) crashed: bool,
    pub(super) reported_not_run: bool,
    pub(super) ran: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Source {
    Loop(usize),
    Settle,
    GiveUp,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Call {
    pub(super) attempt: usize,
    pub(super) source: Source,
    pub(super) next: OnceRow,
    pub(super) revision: u8,
}

/// State of the record, the attempts and the network.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) row: Versioned<Option<OnceRow>>,
    pub(super) attempts: [Attempt; ATTEMPTS],
    pub(super) calls: Vec<Call>,
    pub(super) faults: u8,
    pub(super) suspicions: u8,
}

/// Outcome of a request on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Run {
    /// It ran and answered.
    #[display("completes")]
    Completes,
    /// It was refused before it ran.
    #[display("is refused")]
    Refused,
    /// It ran and the answer was lost.
    #[display("runs, answer lost")]
    AnswerLost,
    /// It did not run, but the node cannot tell.
    #[display("lost before it ran")]
    Lost,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// An attempt starts its first or second loop.
    #[display("attempt {attempt} starts loop {loop_index}")]
    Ask {
        /// The attempt.
        attempt: usize,
        /// Loop index: 0 through the recorder of the cell, 1 directly to the store.
        loop_index: usize,
    },
    /// The network delivers or loses a call to the store.
    #[display("call {index} is {delivery}")]
    Network {
        /// Index of the call.
        index: usize,
        /// Outcome of the call.
        delivery: Delivery,
    },
    /// The store rejects a call, and the sender learns it.
    #[display("call {index} is rejected by the store")]
    Unavailable {
        /// Index of the call.
        index: usize,
    },
    /// A loop times out waiting for the store and reads the record.
    #[display("loop {loop_index} of attempt {attempt} times out and reads the record")]
    ReadBack {
        /// The attempt.
        attempt: usize,
        /// Loop index.
        loop_index: usize,
    },
    /// An attempt stops waiting and answers its caller "not run".
    #[display("attempt {attempt} gives up")]
    GiveUp {
        /// The attempt.
        attempt: usize,
    },
    /// An attempt runs the request on an engine.
    #[display("attempt {attempt} runs the request: {run}")]
    Start {
        /// The attempt.
        attempt: usize,
        /// Outcome on the engine.
        run: Run,
    },
    /// An attempt sends or resends its settlement or release.
    #[display("attempt {attempt} writes the record")]
    Write {
        /// The attempt.
        attempt: usize,
    },
    /// An attempt suspects the writer of the record and settles it as unknown.
    #[display("attempt {attempt} suspects the writer")]
    SettleUnknown {
        /// The attempt.
        attempt: usize,
    },
    /// The node of an attempt crashes.
    #[display("the node of attempt {attempt} crashes")]
    Crash {
        /// The attempt.
        attempt: usize,
    },
}

pub(super) fn once_attempt(attempt: usize) -> OnceAttempt {
    OnceAttempt {
        request_id: attempt.to_string(),
        fingerprint: FINGERPRINT,
        writer: attempt.to_string(),
        now_unix_ms: 0,
    }
}

pub(super) fn start(attempt: usize, run: Run) -> Action {
    Action::Start { attempt, run }
}

pub(super) fn has_crashed(state: &State, writer: &str) -> bool {
    writer
        .parse::<usize>()
        .is_ok_and(|attempt| state.attempts[attempt].crashed)
}

pub(super) fn send_call(
    state: &mut State,
    attempt: usize,
    source: Source,
    next: OnceRow,
    revision: u8,
) {
    state.calls.push(Call {
        attempt,
        source,
        next,
        revision,
    });
}

/// Ends a loop and, if the attempt still waits for it, sets the phase; returns whether it did.
pub(super) fn finish_loop(
    state: &mut State,
    attempt: usize,
    loop_index: usize,
    phase: Phase,
) -> bool {
    let this = &mut state.attempts[attempt];
    this.loops[loop_index] = Loop::Answered;
    let is_waiting_for = is_waiting_for(this, loop_index);
    if is_waiting_for {
        this.phase = phase;
    }
    is_waiting_for
}

pub(super) fn is_waiting_for(attempt: &Attempt, loop_index: usize) -> bool {
    let latest = loop_index + 1 == LOOPS || attempt.loops[loop_index + 1] == Loop::NotStarted;
    latest && attempt.phase == Phase::Asking
}

/// Drops calls in flight that can neither take effect nor be answered, to reduce the state space.
pub(super) fn drop_expired_calls(state: &mut State) {
    let (revision, attempts) = (state.row.revision, &state.attempts);
    state.calls.retain(|call| {
        let this = &attempts[call.attempt];
        let waits = match call.source {
            Source::Loop(loop_index) => matches!(this.loops[loop_index], Loop::Waiting { .. }),
            Source::Settle | Source::GiveUp => false,
        };
        waits || call.revision == revision
    });
}

//! State of the record, the attempts and the network, and the names of the steps.

use dappleyard_decide::once::OnceAttempt;
use dappleyard_wire::messages::{OnceOutcome, OnceRow};
use derive_more::Display;

use crate::store::{Delivery, Versioned};

pub(super) const ATTEMPTS: usize = 2;

pub(super) const LOOPS: usize = 2;

pub(super) const FINGERPRINT: u64 = 1;

/// Rounds after which a protocol that can still finish has done so, when nothing fails any more.
pub(super) const HEALING_ROUNDS: usize = 12;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Loop {
    NotBegun,
    /// `ambiguous`: an earlier create of this loop was not confirmed.
    Waiting {
        ambiguous: bool,
    },
    Answered,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    Idle,
    /// Waits for the answer of its latest loop.
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
    pub(super) told_not_run: bool,
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

/// State of the record, the attempts and the network, and what has been observed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) row: Versioned<Option<OnceRow>>,
    pub(super) attempts: [Attempt; ATTEMPTS],
    pub(super) calls: Vec<Call>,
    pub(super) faults: u8,
    pub(super) suspicions: u8,
}

/// What an engine did with the request.
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
    /// It did not run, which the node cannot know.
    #[display("lost before it ran")]
    Lost,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// An attempt begins to ask for the record, or asks by its second way.
    #[display("attempt {attempt} asks by way {way}")]
    Ask {
        /// The attempt.
        attempt: usize,
        /// 0 for the recorder of the cell, 1 for the store itself.
        way: usize,
    },
    /// The network treats a call to the store.
    #[display("call {index} is {delivery}")]
    Network {
        /// Which call.
        index: usize,
        /// What becomes of it.
        delivery: Delivery,
    },
    /// The store is known to have refused a call.
    #[display("call {index} is refused by the store")]
    Unavailable {
        /// Which call.
        index: usize,
    },
    /// A loop stops waiting for the store and reads back.
    #[display("way {way} of attempt {attempt} reads back")]
    ReadBack {
        /// The attempt.
        attempt: usize,
        /// Which loop.
        way: usize,
    },
    /// An attempt stops waiting and refuses its caller.
    #[display("attempt {attempt} gives up")]
    GiveUp {
        /// The attempt.
        attempt: usize,
    },
    /// An attempt has the request run.
    #[display("attempt {attempt} runs the request: {run}")]
    Start {
        /// The attempt.
        attempt: usize,
        /// What the engine did.
        run: Run,
    },
    /// An attempt sends its settlement or its release again or for the first time.
    #[display("attempt {attempt} writes the record")]
    Write {
        /// The attempt.
        attempt: usize,
    },
    /// An attempt believes the writer of the record gone, and settles it as unknown.
    #[display("attempt {attempt} believes the writer gone")]
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

pub(super) fn asker(attempt: usize) -> OnceAttempt {
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

pub(super) fn is_gone(state: &State, writer: &str) -> bool {
    writer
        .parse::<usize>()
        .is_ok_and(|attempt| state.attempts[attempt].crashed)
}

pub(super) fn send(state: &mut State, attempt: usize, source: Source, next: OnceRow, revision: u8) {
    state.calls.push(Call {
        attempt,
        source,
        next,
        revision,
    });
}

/// Ends a loop and, when the attempt still listens to it, moves the attempt on; says whether it did.
pub(super) fn answer(state: &mut State, attempt: usize, way: usize, phase: Phase) -> bool {
    let this = &mut state.attempts[attempt];
    this.loops[way] = Loop::Answered;
    let listens = listens(this, way);
    if listens {
        this.phase = phase;
    }
    listens
}

pub(super) fn listens(attempt: &Attempt, way: usize) -> bool {
    let latest = way + 1 == LOOPS || attempt.loops[way + 1] == Loop::NotBegun;
    latest && attempt.phase == Phase::Asking
}

/// Drops calls that can neither take effect nor be answered.
pub(super) fn forget_spent_calls(state: &mut State) {
    let (revision, attempts) = (state.row.revision, &state.attempts);
    state.calls.retain(|call| {
        let this = &attempts[call.attempt];
        let waits = match call.source {
            Source::Loop(way) => matches!(this.loops[way], Loop::Waiting { .. }),
            Source::Settle | Source::GiveUp => false,
        };
        waits || call.revision == revision
    });
}

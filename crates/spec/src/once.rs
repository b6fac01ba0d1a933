//! The at-most-once record with two attempts under one key.
//!
//! An attempt asks the recorder of its cell for the record and, when that does not answer in time,
//! writes the record itself, with the same token: two loops of reading and creating may run at once.
//! An attempt that stops waiting refuses its caller with "not run" and gives the key up. Membership
//! may wrongly believe the node of an attempt gone; calls may take effect after their sender has
//! given up on them.

use dappleyard_decide::once::{
    OnceAttempt, OnceDecision, decide, give_up, may_settle, settle, unknown_outcome,
};
use dappleyard_wire::ErrorKind;
use dappleyard_wire::messages::{OnceOutcome, OncePhase, OnceRow, Ran};
use derive_more::Display;

use crate::checker::Specification;
use crate::store::{Delivery, Versioned};

const ATTEMPTS: usize = 2;
const LOOPS: usize = 2;
const FINGERPRINT: u64 = 1;
/// Rounds after which a protocol that can still finish has done so, when nothing fails any more.
const HEALING_ROUNDS: usize = 12;

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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Loop {
    NotBegun,
    /// `ambiguous`: an earlier create of this loop was not confirmed.
    Waiting {
        ambiguous: bool,
    },
    Answered,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// Waits for the answer of its latest loop.
    Asking,
    Running,
    Settling(OnceOutcome),
    GivingUp,
    Ended,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Attempt {
    phase: Phase,
    loops: [Loop; LOOPS],
    crashed: bool,
    told_not_run: bool,
    ran: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Source {
    Loop(usize),
    Settle,
    GiveUp,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Call {
    attempt: usize,
    source: Source,
    next: OnceRow,
    revision: u8,
}

/// State of the record, the attempts and the network, and what has been observed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    row: Versioned<Option<OnceRow>>,
    attempts: [Attempt; ATTEMPTS],
    calls: Vec<Call>,
    faults: u8,
    suspicions: u8,
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

impl Once {
    /// One round of a loop: decides on the record as read and sends a create, or answers.
    fn round(&self, state: &mut State, attempt: usize, way: usize, ambiguous: bool, first: bool) {
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
    fn may_create(&self, attempt: &Attempt, way: usize) -> bool {
        listens(attempt, way) || self.mutant == Some(Mutant::LoopOutlivesWait)
    }

    fn deliver(&self, state: &mut State, index: usize, delivery: Delivery) {
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
    fn refuse(&self, state: &mut State, index: usize) {
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

    fn phase_when_refused(&self, unconfirmed: bool) -> Phase {
        if unconfirmed && self.mutant != Some(Mutant::NotGivenUp) {
            Phase::GivingUp
        } else {
            Phase::Ended
        }
    }

    fn start(&self, state: &mut State, attempt: usize, run: Run) {
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
    fn write(&self, state: &mut State, attempt: usize) {
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
    fn finishes(&self, state: &State) -> bool {
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

    fn proceed(&self, state: &mut State, attempt: usize) {
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

    fn steps_of_attempt(&self, state: &State, attempt: usize, steps: &mut Vec<(Action, State)>) {
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
            Phase::Idle => step(Action::Ask { attempt, way: 0 }, false, &|next| {
                next.attempts[attempt].phase = Phase::Asking;
                self.round(next, attempt, 0, false, true);
            }),
            Phase::Asking => {
                if this.loops[1] == Loop::NotBegun {
                    step(Action::Ask { attempt, way: 1 }, true, &|next| {
                        self.round(next, attempt, 1, false, true);
                    });
                }
                step(Action::GiveUp { attempt }, true, &|next| {
                    next.attempts[attempt].told_not_run = true;
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
        for way in 0..LOOPS {
            if matches!(this.loops[way], Loop::Waiting { .. }) {
                let source = Source::Loop(way);
                let early = state
                    .calls
                    .iter()
                    .any(|call| call.attempt == attempt && call.source == source);
                step(Action::ReadBack { attempt, way }, early, &|next| {
                    self.round(next, attempt, way, true, false);
                });
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

    /// An attempt that finds the record started by another, which it believes gone.
    fn steps_of_suspicion(&self, state: &State, attempt: usize, steps: &mut Vec<(Action, State)>) {
        let Some(row) = &state.row.value else { return };
        let this = &state.attempts[attempt];
        let asks = matches!(this.phase, Phase::Asking | Phase::Ended) && !this.crashed;
        let other = row.writer != asker(attempt).writer;
        let sent = state
            .calls
            .iter()
            .any(|call| call.attempt == attempt && call.source == Source::Settle);
        if !asks || !other || sent || row.phase() != OncePhase::OnceStarted {
            return;
        }
        let gone = is_gone(state, &row.writer);
        if gone || state.suspicions < self.limits.suspicions {
            let mut next = state.clone();
            next.suspicions += u8::from(!gone);
            let unknown = settle(row, unknown_outcome());
            let revision = next.row.revision;
            send(&mut next, attempt, Source::Settle, unknown, revision);
            steps.push((Action::SettleUnknown { attempt }, next));
        }
    }

    fn steps_of_network(&self, state: &State, steps: &mut Vec<(Action, State)>) {
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

fn asker(attempt: usize) -> OnceAttempt {
    OnceAttempt {
        request_id: attempt.to_string(),
        fingerprint: FINGERPRINT,
        writer: attempt.to_string(),
        now_unix_ms: 0,
    }
}

fn start(attempt: usize, run: Run) -> Action {
    Action::Start { attempt, run }
}

fn is_gone(state: &State, writer: &str) -> bool {
    writer
        .parse::<usize>()
        .is_ok_and(|attempt| state.attempts[attempt].crashed)
}

fn send(state: &mut State, attempt: usize, source: Source, next: OnceRow, revision: u8) {
    state.calls.push(Call {
        attempt,
        source,
        next,
        revision,
    });
}

/// Ends a loop and, when the attempt still listens to it, moves the attempt on; says whether it did.
fn answer(state: &mut State, attempt: usize, way: usize, phase: Phase) -> bool {
    let this = &mut state.attempts[attempt];
    this.loops[way] = Loop::Answered;
    let listens = listens(this, way);
    if listens {
        this.phase = phase;
    }
    listens
}

fn listens(attempt: &Attempt, way: usize) -> bool {
    let latest = way + 1 == LOOPS || attempt.loops[way + 1] == Loop::NotBegun;
    latest && attempt.phase == Phase::Asking
}

/// Drops calls that can neither take effect nor be answered.
fn forget_spent_calls(state: &mut State) {
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

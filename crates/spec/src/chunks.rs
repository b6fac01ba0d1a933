//! Claim, takeover, hand-back, commit and cancel of one batch chunk by two nodes.
//!
//! A chunk of a holder that is believed gone is opened again under a higher epoch, and then claimed
//! like any other. An item that must not repeat is marked in the chunk row before it is started.
//!
//! A node that takes no step for a while is a paused holder; a wrong suspicion may come at any time;
//! a call may take effect long after its sender has given up on it.

use std::collections::BTreeSet;

use dappleyard_decide::chunks::{
    ChunkResult, ClaimDecision, Claimant, CommitDecision, claim, commit, mark_started,
    may_start_item, reopen,
};
use dappleyard_wire::messages::{ChunkPhase, ChunkRow, JobRow, Repeat};
use derive_more::Display;

use crate::checker::Specification;
use crate::store::{Delivery, Versioned};

const NODES: usize = 2;
/// Rounds after which a protocol that can still finish has done so, when nothing fails any more.
const HEALING_ROUNDS: usize = 12;

/// Plausible mistakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A commit does not compare the epoch under which the result was made.
    EpochNotCompared,
    /// An item that may have run is started again.
    RetryAfterMaybe,
    /// A takeover forgets that items may have been started.
    TakeoverForgetsStart,
    /// An item is started before its mark stands in the row.
    StartedBeforeMark,
    /// A commit does not compare the job row.
    CancelNotCompared,
}

/// How far the exploration goes.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Lost calls, lost answers, early time-outs, lost engines and crashes in one run.
    pub faults: u8,
    /// Suspicions of a holder that is alive.
    pub suspicions: u8,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Chunks {
    /// Whether the items of the chunk may be run more than once.
    pub repeat: Repeat,
    /// The mistake to make; `None` for the protocol as it is.
    pub mutant: Option<Mutant>,
    /// How far to explore.
    pub limits: Limits,
}

/// What became of the item of the chunk on one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Item {
    /// Not started by this holder under this epoch.
    NotStarted,
    /// Completed.
    Completed,
    /// Settled as `outcome_unknown`.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Work {
    Idle,
    Claiming {
        next: ChunkRow,
    },
    Holding {
        row: Versioned<ChunkRow>,
        item: Item,
    },
    Marking {
        row: Versioned<ChunkRow>,
    },
    Committing {
        row: Versioned<ChunkRow>,
        item: Item,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    incarnation: u64,
    work: Work,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Change {
    Claim,
    Mark,
    Reopen,
    Commit { job_revision: u8, item: Item },
}

/// A call to the store that is on its way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Call {
    node: usize,
    incarnation: u64,
    next: ChunkRow,
    revision: u8,
    change: Change,
}

/// State of the store, the nodes and the network, and what has been observed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    row: Versioned<ChunkRow>,
    /// Whether the job is cancelled.
    job: Versioned<bool>,
    /// Epochs under which a result object was written.
    objects: BTreeSet<u64>,
    nodes: [Node; NODES],
    calls: Vec<Call>,
    runs: u8,
    faults: u8,
    suspicions: u8,
    flaw: Option<&'static str>,
}

/// What an engine did with the item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Run {
    /// It ran and answered.
    #[display("completes")]
    Completes,
    /// It ran and the answer was lost.
    #[display("runs, answer lost")]
    AnswerLost,
    /// It did not run, which the node cannot know.
    #[display("lost before it ran")]
    Lost,
}

/// Why a chunk is opened again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// Its holder has restarted.
    #[display("its holder has restarted")]
    Restarted,
    /// Its holder is believed gone, and is not.
    #[display("its holder is wrongly believed gone")]
    Suspected,
    /// The row names the node itself, which does not know of it: a claim took effect late.
    #[display("it is its own without its knowing")]
    Unknown,
    /// The holder gives it back.
    #[display("it gives it back")]
    HandBack,
}

/// One step.
#[derive(Debug, Clone, Display)]
pub enum Action {
    /// A node reads the open row and sends a claim.
    #[display("node {node} claims")]
    Claim {
        /// The node.
        node: usize,
    },
    /// A node opens a chunk again that is claimed.
    #[display("node {node} opens the chunk again: {why}")]
    Reopen {
        /// The node.
        node: usize,
        /// Its reason.
        why: Reason,
    },
    /// A holder marks the item as started.
    #[display("node {node} marks the item")]
    Mark {
        /// The node.
        node: usize,
    },
    /// The network treats the oldest or a later call.
    #[display("call {index} is {delivery}")]
    Network {
        /// Which call.
        index: usize,
        /// What becomes of it.
        delivery: Delivery,
    },
    /// A node gives up waiting for the store and reads the row back.
    #[display("node {node} stops waiting and reads back")]
    TimeOut {
        /// The node.
        node: usize,
    },
    /// A node has the item run.
    #[display("node {node} starts the item: {run}")]
    Start {
        /// The node.
        node: usize,
        /// What the engine did.
        run: Run,
    },
    /// A node settles an item, which it must not start, as unknown.
    #[display("node {node} settles the item as unknown")]
    SettleUnknown {
        /// The node.
        node: usize,
    },
    /// A node writes its result object, reads both rows and sends the commit.
    #[display("node {node} commits")]
    Commit {
        /// The node.
        node: usize,
    },
    /// The job is cancelled.
    #[display("the job is cancelled")]
    Cancel,
    /// Objects of epochs below that of the row are removed.
    #[display("objects of old epochs are collected")]
    Collect,
    /// A node crashes and starts again.
    #[display("node {node} crashes and restarts")]
    Crash {
        /// The node.
        node: usize,
    },
}

impl Chunks {
    fn claim(&self, state: &mut State, node: usize) -> bool {
        let decision = claim(&state.row.value, &claimant(state, node), false);
        let ClaimDecision::Write(next) = decision else {
            return false;
        };
        let revision = state.row.revision;
        send(state, node, next.clone(), revision, Change::Claim);
        state.nodes[node].work = Work::Claiming { next };
        true
    }

    /// Sends the opening of a claimed chunk and forgets the chunk; `revision` is what the row is
    /// expected to be at.
    fn reopen(
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
        send(state, node, next, row.revision, Change::Reopen);
        state.nodes[node].work = Work::Idle;
        true
    }

    /// Why an idle node may open the chunk again, if it may.
    fn reason(&self, state: &State, node: usize) -> Option<Reason> {
        let row = &state.row.value;
        let holder = (0..NODES).find(|other| row.holder == name(*other))?;
        if row.holder_incarnation < state.nodes[holder].incarnation {
            Some(Reason::Restarted)
        } else if holder == node {
            Some(Reason::Unknown)
        } else {
            (state.suspicions < self.limits.suspicions).then_some(Reason::Suspected)
        }
    }

    fn may_start(&self, row: &ChunkRow, item: Item) -> bool {
        item == Item::NotStarted
            && (self.repeat == Repeat::Allowed || may_start_item(row, 0) || is_marked(row))
    }

    /// Whether the item must be marked before it is started.
    fn must_mark(&self, row: &ChunkRow) -> bool {
        let skipped = self.mutant == Some(Mutant::StartedBeforeMark);
        self.repeat == Repeat::Never && !is_marked(row) && !skipped
    }

    fn mark(state: &mut State, node: usize) {
        if let Work::Holding { row, .. } = state.nodes[node].work.clone() {
            let next = mark_started(&row.value, 0);
            send(state, node, next, row.revision, Change::Mark);
            state.nodes[node].work = Work::Marking { row };
        }
    }

    fn start(&self, state: &mut State, node: usize, run: Run) {
        let Work::Holding { item, .. } = &mut state.nodes[node].work else {
            return;
        };
        let again = self.repeat == Repeat::Allowed || self.mutant == Some(Mutant::RetryAfterMaybe);
        *item = match run {
            Run::Completes => Item::Completed,
            Run::AnswerLost | Run::Lost if again => Item::NotStarted,
            Run::AnswerLost | Run::Lost => Item::Unknown,
        };
        if run != Run::Lost {
            let most = if self.repeat == Repeat::Never { 2 } else { 1 };
            state.runs = (state.runs + 1).min(most);
        }
    }

    fn commit(&self, state: &mut State, node: usize) {
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
                send(state, node, next, current.revision, change);
                Work::Committing { row, item }
            }
            CommitDecision::AlreadyCommitted
            | CommitDecision::Fenced
            | CommitDecision::Cancelled => Work::Idle,
        };
    }

    fn deliver(&self, state: &mut State, index: usize, delivery: Delivery) {
        let call = state.calls.remove(index);
        if delivery == Delivery::Lost {
            return;
        }
        let done = self.take_effect(state, &call);
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
            // A conflict may be with a call of its own that took effect earlier.
            _ => read_back(state, call.node),
        }
    }

    fn take_effect(&self, state: &mut State, call: &Call) -> bool {
        if let Change::Commit { job_revision, item } = call.change {
            let compared = self.mutant != Some(Mutant::CancelNotCompared);
            if compared && state.job.revision != job_revision {
                return false;
            }
            return apply_commit(state, call, item);
        }
        state.row.compare_and_swap(call.revision, call.next.clone())
    }

    /// Whether the chunk is settled once every call is answered and nothing fails any more.
    fn finishes(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..HEALING_ROUNDS {
            if state.job.value || state.row.value.phase() == ChunkPhase::ChunkDone {
                return true;
            }
            while !state.calls.is_empty() {
                self.deliver(&mut state, 0, Delivery::Answered);
            }
            for node in 0..NODES {
                self.proceed(&mut state, node);
            }
        }
        false
    }

    fn proceed(&self, state: &mut State, node: usize) {
        match state.nodes[node].work.clone() {
            Work::Idle if self.claim(state, node) => {}
            Work::Idle => {
                let reason = self.reason(state, node);
                let row = state.row.clone();
                if reason.is_some_and(|reason| reason != Reason::Suspected) {
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

    fn steps_of_node(&self, state: &State, node: usize, steps: &mut Vec<(Action, State)>) {
        let faults_left = state.faults < self.limits.faults;
        match &state.nodes[node].work {
            Work::Idle => self.steps_of_idle(state, node, steps),
            Work::Claiming { .. } | Work::Marking { .. } | Work::Committing { .. } => {
                let early = state.calls.iter().any(|call| call.node == node);
                if !early || faults_left {
                    let mut next = state.clone();
                    next.faults += u8::from(early);
                    read_back(&mut next, node);
                    steps.push((Action::TimeOut { node }, next));
                }
            }
            Work::Holding { row, item } => self.steps_of_holder(state, node, row, *item, steps),
        }
        if faults_left {
            let mut next = state.clone();
            next.faults += 1;
            next.nodes[node].incarnation += 1;
            next.nodes[node].work = Work::Idle;
            steps.push((Action::Crash { node }, next));
        }
    }

    /// Chunks of a cancelled job are neither claimed nor opened: a node reads the job row too.
    fn steps_of_idle(&self, state: &State, node: usize, steps: &mut Vec<(Action, State)>) {
        let opening = |call: &Call| call.node == node && call.change == Change::Reopen;
        if state.job.value || state.calls.iter().any(opening) {
            return;
        }
        let mut next = state.clone();
        if self.claim(&mut next, node) {
            steps.push((Action::Claim { node }, next));
            return;
        }
        let Some(why) = self.reason(state, node) else {
            return;
        };
        let mut next = state.clone();
        next.suspicions += u8::from(why == Reason::Suspected);
        if self.reopen(&mut next, node, &state.row, true) {
            steps.push((Action::Reopen { node, why }, next));
        }
    }

    fn steps_of_holder(
        &self,
        state: &State,
        node: usize,
        row: &Versioned<ChunkRow>,
        item: Item,
        steps: &mut Vec<(Action, State)>,
    ) {
        let faults_left = state.faults < self.limits.faults;
        let mut next = state.clone();
        if !self.may_start(&row.value, item) {
            if item == Item::NotStarted {
                settle_unknown(&mut next, node, row.clone());
                steps.push((Action::SettleUnknown { node }, next));
            } else {
                self.commit(&mut next, node);
                steps.push((Action::Commit { node }, next));
            }
            return;
        }
        let mut given_back = state.clone();
        given_back.faults += 1;
        if faults_left && self.reopen(&mut given_back, node, row, false) {
            let why = Reason::HandBack;
            steps.push((Action::Reopen { node, why }, given_back));
        }
        if self.must_mark(&row.value) {
            Self::mark(&mut next, node);
            steps.push((Action::Mark { node }, next));
            return;
        }
        for run in [Run::Completes, Run::AnswerLost, Run::Lost] {
            if run == Run::Completes || faults_left {
                let mut next = state.clone();
                next.faults += u8::from(run != Run::Completes);
                self.start(&mut next, node, run);
                steps.push((Action::Start { node, run }, next));
            }
        }
    }

    fn steps_of_network(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        for index in 0..state.calls.len() {
            for delivery in Delivery::ALL {
                let fault = delivery != Delivery::Answered;
                if fault && state.faults >= self.limits.faults {
                    continue;
                }
                let mut next = state.clone();
                next.faults += u8::from(fault);
                self.deliver(&mut next, index, delivery);
                steps.push((Action::Network { index, delivery }, next));
            }
        }
    }
}

impl Specification for Chunks {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let mut row = ChunkRow::default();
        row.set_repeat(self.repeat);
        let node = Node {
            incarnation: 1,
            work: Work::Idle,
        };
        State {
            row: Versioned {
                value: row,
                revision: 0,
            },
            job: Versioned::default(),
            objects: BTreeSet::new(),
            nodes: [node.clone(), node],
            calls: Vec::new(),
            runs: 0,
            faults: 0,
            suspicions: 0,
            flaw: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        for node in 0..NODES {
            self.steps_of_node(state, node, &mut steps);
        }
        self.steps_of_network(state, &mut steps);
        if !state.job.value {
            let mut next = state.clone();
            next.job.write(true);
            steps.push((Action::Cancel, next));
        }
        let epoch = state.row.value.epoch;
        if state.objects.iter().any(|object| *object < epoch) {
            let mut next = state.clone();
            next.objects.retain(|object| *object >= epoch);
            steps.push((Action::Collect, next));
        }
        for (_, next) in &mut steps {
            forget_spent_calls(next);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(flaw) = state.flaw {
            return Some(flaw.to_owned());
        }
        if self.repeat == Repeat::Never && state.runs > 1 {
            return Some("an item that must not repeat ran twice".to_owned());
        }
        if !self.finishes(state) {
            return Some("the chunk is never finished, though nothing fails any more".to_owned());
        }
        None
    }

    fn situations(&self, state: &State) -> Vec<&'static str> {
        let row = &state.row.value;
        let stale = state.nodes.iter().any(
            |node| matches!(&node.work, Work::Holding { row: held, .. } if held.value.epoch < row.epoch),
        );
        let seen = [
            ("done", row.phase() == ChunkPhase::ChunkDone),
            ("cancelled", state.job.value),
            ("taken over", row.epoch > 1),
            ("stale holder", stale),
            ("settled as unknown", row.failed > 0),
            ("call outlives its sender", outlived(state)),
        ];
        seen.into_iter()
            .filter_map(|(name, seen)| seen.then_some(name))
            .collect()
    }

    fn bounds(&self) -> String {
        format!(
            "1 chunk of 1 item, repeat {:?}, {NODES} nodes, up to {} faults and {} wrong suspicions",
            self.repeat, self.limits.faults, self.limits.suspicions
        )
    }
}

fn name(node: usize) -> String {
    node.to_string()
}

fn claimant(state: &State, node: usize) -> Claimant {
    Claimant {
        node: name(node),
        incarnation: state.nodes[node].incarnation,
    }
}

fn is_marked(row: &ChunkRow) -> bool {
    !row.maybe_started && row.started_items != 0
}

fn send(state: &mut State, node: usize, next: ChunkRow, revision: u8, change: Change) {
    state.calls.push(Call {
        node,
        incarnation: state.nodes[node].incarnation,
        next,
        revision,
        change,
    });
}

fn apply_commit(state: &mut State, call: &Call, item: Item) -> bool {
    let was_done = state.row.value.phase() == ChunkPhase::ChunkDone;
    if !state.row.compare_and_swap(call.revision, call.next.clone()) {
        return false;
    }
    let object = call.next.result_object.parse().unwrap_or_default();
    if was_done {
        state.flaw = Some("a committed result was replaced");
    } else if state.job.value {
        state.flaw = Some("a result was committed after the cancel");
    } else if !state.objects.contains(&object) {
        state.flaw = Some("a committed result cannot be read");
    } else if item == Item::Completed && state.runs == 0 {
        state.flaw = Some("an item is completed that never ran");
    }
    true
}

/// What a node does after an ambiguous answer or a conflict: it reads the row, and holds the chunk if
/// its own claim is what stands there. A mark that stands is taken for its own, since only the holder
/// writes marks under its epoch; a commit is decided afresh.
fn read_back(state: &mut State, node: usize) {
    let row = state.row.clone();
    let claimed = row.value.phase() == ChunkPhase::ChunkClaimed;
    let item = Item::NotStarted;
    state.nodes[node].work = match state.nodes[node].work.clone() {
        Work::Claiming { next } if row.value == next => Work::Holding { row, item },
        Work::Marking { row: held } if claimed && held.value.epoch == row.value.epoch => {
            Work::Holding { row, item }
        }
        Work::Claiming { .. } | Work::Marking { .. } => Work::Idle,
        Work::Committing { row, item } => Work::Holding { row, item },
        other => other,
    };
}

fn settle_unknown(state: &mut State, node: usize, row: Versioned<ChunkRow>) {
    let item = Item::Unknown;
    state.nodes[node].work = Work::Holding { row, item };
}

/// Drops calls that can neither take effect nor be answered: the row has moved on, and nobody waits.
fn forget_spent_calls(state: &mut State) {
    let (row, job, nodes) = (state.row.revision, state.job.revision, &state.nodes);
    state.calls.retain(|call| {
        let node = &nodes[call.node];
        let waits = node.incarnation == call.incarnation
            && !matches!(node.work, Work::Idle | Work::Holding { .. });
        let spent = match call.change {
            Change::Claim | Change::Mark | Change::Reopen => call.revision != row,
            Change::Commit { job_revision, .. } => call.revision != row || job_revision != job,
        };
        waits || !spent
    });
}

fn outlived(state: &State) -> bool {
    state.calls.iter().any(|call| {
        let node = &state.nodes[call.node];
        node.incarnation != call.incarnation || matches!(node.work, Work::Idle)
    })
}

//! Acceptance, claim, commit and end of a job on the row store.
//!
//! Two nodes share one row. A call to the store may be refused, lost, applied without an answer, or
//! applied later if its condition still holds. A node retries an in-doubt call unchanged. Any node may
//! claim the job at any time, so a paused owner may resume after it was replaced. The caller submits
//! the job at most twice, reads results and ends the job.

use derive_more::Display;

use crate::checker::Specification;
use crate::store::Versioned;

const NODES: usize = 2;
const ITEMS: u8 = 2;
const SUBMISSIONS: u8 = 2;

/// Bugs that can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A node answers "not run" although a call to the store is in doubt.
    DoubtForgotten,
    /// An acceptance overwrites an existing job.
    AbsenceNotCompared,
    /// A commit does not compare the row's revision.
    RevisionNotCompared,
    /// An owner whose commit fails continues with the row as found, even if the job has ended.
    EndNotCompared,
}

/// Specification of the protocol in this module.
#[derive(Debug, Clone)]
pub struct Jobs {
    /// The injected bug; `None` for the unmodified protocol.
    pub mutant: Option<Mutant>,
    /// Maximum faults in one trace: refused, lost and delayed calls, crashes.
    pub faults: u8,
    /// Maximum claims in one trace.
    pub claims: u8,
}

/// The row of the job.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Row {
    owner: usize,
    incarnation: u8,
    epoch: u8,
    committed: Vec<u8>,
    ended: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum CallKind {
    Accept,
    Commit,
    Claim,
    End,
}

/// A conditional write that a node has sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Call {
    kind: CallKind,
    expected: u8,
    next: Row,
    in_doubt: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Node {
    incarnation: u8,
    owned: Option<Versioned<Row>>,
    call: Option<Call>,
}

/// The answer to one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Reported {
    Accepted,
    NotRun,
    Unanswered,
}

/// State of the row, the nodes, the network and the caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    row: Versioned<Option<Row>>,
    nodes: [Node; NODES],
    delayed: Vec<Call>,
    submitted: u8,
    reported: Vec<Reported>,
    read_results: Vec<u8>,
    committed_at_end: Option<usize>,
    faults: u8,
    claims: u8,
}

/// Outcome of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CallOutcome {
    /// It is applied and answered.
    #[display("answered")]
    Answered,
    /// It is not applied, and the node learns it.
    #[display("refused")]
    Refused,
    /// It is not applied, and the node cannot tell.
    #[display("lost")]
    Lost,
    /// It is applied, and the node cannot tell.
    #[display("done without an answer")]
    AnswerLost,
    /// It may be applied later, and the node cannot tell.
    #[display("late")]
    Late,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// The caller submits the job.
    #[display("the caller sends the job to node {_0}")]
    Submit(usize),
    /// A call of a node is answered or fails.
    #[display("the call of node {node} is {outcome}")]
    Deliver {
        /// The node.
        node: usize,
        /// Outcome of the call.
        outcome: CallOutcome,
    },
    /// A delayed call reaches the store.
    #[display("late call {_0} reaches the store")]
    Late(usize),
    /// A node gives up an acceptance or an end and answers the caller.
    #[display("node {_0} gives its call up")]
    GiveUp(usize),
    /// A node runs an uncommitted item and sends its commit.
    #[display("node {node} commits item {item}")]
    Commit {
        /// The node.
        node: usize,
        /// The item.
        item: u8,
    },
    /// A node sends a claim of the job.
    #[display("node {_0} claims the job")]
    Claim(usize),
    /// The caller asks a node to end the job.
    #[display("node {_0} is asked to end the job")]
    End(usize),
    /// The caller reads all results.
    #[display("the caller reads the results")]
    Read,
    /// A node's process is killed and starts again.
    #[display("node {_0} is killed and starts again")]
    Crash(usize),
}

impl Jobs {
    fn apply(&self, state: &mut State, call: &Call) -> bool {
        let unchecked = match call.kind {
            CallKind::Accept => self.mutant == Some(Mutant::AbsenceNotCompared),
            CallKind::Commit => self.mutant == Some(Mutant::RevisionNotCompared),
            CallKind::Claim | CallKind::End => false,
        };
        let next = Some(call.next.clone());
        if unchecked {
            state.row.write(next);
            return true;
        }
        state.row.compare_and_swap(call.expected, next)
    }

    fn handle_answer(&self, state: &mut State, node: usize, call: &Call, done: bool) {
        let found = state.row.clone();
        let owned = Versioned {
            value: call.next.clone(),
            revision: found.revision,
        };
        match (call.kind, done) {
            (CallKind::Accept, true) => {
                state.nodes[node].owned = Some(owned);
                state.reported.push(Reported::Accepted);
            }
            // The row exists, so the job is accepted whichever node wrote it.
            (CallKind::Accept, false) => state.reported.push(Reported::Accepted),
            (CallKind::Commit | CallKind::Claim, true) => state.nodes[node].owned = Some(owned),
            (CallKind::Commit, false) => self.commit_failed(state, node, call),
            (CallKind::Claim, false) => {}
            (CallKind::End, true) => state.committed_at_end = Some(call.next.committed.len()),
            (CallKind::End, false) => {
                if let Some(row) = found.value.filter(|row| row.ended) {
                    state.committed_at_end = Some(row.committed.len());
                }
            }
        }
    }

    fn commit_failed(&self, state: &mut State, node: usize, call: &Call) {
        let found = state.row.clone();
        let Some(row) = found.value else {
            state.nodes[node].owned = None;
            return;
        };
        let own = state.nodes[node].owned.as_ref().map(|owned| &owned.value);
        let ignores_end = self.mutant == Some(Mutant::EndNotCompared);
        let still_owned = row == call.next
            || own == Some(&row)
            || (ignores_end
                && row.owner == call.next.owner
                && row.incarnation == call.next.incarnation);
        state.nodes[node].owned = still_owned.then_some(Versioned {
            value: Row {
                ended: false,
                ..row
            },
            revision: found.revision,
        });
    }

    fn deliver(&self, state: &State, node: usize, outcome: CallOutcome) -> State {
        let mut next = state.clone();
        let Some(mut call) = next.nodes[node].call.take() else {
            return next;
        };
        next.faults += u8::from(outcome != CallOutcome::Answered);
        match outcome {
            CallOutcome::Answered => {
                let done = self.apply(&mut next, &call);
                self.handle_answer(&mut next, node, &call, done);
                return next;
            }
            CallOutcome::Refused => {}
            CallOutcome::Lost => call.in_doubt = true,
            CallOutcome::AnswerLost => {
                self.apply(&mut next, &call);
                call.in_doubt = true;
            }
            CallOutcome::Late => {
                next.delayed.push(call.clone());
                call.in_doubt = true;
            }
        }
        next.nodes[node].call = Some(call);
        next
    }

    fn give_up(&self, state: &State, node: usize) -> Option<State> {
        let call = state.nodes[node].call.as_ref()?;
        let mut next = state.clone();
        match call.kind {
            CallKind::Accept => {
                let certain = !call.in_doubt || self.mutant == Some(Mutant::DoubtForgotten);
                next.reported.push(match certain {
                    true => Reported::NotRun,
                    false => Reported::Unanswered,
                });
            }
            CallKind::End => {}
            // Commits and claims are retried until they are answered.
            CallKind::Commit | CallKind::Claim => return None,
        }
        next.nodes[node].call = None;
        Some(next)
    }

    fn submit(&self, state: &State, node: usize) -> Option<State> {
        let free = state.nodes[node].call.is_none();
        let waiting = state.submitted as usize > state.reported.len();
        if !free || waiting || state.submitted == SUBMISSIONS {
            return None;
        }
        let mut next = state.clone();
        next.submitted += 1;
        next.nodes[node].call = Some(Call {
            kind: CallKind::Accept,
            expected: 0,
            next: Row {
                owner: node,
                incarnation: state.nodes[node].incarnation,
                epoch: 1,
                committed: Vec::new(),
                ended: false,
            },
            in_doubt: false,
        });
        Some(next)
    }

    fn commit(&self, state: &State, node: usize, item: u8) -> Option<State> {
        let held = &state.nodes[node];
        let owned = held.owned.as_ref().filter(|_| held.call.is_none())?;
        if owned.value.committed.contains(&item) {
            return None;
        }
        let mut row = owned.value.clone();
        row.committed.push(item);
        let mut next = state.clone();
        next.nodes[node].call = Some(Call {
            kind: CallKind::Commit,
            expected: owned.revision,
            next: row,
            in_doubt: false,
        });
        Some(next)
    }

    fn claim(&self, state: &State, node: usize) -> Option<State> {
        let held = &state.nodes[node];
        let row = state.row.value.as_ref().filter(|row| !row.ended)?;
        if held.call.is_some() || held.owned.is_some() || state.claims == self.claims {
            return None;
        }
        let mut next = state.clone();
        next.claims += 1;
        next.nodes[node].call = Some(Call {
            kind: CallKind::Claim,
            expected: state.row.revision,
            next: Row {
                owner: node,
                incarnation: held.incarnation,
                epoch: row.epoch + 1,
                ..row.clone()
            },
            in_doubt: false,
        });
        Some(next)
    }

    fn end(&self, state: &State, node: usize) -> Option<State> {
        let row = state.row.value.as_ref().filter(|row| !row.ended)?;
        let accepted = state.reported.contains(&Reported::Accepted);
        if state.nodes[node].call.is_some() || !accepted {
            return None;
        }
        let mut next = state.clone();
        next.nodes[node].call = Some(Call {
            kind: CallKind::End,
            expected: state.row.revision,
            next: Row {
                ended: true,
                ..row.clone()
            },
            in_doubt: false,
        });
        Some(next)
    }

    fn crash(&self, state: &State, node: usize) -> Option<State> {
        if state.faults == self.faults {
            return None;
        }
        let mut next = state.clone();
        let crashed = Node {
            incarnation: state.nodes[node].incarnation + 1,
            ..Node::default()
        };
        let before = std::mem::replace(&mut next.nodes[node], crashed);
        if let Some(call) = before.call {
            // The call may still reach the store; the caller gets no answer.
            if call.kind == CallKind::Accept {
                next.reported.push(Reported::Unanswered);
            }
            next.delayed.push(call);
        }
        next.faults += 1;
        Some(next)
    }
}

impl Specification for Jobs {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        State {
            row: Versioned::default(),
            nodes: Default::default(),
            delayed: Vec::new(),
            submitted: 0,
            reported: Vec::new(),
            read_results: Vec::new(),
            committed_at_end: None,
            faults: 0,
            claims: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        for node in 0..NODES {
            let mut add = |action, next: Option<State>| {
                steps.extend(next.map(|next| (action, next)));
            };
            add(Action::Submit(node), self.submit(state, node));
            add(Action::GiveUp(node), self.give_up(state, node));
            add(Action::Claim(node), self.claim(state, node));
            add(Action::End(node), self.end(state, node));
            add(Action::Crash(node), self.crash(state, node));
            for item in 0..ITEMS {
                add(
                    Action::Commit { node, item },
                    self.commit(state, node, item),
                );
            }
            let outcomes = [
                CallOutcome::Answered,
                CallOutcome::Refused,
                CallOutcome::Lost,
                CallOutcome::AnswerLost,
                CallOutcome::Late,
            ];
            for outcome in outcomes {
                let possible = outcome == CallOutcome::Answered || state.faults < self.faults;
                if possible && state.nodes[node].call.is_some() {
                    let next = self.deliver(state, node, outcome);
                    add(Action::Deliver { node, outcome }, Some(next));
                }
            }
        }
        for delayed in 0..state.delayed.len() {
            let mut next = state.clone();
            let call = next.delayed.remove(delayed);
            self.apply(&mut next, &call);
            steps.push((Action::Late(delayed), next));
        }
        let committed = state.row.value.as_ref().map(|row| row.committed.clone());
        if let Some(committed) = committed.filter(|committed| *committed != state.read_results) {
            let mut next = state.clone();
            next.read_results = committed;
            steps.push((Action::Read, next));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let accepted = state.reported.contains(&Reported::Accepted);
        let refused = !state.reported.is_empty()
            && state.reported.len() == state.submitted as usize
            && state
                .reported
                .iter()
                .all(|reported| *reported == Reported::NotRun);
        let Some(row) = &state.row.value else {
            return accepted.then(|| "an accepted job is missing".to_owned());
        };
        if refused {
            return Some("a job that was refused as not run was accepted".to_owned());
        }
        let first = row.committed.first();
        if row.committed.len() > 1 && row.committed[1..].iter().any(|item| Some(item) == first) {
            return Some("an item is committed twice".to_owned());
        }
        if !row.committed.starts_with(&state.read_results) {
            return Some("a result that was read is missing or at another position".to_owned());
        }
        let committed_after_end = state
            .committed_at_end
            .is_some_and(|at_end| row.committed.len() > at_end);
        committed_after_end
            .then(|| "a result was committed after the end was acknowledged".to_owned())
    }

    fn coverage(&self, state: &State) -> Vec<&'static str> {
        let mut coverage = Vec::new();
        if state.reported.contains(&Reported::Unanswered) && state.row.value.is_some() {
            coverage.push("accepted without an answer to the caller");
        }
        if state
            .nodes
            .iter()
            .filter(|node| node.owned.is_some())
            .count()
            == NODES
        {
            coverage.push("two nodes believe they own the job");
        }
        if state
            .row
            .value
            .as_ref()
            .is_some_and(|row| row.committed.len() == ITEMS as usize)
        {
            coverage.push("every item committed");
        }
        if state.committed_at_end.is_some() {
            coverage.push("ended");
        }
        coverage
    }

    fn bounds(&self) -> String {
        format!(
            "{NODES} nodes, {ITEMS} items, {SUBMISSIONS} submissions, {} faults, {} claims",
            self.faults, self.claims
        )
    }
}

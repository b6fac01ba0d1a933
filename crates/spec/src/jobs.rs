//! A job on the row store: accept with lost and late answers, claim, commit at a position, end.
//!
//! Two nodes share one row. A call to the store may be refused, lost, done without an answer, or
//! done later if its condition still holds. A node repeats a call in doubt as it was. Any node may
//! claim the job at any moment, which stands for a paused owner that wakes. The caller sends the
//! job twice at most, reads results and ends the job.

use derive_more::Display;

use crate::checker::Specification;
use crate::store::Versioned;

const NODES: usize = 2;
const ITEMS: u8 = 2;
const SUBMISSIONS: u8 = 2;

/// Plausible mistakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A node says "not run" although an answer of the store was lost.
    DoubtForgotten,
    /// An acceptance writes over a job that is there.
    AbsenceNotCompared,
    /// A commit writes whatever the row's revision.
    RevisionNotCompared,
    /// An owner whose commit fails goes on with the row that it finds, ended or not.
    EndNotCompared,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Jobs {
    /// The mistake to make; `None` for the protocol as it is.
    pub mutant: Option<Mutant>,
    /// Refused, lost and late calls and crashes in one run.
    pub faults: u8,
    /// Claims in one run.
    pub claims: u8,
}

/// The row of the job.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Row {
    owner: usize,
    life: u8,
    epoch: u8,
    listed: Vec<u8>,
    ended: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Kind {
    Accept,
    Commit,
    Claim,
    End,
}

/// A conditional write on its way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Call {
    kind: Kind,
    expected: u8,
    next: Row,
    in_doubt: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Node {
    life: u8,
    owned: Option<Versioned<Row>>,
    call: Option<Call>,
}

/// What the caller was told of one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Told {
    Accepted,
    NotRun,
    Nothing,
}

/// State of the row, the nodes, the network and the caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    row: Versioned<Option<Row>>,
    nodes: [Node; NODES],
    late: Vec<Call>,
    submitted: u8,
    told: Vec<Told>,
    seen: Vec<u8>,
    listed_at_end: Option<usize>,
    faults: u8,
    claims: u8,
}

/// What becomes of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Fate {
    /// It is done and answered.
    #[display("answered")]
    Answered,
    /// Nothing is done, and the node knows it.
    #[display("refused")]
    Refused,
    /// Nothing is done, and the node does not know.
    #[display("lost")]
    Lost,
    /// It is done, and the node does not know.
    #[display("done without an answer")]
    AnswerLost,
    /// It may be done later, and the node does not know.
    #[display("late")]
    Late,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// The caller sends the job.
    #[display("the caller sends the job to node {_0}")]
    Submit(usize),
    /// A call of a node meets its fate.
    #[display("the call of node {node} is {fate}")]
    Deliver {
        /// The node.
        node: usize,
        /// What becomes of the call.
        fate: Fate,
    },
    /// A late call reaches the store.
    #[display("late call {_0} reaches the store")]
    Late(usize),
    /// A node gives an acceptance or an end up and answers the caller.
    #[display("node {_0} gives its call up")]
    GiveUp(usize),
    /// A node runs an item that is not listed and asks to commit it.
    #[display("node {node} commits item {item}")]
    Commit {
        /// The node.
        node: usize,
        /// The item.
        item: u8,
    },
    /// A node asks to take the job over.
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
            Kind::Accept => self.mutant == Some(Mutant::AbsenceNotCompared),
            Kind::Commit => self.mutant == Some(Mutant::RevisionNotCompared),
            Kind::Claim | Kind::End => false,
        };
        let next = Some(call.next.clone());
        if unchecked {
            state.row.write(next);
            return true;
        }
        state.row.compare_and_swap(call.expected, next)
    }

    fn answered(&self, state: &mut State, node: usize, call: &Call, done: bool) {
        let found = state.row.clone();
        let owned = Versioned {
            value: call.next.clone(),
            revision: found.revision,
        };
        match (call.kind, done) {
            (Kind::Accept, true) => {
                state.nodes[node].owned = Some(owned);
                state.told.push(Told::Accepted);
            }
            // The row is there: it is this job, whoever wrote it.
            (Kind::Accept, false) => state.told.push(Told::Accepted),
            (Kind::Commit | Kind::Claim, true) => state.nodes[node].owned = Some(owned),
            (Kind::Commit, false) => self.commit_failed(state, node, call),
            (Kind::Claim, false) => {}
            (Kind::End, true) => state.listed_at_end = Some(call.next.listed.len()),
            (Kind::End, false) => {
                if let Some(row) = found.value.filter(|row| row.ended) {
                    state.listed_at_end = Some(row.listed.len());
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
        let lenient = self.mutant == Some(Mutant::EndNotCompared);
        let still_owned = row == call.next
            || own == Some(&row)
            || (lenient && row.owner == call.next.owner && row.life == call.next.life);
        state.nodes[node].owned = still_owned.then_some(Versioned {
            value: Row {
                ended: false,
                ..row
            },
            revision: found.revision,
        });
    }

    fn deliver(&self, state: &State, node: usize, fate: Fate) -> State {
        let mut next = state.clone();
        let Some(mut call) = next.nodes[node].call.take() else {
            return next;
        };
        next.faults += u8::from(fate != Fate::Answered);
        match fate {
            Fate::Answered => {
                let done = self.apply(&mut next, &call);
                self.answered(&mut next, node, &call, done);
                return next;
            }
            Fate::Refused => {}
            Fate::Lost => call.in_doubt = true,
            Fate::AnswerLost => {
                self.apply(&mut next, &call);
                call.in_doubt = true;
            }
            Fate::Late => {
                next.late.push(call.clone());
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
            Kind::Accept => {
                let certain = !call.in_doubt || self.mutant == Some(Mutant::DoubtForgotten);
                next.told.push(match certain {
                    true => Told::NotRun,
                    false => Told::Nothing,
                });
            }
            Kind::End => {}
            // These are repeated until they are answered.
            Kind::Commit | Kind::Claim => return None,
        }
        next.nodes[node].call = None;
        Some(next)
    }

    fn submit(&self, state: &State, node: usize) -> Option<State> {
        let free = state.nodes[node].call.is_none();
        let waiting = state.submitted as usize > state.told.len();
        if !free || waiting || state.submitted == SUBMISSIONS {
            return None;
        }
        let mut next = state.clone();
        next.submitted += 1;
        next.nodes[node].call = Some(Call {
            kind: Kind::Accept,
            expected: 0,
            next: Row {
                owner: node,
                life: state.nodes[node].life,
                epoch: 1,
                listed: Vec::new(),
                ended: false,
            },
            in_doubt: false,
        });
        Some(next)
    }

    fn commit(&self, state: &State, node: usize, item: u8) -> Option<State> {
        let held = &state.nodes[node];
        let owned = held.owned.as_ref().filter(|_| held.call.is_none())?;
        if owned.value.listed.contains(&item) {
            return None;
        }
        let mut row = owned.value.clone();
        row.listed.push(item);
        let mut next = state.clone();
        next.nodes[node].call = Some(Call {
            kind: Kind::Commit,
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
            kind: Kind::Claim,
            expected: state.row.revision,
            next: Row {
                owner: node,
                life: held.life,
                epoch: row.epoch + 1,
                ..row.clone()
            },
            in_doubt: false,
        });
        Some(next)
    }

    fn end(&self, state: &State, node: usize) -> Option<State> {
        let row = state.row.value.as_ref().filter(|row| !row.ended)?;
        let accepted = state.told.contains(&Told::Accepted);
        if state.nodes[node].call.is_some() || !accepted {
            return None;
        }
        let mut next = state.clone();
        next.nodes[node].call = Some(Call {
            kind: Kind::End,
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
            life: state.nodes[node].life + 1,
            ..Node::default()
        };
        let before = std::mem::replace(&mut next.nodes[node], crashed);
        if let Some(call) = before.call {
            // What was sent may still arrive; the caller hears nothing.
            if call.kind == Kind::Accept {
                next.told.push(Told::Nothing);
            }
            next.late.push(call);
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
            late: Vec::new(),
            submitted: 0,
            told: Vec::new(),
            seen: Vec::new(),
            listed_at_end: None,
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
            let fates = [
                Fate::Answered,
                Fate::Refused,
                Fate::Lost,
                Fate::AnswerLost,
                Fate::Late,
            ];
            for fate in fates {
                let possible = fate == Fate::Answered || state.faults < self.faults;
                if possible && state.nodes[node].call.is_some() {
                    let next = self.deliver(state, node, fate);
                    add(Action::Deliver { node, fate }, Some(next));
                }
            }
        }
        for late in 0..state.late.len() {
            let mut next = state.clone();
            let call = next.late.remove(late);
            self.apply(&mut next, &call);
            steps.push((Action::Late(late), next));
        }
        let listed = state.row.value.as_ref().map(|row| row.listed.clone());
        if let Some(listed) = listed.filter(|listed| *listed != state.seen) {
            let mut next = state.clone();
            next.seen = listed;
            steps.push((Action::Read, next));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let accepted = state.told.contains(&Told::Accepted);
        let refused = !state.told.is_empty()
            && state.told.len() == state.submitted as usize
            && state.told.iter().all(|told| *told == Told::NotRun);
        let Some(row) = &state.row.value else {
            return accepted.then(|| "an accepted job is not there".to_owned());
        };
        if refused {
            return Some("a job that was refused as not run was accepted".to_owned());
        }
        let first = row.listed.first();
        if row.listed.len() > 1 && row.listed[1..].iter().any(|item| Some(item) == first) {
            return Some("an item is listed twice".to_owned());
        }
        if !row.listed.starts_with(&state.seen) {
            return Some("a result that was read is gone or at another position".to_owned());
        }
        let later = state
            .listed_at_end
            .is_some_and(|at_end| row.listed.len() > at_end);
        later.then(|| "a result was listed after the end was acknowledged".to_owned())
    }

    fn situations(&self, state: &State) -> Vec<&'static str> {
        let mut situations = Vec::new();
        if state.told.contains(&Told::Nothing) && state.row.value.is_some() {
            situations.push("accepted without the caller's knowing");
        }
        if state
            .nodes
            .iter()
            .filter(|node| node.owned.is_some())
            .count()
            == NODES
        {
            situations.push("two nodes take themselves for the owner");
        }
        if state
            .row
            .value
            .as_ref()
            .is_some_and(|row| row.listed.len() == ITEMS as usize)
        {
            situations.push("every item listed");
        }
        if state.listed_at_end.is_some() {
            situations.push("ended");
        }
        situations
    }

    fn bounds(&self) -> String {
        format!(
            "{NODES} nodes, {ITEMS} items, {SUBMISSIONS} submissions, {} faults, {} claims",
            self.faults, self.claims
        )
    }
}

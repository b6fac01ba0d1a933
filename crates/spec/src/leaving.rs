//! A leaving server and two nodes that dispatch to it: the one that owned it and the one that owns it
//! now, of which neither need know of the other.
//!
//! Time goes in ticks. A node may be paused between any two steps, in particular between an answer of
//! the engine and its reading.

use dappleyard_decide::freshness::{is_fresh, valid_at};
use dappleyard_decide::time::Millis;
use derive_more::Display;

use crate::checker::Specification;

const NODES: usize = 2;
/// Ticks after which nothing new may be sent to a server that leaves.
const BOUND: u64 = 2;
/// Ages of the engine's words when it sends them, ticks.
const AGES: [u64; 2] = [0, 1];

/// Plausible mistakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// An answer is taken for as true as when it is read.
    TimeOfReading,
    /// The age of a word is not looked at before work is sent.
    AgeNotLookedAt,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Leaving {
    /// The mistake to make; `None` for the protocol as it is.
    pub mutant: Option<Mutant>,
    /// Last tick.
    pub ticks: u8,
}

/// The engine's word: whether it takes new work, and how old that was when it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Word {
    accepting: bool,
    age: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Node {
    /// When the engine was asked, and what it answered.
    call: Option<(u64, Option<Word>)>,
    /// The latest word, and when it was true.
    known: Option<(bool, u64)>,
}

/// State of the engine and the nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    now: u64,
    left: Option<u64>,
    nodes: [Node; NODES],
    late: bool,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// Time goes on.
    #[display("a tick")]
    Tick,
    /// The server begins to leave.
    #[display("the server begins to leave")]
    Leave,
    /// A node asks the engine.
    #[display("node {node} asks the engine")]
    Ask {
        /// The node.
        node: usize,
    },
    /// The engine answers.
    #[display("the engine answers node {node} with a word {age} ticks old")]
    Answer {
        /// The node.
        node: usize,
        /// Age of its word.
        age: u64,
    },
    /// A node reads the answer.
    #[display("node {node} reads the answer")]
    Read {
        /// The node.
        node: usize,
    },
    /// A node sends new work.
    #[display("node {node} sends new work")]
    Send {
        /// The node.
        node: usize,
    },
}

impl Leaving {
    fn read(&self, state: &mut State, node: usize, asked: u64, word: Word) {
        let this = &mut state.nodes[node];
        let basis = match self.mutant {
            Some(Mutant::TimeOfReading) => state.now,
            _ => asked,
        };
        let said = valid_at(Millis(basis), word.age).0;
        if this.known.is_none_or(|(_, known)| said >= known) {
            this.known = Some((word.accepting, said));
        }
        this.call = None;
    }

    fn may_send(&self, state: &State, node: usize) -> bool {
        let Some((true, said)) = state.nodes[node].known else {
            return false;
        };
        let checked = self.mutant != Some(Mutant::AgeNotLookedAt);
        !checked || is_fresh(Millis(said), Millis(state.now), BOUND)
    }

    fn steps_of_node(&self, state: &State, node: usize, steps: &mut Vec<(Action, State)>) {
        let mut next = state.clone();
        match state.nodes[node].call {
            None => {
                next.nodes[node].call = Some((state.now, None));
                steps.push((Action::Ask { node }, next));
            }
            Some((asked, None)) => {
                for age in AGES.into_iter().filter(|age| *age <= state.now) {
                    let then = state.now - age;
                    let accepting = state.left.is_none_or(|left| then < left);
                    let mut next = state.clone();
                    next.nodes[node].call = Some((asked, Some(Word { accepting, age })));
                    steps.push((Action::Answer { node, age }, next));
                }
            }
            Some((asked, Some(word))) => {
                self.read(&mut next, node, asked, word);
                steps.push((Action::Read { node }, next));
            }
        }
        if self.may_send(state, node) {
            let mut next = state.clone();
            next.late = state.left.is_some_and(|left| state.now > left + BOUND);
            steps.push((Action::Send { node }, next));
        }
    }
}

impl Specification for Leaving {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        State {
            now: 0,
            left: None,
            nodes: [Node::default(); NODES],
            late: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        if state.now < u64::from(self.ticks) {
            let mut next = state.clone();
            next.now += 1;
            steps.push((Action::Tick, next));
        }
        if state.left.is_none() {
            let mut next = state.clone();
            next.left = Some(state.now);
            steps.push((Action::Leave, next));
        }
        for node in 0..NODES {
            self.steps_of_node(state, node, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        state
            .late
            .then(|| "a leaving server was sent new work after the bound".to_owned())
    }

    fn situations(&self, state: &State) -> Vec<&'static str> {
        let gone = state.left.is_some_and(|left| state.now > left + BOUND);
        let known = |accepting: bool| {
            let is = |node: &Node| node.known.is_some_and(|(word, _)| word == accepting);
            state.nodes.iter().any(is)
        };
        let unread = |node: &Node| {
            node.call
                .is_some_and(|(asked, word)| word.is_some() && asked < state.now)
        };
        let seen = [
            ("past the bound", gone),
            ("believed to take work past the bound", gone && known(true)),
            ("known to be leaving", known(false)),
            ("answer not read at once", state.nodes.iter().any(unread)),
        ];
        seen.into_iter()
            .filter_map(|(name, seen)| seen.then_some(name))
            .collect()
    }

    fn bounds(&self) -> String {
        format!(
            "1 server, {NODES} nodes, {} ticks, a bound of {BOUND}",
            self.ticks
        )
    }
}

//! Breadth-first exploration of a specification.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::hash::Hash;

use derive_more::Display;
use pathfinding::directed::bfs::bfs;

/// A protocol as states and steps.
pub trait Specification {
    /// Everything that matters at one moment: processes, store, network, and what has been observed.
    type State: Clone + Eq + Hash;
    /// One step of one process, of the network or of the store.
    type Action: Display;

    /// Where every run begins.
    fn initial(&self) -> Self::State;

    /// All steps possible in a state, each with the state that it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// The promise that this state breaks, in words; `None` when all hold.
    fn violation(&self, state: &Self::State) -> Option<String>;

    /// Names of the interesting situations that this state shows. A situation that no state shows
    /// means that the specification is too narrow to prove anything about it.
    fn situations(&self, state: &Self::State) -> Vec<&'static str>;

    /// The bounds of the exploration, in words.
    fn bounds(&self) -> String;
}

/// The shortest run of steps that breaks a promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// The steps, in order.
    pub steps: Vec<String>,
    /// The promise that is broken at the end.
    pub violation: String,
}

/// What an exploration found.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}", describe(self))]
pub struct Exploration {
    /// Different states visited.
    pub states: usize,
    /// Steps taken between them.
    pub transitions: usize,
    /// Number of states that show each situation.
    pub situations: BTreeMap<&'static str, usize>,
    /// The bounds of the exploration.
    pub bounds: String,
    /// The shortest way to a broken promise; `None` when every promise holds in every state.
    pub counterexample: Option<Counterexample>,
}

/// A state of the search: a state of the specification, or the end of a path to a broken promise.
#[derive(Clone, PartialEq, Eq, Hash)]
enum Vertex<S> {
    State(S),
    Broken,
}

/// Visits every reachable state, or stops at the first one that breaks a promise.
pub fn explore<S: Specification>(specification: &S) -> Exploration {
    let states = Cell::new(0);
    let transitions = Cell::new(0);
    let situations = RefCell::new(BTreeMap::new());
    let successors = |vertex: &Vertex<S::State>| {
        let Vertex::State(state) = vertex else {
            return Vec::new();
        };
        states.set(states.get() + 1);
        for situation in specification.situations(state) {
            *situations.borrow_mut().entry(situation).or_insert(0) += 1;
        }
        if specification.violation(state).is_some() {
            return vec![Vertex::Broken];
        }
        let next = specification.steps(state);
        transitions.set(transitions.get() + next.len());
        next.into_iter()
            .map(|(_, state)| Vertex::State(state))
            .collect()
    };
    let start = Vertex::State(specification.initial());
    let path = bfs(&start, successors, |vertex| *vertex == Vertex::Broken);
    Exploration {
        states: states.get(),
        transitions: transitions.get(),
        situations: situations.into_inner(),
        bounds: specification.bounds(),
        counterexample: path.map(|path| explain(specification, &path)),
    }
}

/// Names the steps along a path of states.
fn explain<S: Specification>(specification: &S, path: &[Vertex<S::State>]) -> Counterexample {
    let states: Vec<&S::State> = path
        .iter()
        .filter_map(|vertex| match vertex {
            Vertex::State(state) => Some(state),
            Vertex::Broken => None,
        })
        .collect();
    let steps = states
        .windows(2)
        .map(|pair| name_of_step(specification, pair[0], pair[1]))
        .collect();
    let violation = states
        .last()
        .and_then(|state| specification.violation(state))
        .unwrap_or_default();
    Counterexample { steps, violation }
}

fn name_of_step<S: Specification>(specification: &S, from: &S::State, to: &S::State) -> String {
    specification
        .steps(from)
        .into_iter()
        .find(|(_, state)| state == to)
        .map(|(action, _)| action.to_string())
        .unwrap_or_default()
}

fn describe(exploration: &Exploration) -> String {
    let mut lines = vec![
        format!(
            "{} states, {} transitions ({})",
            exploration.states, exploration.transitions, exploration.bounds
        ),
        format!("situations seen: {:?}", exploration.situations),
    ];
    match &exploration.counterexample {
        None => lines.push("every promise holds in every state".to_owned()),
        Some(found) => {
            lines.push(format!("BROKEN: {}", found.violation));
            let numbered = found.steps.iter().enumerate();
            lines.extend(numbered.map(|(index, step)| format!("  {}. {step}", index + 1)));
        }
    }
    lines.join("\n")
}

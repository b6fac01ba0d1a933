//! Breadth-first exploration of a specification.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::hash::Hash;

use derive_more::Display;
use pathfinding::directed::bfs::bfs;

/// A protocol as a transition system.
pub trait Specification {
    /// State of the processes, the store and the network, with the history that the invariants need.
    type State: Clone + Eq + Hash;
    /// One step of one process, of the network or of the store.
    type Action: Display;

    /// The initial state.
    fn initial(&self) -> Self::State;

    /// The enabled actions of a state, each with its successor state.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// A description of the invariant that this state violates; `None` when all hold.
    fn violation(&self, state: &Self::State) -> Option<String>;

    /// Labels of the coverage conditions that hold in this state. A condition that no reachable state
    /// satisfies means that the bounds are too small to check the behaviour it stands for.
    fn coverage(&self, state: &Self::State) -> Vec<&'static str>;

    /// A description of the bounds of the exploration.
    fn bounds(&self) -> String;
}

/// A shortest trace to an invariant violation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// The steps, in order.
    pub steps: Vec<String>,
    /// The invariant violated by the last state.
    pub violation: String,
}

/// The result of an exploration.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}", render_report(self))]
pub struct Exploration {
    /// Distinct states visited.
    pub states: usize,
    /// Transitions between them.
    pub transitions: usize,
    /// Number of states in which each coverage condition holds.
    pub coverage: BTreeMap<&'static str, usize>,
    /// The bounds of the exploration.
    pub bounds: String,
    /// A shortest counterexample; `None` when every invariant holds in every state.
    pub counterexample: Option<Counterexample>,
}

/// A vertex of the search graph: a state, or the sink behind every violating state.
#[derive(Clone, PartialEq, Eq, Hash)]
enum Vertex<S> {
    State(S),
    Violated,
}

/// Visits every reachable state, or stops at the first one that violates an invariant.
pub fn explore<S: Specification>(specification: &S) -> Exploration {
    let states = Cell::new(0);
    let transitions = Cell::new(0);
    let coverage = RefCell::new(BTreeMap::new());
    let successors = |vertex: &Vertex<S::State>| {
        let Vertex::State(state) = vertex else {
            return Vec::new();
        };
        states.set(states.get() + 1);
        for situation in specification.coverage(state) {
            *coverage.borrow_mut().entry(situation).or_insert(0) += 1;
        }
        if specification.violation(state).is_some() {
            return vec![Vertex::Violated];
        }
        let next = specification.steps(state);
        transitions.set(transitions.get() + next.len());
        next.into_iter()
            .map(|(_, state)| Vertex::State(state))
            .collect()
    };
    let start = Vertex::State(specification.initial());
    let path = bfs(&start, successors, |vertex| *vertex == Vertex::Violated);
    Exploration {
        states: states.get(),
        transitions: transitions.get(),
        coverage: coverage.into_inner(),
        bounds: specification.bounds(),
        counterexample: path.map(|path| counterexample_along(specification, &path)),
    }
}

/// Reconstructs the actions along a path of states.
fn counterexample_along<S: Specification>(
    specification: &S,
    path: &[Vertex<S::State>],
) -> Counterexample {
    let states: Vec<&S::State> = path
        .iter()
        .filter_map(|vertex| match vertex {
            Vertex::State(state) => Some(state),
            Vertex::Violated => None,
        })
        .collect();
    let steps = states
        .windows(2)
        .map(|pair| action_between(specification, pair[0], pair[1]))
        .collect();
    let violation = states
        .last()
        .and_then(|state| specification.violation(state))
        .unwrap_or_default();
    Counterexample { steps, violation }
}

fn action_between<S: Specification>(specification: &S, from: &S::State, to: &S::State) -> String {
    specification
        .steps(from)
        .into_iter()
        .find(|(_, state)| state == to)
        .map(|(action, _)| action.to_string())
        .unwrap_or_default()
}

fn render_report(exploration: &Exploration) -> String {
    let mut lines = vec![
        format!(
            "{} states, {} transitions ({})",
            exploration.states, exploration.transitions, exploration.bounds
        ),
        format!("coverage: {:?}", exploration.coverage),
    ];
    match &exploration.counterexample {
        None => lines.push("every invariant holds in every state".to_owned()),
        Some(found) => {
            lines.push(format!("VIOLATED: {}", found.violation));
            let numbered = found.steps.iter().enumerate();
            lines.extend(numbered.map(|(index, step)| format!("  {}. {step}", index + 1)));
        }
    }
    lines.join("\n")
}

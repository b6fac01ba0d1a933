//! A draining server and two nodes that dispatch to it, its former and its current owner, which may
//! not know of each other.
//!
//! Time is discrete. A node may pause between any two steps, such as between the engine's answer and
//! its handling.

use dappleyard_decide::freshness::{is_fresh, valid_at};
use dappleyard_decide::time::Millis;
use derive_more::Display;

use crate::checker::Specification;

const NODES: usize = 2;
/// Ticks after the start of a drain beyond which no new work may be sent.
const DRAIN_TICKS: u64 = 2;
/// Possible ages of an engine status when it is sent, ticks.
const STATUS_AGES: [u64; 2] = [0, 1];

/// Bugs that can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The time of an answer is taken from its handling instead of from the request.
    TimeOfReading,
    /// The age of the status is not checked before work is sent.
    AgeNotLookedAt,
}

/// Specification of the protocol in this module.
#[derive(Debug, Clone)]
pub struct Leaving {
    /// The injected bug; `None` for the unmodified protocol.
    pub mutant: Option<Mutant>,
    /// Number of ticks in one trace.
    pub ticks: u8,
}

/// An engine status: whether it accepts new work, and the age of that information when sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct EngineStatus {
    accepting: bool,
    age: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Node {
    /// The request in flight: when it was sent, and the answer if it has arrived.
    call: Option<(u64, Option<EngineStatus>)>,
    /// The latest status, and the time at which it was valid.
    known: Option<(bool, u64)>,
}

/// State of the engine and the nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    now: u64,
    drain_started: Option<u64>,
    nodes: [Node; NODES],
    sent_too_late: bool,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// Time advances by one tick.
    #[display("time advances by one tick")]
    Tick,
    /// The server starts to drain.
    #[display("the server starts to drain")]
    Leave,
    /// A node requests the engine's status.
    #[display("node {node} requests the engine's status")]
    Ask {
        /// The node.
        node: usize,
    },
    /// The engine answers.
    #[display("the engine answers node {node} with a status {age} ticks old")]
    Answer {
        /// The node.
        node: usize,
        /// Age of the status.
        age: u64,
    },
    /// A node handles the answer.
    #[display("node {node} handles the answer")]
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
    fn handle_answer(&self, state: &mut State, node: usize, asked: u64, status: EngineStatus) {
        let this = &mut state.nodes[node];
        let reference_time = match self.mutant {
            Some(Mutant::TimeOfReading) => state.now,
            _ => asked,
        };
        let valid_since = valid_at(Millis(reference_time), status.age).0;
        if this.known.is_none_or(|(_, known)| valid_since >= known) {
            this.known = Some((status.accepting, valid_since));
        }
        this.call = None;
    }

    fn may_send(&self, state: &State, node: usize) -> bool {
        let Some((true, valid_since)) = state.nodes[node].known else {
            return false;
        };
        let checked = self.mutant != Some(Mutant::AgeNotLookedAt);
        !checked || is_fresh(Millis(valid_since), Millis(state.now), DRAIN_TICKS)
    }

    fn steps_of_node(&self, state: &State, node: usize, steps: &mut Vec<(Action, State)>) {
        let mut next = state.clone();
        match state.nodes[node].call {
            None => {
                next.nodes[node].call = Some((state.now, None));
                steps.push((Action::Ask { node }, next));
            }
            Some((asked, None)) => {
                for age in STATUS_AGES.into_iter().filter(|age| *age <= state.now) {
                    let then = state.now - age;
                    let accepting = state
                        .drain_started
                        .is_none_or(|drain_started| then < drain_started);
                    let mut next = state.clone();
                    next.nodes[node].call = Some((asked, Some(EngineStatus { accepting, age })));
                    steps.push((Action::Answer { node, age }, next));
                }
            }
            Some((asked, Some(status))) => {
                self.handle_answer(&mut next, node, asked, status);
                steps.push((Action::Read { node }, next));
            }
        }
        if self.may_send(state, node) {
            let mut next = state.clone();
            next.sent_too_late = state
                .drain_started
                .is_some_and(|drain_started| state.now > drain_started + DRAIN_TICKS);
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
            drain_started: None,
            nodes: [Node::default(); NODES],
            sent_too_late: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        if state.now < u64::from(self.ticks) {
            let mut next = state.clone();
            next.now += 1;
            steps.push((Action::Tick, next));
        }
        if state.drain_started.is_none() {
            let mut next = state.clone();
            next.drain_started = Some(state.now);
            steps.push((Action::Leave, next));
        }
        for node in 0..NODES {
            self.steps_of_node(state, node, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        state
            .sent_too_late
            .then(|| "a draining server was sent new work after the bound".to_owned())
    }

    fn coverage(&self, state: &State) -> Vec<&'static str> {
        let gone = state
            .drain_started
            .is_some_and(|drain_started| state.now > drain_started + DRAIN_TICKS);
        let known = |accepting: bool| {
            let is = |node: &Node| node.known.is_some_and(|(status, _)| status == accepting);
            state.nodes.iter().any(is)
        };
        let unread = |node: &Node| {
            node.call
                .is_some_and(|(asked, status)| status.is_some() && asked < state.now)
        };
        let holds = [
            ("past the bound", gone),
            (
                "believed to accept work past the bound",
                gone && known(true),
            ),
            ("known to be draining", known(false)),
            ("answer handled later", state.nodes.iter().any(unread)),
        ];
        holds
            .into_iter()
            .filter_map(|(name, holds)| holds.then_some(name))
            .collect()
    }

    fn bounds(&self) -> String {
        format!(
            "1 server, {NODES} nodes, {} ticks, a bound of {DRAIN_TICKS}",
            self.ticks
        )
    }
}

//! Spread of configuration revisions over three nodes.
//!
//! The first node reads the store's change feed; the others learn by gossip, of which any part may
//! arrive at any time, again, late or never, and by answers to digests. Nodes are cut off and restart.
//! A node that has restarted serves again once it has taken a snapshot of a node that serves, or has
//! read the store; one that was cut off once it has caught up with a node that serves.

mod protocol;
mod state;
mod steps;

use self::state::{Answer, CHANGES, NODES, Node, head, started};
use crate::checker::Specification;

pub use self::state::{Action, State};

/// Plausible mistakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A change is applied whatever revision the node is at.
    OlderApplied,
    /// A change is applied when only one of its parts is there.
    PartApplied,
    /// An answer is merged whatever revision it was made for.
    BasisNotCompared,
    /// A restarted node takes the snapshot of one that does not serve itself.
    UnreadyPeerTrusted,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// The mistake to make; `None` for the protocol as it is.
    pub mutant: Option<Mutant>,
    /// Restarts, cuts and lost answers in one run.
    pub faults: u8,
}

impl Specification for Configuration {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let mut node = started();
        node.serves = true;
        State {
            committed: 0,
            nodes: [node.clone(), node.clone(), node],
            answer: None,
            faults: 0,
            everywhere: 0,
            flaw: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        if state.committed < CHANGES.len() {
            let mut next = state.clone();
            next.committed += 1;
            steps.push((Action::Commit, next));
        }
        for node in 0..NODES {
            self.steps_of_node(state, node, &mut steps);
        }
        if state.answer.is_some() {
            let mut next = state.clone();
            self.arrive(&mut next);
            steps.push((Action::Arrive, next));
            let mut next = state.clone();
            next.answer = None;
            steps.push((Action::Lose, next));
        }
        for (action, next) in &mut steps {
            Self::observe(state, next, action);
        }
        steps.retain(|(_, next)| next != state);
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(flaw) = state.flaw {
            return Some(flaw.to_owned());
        }
        (!self.converges(state)).then(|| "a node never catches up in a whole network".to_owned())
    }

    fn situations(&self, state: &State) -> Vec<&'static str> {
        let any = |what: fn(&Node) -> bool| state.nodes.iter().any(what);
        let head = head(state.committed);
        let seen = [
            ("cut off", any(|node| node.cut)),
            ("not serving", any(|node| !node.serves)),
            (
                "change held back",
                any(|node| node.pending.highest().is_some()),
            ),
            (
                "in force everywhere",
                state.committed > 0 && state.everywhere == head,
            ),
            (
                "late answer",
                state.answer.as_ref().is_some_and(|(to, answer)| {
                    matches!(answer, Answer::Entries { after, .. }
                        if *after != state.nodes[*to].state.revision)
                }),
            ),
        ];
        seen.into_iter()
            .filter_map(|(name, seen)| seen.then_some(name))
            .collect()
    }

    fn bounds(&self) -> String {
        format!(
            "3 changes of 1, 2 and 1 rows, {NODES} nodes of which 1 reads the feed, up to {} restarts and \
             cuts, 1 answer at a time",
            self.faults
        )
    }
}

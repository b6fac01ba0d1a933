//! Replication of configuration revisions to three nodes.
//!
//! The first node reads the store's change feed; the others learn changes by gossip, which may be
//! delayed, duplicated, reordered or lost, and by answers to digests. Nodes restart and are
//! partitioned. A restarted or partitioned node serves again once it has taken a snapshot from a
//! serving node or has read the store.

mod protocol;
mod state;
mod steps;

use self::state::{Answer, CHANGES, NODES, Node, latest_revision, new_node};
use crate::checker::Specification;

pub use self::state::{Action, State};

/// Bugs that can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A change is applied without comparing it with the node's revision.
    OlderApplied,
    /// A change is applied when only one of its parts has arrived.
    PartApplied,
    /// An answer is merged without comparing the revision it starts from.
    BasisNotCompared,
    /// A restarted node accepts a snapshot from a node that is not serving.
    UnreadyPeerTrusted,
}

/// Specification of the protocol in this module.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// The injected bug; `None` for the unmodified protocol.
    pub mutant: Option<Mutant>,
    /// Maximum restarts and partitions in one trace.
    pub faults: u8,
}

impl Specification for Configuration {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let mut node = new_node();
        node.serves = true;
        State {
            committed: 0,
            nodes: [node.clone(), node.clone(), node],
            answer: None,
            faults: 0,
            reached_by_all: 0,
            observed_violation: None,
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
            self.receive_answer(&mut next);
            steps.push((Action::Arrive, next));
            let mut next = state.clone();
            next.answer = None;
            steps.push((Action::Lose, next));
        }
        for (action, next) in &mut steps {
            Self::check_transition(state, next, action);
        }
        steps.retain(|(_, next)| next != state);
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(observed_violation) = state.observed_violation {
            return Some(observed_violation.to_owned());
        }
        (!self.converges(state))
            .then(|| "a node does not catch up although no further fault occurs".to_owned())
    }

    fn coverage(&self, state: &State) -> Vec<&'static str> {
        let any = |what: fn(&Node) -> bool| state.nodes.iter().any(what);
        let latest_revision = latest_revision(state.committed);
        let holds = [
            ("cut off", any(|node| node.partitioned)),
            ("not serving", any(|node| !node.serves)),
            (
                "change held back",
                any(|node| node.pending.highest().is_some()),
            ),
            (
                "in force everywhere",
                state.committed > 0 && state.reached_by_all == latest_revision,
            ),
            (
                "late answer",
                state.answer.as_ref().is_some_and(|(to, answer)| {
                    matches!(answer, Answer::Entries { after, .. }
                        if *after != state.nodes[*to].state.revision)
                }),
            ),
        ];
        holds
            .into_iter()
            .filter_map(|(name, holds)| holds.then_some(name))
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

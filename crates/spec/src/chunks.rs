//! Claim, takeover, hand-back, commit and cancel of one batch chunk by two nodes.
//!
//! A chunk whose holder is suspected is reopened under a higher epoch and then claimed like any other.
//! An item that must not repeat is marked in the chunk row before it is started.
//!
//! Nodes may pause, live holders may be suspected at any time, and a call may take effect long after
//! its sender timed out.

mod protocol;
mod state;
mod steps;

use std::collections::BTreeSet;

use dappleyard_wire::messages::{ChunkPhase, ChunkRow, Repeat};

use self::state::{NODES, Node, Work, drop_expired_calls, has_orphaned_call};
use crate::checker::Specification;
use crate::store::Versioned;

pub use self::state::{Action, Item, ReopenReason, Run, State};

/// Bugs that can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A commit does not compare the epoch under which the result was produced.
    EpochNotCompared,
    /// An item that may have run is started again.
    RetryAfterMaybe,
    /// A takeover clears the record that items may have been started.
    TakeoverForgetsStart,
    /// An item is started before its mark is written to the row.
    StartedBeforeMark,
    /// A commit does not compare the job row.
    CancelNotCompared,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum faults in one trace: lost calls and answers, early timeouts, lost engines, crashes.
    pub faults: u8,
    /// Maximum suspicions of a live holder in one trace.
    pub suspicions: u8,
}

/// Specification of the protocol in this module.
#[derive(Debug, Clone)]
pub struct Chunks {
    /// Whether the items of the chunk may be run more than once.
    pub repeat: Repeat,
    /// The injected bug; `None` for the unmodified protocol.
    pub mutant: Option<Mutant>,
    /// Bounds of the exploration.
    pub limits: Limits,
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
            observed_violation: None,
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
            drop_expired_calls(next);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(observed_violation) = state.observed_violation {
            return Some(observed_violation.to_owned());
        }
        if self.repeat == Repeat::Never && state.runs > 1 {
            return Some("an item that must not repeat ran twice".to_owned());
        }
        if !self.terminates(state) {
            return Some("the chunk does not finish although no further fault occurs".to_owned());
        }
        None
    }

    fn coverage(&self, state: &State) -> Vec<&'static str> {
        let row = &state.row.value;
        let stale = state.nodes.iter().any(
            |node| matches!(&node.work, Work::Holding { row: held, .. } if held.value.epoch < row.epoch),
        );
        let holds = [
            ("done", row.phase() == ChunkPhase::ChunkDone),
            ("cancelled", state.job.value),
            ("taken over", row.epoch > 1),
            ("stale holder", stale),
            ("settled as unknown", row.failed > 0),
            ("call outlives its sender", has_orphaned_call(state)),
        ];
        holds
            .into_iter()
            .filter_map(|(name, holds)| holds.then_some(name))
            .collect()
    }

    fn bounds(&self) -> String {
        format!(
            "1 chunk of 1 item, repeat {:?}, {NODES} nodes, up to {} faults and {} wrong suspicions",
            self.repeat, self.limits.faults, self.limits.suspicions
        )
    }
}

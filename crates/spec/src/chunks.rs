//! Claim, takeover, hand-back, commit and cancel of one batch chunk by two nodes.
//!
//! A chunk of a holder that is believed gone is opened again under a higher epoch, and then claimed
//! like any other. An item that must not repeat is marked in the chunk row before it is started.
//!
//! A node that takes no step for a while is a paused holder; a wrong suspicion may come at any time;
//! a call may take effect long after its sender has given up on it.

mod protocol;
mod state;
mod steps;

use std::collections::BTreeSet;

use dappleyard_wire::messages::{ChunkPhase, ChunkRow, Repeat};

use self::state::{NODES, Node, Work, forget_spent_calls, outlived};
use crate::checker::Specification;
use crate::store::Versioned;

pub use self::state::{Action, Item, Reason, Run, State};

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

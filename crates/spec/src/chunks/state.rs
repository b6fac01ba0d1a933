//! State of the store, the nodes and the network, and the actions.

use std::collections::BTreeSet;

use dappleyard_decide::chunks::Claimant;
use dappleyard_wire::messages::{ChunkPhase, ChunkRow};
use derive_more::Display;

use crate::store::{Delivery, Versioned};

pub(super) const NODES: usize = 2;

/// Fault-free rounds within which a live protocol must terminate.
pub(super) const FAULT_FREE_ROUNDS: usize = 12;

/// State of the chunk's item on one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Item {
    /// Not started by this holder under this epoch.
    NotStarted,
    Completed,
    /// Settled as `outcome_unknown`.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Work {
    Idle,
    Claiming {
        next: ChunkRow,
    },
    Holding {
        row: Versioned<ChunkRow>,
        item: Item,
    },
    Marking {
        row: Versioned<ChunkRow>,
    },
    Committing {
        row: Versioned<ChunkRow>,
        item: Item,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Node {
    pub(super) incarnation: u64,
    pub(super) work: Work,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Change {
    Claim,
    Mark,
    Reopen,
    Commit { job_revision: u8, item: Item },
}

/// A call to the store in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Call {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) next: ChunkRow,
    pub(super) revision: u8,
    pub(super) change: Change,
}

/// State of the store, the nodes and the network, with the first observed violation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) row: Versioned<ChunkRow>,
    /// Whether the job is cancelled.
    pub(super) job: Versioned<bool>,
    /// Epochs under which a result object was written.
    pub(super) objects: BTreeSet<u64>,
    pub(super) nodes: [Node; NODES],
    pub(super) calls: Vec<Call>,
    pub(super) runs: u8,
    pub(super) faults: u8,
    pub(super) suspicions: u8,
    pub(super) observed_violation: Option<&'static str>,
}

/// Outcome of the item on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Run {
    /// It ran and answered.
    #[display("completes")]
    Completes,
    /// It ran and the answer was lost.
    #[display("runs, answer lost")]
    AnswerLost,
    /// It did not run, but the node cannot tell.
    #[display("lost before it ran")]
    Lost,
}

/// Why a chunk is reopened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ReopenReason {
    /// Its holder has restarted.
    #[display("its holder has restarted")]
    Restarted,
    /// Its holder is alive but suspected.
    #[display("its live holder is suspected")]
    Suspected,
    /// A claim of this node took effect after the node stopped waiting for it.
    #[display("its own claim took effect late")]
    Unknown,
    /// The holder hands it back.
    #[display("hand-back")]
    HandBack,
}

/// One step.
#[derive(Debug, Clone, Display)]
pub enum Action {
    /// A node reads the open row and sends a claim.
    #[display("node {node} claims")]
    Claim {
        /// The node.
        node: usize,
    },
    /// A node reopens a claimed chunk.
    #[display("node {node} reopens the chunk: {reason}")]
    Reopen {
        /// The node.
        node: usize,
        /// The reason.
        reason: ReopenReason,
    },
    /// A holder marks the item as started.
    #[display("node {node} marks the item")]
    Mark {
        /// The node.
        node: usize,
    },
    /// The network delivers or loses a call.
    #[display("call {index} is {delivery}")]
    Network {
        /// Index of the call.
        index: usize,
        /// Outcome of the call.
        delivery: Delivery,
    },
    /// A node times out waiting for the store and reads the row.
    #[display("node {node} times out and reads the row")]
    TimeOut {
        /// The node.
        node: usize,
    },
    /// A node runs the item on an engine.
    #[display("node {node} starts the item: {run}")]
    Start {
        /// The node.
        node: usize,
        /// Outcome on the engine.
        run: Run,
    },
    /// A node settles an item that it must not start as unknown.
    #[display("node {node} settles the item as unknown")]
    SettleUnknown {
        /// The node.
        node: usize,
    },
    /// A node writes its result object, reads both rows and sends the commit.
    #[display("node {node} commits")]
    Commit {
        /// The node.
        node: usize,
    },
    /// The job is cancelled.
    #[display("the job is cancelled")]
    Cancel,
    /// Garbage collection removes result objects of epochs below that of the row.
    #[display("result objects of old epochs are removed")]
    Collect,
    /// A node crashes and starts again.
    #[display("node {node} crashes and restarts")]
    Crash {
        /// The node.
        node: usize,
    },
}

pub(super) fn node_name(node: usize) -> String {
    node.to_string()
}

pub(super) fn claimant(state: &State, node: usize) -> Claimant {
    Claimant {
        node: node_name(node),
        incarnation: state.nodes[node].incarnation,
    }
}

pub(super) fn is_marked(row: &ChunkRow) -> bool {
    !row.maybe_started && row.started_items != 0
}

pub(super) fn send_call(
    state: &mut State,
    node: usize,
    next: ChunkRow,
    revision: u8,
    change: Change,
) {
    state.calls.push(Call {
        node,
        incarnation: state.nodes[node].incarnation,
        next,
        revision,
        change,
    });
}

pub(super) fn apply_commit(state: &mut State, call: &Call, item: Item) -> bool {
    let was_done = state.row.value.phase() == ChunkPhase::ChunkDone;
    if !state.row.compare_and_swap(call.revision, call.next.clone()) {
        return false;
    }
    let object = call.next.result_object.parse().unwrap_or_default();
    if was_done {
        state.observed_violation = Some("a committed result was replaced");
    } else if state.job.value {
        state.observed_violation = Some("a result was committed after the cancel");
    } else if !state.objects.contains(&object) {
        state.observed_violation = Some("a committed result cannot be read");
    } else if item == Item::Completed && state.runs == 0 {
        state.observed_violation = Some("an item that never ran is completed");
    }
    true
}

/// Resolves an ambiguous answer or a conflict by reading the row. The node holds the chunk if the row
/// contains its claim. A mark under the same epoch is its own, since only the holder writes marks; a
/// commit is retried.
pub(super) fn read_back(state: &mut State, node: usize) {
    let row = state.row.clone();
    let claimed = row.value.phase() == ChunkPhase::ChunkClaimed;
    let item = Item::NotStarted;
    state.nodes[node].work = match state.nodes[node].work.clone() {
        Work::Claiming { next } if row.value == next => Work::Holding { row, item },
        Work::Marking { row: held } if claimed && held.value.epoch == row.value.epoch => {
            Work::Holding { row, item }
        }
        Work::Claiming { .. } | Work::Marking { .. } => Work::Idle,
        Work::Committing { row, item } => Work::Holding { row, item },
        other => other,
    };
}

pub(super) fn settle_unknown(state: &mut State, node: usize, row: Versioned<ChunkRow>) {
    let item = Item::Unknown;
    state.nodes[node].work = Work::Holding { row, item };
}

/// Drops calls in flight that can neither take effect nor be answered, to reduce the state space.
pub(super) fn drop_expired_calls(state: &mut State) {
    let (row, job, nodes) = (state.row.revision, state.job.revision, &state.nodes);
    state.calls.retain(|call| {
        let node = &nodes[call.node];
        let waits = node.incarnation == call.incarnation
            && !matches!(node.work, Work::Idle | Work::Holding { .. });
        let spent = match call.change {
            Change::Claim | Change::Mark | Change::Reopen => call.revision != row,
            Change::Commit { job_revision, .. } => call.revision != row || job_revision != job,
        };
        waits || !spent
    });
}

pub(super) fn has_orphaned_call(state: &State) -> bool {
    state.calls.iter().any(|call| {
        let node = &state.nodes[call.node];
        node.incarnation != call.incarnation || matches!(node.work, Work::Idle)
    })
}

//! State of the store, the nodes and the network, the committed changes, and the actions.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use dappleyard_decide::configuration::{
    Applied, ConfigurationState, FeedRow, PendingChanges, changes_from_feed,
};
use dappleyard_wire::messages::ConfigurationEntry;
use derive_more::Display;

pub(super) const NODES: usize = 3;

/// The node that reads the change feed.
pub(super) const WATCHER: usize = 0;

/// Fault-free rounds within which every node must have caught up.
pub(super) const FAULT_FREE_ROUNDS: usize = 6;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Node {
    pub(super) state: ConfigurationState,
    pub(super) pending: PendingChanges,
    /// Whether the node has caught up since it started or was partitioned.
    pub(super) serves: bool,
    pub(super) partitioned: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Answer {
    Snapshot(ConfigurationState),
    Entries {
        after: u64,
        entries: Vec<ConfigurationEntry>,
        up_to: u64,
    },
}

/// State of the store, the nodes and the network, with the first observed violation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Number of changes committed to the store.
    pub(super) committed: usize,
    pub(super) nodes: [Node; NODES],
    /// An answer in flight and its recipient.
    pub(super) answer: Option<(usize, Answer)>,
    pub(super) faults: u8,
    /// Highest revision that all nodes had reached at the same time.
    pub(super) reached_by_all: u64,
    pub(super) observed_violation: Option<&'static str>,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// A change is committed to the store.
    #[display("a change is committed")]
    Commit,
    /// The watcher reads the change feed.
    #[display("node {node} reads the feed")]
    Feed {
        /// The node.
        node: usize,
    },
    /// One part of a change reaches a node by gossip.
    #[display("node {node} receives part {part} of change {change}")]
    Gossip {
        /// The node.
        node: usize,
        /// Index of the change.
        change: usize,
        /// Index of the part.
        part: usize,
    },
    /// A node asks another for the revisions it lacks and is answered.
    #[display("node {from} answers node {to}")]
    Ask {
        /// The node that answers.
        from: usize,
        /// The node that asked.
        to: usize,
    },
    /// The answer arrives.
    #[display("the answer arrives")]
    Arrive,
    /// The answer is lost.
    #[display("the answer is lost")]
    Lose,
    /// A node is partitioned from the others.
    #[display("node {node} is partitioned")]
    Partition {
        /// The node.
        node: usize,
    },
    /// The partition of a node heals.
    #[display("the partition of node {node} heals")]
    Heal {
        /// The node.
        node: usize,
    },
    /// A node restarts with an empty state.
    #[display("node {node} restarts")]
    Restart {
        /// The node.
        node: usize,
    },
}

/// The changes, in commit order: a row, two rows at once, the removal of a row.
pub(super) static CHANGES: LazyLock<Vec<Vec<ConfigurationEntry>>> = LazyLock::new(changes);

/// Expected rows at each revision, without the deleted ones.
pub(super) static EXPECTED_ROWS: LazyLock<BTreeMap<u64, Rows>> = LazyLock::new(expected_rows);

pub(super) type Rows = Vec<(String, Vec<u8>)>;

pub(super) fn changes() -> Vec<Vec<ConfigurationEntry>> {
    let row = |key: &str, revision: u64, value: Option<&[u8]>| FeedRow {
        key: key.to_owned(),
        revision,
        value: value.map(<[u8]>::to_vec),
    };
    let rows = [
        row("a", 10, Some(b"1")),
        row("a", 20, Some(b"2")),
        row("b", 20, Some(b"2")),
        row("b", 30, None),
    ];
    changes_from_feed(&rows, 0)
}

pub(super) fn expected_rows() -> BTreeMap<u64, Rows> {
    let mut state = ConfigurationState::default();
    let mut expected_rows = BTreeMap::from([(0, Rows::new())]);
    for change in CHANGES.iter() {
        state.apply(change);
        expected_rows.insert(state.revision, live_rows(&state));
    }
    expected_rows
}

pub(super) fn live_rows(state: &ConfigurationState) -> Rows {
    let kept = state.entries.values().filter(|entry| !entry.deleted);
    kept.map(|entry| (entry.key.clone(), entry.value.to_vec()))
        .collect()
}

pub(super) fn new_node() -> Node {
    Node {
        state: ConfigurationState::default(),
        pending: PendingChanges::default(),
        serves: false,
        partitioned: false,
    }
}

/// Drops a snapshot in flight to a restarted node: its link ended with the process.
pub(super) fn drop_snapshot_in_flight(state: &mut State, node: usize) {
    let asked = matches!(&state.answer, Some((to, Answer::Snapshot(_))) if *to == node);
    if asked {
        state.answer = None;
    }
}

pub(super) fn latest_revision(committed: usize) -> u64 {
    CHANGES
        .iter()
        .take(committed)
        .map(|change| change[0].revision)
        .next_back()
        .unwrap_or_default()
}

/// Applies the store's feed to a node, which then serves, since the store is up to date.
pub(super) fn apply_feed(state: &mut State, node: usize) {
    let committed = state.committed;
    let node = &mut state.nodes[node];
    for change in CHANGES.iter().take(committed) {
        node.state.apply(change);
    }
    node.serves = true;
}

pub(super) fn apply_pending(node: &mut Node) {
    while let Some(change) = node.pending.take_next(node.state.revision) {
        if node.state.apply(&change) != Applied::Yes {
            break;
        }
    }
}

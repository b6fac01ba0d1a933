//! State of the store, the nodes and the network, the changes that are committed, and the names of the
//! steps.

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

/// Rounds after which every node has caught up, when nothing fails any more.
pub(super) const HEALING_ROUNDS: usize = 6;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Node {
    pub(super) state: ConfigurationState,
    pub(super) pending: PendingChanges,
    /// Has learnt the configuration since it started or was cut off.
    pub(super) serves: bool,
    pub(super) cut: bool,
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

/// State of the store, the nodes and the network, and what has been observed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Changes committed to the store.
    pub(super) committed: usize,
    pub(super) nodes: [Node; NODES],
    /// An answer on its way to a node, given by one that serves or not.
    pub(super) answer: Option<(usize, Answer)>,
    pub(super) faults: u8,
    /// Highest revision that all nodes had at once.
    pub(super) everywhere: u64,
    pub(super) flaw: Option<&'static str>,
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
    #[display("node {node} hears part {part} of change {change}")]
    Gossip {
        /// The node.
        node: usize,
        /// Which change.
        change: usize,
        /// Which part of it.
        part: usize,
    },
    /// A node asks another for what it lacks, and is answered.
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
    /// A node is cut off.
    #[display("node {node} is cut off")]
    Cut {
        /// The node.
        node: usize,
    },
    /// A node is back in touch.
    #[display("node {node} is back in touch")]
    Mend {
        /// The node.
        node: usize,
    },
    /// A node restarts with nothing.
    #[display("node {node} restarts")]
    Restart {
        /// The node.
        node: usize,
    },
}

/// The changes that are committed in turn: a row, two rows at once, the removal of a row.
pub(super) static CHANGES: LazyLock<Vec<Vec<ConfigurationEntry>>> = LazyLock::new(changes);

/// What must be in force at each revision: the rows that are not deleted.
pub(super) static TRUTH: LazyLock<BTreeMap<u64, Rows>> = LazyLock::new(truth);

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

pub(super) fn truth() -> BTreeMap<u64, Rows> {
    let mut state = ConfigurationState::default();
    let mut truth = BTreeMap::from([(0, Rows::new())]);
    for change in CHANGES.iter() {
        state.apply(change);
        truth.insert(state.revision, in_force(&state));
    }
    truth
}

pub(super) fn in_force(state: &ConfigurationState) -> Rows {
    let kept = state.entries.values().filter(|entry| !entry.deleted);
    kept.map(|entry| (entry.key.clone(), entry.value.to_vec()))
        .collect()
}

pub(super) fn started() -> Node {
    Node {
        state: ConfigurationState::default(),
        pending: PendingChanges::default(),
        serves: false,
        cut: false,
    }
}

/// A snapshot comes over a link, which ends with the process that asked.
pub(super) fn forget_snapshot(state: &mut State, node: usize) {
    let asked = matches!(&state.answer, Some((to, Answer::Snapshot(_))) if *to == node);
    if asked {
        state.answer = None;
    }
}

pub(super) fn head(committed: usize) -> u64 {
    CHANGES
        .iter()
        .take(committed)
        .map(|change| change[0].revision)
        .next_back()
        .unwrap_or_default()
}

/// Reads the feed after the node's revision. What the store holds is up to date, so the node serves.
pub(super) fn feed(state: &mut State, node: usize) {
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

//! Spread of configuration revisions over three nodes.
//!
//! The first node reads the store's change feed; the others learn by gossip, of which any part may
//! arrive at any time, again, late or never, and by answers to digests. Nodes are cut off and restart.
//! A node that has restarted serves again once it has taken a snapshot of a node that serves, or has
//! read the store; one that was cut off once it has caught up with a node that serves.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use dappleyard_decide::configuration::{
    Applied, ConfigurationState, FeedRow, PendingChanges, changes_of_feed,
};
use dappleyard_wire::messages::ConfigurationEntry;
use derive_more::Display;

use crate::checker::Specification;

const NODES: usize = 3;
/// The node that reads the change feed.
const WATCHER: usize = 0;
/// Rounds after which every node has caught up, when nothing fails any more.
const HEALING_ROUNDS: usize = 6;

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

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    state: ConfigurationState,
    pending: PendingChanges,
    /// Has learnt the configuration since it started or was cut off.
    serves: bool,
    cut: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Answer {
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
    committed: usize,
    nodes: [Node; NODES],
    /// An answer on its way to a node, given by one that serves or not.
    answer: Option<(usize, Answer)>,
    faults: u8,
    /// Highest revision that all nodes had at once.
    everywhere: u64,
    flaw: Option<&'static str>,
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
static CHANGES: LazyLock<Vec<Vec<ConfigurationEntry>>> = LazyLock::new(changes);
/// What must be in force at each revision: the rows that are not deleted.
static TRUTH: LazyLock<BTreeMap<u64, Rows>> = LazyLock::new(truth);

type Rows = Vec<(String, Vec<u8>)>;

fn changes() -> Vec<Vec<ConfigurationEntry>> {
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
    changes_of_feed(&rows, 0)
}

fn truth() -> BTreeMap<u64, Rows> {
    let mut state = ConfigurationState::default();
    let mut truth = BTreeMap::from([(0, Rows::new())]);
    for change in CHANGES.iter() {
        state.apply(change);
        truth.insert(state.revision, in_force(&state));
    }
    truth
}

fn in_force(state: &ConfigurationState) -> Rows {
    let kept = state.entries.values().filter(|entry| !entry.deleted);
    kept.map(|entry| (entry.key.clone(), entry.value.to_vec()))
        .collect()
}

impl Configuration {
    fn hear(&self, node: &mut Node, entry: &ConfigurationEntry) {
        match self.mutant {
            Some(Mutant::OlderApplied)
                if entry.parts == 1 && entry.revision < node.state.revision =>
            {
                node.state.revision = entry.previous;
                node.state.apply(std::slice::from_ref(entry));
            }
            Some(Mutant::PartApplied) => {
                let mut entry = entry.clone();
                entry.parts = 1;
                node.state.apply(&[entry]);
            }
            _ if entry.revision > node.state.revision => node.pending.offer(entry.clone()),
            _ => {}
        }
        apply_pending(node);
    }

    fn answer(&self, state: &State, from: usize, to: usize) -> Option<Answer> {
        let (giver, asker) = (&state.nodes[from], &state.nodes[to]);
        let trusted = giver.serves || self.mutant == Some(Mutant::UnreadyPeerTrusted);
        if from == to || giver.cut || asker.cut || !trusted {
            return None;
        }
        if !asker.serves {
            return Some(Answer::Snapshot(giver.state.clone()));
        }
        let after = asker.state.revision;
        let up_to = giver.state.revision;
        if up_to <= after {
            return None;
        }
        Some(match giver.state.entries_after(after) {
            Some(entries) => Answer::Entries {
                after,
                entries,
                up_to,
            },
            None => Answer::Snapshot(giver.state.clone()),
        })
    }

    fn arrive(&self, state: &mut State) {
        let Some((to, answer)) = state.answer.take() else {
            return;
        };
        let node = &mut state.nodes[to];
        if node.cut {
            return;
        }
        match answer {
            Answer::Snapshot(snapshot) => {
                node.state.replace(snapshot);
                node.serves = true;
            }
            Answer::Entries {
                after,
                entries,
                up_to,
            } => {
                let basis = match self.mutant {
                    Some(Mutant::BasisNotCompared) => 0,
                    _ => after,
                };
                node.state.merge(basis, &entries, up_to);
            }
        }
        apply_pending(node);
    }

    /// Whether all nodes reach the store's revision, once nothing fails any more.
    fn converges(&self, state: &State) -> bool {
        let mut state = state.clone();
        for node in &mut state.nodes {
            node.cut = false;
        }
        self.arrive(&mut state);
        for _ in 0..HEALING_ROUNDS {
            feed(&mut state, WATCHER);
            for to in 0..NODES {
                for from in 0..NODES {
                    if let Some(answer) = self.answer(&state, from, to) {
                        state.answer = Some((to, answer));
                        self.arrive(&mut state);
                    }
                }
            }
        }
        let head = head(state.committed);
        let up_to_date = |node: &Node| node.serves && node.state.revision == head;
        state.nodes.iter().all(up_to_date)
    }

    fn steps_of_node(&self, state: &State, node: usize, steps: &mut Vec<(Action, State)>) {
        let this = &state.nodes[node];
        if node == WATCHER && !this.cut {
            let mut next = state.clone();
            feed(&mut next, node);
            steps.push((Action::Feed { node }, next));
        }
        if node != WATCHER && !this.cut {
            for (change, parts) in CHANGES.iter().enumerate().take(state.committed) {
                for (part, entry) in parts.iter().enumerate() {
                    let mut next = state.clone();
                    self.hear(&mut next.nodes[node], entry);
                    steps.push((Action::Gossip { node, change, part }, next));
                }
            }
        }
        for from in 0..NODES {
            if let (None, Some(answer)) = (&state.answer, self.answer(state, from, node)) {
                let mut next = state.clone();
                next.answer = Some((node, answer));
                steps.push((Action::Ask { from, to: node }, next));
            }
        }
        if this.cut {
            let mut next = state.clone();
            next.nodes[node].cut = false;
            steps.push((Action::Mend { node }, next));
        }
        if state.faults < self.faults {
            let mut next = state.clone();
            next.faults += 1;
            next.nodes[node] = started();
            next.nodes[node].cut = this.cut;
            forget_snapshot(&mut next, node);
            steps.push((Action::Restart { node }, next));
        }
        if state.faults < self.faults && !this.cut {
            let mut next = state.clone();
            next.faults += 1;
            next.nodes[node].cut = true;
            next.nodes[node].serves = false;
            steps.push((Action::Cut { node }, next));
        }
    }

    /// Looks at a step: what a node has in force must never go back without a restart.
    fn observe(before: &State, after: &mut State, action: &Action) {
        let restart = matches!(action, Action::Restart { .. });
        let pairs = before.nodes.iter().zip(&after.nodes);
        let reverted = pairs
            .clone()
            .any(|(before, after)| after.state.revision < before.state.revision);
        let torn = after
            .nodes
            .iter()
            .any(|node| in_force(&node.state) != TRUTH[&node.state.revision]);
        let everywhere = after.nodes.iter().map(|node| node.state.revision).min();
        after.everywhere = before.everywhere.max(everywhere.unwrap_or_default());
        let behind = |node: &Node| node.serves && node.state.revision < after.everywhere;
        if reverted && !restart {
            after.flaw = Some("a node went back to an older revision");
        } else if torn {
            after.flaw = Some("a node has part of a change in force");
        } else if after.nodes.iter().any(behind) {
            after.flaw =
                Some("a node serves a revision older than one that was in force everywhere");
        }
    }
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

fn started() -> Node {
    Node {
        state: ConfigurationState::default(),
        pending: PendingChanges::default(),
        serves: false,
        cut: false,
    }
}

/// A snapshot comes over a link, which ends with the process that asked.
fn forget_snapshot(state: &mut State, node: usize) {
    let asked = matches!(&state.answer, Some((to, Answer::Snapshot(_))) if *to == node);
    if asked {
        state.answer = None;
    }
}

fn head(committed: usize) -> u64 {
    CHANGES
        .iter()
        .take(committed)
        .map(|change| change[0].revision)
        .next_back()
        .unwrap_or_default()
}

/// Reads the feed after the node's revision. What the store holds is up to date, so the node serves.
fn feed(state: &mut State, node: usize) {
    let committed = state.committed;
    let node = &mut state.nodes[node];
    for change in CHANGES.iter().take(committed) {
        node.state.apply(change);
    }
    node.serves = true;
}

fn apply_pending(node: &mut Node) {
    while let Some(change) = node.pending.take_next(node.state.revision) {
        if node.state.apply(&change) != Applied::Yes {
            break;
        }
    }
}

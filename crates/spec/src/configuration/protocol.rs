//! Handling of gossip and answers by a node, and the invariants checked on each transition.

use dappleyard_wire::messages::ConfigurationEntry;

use super::state::{
    Action, Answer, EXPECTED_ROWS, FAULT_FREE_ROUNDS, NODES, Node, State, WATCHER, apply_feed,
    apply_pending, latest_revision, live_rows,
};
use super::{Configuration, Mutant};

impl Configuration {
    pub(super) fn receive_gossip(&self, node: &mut Node, entry: &ConfigurationEntry) {
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

    pub(super) fn answer(&self, state: &State, from: usize, to: usize) -> Option<Answer> {
        let (responder, requester) = (&state.nodes[from], &state.nodes[to]);
        let trusted = responder.serves || self.mutant == Some(Mutant::UnreadyPeerTrusted);
        if from == to || responder.partitioned || requester.partitioned || !trusted {
            return None;
        }
        if !requester.serves {
            return Some(Answer::Snapshot(responder.state.clone()));
        }
        let after = requester.state.revision;
        let up_to = responder.state.revision;
        if up_to <= after {
            return None;
        }
        Some(match responder.state.entries_after(after) {
            Some(entries) => Answer::Entries {
                after,
                entries,
                up_to,
            },
            None => Answer::Snapshot(responder.state.clone()),
        })
    }

    pub(super) fn receive_answer(&self, state: &mut State) {
        let Some((to, answer)) = state.answer.take() else {
            return;
        };
        let node = &mut state.nodes[to];
        if node.partitioned {
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

    /// Liveness: without further faults all nodes serve the store's latest revision.
    pub(super) fn converges(&self, state: &State) -> bool {
        let mut state = state.clone();
        for node in &mut state.nodes {
            node.partitioned = false;
        }
        self.receive_answer(&mut state);
        for _ in 0..FAULT_FREE_ROUNDS {
            apply_feed(&mut state, WATCHER);
            for to in 0..NODES {
                for from in 0..NODES {
                    if let Some(answer) = self.answer(&state, from, to) {
                        state.answer = Some((to, answer));
                        self.receive_answer(&mut state);
                    }
                }
            }
        }
        let latest_revision = latest_revision(state.committed);
        let up_to_date = |node: &Node| node.serves && node.state.revision == latest_revision;
        state.nodes.iter().all(up_to_date)
    }

    /// Checks a transition and records a violation: a revision that goes back without a restart, a
    /// partly applied change, or a stale node that serves.
    pub(super) fn check_transition(before: &State, after: &mut State, action: &Action) {
        let restart = matches!(action, Action::Restart { .. });
        let pairs = before.nodes.iter().zip(&after.nodes);
        let reverted = pairs
            .clone()
            .any(|(before, after)| after.state.revision < before.state.revision);
        let partially_applied = after
            .nodes
            .iter()
            .any(|node| live_rows(&node.state) != EXPECTED_ROWS[&node.state.revision]);
        let reached_by_all = after.nodes.iter().map(|node| node.state.revision).min();
        after.reached_by_all = before
            .reached_by_all
            .max(reached_by_all.unwrap_or_default());
        let behind = |node: &Node| node.serves && node.state.revision < after.reached_by_all;
        if reverted && !restart {
            after.observed_violation = Some("a node went back to an older revision");
        } else if partially_applied {
            after.observed_violation = Some("a node has applied part of a change");
        } else if after.nodes.iter().any(behind) {
            after.observed_violation =
                Some("a node serves a revision older than one that all nodes had reached");
        }
    }
}

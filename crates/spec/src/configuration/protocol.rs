//! What a node does with what it hears, and what is observed of it.

use dappleyard_wire::messages::ConfigurationEntry;

use super::state::{
    Action, Answer, HEALING_ROUNDS, NODES, Node, State, TRUTH, WATCHER, apply_pending, feed, head,
    in_force,
};
use super::{Configuration, Mutant};

impl Configuration {
    pub(super) fn hear(&self, node: &mut Node, entry: &ConfigurationEntry) {
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

    pub(super) fn arrive(&self, state: &mut State) {
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
    pub(super) fn converges(&self, state: &State) -> bool {
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

    /// Looks at a step: what a node has in force must never go back without a restart.
    pub(super) fn observe(before: &State, after: &mut State, action: &Action) {
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

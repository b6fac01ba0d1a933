//! The steps of one node.

use super::Configuration;
use super::state::{Action, CHANGES, NODES, State, WATCHER, feed, forget_snapshot, started};

impl Configuration {
    pub(super) fn steps_of_node(
        &self,
        state: &State,
        node: usize,
        steps: &mut Vec<(Action, State)>,
    ) {
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
}

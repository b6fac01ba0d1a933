//! The enabled actions of one node.

use super::Configuration;
use super::state::{
    Action, CHANGES, NODES, State, WATCHER, apply_feed, drop_snapshot_in_flight, new_node,
};

impl Configuration {
    pub(super) fn steps_of_node(
        &self,
        state: &State,
        node: usize,
        steps: &mut Vec<(Action, State)>,
    ) {
        let this = &state.nodes[node];
        if node == WATCHER && !this.partitioned {
            let mut next = state.clone();
            apply_feed(&mut next, node);
            steps.push((Action::Feed { node }, next));
        }
        if node != WATCHER && !this.partitioned {
            for (change, parts) in CHANGES.iter().enumerate().take(state.committed) {
                for (part, entry) in parts.iter().enumerate() {
                    let mut next = state.clone();
                    self.receive_gossip(&mut next.nodes[node], entry);
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
        if this.partitioned {
            let mut next = state.clone();
            next.nodes[node].partitioned = false;
            steps.push((Action::Heal { node }, next));
        }
        if state.faults < self.faults {
            let mut next = state.clone();
            next.faults += 1;
            next.nodes[node] = new_node();
            next.nodes[node].partitioned = this.partitioned;
            drop_snapshot_in_flight(&mut next, node);
            steps.push((Action::Restart { node }, next));
        }
        if state.faults < self.faults && !this.partitioned {
            let mut next = state.clone();
            next.faults += 1;
            next.nodes[node].partitioned = true;
            next.nodes[node].serves = false;
            steps.push((Action::Partition { node }, next));
        }
    }
}

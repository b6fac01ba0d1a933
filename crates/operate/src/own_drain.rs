//! Drains this node while the configuration has a drain row for it.

use std::sync::Arc;

use dappleyard_tables::decisions::{DecisionKind, Subject};
use dappleyard_tables::{Lifecycle, NodeTables};

use crate::local::lifecycle_name;
use crate::record::record;

/// Watches the configuration and sets the lifecycle of this node when its drain starts or ends.
pub async fn watch_own_drain(tables: Arc<NodeTables>) {
    let mut configurations = tables.configuration.subscribe();
    let key = ("node".to_owned(), tables.identity.node.to_string());
    let mut draining = false;
    loop {
        let should_drain = configurations.borrow_and_update().drains.contains_key(&key);
        if should_drain != draining {
            draining = should_drain;
            // Membership moves a withdrawn node to ready once its configuration is current.
            let next = if should_drain {
                Lifecycle::Draining
            } else {
                Lifecycle::Withdrawn
            };
            set_lifecycle(&tables, next);
        }
        if configurations.changed().await.is_err() {
            return;
        }
    }
}

fn set_lifecycle(tables: &NodeTables, next: Lifecycle) {
    let changed = tables.lifecycle.send_if_modified(|current| {
        let changes = *current != Lifecycle::Stopped && *current != next;
        if changes {
            *current = next;
        }
        changes
    });
    if changed {
        let node = tables.identity.node.to_string();
        let cause = match next {
            Lifecycle::Draining => "a drain of the node is in force",
            _ => "the drain of the node has ended",
        };
        record(tables, DecisionKind::Withdrawn, cause)
            .about(Subject::Node(node))
            .outcome(format!("the node is {}", lifecycle_name(next)));
        tracing::info!(?next, "lifecycle changed by a drain of this node");
    }
}

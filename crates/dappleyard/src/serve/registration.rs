//! Registers a node with the others.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::{NodeRow, Registration, is_strong};
use dappleyard_ingress::Node;
use dappleyard_model::RowStore;

/// Delay after the first failed write. It doubles with each failure and is jittered, so that nodes that
/// start together do not retry together.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the delay before jitter.
const MAXIMUM_BACKOFF: Duration = Duration::from_millis(800);

fn node_row(node: &Node) -> NodeRow {
    NodeRow {
        life: node.life,
        front: node.settings.listen.front.to_string(),
        zone: node.settings.zone.clone(),
        peer: format!("{}:{}", node.settings.ip, node.settings.peer_port),
        leaving: node.is_leaving(),
        strong: is_strong(node.settings.resources),
    }
}

/// Writes the node's row, retrying until the store accepts it.
pub async fn register(node: Arc<Node>, registration: Rc<Registration>, store: Rc<dyn RowStore>) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match registration.write(&node_row(&node), store.as_ref()).await {
            Ok(revision) => {
                node.log.write("registered", || {
                    serde_json::json!({"life": node.life, "leaving": node.is_leaving(),
                        "revision": revision})
                });
                return;
            }
            Err(error) => {
                node.log.write(
                    "registration_failed",
                    || serde_json::json!({"cause": error.to_string()}),
                );
                tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.5))).await;
                backoff = (backoff * 2).min(MAXIMUM_BACKOFF);
            }
        }
    }
}

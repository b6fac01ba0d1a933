//! The row that registers a node with the others.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::{NODES_TABLE, NodeRow, is_strong, node_key};
use dappleyard_ingress::Node;
use dappleyard_model::{RowKey, RowStore, StoreError, Transaction};
use prost::Message;

/// Delay after the first failed write. It doubles with each failure and is jittered, so that nodes that
/// start together do not retry together.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the delay before jitter.
const MAXIMUM_BACKOFF: Duration = Duration::from_millis(800);

fn row_key(node: &Node) -> RowKey {
    node_key(&node.settings.zone, &node.settings.name)
}

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
pub async fn register(node: Arc<Node>, store: Rc<dyn RowStore>) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let transaction =
            Transaction::default().put(row_key(&node), node_row(&node).encode_to_vec());
        match store.transact(&transaction).await {
            Ok(committed) => {
                node.log.write("registered", || {
                    serde_json::json!({"life": node.life, "leaving": node.is_leaving(),
                        "revision": committed.revision})
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

/// Removes the node's row, unless a later process of the same node has written it.
pub async fn unregister(node: &Node, store: &dyn RowStore) -> Result<(), StoreError> {
    let key = row_key(node);
    let range_end = format!("{}\u{1}", key.key);
    let read = store
        .read(NODES_TABLE, &key.part, &key.key, &range_end, 1)
        .await?;
    let found = read.rows.into_iter().find(|found| found.key == key.key);
    let Some(found) = found else {
        return Ok(());
    };
    let stored = found.value.and_then(|value| NodeRow::decode(value).ok());
    if stored.is_some_and(|stored| stored.life == node.life) {
        let removal = Transaction::default()
            .expect(key.clone(), found.revision)
            .remove(key);
        store.transact(&removal).await?;
    }
    Ok(())
}

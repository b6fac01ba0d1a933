//! The row with which a node makes itself known to the others.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::{NODES_TABLE, NodeRow, is_strong, node_key};
use dappleyard_ingress::Node;
use dappleyard_model::{RowKey, RowStore, StoreError, Transaction};
use prost::Message;

/// Pause after the first call that the store did not answer; it doubles, and is scattered: nodes that begin together must
/// not come back together.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

fn key(node: &Node) -> RowKey {
    node_key(&node.settings.zone, &node.settings.name)
}

fn row(node: &Node) -> NodeRow {
    NodeRow {
        life: node.life,
        front: node.settings.listen.front.to_string(),
        zone: node.settings.zone.clone(),
        peer: format!("{}:{}", node.settings.ip, node.settings.peer_port),
        leaving: node.is_leaving(),
        strong: is_strong(node.settings.resources),
    }
}

/// Writes the node's row until the store has taken it.
pub async fn register(node: Arc<Node>, store: Rc<dyn RowStore>) {
    let mut pause = FIRST_PAUSE;
    loop {
        let transaction = Transaction::default().put(key(&node), row(&node).encode_to_vec());
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
                tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Removes the node's row, unless a later life has written it.
pub async fn unregister(node: &Node, store: &dyn RowStore) -> Result<(), StoreError> {
    let key = key(node);
    let behind = format!("{}\u{1}", key.key);
    let read = store
        .read(NODES_TABLE, &key.part, &key.key, &behind, 1)
        .await?;
    let found = read.rows.into_iter().find(|found| found.key == key.key);
    let Some(found) = found else {
        return Ok(());
    };
    let held = found.value.and_then(|value| NodeRow::decode(value).ok());
    if held.is_some_and(|held| held.life == node.life) {
        let removal = Transaction::default()
            .expect(key.clone(), found.revision)
            .remove(key);
        store.transact(&removal).await?;
    }
    Ok(())
}

//! Writes and removes the row of a node.
//!
//! Each write expects the row as this process knows it. A write without an answer may be done seconds later, by when
//! the node may have started again: without the condition it would put the row of an ended process over that of its
//! successor.

use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use dappleyard_model::{RowKey, RowStore, StoreError, Transaction};
use prost::Message;

use crate::messages::NodeRow;
use crate::peer_rows::node_key;
use crate::peers::NODES_TABLE;

/// Attempts of one write: the first may find the row of an earlier process.
const WRITE_ATTEMPTS: usize = 2;

/// The row of this node in the store.
pub struct Registration {
    key: RowKey,
    /// Revision of the row as last known; 0 while none is.
    revision: AtomicU64,
}

impl Registration {
    pub fn new(zone: &str, name: &str) -> Self {
        Self {
            key: node_key(zone, name),
            revision: AtomicU64::new(0),
        }
    }

    /// Writes the row; returns its revision.
    pub async fn write(&self, row: &NodeRow, store: &dyn RowStore) -> Result<u64, StoreError> {
        let value = Bytes::from(row.encode_to_vec());
        let mut written = self.try_write(&value, store).await;
        for _ in 1..WRITE_ATTEMPTS {
            if !matches!(written, Err(StoreError::Conflict { .. })) {
                break;
            }
            written = self.try_write(&value, store).await;
        }
        written
    }

    async fn try_write(&self, value: &Bytes, store: &dyn RowStore) -> Result<u64, StoreError> {
        let expected = self.revision.load(Ordering::Relaxed);
        let transaction = Transaction::default()
            .expect(self.key.clone(), expected)
            .put(self.key.clone(), value.clone());
        let outcome = store.transact(&transaction).await;
        let (revision, outcome) = match outcome {
            Ok(committed) => (committed.revision, Ok(committed.revision)),
            Err(StoreError::Conflict { rows }) => {
                let found = rows.iter().find(|found| found.key == self.key.key);
                let revision = found.map_or(0, |found| found.revision);
                // An earlier write without an answer was done.
                let is_own = found.is_some_and(|found| found.value.as_ref() == Some(value));
                let outcome = match is_own {
                    true => Ok(revision),
                    false => Err(StoreError::Conflict { rows }),
                };
                (revision, outcome)
            }
            Err(error) => return Err(error),
        };
        self.revision.store(revision, Ordering::Relaxed);
        outcome
    }

    /// Removes the row, unless another process of the same node has written it.
    pub async fn remove(&self, life: u64, store: &dyn RowStore) -> Result<(), StoreError> {
        let key = &self.key;
        let range_end = format!("{}\u{1}", key.key);
        let read = store
            .read(NODES_TABLE, &key.part, &key.key, &range_end, 1)
            .await?;
        let found = read.rows.into_iter().find(|found| found.key == key.key);
        let Some(found) = found else {
            return Ok(());
        };
        let stored = found.value.and_then(|value| NodeRow::decode(value).ok());
        if stored.is_some_and(|stored| stored.life == life) {
            let removal = Transaction::default()
                .expect(key.clone(), found.revision)
                .remove(key.clone());
            store.transact(&removal).await?;
        }
        Ok(())
    }
}

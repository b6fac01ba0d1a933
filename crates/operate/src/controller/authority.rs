//! Leadership of a service: an epoch row, incremented by compare-and-swap when a controller starts.
//!
//! There is no lease to renew. A successor increments the epoch, which fences every later order and
//! write of its predecessor, even if that process was suspended.

use dappleyard_decide::fence::OrderPosition;
use dappleyard_store::{Expect, Row, StoreError, TableStore, Transaction};
use dappleyard_tables::Identity;
use dappleyard_wire::keys;
use dappleyard_wire::messages::EpochRow;
use dappleyard_wire::{ErrorKind, Failure};

use crate::plans::store::encoded;
use crate::snapshot::{decode, store_failure};

/// Leadership of one service, valid until another controller increments the epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Authority {
    key: String,
    epoch: u64,
    sequence: u64,
    revision: u64,
    /// Previous holder; empty if there was none.
    pub predecessor: String,
}

impl Authority {
    /// Increments the epoch of a service. Fails with [`ErrorKind::Fenced`] if another node did so
    /// first.
    pub async fn claim(
        tables: &dyn TableStore,
        service: &str,
        identity: &Identity,
    ) -> Result<Authority, Failure> {
        let key = keys::epoch(&format!("service/{service}"));
        let known = tables
            .get(&key)
            .await
            .map_err(|error| store_failure(&error))?;
        let before = match &known {
            Some(row) => decode::<EpochRow>(&key, &row.value)?,
            None => EpochRow::default(),
        };
        let next = EpochRow {
            epoch: before.epoch + 1,
            holder: identity.node.to_string(),
            holder_incarnation: identity.incarnation,
            sequence: 0,
        };
        let revision = raise(tables, &key, known.as_ref(), &next).await?;
        Ok(Authority {
            key,
            epoch: next.epoch,
            sequence: 0,
            revision,
            predecessor: before.holder,
        })
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Epoch and sequence number of the next order.
    pub fn next_position(&mut self) -> OrderPosition {
        self.sequence += 1;
        OrderPosition {
            epoch: self.epoch,
            sequence: self.sequence,
        }
    }

    /// Makes a transaction conditional on the epoch row being unchanged.
    #[must_use]
    pub fn guard(&self, transaction: Transaction) -> Transaction {
        transaction.expect(self.key.clone(), Expect::Revision(self.revision))
    }

    /// Whether a store error is a conflict on the epoch row.
    pub fn is_lost(&self, conflict: &StoreError) -> bool {
        matches!(conflict, StoreError::Conflict { key, .. } if *key == self.key)
    }
}

async fn raise(
    tables: &dyn TableStore,
    key: &str,
    known: Option<&Row>,
    next: &EpochRow,
) -> Result<u64, Failure> {
    let expect = known.map_or(Expect::Absent, |row| Expect::Revision(row.revision));
    let transaction = Transaction::default()
        .expect(key, expect)
        .put(key, encoded(next));
    match tables.transact(transaction).await {
        Ok(revision) => Ok(revision),
        Err(StoreError::Ambiguous { .. }) => read_back(tables, key, next).await,
        Err(StoreError::Conflict { .. }) => Err(fenced()),
        Err(error) => Err(store_failure(&error)),
    }
}

/// Resolves an ambiguous write: it succeeded if the row has this epoch, node and incarnation.
async fn read_back(tables: &dyn TableStore, key: &str, next: &EpochRow) -> Result<u64, Failure> {
    let row = tables
        .get(key)
        .await
        .map_err(|error| store_failure(&error))?;
    match row {
        Some(row) if decode::<EpochRow>(key, &row.value)? == *next => Ok(row.revision),
        _ => Err(fenced()),
    }
}

fn fenced() -> Failure {
    Failure::not_run(ErrorKind::Fenced, "another node holds the service's epoch")
}

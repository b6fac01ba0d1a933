//! Authority over a service: the epoch row, raised by compare-and-swap when a controller starts.
//!
//! No lease is renewed. A successor raises the epoch; from then on every order and every write of the
//! predecessor fails, also when it was paused and wakes.

use dappleyard_decide::fence::OrderPosition;
use dappleyard_store::{Expect, Row, StoreError, TableStore, Transaction};
use dappleyard_tables::Identity;
use dappleyard_wire::keys;
use dappleyard_wire::messages::EpochRow;
use dappleyard_wire::{ErrorKind, Failure};

use crate::plans::store::encoded;
use crate::snapshot::{decode, store_failure};

/// Authority over one service, held until somebody raises the epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Authority {
    key: String,
    epoch: u64,
    sequence: u64,
    revision: u64,
    /// Who held it before; empty for nobody.
    pub predecessor: String,
}

impl Authority {
    /// Raises the epoch of a service. [`ErrorKind::Fenced`] when somebody else raised it first.
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

    /// Epoch held.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Position of the next order.
    pub fn next_position(&mut self) -> OrderPosition {
        self.sequence += 1;
        OrderPosition {
            epoch: self.epoch,
            sequence: self.sequence,
        }
    }

    /// Adds the expectation that nobody has raised the epoch since.
    #[must_use]
    pub fn guard(&self, transaction: Transaction) -> Transaction {
        transaction.expect(self.key.clone(), Expect::Revision(self.revision))
    }

    /// Whether a conflict says that the epoch was raised by somebody else.
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

/// After a lost answer: the row is this claim's when it names this start of this node and its epoch.
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

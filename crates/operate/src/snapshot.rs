//! Rows read from the table store for one decision, with their revisions.

use std::collections::BTreeMap;

use dappleyard_store::{Expect, Row, StoreError, TableStore, Transaction};
use dappleyard_wire::messages::PlanBasis;
use dappleyard_wire::{ErrorKind, Failure};
use prost::Message;

/// Rows that were read, including absent ones.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    rows: BTreeMap<String, Option<Row>>,
}

impl Snapshot {
    /// Reads rows by key, one at a time; not an atomic snapshot.
    pub async fn read(
        tables: &dyn TableStore,
        keys: impl IntoIterator<Item = String>,
    ) -> Result<Snapshot, Failure> {
        let mut snapshot = Snapshot::default();
        for key in keys {
            let row = tables
                .get(&key)
                .await
                .map_err(|error| store_failure(&error))?;
            snapshot.rows.insert(key, row);
        }
        Ok(snapshot)
    }

    /// A row's value; `None` when it is absent or was not read.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        let row = self.rows.get(key)?.as_ref()?;
        Some(&row.value)
    }

    /// A row as a message; `None` when it is absent.
    pub fn message<M: Message + Default>(&self, key: &str) -> Result<Option<M>, Failure> {
        self.value(key).map(|value| decode(key, value)).transpose()
    }

    /// Expectations under which this snapshot is still current.
    pub fn expectations(&self) -> impl Iterator<Item = (String, Expect)> {
        self.rows.iter().map(|(key, row)| {
            let expect = row
                .as_ref()
                .map_or(Expect::Absent, |row| Expect::Revision(row.revision));
            (key.clone(), expect)
        })
    }

    /// Keys and revisions as the basis of a plan.
    pub fn basis(&self) -> Vec<PlanBasis> {
        self.rows
            .iter()
            .map(|(key, row)| PlanBasis {
                key: key.clone(),
                revision: row.as_ref().map_or(0, |row| row.revision),
            })
            .collect()
    }

    /// Makes a transaction conditional on all rows being unchanged.
    pub fn guard(&self, transaction: Transaction) -> Transaction {
        self.expectations()
            .fold(transaction, |transaction, (key, expect)| {
                transaction.expect(key, expect)
            })
    }

    /// Revision of a row; 0 when it is absent.
    pub fn revision(&self, key: &str) -> u64 {
        let row = self.rows.get(key).and_then(Option::as_ref);
        row.map_or(0, |row| row.revision)
    }
}

/// Decodes a row's value as a message.
pub fn decode<M: Message + Default>(key: &str, value: &[u8]) -> Result<M, Failure> {
    M::decode(value).map_err(|error| {
        Failure::not_run(
            ErrorKind::Internal,
            format!("row {key} cannot be read: {error}"),
        )
    })
}

/// Converts a store error to a failure with advice for the operator.
pub fn store_failure(error: &StoreError) -> Failure {
    const RETRY_AFTER_MS: u32 = 1_000;
    match error {
        StoreError::Ambiguous { .. } => Failure::maybe_ran(
            ErrorKind::StoreUnavailable,
            format!("{error}; ask again to learn whether the change took effect"),
        )
        .retry_after(RETRY_AFTER_MS),
        StoreError::RateLimited { retry_after_ms } => {
            Failure::not_run(ErrorKind::StoreUnavailable, error.to_string())
                .retry_after(*retry_after_ms)
        }
        StoreError::Unavailable { .. } => Failure::not_run(
            ErrorKind::StoreUnavailable,
            format!("{error}; try again when it is back"),
        )
        .retry_after(RETRY_AFTER_MS),
        StoreError::Conflict { .. } => Failure::not_run(ErrorKind::Conflict, error.to_string()),
        StoreError::Invalid { .. } => Failure::not_run(ErrorKind::Internal, error.to_string()),
    }
}

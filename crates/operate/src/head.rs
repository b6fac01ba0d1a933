//! Head row of the configuration. Every transaction that changes configuration writes it, so that
//! all changes form one chain.

use dappleyard_store::{Expect, Row, StoreError, TableStore, Transaction};
use dappleyard_wire::keys::CONFIGURATION_HEAD;

/// The head row at the revision that was read.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationHead {
    row: Option<Row>,
}

impl ConfigurationHead {
    pub async fn read(tables: &dyn TableStore) -> Result<ConfigurationHead, StoreError> {
        Ok(ConfigurationHead {
            row: tables.get(CONFIGURATION_HEAD).await?,
        })
    }

    /// Revision of the last configuration change; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.revision)
    }

    /// Makes a transaction conditional on this head and writes the next head, whose value is the
    /// previous revision.
    #[must_use]
    pub fn chain(&self, transaction: Transaction) -> Transaction {
        let expect = match &self.row {
            Some(row) => Expect::Revision(row.revision),
            None => Expect::Absent,
        };
        transaction
            .expect(CONFIGURATION_HEAD, expect)
            .put(CONFIGURATION_HEAD, self.revision().to_string())
    }
}

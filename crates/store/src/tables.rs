//! Port of the transactional table service.

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};

/// One row as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value, a message of `rows.proto`.
    pub value: Bytes,
    /// Revision of the store at which this value was written; grows with each change.
    pub revision: u64,
}

/// What a transaction expects of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row was last written at this revision.
    Revision(u64),
    /// The row exists.
    Present,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Writes a row.
    Put {
        /// Key of the row.
        key: String,
        /// New value.
        value: Bytes,
    },
    /// Removes a row.
    Delete {
        /// Key of the row.
        key: String,
    },
}

/// Comparisons and writes that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Comparisons; each must hold.
    pub compare: Vec<(String, Expect)>,
    /// Writes; applied in order at one revision.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a comparison.
    #[must_use]
    pub fn expect(mut self, key: impl Into<String>, expect: Expect) -> Self {
        self.compare.push((key.into(), expect));
        self
    }

    /// Adds a write of a row.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        self.writes.push(Write::Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Adds the removal of a row.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

/// Rows that changed, in order of their revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changed rows; `None` for a removed one.
    pub rows: Vec<(String, u64, Option<Bytes>)>,
    /// Revision up to which the feed was read; continue after it.
    pub up_to: u64,
    /// The feed no longer reaches back to the revision asked for: read the range instead.
    pub compacted: bool,
}

/// Why a call to a store did not give what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The store was not reached, or refused: nothing was changed.
    #[display("the store is unavailable and changed nothing: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// The answer was lost: the change may have taken effect. Read back to learn which.
    #[display("the store's answer was lost: {reason}")]
    Ambiguous {
        /// What was seen.
        reason: String,
    },
    /// A comparison failed: nothing was changed.
    #[display("row {key} is not as expected (revision {actual:?})")]
    Conflict {
        /// First row that was not as expected.
        key: String,
        /// Its revision; `None` when it is absent.
        actual: Option<u64>,
    },
    /// Too many calls: nothing was changed.
    #[display("the store asks to wait {retry_after_ms} ms")]
    RateLimited {
        /// When to come back, milliseconds.
        retry_after_ms: u32,
    },
    /// The call is malformed or too large: nothing was changed.
    #[display("the store refuses the call: {reason}")]
    Invalid {
        /// What the store said.
        reason: String,
    },
}

/// The platform's transactional table service.
#[async_trait(?Send)]
pub trait TableStore {
    /// Applies a transaction and returns the store's new revision.
    async fn transact(&self, transaction: Transaction) -> Result<u64, StoreError>;

    /// Reads one row.
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError>;

    /// Reads rows whose keys start with `prefix` and are greater than `after`, in key order.
    async fn range(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError>;

    /// Reads changes of rows under `prefix` after a revision. Waits up to `wait_ms` for one.
    async fn changes(&self, prefix: &str, after: u64, wait_ms: u32) -> Result<Changes, StoreError>;
}

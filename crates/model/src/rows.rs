//! Trait and types of the transactional row store.

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};

/// Address of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowKey {
    pub table: &'static str,
    /// Partition of the table; all rows of a transaction must be in the same one.
    pub part: String,
    /// Key within the partition.
    pub key: String,
}

impl RowKey {
    pub fn new(table: &'static str, part: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            table,
            part: part.into(),
            key: key.into(),
        }
    }
}

/// Row of a read, or change of a feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    pub part: String,
    pub key: String,
    /// `None` for a row removed, in a feed.
    pub value: Option<Bytes>,
    /// Revision at which it was written.
    pub revision: u64,
}

/// Precondition of a transaction: a row must have the given revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    pub row: RowKey,
    /// Expected revision; 0 means that the row must not exist.
    pub revision: u64,
}

/// Atomic set of conditions and writes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// All must hold.
    pub conditions: Vec<Condition>,
    pub puts: Vec<(RowKey, Bytes)>,
    pub removals: Vec<RowKey>,
}

impl Transaction {
    /// Adds a condition.
    #[must_use]
    pub fn expect(mut self, row: RowKey, revision: u64) -> Self {
        self.conditions.push(Condition { row, revision });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, row: RowKey, value: impl Into<Bytes>) -> Self {
        self.puts.push((row, value.into()));
        self
    }

    /// Total size of the written values.
    pub fn value_bytes(&self) -> usize {
        self.puts.iter().map(|(_, value)| value.len()).sum()
    }

    /// Adds a removal.
    #[must_use]
    pub fn remove(mut self, row: RowKey) -> Self {
        self.removals.push(row);
        self
    }
}

/// Result of a committed transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Committed {
    /// Revision of the rows written.
    pub revision: u64,
    /// Monotonic clock of the store.
    pub now_ms: u64,
}

/// Rows of one consistent read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    /// Rows in ascending key order.
    pub rows: Vec<Row>,
    /// Whether the limit cut off further rows.
    pub more: bool,
    /// Revision of the store at the time of the read.
    pub revision: u64,
    /// Monotonic clock of the store.
    pub now_ms: u64,
}

/// Changes of a table, in revision order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Feed {
    pub rows: Vec<Row>,
    /// Revision to continue after.
    pub revision: u64,
    /// Monotonic clock of the store.
    pub now_ms: u64,
}

/// Error of a store call.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The store could not be reached or refused the call; nothing was changed.
    #[display("the store is unavailable and changed nothing: {reason}")]
    Unavailable {
        /// Details of the failure.
        reason: String,
    },
    /// The answer was lost; the change may have taken effect or may still do so.
    #[display("the store's answer was lost: {reason}")]
    Ambiguous {
        /// Details of the failure.
        reason: String,
    },
    /// A condition failed; nothing was changed.
    #[display("a condition of the transaction failed")]
    Conflict {
        /// Current rows of the conditions.
        rows: Vec<Row>,
    },
    /// The feed no longer reaches back to the requested revision.
    #[display("the history of the feed is gone")]
    Compacted,
    /// The call is malformed or too large; nothing was changed.
    #[display("the store refuses the call: {reason}")]
    Invalid {
        /// Reason given by the store.
        reason: String,
    },
}

/// A transactional row store.
#[async_trait(?Send)]
pub trait RowStore {
    async fn transact(&self, transaction: &Transaction) -> Result<Committed, StoreError>;

    /// Reads rows of a partition with keys in `from..to`; an empty `to` means no upper bound.
    async fn read(
        &self,
        table: &'static str,
        part: &str,
        from: &str,
        to: &str,
        limit: usize,
    ) -> Result<Rows, StoreError>;

    /// Lists the partitions of a table.
    async fn parts(&self, table: &'static str) -> Result<Vec<String>, StoreError>;

    /// Reads the changes of a table after a revision, waiting up to `wait_ms` for the first one.
    async fn feed(&self, table: &'static str, after: u64, wait_ms: u64)
    -> Result<Feed, StoreError>;
}

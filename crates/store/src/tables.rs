//! Trait and types of the transactional table service.

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};

/// Row of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    pub key: String,
    /// Encoded message of `rows.proto`.
    pub value: Bytes,
    /// Revision of the store at which this value was written.
    pub revision: u64,
}

/// Expected state of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row was last written at this revision.
    Revision(u64),
    /// The row exists.
    Present,
}

/// Write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    Put { key: String, value: Bytes },
    Delete { key: String },
}

/// Atomic set of comparisons and writes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// All must hold.
    pub compare: Vec<(String, Expect)>,
    /// Applied in order, at one revision.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a comparison.
    #[must_use]
    pub fn expect(mut self, key: impl Into<String>, expect: Expect) -> Self {
        self.compare.push((key.into(), expect));
        self
    }

    /// Adds a put.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        self.writes.push(Write::Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Adds a delete.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

/// Changed rows, in revision order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Key, revision and value; `None` for a removed row.
    pub rows: Vec<(String, u64, Option<Bytes>)>,
    /// Revision up to which the feed was read, to continue after.
    pub up_to: u64,
    /// The feed no longer reaches back to the requested revision: read the range instead.
    pub compacted: bool,
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
    /// The answer was lost; the change may have taken effect. Read back to find out.
    #[display("the store's answer was lost: {reason}")]
    Ambiguous {
        /// Details of the failure.
        reason: String,
    },
    /// A comparison failed; nothing was changed.
    #[display("row {key} is not as expected (revision {actual:?})")]
    Conflict {
        /// First row that differs.
        key: String,
        /// Its revision; `None` if it does not exist.
        actual: Option<u64>,
    },
    /// Too many calls; nothing was changed.
    #[display("the store asks to wait {retry_after_ms} ms")]
    RateLimited {
        /// Time to wait before a retry.
        retry_after_ms: u32,
    },
    /// The call is malformed or too large; nothing was changed.
    #[display("the store refuses the call: {reason}")]
    Invalid {
        /// Reason given by the store.
        reason: String,
    },
}

/// Transactional table service of the platform.
#[async_trait(?Send)]
pub trait TableStore {
    /// Applies a transaction and returns the store's new revision.
    async fn transact(&self, transaction: Transaction) -> Result<u64, StoreError>;

    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError>;

    /// Reads rows whose keys start with `prefix` and are greater than `after`, in key order.
    async fn range(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError>;

    /// Reads changes of rows under `prefix` after a revision, waiting up to `wait_ms` for the first one.
    async fn changes(&self, prefix: &str, after: u64, wait_ms: u32) -> Result<Changes, StoreError>;
}

//! JSON bodies of the platform's services. Values are base64-encoded.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::tables::{Changes, Expect, Row, Transaction, Write};

/// Header with the size of the whole object in bytes, on reads of a part.
pub const OBJECT_SIZE_HEADER: &str = "x-object-size";

/// Bytes serialized as base64.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value(pub Bytes);

impl Serialize for Value {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
        Ok(Value(Bytes::from(bytes)))
    }
}

/// Comparison of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompareBody {
    pub key: String,
    /// Expected state of the row.
    pub expect: ExpectBody,
}

/// Expected state of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpectBody {
    /// The row does not exist.
    Absent,
    /// The row exists.
    Present,
    /// The row was last written at this revision.
    Revision(u64),
}

/// Write of a transaction: a put, or a delete if there is no value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBody {
    pub key: String,
    /// New value; `None` removes the row.
    pub value: Option<Value>,
}

/// Body of `POST {tables}/transact`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionBody {
    /// All must hold.
    pub compare: Vec<CompareBody>,
    /// Applied in order.
    pub writes: Vec<WriteBody>,
}

impl From<Transaction> for TransactionBody {
    fn from(transaction: Transaction) -> Self {
        let compare = transaction.compare.into_iter().map(|(key, expect)| {
            let expect = match expect {
                Expect::Absent => ExpectBody::Absent,
                Expect::Present => ExpectBody::Present,
                Expect::Revision(revision) => ExpectBody::Revision(revision),
            };
            CompareBody { key, expect }
        });
        let writes = transaction.writes.into_iter().map(|write| match write {
            Write::Put { key, value } => WriteBody {
                key,
                value: Some(Value(value)),
            },
            Write::Delete { key } => WriteBody { key, value: None },
        });
        Self {
            compare: compare.collect(),
            writes: writes.collect(),
        }
    }
}

impl From<TransactionBody> for Transaction {
    fn from(body: TransactionBody) -> Self {
        let compare = body.compare.into_iter().map(|compare| {
            let expect = match compare.expect {
                ExpectBody::Absent => Expect::Absent,
                ExpectBody::Present => Expect::Present,
                ExpectBody::Revision(revision) => Expect::Revision(revision),
            };
            (compare.key, expect)
        });
        let writes = body.writes.into_iter().map(|write| match write.value {
            Some(Value(value)) => Write::Put {
                key: write.key,
                value,
            },
            None => Write::Delete { key: write.key },
        });
        Self {
            compare: compare.collect(),
            writes: writes.collect(),
        }
    }
}

/// Answer of `POST {tables}/transact` with status 200: the transaction took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedBody {
    /// The store's new revision.
    pub revision: u64,
}

/// Answer with status 409: a comparison failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictBody {
    /// First row that differs.
    pub key: String,
    /// Its revision; `None` if it does not exist.
    pub actual: Option<u64>,
}

/// Answer with status 429: too many calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitedBody {
    /// Time to wait before a retry.
    pub retry_after_ms: u32,
}

/// Row of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowBody {
    pub key: String,
    pub value: Value,
    /// Revision of its last write.
    pub revision: u64,
}

impl From<Row> for RowBody {
    fn from(row: Row) -> Self {
        Self {
            key: row.key,
            value: Value(row.value),
            revision: row.revision,
        }
    }
}

impl From<RowBody> for Row {
    fn from(body: RowBody) -> Self {
        Self {
            key: body.key,
            value: body.value.0,
            revision: body.revision,
        }
    }
}

/// Answer of `GET {tables}/row?key=`, with at most one row, and `GET {tables}/range?prefix=&after=&limit=`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsBody {
    /// Rows in key order.
    pub rows: Vec<RowBody>,
}

/// Changed row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBody {
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// New value; `None` for a removed row.
    pub value: Option<Value>,
}

/// Answer of `GET {tables}/changes?prefix=&after=&wait_ms=`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesBody {
    pub rows: Vec<ChangeBody>,
    /// Revision up to which the feed was read.
    pub up_to: u64,
    /// The feed no longer reaches back to the requested revision.
    pub compacted: bool,
}

impl From<Changes> for ChangesBody {
    fn from(changes: Changes) -> Self {
        let rows = changes.rows.into_iter();
        Self {
            rows: rows
                .map(|(key, revision, value)| ChangeBody {
                    key,
                    revision,
                    value: value.map(Value),
                })
                .collect(),
            up_to: changes.up_to,
            compacted: changes.compacted,
        }
    }
}

impl From<ChangesBody> for Changes {
    fn from(body: ChangesBody) -> Self {
        let rows = body.rows.into_iter();
        Self {
            rows: rows
                .map(|change| {
                    (
                        change.key,
                        change.revision,
                        change.value.map(|value| value.0),
                    )
                })
                .collect(),
            up_to: body.up_to,
            compacted: body.compacted,
        }
    }
}

/// Query for one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowQuery {
    pub key: String,
}

/// Query for a range of rows or a list of objects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeQuery {
    pub prefix: String,
    /// Exclusive lower bound of the keys.
    pub after: String,
    /// Maximum number of rows or objects.
    pub limit: usize,
}

/// Query for the change feed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesQuery {
    pub prefix: String,
    /// Exclusive lower bound of the revisions.
    pub after: u64,
    /// Maximum wait for a change.
    pub wait_ms: u32,
}

/// Query for a whole object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectQuery {
    pub name: String,
}

/// Query for part of an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectPartQuery {
    pub name: String,
    /// Offset of the first byte.
    pub offset: u64,
    /// Maximum number of bytes.
    pub limit: u64,
}

/// Entry in a list of objects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectBody {
    pub name: String,
    /// Size in bytes.
    pub size: u64,
}

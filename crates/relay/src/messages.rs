//! Protobuf messages exchanged between nodes.

use bytes::Bytes;
use dappleyard_model::{Committed, Condition, Row, RowKey, Rows, StoreError, Transaction};
use prost::{Message, Oneof};

/// A row, a row to write, or a condition on a row.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RowMessage {
    /// Empty where the enclosing message names the table.
    #[prost(string, tag = "1")]
    pub table: String,
    #[prost(string, tag = "2")]
    pub part: String,
    #[prost(string, tag = "3")]
    pub key: String,
    /// Absent for a removed row, and where no value is needed.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub value: Option<Bytes>,
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// Revision of the caller's copy of one table.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct TablePosition {
    #[prost(string, tag = "1")]
    pub table: String,
    /// Absent if the caller has no complete copy yet.
    #[prost(uint64, optional, tag = "2")]
    pub revision: Option<u64>,
}

/// Long poll for changes of some tables.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ChangesCall {
    #[prost(message, repeated, tag = "1")]
    pub tables: Vec<TablePosition>,
    /// How long the answer may be delayed until something changes.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
    /// The caller understands rows in digest form; false for earlier versions of the program.
    #[prost(bool, tag = "3")]
    pub reads_digests: bool,
}

/// A transaction to forward to the store.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct TransactCall {
    #[prost(message, repeated, tag = "1")]
    pub conditions: Vec<RowMessage>,
    #[prost(message, repeated, tag = "2")]
    pub puts: Vec<RowMessage>,
    #[prost(message, repeated, tag = "3")]
    pub removals: Vec<RowMessage>,
}

/// A read to forward to the store.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ReadCall {
    #[prost(string, tag = "1")]
    pub table: String,
    #[prost(string, tag = "2")]
    pub part: String,
    #[prost(string, tag = "3")]
    pub from: String,
    #[prost(string, tag = "4")]
    pub to: String,
    #[prost(uint32, tag = "5")]
    pub limit: u32,
}

/// Body of a call.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub(crate) enum CallKind {
    #[prost(message, tag = "1")]
    Changes(ChangesCall),
    #[prost(message, tag = "2")]
    Transact(TransactCall),
    #[prost(message, tag = "3")]
    Read(ReadCall),
}

/// Call from one node to another.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RelayCall {
    #[prost(oneof = "CallKind", tags = "1, 2, 3")]
    pub kind: Option<CallKind>,
}

/// Changes or snapshot of one table.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct TableChanges {
    #[prost(string, tag = "1")]
    pub table: String,
    /// Whether `rows` is the complete table rather than changes.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<RowMessage>,
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Monotonic clock of the store.
    #[prost(uint64, tag = "5")]
    pub now_ms: u64,
    /// Time since the store sent this data.
    #[prost(uint32, tag = "6")]
    pub age_ms: u32,
}

/// Answer to [`ChangesCall`].
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ChangesAnswer {
    /// Empty while the answering node is still loading the tables.
    #[prost(message, repeated, tag = "1")]
    pub tables: Vec<TableChanges>,
}

/// Same wire format as [`ChangesAnswer`], with tables that are already encoded, so that a snapshot is encoded once for
/// all callers.
#[derive(Clone, PartialEq, Eq, Message)]
struct EncodedChanges {
    #[prost(bytes = "bytes", repeated, tag = "1")]
    tables: Vec<Bytes>,
}

/// Same wire format as a [`RelayAnswer`] with encoded changes.
#[derive(Clone, PartialEq, Eq, Message)]
struct EncodedAnswer {
    /// Always present, even if empty, since it selects the kind of answer.
    #[prost(bytes = "bytes", optional, tag = "1")]
    changes: Option<Bytes>,
}

/// Encodes the answer to a [`ChangesCall`] from encoded tables.
pub(crate) fn encode_changes_answer(tables: Vec<Bytes>) -> Bytes {
    let changes = EncodedChanges { tables }.encode_to_vec();
    let changes = Some(Bytes::from(changes));
    Bytes::from(EncodedAnswer { changes }.encode_to_vec())
}

/// Joins encoded rows with the other fields of a [`TableChanges`]; protobuf fields may come in any order.
pub(crate) fn encode_table_changes(rows: &Bytes, rest: &TableChanges) -> Bytes {
    let mut table = Vec::with_capacity(rows.len() + 64);
    table.extend_from_slice(rows);
    table.extend(rest.encode_to_vec());
    Bytes::from(table)
}

/// Answer to a committed transaction.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct CommittedAnswer {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(uint64, tag = "2")]
    pub now_ms: u64,
}

/// Answer to [`ReadCall`].
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RowsAnswer {
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<RowMessage>,
    #[prost(bool, tag = "2")]
    pub more: bool,
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    #[prost(uint64, tag = "4")]
    pub now_ms: u64,
}

/// Error answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct FailureAnswer {
    #[prost(enumeration = "FailureKind", tag = "1")]
    pub kind: i32,
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Current rows of the conditions, after a conflict.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<RowMessage>,
}

/// Kinds of failure, as in [`StoreError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum FailureKind {
    /// Default for values that cannot be decoded; never sent.
    Unknown = 0,
    Unavailable = 1,
    Ambiguous = 2,
    Conflict = 3,
    Compacted = 4,
    Invalid = 5,
}

/// Body of an answer.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub(crate) enum AnswerKind {
    #[prost(message, tag = "1")]
    Changes(ChangesAnswer),
    #[prost(message, tag = "2")]
    Committed(CommittedAnswer),
    #[prost(message, tag = "3")]
    Rows(RowsAnswer),
    #[prost(message, tag = "4")]
    Failure(FailureAnswer),
}

/// Answer to a [`RelayCall`].
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RelayAnswer {
    #[prost(oneof = "AnswerKind", tags = "1, 2, 3, 4")]
    pub kind: Option<AnswerKind>,
}

impl From<Row> for RowMessage {
    fn from(row: Row) -> Self {
        Self {
            table: String::new(),
            part: row.part,
            key: row.key,
            value: row.value,
            revision: row.revision,
        }
    }
}

impl From<RowMessage> for Row {
    fn from(message: RowMessage) -> Self {
        Self {
            part: message.part,
            key: message.key,
            value: message.value,
            revision: message.revision,
        }
    }
}

fn row_message(row: &RowKey) -> RowMessage {
    RowMessage {
        table: row.table.to_owned(),
        part: row.part.clone(),
        key: row.key.clone(),
        value: None,
        revision: 0,
    }
}

impl From<&Transaction> for TransactCall {
    fn from(transaction: &Transaction) -> Self {
        let conditions = transaction.conditions.iter().map(|condition| RowMessage {
            revision: condition.revision,
            ..row_message(&condition.row)
        });
        let puts = transaction.puts.iter().map(|(row, value)| RowMessage {
            value: Some(value.clone()),
            ..row_message(row)
        });
        Self {
            conditions: conditions.collect(),
            puts: puts.collect(),
            removals: transaction.removals.iter().map(row_message).collect(),
        }
    }
}

impl TransactCall {
    /// Converts to a transaction; `table` returns the static name of a table, or `None` if nodes may not write it.
    pub fn transaction(
        self,
        table: impl Fn(&str) -> Option<&'static str>,
    ) -> Result<Transaction, String> {
        let key = |message: &RowMessage| {
            let known = table(&message.table);
            let known = known.ok_or_else(|| format!("{}: no table of nodes", message.table))?;
            Ok::<_, String>(RowKey::new(
                known,
                message.part.clone(),
                message.key.clone(),
            ))
        };
        let mut transaction = Transaction::default();
        for message in &self.conditions {
            transaction.conditions.push(Condition {
                row: key(message)?,
                revision: message.revision,
            });
        }
        for message in self.puts {
            let row = key(&message)?;
            transaction
                .puts
                .push((row, message.value.unwrap_or_default()));
        }
        for message in &self.removals {
            transaction.removals.push(key(message)?);
        }
        Ok(transaction)
    }
}

fn messages(rows: Vec<Row>) -> Vec<RowMessage> {
    rows.into_iter().map(RowMessage::from).collect()
}

fn rows(messages: Vec<RowMessage>) -> Vec<Row> {
    messages.into_iter().map(Row::from).collect()
}

impl From<Committed> for AnswerKind {
    fn from(committed: Committed) -> Self {
        AnswerKind::Committed(CommittedAnswer {
            revision: committed.revision,
            now_ms: committed.now_ms,
        })
    }
}

impl From<Rows> for AnswerKind {
    fn from(read: Rows) -> Self {
        AnswerKind::Rows(RowsAnswer {
            rows: messages(read.rows),
            more: read.more,
            revision: read.revision,
            now_ms: read.now_ms,
        })
    }
}

impl From<CommittedAnswer> for Committed {
    fn from(answer: CommittedAnswer) -> Self {
        Self {
            revision: answer.revision,
            now_ms: answer.now_ms,
        }
    }
}

impl From<RowsAnswer> for Rows {
    fn from(answer: RowsAnswer) -> Self {
        Self {
            rows: rows(answer.rows),
            more: answer.more,
            revision: answer.revision,
            now_ms: answer.now_ms,
        }
    }
}

impl From<StoreError> for AnswerKind {
    fn from(error: StoreError) -> Self {
        let reason = error.to_string();
        let (kind, conflicting) = match error {
            StoreError::Unavailable { .. } => (FailureKind::Unavailable, Vec::new()),
            StoreError::Ambiguous { .. } => (FailureKind::Ambiguous, Vec::new()),
            StoreError::Conflict { rows } => (FailureKind::Conflict, messages(rows)),
            StoreError::Compacted => (FailureKind::Compacted, Vec::new()),
            StoreError::Invalid { .. } => (FailureKind::Invalid, Vec::new()),
        };
        AnswerKind::Failure(FailureAnswer {
            kind: kind as i32,
            reason,
            rows: conflicting,
        })
    }
}

impl From<FailureAnswer> for StoreError {
    fn from(answer: FailureAnswer) -> Self {
        let reason = answer.reason.clone();
        match answer.kind() {
            FailureKind::Unavailable => StoreError::Unavailable { reason },
            // An unknown kind of failure says nothing about whether the call took effect.
            FailureKind::Ambiguous | FailureKind::Unknown => StoreError::Ambiguous { reason },
            FailureKind::Conflict => StoreError::Conflict {
                rows: rows(answer.rows),
            },
            FailureKind::Compacted => StoreError::Compacted,
            FailureKind::Invalid => StoreError::Invalid { reason },
        }
    }
}

//! Messages between a node and the one that relays for it.

use bytes::Bytes;
use dappleyard_model::{Committed, Condition, Row, RowKey, Rows, StoreError, Transaction};
use prost::{Message, Oneof};

/// A row's place, with what is expected of it or written to it.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RowMessage {
    /// Table; empty where the message names it elsewhere.
    #[prost(string, tag = "1")]
    pub table: String,
    #[prost(string, tag = "2")]
    pub part: String,
    #[prost(string, tag = "3")]
    pub key: String,
    /// Absent for a row that is gone, or where no value matters.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub value: Option<Bytes>,
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// Where a node stands in one table.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct TablePosition {
    #[prost(string, tag = "1")]
    pub table: String,
    /// The table is known up to this revision; absent when it is not known whole.
    #[prost(uint64, optional, tag = "2")]
    pub revision: Option<u64>,
}

/// Asks for what changed in some tables.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ChangesCall {
    #[prost(message, repeated, tag = "1")]
    pub tables: Vec<TablePosition>,
    /// How long the answer may be held for a change.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
    /// The caller reads rows as they are kept; one that does not is an earlier version of the program.
    #[prost(bool, tag = "3")]
    pub reads_digests: bool,
}

/// A transaction to carry out at the store.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct TransactCall {
    #[prost(message, repeated, tag = "1")]
    pub conditions: Vec<RowMessage>,
    #[prost(message, repeated, tag = "2")]
    pub puts: Vec<RowMessage>,
    #[prost(message, repeated, tag = "3")]
    pub removals: Vec<RowMessage>,
}

/// A read to carry out at the store.
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

/// What a node asks of another.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub(crate) enum CallKind {
    #[prost(message, tag = "1")]
    Changes(ChangesCall),
    #[prost(message, tag = "2")]
    Transact(TransactCall),
    #[prost(message, tag = "3")]
    Read(ReadCall),
}

/// One call.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RelayCall {
    #[prost(oneof = "CallKind", tags = "1, 2, 3")]
    pub kind: Option<CallKind>,
}

/// What changed in one table.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct TableChanges {
    #[prost(string, tag = "1")]
    pub table: String,
    /// The rows are the whole table; otherwise they are changes.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<RowMessage>,
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Steady clock of the store.
    #[prost(uint64, tag = "5")]
    pub now_ms: u64,
    /// Time since the store told this to the reader.
    #[prost(uint32, tag = "6")]
    pub age_ms: u32,
}

/// Answer to a call for changes.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ChangesAnswer {
    /// What is told of each table; none while the node that answers does not know them yet.
    #[prost(message, repeated, tag = "1")]
    pub tables: Vec<TableChanges>,
}

/// The same with each table encoded before: on the wire a message and its bytes look alike. A whole table is encoded once
/// for all that ask.
#[derive(Clone, PartialEq, Eq, Message)]
struct EncodedChanges {
    #[prost(bytes = "bytes", repeated, tag = "1")]
    tables: Vec<Bytes>,
}

/// An answer to a call for changes with its content encoded before.
#[derive(Clone, PartialEq, Eq, Message)]
struct EncodedAnswer {
    /// Present also where it is empty: it says which kind of answer this is.
    #[prost(bytes = "bytes", optional, tag = "1")]
    changes: Option<Bytes>,
}

/// The answer to a call for changes, of tables that are encoded already.
pub(crate) fn encoded_answer(tables: Vec<Bytes>) -> Bytes {
    let changes = EncodedChanges { tables }.encode_to_vec();
    let changes = Some(Bytes::from(changes));
    Bytes::from(EncodedAnswer { changes }.encode_to_vec())
}

/// The encoded changes of a table of which the rows are encoded already. The fields of a message may stand in any order.
pub(crate) fn encoded_table(rows: &Bytes, rest: &TableChanges) -> Bytes {
    let mut table = Vec::with_capacity(rows.len() + 64);
    table.extend_from_slice(rows);
    table.extend(rest.encode_to_vec());
    Bytes::from(table)
}

/// Answer to a transaction that took effect.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct CommittedAnswer {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(uint64, tag = "2")]
    pub now_ms: u64,
}

/// Answer to a read.
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

/// Why a call did not give what was asked.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct FailureAnswer {
    #[prost(enumeration = "FailureKind", tag = "1")]
    pub kind: i32,
    #[prost(string, tag = "2")]
    pub reason: String,
    /// The rows of the conditions, after a conflict.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<RowMessage>,
}

/// Kinds of failure, those of the store's port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum FailureKind {
    /// Nothing is known; never sent.
    Unknown = 0,
    Unavailable = 1,
    Ambiguous = 2,
    Conflict = 3,
    Compacted = 4,
    Invalid = 5,
}

/// How a call ended.
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

/// Answer to one call.
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

fn place(row: &RowKey) -> RowMessage {
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
            ..place(&condition.row)
        });
        let puts = transaction.puts.iter().map(|(row, value)| RowMessage {
            value: Some(value.clone()),
            ..place(row)
        });
        Self {
            conditions: conditions.collect(),
            puts: puts.collect(),
            removals: transaction.removals.iter().map(place).collect(),
        }
    }
}

impl TransactCall {
    /// The transaction; `table` gives the lasting name of a table, `None` for one that nodes do
    /// not write.
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
            // Of a failure that is not told nothing is known.
            FailureKind::Ambiguous | FailureKind::Unknown => StoreError::Ambiguous { reason },
            FailureKind::Conflict => StoreError::Conflict {
                rows: rows(answer.rows),
            },
            FailureKind::Compacted => StoreError::Compacted,
            FailureKind::Invalid => StoreError::Invalid { reason },
        }
    }
}

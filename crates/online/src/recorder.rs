//! Writes at-most-once records. Writes of several keys share a transaction, and the result of an
//! ambiguous write is read back.
//!
//! Safety depends only on the compare-and-swap on each row. Any node may therefore write a record when
//! the cell's recorder is unreachable.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_decide::once::{self, OnceAttempt, OnceDecision};
use dappleyard_store::{Expect, Row, StoreError, TableStore, Transaction};
use dappleyard_tables::clock::Clock;
use dappleyard_wire::messages::{OnceRow, RecordBegin, RecordSettle, RecordState};
use dappleyard_wire::{ErrorKind, Failure, keys};
use prost::Message;
use tokio::sync::oneshot;

use crate::shared::OnlineShared;

/// Maximum number of keys in one transaction.
const MAXIMUM_GROUP_KEYS: usize = 64;

/// Attempts to read or write a record after conflicts, ambiguous results or store errors.
const MAXIMUM_ATTEMPTS: u32 = 6;

/// Delay between attempts to read back a record.
const READ_BACK_PAUSE: Duration = Duration::from_millis(30);

/// Retry delay suggested when the store is unavailable, milliseconds.
pub(crate) const STORE_RETRY_AFTER_MS: u32 = 500;

/// Result of one write.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Written {
    Done,
    /// The write conflicted or its result is ambiguous: the row must be read.
    ReadBack,
    /// Nothing was written.
    Unavailable(StoreError),
}

struct PendingWrite {
    key: String,
    expect: Expect,
    row: OnceRow,
    done: oneshot::Sender<Written>,
}

/// A record and its revision; `None` if there is none.
type StoredRecord = Option<(OnceRow, u64)>;

/// The recorder of one worker thread.
pub(crate) struct Recorder {
    writer: Rc<GroupWriter>,
    clock: Clock,
}

impl Recorder {
    pub fn new(tables: Rc<dyn TableStore>, shared: Arc<OnlineShared>, clock: Clock) -> Recorder {
        Recorder {
            clock,
            writer: Rc::new(GroupWriter {
                tables,
                shared,
                queue: RefCell::default(),
                writing: Cell::new(false),
            }),
        }
    }

    /// Reserves a key. `fresh` means that the caller's attempt now holds the key and may run. Fails with
    /// `StoreUnavailable` if nothing was written, and with `OutcomeUnknown` if the result of a create could
    /// not be read back or if the attempts or the time ran out; the caller must then release the key.
    ///
    /// No create is queued after `deadline`: the caller no longer waits by then, and the key would stay in
    /// progress forever.
    pub async fn begin(
        &self,
        begin: RecordBegin,
        deadline: Instant,
    ) -> Result<RecordState, Failure> {
        let key = keys::once(&begin.tenant, &begin.idempotency_key);
        let attempt = self.attempt_of(&begin);
        let mut read: StoredRecord = None;
        let mut unconfirmed = false;
        for _ in 0..MAXIMUM_ATTEMPTS {
            if Instant::now() >= deadline {
                break;
            }
            let row = read.as_ref().map(|(row, _)| row);
            match once::decide(row, &attempt, true) {
                OnceDecision::Create(next) => {
                    let expect = expectation(&read);
                    match self.writer.write(key.clone(), expect, next.clone()).await {
                        Written::Done => return Ok(fresh(next)),
                        Written::ReadBack => {
                            unconfirmed = true;
                            read = self.read_back(&key).await.map_err(|_| unresolved())?;
                        }
                        Written::Unavailable(_) if unconfirmed => return Err(unresolved()),
                        Written::Unavailable(error) => return Err(unavailable(&error)),
                    }
                }
                OnceDecision::Run => return Ok(fresh(row.cloned().unwrap_or_default())),
                OnceDecision::Replay(_)
                | OnceDecision::InProgress
                | OnceDecision::KeyReused
                | OnceDecision::GivenUp => {
                    return Ok(RecordState {
                        fresh: false,
                        row: row.cloned(),
                    });
                }
            }
        }
        Err(unresolved())
    }

    /// Stores the outcome of a key. Settling is idempotent and ignores a missing record;
    /// `once::may_settle` decides which outcome may replace an earlier one.
    pub async fn settle(&self, settle: RecordSettle) -> Result<(), Failure> {
        let key = keys::once(&settle.tenant, &settle.idempotency_key);
        let outcome = settle.outcome.unwrap_or_else(once::unknown_outcome);
        let (id, writer) = (settle.request_id, settle.writer);
        for _ in 0..MAXIMUM_ATTEMPTS {
            let read = self.read_back(&key).await?;
            let Some((row, revision)) = read else {
                return Ok(());
            };
            if !once::may_settle(&row, &id, &writer, &outcome) {
                return Ok(());
            }
            let next = once::settle(&row, outcome.clone());
            let written = self
                .writer
                .write(key.clone(), Expect::Revision(revision), next)
                .await;
            match written {
                Written::Done => return Ok(()),
                Written::ReadBack => {}
                Written::Unavailable(error) => return Err(unavailable(&error)),
            }
        }
        Err(write_contention())
    }

    /// Releases the key of an attempt that was refused. An absent record is written as released, so that
    /// a delayed create of this attempt cannot take effect later.
    pub async fn release_key(&self, begin: RecordBegin) -> Result<(), Failure> {
        let key = keys::once(&begin.tenant, &begin.idempotency_key);
        let attempt = self.attempt_of(&begin);
        for _ in 0..MAXIMUM_ATTEMPTS {
            let read = self.read_back(&key).await?;
            let Some(released) = once::give_up(read.as_ref().map(|(row, _)| row), &attempt) else {
                return Ok(());
            };
            let expect = expectation(&read);
            match self.writer.write(key.clone(), expect, released).await {
                Written::Done => return Ok(()),
                Written::ReadBack => {}
                Written::Unavailable(error) => return Err(unavailable(&error)),
            }
        }
        Err(write_contention())
    }

    async fn read_back(&self, key: &str) -> Result<StoredRecord, Failure> {
        let mut last = StoreError::Unavailable {
            reason: "not asked yet".to_owned(),
        };
        for _ in 0..MAXIMUM_ATTEMPTS {
            match self.writer.tables.get(key).await {
                Ok(row) => return decode(row),
                Err(error) => last = error,
            }
            tokio::time::sleep(READ_BACK_PAUSE).await;
        }
        Err(unavailable(&last))
    }

    fn attempt_of(&self, begin: &RecordBegin) -> OnceAttempt {
        OnceAttempt {
            request_id: begin.request_id.clone(),
            fingerprint: begin.fingerprint,
            writer: begin.writer.clone(),
            now_unix_ms: self.clock.unix_ms(),
        }
    }
}

fn expectation(read: &StoredRecord) -> Expect {
    match read {
        None => Expect::Absent,
        Some((_, revision)) => Expect::Revision(*revision),
    }
}

fn fresh(row: OnceRow) -> RecordState {
    RecordState {
        fresh: true,
        row: Some(row),
    }
}

fn decode(row: Option<Row>) -> Result<StoredRecord, Failure> {
    row.map(|row| {
        let decoded = OnceRow::decode(row.value);
        decoded
            .map(|decoded| (decoded, row.revision))
            .map_err(|error| {
                Failure::not_run(
                    ErrorKind::Internal,
                    format!("a record does not decode: {error}"),
                )
            })
    })
    .transpose()
}

fn unavailable(error: &StoreError) -> Failure {
    let wait_ms = match error {
        StoreError::RateLimited { retry_after_ms } => *retry_after_ms,
        _ => STORE_RETRY_AFTER_MS,
    };
    Failure::not_run(ErrorKind::StoreUnavailable, error.to_string()).retry_after(wait_ms)
}

fn write_contention() -> Failure {
    Failure::not_run(
        ErrorKind::StoreUnavailable,
        "the record changed under each attempt to write it",
    )
    .retry_after(STORE_RETRY_AFTER_MS)
}

fn unresolved() -> Failure {
    Failure::not_run(
        ErrorKind::OutcomeUnknown,
        "the fate of the record's create could not be read back",
    )
}

/// Group commit: writes that arrive while a transaction is in progress share the next one.
struct GroupWriter {
    tables: Rc<dyn TableStore>,
    shared: Arc<OnlineShared>,
    queue: RefCell<Vec<PendingWrite>>,
    writing: Cell<bool>,
}

impl GroupWriter {
    async fn write(self: &Rc<Self>, key: String, expect: Expect, row: OnceRow) -> Written {
        let (done, result) = oneshot::channel();
        self.queue.borrow_mut().push(PendingWrite {
            key,
            expect,
            row,
            done,
        });
        if !self.writing.replace(true) {
            let writer = self.clone();
            actix_rt::spawn(async move { writer.write_all().await });
        }
        result.await.unwrap_or(Written::ReadBack)
    }

    async fn write_all(&self) {
        loop {
            let group = self.next_group();
            if group.is_empty() {
                self.writing.set(false);
                return;
            }
            self.write_group(group).await;
        }
    }

    /// Takes pending writes with distinct keys; a second write of a key stays queued for the next group.
    fn next_group(&self) -> Vec<PendingWrite> {
        let mut queue = self.queue.borrow_mut();
        let mut group: Vec<PendingWrite> = Vec::new();
        let mut rest = Vec::new();
        for write in queue.drain(..) {
            let has_key = group.iter().any(|other| other.key == write.key);
            if has_key || group.len() == MAXIMUM_GROUP_KEYS {
                rest.push(write);
            } else {
                group.push(write);
            }
        }
        *queue = rest;
        group
    }

    /// Writes a group. A conflicting write is removed and the rest is retried.
    async fn write_group(&self, mut group: Vec<PendingWrite>) {
        while !group.is_empty() {
            self.shared.metrics.record_transactions.inc();
            match self.tables.transact(transaction(&group)).await {
                Ok(_) => return self.finish(group, &Written::Done),
                Err(StoreError::Conflict { key, .. }) => {
                    let conflicting = group.iter().position(|write| write.key == key);
                    let Some(position) = conflicting else {
                        return self.finish(group, &Written::ReadBack);
                    };
                    let write = group.swap_remove(position);
                    self.finish(vec![write], &Written::ReadBack);
                }
                Err(StoreError::Ambiguous { .. }) => return self.finish(group, &Written::ReadBack),
                Err(error) => return self.finish(group, &Written::Unavailable(error)),
            }
        }
    }

    fn finish(&self, group: Vec<PendingWrite>, written: &Written) {
        let label = match written {
            Written::Done => "written",
            Written::ReadBack => "read_back",
            Written::Unavailable(_) => "unavailable",
        };
        let writes = &self.shared.metrics.record_writes;
        writes
            .with_label_values(&[label])
            .inc_by(group.len() as u64);
        for write in group {
            let _ = write.done.send(written.clone());
        }
    }
}

fn transaction(group: &[PendingWrite]) -> Transaction {
    group.iter().fold(Transaction::default(), |built, write| {
        built
            .expect(write.key.clone(), write.expect)
            .put(write.key.clone(), write.row.encode_to_vec())
    })
}

//! Group commit: transactions that touch different rows go out as one.
//!
//! A transaction waits a few milliseconds for others of the same worker thread. The joined one takes
//! effect as a whole or not at all; when a comparison fails, the transaction it belongs to is told
//! so and the others go out again.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::class::CallClass;
use super::lane::Lane;
use crate::tables::Write;
use crate::{StoreError, TableStore, Transaction};

/// Most writes and comparisons of a joined transaction.
const MAXIMUM_ROWS: usize = 100;
/// Most bytes of the values of a joined transaction.
const MAXIMUM_BYTES: usize = 256 * 1024;

/// One transaction and who waits for it.
struct Member {
    transaction: Transaction,
    answer: oneshot::Sender<Result<u64, StoreError>>,
}

/// Joins the transactions of one worker thread.
pub struct GroupCommit {
    inner: Rc<dyn TableStore>,
    lane: Arc<Lane>,
    wait_ms: u64,
    waiting: RefCell<Vec<Member>>,
}

impl GroupCommit {
    /// Joins transactions that come within `wait_ms` milliseconds.
    pub fn new(inner: Rc<dyn TableStore>, lane: Arc<Lane>, wait_ms: u64) -> Rc<GroupCommit> {
        Rc::new(GroupCommit {
            inner,
            lane,
            wait_ms,
            waiting: RefCell::new(Vec::new()),
        })
    }

    /// The table service itself.
    pub fn inner(&self) -> Rc<dyn TableStore> {
        self.inner.clone()
    }

    /// Applies a transaction, alone or joined with others.
    pub async fn transact(self: &Rc<Self>, transaction: Transaction) -> Result<u64, StoreError> {
        if self.wait_ms == 0 {
            return send(&self.inner, &self.lane, &transaction).await;
        }
        let (answer, answered) = oneshot::channel();
        let first = {
            let mut waiting = self.waiting.borrow_mut();
            waiting.push(Member {
                transaction,
                answer,
            });
            waiting.len() == 1
        };
        if first {
            let group = self.clone();
            actix_rt::spawn(async move {
                tokio::time::sleep(Duration::from_millis(group.wait_ms)).await;
                group.send_waiting();
            });
        }
        answered.await.unwrap_or_else(|_| {
            Err(StoreError::Ambiguous {
                reason: "the sender of the transaction ended".to_owned(),
            })
        })
    }

    /// Sends all that waits, joined as far as their rows differ.
    fn send_waiting(&self) {
        let mut waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        while !waiting.is_empty() {
            let (group, rest) = take_group(waiting);
            waiting = rest;
            let inner = self.inner.clone();
            let lane = self.lane.clone();
            actix_rt::spawn(async move { send_group(inner, lane, group).await });
        }
    }
}

async fn send(
    inner: &Rc<dyn TableStore>,
    lane: &Lane,
    transaction: &Transaction,
) -> Result<u64, StoreError> {
    let class = CallClass::of_transaction(transaction);
    lane.call(class, || inner.transact(transaction.clone()))
        .await
}

async fn send_group(inner: Rc<dyn TableStore>, lane: Arc<Lane>, mut group: Vec<Member>) {
    while !group.is_empty() {
        let joined = join(&group);
        for _ in 1..group.len() {
            lane.joined();
        }
        let result = send(&inner, &lane, &joined).await;
        let Err(StoreError::Conflict { key, .. }) = &result else {
            for member in group {
                let _ = member.answer.send(result.clone());
            }
            return;
        };
        let compares = |member: &Member| member.transaction.compare.iter().any(|(k, _)| k == key);
        let (failed, rest): (Vec<Member>, Vec<Member>) = group.into_iter().partition(compares);
        // A conflict that names no comparison of ours cannot be told apart: all are told.
        if failed.is_empty() {
            for member in rest {
                let _ = member.answer.send(result.clone());
            }
            return;
        }
        for member in failed {
            let _ = member.answer.send(result.clone());
        }
        group = rest;
    }
}

fn join(group: &[Member]) -> Transaction {
    let mut joined = Transaction::default();
    for member in group {
        let transaction = &member.transaction;
        for compare in &transaction.compare {
            if !joined.compare.contains(compare) {
                joined.compare.push(compare.clone());
            }
        }
        joined.writes.extend(transaction.writes.iter().cloned());
    }
    joined
}

/// Takes transactions of one class that may go out together: no one writes a row that another one
/// writes or compares, and comparisons of the same row expect the same.
fn take_group(waiting: Vec<Member>) -> (Vec<Member>, Vec<Member>) {
    let mut group: Vec<Member> = Vec::new();
    let mut rest = Vec::new();
    let mut rows = Rows::default();
    for member in waiting {
        let class = CallClass::of_transaction(&member.transaction);
        let same_class = group
            .first()
            .is_none_or(|first| CallClass::of_transaction(&first.transaction) == class);
        if same_class && rows.admits(&member.transaction, group.is_empty()) {
            rows.add(&member.transaction);
            group.push(member);
        } else {
            rest.push(member);
        }
    }
    (group, rest)
}

/// Rows that a group touches.
#[derive(Default)]
struct Rows {
    written: HashSet<String>,
    compared: Vec<(String, crate::tables::Expect)>,
    rows: usize,
    bytes: usize,
}

impl Rows {
    fn admits(&self, transaction: &Transaction, first: bool) -> bool {
        let fits = self.rows + rows_of(transaction) <= MAXIMUM_ROWS
            && self.bytes + size(transaction) <= MAXIMUM_BYTES;
        let writes_apart = transaction.writes.iter().all(|write| {
            let key = key_of(write);
            !self.written.contains(key) && !self.compared.iter().any(|(row, _)| row == key)
        });
        let compares_apart = transaction.compare.iter().all(|(key, expect)| {
            let others = self.compared.iter().filter(|(row, _)| row == key);
            !self.written.contains(key) && others.clone().all(|(_, other)| other == expect)
        });
        first || fits && writes_apart && compares_apart
    }

    fn add(&mut self, transaction: &Transaction) {
        let written = transaction.writes.iter();
        self.written
            .extend(written.map(|write| key_of(write).to_owned()));
        self.compared.extend(transaction.compare.iter().cloned());
        self.rows += rows_of(transaction);
        self.bytes += size(transaction);
    }
}

fn rows_of(transaction: &Transaction) -> usize {
    transaction.writes.len() + transaction.compare.len()
}

fn key_of(write: &Write) -> &str {
    match write {
        Write::Put { key, .. } | Write::Delete { key } => key,
    }
}

fn size(transaction: &Transaction) -> usize {
    let sizes = transaction.writes.iter().map(|write| match write {
        Write::Put { value, .. } => value.len(),
        Write::Delete { .. } => 0,
    });
    sizes.sum()
}

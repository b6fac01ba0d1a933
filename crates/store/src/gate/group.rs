//! Group commit: merges transactions that touch different rows.
//!
//! A transaction waits a few milliseconds for others of the same worker thread. The merged transaction is atomic; when a
//! comparison fails, the transactions that contain it get the conflict and the others are sent again.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::caller::StoreCaller;
use super::class::CallClass;
use crate::tables::Write;
use crate::{StoreError, TableStore, Transaction};

/// Maximum number of writes and comparisons in a merged transaction.
const MAXIMUM_ROWS: usize = 100;
/// Maximum size of the values in a merged transaction.
const MAXIMUM_BYTES: usize = 256 * 1024;

/// Queued transaction and the channel for its result.
struct PendingTransaction {
    transaction: Transaction,
    answer: oneshot::Sender<Result<u64, StoreError>>,
}

/// Merges the transactions of one worker thread.
pub struct GroupCommit {
    inner: Rc<dyn TableStore>,
    caller: Arc<StoreCaller>,
    wait_ms: u64,
    queue: RefCell<Vec<PendingTransaction>>,
}

impl GroupCommit {
    /// Merges transactions that arrive within `wait_ms` milliseconds; 0 disables merging.
    pub fn new(
        inner: Rc<dyn TableStore>,
        caller: Arc<StoreCaller>,
        wait_ms: u64,
    ) -> Rc<GroupCommit> {
        Rc::new(GroupCommit {
            inner,
            caller,
            wait_ms,
            queue: RefCell::new(Vec::new()),
        })
    }

    /// The wrapped table service.
    pub fn inner(&self) -> Rc<dyn TableStore> {
        self.inner.clone()
    }

    /// Applies a transaction, possibly merged with others.
    pub async fn transact(self: &Rc<Self>, transaction: Transaction) -> Result<u64, StoreError> {
        if self.wait_ms == 0 {
            return send(&self.inner, &self.caller, &transaction).await;
        }
        let (answer, answered) = oneshot::channel();
        let first = {
            let mut queue = self.queue.borrow_mut();
            queue.push(PendingTransaction {
                transaction,
                answer,
            });
            queue.len() == 1
        };
        if first {
            let group = self.clone();
            actix_rt::spawn(async move {
                tokio::time::sleep(Duration::from_millis(group.wait_ms)).await;
                group.flush();
            });
        }
        answered.await.unwrap_or_else(|_| {
            Err(StoreError::Ambiguous {
                reason: "the sender of the transaction ended".to_owned(),
            })
        })
    }

    /// Sends all queued transactions, merged as far as their rows allow.
    fn flush(&self) {
        let mut queue = std::mem::take(&mut *self.queue.borrow_mut());
        while !queue.is_empty() {
            let (group, rest) = take_group(queue);
            queue = rest;
            let inner = self.inner.clone();
            let caller = self.caller.clone();
            actix_rt::spawn(async move { send_group(inner, caller, group).await });
        }
    }
}

async fn send(
    inner: &Rc<dyn TableStore>,
    caller: &StoreCaller,
    transaction: &Transaction,
) -> Result<u64, StoreError> {
    let class = CallClass::of_transaction(transaction);
    caller
        .call(class, || inner.transact(transaction.clone()))
        .await
}

async fn send_group(
    inner: Rc<dyn TableStore>,
    caller: Arc<StoreCaller>,
    mut group: Vec<PendingTransaction>,
) {
    while !group.is_empty() {
        let joined = merge(&group);
        for _ in 1..group.len() {
            caller.count_merged();
        }
        let result = send(&inner, &caller, &joined).await;
        let Err(StoreError::Conflict { key, .. }) = &result else {
            for member in group {
                let _ = member.answer.send(result.clone());
            }
            return;
        };
        let compares =
            |member: &PendingTransaction| member.transaction.compare.iter().any(|(k, _)| k == key);
        let (failed, rest): (Vec<PendingTransaction>, Vec<PendingTransaction>) =
            group.into_iter().partition(compares);
        // The conflict matches no comparison of the group: report it to all.
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

fn merge(group: &[PendingTransaction]) -> Transaction {
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

/// Splits off transactions of one class that can be merged: none writes a row that another writes or compares, and
/// comparisons of the same row expect the same.
fn take_group(
    queue: Vec<PendingTransaction>,
) -> (Vec<PendingTransaction>, Vec<PendingTransaction>) {
    let mut group: Vec<PendingTransaction> = Vec::new();
    let mut rest = Vec::new();
    let mut rows = Rows::default();
    for member in queue {
        let class = CallClass::of_transaction(&member.transaction);
        let same_class = group
            .first()
            .is_none_or(|first| CallClass::of_transaction(&first.transaction) == class);
        if same_class && rows.fits_with(&member.transaction, group.is_empty()) {
            rows.add(&member.transaction);
            group.push(member);
        } else {
            rest.push(member);
        }
    }
    (group, rest)
}

/// Rows and bytes of a group.
#[derive(Default)]
struct Rows {
    written: HashSet<String>,
    compared: Vec<(String, crate::tables::Expect)>,
    rows: usize,
    bytes: usize,
}

impl Rows {
    fn fits_with(&self, transaction: &Transaction, first: bool) -> bool {
        let fits = self.rows + row_count(transaction) <= MAXIMUM_ROWS
            && self.bytes + value_bytes(transaction) <= MAXIMUM_BYTES;
        let writes_are_disjoint = transaction.writes.iter().all(|write| {
            let key = key_of(write);
            !self.written.contains(key) && !self.compared.iter().any(|(row, _)| row == key)
        });
        let compares_are_compatible = transaction.compare.iter().all(|(key, expect)| {
            let others = self.compared.iter().filter(|(row, _)| row == key);
            !self.written.contains(key) && others.clone().all(|(_, other)| other == expect)
        });
        first || fits && writes_are_disjoint && compares_are_compatible
    }

    fn add(&mut self, transaction: &Transaction) {
        let written = transaction.writes.iter();
        self.written
            .extend(written.map(|write| key_of(write).to_owned()));
        self.compared.extend(transaction.compare.iter().cloned());
        self.rows += row_count(transaction);
        self.bytes += value_bytes(transaction);
    }
}

fn row_count(transaction: &Transaction) -> usize {
    transaction.writes.len() + transaction.compare.len()
}

fn key_of(write: &Write) -> &str {
    match write {
        Write::Put { key, .. } | Write::Delete { key } => key,
    }
}

fn value_bytes(transaction: &Transaction) -> usize {
    let sizes = transaction.writes.iter().map(|write| match write {
        Write::Put { value, .. } => value.len(),
        Write::Delete { .. } => 0,
    });
    sizes.sum()
}

//! In-memory table store and object store with fault injection.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dappleyard_store::tables::{Expect, Write};
use dappleyard_store::{
    Changes, Machine, MachineList, ObjectData, ObjectStore, Platform, Row, StoreError, TableStore,
    Transaction,
};
use tokio::sync::Notify;

/// Fault of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The transaction is refused and has no effect.
    Down,
    /// The transaction takes effect, and the response is lost.
    LostAfterEffect,
    /// The transaction has no effect, and the response is lost.
    LostBeforeEffect,
}

/// Returns the fault to inject into a transaction.
type TransactFault = Box<dyn FnMut(&Transaction) -> Option<Fault>>;

#[derive(Default)]
pub struct FakePlatform {
    rows: RefCell<BTreeMap<String, (Bytes, u64)>>,
    log: RefCell<VecDeque<(String, u64, Option<Bytes>)>>,
    revision: Cell<u64>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    changed: Notify,
    down: Cell<bool>,
    fault: RefCell<Option<TransactFault>>,
    pub transactions: Cell<u64>,
    pub calls: Cell<u64>,
    pub largest_read: Cell<usize>,
}

impl FakePlatform {
    pub fn new() -> Rc<FakePlatform> {
        Rc::default()
    }

    pub fn platform(self: &Rc<Self>) -> Platform {
        Platform {
            tables: Rc::new(FakeStore(self.clone())),
            objects: Rc::new(FakeStore(self.clone())),
            machines: Rc::new(FakeStore(self.clone())),
        }
    }

    pub fn set_down(&self, down: bool) {
        self.down.set(down);
    }

    pub fn inject_transact_faults(
        &self,
        fault: impl FnMut(&Transaction) -> Option<Fault> + 'static,
    ) {
        *self.fault.borrow_mut() = Some(Box::new(fault));
    }

    pub fn clear_faults(&self) {
        *self.fault.borrow_mut() = None;
        self.down.set(false);
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let rows = self.rows.borrow();
        rows.keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    pub fn object_names(&self, prefix: &str) -> Vec<String> {
        let objects = self.objects.borrow();
        objects
            .keys()
            .filter(|name| name.starts_with(prefix))
            .cloned()
            .collect()
    }

    pub fn row<M: prost::Message + Default>(&self, key: &str) -> Option<M> {
        let rows = self.rows.borrow();
        let (value, _) = rows.get(key)?;
        M::decode(value.clone()).ok()
    }

    fn record_call(&self) -> Result<(), StoreError> {
        self.calls.set(self.calls.get() + 1);
        match self.down.get() {
            true => Err(StoreError::Unavailable {
                reason: "down".to_owned(),
            }),
            false => Ok(()),
        }
    }

    fn apply(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let mut rows = self.rows.borrow_mut();
        for (key, expect) in &transaction.compare {
            let actual = rows.get(key).map(|(_, revision)| *revision);
            let holds = match expect {
                Expect::Absent => actual.is_none(),
                Expect::Present => actual.is_some(),
                Expect::Revision(revision) => actual == Some(*revision),
            };
            if !holds {
                let key = key.clone();
                return Err(StoreError::Conflict { key, actual });
            }
        }
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let mut log = self.log.borrow_mut();
        for write in &transaction.writes {
            match write {
                Write::Put { key, value } => {
                    rows.insert(key.clone(), (value.clone(), revision));
                    log.push_back((key.clone(), revision, Some(value.clone())));
                }
                Write::Delete { key } => {
                    if rows.remove(key).is_some() {
                        log.push_back((key.clone(), revision, None));
                    }
                }
            }
        }
        self.transactions.set(self.transactions.get() + 1);
        self.changed.notify_waiters();
        Ok(revision)
    }

    fn changes_after(&self, prefix: &str, after: u64) -> Changes {
        let log = self.log.borrow();
        let rows = log
            .iter()
            .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix))
            .cloned()
            .collect();
        Changes {
            rows,
            up_to: self.revision.get(),
            compacted: false,
        }
    }
}

struct FakeStore(Rc<FakePlatform>);

/// Latency of a call.
const CALL_LATENCY: Duration = Duration::from_millis(2);

fn lost_response() -> StoreError {
    StoreError::Ambiguous {
        reason: "lost".to_owned(),
    }
}

#[async_trait(?Send)]
impl TableStore for FakeStore {
    async fn transact(&self, transaction: Transaction) -> Result<u64, StoreError> {
        tokio::time::sleep(CALL_LATENCY).await;
        self.0.record_call()?;
        let fault = match self.0.fault.borrow_mut().as_mut() {
            Some(fault) => fault(&transaction),
            None => None,
        };
        match fault {
            None => self.0.apply(&transaction),
            Some(Fault::Down) => Err(StoreError::Unavailable {
                reason: "fault".to_owned(),
            }),
            Some(Fault::LostBeforeEffect) => Err(lost_response()),
            Some(Fault::LostAfterEffect) => {
                let _ = self.0.apply(&transaction);
                Err(lost_response())
            }
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        tokio::time::sleep(CALL_LATENCY).await;
        self.0.record_call()?;
        let rows = self.0.rows.borrow();
        Ok(rows.get(key).map(|(value, revision)| Row {
            key: key.to_owned(),
            value: value.clone(),
            revision: *revision,
        }))
    }

    async fn range(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        tokio::time::sleep(CALL_LATENCY).await;
        self.0.record_call()?;
        let rows = self.0.rows.borrow();
        let found = rows
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(limit)
            .map(|(key, (value, revision))| Row {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            });
        Ok(found.collect())
    }

    async fn changes(&self, prefix: &str, after: u64, wait_ms: u32) -> Result<Changes, StoreError> {
        tokio::time::sleep(CALL_LATENCY).await;
        let until = dappleyard_clock::Instant::now() + Duration::from_millis(u64::from(wait_ms));
        loop {
            self.0.record_call()?;
            let changes = self.0.changes_after(prefix, after);
            if !changes.rows.is_empty() || dappleyard_clock::Instant::now() >= until {
                return Ok(changes);
            }
            let _ = dappleyard_clock::timeout_at(until, self.0.changed.notified()).await;
        }
    }
}

#[async_trait(?Send)]
impl ObjectStore for FakeStore {
    async fn create(&self, name: &str, bytes: Bytes) -> Result<(), StoreError> {
        tokio::time::sleep(CALL_LATENCY).await;
        self.0.record_call()?;
        let mut objects = self.0.objects.borrow_mut();
        if objects.contains_key(name) {
            return Err(StoreError::Conflict {
                key: name.to_owned(),
                actual: None,
            });
        }
        objects.insert(name.to_owned(), bytes);
        Ok(())
    }

    async fn read(
        &self,
        name: &str,
        offset: u64,
        limit: u64,
    ) -> Result<Option<ObjectData>, StoreError> {
        tokio::time::sleep(CALL_LATENCY).await;
        self.0.record_call()?;
        let objects = self.0.objects.borrow();
        Ok(objects.get(name).map(|bytes| {
            let start = usize::try_from(offset).unwrap().min(bytes.len());
            let end = start.saturating_add(limit as usize).min(bytes.len());
            self.0
                .largest_read
                .set(self.0.largest_read.get().max(end - start));
            ObjectData {
                bytes: bytes.slice(start..end),
                size: bytes.len() as u64,
            }
        }))
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        tokio::time::sleep(CALL_LATENCY).await;
        self.0.record_call()?;
        self.0.objects.borrow_mut().remove(name);
        Ok(())
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, u64)>, StoreError> {
        tokio::time::sleep(CALL_LATENCY).await;
        self.0.record_call()?;
        let objects = self.0.objects.borrow();
        let found = objects
            .iter()
            .filter(|(name, _)| name.starts_with(prefix) && name.as_str() > after)
            .take(limit)
            .map(|(name, bytes)| (name.clone(), bytes.len() as u64));
        Ok(found.collect())
    }
}

#[async_trait(?Send)]
impl MachineList for FakeStore {
    async fn machines(&self) -> Result<Vec<Machine>, StoreError> {
        Ok(Vec::new())
    }
}

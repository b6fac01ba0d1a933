//! In-memory platform for tests and hollow fleets: tables, objects and a machine list in one process.
//!
//! It keeps the contract of the ports to the letter (transactions are atomic, revisions grow, a
//! conflict names the first row that differs) and can be told to fail calls: see [`Fault`]. Clones
//! share one state, also between threads.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    Changes, Expect, Machine, MachineList, ObjectData, ObjectStore, Platform, PlatformFactory, Row,
    StoreError, TableStore, Transaction, Write,
};

/// How a call to the in-memory platform fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The store was not reached; nothing is changed.
    Unavailable,
    /// The answer is lost and nothing was changed.
    LostBeforeEffect,
    /// The answer is lost after the change took effect.
    LostAfterEffect,
    /// Too many calls; nothing is changed.
    RateLimited,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    rows: BTreeMap<String, Row>,
    feed: Vec<(String, u64, Option<Bytes>)>,
    compacted: u64,
    objects: BTreeMap<String, Bytes>,
    machines: Vec<Machine>,
    transaction_faults: VecDeque<Option<Fault>>,
    down: bool,
    transactions: u64,
}

/// The in-memory platform.
#[derive(Debug, Clone)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
    revision: watch::Sender<u64>,
}

impl Default for MemoryPlatform {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            revision: watch::Sender::new(0),
        }
    }
}

impl MemoryPlatform {
    /// The three ports over this state, for the thread that calls.
    pub fn platform(&self) -> Platform {
        Platform {
            tables: Rc::new(self.clone()),
            objects: Rc::new(self.clone()),
            machines: Rc::new(self.clone()),
        }
    }

    /// Makes [`Platform`]s over this state for any thread.
    pub fn factory(&self) -> PlatformFactory {
        let shared = self.clone();
        Arc::new(move || shared.platform())
    }

    /// Sets what becomes of coming transactions, in order; `None` lets one through.
    pub fn fail_transactions(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        self.state.lock().transaction_faults.extend(faults);
    }

    /// Takes the whole platform down, or brings it back.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Replaces the machine list.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        self.state.lock().machines = machines;
    }

    /// Forgets the change feed up to now, as a store does after a while.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        state.compacted = state.revision;
        state.feed.clear();
    }

    /// A row, read without faults.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state.lock().rows.get(key).cloned()
    }

    /// All rows under a prefix, read without faults.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let state = self.state.lock();
        let matching = state
            .rows
            .values()
            .filter(|row| row.key.starts_with(prefix));
        matching.cloned().collect()
    }

    /// Names of all objects.
    pub fn object_names(&self) -> Vec<String> {
        self.state.lock().objects.keys().cloned().collect()
    }

    /// Revision of the store.
    pub fn revision(&self) -> u64 {
        self.state.lock().revision
    }

    /// Transactions that took effect.
    pub fn transactions(&self) -> u64 {
        self.state.lock().transactions
    }

    fn check_up(&self) -> Result<(), StoreError> {
        if self.state.lock().down {
            return Err(unavailable());
        }
        Ok(())
    }
}

fn unavailable() -> StoreError {
    StoreError::Unavailable {
        reason: "the in-memory platform is down".to_owned(),
    }
}

fn lost() -> StoreError {
    StoreError::Ambiguous {
        reason: "the in-memory platform lost the answer".to_owned(),
    }
}

impl State {
    fn check(&self, compare: &[(String, Expect)]) -> Result<(), StoreError> {
        for (key, expect) in compare {
            let actual = self.rows.get(key).map(|row| row.revision);
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
        Ok(())
    }

    fn apply(&mut self, transaction: Transaction) -> Result<u64, StoreError> {
        self.check(&transaction.compare)?;
        self.transactions += 1;
        if transaction.writes.is_empty() {
            return Ok(self.revision);
        }
        self.revision += 1;
        for write in transaction.writes {
            self.write(write);
        }
        Ok(self.revision)
    }

    fn write(&mut self, write: Write) {
        let revision = self.revision;
        match write {
            Write::Put { key, value } => {
                self.feed.push((key.clone(), revision, Some(value.clone())));
                let row = Row {
                    key: key.clone(),
                    value,
                    revision,
                };
                self.rows.insert(key, row);
            }
            Write::Delete { key } => {
                if self.rows.remove(&key).is_some() {
                    self.feed.push((key, revision, None));
                }
            }
        }
    }

    fn changes(&self, prefix: &str, after: u64) -> Changes {
        let rows = self
            .feed
            .iter()
            .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix))
            .cloned()
            .collect();
        Changes {
            rows,
            up_to: self.revision,
            compacted: after < self.compacted,
        }
    }
}

#[async_trait(?Send)]
impl TableStore for MemoryPlatform {
    async fn transact(&self, transaction: Transaction) -> Result<u64, StoreError> {
        self.check_up()?;
        let (fault, result) = {
            let mut state = self.state.lock();
            let fault = state.transaction_faults.pop_front().flatten();
            let result = match fault {
                Some(Fault::Unavailable) => Err(unavailable()),
                Some(Fault::LostBeforeEffect) => Err(lost()),
                Some(Fault::RateLimited) => Err(StoreError::RateLimited { retry_after_ms: 50 }),
                Some(Fault::LostAfterEffect) | None => state.apply(transaction),
            };
            (fault, result)
        };
        if let Ok(revision) = result {
            self.revision.send_replace(revision);
        }
        match fault {
            Some(Fault::LostAfterEffect) => Err(lost()),
            _ => result,
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.check_up()?;
        Ok(self.row(key))
    }

    async fn range(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        self.check_up()?;
        let state = self.state.lock();
        let rows = state.rows.range(prefix.to_owned()..);
        let matching = rows
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(prefix))
            .filter(|row| row.key.as_str() > after);
        Ok(matching.take(limit).cloned().collect())
    }

    async fn changes(&self, prefix: &str, after: u64, wait_ms: u32) -> Result<Changes, StoreError> {
        self.check_up()?;
        let mut revisions = self.revision.subscribe();
        let wait = tokio::time::sleep(Duration::from_millis(u64::from(wait_ms)));
        tokio::pin!(wait);
        loop {
            let changes = self.state.lock().changes(prefix, after);
            if !changes.rows.is_empty() || changes.compacted {
                return Ok(changes);
            }
            tokio::select! {
                _ = revisions.changed() => {}
                () = &mut wait => return Ok(changes),
            }
        }
    }
}

#[async_trait(?Send)]
impl ObjectStore for MemoryPlatform {
    async fn create(&self, name: &str, bytes: Bytes) -> Result<(), StoreError> {
        self.check_up()?;
        let mut state = self.state.lock();
        if state.objects.contains_key(name) {
            return Err(StoreError::Conflict {
                key: name.to_owned(),
                actual: None,
            });
        }
        state.objects.insert(name.to_owned(), bytes);
        Ok(())
    }

    async fn read(
        &self,
        name: &str,
        offset: u64,
        limit: u64,
    ) -> Result<Option<ObjectData>, StoreError> {
        self.check_up()?;
        let state = self.state.lock();
        Ok(state.objects.get(name).map(|whole| {
            let size = whole.len() as u64;
            let start = offset.min(size);
            let end = offset.saturating_add(limit).min(size);
            ObjectData {
                bytes: whole.slice(start as usize..end as usize),
                size,
            }
        }))
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        self.check_up()?;
        self.state.lock().objects.remove(name);
        Ok(())
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, u64)>, StoreError> {
        self.check_up()?;
        let state = self.state.lock();
        let names = state.objects.iter();
        let matching = names.filter(|(name, _)| name.starts_with(prefix) && name.as_str() > after);
        Ok(matching
            .take(limit)
            .map(|(name, bytes)| (name.clone(), bytes.len() as u64))
            .collect())
    }
}

#[async_trait(?Send)]
impl MachineList for MemoryPlatform {
    async fn machines(&self) -> Result<Vec<Machine>, StoreError> {
        self.check_up()?;
        Ok(self.state.lock().machines.clone())
    }
}

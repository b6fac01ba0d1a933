//! In-memory platform for tests and simulated fleets: tables, objects and a machine list.
//!
//! It follows the contract of the traits: transactions are atomic, revisions increase, and a conflict names the first
//! row that differs. Calls can be made to fail, see [`Fault`]. Clones share their state across threads. [`rows`] and
//! [`objects`] hold the data structures.

pub mod objects;
pub mod rows;

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    Changes, Machine, MachineList, ObjectData, ObjectStore, Platform, PlatformFactory, Row,
    StoreError, TableStore, Transaction,
};
use objects::Objects;
use rows::Rows;

/// Injected failure of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The store is unreachable; nothing is changed.
    Unavailable,
    /// The answer is lost before the transaction takes effect.
    LostBeforeEffect,
    /// The answer is lost after the transaction took effect.
    LostAfterEffect,
    /// Too many calls; nothing is changed.
    RateLimited,
}

#[derive(Debug)]
struct State {
    rows: Rows,
    objects: Objects,
    machines: Vec<Machine>,
    transaction_faults: VecDeque<Option<Fault>>,
    down: bool,
    transactions: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            rows: Rows::new(usize::MAX),
            objects: Objects::default(),
            machines: Vec::new(),
            transaction_faults: VecDeque::new(),
            down: false,
            transactions: 0,
        }
    }
}

#[derive(Debug, Clone)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
    revision: watch::Sender<u64>,
}

impl Default for MemoryPlatform {
    fn default() -> Self {
        Self {
            state: Arc::new(Mutex::new(State::default())),
            revision: watch::Sender::new(0),
        }
    }
}

impl MemoryPlatform {
    /// Creates clients for the calling thread.
    pub fn platform(&self) -> Platform {
        Platform {
            tables: Rc::new(self.clone()),
            objects: Rc::new(self.clone()),
            machines: Rc::new(self.clone()),
        }
    }

    /// Creates a factory for clients on any thread.
    pub fn factory(&self) -> PlatformFactory {
        let shared = self.clone();
        Arc::new(move || shared.platform())
    }

    /// Injects faults into the next transactions, in order; `None` lets one succeed.
    pub fn fail_transactions(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        self.state.lock().transaction_faults.extend(faults);
    }

    /// Makes all calls fail, or ends that.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    pub fn set_machines(&self, machines: Vec<Machine>) {
        self.state.lock().machines = machines;
    }

    /// Compacts the change feed up to the current revision.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        let revision = state.rows.revision();
        state.rows.compact_to(revision);
    }

    /// Reads a row, ignoring faults.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state.lock().rows.get(key).cloned()
    }

    /// Reads all rows under a prefix, ignoring faults.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let state = self.state.lock();
        state.rows.range(prefix, "").cloned().collect()
    }

    pub fn object_names(&self) -> Vec<String> {
        let state = self.state.lock();
        let objects = state.objects.list("", "", usize::MAX).into_iter();
        objects.map(|(name, _)| name).collect()
    }

    pub fn revision(&self) -> u64 {
        self.state.lock().rows.revision()
    }

    /// Number of transactions that took effect.
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

fn ambiguous() -> StoreError {
    StoreError::Ambiguous {
        reason: "the in-memory platform lost the answer".to_owned(),
    }
}

impl State {
    fn apply(&mut self, transaction: Transaction) -> Result<u64, StoreError> {
        let revision = self.rows.transact(transaction)?;
        self.transactions += 1;
        Ok(revision)
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
                Some(Fault::LostBeforeEffect) => Err(ambiguous()),
                Some(Fault::RateLimited) => Err(StoreError::RateLimited { retry_after_ms: 50 }),
                Some(Fault::LostAfterEffect) | None => state.apply(transaction),
            };
            (fault, result)
        };
        if let Ok(revision) = result {
            self.revision.send_replace(revision);
        }
        match fault {
            Some(Fault::LostAfterEffect) => Err(ambiguous()),
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
        Ok(state
            .rows
            .range(prefix, after)
            .take(limit)
            .cloned()
            .collect())
    }

    async fn changes(&self, prefix: &str, after: u64, wait_ms: u32) -> Result<Changes, StoreError> {
        self.check_up()?;
        let mut revisions = self.revision.subscribe();
        let wait = tokio::time::sleep(Duration::from_millis(u64::from(wait_ms)));
        tokio::pin!(wait);
        loop {
            let changes = self.state.lock().rows.changes(prefix, after, usize::MAX);
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
        self.state.lock().objects.create(name, bytes)
    }

    async fn read(
        &self,
        name: &str,
        offset: u64,
        limit: u64,
    ) -> Result<Option<ObjectData>, StoreError> {
        self.check_up()?;
        Ok(self.state.lock().objects.read(name, offset, limit))
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        self.check_up()?;
        self.state.lock().objects.delete(name);
        Ok(())
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, u64)>, StoreError> {
        self.check_up()?;
        Ok(self.state.lock().objects.list(prefix, after, limit))
    }
}

#[async_trait(?Send)]
impl MachineList for MemoryPlatform {
    async fn machines(&self) -> Result<Vec<Machine>, StoreError> {
        self.check_up()?;
        Ok(self.state.lock().machines.clone())
    }
}

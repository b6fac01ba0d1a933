//! In-memory row store with lost responses, delayed effects, refusals and a compacted history.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dappleyard_model::{Committed, Feed, Row, RowStore, Rows, StoreError, Transaction};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

/// Fault of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowFault {
    /// The transaction is refused without effect.
    Refused,
    /// The transaction is lost before it takes effect: the caller gets no response, and nothing changes.
    LostBefore,
    /// The response is lost after the transaction took effect.
    LostAfter,
    /// The caller gets no response, and the transaction takes effect late: it is applied before the
    /// next one if its conditions still hold then.
    LostLate,
    /// The same, but it takes effect when the test releases it.
    LostHeld,
}

type RowKey = (&'static str, String, String);

#[derive(Debug, Clone)]
struct StoredRow {
    value: Bytes,
    revision: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowKey, StoredRow>,
    history: VecDeque<(u64, RowKey)>,
    compacted_revision: u64,
    revision: u64,
    faults: VecDeque<Option<RowFault>>,
    delayed: Vec<Transaction>,
    held: Vec<Transaction>,
    down: bool,
    /// Table whose changes are refused.
    read_only_table: Option<&'static str>,
    transaction_faults: Option<(ChaCha8Rng, f64)>,
    read_faults: Option<(ChaCha8Rng, f64)>,
    transactions: u64,
    feed_calls: u64,
}

/// An in-memory row store; clones share one state.
#[derive(Clone)]
pub struct EmulatedRows {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    started: tokio::time::Instant,
}

impl Default for EmulatedRows {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: Arc::new(watch::channel(0).0),
            started: tokio::time::Instant::now(),
        }
    }
}

impl EmulatedRows {
    /// Queues faults for the next transactions, in order; `None` is a success.
    pub fn script(&self, faults: impl IntoIterator<Item = Option<RowFault>>) {
        self.state.lock().faults.extend(faults);
    }

    /// Lets the held transactions take effect, if their conditions hold now.
    pub fn release_held(&self) {
        let revision = {
            let mut state = self.state.lock();
            for held in std::mem::take(&mut state.held) {
                // One whose conditions no longer hold has no effect.
                let _ = state.apply(&held);
            }
            state.revision
        };
        self.changed.send_replace(revision);
    }

    /// Fails a fraction `share` of the transactions at random, from a seed.
    pub fn fail_at_random(&self, seed: u64, share: f64) {
        self.state.lock().transaction_faults = Some((ChaCha8Rng::seed_from_u64(seed), share));
    }

    /// Refuses a fraction `share` of the row reads at random, from a seed.
    pub fn refuse_reads_at_random(&self, seed: u64, share: f64) {
        self.state.lock().read_faults = Some((ChaCha8Rng::seed_from_u64(seed), share));
    }

    /// Sets whether all calls are refused.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Sets a table whose changes are refused, while all other calls are served.
    pub fn set_read_only(&self, table: Option<&'static str>) {
        self.state.lock().read_only_table = table;
    }

    /// Discards the history up to the current revision; a feed that starts at an older revision then
    /// fails with [`StoreError::Compacted`].
    pub fn compact_history(&self) {
        let mut state = self.state.lock();
        state.compacted_revision = state.revision;
        state.history.clear();
    }

    /// Number of transactions requested.
    pub fn transactions(&self) -> u64 {
        self.state.lock().transactions
    }

    /// Number of feed calls.
    pub fn feed_calls(&self) -> u64 {
        self.state.lock().feed_calls
    }

    /// Writes a row without conditions or faults, as if another client of the store had written it.
    pub fn write(&self, table: &'static str, part: &str, key: &str, value: impl Into<Bytes>) {
        let mut state = self.state.lock();
        let revision = state.revision + 1;
        state.revision = revision;
        state.put((table, part.to_owned(), key.to_owned()), value.into());
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Removes a row without conditions or faults, as if another client of the store had removed it.
    pub fn remove(&self, table: &'static str, part: &str, key: &str) {
        let mut state = self.state.lock();
        let revision = state.revision + 1;
        state.revision = revision;
        state.remove((table, part.to_owned(), key.to_owned()));
        drop(state);
        self.changed.send_replace(revision);
    }

    /// All rows of a table: partition, key and value.
    pub fn table(&self, table: &'static str) -> Vec<(String, String, Bytes)> {
        let state = self.state.lock();
        let rows = state.rows.iter().filter(|(row_key, _)| row_key.0 == table);
        rows.map(|(row_key, stored)| (row_key.1.clone(), row_key.2.clone(), stored.value.clone()))
            .collect()
    }

    /// Store time, milliseconds; never 0.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }
}

impl State {
    fn put(&mut self, row_key: RowKey, value: Bytes) {
        let revision = self.revision;
        self.history.push_back((revision, row_key.clone()));
        self.rows.insert(row_key, StoredRow { value, revision });
    }

    fn remove(&mut self, row_key: RowKey) {
        if self.rows.remove(&row_key).is_some() {
            self.history.push_back((self.revision, row_key));
        }
    }

    fn next_fault(&mut self) -> Option<RowFault> {
        if let Some(fault) = self.faults.pop_front() {
            return fault;
        }
        let (random, share) = self.transaction_faults.as_mut()?;
        if !random.random_bool(*share) {
            return None;
        }
        let faults = [
            RowFault::Refused,
            RowFault::LostBefore,
            RowFault::LostAfter,
            RowFault::LostLate,
        ];
        Some(faults[random.random_range(0..faults.len())])
    }

    fn refuses_read(&mut self) -> bool {
        let generator = self.read_faults.as_mut();
        generator.is_some_and(|(random, share)| random.random_bool(*share))
    }

    /// Applies a transaction and returns its revision, or the current rows of its conditions if one of
    /// them does not hold.
    fn apply(&mut self, transaction: &Transaction) -> Result<u64, Vec<Row>> {
        let fails = transaction.conditions.iter().any(|condition| {
            let row = &condition.row;
            let row_key = (row.table, row.part.clone(), row.key.clone());
            let revision = self.rows.get(&row_key).map_or(0, |stored| stored.revision);
            revision != condition.revision
        });
        if fails {
            let rows = transaction.conditions.iter().map(|condition| {
                let row = &condition.row;
                self.row(&(row.table, row.part.clone(), row.key.clone()))
            });
            return Err(rows.collect());
        }
        self.revision += 1;
        for (row, value) in &transaction.puts {
            self.put(
                (row.table, row.part.clone(), row.key.clone()),
                value.clone(),
            );
        }
        for row in &transaction.removals {
            self.remove((row.table, row.part.clone(), row.key.clone()));
        }
        Ok(self.revision)
    }

    fn row(&self, row_key: &RowKey) -> Row {
        let stored = self.rows.get(row_key);
        Row {
            part: row_key.1.clone(),
            key: row_key.2.clone(),
            value: stored.map(|stored| stored.value.clone()),
            revision: stored.map_or(0, |stored| stored.revision),
        }
    }
}

fn ambiguous() -> StoreError {
    StoreError::Ambiguous {
        reason: "emulated".to_owned(),
    }
}

fn unavailable() -> StoreError {
    StoreError::Unavailable {
        reason: "emulated".to_owned(),
    }
}

#[async_trait(?Send)]
impl RowStore for EmulatedRows {
    async fn transact(&self, transaction: &Transaction) -> Result<Committed, StoreError> {
        // Lets other tasks interleave with the call.
        tokio::task::yield_now().await;
        let outcome = {
            let mut state = self.state.lock();
            state.transactions += 1;
            let delayed = std::mem::take(&mut state.delayed);
            for delayed in delayed {
                // A delayed transaction whose conditions no longer hold has no effect.
                let _ = state.apply(&delayed);
            }
            let changes = |table| transaction.puts.iter().any(|(key, _)| key.table == table);
            if state.down || state.read_only_table.is_some_and(changes) {
                return Err(unavailable());
            }
            match state.next_fault() {
                Some(RowFault::Refused) => Err(unavailable()),
                Some(RowFault::LostBefore) => Err(ambiguous()),
                Some(RowFault::LostAfter) => {
                    let _ = state.apply(transaction);
                    Err(ambiguous())
                }
                Some(RowFault::LostLate) => {
                    state.delayed.push(transaction.clone());
                    Err(ambiguous())
                }
                Some(RowFault::LostHeld) => {
                    state.held.push(transaction.clone());
                    Err(ambiguous())
                }
                None => state
                    .apply(transaction)
                    .map_err(|rows| StoreError::Conflict { rows }),
            }
        };
        let revision = self.state.lock().revision;
        self.changed.send_replace(revision);
        outcome.map(|revision| Committed {
            revision,
            now_ms: self.now_ms(),
        })
    }

    async fn read(
        &self,
        table: &'static str,
        part: &str,
        from: &str,
        to: &str,
        limit: usize,
    ) -> Result<Rows, StoreError> {
        tokio::task::yield_now().await;
        let mut state = self.state.lock();
        if state.down || state.refuses_read() {
            return Err(unavailable());
        }
        let mut rows: Vec<Row> = state
            .rows
            .keys()
            .filter(|row_key| row_key.0 == table && row_key.1 == part)
            .filter(|row_key| {
                row_key.2.as_str() >= from && (to.is_empty() || row_key.2.as_str() < to)
            })
            .map(|row_key| state.row(row_key))
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        Ok(Rows {
            rows,
            more,
            revision: state.revision,
            now_ms: self.now_ms(),
        })
    }

    async fn parts(&self, table: &'static str) -> Result<Vec<String>, StoreError> {
        tokio::task::yield_now().await;
        let state = self.state.lock();
        if state.down {
            return Err(unavailable());
        }
        let mut parts: Vec<String> = state
            .rows
            .keys()
            .filter(|row_key| row_key.0 == table)
            .map(|row_key| row_key.1.clone())
            .collect();
        parts.dedup();
        Ok(parts)
    }

    async fn feed(
        &self,
        table: &'static str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Feed, StoreError> {
        self.state.lock().feed_calls += 1;
        let mut changed = self.changed.subscribe();
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            changed.borrow_and_update();
            {
                let state = self.state.lock();
                if state.down {
                    return Err(unavailable());
                }
                if after < state.compacted_revision {
                    return Err(StoreError::Compacted);
                }
                let mut rows: Vec<Row> = Vec::new();
                // One entry per row, at the position of its latest change. A removed row has revision
                // 0, so it is reported with the revision of the change.
                for (revision, row_key) in &state.history {
                    if *revision > after && row_key.0 == table {
                        rows.retain(|row| (&row.part, &row.key) != (&row_key.1, &row_key.2));
                        let row = state.row(row_key);
                        let revision = row.revision.max(*revision);
                        rows.push(Row { revision, ..row });
                    }
                }
                if !rows.is_empty() || tokio::time::Instant::now() >= until {
                    return Ok(Feed {
                        rows,
                        revision: state.revision,
                        now_ms: self.now_ms(),
                    });
                }
            }
            // Whether a row changed or the wait timed out, the next iteration checks again; after the
            // timeout it returns even an empty feed.
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
        }
    }
}

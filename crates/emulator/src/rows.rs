//! The row store in memory, with lost answers, late effects, refusals and a history that ends.

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

/// How a call to the store fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowFault {
    /// Nothing is done.
    Refused,
    /// The answer is lost, and nothing is done.
    LostBefore,
    /// The answer is lost after the effect.
    LostAfter,
    /// The answer is lost, and the effect follows at the next transaction if its conditions hold.
    LostLate,
}

type Place = (&'static str, String, String);

#[derive(Debug, Clone)]
struct Held {
    value: Bytes,
    revision: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Place, Held>,
    history: VecDeque<(u64, Place)>,
    forgotten: u64,
    revision: u64,
    faults: VecDeque<Option<RowFault>>,
    late: Vec<Transaction>,
    down: bool,
    random: Option<(ChaCha8Rng, f64)>,
    random_reads: Option<(ChaCha8Rng, f64)>,
    transactions: u64,
    feeds: u64,
}

/// The row store; clones share one state.
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
    /// The next transactions fail so, one after the other; `None` goes well.
    pub fn script(&self, faults: impl IntoIterator<Item = Option<RowFault>>) {
        self.state.lock().faults.extend(faults);
    }

    /// A share of all transactions fails, drawn from a seed.
    pub fn fail_at_random(&self, seed: u64, share: f64) {
        self.state.lock().random = Some((ChaCha8Rng::seed_from_u64(seed), share));
    }

    /// A share of all reads of rows is refused, drawn from a seed.
    pub fn refuse_reads_at_random(&self, seed: u64, share: f64) {
        self.state.lock().random_reads = Some((ChaCha8Rng::seed_from_u64(seed), share));
    }

    /// Whether all calls are refused.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Forgets the history up to now.
    pub fn forget_history(&self) {
        let mut state = self.state.lock();
        state.forgotten = state.revision;
        state.history.clear();
    }

    /// Number of transactions asked for.
    pub fn transactions(&self) -> u64 {
        self.state.lock().transactions
    }

    /// Number of calls for changes.
    pub fn feeds(&self) -> u64 {
        self.state.lock().feeds
    }

    /// Writes a row, as another party of the store does.
    pub fn write(&self, table: &'static str, part: &str, key: &str, value: impl Into<Bytes>) {
        let mut state = self.state.lock();
        let revision = state.revision + 1;
        state.revision = revision;
        state.put((table, part.to_owned(), key.to_owned()), value.into());
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Removes a row, as another party of the store does.
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
        let rows = state.rows.iter().filter(|(place, _)| place.0 == table);
        rows.map(|(place, held)| (place.1.clone(), place.2.clone(), held.value.clone()))
            .collect()
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }
}

impl State {
    fn put(&mut self, place: Place, value: Bytes) {
        let revision = self.revision;
        self.history.push_back((revision, place.clone()));
        self.rows.insert(place, Held { value, revision });
    }

    fn remove(&mut self, place: Place) {
        if self.rows.remove(&place).is_some() {
            self.history.push_back((self.revision, place));
        }
    }

    fn next_fault(&mut self) -> Option<RowFault> {
        if let Some(fault) = self.faults.pop_front() {
            return fault;
        }
        let (random, share) = self.random.as_mut()?;
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
        let drawn = self.random_reads.as_mut();
        drawn.is_some_and(|(random, share)| random.random_bool(*share))
    }

    fn apply(&mut self, transaction: &Transaction) -> Result<u64, Vec<Row>> {
        let fails = transaction.conditions.iter().any(|condition| {
            let row = &condition.row;
            let place = (row.table, row.part.clone(), row.key.clone());
            let revision = self.rows.get(&place).map_or(0, |held| held.revision);
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

    fn row(&self, place: &Place) -> Row {
        let held = self.rows.get(place);
        Row {
            part: place.1.clone(),
            key: place.2.clone(),
            value: held.map(|held| held.value.clone()),
            revision: held.map_or(0, |held| held.revision),
        }
    }
}

fn lost() -> StoreError {
    StoreError::Ambiguous {
        reason: "emulated".to_owned(),
    }
}

fn refused() -> StoreError {
    StoreError::Unavailable {
        reason: "emulated".to_owned(),
    }
}

#[async_trait(?Send)]
impl RowStore for EmulatedRows {
    async fn transact(&self, transaction: &Transaction) -> Result<Committed, StoreError> {
        // A call takes its time, so that others come in between.
        tokio::task::yield_now().await;
        let outcome = {
            let mut state = self.state.lock();
            state.transactions += 1;
            let late = std::mem::take(&mut state.late);
            for late in late {
                // A late effect whose conditions no longer hold is no effect.
                let _ = state.apply(&late);
            }
            if state.down {
                return Err(refused());
            }
            match state.next_fault() {
                Some(RowFault::Refused) => Err(refused()),
                Some(RowFault::LostBefore) => Err(lost()),
                Some(RowFault::LostAfter) => {
                    let _ = state.apply(transaction);
                    Err(lost())
                }
                Some(RowFault::LostLate) => {
                    state.late.push(transaction.clone());
                    Err(lost())
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
            return Err(refused());
        }
        let mut rows: Vec<Row> = state
            .rows
            .keys()
            .filter(|place| place.0 == table && place.1 == part)
            .filter(|place| place.2.as_str() >= from && (to.is_empty() || place.2.as_str() < to))
            .map(|place| state.row(place))
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
            return Err(refused());
        }
        let mut parts: Vec<String> = state
            .rows
            .keys()
            .filter(|place| place.0 == table)
            .map(|place| place.1.clone())
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
        self.state.lock().feeds += 1;
        let mut changed = self.changed.subscribe();
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            changed.borrow_and_update();
            {
                let state = self.state.lock();
                if state.down {
                    return Err(refused());
                }
                if after < state.forgotten {
                    return Err(StoreError::Compacted);
                }
                let mut rows: Vec<Row> = Vec::new();
                for (revision, place) in &state.history {
                    if *revision > after && place.0 == table {
                        rows.retain(|row| (&row.part, &row.key) != (&place.1, &place.2));
                        let row = state.row(place);
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
            // The end of the wait is an answer too.
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
        }
    }
}

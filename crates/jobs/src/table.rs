//! In-memory copy of all job rows, fed by the store's change feed and shared by all threads.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::{Contact, TableSink};
use dappleyard_model::Row;
use parking_lot::Mutex;
use prost::Message;
use tokio::sync::Notify;

use crate::kept::{KeptBytes, KeptItems};
use crate::keys::JOBS_TABLE;
use crate::messages::{JobRow, StoredItem};
use dappleyard_clock::Instant;

/// Age of the last contact with the store from which the table counts as out of date.
const MAX_FRESH_AGE: Duration = Duration::from_millis(2_800);
/// Shortest interval between polls for changes, since job rows change with each commit of results.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(150);

#[derive(Debug, Clone)]
pub struct CachedJob {
    pub row: Arc<JobRow>,
    /// Revision of the row in the store.
    pub revision: u64,
}

#[derive(Default)]
struct State {
    jobs: HashMap<String, CachedJob>,
    /// Revision up to which the table is complete.
    revision: u64,
    /// When the table was last known to be in sync with the store.
    contact: Option<Instant>,
    /// The store's time in milliseconds, and when this node received it.
    clock: Option<(u64, Instant)>,
    stashed_items: HashMap<String, (Vec<StoredItem>, KeptBytes)>,
}

#[derive(Default)]
pub struct JobTable {
    state: Mutex<State>,
    changed: Notify,
    /// Items that this node keeps.
    pub(crate) kept: KeptItems,
}

impl JobTable {
    pub fn get(&self, job: &str) -> Option<CachedJob> {
        self.state.lock().jobs.get(job).cloned()
    }

    /// Jobs whose row satisfies `test`.
    pub fn select(&self, test: impl Fn(&JobRow) -> bool) -> Vec<(String, CachedJob)> {
        let state = self.state.lock();
        state
            .jobs
            .iter()
            .filter(|(_, known)| test(&known.row))
            .map(|(job, known)| (job.clone(), known.clone()))
            .collect()
    }

    /// Tokens of a tenant's items on a route that have no committed result.
    pub fn open_tokens(&self, route: &str, tenant: &str) -> u64 {
        let state = self.state.lock();
        state
            .jobs
            .values()
            .filter(|known| known.row.is_open())
            .filter(|known| known.row.route == route && known.row.tenant == tenant)
            .map(|known| known.row.open_tokens)
            .sum()
    }

    /// Adds a row that this node has written or read.
    pub fn put(&self, job: &str, row: JobRow, revision: u64) {
        let mut state = self.state.lock();
        Self::store(&mut state, job, row, revision);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Adds the job's row from the rows of a failed condition; returns whether they include it.
    pub fn put_from_conflict(&self, job: &str, rows: &[Row]) -> bool {
        let found = rows.iter().find(|row| row.key == job && row.revision > 0);
        let Some((value, revision)) =
            found.and_then(|row| Some((row.value.clone()?, row.revision)))
        else {
            return false;
        };
        if let Ok(row) = JobRow::decode(value) {
            self.put(job, row, revision);
        }
        true
    }

    /// Keeps the items of a job that this node accepted, so that the runner need not read them from the store.
    pub(crate) fn stash_items(&self, job: &str, items: Vec<StoredItem>, kept: KeptBytes) {
        let mut state = self.state.lock();
        state.stashed_items.insert(job.to_owned(), (items, kept));
    }

    /// Takes the items that were kept for the runner.
    pub(crate) fn take_stashed_items(&self, job: &str) -> Option<(Vec<StoredItem>, KeptBytes)> {
        self.state.lock().stashed_items.remove(job)
    }

    /// Revision up to which the table is complete.
    pub fn revision(&self) -> u64 {
        self.state.lock().revision
    }

    /// Whether the table was in sync with the store within the given time.
    pub fn is_synced_within(&self, age: Duration) -> bool {
        let contact = self.state.lock().contact;
        contact.is_some_and(|contact| contact.elapsed() <= age)
    }

    /// Whether the table is recent enough to be used without reading the store.
    pub fn is_fresh(&self) -> bool {
        self.is_synced_within(MAX_FRESH_AGE)
    }

    /// The store's clock, extrapolated with this machine's monotonic clock; `None` before the first contact.
    pub fn now_ms(&self) -> Option<u64> {
        let (now_ms, at) = self.state.lock().clock?;
        Some(now_ms + at.elapsed().as_millis() as u64)
    }

    /// Waits for the next change, but at most `limit`.
    pub async fn changed(&self, limit: Duration) {
        // The caller checks the table again after a timeout too.
        let _ = tokio::time::timeout(limit, self.changed.notified()).await;
    }

    /// Adds a row, unless the table has a later revision of it.
    fn store(state: &mut State, job: &str, row: JobRow, revision: u64) {
        let newer = state
            .jobs
            .get(job)
            .is_none_or(|known| known.revision < revision);
        if newer {
            let row = Arc::new(row);
            state
                .jobs
                .insert(job.to_owned(), CachedJob { row, revision });
        }
    }
}

impl TableSink for JobTable {
    fn table(&self) -> &'static str {
        JOBS_TABLE
    }

    fn is_partitioned(&self) -> bool {
        true
    }

    fn min_poll_interval(&self) -> Duration {
        MIN_POLL_INTERVAL
    }

    fn replace(&self, rows: Vec<Row>, revision: u64) {
        let mut state = self.state.lock();
        state.jobs.retain(|job, known| {
            known.revision > revision || rows.iter().any(|row| row.key == *job)
        });
        for row in rows {
            let decoded = row.value.and_then(|value| JobRow::decode(value).ok());
            if let Some(job) = decoded {
                Self::store(&mut state, &row.key, job, row.revision);
            }
        }
        drop(state);
        self.changed.notify_waiters();
    }

    fn change(&self, row: Row) {
        let mut state = self.state.lock();
        match row.value {
            Some(value) => {
                if let Ok(job) = JobRow::decode(value) {
                    Self::store(&mut state, &row.key, job, row.revision);
                }
            }
            None => {
                let older = |known: &CachedJob| known.revision < row.revision;
                if state.jobs.get(&row.key).is_some_and(older) {
                    state.jobs.remove(&row.key);
                }
            }
        }
    }

    fn contact(&self, contact: &Contact) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.revision = state.revision.max(contact.revision);
        state.contact = state.contact.max(contact.known_at());
        state.clock = Some((contact.now_ms, now));
        drop(state);
        self.changed.notify_waiters();
    }
}

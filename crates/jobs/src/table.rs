//! All jobs as the store's feed tells them, shared by all threads.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::{Contact, TableSink};
use dappleyard_model::Row;
use parking_lot::Mutex;
use prost::Message;
use tokio::sync::Notify;

use crate::keys::JOBS_TABLE;
use crate::messages::{JobRow, StoredItem};
use dappleyard_clock::Instant;

/// Age of the last answer of the store from which the table may be out of date.
const FRESH: Duration = Duration::from_millis(2_800);
/// Shortest time between two calls for changes: rows of jobs change with each commit of results.
const PACE: Duration = Duration::from_millis(150);

/// One job as known.
#[derive(Debug, Clone)]
pub struct Known {
    /// Its row.
    pub row: Arc<JobRow>,
    /// Revision of the row.
    pub revision: u64,
}

#[derive(Default)]
struct State {
    jobs: HashMap<String, Known>,
    revision: u64,
    contact: Option<Instant>,
    clock: Option<(u64, Instant)>,
    handed_over: HashMap<String, Vec<StoredItem>>,
}

/// All jobs.
#[derive(Default)]
pub struct JobTable {
    state: Mutex<State>,
    changed: Notify,
}

impl JobTable {
    /// One job.
    pub fn get(&self, job: &str) -> Option<Known> {
        self.state.lock().jobs.get(job).cloned()
    }

    /// Jobs for which `test` holds.
    pub fn select(&self, test: impl Fn(&JobRow) -> bool) -> Vec<(String, Known)> {
        let state = self.state.lock();
        state
            .jobs
            .iter()
            .filter(|(_, known)| test(&known.row))
            .map(|(job, known)| (job.clone(), known.clone()))
            .collect()
    }

    /// Tokens of a tenant's items on a route that are not listed.
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

    /// Notes a row written or read by this node.
    pub fn put(&self, job: &str, row: JobRow, revision: u64) {
        let mut state = self.state.lock();
        Self::store(&mut state, job, row, revision);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Notes the row of a job among those that a failed condition showed; whether there is one.
    pub fn put_found(&self, job: &str, rows: &[Row]) -> bool {
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

    /// Keeps the items of a job that this node accepted, for its runner.
    pub fn hand_over(&self, job: &str, items: Vec<StoredItem>) {
        self.state.lock().handed_over.insert(job.to_owned(), items);
    }

    /// Takes the items kept for the runner.
    pub fn take_handed_over(&self, job: &str) -> Option<Vec<StoredItem>> {
        self.state.lock().handed_over.remove(job)
    }

    /// Everything up to this revision is in the table.
    pub fn revision(&self) -> u64 {
        self.state.lock().revision
    }

    /// Whether the table is at most this old.
    pub fn is_known_within(&self, age: Duration) -> bool {
        let contact = self.state.lock().contact;
        contact.is_some_and(|contact| contact.elapsed() <= age)
    }

    /// Whether the store has answered lately.
    pub fn is_fresh(&self) -> bool {
        self.is_known_within(FRESH)
    }

    /// The store's clock, carried on by this machine's steady one; `None` before the store has
    /// told it.
    pub fn now_ms(&self) -> Option<u64> {
        let (now_ms, at) = self.state.lock().clock?;
        Some(now_ms + at.elapsed().as_millis() as u64)
    }

    /// Waits for the next change, for some time at most.
    pub async fn changed(&self, limit: Duration) {
        // Silence is an answer too.
        let _ = tokio::time::timeout(limit, self.changed.notified()).await;
    }

    fn store(state: &mut State, job: &str, row: JobRow, revision: u64) {
        let newer = state
            .jobs
            .get(job)
            .is_none_or(|known| known.revision < revision);
        if newer {
            let row = Arc::new(row);
            state.jobs.insert(job.to_owned(), Known { row, revision });
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

    fn pace(&self) -> Duration {
        PACE
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
                let older = |known: &Known| known.revision < row.revision;
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

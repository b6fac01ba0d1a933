//! Follows a table of the row store: reads it whole, then applies its changes in order.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{EventLog, Feed, Row, RowStore, Rows, StoreError};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum time for which the store may hold a call that waits for changes.
const MAX_WAIT: Duration = Duration::from_millis(2_000);
const PAGE_ROWS: usize = 500;
const PAGE_ATTEMPTS: usize = 8;
const INITIAL_BACKOFF: Duration = Duration::from_millis(40);
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// State of the store as of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// Everything up to this revision has been received.
    pub revision: u64,
    /// Monotonic clock of the store at the time of the call of `contact`, milliseconds.
    pub now_ms: u64,
    /// Time since the store answered; greater than zero if another node relayed the answer.
    pub age: Duration,
}

impl Contact {
    /// Local time up to which all changes are known; `None` if it precedes the local clock's
    /// origin.
    pub fn known_at(&self) -> Option<Instant> {
        Instant::now().checked_sub(self.age)
    }
}

/// Receiver of the rows and changes of a table.
pub trait TableSink {
    fn table(&self) -> &'static str;

    /// Whether the table has named partitions besides the unnamed one.
    fn is_partitioned(&self) -> bool;

    /// Minimum interval between two calls for changes. In a busy table each call returns at once,
    /// so the call rate would otherwise be limited by the store's latency only.
    fn min_poll_interval(&self) -> Duration {
        Duration::ZERO
    }

    /// Maximum time for which the store may hold a call that waits for changes.
    fn wait(&self) -> Duration {
        MAX_WAIT
    }

    /// Replaces the table by its rows as of a revision. Rows held at a later revision stay.
    fn replace(&self, rows: Vec<Row>, revision: u64);

    /// Applies one changed row; a row without a value was removed.
    fn change(&self, row: Row);

    /// Called after the store answered and all changes up to its revision were applied.
    fn contact(&self, contact: &Contact);

    /// Revision up to which the sink already holds the whole table; `None` if it must be read first.
    fn held(&self) -> Option<u64> {
        None
    }

    /// Reduces a row to the part of its value that nodes keep and exchange.
    fn digest(&self, row: Row) -> Row {
        row
    }

    /// Hash of the relevant part of a digest: rows with equal hashes count as unchanged.
    fn content_hash(&self, row: &Row) -> u64 {
        row.value.as_ref().map_or(0, |value| xxh3_64(value))
    }
}

/// Follows a table until the process ends.
pub async fn follow(store: &dyn RowStore, sink: &dyn TableSink, log: &EventLog) {
    let mut revision = sink.held().unwrap_or(0);
    let mut backoff = INITIAL_BACKOFF;
    let mut synced = sink.held().is_some();
    let mut healthy = true;
    loop {
        let started = Instant::now();
        let outcome = match synced {
            false => read_table(store, sink, revision).await,
            // After a failure the store is asked to answer at once, so that contact is
            // re-established without waiting for a change.
            true if !healthy => read_changes(store, sink, revision, Duration::ZERO).await,
            true => read_changes(store, sink, revision, sink.wait()).await,
        };
        match outcome {
            Ok(reached) => {
                if !healthy {
                    log.write("dependency_regained", || {
                        serde_json::json!({"dependency": "store", "table": sink.table(), "revision": reached})
                    });
                }
                healthy = true;
                synced = true;
                revision = reached.max(revision);
                backoff = INITIAL_BACKOFF;
                dappleyard_clock::sleep_until(started + sink.min_poll_interval()).await;
                continue;
            }
            Err(StoreError::Compacted) => {
                // The store is reachable, so no long backoff is needed.
                synced = false;
                backoff = INITIAL_BACKOFF;
            }
            Err(error) => {
                if healthy {
                    log.write("dependency_lost", || {
                        serde_json::json!({"dependency": "store", "table": sink.table(),
                            "revision": revision, "cause": error.to_string()})
                    });
                }
                healthy = false;
            }
        }
        tokio::time::sleep(with_jitter(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn read_changes(
    store: &dyn RowStore,
    sink: &dyn TableSink,
    after: u64,
    wait: Duration,
) -> Result<u64, StoreError> {
    let wait_ms = wait.as_millis() as u64;
    let feed: Feed = store.feed(sink.table(), after, wait_ms).await?;
    if feed.revision < after {
        // The store's revisions restarted below the known one, so the whole table is read again.
        return Err(StoreError::Compacted);
    }
    for row in feed.rows {
        sink.change(row);
    }
    sink.contact(&Contact {
        revision: feed.revision,
        now_ms: feed.now_ms,
        age: Duration::ZERO,
    });
    Ok(feed.revision)
}

/// Reads one page, with retries: restarting the whole read after each failed page might never
/// complete while all nodes start at once.
async fn read_page(
    store: &dyn RowStore,
    table: &'static str,
    part: &str,
    from: &str,
) -> Result<Rows, StoreError> {
    let mut backoff = INITIAL_BACKOFF;
    for _ in 1..PAGE_ATTEMPTS {
        match store.read(table, part, from, "", PAGE_ROWS).await {
            Err(StoreError::Unavailable { .. } | StoreError::Ambiguous { .. }) => {}
            outcome => return outcome,
        }
        tokio::time::sleep(with_jitter(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    store.read(table, part, from, "", PAGE_ROWS).await
}

/// Adds jitter to a delay, so that nodes which failed together do not retry together.
fn with_jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::random_range(0.5..1.5))
}

/// Reads the whole table; returns the revision of the first page, from which to follow. Partitions
/// are listed after that page: a partition created later appears as a change after the revision.
async fn read_table(
    store: &dyn RowStore,
    sink: &dyn TableSink,
    known: u64,
) -> Result<u64, StoreError> {
    let mut rows = Vec::new();
    let first = read_partition(store, sink.table(), "", known, &mut rows).await?;
    if sink.is_partitioned() {
        let parts = store.parts(sink.table()).await?;
        for part in parts.iter().filter(|part| !part.is_empty()) {
            read_partition(store, sink.table(), part, known, &mut rows).await?;
        }
    }
    sink.replace(rows, first.revision);
    sink.contact(&first);
    Ok(first.revision)
}

/// Appends the rows of one partition to `rows`; returns the store's state as of the first page. A
/// page older than the `known` revision is rejected as stale.
async fn read_partition(
    store: &dyn RowStore,
    table: &'static str,
    part: &str,
    known: u64,
    rows: &mut Vec<Row>,
) -> Result<Contact, StoreError> {
    let mut first = None;
    let mut from = String::new();
    loop {
        let page = read_page(store, table, part, &from).await?;
        if page.revision < known {
            return Err(StoreError::Unavailable {
                reason: format!(
                    "read at revision {} is older than known revision {known}",
                    page.revision
                ),
            });
        }
        let contact = *first.get_or_insert(Contact {
            revision: page.revision,
            now_ms: page.now_ms,
            age: Duration::ZERO,
        });
        // The next page starts after the last key of this one.
        let last = page.rows.last().map(|row| format!("{}\u{1}", row.key));
        rows.extend(page.rows.into_iter().map(|row| Row {
            part: part.to_owned(),
            ..row
        }));
        match last {
            Some(last) if page.more => from = last,
            _ => return Ok(contact),
        }
    }
}

//! Follows a table of the row store: reads it whole, then applies its changes in order.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{EventLog, Feed, Row, RowStore, Rows, StoreError};
use xxhash_rust::xxh3::xxh3_64;

/// How long the store may hold a call that waits for changes.
const WAIT: Duration = Duration::from_millis(2_000);
/// Rows read by one call.
const PAGE_ROWS: usize = 500;
/// Times that one page is asked for.
const PAGE_TRIES: usize = 8;
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// What the store told of itself with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// Everything up to this revision is known.
    pub revision: u64,
    /// Steady clock of the store, as of now.
    pub now_ms: u64,
    /// Time since the store said so; more than nothing when another node passed it on.
    pub age: Duration,
}

impl Contact {
    /// Up to when everything is known, on this machine's clock; `None` before that clock began.
    pub fn known_at(&self) -> Option<Instant> {
        Instant::now().checked_sub(self.age)
    }
}

/// What follows a table.
pub trait TableSink {
    /// The table.
    fn table(&self) -> &'static str;

    /// Whether the table has more partitions than the one without a name.
    fn is_partitioned(&self) -> bool;

    /// Shortest time between two calls for changes. In a table that changes all the time each call
    /// is answered at once, and the calls would only be bounded by the store's latency.
    fn pace(&self) -> Duration {
        Duration::ZERO
    }

    /// How long the store may hold a call that waits for changes.
    fn wait(&self) -> Duration {
        WAIT
    }

    /// The whole table as of a revision. Rows that the sink holds at a later revision stay.
    fn replace(&self, rows: Vec<Row>, revision: u64);

    /// One changed row.
    fn change(&self, row: Row);

    /// The store answered; everything up to a revision was applied.
    fn contact(&self, contact: &Contact);

    /// Revision up to which the whole table is held already.
    fn held(&self) -> Option<u64> {
        None
    }

    /// A row as nodes keep it and tell it to each other: with what matters of its value, where that is less than the whole.
    fn digest(&self, row: Row) -> Row {
        row
    }

    /// What matters of a row as it is kept: a change that leaves it alike is no change.
    fn essence(&self, row: &Row) -> u64 {
        row.value.as_ref().map_or(0, |value| xxh3_64(value))
    }
}

/// Follows a table until the process ends.
pub async fn follow(store: &dyn RowStore, sink: &dyn TableSink, log: &EventLog) {
    let mut revision = sink.held().unwrap_or(0);
    let mut pause = FIRST_PAUSE;
    let mut whole = sink.held().is_some();
    let mut healthy = true;
    loop {
        let asked = Instant::now();
        let outcome = match whole {
            false => read_whole(store, sink, revision).await,
            // After a failure the store is asked to answer at once, so that contact is known again
            // without waiting for a change.
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
                whole = true;
                revision = reached.max(revision);
                pause = FIRST_PAUSE;
                dappleyard_clock::sleep_until(asked + sink.pace()).await;
                continue;
            }
            Err(StoreError::Compacted) => {
                // The store answers: nothing is gained by a long pause.
                whole = false;
                pause = FIRST_PAUSE;
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
        tokio::time::sleep(scattered(pause)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
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
        // The history begins anew below what is known: read the table whole.
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

/// Reads one page, more than once if need be: a read that begins anew at its first page whenever
/// one of many fails never ends where all nodes start at once.
async fn read_page(
    store: &dyn RowStore,
    table: &'static str,
    part: &str,
    from: &str,
) -> Result<Rows, StoreError> {
    let mut pause = FIRST_PAUSE;
    for _ in 1..PAGE_TRIES {
        match store.read(table, part, from, "", PAGE_ROWS).await {
            Err(StoreError::Unavailable { .. } | StoreError::Ambiguous { .. }) => {}
            outcome => return outcome,
        }
        tokio::time::sleep(scattered(pause)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    store.read(table, part, from, "", PAGE_ROWS).await
}

/// A pause of about this length: nodes that failed together must not come back together.
fn scattered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.5))
}

/// Reads a table whole. The revision to follow from is that of the first page. So partitions are listed after that page:
/// one that begins later is a change behind that revision, and one that began before is among them.
async fn read_whole(
    store: &dyn RowStore,
    sink: &dyn TableSink,
    known: u64,
) -> Result<u64, StoreError> {
    let mut rows = Vec::new();
    let first = read_part(store, sink.table(), "", known, &mut rows).await?;
    if sink.is_partitioned() {
        let parts = store.parts(sink.table()).await?;
        for part in parts.iter().filter(|part| !part.is_empty()) {
            read_part(store, sink.table(), part, known, &mut rows).await?;
        }
    }
    sink.replace(rows, first.revision);
    sink.contact(&first);
    Ok(first.revision)
}

/// Reads the rows of one partition; what the store said with the first page.
async fn read_part(
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
                reason: format!("read at {} is older than {known}", page.revision),
            });
        }
        let contact = *first.get_or_insert(Contact {
            revision: page.revision,
            now_ms: page.now_ms,
            age: Duration::ZERO,
        });
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

//! State of the table service: rows, change feed, size limits, call counts and a configuration log.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dappleyard_store::memory::rows::Rows;
use dappleyard_store::{Changes, Row, StoreError, Transaction, Write};
use dappleyard_wire::keys::{CONFIGURATION_HEAD, CONFIGURATION_PREFIX};
use serde::Serialize;

use super::settings::PlatformStandInSettings;

/// Call counts of one key class, the part of the key before the first `/`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Applied transactions.
    pub transactions: u64,
    /// Rows written by applied transactions.
    pub rows_written: u64,
    /// Transactions whose comparisons failed.
    pub conflicts: u64,
    /// Row, range and feed reads.
    pub reads: u64,
}

/// A transaction that changed the configuration, for the invariant checker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationChange {
    /// Revision of the store.
    pub revision: u64,
    /// Configuration keys that it wrote.
    pub keys: Vec<String>,
    /// When it was applied.
    pub at: Instant,
}

/// A row write of the change feed, for recordings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryRow {
    /// Revision of the store.
    pub revision: u64,
    /// Time since the table service started, milliseconds.
    pub at_ms: u64,
    /// Row key.
    pub key: String,
    /// New value; `None` for a deleted row.
    pub value: Option<Bytes>,
}

/// State of the table service.
#[derive(Debug)]
pub struct TableState {
    rows: Rows,
    /// Revision and time of recent transactions; bounded like the feed.
    applied: VecDeque<(u64, Instant)>,
    configuration: Vec<ConfigurationChange>,
    counts: BTreeMap<String, CallCounts>,
    maximum_rows: usize,
    maximum_value: usize,
    maximum_feed: usize,
    maximum_answer: usize,
}

impl TableState {
    /// Creates an empty table at revision 0.
    pub fn new(settings: &PlatformStandInSettings) -> TableState {
        TableState {
            rows: Rows::new(settings.feed_changes),
            applied: VecDeque::new(),
            configuration: Vec::new(),
            counts: BTreeMap::new(),
            maximum_rows: settings.maximum_transaction_rows,
            maximum_value: settings.maximum_value_bytes,
            maximum_feed: settings.feed_changes,
            maximum_answer: settings.maximum_feed_answer,
        }
    }

    /// Revision of the last transaction.
    pub fn revision(&self) -> u64 {
        self.rows.revision()
    }

    /// Applies a transaction atomically.
    pub fn transact(&mut self, transaction: Transaction) -> Result<u64, StoreError> {
        self.check_size(&transaction)?;
        let class = transaction_class(&transaction);
        let written = transaction.writes.len() as u64;
        let configuration = configuration_keys(&transaction);
        let result = self.rows.transact(transaction);
        let counts = self.counts.entry(class).or_default();
        match &result {
            Ok(revision) => {
                counts.transactions += 1;
                counts.rows_written += written;
                self.record_applied(*revision);
                self.record_configuration(*revision, configuration);
            }
            Err(_) => counts.conflicts += 1,
        }
        result
    }

    fn check_size(&self, transaction: &Transaction) -> Result<(), StoreError> {
        let invalid = |reason: String| Err(StoreError::Invalid { reason });
        let rows = transaction.compare.len().max(transaction.writes.len());
        if rows > self.maximum_rows {
            return invalid(format!("{rows} rows; at most {}", self.maximum_rows));
        }
        for write in &transaction.writes {
            let (key, size) = match write {
                Write::Put { key, value } => (key, value.len()),
                Write::Delete { key } => (key, 0),
            };
            if key.is_empty() {
                return invalid("a key is empty".to_owned());
            }
            if size > self.maximum_value {
                return invalid(format!(
                    "{key}: {size} bytes; at most {}",
                    self.maximum_value
                ));
            }
        }
        Ok(())
    }

    fn record_configuration(&mut self, revision: u64, keys: Option<Vec<String>>) {
        if let Some(keys) = keys {
            self.configuration.push(ConfigurationChange {
                revision,
                keys,
                at: Instant::now(),
            });
        }
    }

    /// Compacts the feed up to a revision.
    pub fn compact_to(&mut self, revision: u64) {
        self.rows.compact_to(revision);
    }

    /// Reads one row.
    pub fn get(&mut self, key: &str) -> Option<Row> {
        self.count_read(key);
        self.peek(key)
    }

    /// Reads one row without counting the read.
    pub fn peek(&self, key: &str) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    /// Reads rows under a prefix after a key, in key order.
    pub fn range(&mut self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        self.count_read(prefix);
        self.peek_range(prefix, after, limit)
    }

    /// Reads a range without counting the read.
    pub fn peek_range(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let rows = self.rows.range(prefix, after);
        rows.take(limit).cloned().collect()
    }

    /// Changes under a prefix after a revision; never splits a transaction.
    pub fn changes(&self, prefix: &str, after: u64) -> Changes {
        self.rows.changes(prefix, after, self.maximum_answer)
    }

    /// All writes under the prefixes that the feed holds, oldest first.
    pub fn history(&self, prefixes: &[&str], started: Instant) -> Vec<HistoryRow> {
        let wanted = |key: &str| prefixes.iter().any(|prefix| key.starts_with(prefix));
        let changes = self.rows.feed().filter(|(key, ..)| wanted(key));
        changes
            .map(|(key, revision, value)| HistoryRow {
                revision,
                at_ms: self.applied_at(revision, started).as_millis() as u64,
                key: key.to_owned(),
                value: value.cloned(),
            })
            .collect()
    }

    /// Time since `started` of the first kept transaction at or after a revision; zero if there is
    /// none.
    fn applied_at(&self, revision: u64, started: Instant) -> Duration {
        let index = self.applied.partition_point(|(other, _)| *other < revision);
        let applied = self.applied.get(index).map(|(_, at)| *at);
        applied.map_or(Duration::ZERO, |at| at.duration_since(started))
    }

    fn record_applied(&mut self, revision: u64) {
        let known = self
            .applied
            .back()
            .is_some_and(|(last, _)| *last >= revision);
        if known {
            return;
        }
        if self.applied.len() > self.maximum_feed {
            self.applied.pop_front();
        }
        self.applied.push_back((revision, Instant::now()));
    }

    pub fn count_read(&mut self, key: &str) {
        self.counts.entry(key_class(key)).or_default().reads += 1;
    }

    /// Call counts by key class.
    pub fn counts(&self) -> BTreeMap<String, CallCounts> {
        self.counts.clone()
    }

    /// Configuration changes, oldest first.
    pub fn configuration(&self) -> Vec<ConfigurationChange> {
        self.configuration.clone()
    }
}

fn write_key(write: &Write) -> &str {
    match write {
        Write::Put { key, .. } | Write::Delete { key } => key,
    }
}

/// Configuration keys that a transaction writes; `None` if it does not touch the configuration.
fn configuration_keys(transaction: &Transaction) -> Option<Vec<String>> {
    let keys = || transaction.writes.iter().map(write_key);
    let writes_head = keys().any(|key| key == CONFIGURATION_HEAD);
    let rows = keys().filter(|key| key.starts_with(CONFIGURATION_PREFIX));
    let rows: Vec<String> = rows.map(str::to_owned).collect();
    (writes_head || !rows.is_empty()).then_some(rows)
}

fn key_class(key: &str) -> String {
    key.split('/').next().unwrap_or_default().to_owned()
}

fn transaction_class(transaction: &Transaction) -> String {
    let written = transaction.writes.first().map(write_key);
    let compared = transaction.compare.first().map(|(key, _)| key.as_str());
    key_class(written.or(compared).unwrap_or_default())
}

//! State of the table service: rows, one revision that grows with each transaction, and a feed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use bytes::Bytes;
use dappleyard_platform::{Changes, Expect, Row, StoreError, Transaction, Write};
use dappleyard_wire::keys::{CONFIGURATION_HEAD, CONFIGURATION_PREFIX};
use serde::Serialize;

use super::settings::PlatformStandInSettings;

/// Calls by class of key, the part before the first `/`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Transactions that were applied.
    pub transactions: u64,
    /// Rows written by them.
    pub rows_written: u64,
    /// Transactions refused by a comparison.
    pub conflicts: u64,
    /// Reads.
    pub reads: u64,
}

/// One change of configuration, for the checker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RevisionRecord {
    /// Revision of the store.
    pub revision: u64,
    /// Keys of the configuration rows that it changed.
    pub keys: Vec<String>,
    /// When it was applied.
    pub at: Instant,
}

#[derive(Debug, Clone)]
struct Stored {
    value: Bytes,
    revision: u64,
}

/// One written row of the feed, for recordings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryRow {
    /// Revision of the store.
    pub revision: u64,
    /// Time since the table service started, milliseconds.
    pub at_ms: u64,
    /// Key.
    pub key: String,
    /// New value; `None` for a removed row.
    pub value: Option<Bytes>,
}

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    at: Instant,
    key: String,
    value: Option<Bytes>,
}

/// State of the table service.
#[derive(Debug)]
pub struct TableState {
    rows: BTreeMap<String, Stored>,
    revision: u64,
    feed: VecDeque<Change>,
    /// Revision of the last change that the feed has forgotten.
    compacted_to: u64,
    configuration: Vec<RevisionRecord>,
    counts: BTreeMap<String, CallCounts>,
    maximum_rows: usize,
    maximum_value: usize,
    maximum_feed: usize,
    maximum_answer: usize,
}

impl TableState {
    /// No rows, at revision 0.
    pub fn new(settings: &PlatformStandInSettings) -> TableState {
        TableState {
            rows: BTreeMap::new(),
            revision: 0,
            feed: VecDeque::new(),
            compacted_to: 0,
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
        self.revision
    }

    /// Applies a transaction, all of it or nothing.
    pub fn transact(&mut self, transaction: Transaction) -> Result<u64, StoreError> {
        self.check_size(&transaction)?;
        let class = transaction_class(&transaction);
        if let Some((key, actual)) = self.failed_comparison(&transaction) {
            self.counts.entry(class).or_default().conflicts += 1;
            return Err(StoreError::Conflict { key, actual });
        }
        let counts = self.counts.entry(class).or_default();
        counts.transactions += 1;
        counts.rows_written += transaction.writes.len() as u64;
        if transaction.writes.is_empty() {
            return Ok(self.revision);
        }
        self.revision += 1;
        self.note_configuration(&transaction);
        for write in transaction.writes {
            self.apply(write);
        }
        self.compact();
        Ok(self.revision)
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

    fn failed_comparison(&self, transaction: &Transaction) -> Option<(String, Option<u64>)> {
        let mut compared = transaction.compare.iter();
        compared.find_map(|(key, expect)| {
            let actual = self.rows.get(key).map(|row| row.revision);
            let holds = match expect {
                Expect::Absent => actual.is_none(),
                Expect::Present => actual.is_some(),
                Expect::Revision(revision) => actual == Some(*revision),
            };
            (!holds).then(|| (key.clone(), actual))
        })
    }

    fn apply(&mut self, write: Write) {
        let revision = self.revision;
        let (key, value) = match write {
            Write::Put { key, value } => {
                let stored = Stored {
                    value: value.clone(),
                    revision,
                };
                self.rows.insert(key.clone(), stored);
                (key, Some(value))
            }
            Write::Delete { key } => {
                self.rows.remove(&key);
                (key, None)
            }
        };
        self.feed.push_back(Change {
            revision,
            at: Instant::now(),
            key,
            value,
        });
    }

    fn note_configuration(&mut self, transaction: &Transaction) {
        let keys = transaction.writes.iter().map(write_key);
        let configuration = keys.filter(|key| key.starts_with(CONFIGURATION_PREFIX));
        let keys: Vec<String> = configuration.map(str::to_owned).collect();
        let chained = transaction
            .writes
            .iter()
            .any(|write| write_key(write) == CONFIGURATION_HEAD);
        if !keys.is_empty() || chained {
            self.configuration.push(RevisionRecord {
                revision: self.revision,
                keys,
                at: Instant::now(),
            });
        }
    }

    fn compact(&mut self) {
        while self.feed.len() > self.maximum_feed {
            let Some(oldest) = self.feed.pop_front() else {
                return;
            };
            self.compacted_to = oldest.revision;
        }
    }

    /// Forgets the feed up to a revision.
    pub fn compact_to(&mut self, revision: u64) {
        while let Some(oldest) = self.feed.front()
            && oldest.revision <= revision
        {
            self.feed.pop_front();
        }
        self.compacted_to = self.compacted_to.max(revision.min(self.revision));
    }

    /// Reads one row.
    pub fn get(&mut self, key: &str) -> Option<Row> {
        self.count_read(key);
        self.peek(key)
    }

    /// Reads one row without counting the read.
    pub fn peek(&self, key: &str) -> Option<Row> {
        let stored = self.rows.get(key)?;
        Some(Row {
            key: key.to_owned(),
            value: stored.value.clone(),
            revision: stored.revision,
        })
    }

    /// Reads rows under a prefix after a key, in key order.
    pub fn range(&mut self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        self.count_read(prefix);
        self.peek_range(prefix, after, limit)
    }

    /// Reads a range without counting the read.
    pub fn peek_range(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let from = prefix.max(after);
        let rows = self.rows.range(from.to_owned()..);
        rows.take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_empty() || key.as_str() > after)
            .take(limit)
            .map(|(key, stored)| Row {
                key: key.clone(),
                value: stored.value.clone(),
                revision: stored.revision,
            })
            .collect()
    }

    /// Changes under a prefix after a revision; only whole transactions.
    pub fn changes(&self, prefix: &str, after: u64) -> Changes {
        if after < self.compacted_to {
            return Changes {
                rows: Vec::new(),
                up_to: self.revision,
                compacted: true,
            };
        }
        let first = self.feed.partition_point(|change| change.revision <= after);
        let mut changes = Changes {
            up_to: self.revision,
            ..Changes::default()
        };
        let mut last_revision = 0;
        for change in self.feed.range(first..) {
            let full = changes.rows.len() >= self.maximum_answer;
            if full && change.revision != last_revision {
                changes.up_to = last_revision;
                break;
            }
            if change.key.starts_with(prefix) {
                last_revision = change.revision;
                let value = change.value.clone();
                changes
                    .rows
                    .push((change.key.clone(), change.revision, value));
            }
        }
        changes
    }

    /// Everything that the feed holds under the prefixes, oldest first.
    pub fn history(&self, prefixes: &[&str], started: Instant) -> Vec<HistoryRow> {
        let wanted =
            |change: &&Change| prefixes.iter().any(|prefix| change.key.starts_with(prefix));
        let changes = self.feed.iter().filter(wanted);
        changes
            .map(|change| HistoryRow {
                revision: change.revision,
                at_ms: change.at.duration_since(started).as_millis() as u64,
                key: change.key.clone(),
                value: change.value.clone(),
            })
            .collect()
    }

    /// Counts a read.
    pub fn count_read(&mut self, key: &str) {
        self.counts.entry(class_of(key)).or_default().reads += 1;
    }

    /// Calls by class of key.
    pub fn counts(&self) -> BTreeMap<String, CallCounts> {
        self.counts.clone()
    }

    /// Changes of configuration, oldest first.
    pub fn configuration(&self) -> Vec<RevisionRecord> {
        self.configuration.clone()
    }
}

fn write_key(write: &Write) -> &str {
    match write {
        Write::Put { key, .. } | Write::Delete { key } => key,
    }
}

fn class_of(key: &str) -> String {
    key.split('/').next().unwrap_or_default().to_owned()
}

fn transaction_class(transaction: &Transaction) -> String {
    let written = transaction.writes.first().map(write_key);
    let compared = transaction.compare.first().map(|(key, _)| key.as_str());
    class_of(written.or(compared).unwrap_or_default())
}

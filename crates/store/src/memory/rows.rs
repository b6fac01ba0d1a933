//! In-memory rows with a global revision and a change feed.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::tables::{Changes, Expect, Row, StoreError, Transaction, Write};

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    key: String,
    value: Option<Bytes>,
}

/// Rows with their change feed.
#[derive(Debug)]
pub struct Rows {
    rows: BTreeMap<String, Row>,
    revision: u64,
    feed: VecDeque<Change>,
    /// Revision of the last change dropped from the feed.
    compacted_to: u64,
    maximum_feed: usize,
}

impl Rows {
    /// Creates an empty store at revision 0 whose feed keeps at most `maximum_feed` changes.
    pub fn new(maximum_feed: usize) -> Rows {
        Rows {
            rows: BTreeMap::new(),
            revision: 0,
            feed: VecDeque::new(),
            compacted_to: 0,
            maximum_feed,
        }
    }

    /// Revision of the last transaction with writes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a transaction atomically and returns the revision after it.
    pub fn transact(&mut self, transaction: Transaction) -> Result<u64, StoreError> {
        self.compare(&transaction.compare)?;
        if transaction.writes.is_empty() {
            return Ok(self.revision);
        }
        self.revision += 1;
        for write in transaction.writes {
            self.write(write);
        }
        self.trim_feed();
        Ok(self.revision)
    }

    fn compare(&self, compare: &[(String, Expect)]) -> Result<(), StoreError> {
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

    fn write(&mut self, write: Write) {
        let revision = self.revision;
        let (key, value) = match write {
            Write::Put { key, value } => {
                let row = Row {
                    key: key.clone(),
                    value: value.clone(),
                    revision,
                };
                self.rows.insert(key.clone(), row);
                (key, Some(value))
            }
            Write::Delete { key } => {
                if self.rows.remove(&key).is_none() {
                    return;
                }
                (key, None)
            }
        };
        self.feed.push_back(Change {
            revision,
            key,
            value,
        });
    }

    fn trim_feed(&mut self) {
        while self.feed.len() > self.maximum_feed {
            let Some(oldest) = self.feed.pop_front() else {
                return;
            };
            self.compacted_to = oldest.revision;
        }
    }

    /// Drops the feed up to a revision.
    pub fn compact_to(&mut self, revision: u64) {
        while let Some(oldest) = self.feed.front()
            && oldest.revision <= revision
        {
            self.feed.pop_front();
        }
        self.compacted_to = self.compacted_to.max(revision.min(self.revision));
    }

    /// Returns a row.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Rows under a prefix with keys greater than `after`, in key order.
    pub fn range(&self, prefix: &str, after: &str) -> impl Iterator<Item = &Row> {
        let from = prefix.max(after).to_owned();
        let rows = self.rows.range(from..).map(|(_, row)| row);
        rows.take_while(move |row| row.key.starts_with(prefix))
            .filter(move |row| after.is_empty() || row.key.as_str() > after)
    }

    /// Content of the feed, oldest first: key, revision, and value, which is `None` for a removed row.
    pub fn feed(&self) -> impl Iterator<Item = (&str, u64, Option<&Bytes>)> {
        let changes = self.feed.iter();
        changes.map(|change| (&*change.key, change.revision, change.value.as_ref()))
    }

    /// Changes under a prefix after a revision. Stops after `maximum` changes, but never within a transaction.
    pub fn changes(&self, prefix: &str, after: u64, maximum: usize) -> Changes {
        let mut changes = Changes {
            up_to: self.revision,
            compacted: after < self.compacted_to,
            ..Changes::default()
        };
        if changes.compacted {
            return changes;
        }
        let first = self.feed.partition_point(|change| change.revision <= after);
        let mut last_revision = 0;
        for change in self.feed.range(first..) {
            let full = changes.rows.len() >= maximum;
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
}

//! Journal of decision records in the object store: written in batches, bounded per node.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use dappleyard_store::{ObjectStore, StoreError};
use dappleyard_tables::NodeTables;
use dappleyard_tables::decisions::Decision;
use dappleyard_wire::keys::{self, JOURNAL_PREFIX};

/// Fleet size above which nodes write less often than the configured interval, to bound the total
/// write rate.
const NODES_AT_FULL_RATE: u64 = 32;
/// Number of pending records that triggers a write before the interval is over.
const FLUSH_RECORDS: usize = 1_024;
/// Bytes read of one journal object.
const MAX_OBJECT_BYTES: u64 = 4 * 1024 * 1024;
/// Limit on journal objects read by one search.
const MAX_OBJECTS: usize = 200;
const PAGE_SIZE: usize = 1_000;

/// Writes the decision records of this node.
pub struct Journal {
    tables: Arc<NodeTables>,
    max_objects: usize,
    next_number: u64,
    /// Names of the objects of this node, oldest first; `None` until existing objects are listed.
    written: Option<VecDeque<String>>,
    pending: Vec<Decision>,
    last_write_ms: u64,
}

impl Journal {
    /// Creates a journal that keeps the latest `max_objects` objects.
    pub fn new(tables: Arc<NodeTables>, max_objects: usize) -> Journal {
        Journal {
            last_write_ms: tables.clock.now().0,
            tables,
            max_objects: max_objects.max(1),
            next_number: 0,
            written: None,
            pending: Vec::new(),
        }
    }

    /// Writes the pending records if the interval is over. Returns whether it wrote.
    pub async fn write_if_due(
        &mut self,
        objects: &dyn ObjectStore,
        interval_ms: u64,
    ) -> Result<bool, StoreError> {
        self.collect_pending();
        let nodes = self.tables.members.all().len() as u64;
        let interval_ms = interval_ms * nodes.div_ceil(NODES_AT_FULL_RATE).max(1);
        let waited_ms = self.tables.clock.now().0.saturating_sub(self.last_write_ms);
        let due = waited_ms >= interval_ms || self.pending.len() >= FLUSH_RECORDS;
        if self.pending.is_empty() || !due {
            return Ok(false);
        }
        self.write(objects).await.map(|()| true)
    }

    /// Writes the pending records now, as at shutdown.
    pub async fn flush(&mut self, objects: &dyn ObjectStore) -> Result<(), StoreError> {
        self.collect_pending();
        if self.pending.is_empty() {
            return Ok(());
        }
        self.write(objects).await
    }

    fn collect_pending(&mut self) {
        self.pending.extend(self.tables.decisions.take_unsaved());
        let surplus = self
            .pending
            .len()
            .saturating_sub(dappleyard_tables::decisions::MAXIMUM_RECORDS);
        self.pending.drain(..surplus);
    }

    async fn write(&mut self, objects: &dyn ObjectStore) -> Result<(), StoreError> {
        self.list_earlier_objects(objects).await?;
        self.last_write_ms = self.tables.clock.now().0;
        let body = Bytes::from(encode_lines(&self.pending));
        let name = self.next_name();
        objects.create(&name, body).await?;
        self.pending.clear();
        let written = self.written.get_or_insert_default();
        written.push_back(name);
        while written.len() > self.max_objects {
            if let Some(oldest) = written.pop_front() {
                objects.delete(&oldest).await?;
            }
        }
        Ok(())
    }

    /// Name of the next object. Every attempt uses a new one, so a retry after an ambiguous write
    /// may duplicate records.
    fn next_name(&mut self) -> String {
        let number = self.next_number;
        self.next_number += 1;
        let node = self.tables.identity.node.as_str();
        keys::journal_object(node, self.tables.clock.unix_ms(), number)
    }

    /// Lists the objects written before a restart and continues their numbering, so that a restart
    /// within the same millisecond does not reuse a name.
    async fn list_earlier_objects(&mut self, objects: &dyn ObjectStore) -> Result<(), StoreError> {
        if self.written.is_none() {
            let prefix = format!("{JOURNAL_PREFIX}{}/", self.tables.identity.node);
            let known = objects.list(&prefix, "", PAGE_SIZE).await?;
            let numbers = known.iter().filter_map(|(name, _)| number(name));
            self.next_number = numbers.max().map_or(self.next_number, |last| last + 1);
            self.written = Some(known.into_iter().map(|(name, _)| name).collect());
        }
        Ok(())
    }
}

/// Sequence number in the name of a journal object.
fn number(name: &str) -> Option<u64> {
    name.rsplit('-').next()?.parse().ok()
}

fn encode_lines(records: &[Decision]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        if let Ok(mut line) = serde_json::to_vec(record) {
            bytes.append(&mut line);
            bytes.push(b'\n');
        }
    }
    bytes
}

/// Searches the journal objects, newest first. Objects of `responding_nodes` come last because
/// those nodes already reported their records. Also returns whether objects were left unread.
pub async fn search(
    objects: &dyn ObjectStore,
    responding_nodes: &BTreeSet<String>,
    matches: impl Fn(&Decision) -> bool,
) -> Result<(Vec<Decision>, bool), StoreError> {
    let mut names = list_names(objects).await?;
    names.sort_by_cached_key(|name| {
        let (node, written_ms) = node_and_time(name);
        (responding_nodes.contains(node), Reverse(written_ms))
    });
    let partial = names.len() > MAX_OBJECTS;
    names.truncate(MAX_OBJECTS);
    let mut found = Vec::new();
    for name in names {
        let Some(object) = objects.read(&name, 0, MAX_OBJECT_BYTES).await? else {
            continue;
        };
        let records = object.bytes.split(|byte| *byte == b'\n');
        found.extend(
            records
                .filter_map(|line| serde_json::from_slice::<Decision>(line).ok())
                .filter(&matches),
        );
    }
    Ok((found, partial))
}

/// Removes up to `limit` objects written before a time. Nodes remove their own surplus; this
/// removes the objects of nodes that are gone for good.
pub async fn remove_older(
    objects: &dyn ObjectStore,
    before_unix_ms: u64,
    limit: usize,
) -> Result<usize, StoreError> {
    let old = list_names(objects).await?.into_iter();
    let old: Vec<String> = old
        .filter(|name| {
            node_and_time(name)
                .1
                .is_some_and(|written| written < before_unix_ms)
        })
        .take(limit)
        .collect();
    for name in &old {
        objects.delete(name).await?;
    }
    Ok(old.len())
}

/// Node and Unix time in milliseconds from the name of a journal object.
fn node_and_time(name: &str) -> (&str, Option<u64>) {
    let path = name.strip_prefix(JOURNAL_PREFIX).unwrap_or(name);
    let (node, file) = path.rsplit_once('/').unwrap_or((path, ""));
    let written = file.split('-').next().and_then(|text| text.parse().ok());
    (node, written)
}

async fn list_names(objects: &dyn ObjectStore) -> Result<Vec<String>, StoreError> {
    const MAX_PAGES: usize = 30;
    let mut names = Vec::new();
    let mut after = String::new();
    for _ in 0..MAX_PAGES {
        let page = objects.list(JOURNAL_PREFIX, &after, PAGE_SIZE).await?;
        let full = page.len() == PAGE_SIZE;
        names.extend(page.into_iter().map(|(name, _)| name));
        match names.last() {
            Some(last) if full => after.clone_from(last),
            _ => break,
        }
    }
    Ok(names)
}

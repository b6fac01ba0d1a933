//! Decision records in the object store: appended in batches, bounded for each node.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use dappleyard_platform::{ObjectStore, StoreError};
use dappleyard_tables::NodeTables;
use dappleyard_tables::decisions::Decision;
use dappleyard_wire::keys::{self, JOURNAL_PREFIX};

/// Nodes up to which each writes at the interval of the settings; in a larger fleet each node writes
/// less often, so that the object store sees a constant rate.
const NODES_AT_FULL_RATE: u64 = 32;
/// Records that are written without waiting for the interval.
const ENOUGH_RECORDS: usize = 1_024;
/// Largest journal object read, bytes.
const LARGEST_OBJECT: u64 = 4 * 1024 * 1024;
/// Journal objects read for one question.
const MOST_OBJECTS: usize = 200;
/// Names listed in one call.
const PAGE: usize = 1_000;

/// Writes this node's records.
pub struct Journal {
    tables: Arc<NodeTables>,
    kept: usize,
    next: u64,
    written: VecDeque<String>,
    pending: Vec<Decision>,
    last_ms: u64,
}

impl Journal {
    /// A journal of this node that keeps `kept` objects.
    pub fn new(tables: Arc<NodeTables>, kept: usize) -> Journal {
        Journal {
            last_ms: tables.clock.now().0,
            tables,
            kept: kept.max(1),
            next: 0,
            written: VecDeque::new(),
            pending: Vec::new(),
        }
    }

    /// Writes the records that wait when it is time. Says whether it wrote.
    pub async fn run(
        &mut self,
        objects: &dyn ObjectStore,
        interval_ms: u64,
    ) -> Result<bool, StoreError> {
        self.take();
        let nodes = self.tables.members.all().len() as u64;
        let interval_ms = interval_ms * nodes.div_ceil(NODES_AT_FULL_RATE).max(1);
        let waited_ms = self.tables.clock.now().0.saturating_sub(self.last_ms);
        let due = waited_ms >= interval_ms || self.pending.len() >= ENOUGH_RECORDS;
        if self.pending.is_empty() || !due {
            return Ok(false);
        }
        self.write(objects).await.map(|()| true)
    }

    /// Writes the records that wait now, as at a planned stop.
    pub async fn flush(&mut self, objects: &dyn ObjectStore) -> Result<(), StoreError> {
        self.take();
        if self.pending.is_empty() {
            return Ok(());
        }
        self.write(objects).await
    }

    fn take(&mut self) {
        self.pending.extend(self.tables.decisions.take_unsaved());
        let surplus = self
            .pending
            .len()
            .saturating_sub(dappleyard_tables::decisions::MAXIMUM_RECORDS);
        self.pending.drain(..surplus);
    }

    async fn write(&mut self, objects: &dyn ObjectStore) -> Result<(), StoreError> {
        let identity = &self.tables.identity;
        let name = keys::journal_object(identity.node.as_str(), identity.incarnation, self.next);
        self.last_ms = self.tables.clock.now().0;
        let written = objects
            .create(&name, Bytes::from(lines(&self.pending)))
            .await;
        if !matches!(
            written,
            Err(StoreError::Unavailable { .. } | StoreError::RateLimited { .. })
        ) {
            // After a lost answer the name may be taken: the records go under the next one again.
            self.next += 1;
        }
        written?;
        self.pending.clear();
        self.written.push_back(name);
        while self.written.len() > self.kept {
            if let Some(oldest) = self.written.pop_front() {
                objects.delete(&oldest).await?;
            }
        }
        Ok(())
    }
}

fn lines(records: &[Decision]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        if let Ok(mut line) = serde_json::to_vec(record) {
            bytes.append(&mut line);
            bytes.push(b'\n');
        }
    }
    bytes
}

/// Records in the journal objects, newest objects first, that `wanted` accepts. Also says whether
/// older objects were left unread.
pub async fn search(
    objects: &dyn ObjectStore,
    wanted: impl Fn(&Decision) -> bool,
) -> Result<(Vec<Decision>, bool), StoreError> {
    let mut names = names(objects).await?;
    // Names end with incarnation and number, which grow with time.
    names.sort_by(|left, right| file_name(right).cmp(file_name(left)));
    let partial = names.len() > MOST_OBJECTS;
    names.truncate(MOST_OBJECTS);
    let mut found = Vec::new();
    for name in names {
        let Some(object) = objects.read(&name, 0, LARGEST_OBJECT).await? else {
            continue;
        };
        let records = object.bytes.split(|byte| *byte == b'\n');
        found.extend(
            records
                .filter_map(|line| serde_json::from_slice::<Decision>(line).ok())
                .filter(&wanted),
        );
    }
    Ok((found, partial))
}

fn file_name(name: &str) -> &str {
    name.rsplit('/').next().unwrap_or(name)
}

async fn names(objects: &dyn ObjectStore) -> Result<Vec<String>, StoreError> {
    const MOST_PAGES: usize = 30;
    let mut names = Vec::new();
    let mut after = String::new();
    for _ in 0..MOST_PAGES {
        let page = objects.list(JOURNAL_PREFIX, &after, PAGE).await?;
        let full = page.len() == PAGE;
        names.extend(page.into_iter().map(|(name, _)| name));
        match names.last() {
            Some(last) if full => after.clone_from(last),
            _ => break,
        }
    }
    Ok(names)
}

//! Table copies with a log of recent changes, served to other nodes.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_clock::Instant;
use dappleyard_cluster::{Contact, TableSink};
use dappleyard_model::Row;
use parking_lot::Mutex;
use prost::Message;
use tokio::sync::watch;

use crate::access::Access;
use crate::messages::{RowMessage, TableChanges};

/// Changes kept per table; callers further behind get a snapshot.
const MAX_CHANGES: usize = 4_096;
/// Long-poll wait at the store of a node that serves others; short, to keep their copies fresh.
const SERVING_POLL_WAIT: Duration = Duration::from_millis(400);

type RowId = (String, String);

struct CachedRow {
    row: Row,
    content_hash: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowId, CachedRow>,
    changes: VecDeque<(u64, RowId)>,
    /// The log is complete after this revision.
    log_start: u64,
    /// Latest contact and when it was received; `None` until the table is loaded.
    contact: Option<(Contact, Instant)>,
    /// Cached encoding of all rows; cleared by a change.
    snapshot: Option<Bytes>,
}

/// Rows of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateRows {
    /// The whole table, encoded as the rows of a protobuf message.
    Snapshot(Bytes),
    /// Changed rows; a row without a value was removed.
    Changes(Vec<Row>),
}

/// Update of one table for a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableUpdates {
    /// Snapshot or changes.
    pub rows: UpdateRows,
    /// Revision, store time and age of the update.
    pub contact: Contact,
}

impl TableUpdates {
    /// Whether the update has changes or is a snapshot.
    pub fn has_news(&self) -> bool {
        match &self.rows {
            UpdateRows::Snapshot(_) => true,
            UpdateRows::Changes(rows) => !rows.is_empty(),
        }
    }

    /// Whether the update is a snapshot.
    pub fn is_snapshot(&self) -> bool {
        matches!(self.rows, UpdateRows::Snapshot(_))
    }

    /// Returns the rows, decoded if needed.
    pub fn rows(&self) -> Vec<Row> {
        match &self.rows {
            UpdateRows::Snapshot(encoded) => {
                let table = TableChanges::decode(encoded.clone()).unwrap_or_default();
                table.rows.into_iter().map(Row::from).collect()
            }
            UpdateRows::Changes(rows) => rows.clone(),
        }
    }
}

/// Copy of one table with its recent changes, shared by all threads.
#[derive(Default)]
pub struct TableHistory {
    state: Mutex<State>,
}

impl TableHistory {
    /// Applies a changed row; returns whether its content_hash changed.
    fn change(&self, row: &Row, content_hash: u64) -> bool {
        let mut state = self.state.lock();
        let row_id = (row.part.clone(), row.key.clone());
        if row.value.is_none() {
            let older = |cached: &CachedRow| cached.row.revision < row.revision;
            if !state.rows.get(&row_id).is_some_and(older) {
                return false;
            }
            state.rows.remove(&row_id);
            state.log_change(row.revision, row_id);
            return true;
        }
        if let Some(cached) = state.rows.get_mut(&row_id) {
            if cached.row.revision >= row.revision {
                return false;
            }
            if cached.content_hash == content_hash {
                // The cached snapshot stays valid: its older revision of the row has the same content_hash.
                cached.row = row.clone();
                return false;
            }
        }
        let row = row.clone();
        let revision = row.revision;
        state
            .rows
            .insert(row_id.clone(), CachedRow { row, content_hash });
        state.log_change(revision, row_id);
        true
    }

    /// Replaces the table as of a revision and logs the rows that differ.
    fn replace(&self, rows: Vec<(Row, u64)>, revision: u64) {
        let mut state = self.state.lock();
        let mut next = BTreeMap::new();
        for (row, content_hash) in rows {
            next.insert(
                (row.part.clone(), row.key.clone()),
                CachedRow { row, content_hash },
            );
        }
        let differs = |state: &State, row_id: &RowId, cached: &CachedRow| {
            let known = state.rows.get(row_id);
            known.is_none_or(|known| known.content_hash != cached.content_hash)
        };
        let mut changed: Vec<(u64, RowId)> = next
            .iter()
            .filter(|(row_id, cached)| differs(&state, row_id, cached))
            .map(|(row_id, cached)| (cached.row.revision, row_id.clone()))
            .collect();
        let gone = state
            .rows
            .keys()
            .filter(|row_id| !next.contains_key(*row_id));
        changed.extend(gone.map(|row_id| (revision, row_id.clone())));
        changed.sort();
        if state.contact.is_none() {
            // First load: no caller can hold an earlier revision.
            state.log_start = revision;
            changed.clear();
        }
        state.rows = next;
        state.snapshot = None;
        for (at, row_id) in changed {
            state.log_change(at, row_id);
        }
    }

    fn contact(&self, contact: &Contact) {
        let mut state = self.state.lock();
        let revision = state.contact.map_or(0, |(previous, _)| previous.revision);
        let contact = Contact {
            revision: contact.revision.max(revision),
            ..*contact
        };
        state.contact = Some((contact, Instant::now()));
    }

    /// Revision of the copy; `None` until the table is loaded.
    pub fn revision(&self) -> Option<u64> {
        let state = self.state.lock();
        state.contact.map(|(contact, _)| contact.revision)
    }

    /// Revision and age of the copy.
    fn revision_and_age(&self) -> Option<(u64, Duration)> {
        let state = self.state.lock();
        let (contact, at) = state.contact?;
        Some((contact.revision, contact.age + at.elapsed()))
    }

    /// Changes after a revision, or a snapshot if there is no revision or the log does not reach back to it; `None` until
    /// the table is loaded. A caller that is ahead of this node gets no rows.
    pub fn updates(&self, after: Option<u64>) -> Option<TableUpdates> {
        let mut state = self.state.lock();
        let (contact, at) = state.contact?;
        let since = at.elapsed();
        let contact = Contact {
            now_ms: contact.now_ms + since.as_millis() as u64,
            age: contact.age + since,
            ..contact
        };
        let after = after.filter(|after| *after >= state.log_start);
        let rows = match after {
            Some(after) => UpdateRows::Changes(state.changed_after(after)),
            None => UpdateRows::Snapshot(state.snapshot()),
        };
        Some(TableUpdates { rows, contact })
    }
}

impl State {
    fn log_change(&mut self, revision: u64, row_id: RowId) {
        self.snapshot = None;
        self.changes.push_back((revision, row_id));
        while self.changes.len() > MAX_CHANGES {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.log_start = self.log_start.max(dropped);
            }
        }
    }

    /// All rows, encoded; cached, since many nodes request the same snapshot when a fleet starts.
    fn snapshot(&mut self) -> Bytes {
        let rows = &self.rows;
        let encode = || {
            let rows = rows
                .values()
                .map(|cached| RowMessage::from(cached.row.clone()));
            let table = TableChanges {
                whole: true,
                rows: rows.collect(),
                ..TableChanges::default()
            };
            Bytes::from(table.encode_to_vec())
        };
        self.snapshot.get_or_insert_with(encode).clone()
    }

    /// Current state of each row that changed after a revision.
    fn changed_after(&self, after: u64) -> Vec<Row> {
        let mut seen: HashMap<&RowId, u64> = HashMap::new();
        // The log is in revision order; scan back from the newest change.
        let newest = self.changes.iter().rev();
        for (revision, row_id) in newest.take_while(|(revision, _)| *revision > after) {
            seen.entry(row_id).or_insert(*revision);
        }
        let mut rows: Vec<Row> = seen
            .into_iter()
            .map(|(row_id, revision)| match self.rows.get(row_id) {
                Some(cached) => cached.row.clone(),
                None => Row {
                    part: row_id.0.clone(),
                    key: row_id.1.clone(),
                    value: None,
                    revision,
                },
            })
            .collect();
        rows.sort_by(|a, b| (a.revision, &a.key).cmp(&(b.revision, &b.key)));
        rows
    }
}

/// Histories of all replicated tables.
#[derive(Clone)]
pub struct Histories {
    tables: Arc<HashMap<&'static str, Arc<TableHistory>>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Histories {
    /// Creates empty histories.
    pub fn new(tables: &[&'static str]) -> Self {
        let tables = tables.iter().map(|table| (*table, Arc::default()));
        Self {
            tables: Arc::new(tables.collect()),
            changed: Arc::new(watch::channel(0).0),
        }
    }

    pub fn get(&self, table: &str) -> Option<&Arc<TableHistory>> {
        self.tables.get(table)
    }

    /// Whether all tables are loaded.
    fn are_known(&self) -> bool {
        let mut tables = self.tables.values();
        tables.all(|table| table.revision().is_some())
    }

    /// Notifies of logged changes.
    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }
}

/// Sink that also records its table's history for other nodes.
pub struct Replica {
    sink: Rc<dyn TableSink>,
    history: Arc<TableHistory>,
    histories: Histories,
    access: Arc<Access>,
    /// Changes were recorded since the last notification.
    unnotified: Cell<bool>,
}

impl Replica {
    /// Wraps a sink; `None` if `histories` lacks its table.
    pub fn new(
        sink: Rc<dyn TableSink>,
        histories: &Histories,
        access: Arc<Access>,
    ) -> Option<Self> {
        Some(Self {
            history: histories.get(sink.table())?.clone(),
            histories: histories.clone(),
            sink,
            access,
            unnotified: Cell::new(false),
        })
    }

    /// Revision and age of the copy; `None` until the table is loaded.
    pub(crate) fn revision_and_age(&self) -> Option<(u64, Duration)> {
        self.history.revision_and_age()
    }
}

impl TableSink for Replica {
    fn table(&self) -> &'static str {
        self.sink.table()
    }

    fn is_partitioned(&self) -> bool {
        self.sink.is_partitioned()
    }

    fn min_poll_interval(&self) -> Duration {
        self.sink.min_poll_interval()
    }

    fn wait(&self) -> Duration {
        match self.access.serves_others() {
            true => SERVING_POLL_WAIT,
            false => self.sink.wait(),
        }
    }

    fn replace(&self, rows: Vec<Row>, revision: u64) {
        if self.held().is_some_and(|held| held > revision) {
            return;
        }
        let rows: Vec<Row> = rows.into_iter().map(|row| self.sink.digest(row)).collect();
        let with_essence = rows.iter().map(|row| (row.clone(), self.content_hash(row)));
        self.history.replace(with_essence.collect(), revision);
        self.sink.replace(rows, revision);
        self.unnotified.set(true);
    }

    fn change(&self, row: Row) {
        let row = self.sink.digest(row);
        let content_hash = self.content_hash(&row);
        if self.history.change(&row, content_hash) {
            self.sink.change(row);
            self.unnotified.set(true);
        }
    }

    /// Records a contact after adding the transit time to its age. No other code ages a contact on receipt.
    fn contact(&self, contact: &Contact) {
        let transit_time = self.access.clock().transit_time(contact.now_ms);
        let contact = &Contact {
            revision: contact.revision,
            now_ms: contact.now_ms + transit_time.as_millis() as u64,
            age: contact.age + transit_time,
        };
        self.history.contact(contact);
        self.sink.contact(contact);
        // One notification for all rows of an answer.
        if self.unnotified.take() {
            self.histories.notify();
        }
        if self.access.is_starting() && self.histories.are_known() {
            self.access.mark_started();
        }
    }

    fn held(&self) -> Option<u64> {
        self.history.revision()
    }

    fn digest(&self, row: Row) -> Row {
        self.sink.digest(row)
    }

    fn content_hash(&self, row: &Row) -> u64 {
        self.sink.content_hash(row)
    }
}

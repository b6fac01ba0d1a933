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
const KEPT_CHANGES: usize = 4_096;
/// Long-poll wait at the store of a node that serves others; short, to keep their copies fresh.
const READER_WAIT: Duration = Duration::from_millis(400);

type Place = (String, String);

struct Held {
    row: Row,
    essence: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Place, Held>,
    changes: VecDeque<(u64, Place)>,
    /// The log is complete after this revision.
    kept_after: u64,
    /// Latest contact and when it was received; `None` until the table is loaded.
    contact: Option<(Contact, Instant)>,
    /// Cached encoding of all rows; cleared by a change.
    whole: Option<Bytes>,
}

/// Rows of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToldRows {
    /// The whole table, encoded as a [`TableChanges`] message.
    Whole(Bytes),
    /// Changed rows; a row without a value was removed.
    Changes(Vec<Row>),
}

/// Update of one table for a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// Snapshot or changes.
    pub rows: ToldRows,
    /// Revision, store time and age of the update.
    pub contact: Contact,
}

impl Told {
    /// Whether the update has changes or is a snapshot.
    pub fn is_news(&self) -> bool {
        match &self.rows {
            ToldRows::Whole(_) => true,
            ToldRows::Changes(rows) => !rows.is_empty(),
        }
    }

    /// Whether the update is a snapshot.
    pub fn is_whole(&self) -> bool {
        matches!(self.rows, ToldRows::Whole(_))
    }

    /// Returns the rows, decoded if needed.
    pub fn rows(&self) -> Vec<Row> {
        match &self.rows {
            ToldRows::Whole(encoded) => {
                let table = TableChanges::decode(encoded.clone()).unwrap_or_default();
                table.rows.into_iter().map(Row::from).collect()
            }
            ToldRows::Changes(rows) => rows.clone(),
        }
    }
}

/// Copy of one table with its recent changes, shared by all threads.
#[derive(Default)]
pub struct TableHistory {
    state: Mutex<State>,
}

impl TableHistory {
    /// Applies a changed row; returns whether its essence changed.
    fn change(&self, row: &Row, essence: u64) -> bool {
        let mut state = self.state.lock();
        let place = (row.part.clone(), row.key.clone());
        if row.value.is_none() {
            let older = |held: &Held| held.row.revision < row.revision;
            if !state.rows.get(&place).is_some_and(older) {
                return false;
            }
            state.rows.remove(&place);
            state.note(row.revision, place);
            return true;
        }
        if let Some(held) = state.rows.get_mut(&place) {
            if held.row.revision >= row.revision {
                return false;
            }
            if held.essence == essence {
                // The cached snapshot stays valid: its older revision of the row has the same essence.
                held.row = row.clone();
                return false;
            }
        }
        let row = row.clone();
        let revision = row.revision;
        state.rows.insert(place.clone(), Held { row, essence });
        state.note(revision, place);
        true
    }

    /// Replaces the table as of a revision and logs the rows that differ.
    fn replace(&self, rows: Vec<(Row, u64)>, revision: u64) {
        let mut state = self.state.lock();
        let mut next = BTreeMap::new();
        for (row, essence) in rows {
            next.insert((row.part.clone(), row.key.clone()), Held { row, essence });
        }
        let differs = |state: &State, place: &Place, held: &Held| {
            let known = state.rows.get(place);
            known.is_none_or(|known| known.essence != held.essence)
        };
        let mut changed: Vec<(u64, Place)> = next
            .iter()
            .filter(|(place, held)| differs(&state, place, held))
            .map(|(place, held)| (held.row.revision, place.clone()))
            .collect();
        let gone = state.rows.keys().filter(|place| !next.contains_key(*place));
        changed.extend(gone.map(|place| (revision, place.clone())));
        changed.sort();
        if state.contact.is_none() {
            // First load: no caller can hold an earlier revision.
            state.kept_after = revision;
            changed.clear();
        }
        state.rows = next;
        state.whole = None;
        for (at, place) in changed {
            state.note(at, place);
        }
    }

    fn contact(&self, contact: &Contact) {
        let mut state = self.state.lock();
        let revision = state.contact.map_or(0, |(held, _)| held.revision);
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
    fn known(&self) -> Option<(u64, Duration)> {
        let state = self.state.lock();
        let (contact, at) = state.contact?;
        Some((contact.revision, contact.age + at.elapsed()))
    }

    /// Changes after a revision, or a snapshot if there is no revision or the log does not reach back to it; `None` until
    /// the table is loaded. A caller that is ahead of this node gets no rows.
    pub fn told(&self, after: Option<u64>) -> Option<Told> {
        let mut state = self.state.lock();
        let (contact, at) = state.contact?;
        let since = at.elapsed();
        let contact = Contact {
            now_ms: contact.now_ms + since.as_millis() as u64,
            age: contact.age + since,
            ..contact
        };
        let after = after.filter(|after| *after >= state.kept_after);
        let rows = match after {
            Some(after) => ToldRows::Changes(state.changed_after(after)),
            None => ToldRows::Whole(state.whole()),
        };
        Some(Told { rows, contact })
    }
}

impl State {
    fn note(&mut self, revision: u64, place: Place) {
        self.whole = None;
        self.changes.push_back((revision, place));
        while self.changes.len() > KEPT_CHANGES {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.kept_after = self.kept_after.max(dropped);
            }
        }
    }

    /// All rows, encoded; cached, since many nodes request the same snapshot when a fleet starts.
    fn whole(&mut self) -> Bytes {
        let rows = &self.rows;
        let encode = || {
            let rows = rows.values().map(|held| RowMessage::from(held.row.clone()));
            let table = TableChanges {
                whole: true,
                rows: rows.collect(),
                ..TableChanges::default()
            };
            Bytes::from(table.encode_to_vec())
        };
        self.whole.get_or_insert_with(encode).clone()
    }

    /// Current state of each row that changed after a revision.
    fn changed_after(&self, after: u64) -> Vec<Row> {
        let mut seen: HashMap<&Place, u64> = HashMap::new();
        // The log is in revision order; scan back from the newest change.
        let newest = self.changes.iter().rev();
        for (revision, place) in newest.take_while(|(revision, _)| *revision > after) {
            seen.entry(place).or_insert(*revision);
        }
        let mut rows: Vec<Row> = seen
            .into_iter()
            .map(|(place, revision)| match self.rows.get(place) {
                Some(held) => held.row.clone(),
                None => Row {
                    part: place.0.clone(),
                    key: place.1.clone(),
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
    untold: Cell<bool>,
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
            untold: Cell::new(false),
        })
    }

    /// Revision and age of the copy; `None` until the table is loaded.
    pub(crate) fn known(&self) -> Option<(u64, Duration)> {
        self.history.known()
    }
}

impl TableSink for Replica {
    fn table(&self) -> &'static str {
        self.sink.table()
    }

    fn is_partitioned(&self) -> bool {
        self.sink.is_partitioned()
    }

    fn pace(&self) -> Duration {
        self.sink.pace()
    }

    fn wait(&self) -> Duration {
        match self.access.serves_others() {
            true => READER_WAIT,
            false => self.sink.wait(),
        }
    }

    fn replace(&self, rows: Vec<Row>, revision: u64) {
        if self.held().is_some_and(|held| held > revision) {
            return;
        }
        let rows: Vec<Row> = rows.into_iter().map(|row| self.sink.digest(row)).collect();
        let judged = rows.iter().map(|row| (row.clone(), self.essence(row)));
        self.history.replace(judged.collect(), revision);
        self.sink.replace(rows, revision);
        self.untold.set(true);
    }

    fn change(&self, row: Row) {
        let row = self.sink.digest(row);
        let essence = self.essence(&row);
        if self.history.change(&row, essence) {
            self.sink.change(row);
            self.untold.set(true);
        }
    }

    /// Records a contact after adding the transit time to its age. No other code ages a contact on receipt.
    fn contact(&self, contact: &Contact) {
        let way = self.access.clock().time_on_way(contact.now_ms);
        let contact = &Contact {
            revision: contact.revision,
            now_ms: contact.now_ms + way.as_millis() as u64,
            age: contact.age + way,
        };
        self.history.contact(contact);
        self.sink.contact(contact);
        // One notification for all rows of an answer.
        if self.untold.take() {
            self.histories.notify();
        }
        if self.access.is_starting() && self.histories.are_known() {
            self.access.started();
        }
    }

    fn held(&self) -> Option<u64> {
        self.history.revision()
    }

    fn digest(&self, row: Row) -> Row {
        self.sink.digest(row)
    }

    fn essence(&self, row: &Row) -> u64 {
        self.sink.essence(row)
    }
}

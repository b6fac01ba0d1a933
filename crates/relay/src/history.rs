//! Copies of followed tables with their latest changes, for other nodes to take from.

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

/// Changes kept of one table; who is further behind takes the whole table.
const KEPT_CHANGES: usize = 4_096;
/// How long the store may hold a reader's call for changes: other nodes count on fresh knowledge.
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
    /// All changes after this revision are kept.
    kept_after: u64,
    /// What the store told last, and when that was taken; `None` before the whole table is known.
    contact: Option<(Contact, Instant)>,
    /// All rows, encoded, as long as none of them changes.
    whole: Option<Bytes>,
}

/// Rows that are told of one table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToldRows {
    /// The whole table, encoded as the rows of a message.
    Whole(Bytes),
    /// What has changed; a row without a value is gone.
    Changes(Vec<Row>),
}

/// What is told of one table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// The rows.
    pub rows: ToldRows,
    /// What the store said with them.
    pub contact: Contact,
}

impl Told {
    /// Whether any row is told.
    pub fn is_news(&self) -> bool {
        match &self.rows {
            ToldRows::Whole(_) => true,
            ToldRows::Changes(rows) => !rows.is_empty(),
        }
    }

    /// Whether the whole table is told.
    pub fn is_whole(&self) -> bool {
        matches!(self.rows, ToldRows::Whole(_))
    }

    /// The rows one by one.
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

/// One table as a node knows it, with its latest changes; shared by all threads.
#[derive(Default)]
pub struct TableHistory {
    state: Mutex<State>,
}

impl TableHistory {
    /// Takes a changed row; whether it matters.
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
                // The encoded table stays: an older revision of a row that is alike does no harm.
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

    /// Takes the whole table as of a revision; rows that have not changed are no change.
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
            // Nobody was told anything before.
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

    /// Revision up to which the whole table is known.
    pub fn revision(&self) -> Option<u64> {
        let state = self.state.lock();
        state.contact.map(|(contact, _)| contact.revision)
    }

    /// Revision up to which the whole table is known, and how old that knowledge is.
    fn known(&self) -> Option<(u64, Duration)> {
        let state = self.state.lock();
        let (contact, at) = state.contact?;
        Some((contact.revision, contact.age + at.elapsed()))
    }

    /// What changed after a revision, or the whole table; `None` before the table is known. A caller
    /// that knows more than this node is told nothing: it would refuse an older table anyway.
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

    /// All rows, encoded once for all that ask until one changes: of 10,000 servers that is 0.7 MB and some milliseconds
    /// of a processor, and a hundred nodes ask when a fleet starts.
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

    /// Each row that changed after a revision, once, as it is.
    fn changed_after(&self, after: u64) -> Vec<Row> {
        let mut seen: HashMap<&Place, u64> = HashMap::new();
        // Changes are kept in the order of their revisions: few of them are new to a caller.
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

/// Histories of all tables that are followed.
#[derive(Clone)]
pub struct Histories {
    tables: Arc<HashMap<&'static str, Arc<TableHistory>>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Histories {
    /// Empty histories of some tables.
    pub fn new(tables: &[&'static str]) -> Self {
        let tables = tables.iter().map(|table| (*table, Arc::default()));
        Self {
            tables: Arc::new(tables.collect()),
            changed: Arc::new(watch::channel(0).0),
        }
    }

    /// The history of a table.
    pub fn get(&self, table: &str) -> Option<&Arc<TableHistory>> {
        self.tables.get(table)
    }

    /// Whether all tables are known.
    fn are_known(&self) -> bool {
        let mut tables = self.tables.values();
        tables.all(|table| table.revision().is_some())
    }

    /// Tells of every change that matters.
    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }
}

/// A sink whose table other nodes may take from this one.
pub struct Replica {
    sink: Rc<dyn TableSink>,
    history: Arc<TableHistory>,
    histories: Histories,
    access: Arc<Access>,
    /// Something has changed that others were not told yet.
    untold: Cell<bool>,
}

impl Replica {
    /// A replica of the sink's table; `None` when the histories do not hold it.
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

    /// Revision up to which the whole table is held, and how old that is.
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

    /// The one place where knowledge gets its age: what its teller says, and its time on the way.
    fn contact(&self, contact: &Contact) {
        let way = self.access.clock().time_on_way(contact.now_ms);
        let contact = &Contact {
            revision: contact.revision,
            now_ms: contact.now_ms + way.as_millis() as u64,
            age: contact.age + way,
        };
        self.history.contact(contact);
        self.sink.contact(contact);
        // The rows of one answer are told together.
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

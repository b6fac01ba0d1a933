//! Table updates served to other nodes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{Contact, PeerTable, StoreHealth, TableSink};
use dappleyard_model::{EventLog, Row};
use dappleyard_relay::{Access, Histories, Replica};
use googletest::prelude::*;

const TABLE: &str = "things";

/// Sink whose rows are equal if the first byte of their values is.
#[derive(Default)]
struct Sink {
    changes: RefCell<Vec<String>>,
    replaced: Cell<u32>,
}

impl TableSink for Sink {
    fn table(&self) -> &'static str {
        TABLE
    }

    fn is_partitioned(&self) -> bool {
        false
    }

    fn replace(&self, _rows: Vec<Row>, _revision: u64) {
        self.replaced.set(self.replaced.get() + 1);
    }

    fn change(&self, row: Row) {
        self.changes.borrow_mut().push(row.key);
    }

    fn contact(&self, _contact: &Contact) {}

    fn content_hash(&self, row: &Row) -> u64 {
        row.value.as_ref().map_or(0, |value| u64::from(value[0]))
    }
}

fn row(key: &str, value: Option<&str>, revision: u64) -> Row {
    Row {
        part: String::new(),
        key: key.to_owned(),
        value: value.map(|value| Bytes::from(value.to_owned())),
        revision,
    }
}

fn contact(revision: u64) -> Contact {
    Contact {
        revision,
        now_ms: 1,
        age: Duration::ZERO,
    }
}

fn replica() -> (Rc<Sink>, Histories, Replica) {
    let log = Arc::new(EventLog::silent());
    let peers = Arc::new(PeerTable::new("node", "north", log.clone()));
    let health = Arc::new(StoreHealth::default());
    let access = Arc::new(Access::new("node", "north", health, peers, log));
    let histories = Histories::new(&[TABLE]);
    let sink = Rc::new(Sink::default());
    let replica = Replica::new(sink.clone(), &histories, access).expect("a replica");
    (sink, histories, replica)
}

fn keys(histories: &Histories, after: Option<u64>) -> (bool, Vec<String>) {
    let updates = histories.get(TABLE).expect("a history").updates(after);
    let updates = updates.expect("a known table");
    let keys = updates.rows().into_iter();
    (updates.is_snapshot(), keys.map(|row| row.key).collect())
}

#[gtest]
fn no_updates_before_load() {
    let (_, histories, replica) = replica();
    replica.change(row("a", Some("1"), 3));
    expect_that!(histories.get(TABLE).unwrap().updates(None), none());
    expect_that!(replica.held(), none());
}

#[gtest]
fn rows_with_equal_essence_are_not_sent() {
    let (sink, histories, replica) = replica();
    replica.replace(vec![row("a", Some("1x"), 2), row("b", Some("1x"), 3)], 5);
    replica.contact(&contact(5));
    replica.change(row("a", Some("1y"), 6));
    replica.change(row("b", Some("2y"), 7));
    replica.change(row("b", Some("9z"), 6));
    replica.contact(&contact(8));
    expect_that!(
        keys(&histories, Some(5)),
        eq(&(false, vec!["b".to_owned()]))
    );
    expect_that!(keys(&histories, Some(7)), eq(&(false, vec![])));
    expect_that!(*sink.changes.borrow(), elements_are![eq("b")]);
    // The snapshot is encoded after the change that had no effect, and holds its revision.
    let whole = histories.get(TABLE).unwrap().updates(None).unwrap();
    expect_that!(whole.rows()[0].revision, eq(6));
}

#[gtest]
fn removed_rows() {
    let (_, histories, replica) = replica();
    replica.replace(vec![row("a", Some("1"), 2)], 5);
    replica.contact(&contact(5));
    replica.change(row("a", None, 6));
    replica.contact(&contact(6));
    let updates = histories.get(TABLE).unwrap().updates(Some(5)).unwrap();
    expect_that!(updates.rows(), elements_are![eq(&row("a", None, 6))]);
}

#[gtest]
fn snapshot_for_caller_far_behind() {
    let (_, histories, replica) = replica();
    replica.replace(vec![row("a", Some("1"), 2)], 5);
    replica.contact(&contact(5));
    // Revision 4 precedes the change log.
    expect_that!(keys(&histories, Some(4)).0, eq(true));
    for revision in 6..6_000 {
        let value = format!("{}", revision % 2);
        replica.change(row("a", Some(&value), revision));
    }
    replica.contact(&contact(5_999));
    expect_that!(keys(&histories, Some(1_000)).0, eq(true));
    expect_that!(
        keys(&histories, Some(5_000)),
        eq(&(false, vec!["a".to_owned()]))
    );
}

#[gtest]
fn no_rows_for_caller_ahead() {
    let (_, histories, replica) = replica();
    replica.replace(vec![row("a", Some("1"), 2)], 5);
    replica.contact(&contact(5));
    // A caller that is ahead must not get a snapshot.
    expect_that!(keys(&histories, Some(9)), eq(&(false, vec![])));
    replica.change(row("a", Some("2"), 10));
    replica.contact(&contact(10));
    expect_that!(
        keys(&histories, Some(9)),
        eq(&(false, vec!["a".to_owned()]))
    );
}

#[gtest]
fn reload_sends_differences() {
    let (sink, histories, replica) = replica();
    replica.replace(vec![row("a", Some("1"), 2), row("b", Some("1"), 3)], 5);
    replica.contact(&contact(5));
    replica.replace(vec![row("a", Some("1"), 8), row("c", Some("1"), 7)], 9);
    replica.contact(&contact(9));
    let (whole, mut changed) = keys(&histories, Some(5));
    changed.sort();
    expect_that!(whole, eq(false));
    expect_that!(changed, elements_are![eq("b"), eq("c")]);
    // A snapshot of an older revision is ignored.
    replica.replace(vec![], 6);
    expect_that!(keys(&histories, None).1.len(), eq(2));
    expect_that!(sink.replaced.get(), eq(2));
}

//! A node that cannot reach the store works through a peer that can.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{Contact, Heartbeat, TableSink};
use dappleyard_emulator::{EmulatedRows, RowFault};
use dappleyard_model::{Committed, Row, RowKey, RowStore, StoreError, Transaction};
use dappleyard_relay::Path;
use googletest::prelude::*;
use support::{cut_off, wait_until};

const TABLE: &str = "things";

type TestNode = support::TestNode<Sink>;

#[derive(Default)]
struct Sink {
    rows: RefCell<BTreeMap<String, u64>>,
    newest: Cell<u64>,
    revision_decreased: Cell<bool>,
    max_age: Cell<Duration>,
}

impl TableSink for Sink {
    fn table(&self) -> &'static str {
        TABLE
    }

    fn is_partitioned(&self) -> bool {
        false
    }

    fn replace(&self, rows: Vec<Row>, _revision: u64) {
        let rows = rows.into_iter().map(|row| (row.key, row.revision));
        *self.rows.borrow_mut() = rows.collect();
    }

    fn change(&self, row: Row) {
        match row.value {
            Some(_) => self.rows.borrow_mut().insert(row.key, row.revision),
            None => self.rows.borrow_mut().remove(&row.key),
        };
    }

    fn contact(&self, contact: &Contact) {
        let decreased = contact.revision < self.newest.get();
        self.revision_decreased
            .set(self.revision_decreased.get() || decreased);
        self.newest.set(contact.revision);
        self.max_age.set(self.max_age.get().max(contact.age));
    }
}

fn start(name: &'static str, rows: &EmulatedRows) -> TestNode {
    TestNode::start(name, rows, Sink::default())
}

impl TestNode {
    async fn write(&self, key: &str) -> std::result::Result<Committed, StoreError> {
        let row = RowKey::new(TABLE, "", key);
        let transaction = Transaction::default()
            .expect(row.clone(), 0)
            .put(row, key.as_bytes().to_vec());
        self.store.transact(&transaction).await
    }

    fn holds(&self, key: &str) -> bool {
        self.sink.rows.borrow().contains_key(key)
    }
}

async fn pair() -> (EmulatedRows, TestNode, TestNode) {
    let rows = EmulatedRows::default();
    rows.write(TABLE, "", "first", "1");
    let (a, b) = (start("a", &rows), start("b", &rows));
    a.add_peer(&b);
    b.add_peer(&a);
    wait_until("both know the table", || {
        a.holds("first") && b.holds("first")
    })
    .await;
    (rows, a, b)
}

#[gtest]
#[actix_rt::test]
async fn calls_forwarded() {
    let (rows, a, _b) = pair().await;
    cut_off(&a).await;
    expect_that!(a.write("second").await, ok(anything()));
    expect_that!(rows.table(TABLE).len(), eq(2));
    // A conflict carries the current row.
    let again = a.write("second").await;
    let Err(StoreError::Conflict { rows }) = again else {
        panic!("{again:?}");
    };
    expect_that!(rows[0].revision, gt(0));
    let read = a.store.read(TABLE, "", "", "", 10).await.expect("rows");
    expect_that!(read.rows.len(), eq(2));
}

#[gtest]
#[actix_rt::test]
async fn lost_answers() {
    let (rows, a, _b) = pair().await;
    cut_off(&a).await;
    rows.script([Some(RowFault::LostAfter)]);
    let outcome = a.write("second").await;
    expect_that!(outcome, err(matches_pattern!(StoreError::Ambiguous { .. })));
    expect_that!(rows.table(TABLE).len(), eq(2));
}

#[gtest]
#[actix_rt::test]
async fn tables_copied() {
    let (rows, a, b) = pair().await;
    cut_off(&a).await;
    rows.write(TABLE, "", "second", "2");
    rows.remove(TABLE, "", "first");
    wait_until("the change arrives", || {
        a.holds("second") && !a.holds("first")
    })
    .await;
    // After the link is restored, changes still arrive and no revision goes back.
    a.cut.set(false);
    wait_until("the store answers", || a.access.path() == Path::Direct).await;
    rows.write(TABLE, "", "third", "3");
    wait_until("the change arrives", || {
        a.holds("third") && b.holds("third")
    })
    .await;
    expect_that!(a.sink.revision_decreased.get(), eq(false));
}

#[gtest]
#[actix_rt::test]
async fn store_unreachable_from_all_nodes() {
    let (_rows, a, b) = pair().await;
    a.cut.set(true);
    b.cut.set(true);
    wait_until("both nodes lose the store", || {
        a.access.health().is_unavailable() && b.access.health().is_unavailable()
    })
    .await;
    let outcome = a.write("second").await;
    expect_that!(
        outcome,
        err(matches_pattern!(StoreError::Unavailable { .. }))
    );
    b.cut.set(false);
    wait_until("the store answers b", || {
        !b.access.health().is_unavailable()
    })
    .await;
    wait_until("the other's calls pass", || !b.cut.get()).await;
    expect_that!(a.write("second").await, ok(anything()));
}

#[gtest]
#[actix_rt::test]
async fn malformed_calls() {
    let (_rows, _a, b) = pair().await;
    for call in ["", "GET / HTTP/1.1", "\u{1}\u{2}\u{3}"] {
        // Malformed calls get an encoded failure.
        let answer = b.service.answer(Bytes::from(call)).await;
        expect_that!(answer.is_empty(), eq(false));
    }
}

#[gtest]
#[actix_rt::test]
async fn startup_during_outage() {
    let (rows, a, _b) = pair().await;
    rows.set_down(true);
    wait_until("the store is lost", || a.access.health().is_unavailable()).await;
    // Peers cannot forward calls but can serve their copies.
    let late = start("late", &rows);
    let heartbeat = Heartbeat {
        name: "a".to_owned(),
        life: 1,
        ..Heartbeat::default()
    };
    wait_until("the table is known", || {
        late.peers.note_unlisted_sender(&heartbeat, a.address);
        late.holds("first")
    })
    .await;
    expect_that!(late.access.is_starting(), eq(false));
    rows.set_down(false);
    rows.write(TABLE, "", "second", "2");
    wait_until("the store is followed", || late.holds("second")).await;
    expect_that!(late.sink.revision_decreased.get(), eq(false));
}

#[gtest]
#[actix_rt::test]
async fn idle_tables() {
    let (_rows, a, _b) = pair().await;
    cut_off(&a).await;
    // The peer waits for a change of an idle table, so its copy ages; it is still accepted while the store is unreachable.
    let old = Duration::from_millis(1_200);
    wait_until("an old copy is accepted", || a.sink.max_age.get() > old).await;
    expect_that!(a.access.path(), eq(Path::ByPeer));
}

//! Startup: a node of a large fleet reads only the node table from the store.

mod support;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dappleyard_cluster::{Contact, MAX_FULL_MESH_NODES, NODES_TABLE, NodeRow, TableSink};
use dappleyard_emulator::EmulatedRows;
use dappleyard_model::Row;
use dappleyard_relay::Path;
use googletest::prelude::*;
use prost::Message;
use support::wait_until;

const TABLE: &str = "things";
/// More than one page.
const ROWS: usize = 1_200;

type TestNode = support::TestNode<Keys>;

/// Sink that records row keys.
#[derive(Default)]
struct Keys(RefCell<BTreeSet<String>>);

impl TableSink for Keys {
    fn table(&self) -> &'static str {
        TABLE
    }

    fn is_partitioned(&self) -> bool {
        false
    }

    fn replace(&self, rows: Vec<Row>, _revision: u64) {
        *self.0.borrow_mut() = rows.into_iter().map(|row| row.key).collect();
    }

    fn change(&self, row: Row) {
        self.0.borrow_mut().insert(row.key);
    }

    fn contact(&self, _contact: &Contact) {}
}

fn fill(rows: &EmulatedRows) {
    for number in 0..ROWS {
        rows.write(TABLE, "", &format!("thing-{number:05}"), Bytes::from("x"));
    }
}

/// Writes the node rows of a zone: one strong node, which becomes the reader, and many weak ones.
fn register(rows: &EmulatedRows, reader: &TestNode) {
    let row = |peer: String, strong: bool| NodeRow {
        life: 1,
        front: peer.clone(),
        zone: "north".to_owned(),
        peer,
        strong,
        ..NodeRow::default()
    };
    let own = row(reader.address.to_string(), true);
    rows.write(NODES_TABLE, "north", reader.name, own.encode_to_vec());
    for number in 0..MAX_FULL_MESH_NODES {
        let other = row(format!("127.0.0.1:{}", 1 + number), false);
        rows.write(
            NODES_TABLE,
            "north",
            &format!("weak-{number}"),
            other.encode_to_vec(),
        );
    }
}

async fn reader(rows: &EmulatedRows) -> TestNode {
    let reader = TestNode::start("reader", rows, Keys::default());
    register(rows, &reader);
    let read = node_rows(rows).await;
    read.into_iter().for_each(|row| reader.peers.change(row));
    reader
}

async fn node_rows(rows: &EmulatedRows) -> Vec<Row> {
    use dappleyard_model::RowStore;
    let read = rows.read(NODES_TABLE, "north", "", "", 500).await;
    let rows = read.expect("the nodes' rows").rows.into_iter();
    let part = "north".to_owned();
    rows.map(|row| Row {
        part: part.clone(),
        ..row
    })
    .collect()
}

#[actix_rt::test]
async fn tables_copied_from_reader() {
    let rows = EmulatedRows::default();
    fill(&rows);
    let reader = reader(&rows).await;
    wait_until("the reader knows the table", || {
        reader.sink.0.borrow().len() == ROWS
    })
    .await;
    let node = TestNode::start_undecided("weak-3", &rows, Keys::default());
    wait_until("the node knows the table", || {
        node.sink.0.borrow().len() == ROWS
    })
    .await;
    assert_that!(node.access.path(), eq(Path::ByPeer));
    // Only the node table was read from the store.
    assert_that!(*node.read_tables.borrow(), elements_are![eq(&NODES_TABLE)]);
}

#[actix_rt::test]
async fn reader_still_loading() {
    let rows = EmulatedRows::default();
    fill(&rows);
    // The reader is polled before it has loaded the table, as when a whole fleet starts.
    let reader = reader(&rows).await;
    reader.cut.set(true);
    let node = TestNode::start_undecided("weak-3", &rows, Keys::default());
    tokio::time::sleep(Duration::from_millis(250)).await;
    reader.cut.set(false);
    wait_until("the node knows the table", || {
        node.sink.0.borrow().len() == ROWS
    })
    .await;
    assert_that!(*node.read_tables.borrow(), elements_are![eq(&NODES_TABLE)]);
}

#[actix_rt::test]
async fn startup_without_store() {
    let rows = EmulatedRows::default();
    fill(&rows);
    let other = TestNode::start("other", &rows, Keys::default());
    wait_until("the other knows the table", || {
        other.sink.0.borrow().len() == ROWS
    })
    .await;
    let node = TestNode::start_cut_off("alone", &rows, Keys::default());
    node.add_peer(&other);
    let began = Instant::now();
    wait_until("the node knows the table", || {
        node.sink.0.borrow().len() == ROWS
    })
    .await;
    // With the store unreachable, the node must copy from its peer without further attempts at the store.
    assert_that!(began.elapsed(), lt(Duration::from_millis(1_500)));
}

#[actix_rt::test]
async fn small_fleet() {
    let rows = EmulatedRows::default();
    fill(&rows);
    let node = TestNode::start_undecided("alone", &rows, Keys::default());
    wait_until("the node knows the table", || {
        node.sink.0.borrow().len() == ROWS
    })
    .await;
    assert_that!(node.access.path(), eq(Path::Direct));
}

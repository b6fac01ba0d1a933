//! Evacuation orders reach a node from the store, through a peer, and from copies.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{
    ConfigurationSink, Contact, Heartbeat, PeerTable, StoreHealth, TableSink, View,
};
use dappleyard_emulator::EmulatedRows;
use dappleyard_model::{EventLog, Row};
use dappleyard_platform::PlatformDialect;
use dappleyard_relay::{Access, Histories, Path, Replica};
use googletest::prelude::*;
use support::{cut_off, wait_until};

const TABLE: &str = "op";

type TestNode = support::TestNode<ConfigurationSink>;

fn sink(name: &str) -> ConfigurationSink {
    ConfigurationSink {
        view: Arc::new(View::new(name, "north", Arc::new(EventLog::silent()))),
        dialect: Arc::new(PlatformDialect),
    }
}

fn start(name: &'static str, rows: &EmulatedRows) -> TestNode {
    TestNode::start(name, rows, sink(name))
}

fn evacuated_zones(view: &View) -> Vec<String> {
    let held = view.evacuations().into_iter();
    let zones: BTreeSet<String> = held.map(|held| held.zone.to_string()).collect();
    zones.into_iter().collect()
}

impl TestNode {
    fn knows(&self, zones: &[&str]) -> bool {
        evacuated_zones(&self.sink.view) == zones
    }
}

fn issue_order(rows: &EmulatedRows, zone: &str) {
    rows.write(TABLE, "", &format!("evacuate/{zone}"), "{}");
}

fn withdraw_order(rows: &EmulatedRows, zone: &str) {
    rows.remove(TABLE, "", &format!("evacuate/{zone}"));
}

async fn pair() -> (EmulatedRows, TestNode, TestNode) {
    let rows = EmulatedRows::default();
    issue_order(&rows, "first");
    let (a, b) = (start("a", &rows), start("b", &rows));
    a.add_peer(&b);
    b.add_peer(&a);
    wait_until("both know", || a.knows(&["first"]) && b.knows(&["first"])).await;
    (rows, a, b)
}

#[gtest]
#[actix_rt::test]
async fn orders_from_store() {
    let (rows, a, b) = pair().await;
    expect_that!(a.access.path(), eq(Path::Direct));
    issue_order(&rows, "second");
    withdraw_order(&rows, "first");
    wait_until("both know", || a.knows(&["second"]) && b.knows(&["second"])).await;
}

#[gtest]
#[actix_rt::test]
async fn orders_through_peer() {
    let (rows, a, _b) = pair().await;
    cut_off(&a).await;
    issue_order(&rows, "second");
    wait_until("the order arrives", || a.knows(&["first", "second"])).await;
    withdraw_order(&rows, "first");
    wait_until("the withdrawal arrives", || a.knows(&["second"])).await;
    expect_that!(a.sink.view.restored_at("first"), some(anything()));
    // The age of the copy is passed on with it.
    expect_that!(a.sink.view.configuration_age(), some(anything()));
    expect_that!(a.access.path(), eq(Path::ByPeer));
    a.cut.set(false);
    wait_until("the store answers", || a.access.path() == Path::Direct).await;
    withdraw_order(&rows, "second");
    wait_until("the withdrawal arrives", || a.knows(&[])).await;
}

#[gtest]
#[actix_rt::test]
async fn compacted_history() {
    let (rows, a, b) = pair().await;
    cut_off(&a).await;
    b.cut.set(true);
    wait_until("both nodes lose the store", || {
        b.access.health().is_unavailable()
    })
    .await;
    withdraw_order(&rows, "first");
    issue_order(&rows, "second");
    rows.compact_history();
    // The last known orders stay in force.
    expect_that!(a.knows(&["first"]), eq(true));
    b.cut.set(false);
    wait_until("the order arrives", || a.knows(&["second"])).await;
    expect_that!(b.knows(&["second"]), eq(true));
}

#[gtest]
#[actix_rt::test]
async fn startup_during_outage() {
    let (rows, a, _b) = pair().await;
    withdraw_order(&rows, "first");
    issue_order(&rows, "second");
    wait_until("it knows", || a.knows(&["second"])).await;
    rows.set_down(true);
    wait_until("the store is lost", || a.access.health().is_unavailable()).await;
    let late = start("late", &rows);
    let heartbeat = Heartbeat {
        name: "a".to_owned(),
        life: 1,
        ..Heartbeat::default()
    };
    wait_until("it copies the table", || {
        late.peers.note_unlisted_sender(&heartbeat, a.address);
        late.knows(&["second"])
    })
    .await;
    rows.set_down(false);
    withdraw_order(&rows, "second");
    wait_until("the store is followed", || late.knows(&[])).await;
}

fn replica(name: &str) -> (Arc<View>, Histories, Replica) {
    let log = Arc::new(EventLog::silent());
    let peers = Arc::new(PeerTable::new(name, "north", log.clone()));
    let health = Arc::new(StoreHealth::default());
    let access = Arc::new(Access::new(name, "north", health, peers, log));
    let histories = Histories::new(&[TABLE]);
    let sink = sink(name);
    let view = sink.view.clone();
    let replica = Replica::new(std::rc::Rc::new(sink), &histories, access);
    (view, histories, replica.expect("a replica"))
}

fn order(zone: &str, given: bool, revision: u64) -> Row {
    Row {
        part: String::new(),
        key: format!("evacuate/{zone}"),
        value: given.then(|| Bytes::from("{}")),
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

#[gtest]
fn copies_keep_orders() {
    let (_, histories, replica) = replica("a");
    replica.replace(vec![order("north", true, 3), order("south", true, 4)], 5);
    replica.contact(&contact(5));
    replica.change(order("south", false, 6));
    // Rewritten with the same value: still a new order.
    replica.change(order("north", true, 7));
    replica.contact(&contact(7));
    let history = histories.get(TABLE).expect("a history");
    let updates = history.updates(Some(5)).expect("changes");
    let expected = [order("south", false, 6), order("north", true, 7)];
    expect_that!(updates.rows(), eq(&expected.to_vec()));
    let whole = history.updates(None).expect("the table");
    expect_that!(whole.rows(), eq(&vec![order("north", true, 7)]));
}

#[gtest]
fn stale_copies_are_ignored() {
    let (view, _, replica) = replica("a");
    replica.replace(vec![order("north", true, 3)], 5);
    replica.contact(&contact(5));
    replica.change(order("north", false, 8));
    replica.contact(&contact(8));
    // An older snapshot and an older row.
    replica.replace(vec![order("north", true, 3)], 6);
    replica.change(order("north", true, 7));
    expect_that!(evacuated_zones(&view), is_empty());
}

//! Cost per node, in messages and bytes, of a fleet of 2,000 nodes with 20,000 servers.

use std::sync::Arc;

use bytes::Bytes;
use dappleyard_cluster::{
    Heartbeat, NodeRow, PeerTable, ServerSelector, ServersSink, TableSink, View, node_key,
};
use dappleyard_model::{Dialect, EventLog, Row, ServerRecord};
use dappleyard_platform::PlatformDialect;
use googletest::prelude::*;
use prost::Message;

const NODES: usize = 2_000;
const SERVERS: usize = 20_000;
const ZONES: [&str; 5] = ["north", "south", "west", "east", "centre"];
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Maximum bytes per server in the data sent to a starting node.
const SERVER_BYTES: usize = 96;

fn node_row(number: usize, life: u64) -> Row {
    let zone = ZONES[number % ZONES.len()];
    let name = format!("front-{zone}-{number}");
    let key = node_key(zone, &name);
    let address = format!("10.{}.{}.{}", number % 5, number / 250, number % 250);
    let row = NodeRow {
        life,
        front: format!("{address}:8161"),
        zone: zone.to_owned(),
        peer: format!("{address}:7720"),
        strong: number % 25 < 5,
        ..NodeRow::default()
    };
    Row {
        part: key.part,
        key: key.key,
        value: Some(Bytes::from(row.encode_to_vec())),
        revision: 1 + number as u64,
    }
}

fn peers() -> PeerTable {
    let peers = PeerTable::new("front-north-0", "north", Arc::new(EventLog::silent()));
    let rows = (0..NODES).map(|number| node_row(number, 1));
    peers.replace(rows.collect(), 1);
    peers
}

fn send_heartbeat(peers: &PeerTable, number: usize, sequence: u64) {
    peers.apply_heartbeat(&Heartbeat {
        name: node_row(number, 1).key,
        life: 1,
        ready: true,
        sequence,
        ..Heartbeat::default()
    });
}

#[gtest]
fn roster_is_cached() {
    let peers = peers();
    let first = peers.roster();
    expect_that!(first.peers.len(), eq(NODES - 1));
    expect_that!(first.delegates("south").len(), eq(2));
    // Heartbeats of live nodes and delegate lookups reuse the cached roster.
    (1..NODES).for_each(|number| send_heartbeat(&peers, number, 1));
    let heard = peers.roster();
    (1..NODES).for_each(|number| send_heartbeat(&peers, number, 2));
    peers.is_delegate();
    expect_that!(Arc::ptr_eq(&heard, &peers.roster()), eq(true));
    // The removal of a node builds a new one.
    let gone = node_row(7, 1);
    peers.change(Row {
        value: None,
        revision: 1_000_000,
        ..gone.clone()
    });
    expect_that!(peers.roster().peer(&gone.key), none());
}

#[gtest]
fn liveness_records_fit() {
    let peers = peers();
    (1..NODES).for_each(|number| send_heartbeat(&peers, number, u64::from(u32::MAX)));
    let messages = peers.liveness_records(None);
    let record_count: usize = messages.iter().map(|records| records.nodes.len()).sum();
    expect_that!(record_count, eq(NODES - 1));
    for records in messages {
        // Half of a datagram is left for the other fields of the message.
        expect_that!(records.encoded_len(), le(MAX_DATAGRAM_BYTES / 2));
    }
}

fn server(number: usize) -> ServerRecord {
    let instance = format!("i-{:010x}", number * 7_919);
    ServerRecord {
        id: ServerRecord::start_id(&instance, Some(1_772_035_979_782)),
        instance,
        service: "llm".to_owned(),
        address: ([10, 1, 0, 1], 8_000).into(),
        zone: ZONES[number % ZONES.len()].to_owned(),
        version: "v1".parse().ok(),
        slots: 8,
        draining: false,
        cold_left_ms: 0,
    }
}

#[gtest]
fn used_servers() {
    let all: Vec<Arc<ServerRecord>> = (0..SERVERS)
        .map(|number| Arc::new(server(number)))
        .collect();
    let set = ServerSelector::new("front-north-0", "north").servers(all.clone());
    expect_that!(
        (set.used.len(), set.affinity_servers.len(), set.all.len()),
        eq((48, SERVERS / 5, SERVERS))
    );
    expect_that!(set.all.is_sorted_by(|a, b| a.id <= b.id), eq(true));
    expect_that!(
        set.affinity_servers.is_sorted_by(|a, b| a.id <= b.id),
        eq(true)
    );
    // Removing an unused server does not change the used ones.
    let unused = set.all.iter().find(|server| !set.used.contains(server));
    let unused = unused.expect("most are not used");
    let left = all.into_iter().filter(|server| server.id != unused.id);
    let after = ServerSelector::new("front-north-0", "north").servers(left.collect());
    expect_that!(after.used, eq(&set.used));
}

fn entry(number: usize) -> Row {
    let server = server(number);
    let text = format!(
        r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"stage":"prefill_decode","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":4,"born":1772035979782}}"#,
        server.service, server.address, server.zone
    );
    Row {
        part: String::new(),
        key: server.instance,
        value: Some(Bytes::from(text)),
        revision: 1 + number as u64,
    }
}

#[gtest]
fn server_digests() {
    let dialect: Arc<dyn Dialect> = Arc::new(PlatformDialect);
    let view = Arc::new(View::new(
        "front-north-0",
        "north",
        Arc::new(EventLog::silent()),
    ));
    let sink = ServersSink {
        view: view.clone(),
        dialect,
    };
    let server_digests: Vec<Row> = (0..SERVERS)
        .map(|number| sink.digest(entry(number)))
        .collect();
    let bytes: usize = server_digests
        .iter()
        .map(|row| row.value.as_ref().map_or(0, Bytes::len) + row.key.len())
        .sum();
    expect_that!(bytes / SERVERS, le(SERVER_BYTES));
    // A digest is idempotent and keeps the relevant fields of the entry.
    expect_that!(
        sink.digest(server_digests[0].clone()),
        eq(&server_digests[0])
    );
    sink.replace(server_digests, SERVERS as u64);
    let known = view.servers("llm");
    expect_that!(known.all.len(), eq(SERVERS));
    let expected = server(11);
    let held = view.server(&expected.id);
    expect_that!(held.as_deref(), some(eq(&expected)));
}

#[gtest]
fn digest_of_an_invalid_row() {
    let dialect: Arc<dyn Dialect> = Arc::new(PlatformDialect);
    let view = Arc::new(View::new(
        "front-north-0",
        "north",
        Arc::new(EventLog::silent()),
    ));
    let sink = ServersSink {
        view: view.clone(),
        dialect,
    };
    sink.change(sink.digest(entry(1)));
    let unreadable = Row {
        value: Some(Bytes::from_static(&[0xff, 0])),
        revision: 50,
        ..entry(1)
    };
    sink.change(sink.digest(unreadable));
    expect_that!(view.servers("llm").all.len(), eq(0));
}

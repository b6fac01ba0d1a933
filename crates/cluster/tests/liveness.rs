//! Liveness records relayed between nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{
    Heartbeat, LivenessRecord, LivenessRecords, NodeRow, PeerStatus, PeerTable, TableSink,
};
use dappleyard_model::{EventLog, Row};
use googletest::prelude::*;
use prost::Message;

/// Size of a large fleet, in which not every node hears every other.
const NODES: usize = 40;
/// Latency of a message between two nodes, queues included.
const LATENCY: Duration = Duration::from_millis(20);

fn table(own: &str) -> PeerTable {
    let table = PeerTable::new(own, "north", Arc::new(EventLog::silent()));
    for number in 0..NODES {
        let row = NodeRow {
            life: 1,
            front: format!("10.0.0.{number}:1"),
            zone: "north".to_owned(),
            peer: format!("10.0.0.{number}:2"),
            ..NodeRow::default()
        };
        table.change(Row {
            part: String::new(),
            key: format!("node-{number}"),
            value: Some(Bytes::from(row.encode_to_vec())),
            revision: 1,
        });
    }
    table
}

fn send_heartbeat(table: &PeerTable, name: &str, sequence: u64) {
    table.apply_heartbeat(&Heartbeat {
        name: name.to_owned(),
        life: 1,
        ready: true,
        sequence,
        ..Heartbeat::default()
    });
}

#[tokio::test(start_paused = true)]
async fn relayed_records_do_not_keep_a_node_alive() {
    // Three nodes relay the liveness of a fourth, lost one. The relaying must not keep it alive.
    let tables = [table("node-1"), table("node-2"), table("node-3")];
    send_heartbeat(&tables[0], "node-0", 7);
    let mut alive_ms = 0;
    for round in 0..1_000 {
        let sender = &tables[round % tables.len()];
        let receiver = &tables[(round + 1) % tables.len()];
        let records = sender.liveness_records(None);
        tokio::time::sleep(LATENCY).await;
        records
            .iter()
            .for_each(|records| receiver.merge_liveness_records(records));
        if tables
            .iter()
            .any(|table| table.status("node-0", 1) == PeerStatus::Ready)
        {
            alive_ms = (round + 1) * LATENCY.as_millis() as usize;
        }
    }
    // The timeout, and the latency to each of the others once.
    assert_that!(alive_ms, le(2_500 + 3 * LATENCY.as_millis() as usize));
    for table in &tables {
        assert_that!(table.status("node-0", 1), eq(PeerStatus::Down));
        let records = table.liveness_records(None);
        assert_that!(records.is_empty(), eq(true));
    }
}

#[tokio::test(start_paused = true)]
async fn newer_records_keep_a_node_alive() {
    let (near, far) = (table("node-1"), table("node-2"));
    for sequence in 1..40 {
        send_heartbeat(&near, "node-0", sequence);
        let records = near.liveness_records(None);
        records
            .iter()
            .for_each(|records| far.merge_liveness_records(records));
        tokio::time::sleep(Duration::from_millis(450)).await;
        assert_that!(far.status("node-0", 1), eq(PeerStatus::Ready));
    }
}

#[tokio::test(start_paused = true)]
async fn records_of_one_zone() {
    let table = table("node-1");
    send_heartbeat(&table, "node-0", 1);
    let nodes = |zone| -> usize {
        let records = table.liveness_records(Some(zone));
        records.iter().map(|records| records.nodes.len()).sum()
    };
    assert_that!(nodes("north"), eq(1));
    assert_that!(nodes("south"), eq(0));
}

#[test]
fn records_fit_into_a_datagram() {
    // Records of a large fleet fit into one datagram of 16 KB together with its loads.
    let records: LivenessRecords = (0..390)
        .map(|number| LivenessRecord {
            node: u32::MAX - number,
            sequence: 1_000_000,
            age_ms: 2_400,
        })
        .collect();
    assert_that!(records.encoded_len(), lt(4_000));
    assert_that!(records.iter().count(), eq(390));
    // Lists of different lengths, as a faulty sender might send, are read up to the shortest.
    let broken = LivenessRecords {
        nodes: vec![1, 2],
        sequences: vec![1],
        ages_ms: vec![1, 2],
    };
    assert_that!(broken.iter().count(), eq(1));
}

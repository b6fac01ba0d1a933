//! Claims and item placement in a deployment with several regions.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{
    Heartbeat, LoadSummary, NodeRow, PeerStatus, PeerTable, TableSink, Worker, ZoneDistances,
};
use dappleyard_jobs::{
    ClaimContext, JobRow, ServerCapacity, may_claim, may_claim_remote, prefer_local_region,
    preferred_worker,
};
use dappleyard_model::{EventLog, RegionName, Row, Topology, ZoneName};
use googletest::prelude::*;
use prost::Message;

const REGIONS: [&str; 3] = ["a", "b", "c"];
/// Large enough that not every node exchanges heartbeats with every other one.
const NODES: usize = 30;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

fn zone(number: usize) -> String {
    format!("{}1", REGIONS[number % 3])
}

fn zone_distances(zone: &str) -> ZoneDistances {
    let zones = REGIONS.iter();
    let places: Topology = zones
        .flat_map(|region| {
            let zones = [format!("{region}1"), format!("{region}2")];
            zones.map(|zone| (ZoneName::from(zone.as_str()), RegionName::from(*region)))
        })
        .collect();
    ZoneDistances::new(zone, &places)
}

fn name(number: usize) -> String {
    format!("node-{number}")
}

/// Peer table of one node that knows the rows of all nodes.
fn table(own: usize) -> PeerTable {
    let table = PeerTable::new(&name(own), &zone(own), Arc::new(EventLog::silent()));
    for number in 0..NODES {
        let row = NodeRow {
            life: 1,
            zone: zone(number),
            peer: format!("10.0.0.{number}:2"),
            ..NodeRow::default()
        };
        table.change(Row {
            part: String::new(),
            key: name(number),
            value: Some(Bytes::from(row.encode_to_vec())),
            revision: 1,
        });
    }
    table
}

/// Advances time while the tables receive heartbeats of the nodes for which `is_heard` holds; those for which
/// `isolated` holds report that they have lost the store.
async fn deliver_heartbeats(
    tables: &[&PeerTable],
    beats: std::ops::Range<u64>,
    is_heard: impl Fn(usize) -> bool,
    isolated: impl Fn(usize) -> bool,
) {
    for beat in beats {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        for number in (0..NODES).filter(|number| is_heard(*number)) {
            let store_age_ms = match isolated(number) {
                true => (beat * HEARTBEAT_INTERVAL.as_millis() as u64) as u32,
                false => 50,
            };
            let heartbeat = Heartbeat {
                name: name(number),
                life: 1,
                ready: true,
                store_age_ms,
                sequence: beat,
                ..Heartbeat::default()
            };
            for table in tables {
                table.apply_heartbeat(&heartbeat);
            }
        }
    }
}

/// Preferred workers, as seen by one node, for jobs of region "b".
fn preferred_workers(table: &PeerTable, own: usize) -> Vec<Worker> {
    let (workers, zone_distances) = (table.workers(true), zone_distances(&zone(own)));
    let choice = |job: usize| {
        let chosen = preferred_worker(&format!("job-{job}"), &workers, |zone| {
            zone_distances.is_in(zone, "b")
        });
        chosen.expect("a worker").clone()
    };
    (0..20).map(choice).collect()
}

/// Whether all nodes are in region "b" (`in_region` is true) or none is.
fn all_in_region_b(chosen: &[Worker], in_region: bool) -> bool {
    chosen
        .iter()
        .all(|worker| (worker.zone == "b1") == in_region)
}

fn context(owner: PeerStatus) -> ClaimContext {
    ClaimContext {
        owner: Some(owner),
        suspected_for: Duration::from_secs(1),
        stable_for: Duration::from_secs(10),
        store_reachable: true,
        since_lost: None,
    }
}

#[tokio::test(start_paused = true)]
async fn prefers_workers_of_home_region() {
    let tables = [0, 1, 2].map(table);
    // One node of region "b" is down.
    deliver_heartbeats(&tables.each_ref(), 1..30, |number| number != 4, |_| false).await;
    for (own, table) in tables.iter().enumerate() {
        assert_that!(table.status(&name(4), 1), eq(PeerStatus::Down));
        let chosen = preferred_workers(table, own);
        assert_that!(all_in_region_b(&chosen, true), eq(true));
        assert_that!(chosen, eq(&preferred_workers(&tables[0], 0)));
    }
}

#[tokio::test(start_paused = true)]
async fn other_regions_replace_unreachable_region() {
    let of_region = |number: usize| number % 3 == 1;
    // Region "b" is partitioned from the other nodes, from the store, or from both; with the status that its nodes get.
    let partitions: [(bool, bool, PeerStatus); 3] = [
        (true, false, PeerStatus::Down),
        (false, true, PeerStatus::Isolated),
        (true, true, PeerStatus::Down),
    ];
    for (nodes, store, expected) in partitions {
        let (one, other) = (table(0), table(2));
        let is_heard = |number| !(nodes && of_region(number));
        deliver_heartbeats(&[&one, &other], 1..30, is_heard, |number| {
            store && of_region(number)
        })
        .await;
        for peers in [&one, &other] {
            assert_that!(peers.status(&name(1), 1), eq(expected));
        }
        assert_that!(may_claim(context(expected)), eq(true));
        let chosen = preferred_workers(&one, 0);
        // The remaining nodes agree on the replacements.
        assert_that!(chosen, eq(&preferred_workers(&other, 2)));
        assert_that!(all_in_region_b(&chosen, false), eq(true));
        // Once the region is reachable again, it is preferred again.
        deliver_heartbeats(&[&one], 30..34, |_| true, |_| false).await;
        assert_that!(all_in_region_b(&preferred_workers(&one, 0), true), eq(true));
    }
}

#[tokio::test(start_paused = true)]
async fn no_claims_without_store() {
    let table = table(1);
    deliver_heartbeats(&[&table], 1..30, |number| number % 3 == 1, |_| true).await;
    let without_store = ClaimContext {
        store_reachable: false,
        ..context(PeerStatus::Down)
    };
    assert_that!(table.status(&name(0), 1), eq(PeerStatus::Down));
    assert_that!(may_claim(without_store), eq(false));
}

#[gtest]
fn rows_without_region_keep_encoding() {
    let row = JobRow {
        route: "r".to_owned(),
        ..JobRow::default()
    };
    let before = row.encode_to_vec();
    expect_that!(before, eq(&[10, 1, b'r']));
    let read = JobRow::decode(Bytes::from(before)).expect("a row");
    expect_that!(read.region, none());
}

fn server(id: &'static str, zone: &'static str, load: LoadSummary) -> ServerCapacity<'static> {
    ServerCapacity {
        id,
        zone,
        slots: 8,
        load,
    }
}

fn online(online: u32) -> LoadSummary {
    LoadSummary {
        online,
        ..LoadSummary::default()
    }
}

/// Servers that a node in zone "a1" considers: one of its own region with the given load, and an idle one of another.
fn server_ids_in_reach(near: LoadSummary) -> Vec<&'static str> {
    let servers = vec![server("near", "a2", near), server("far", "b1", online(0))];
    let server_ids_in_reach = prefer_local_region(servers, &zone_distances("a1"));
    server_ids_in_reach
        .into_iter()
        .map(|server| server.id)
        .collect()
}

#[gtest]
fn local_region_is_preferred_while_it_has_capacity() {
    expect_that!(server_ids_in_reach(online(6)), eq(&["near"]));
    expect_that!(server_ids_in_reach(online(7)), eq(&["near", "far"]));
    let unresponsive = LoadSummary {
        suspect: true,
        ..LoadSummary::default()
    };
    expect_that!(server_ids_in_reach(unresponsive), eq(&["near", "far"]));
}

#[gtest]
fn all_servers_in_reach_without_regions() {
    let servers = vec![
        server("near", "a2", online(6)),
        server("far", "b1", online(0)),
    ];
    let server_ids_in_reach = prefer_local_region(servers, &ZoneDistances::single_region("a1"));
    expect_that!(server_ids_in_reach.len(), eq(2));
}

#[gtest]
fn new_node_claims_no_remote_jobs() {
    expect_that!(may_claim_remote(Duration::from_millis(1_500)), eq(false));
    expect_that!(may_claim_remote(Duration::from_millis(2_500)), eq(true));
}

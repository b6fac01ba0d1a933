//! Jobs and items where nodes and servers stand in several regions.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{
    Heartbeat, LoadSummary, NodeRow, PeerStatus, PeerTable, TableSink, Ways, Worker,
};
use dappleyard_jobs::{
    Ground, JobRow, ServerRoom, may_claim, may_claim_away, preferred, within_reach,
};
use dappleyard_model::{EventLog, Places, RegionName, Row, ZoneName};
use googletest::prelude::*;
use prost::Message;

const REGIONS: [&str; 3] = ["a", "b", "c"];
/// Nodes of a fleet in which not every node hears every other.
const NODES: usize = 30;
/// Time between two heartbeats.
const BEAT: Duration = Duration::from_millis(150);

fn zone(number: usize) -> String {
    format!("{}1", REGIONS[number % 3])
}

fn ways(zone: &str) -> Ways {
    let zones = REGIONS.iter();
    let places: Places = zones
        .flat_map(|region| {
            let zones = [format!("{region}1"), format!("{region}2")];
            zones.map(|zone| (ZoneName::from(zone.as_str()), RegionName::from(*region)))
        })
        .collect();
    Ways::new(zone, &places)
}

fn name(number: usize) -> String {
    format!("node-{number}")
}

/// What one node believes of the others.
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

/// Lets time pass in which nodes hear some others; the store has not answered some of these.
async fn hear(
    tables: &[&PeerTable],
    beats: std::ops::Range<u64>,
    hears: impl Fn(usize) -> bool,
    isolated: impl Fn(usize) -> bool,
) {
    for beat in beats {
        tokio::time::sleep(BEAT).await;
        for number in (0..NODES).filter(|number| hears(*number)) {
            let store_age_ms = match isolated(number) {
                true => (beat * BEAT.as_millis() as u64) as u32,
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
                table.heard(&heartbeat);
            }
        }
    }
}

/// The nodes that a node takes for those that should take some jobs of region "b" over.
fn choices(table: &PeerTable, own: usize) -> Vec<Worker> {
    let (workers, ways) = (table.workers(true), ways(&zone(own)));
    let choice = |job: usize| {
        let chosen = preferred(&format!("job-{job}"), &workers, |zone| {
            ways.is_in(zone, "b")
        });
        chosen.expect("a worker").clone()
    };
    (0..20).map(choice).collect()
}

/// Whether all of some nodes are of region "b", or none is.
fn all_of_region(chosen: &[Worker], wanted: bool) -> bool {
    chosen.iter().all(|worker| (worker.zone == "b1") == wanted)
}

fn ground(owner: PeerStatus) -> Ground {
    Ground {
        owner: Some(owner),
        suspected: Duration::from_secs(1),
        steady: Duration::from_secs(10),
        answered: true,
        taken: None,
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_is_taken_over_in_its_region() {
    let tables = [0, 1, 2].map(table);
    // One node of the region is lost.
    hear(&tables.each_ref(), 1..30, |number| number != 4, |_| false).await;
    for (own, table) in tables.iter().enumerate() {
        assert_that!(table.status(&name(4), 1), eq(PeerStatus::Down));
        let chosen = choices(table, own);
        assert_that!(all_of_region(&chosen, true), eq(true));
        assert_that!(chosen, eq(&choices(&tables[0], 0)));
    }
}

#[tokio::test(start_paused = true)]
async fn a_region_that_is_cut_off_is_stood_in_for() {
    let of_region = |number: usize| number % 3 == 1;
    // From the other nodes, from the store, and from both.
    let cuts: [(bool, bool, PeerStatus); 3] = [
        (true, false, PeerStatus::Down),
        (false, true, PeerStatus::Isolated),
        (true, true, PeerStatus::Down),
    ];
    for (nodes, store, expected) in cuts {
        let (one, other) = (table(0), table(2));
        let hears = |number| !(nodes && of_region(number));
        hear(&[&one, &other], 1..30, hears, |number| {
            store && of_region(number)
        })
        .await;
        for held in [&one, &other] {
            assert_that!(held.status(&name(1), 1), eq(expected));
        }
        assert_that!(may_claim(ground(expected)), eq(true));
        let chosen = choices(&one, 0);
        // Those that are left agree on some of them.
        assert_that!(chosen, eq(&choices(&other, 2)));
        assert_that!(all_of_region(&chosen, false), eq(true));
        // Once the region is heard and served again, its jobs go to it again.
        hear(&[&one], 30..34, |_| true, |_| false).await;
        assert_that!(all_of_region(&choices(&one, 0), true), eq(true));
    }
}

#[tokio::test(start_paused = true)]
async fn inside_a_region_cut_off_from_the_store_nothing_is_claimed() {
    let table = table(1);
    hear(&[&table], 1..30, |number| number % 3 == 1, |_| true).await;
    // Nobody else is heard, but the store does not answer this node either.
    let cut = Ground {
        answered: false,
        ..ground(PeerStatus::Down)
    };
    assert_that!(table.status(&name(0), 1), eq(PeerStatus::Down));
    assert_that!(may_claim(cut), eq(false));
}

#[gtest]
fn rows_of_one_region_are_as_before() {
    let row = JobRow {
        route: "r".to_owned(),
        ..JobRow::default()
    };
    let before = row.encode_to_vec();
    expect_that!(before, eq(&[10, 1, b'r']));
    let read = JobRow::decode(Bytes::from(before)).expect("a row");
    expect_that!(read.region, none());
}

fn server(id: &'static str, zone: &'static str, load: LoadSummary) -> ServerRoom<'static> {
    ServerRoom {
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

fn reach(near: LoadSummary) -> Vec<&'static str> {
    let servers = vec![server("near", "a2", near), server("far", "b1", online(0))];
    let reach = within_reach(servers, &ways("a1"));
    reach.into_iter().map(|server| server.id).collect()
}

#[gtest]
fn items_run_in_their_region_while_it_has_room() {
    expect_that!(reach(online(6)), eq(&["near"]));
    expect_that!(reach(online(7)), eq(&["near", "far"]));
    let dark = LoadSummary {
        suspect: true,
        ..LoadSummary::default()
    };
    expect_that!(reach(dark), eq(&["near", "far"]));
}

#[gtest]
fn items_of_one_region_go_anywhere() {
    let servers = vec![
        server("near", "a2", online(6)),
        server("far", "b1", online(0)),
    ];
    let reach = within_reach(servers, &Ways::within("a1"));
    expect_that!(reach.len(), eq(2));
}

#[gtest]
fn a_node_that_has_just_begun_leaves_jobs_to_their_region() {
    expect_that!(may_claim_away(Duration::from_millis(1_500)), eq(false));
    expect_that!(may_claim_away(Duration::from_millis(2_500)), eq(true));
}

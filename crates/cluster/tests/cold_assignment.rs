//! Assignment of cold servers to nodes under restarts, silence and zone loss.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{NodeRow, PeerTable, TableSink};
use dappleyard_model::{EventLog, Row};
use googletest::prelude::*;
use prost::Message;

const NODES: u32 = 5;
const PER_ZONE: usize = 12;
const ZONES: [&str; 2] = ["north", "south"];

fn row(name: &str, zone: &str, life: u64) -> Row {
    let row = NodeRow {
        life,
        zone: zone.to_owned(),
        peer: "127.0.0.1:1".to_owned(),
        ..NodeRow::default()
    };
    Row {
        part: String::new(),
        key: name.to_owned(),
        value: Some(Bytes::from(row.encode_to_vec())),
        revision: life,
    }
}

fn fleet() -> Vec<(String, &'static str)> {
    let zones = ZONES.into_iter();
    zones
        .flat_map(|zone| (0..PER_ZONE).map(move |number| (format!("{zone}-{number}"), zone)))
        .collect()
}

/// The peer table of each node.
fn tables(rows: impl Fn(&PeerTable)) -> Vec<(String, PeerTable)> {
    let log = Arc::new(EventLog::silent());
    let table = |(name, zone): (String, &'static str)| {
        let table = PeerTable::new(&name, zone, log.clone());
        rows(&table);
        (name, table)
    };
    fleet().into_iter().map(table).collect()
}

fn all_rows(table: &PeerTable) {
    let rows = fleet().into_iter().map(|(name, zone)| row(&name, zone, 1));
    rows.for_each(|row| table.change(row));
}

fn assigned(tables: &[(String, PeerTable)], server: &str) -> Vec<String> {
    let is_assigned = |table: &PeerTable| table.assignment_rank(server, "north", NODES).is_some();
    let those = tables.iter().filter(|(_, table)| is_assigned(table));
    those.map(|(name, _)| name.clone()).collect()
}

#[gtest]
fn all_nodes_agree() {
    let tables = tables(all_rows);
    for server in 0..50 {
        let assigned = assigned(&tables, &format!("i-{server}"));
        expect_that!(assigned.len(), eq(5));
        expect_that!(
            assigned.iter().all(|name| name.starts_with("north")),
            eq(true)
        );
    }
}

#[gtest]
fn restart_changes_nothing() {
    let before = tables(all_rows);
    let restarted = |table: &PeerTable| {
        all_rows(table);
        (0..6).for_each(|number| table.change(row(&format!("north-{number}"), "north", 2)));
    };
    let after = tables(restarted);
    for server in 0..50 {
        let server = format!("i-{server}");
        expect_that!(assigned(&before, &server), eq(&assigned(&after, &server)));
    }
}

/// Runs a test in paused time, without heartbeats.
fn in_paused_time<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

#[gtest]
fn total_silence_at_most_doubles_assignments() {
    in_paused_time(async {
        let before = tables(all_rows);
        let server = |number: u32| format!("i-{number}");
        let near = |number| assigned(&before, &server(number));
        let near: Vec<Vec<String>> = (0..20).map(near).collect();
        // No node receives heartbeats, as if all were isolated.
        tokio::time::advance(Duration::from_secs(4)).await;
        for number in 0..20 {
            let assigned = assigned(&before, &server(number));
            let (own, far): (Vec<_>, Vec<_>) = assigned
                .into_iter()
                .partition(|name| name.starts_with("north"));
            expect_that!(own, eq(&near[number as usize]));
            expect_that!(far.len(), eq(5));
        }
    });
}

#[gtest]
fn small_zone_gets_nodes_of_other_zones() {
    let few = |table: &PeerTable| {
        let rows = fleet().into_iter();
        let kept = rows.filter(|(name, zone)| *zone == "south" || name.ends_with("-0"));
        kept.for_each(|(name, zone)| table.change(row(&name, zone, 1)));
    };
    let tables = tables(few);
    for server in 0..20 {
        let listed: Vec<_> = assigned(&tables, &format!("i-{server}"));
        let rowless = |name: &String| name.starts_with("north") && !name.ends_with("-0");
        let with_row = listed.iter().filter(|name| !rowless(name));
        expect_that!(with_row.count(), eq(5));
    }
}

#[gtest]
fn isolation_does_not_add_assignments() {
    in_paused_time(async {
        let tables = tables(all_rows);
        let assignments = |number: usize| {
            let servers = (0..100).map(|server| format!("i-{server}"));
            let (_, table) = &tables[number];
            let is_assigned =
                |server: &String| table.assignment_rank(server, "north", NODES).is_some();
            servers.filter(is_assigned).count()
        };
        let before = assignments(0);
        tokio::time::advance(Duration::from_secs(300)).await;
        expect_that!(assignments(0), eq(before));
    });
}

#[gtest]
fn no_assignment_without_rows() {
    let table = PeerTable::new("a", "north", Arc::new(EventLog::silent()));
    expect_that!(table.assignment_rank("i-1", "north", NODES), none());
}

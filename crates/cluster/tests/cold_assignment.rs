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

fn standing(tables: &[(String, PeerTable)], server: &str) -> Vec<String> {
    let stands = |table: &PeerTable| table.standing(server, "north", NODES).is_some();
    let those = tables.iter().filter(|(_, table)| stands(table));
    those.map(|(name, _)| name.clone()).collect()
}

#[gtest]
fn all_nodes_agree() {
    let tables = tables(all_rows);
    for server in 0..50 {
        let standing = standing(&tables, &format!("i-{server}"));
        expect_that!(standing.len(), eq(5));
        expect_that!(
            standing.iter().all(|name| name.starts_with("north")),
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
        expect_that!(standing(&before, &server), eq(&standing(&after, &server)));
    }
}

/// Runs a test in paused time, without heartbeats.
fn in_silence<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

#[gtest]
fn silence_of_all_adds_as_many_nodes_at_most() {
    in_silence(async {
        let before = tables(all_rows);
        let server = |number: u32| format!("i-{number}");
        let near = |number| standing(&before, &server(number));
        let near: Vec<Vec<String>> = (0..20).map(near).collect();
        // No node receives heartbeats, as if all were isolated.
        tokio::time::advance(Duration::from_secs(4)).await;
        for number in 0..20 {
            let standing = standing(&before, &server(number));
            let (own, far): (Vec<_>, Vec<_>) = standing
                .into_iter()
                .partition(|name| name.starts_with("north"));
            expect_that!(own, eq(&near[number as usize]));
            expect_that!(far.len(), eq(5));
        }
    });
}

#[gtest]
fn small_zone_is_helped_by_the_others() {
    let few = |table: &PeerTable| {
        let rows = fleet().into_iter();
        let kept = rows.filter(|(name, zone)| *zone == "south" || name.ends_with("-0"));
        kept.for_each(|(name, zone)| table.change(row(&name, zone, 1)));
    };
    let tables = tables(few);
    for server in 0..20 {
        let listed: Vec<_> = standing(&tables, &format!("i-{server}"));
        let rowless = |name: &String| name.starts_with("north") && !name.ends_with("-0");
        let with_row = listed.iter().filter(|name| !rowless(name));
        expect_that!(with_row.count(), eq(5));
    }
}

#[gtest]
fn node_that_was_cut_off_for_long_stands_no_more_often() {
    in_silence(async {
        let tables = tables(all_rows);
        let stood = |number: usize| {
            let servers = (0..100).map(|server| format!("i-{server}"));
            let (_, table) = &tables[number];
            let stands = |server: &String| table.standing(server, "north", NODES).is_some();
            servers.filter(stands).count()
        };
        let before = stood(0);
        tokio::time::advance(Duration::from_secs(300)).await;
        expect_that!(stood(0), eq(before));
    });
}

#[gtest]
fn node_that_knows_no_row_stands_for_nothing() {
    let table = PeerTable::new("a", "north", Arc::new(EventLog::silent()));
    expect_that!(table.standing("i-1", "north", NODES), none());
}

//! Load counts, shares of paused items, and server subsets.

use std::sync::Arc;

use dappleyard_cluster::{LoadTable, ServerSelector, WorkKind, node_number};
use dappleyard_model::ServerRecord;
use googletest::prelude::*;

fn server() -> ServerRecord {
    ServerRecord {
        id: "i-1".to_owned(),
        instance: "i-1".to_owned(),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "north".to_owned(),
        version: "v1".parse().ok(),
        slots: 8,
        draining: false,
        cold_left_ms: 0,
    }
}

#[gtest]
fn work_is_counted_while_in_flight() {
    let table = Arc::new(LoadTable::default());
    let mut online = table.begin(&server(), WorkKind::Online, 500);
    let batch = table.begin(&server(), WorkKind::Batch, 1_000);
    let load = table.summary("i-1");
    expect_that!(
        (load.online, load.batch, load.unread_tokens),
        eq((1, 1, 1_500))
    );
    online.prompt_read();
    expect_that!(table.summary("i-1").unread_tokens, eq(1_000));
    drop(batch);
    drop(online);
    let load = table.summary("i-1");
    expect_that!((load.online, load.batch, load.unread_tokens), eq((0, 0, 0)));
}

#[gtest]
fn pauses_items_above_slots() {
    let table = Arc::new(LoadTable::default());
    let _batch: Vec<_> = (0..6)
        .map(|_| table.begin(&server(), WorkKind::Batch, 0))
        .collect();
    let own = node_number("a");
    let mut online = Vec::new();
    for (count, expected) in [(2, 0), (3, 1), (4, 2), (7, 5), (20, 6)] {
        while online.len() < count {
            online.push(table.begin(&server(), WorkKind::Online, 0));
        }
        expect_that!(
            table.pause_share("i-1", 8, own),
            eq(expected),
            "{count} online"
        );
    }
}

fn fleet(count: usize) -> Vec<Arc<ServerRecord>> {
    let zones = ["north", "south", "west"];
    let server = |number: usize| ServerRecord {
        id: format!("i-{number:05}"),
        instance: format!("i-{number:05}"),
        zone: zones[number % 3].to_owned(),
        ..server()
    };
    (0..count).map(|number| Arc::new(server(number))).collect()
}

#[gtest]
fn small_fleet_uses_all_servers() {
    let servers = ServerSelector::new("a", "north").servers(fleet(60));
    expect_that!(
        (servers.used.len(), servers.affinity_servers.len()),
        eq((60, 60))
    );
    expect_that!(servers.is_large(), eq(false));
}

#[gtest]
fn large_fleet_spreads_servers_over_nodes() {
    let mut uses = std::collections::HashMap::<String, u32>::new();
    for number in 0..100 {
        let node = ServerSelector::new(&format!("node-{number}"), "north");
        let servers = node.servers(fleet(3_000));
        expect_that!(servers.used.len(), eq(48));
        expect_that!(
            servers
                .affinity_servers
                .iter()
                .all(|affinity_server| affinity_server.zone == "north"),
            eq(true)
        );
        for server in servers.used.iter().filter(|server| server.zone == "north") {
            *uses.entry(server.id.clone()).or_default() += 1;
        }
    }
    // Each server has four nodes on average; few have none.
    expect_that!(uses.len(), gt(960));
    expect_that!(uses.values().max().copied().unwrap_or(0), lt(16));
}

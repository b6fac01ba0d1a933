//! Exchange of loads and liveness records between nodes, over UDP on loopback.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{
    ConfigurationSink, PeerStatus, ServersSink, TableSink, WarmupState, WorkKind,
};
use dappleyard_model::{Row, Topology};
use dappleyard_platform::PlatformDialect;
use googletest::prelude::*;

use support::*;

#[gtest]
fn small_fleet() {
    run_local(async {
        let nodes = fleet(9).await;
        let in_flight = start_work(&nodes);
        wait_until("all loads are known", || all_report(&nodes, 9, 9)).await;
        drop(in_flight);
        wait_until("the end is known", || all_report(&nodes, 0, 0)).await;
    });
}

#[gtest]
fn online_changes_are_sent_immediately() {
    run_local(async {
        let nodes = fleet(9).await;
        let first = nodes[0].loads.begin(&server(), WorkKind::Batch, 10);
        wait_until("the item is known", || all_report(&nodes, 0, 1)).await;
        drop(first);
        wait_until("its end is known", || all_report(&nodes, 0, 0)).await;
        // The start and the end of an online request are sent immediately, like those of a batch
        // item.
        let before = nodes[0].gossip.changes_sent();
        let request = nodes[0].loads.begin(&server(), WorkKind::Online, 10);
        wait_until("the request is known", || all_report(&nodes, 1, 0)).await;
        drop(request);
        wait_until("its end is known", || all_report(&nodes, 0, 0)).await;
        wait_until("both were sent as changes", || {
            nodes[0].gossip.changes_sent() >= before + 2
        })
        .await;
    });
}

#[gtest]
fn large_fleet() {
    run_local(async {
        let nodes = fleet(36).await;
        let in_flight = start_work(&nodes);
        wait_until("all loads are known", || all_report(&nodes, 36, 36)).await;
        drop(in_flight);
        wait_until("the end is known", || all_report(&nodes, 0, 0)).await;
    });
}

#[gtest]
fn cold_start_is_relayed_to_all_nodes() {
    run_local(async {
        let nodes = fleet(36).await;
        let cold = Duration::from_secs(60);
        let all_cold = || {
            nodes.iter().all(|node| {
                let (warmup_state, _) = node.loads.warmup_state(&server());
                warmup_state == WarmupState::Cold
            })
        };
        expect_that!(all_cold(), eq(false));
        // Delegates must relay the record also to nodes without work at the server.
        wait_until("the node knows its peers", || nodes[7].peers.count() > 24).await;
        let asked = dappleyard_clock::Instant::now();
        nodes[7].loads.note_warmup_report("i-1", asked, cold);
        wait_until("all nodes know", all_cold).await;
    });
}

#[gtest]
fn loads_across_regions() {
    run_local(async {
        let nodes = fleet_in(&regions(), 36).await;
        let in_flight = start_work(&nodes);
        wait_until("all loads are known", || all_report(&nodes, 36, 36)).await;
        drop(in_flight);
        wait_until("the end is known", || all_report(&nodes, 0, 0)).await;
        let all_alive = || nodes.iter().all(|node| node.peers.count() == 36);
        wait_until("all nodes are heard", all_alive).await;
    });
}

/// A server row in the platform's format.
fn server_row(number: usize) -> Row {
    let value = format!(
        r#"{{"service":"llm","address":"10.0.0.1:{}","zone":"{}","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1}}"#,
        1_000 + number,
        ZONES[number % 3],
    );
    Row {
        part: String::new(),
        key: format!("i-{number:03}"),
        value: Some(Bytes::from(value)),
        revision: 1,
    }
}

#[gtest]
fn loads_of_servers_in_other_zones() {
    run_local(async {
        let nodes = fleet(36).await;
        // Enough servers that each node uses only some of those in other zones.
        let rows: Vec<Row> = (0..90).map(server_row).collect();
        for node in &nodes {
            let sink = ServersSink {
                view: node.view.clone(),
                dialect: Arc::new(PlatformDialect),
            };
            sink.replace(rows.clone(), 1);
            // Builds the server set, from which the node reports the servers that it uses.
            expect_that!(node.view.servers("llm").is_large(), eq(true));
        }
        let used = nodes[0].view.servers("llm").used.clone();
        let mut used = used.iter();
        let far = used.find(|server| server.zone != nodes[0].zone);
        let far = far.expect("a server of another zone").clone();
        let in_flight = nodes[0].loads.begin(&far, WorkKind::Online, 10);
        let in_its_zone = || nodes.iter().filter(|node| node.zone == far.zone);
        wait_until("the nodes in the server's zone know its load", || {
            in_its_zone().all(|node| node.loads.summary(&far.id).online == 1)
        })
        .await;
        drop(in_flight);
    });
}

/// Nodes that receive loads of only a few servers still learn what runs in an evacuated zone.
#[gtest]
fn work_in_an_evacuated_zone() {
    run_local(async {
        let nodes = fleet(36).await;
        let rows: Vec<Row> = (0..90).map(server_row).collect();
        for node in &nodes {
            let dialect = Arc::new(PlatformDialect);
            let servers = ServersSink {
                view: node.view.clone(),
                dialect: dialect.clone(),
            };
            servers.replace(rows.clone(), 1);
            expect_that!(node.view.servers("llm").is_large(), eq(true));
        }
        let chosen = nodes[0].view.server("i-000").expect("a server");
        let in_flight = nodes[4].loads.begin(&chosen, WorkKind::Online, 10);
        let item = nodes[8].loads.begin(&chosen, WorkKind::Batch, 10);
        for node in &nodes {
            let orders = ConfigurationSink {
                view: node.view.clone(),
                dialect: Arc::new(PlatformDialect),
            };
            let value = Some(Bytes::from("{}"));
            let key = format!("evacuate/{}", chosen.zone);
            let (part, revision) = (String::new(), 2);
            orders.change(Row {
                part,
                key,
                value,
                revision,
            });
        }
        let work = |node: &TestNode| {
            let work = node.view.zone_work(&chosen.zone, &node.loads, &node.peers);
            work.map(|work| (work.online, work.batch))
        };
        let all_see = |seen| nodes.iter().all(|node| work(node) == Some(seen));
        wait_until("all know of both", || all_see((1, 1))).await;
        drop(in_flight);
        wait_until("all know of the end", || all_see((0, 1))).await;
        drop(item);
        wait_until("all know that nothing runs", || all_see((0, 0))).await;
    });
}

#[gtest]
fn delegates_lost() {
    run_local(async {
        let mut nodes = fleet(36).await;
        let in_flight = start_work(&nodes);
        wait_until("all loads are known", || all_report(&nodes, 36, 36)).await;
        let lost: Vec<String> = ZONES
            .iter()
            .flat_map(|zone| {
                let mut near = nodes.iter().filter(|node| node.zone == *zone);
                near.next().expect("a node").peers.delegates(zone)
            })
            .collect();
        expect_that!(lost.len(), eq(6));
        for node in nodes.iter_mut().filter(|node| lost.contains(&node.name)) {
            node.task.take().expect("a task").abort();
        }
        nodes.retain(|node| !lost.contains(&node.name));
        // New delegates are selected; the loads of the lost ones are dropped.
        wait_until("new delegates aggregate the loads", || {
            all_report(&nodes, 30, 30)
        })
        .await;
        let down = |node: &TestNode| {
            let mut names = lost.iter();
            names.all(|name| node.peers.status(name, 1) == PeerStatus::Down)
        };
        wait_until("the lost nodes are down", || nodes.iter().all(down)).await;
        let others_alive = |node: &TestNode| node.peers.count() == 30;
        expect_that!(nodes.iter().all(others_alive), eq(true));
        drop(in_flight);
    });
}

/// Whether all of `nodes` assign `status` to all others in `of`.
fn all_assign_status(nodes: &[&TestNode], of: &[&TestNode], status: PeerStatus) -> bool {
    let assigns = |node: &&TestNode| {
        let mut others = of.iter().filter(|other| other.name != node.name);
        others.all(|other| node.peers.status(&other.name, 1) == status)
    };
    nodes.iter().all(assigns)
}

#[gtest]
fn zone_lost() {
    run_local(async {
        let mut nodes = fleet(36).await;
        let in_flight = start_work(&nodes);
        wait_until("all loads are known", || all_report(&nodes, 36, 36)).await;
        for node in nodes.iter_mut().filter(|node| node.zone == "north") {
            node.task.take().expect("a task").abort();
        }
        let (lost, rest): (Vec<&TestNode>, Vec<&TestNode>) =
            nodes.iter().partition(|node| node.zone == "north");
        // The loads of the zone are dropped, and its nodes count as down.
        wait_until("the loads of the rest are known", || {
            rest.iter()
                .all(|node| node.loads.summary("i-1").online == 24)
        })
        .await;
        wait_until("the zone is down", || {
            all_assign_status(&rest, &lost, PeerStatus::Down)
        })
        .await;
        drop(in_flight);
    });
}

fn apply_configuration(node: &TestNode) {
    let sink = ConfigurationSink {
        view: node.view.clone(),
        dialect: Arc::new(PlatformDialect),
    };
    let text =
        r#"{"version":1,"tenants":[{"name":"a","api_keys":["k"],"rate_per_s":0.001,"burst":100}]}"#;
    sink.change(Row {
        part: String::new(),
        key: "config".to_owned(),
        value: Some(Bytes::from(text)),
        revision: 1,
    });
}

/// Checks that nodes which admit requests of one tenant share its credit.
async fn nodes_share_credit(places: Topology, count: usize) {
    let nodes = fleet_in(&places, count).await;
    nodes.iter().for_each(apply_configuration);
    let all_heard = || nodes.iter().all(|node| node.peers.count() == count);
    wait_until("all nodes are heard", all_heard).await;
    // Counts in the first message of a node are taken as already known to others, so wait until all
    // have sent one.
    tokio::time::sleep(Duration::from_millis(1_700)).await;
    let tenant = "a".parse().expect("a name");
    let mut passed = 0;
    for _ in 0..4 {
        for node in &nodes {
            passed += usize::from(node.quotas.take(&tenant).is_ok());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    // A burst of 100, half of a tolerance of 30, and what was in transit.
    expect_that!(passed, le(100 + 30));
    let credit_is_used_up = || {
        let level = |node: &TestNode| node.quotas.level(&tenant).unwrap_or(f64::MAX);
        nodes.iter().all(|node| level(node) < 30.0)
    };
    wait_until("all know the admitted requests", credit_is_used_up).await;
}

#[gtest]
fn small_fleets_share_credit() {
    run_local(nodes_share_credit(Topology::default(), 12));
}

#[gtest]
fn large_fleets_share_credit() {
    run_local(nodes_share_credit(Topology::default(), 33));
}

#[gtest]
fn regions_share_credit() {
    run_local(nodes_share_credit(regions(), 33));
}

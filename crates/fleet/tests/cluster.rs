//! Clusters of nodes over loopback sockets.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_fleet::{FleetContext, FleetHandle, configuration_status, read_stale_regions};
use dappleyard_settings::FleetSettings;
use dappleyard_store::memory::MemoryPlatform;
use dappleyard_store::{Machine, MachineRole, TableStore, Transaction};
use dappleyard_tables::{Identity, Lifecycle, NodeTables};
use dappleyard_transport::link::{Announcement, LinkServer};
use dappleyard_transport::{DatagramSocket, DirectPolicy, LinkSettings, ServerStream};
use dappleyard_wire::keys;
use dappleyard_wire::messages::{Hello, MemberState, Reply, TenantRow, call, frame, reply};
use googletest::prelude::*;
use prost::Message;

struct Node {
    tables: Arc<NodeTables>,
    handle: FleetHandle,
}

fn settings(seeds: Vec<String>) -> FleetSettings {
    FleetSettings {
        seeds,
        probe_interval_ms: 200,
        probe_timeout_ms: 60,
        suspicion_ms: 1_000,
        load_interval_ms: 200,
        aggregate_interval_ms: 300,
        machine_list_interval_ms: 300,
        watch_interval_ms: 200,
        digest_interval_ms: 300,
        ..FleetSettings::default()
    }
}

async fn start_node(name: &str, zone: &str, platform: &MemoryPlatform, seeds: Vec<String>) -> Node {
    let tables = NodeTables::new(Identity {
        node: name.into(),
        zone: zone.into(),
        region: "region-1".into(),
        incarnation: 7 << 16,
    });
    let policy = Arc::new(DirectPolicy);
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = DatagramSocket::bind(any, policy.clone())
        .await
        .expect("a socket");
    let link_address = serve_links(name, tables.clone()).await;
    let handle = dappleyard_fleet::start(FleetContext {
        tables: tables.clone(),
        settings: settings(seeds),
        platform: platform.platform(),
        socket,
        link_address,
        admin_address: String::new(),
        policy,
        link_settings: LinkSettings::default(),
    });
    Node { tables, handle }
}

/// Answers snapshot calls as the node's request workers do.
async fn serve_links(name: &str, tables: Arc<NodeTables>) -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a socket");
    let address = listener.local_addr().expect("bound").to_string();
    let (_, announcement) = tokio::sync::watch::channel(Announcement {
        ready: true,
        ..Announcement::default()
    });
    let server = Rc::new(LinkServer {
        hello: Hello {
            protocol: dappleyard_wire::PROTOCOL_VERSION,
            id: name.to_owned(),
            ..Hello::default()
        },
        settings: LinkSettings::default(),
        policy: Arc::new(DirectPolicy),
        announcement,
        gate: dappleyard_transport::RequestGate::new(),
    });
    let handler = Rc::new(move |stream: ServerStream| {
        if let frame::Body::Call(call) = &stream.first
            && let Some(call::Method::CellSync(_)) = &call.method
        {
            let result = Some(reply::Result::CellSync(dappleyard_fleet::cell_sync(
                &tables,
            )));
            let _ = stream.send(frame::Body::Reply(Reply { result }));
        }
    });
    actix_rt::spawn(async move { server.serve(listener, handler).await });
    address
}

/// Waits until a condition holds; panics after about a minute.
async fn eventually(mut holds: impl FnMut() -> bool) {
    for _ in 0..3_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the condition did not hold within a minute");
}

fn is_ready(node: &Node) -> bool {
    *node.tables.lifecycle.borrow() == Lifecycle::Ready
}

fn alive(node: &Node) -> usize {
    let members = node.tables.members.all();
    members
        .iter()
        .filter(|member| member.state() == MemberState::MemberAlive)
        .count()
}

fn gossip_address(node: &Node) -> String {
    let own = node.tables.members.get(&node.tables.identity.node);
    own.map(|own| own.gossip_address).unwrap_or_default()
}

fn servers(zone: &str, count: usize) -> Vec<Machine> {
    (0..count)
        .map(|number| Machine {
            name: format!("server-{number}"),
            role: MachineRole::Server,
            region: "region-1".into(),
            zone: zone.into(),
            hall: zone.to_owned(),
            address: format!("http://127.0.0.1:{}", 9000 + number),
            service: "fittings-llm".into(),
            leaving: false,
        })
        .collect()
}

async fn put_tenant(platform: &MemoryPlatform, name: &str) {
    let row = TenantRow {
        name: name.to_owned(),
        ..TenantRow::default()
    };
    let transaction = Transaction::default().put(keys::tenant(name), row.encode_to_vec());
    platform.transact(transaction).await.expect("a write");
}

/// Three nodes that discover each other through the first one.
async fn three_nodes(platform: &MemoryPlatform) -> Vec<Node> {
    let first = start_node("node-a", "zone-1", platform, Vec::new()).await;
    eventually(|| is_ready(&first)).await;
    let seeds = vec![gossip_address(&first)];
    let second = start_node("node-b", "zone-1", platform, seeds.clone()).await;
    let third = start_node("node-c", "zone-1", platform, seeds).await;
    let nodes = vec![first, second, third];
    eventually(|| nodes.iter().all(|node| is_ready(node) && alive(node) == 3)).await;
    nodes
}

#[gtest]
#[actix_rt::test]
async fn nodes_find_each_other_and_share_the_servers() {
    let platform = MemoryPlatform::default();
    platform.set_machines(servers("zone-1", 12));
    let nodes = three_nodes(&platform).await;
    let owned = |node: &Node| node.tables.servers.all().len();
    // The first node alone owns all servers until the others are ready, so check every node's count.
    eventually(|| {
        let counts: Vec<usize> = nodes.iter().map(owned).collect();
        counts.iter().sum::<usize>() == 12 && counts.iter().all(|count| *count >= 1)
    })
    .await;

    nodes[2].handle.leave().await;
    eventually(|| owned(&nodes[0]) + owned(&nodes[1]) == 12).await;
    let left = nodes[0].tables.members.get(&"node-c".into());
    expect_that!(
        left.map(|member| member.state()),
        some(eq(MemberState::MemberLeft))
    );
}

#[gtest]
#[actix_rt::test]
async fn a_change_comes_into_force_on_every_node() {
    let platform = MemoryPlatform::default();
    put_tenant(&platform, "first").await;
    let nodes = three_nodes(&platform).await;
    put_tenant(&platform, "second").await;
    let revision = platform
        .row(&keys::tenant("second"))
        .map(|row| row.revision);
    eventually(|| {
        nodes.iter().all(|node| {
            let status = configuration_status(&node.tables);
            Some(status.revision) == revision && status.nodes_up_to_date == 3
        })
    })
    .await;
    let tenants = nodes[2].tables.configuration.current().tenants.len();
    expect_that!(tenants, eq(2));
}

#[gtest]
#[actix_rt::test]
async fn a_compacted_feed_falls_back_to_a_full_read() {
    let platform = MemoryPlatform::default();
    put_tenant(&platform, "first").await;
    platform.compact();
    let node = start_node("node-a", "zone-1", &platform, Vec::new()).await;
    eventually(|| is_ready(&node)).await;
    expect_that!(node.tables.configuration.current().tenants.len(), eq(1));
    put_tenant(&platform, "second").await;
    eventually(|| node.tables.configuration.current().tenants.len() == 2).await;
}

#[gtest]
#[actix_rt::test]
async fn cancelled_jobs_reach_the_other_nodes() {
    let platform = MemoryPlatform::default();
    let nodes = three_nodes(&platform).await;
    nodes[0]
        .tables
        .cancelled_jobs
        .lock()
        .insert("job-1".to_owned());
    eventually(|| {
        nodes
            .iter()
            .all(|node| node.tables.cancelled_jobs.lock().contains("job-1"))
    })
    .await;
}

#[gtest]
#[actix_rt::test]
async fn a_region_with_a_ready_node_is_fresh() {
    let platform = MemoryPlatform::default();
    let node = start_node("node-a", "zone-1", &platform, Vec::new()).await;
    eventually(|| platform.row("region/region-1").is_some()).await;
    let stale = read_stale_regions(&node.tables, &platform.platform()).await;
    expect_that!(stale, ok(is_empty()));
}

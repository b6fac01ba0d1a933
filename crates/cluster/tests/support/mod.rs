//! Nodes that exchange gossip over UDP on loopback.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{
    Gossip, GossipSettings, GossipTables, InFlight, LoadTable, NodeRow, PeerTable, StoreHealth,
    TableSink, View, WorkKind, ZoneDistances,
};
use dappleyard_crashes::CrashTable;
use dappleyard_model::{EventLog, QuotaBounds, RegionName, Row, ServerRecord, Topology, ZoneName};
use dappleyard_streams::StreamTable;
use dappleyard_tenants::QuotaTable;
use prost::Message;

pub const QUOTA: QuotaBounds = QuotaBounds {
    window_ms: 5_000,
    over: 0.1,
    slack: 20.0,
};
pub const ZONES: [&str; 3] = ["north", "south", "west"];

pub struct TestNode {
    pub name: String,
    pub zone: &'static str,
    pub gossip: Rc<Gossip>,
    pub peers: Arc<PeerTable>,
    pub loads: Arc<LoadTable>,
    pub quotas: Arc<QuotaTable>,
    pub crashes: Arc<CrashTable>,
    pub streams: Arc<StreamTable>,
    pub view: Arc<View>,
    pub task: Option<tokio::task::JoinHandle<()>>,
}

/// Puts each zone into its own region.
pub fn regions() -> Topology {
    let zones = ZONES.into_iter();
    zones
        .map(|zone| (ZoneName::from(zone), RegionName::from(zone)))
        .collect()
}

impl TestNode {
    pub async fn open(number: usize, places: &Topology) -> Self {
        Self::open_at(number, places, 1, ([127, 0, 0, 1], 0).into()).await
    }

    /// Opens a run of a node at an address.
    pub async fn open_at(number: usize, places: &Topology, life: u64, address: SocketAddr) -> Self {
        let (name, zone) = (format!("node-{number}"), ZONES[number % 3]);
        let log = Arc::new(EventLog::silent());
        let peers = Arc::new(PeerTable::new(&name, zone, log.clone()));
        let loads = Arc::new(LoadTable::default());
        let settings = GossipSettings {
            name: name.clone(),
            zone: zone.to_owned(),
            life,
            address,
        };
        let zone_distances = Arc::new(ZoneDistances::new(zone, places));
        let view = Arc::new(View::with_zone_distances(&name, zone_distances, log));
        let quotas = Arc::new(QuotaTable::new(QUOTA, number as u64));
        let crashes = Arc::new(CrashTable::new(number as u64));
        let streams = Arc::new(StreamTable::default());
        let tables = GossipTables {
            peers: peers.clone(),
            loads: loads.clone(),
            quotas: quotas.clone(),
            crashes: crashes.clone(),
            streams: streams.clone(),
            view: view.clone(),
            health: Arc::new(StoreHealth::default()),
            leaving: Arc::new(AtomicBool::new(false)),
        };
        let gossip = Gossip::open(settings, tables);
        Self {
            name,
            zone,
            gossip: Rc::new(gossip.await.expect("a socket")),
            peers,
            loads,
            quotas,
            crashes,
            streams,
            view,
            task: None,
        }
    }

    pub fn row(&self) -> Row {
        let row = NodeRow {
            life: 1,
            front: "127.0.0.1:1".to_owned(),
            zone: self.zone.to_owned(),
            peer: self.gossip.address().expect("an address").to_string(),
            ..NodeRow::default()
        };
        Row {
            part: String::new(),
            key: self.name.clone(),
            value: Some(Bytes::from(row.encode_to_vec())),
            revision: 1,
        }
    }
}

pub async fn fleet(count: usize) -> Vec<TestNode> {
    fleet_in(&Topology::default(), count).await
}

pub async fn fleet_in(places: &Topology, count: usize) -> Vec<TestNode> {
    let mut nodes = Vec::new();
    for number in 0..count {
        nodes.push(TestNode::open(number, places).await);
    }
    let rows: Vec<Row> = nodes.iter().map(TestNode::row).collect();
    for node in &mut nodes {
        rows.iter().cloned().for_each(|row| node.peers.change(row));
        let gossip = node.gossip.clone();
        node.task = Some(tokio::task::spawn_local(async move { gossip.run().await }));
    }
    nodes
}

pub fn server() -> ServerRecord {
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

/// Starts one request and one batch item per node, all at the same server.
pub fn start_work(nodes: &[TestNode]) -> Vec<InFlight> {
    let begin = |node: &TestNode| {
        [WorkKind::Online, WorkKind::Batch].map(|kind| node.loads.begin(&server(), kind, 10))
    };
    nodes.iter().flat_map(begin).collect()
}

pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("timed out waiting until {what}");
}

pub fn all_report(nodes: &[TestNode], online: u32, batch: u32) -> bool {
    nodes.iter().all(|node| {
        let load = node.loads.summary("i-1");
        (load.online, load.batch) == (online, batch)
    })
}

pub fn run_local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

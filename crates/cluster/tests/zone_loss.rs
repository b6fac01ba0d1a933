//! Peer states while a zone is lost, and while a zone is partitioned.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::directory::{DirectoryContext, DirectoryQuery, addresses_for};
use dappleyard_cluster::{Heartbeat, NodeRow, PeerStatus, PeerTable, TableSink};
use dappleyard_model::{EventLog, FailureTolerance, Row, Topology};
use googletest::prelude::*;

const ZONES: [&str; 3] = ["north", "south", "west"];
const NODES_PER_ZONE: usize = 12;
/// Time within which a heartbeat reaches all nodes.
const PROPAGATION: Duration = Duration::from_millis(450);

fn name(zone: &str, number: usize) -> String {
    format!("{zone}-{number:02}")
}

/// A fleet as seen by one node of each zone.
struct Fleet {
    tables: BTreeMap<&'static str, PeerTable>,
    lives: BTreeMap<&'static str, u64>,
    sequence: u64,
}

impl Fleet {
    fn new() -> Self {
        let table = |zone| {
            let log = Arc::new(EventLog::silent());
            PeerTable::new(&name(zone, 0), zone, log)
        };
        let mut fleet = Self {
            tables: ZONES.map(|zone| (zone, table(zone))).into(),
            lives: ZONES.map(|zone| (zone, 1)).into(),
            sequence: 0,
        };
        ZONES.iter().for_each(|zone| fleet.register(zone));
        fleet
    }

    /// Registers all nodes of a zone at every table.
    fn register(&mut self, zone: &'static str) {
        let life = self.lives[zone];
        for number in 0..NODES_PER_ZONE {
            let node = name(zone, number);
            let row = prost::Message::encode_to_vec(&NodeRow {
                life,
                front: node.clone(),
                zone: zone.to_owned(),
                peer: "127.0.0.1:1".to_owned(),
                ..NodeRow::default()
            });
            for table in self.tables.values() {
                table.change(Row {
                    part: String::new(),
                    key: node.clone(),
                    value: Some(Bytes::from(row.clone())),
                    revision: life,
                });
            }
        }
    }

    /// Advances time. `reachable(own, other)` says whether nodes of zone `own` receive heartbeats
    /// from zone `other`.
    async fn run(&mut self, time: Duration, reachable: impl Fn(&str, &str) -> bool) {
        let until = dappleyard_clock::Instant::now() + time;
        while dappleyard_clock::Instant::now() < until {
            self.sequence += 1;
            for (at, table) in &self.tables {
                let zones = ZONES.iter().filter(|zone| reachable(at, zone));
                for zone in zones {
                    (0..NODES_PER_ZONE).for_each(|number| self.heartbeat(table, zone, number));
                }
            }
            tokio::time::sleep(PROPAGATION).await;
        }
    }

    fn heartbeat(&self, table: &PeerTable, zone: &'static str, number: usize) {
        table.apply_heartbeat(&Heartbeat {
            name: name(zone, number),
            life: self.lives[zone],
            ready: true,
            sequence: self.sequence,
            ..Heartbeat::default()
        });
    }

    /// Addresses per zone in the directory response of a node to a caller in `zone`, without the
    /// node itself.
    fn directory_response(&self, by: &str, zone: &str) -> [usize; 3] {
        let places: Topology = ZONES
            .map(|zone| (zone.into(), "one".into()))
            .into_iter()
            .collect();
        let ground = DirectoryContext {
            own_zone: by,
            places: &places,
            tolerated: FailureTolerance {
                zones: 1,
                regions: 0,
            },
        };
        let asked = DirectoryQuery {
            zone: Some(zone),
            ..DirectoryQuery::default()
        };
        let addresses = addresses_for(asked, ground, &self.tables[by].front_nodes());
        ZONES.map(|zone| {
            let there = addresses.iter().filter(|address| address.starts_with(zone));
            there.count()
        })
    }

    fn status(&self, by: &str, zone: &str, life: u64) -> PeerStatus {
        self.tables[by].status(&name(zone, 5), life)
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn lost_zone() {
    let mut fleet = Fleet::new();
    fleet.run(2 * SECOND, |_, _| true).await;
    let [north, south, west] = fleet.directory_response("south", "north");
    assert_that!((north, south + west), eq((NODES_PER_ZONE, 4)));
    assert_that!(fleet.tables["south"].delegates("north").len(), eq(2));
    // The zone fails. After 1.8 s the directory no longer lists it, before its nodes count as down.
    fleet
        .run(1_800 * SECOND / 1_000, |_, of| of != "north")
        .await;
    assert_that!(fleet.directory_response("south", "north")[0], eq(0));
    assert_that!(fleet.status("south", "north", 1), eq(PeerStatus::Ready));
    fleet.run(SECOND, |_, of| of != "north").await;
    assert_that!(fleet.status("south", "north", 1), eq(PeerStatus::Down));
    assert_that!(fleet.tables["south"].delegates("north").len(), eq(0));
    let relays = fleet.tables["west"].relay_peers();
    assert_that!(
        relays.iter().filter(|peer| peer.zone == "north").count(),
        eq(0)
    );
    // Quotas are divided among live nodes, out of all registered ones.
    let known = (
        fleet.tables["west"].count(),
        fleet.tables["west"].expected(),
    );
    assert_that!(known, eq((2 * NODES_PER_ZONE, 3 * NODES_PER_ZONE)));
    // The zone returns with new processes; the old ones count as replaced at once.
    fleet.lives.insert("north", 2);
    fleet.register("north");
    fleet.run(PROPAGATION, |_, _| true).await;
    assert_that!(fleet.status("south", "north", 1), eq(PeerStatus::Replaced));
    assert_that!(fleet.status("south", "north", 2), eq(PeerStatus::Ready));
    assert_that!(
        fleet.directory_response("south", "north")[0],
        eq(NODES_PER_ZONE)
    );
    assert_that!(fleet.tables["south"].delegates("north").len(), eq(2));
}

#[tokio::test(start_paused = true)]
async fn partitioned_zone() {
    let mut fleet = Fleet::new();
    fleet.run(2 * SECOND, |_, _| true).await;
    let partition = |at: &str, of: &str| (at == "north") == (of == "north");
    fleet.run(1_800 * SECOND / 1_000, partition).await;
    // Other zones consider the zone lost. The zone considers itself partitioned and lists its own
    // nodes and others.
    assert_that!(fleet.directory_response("south", "north")[0], eq(0));
    let [north, south, west] = fleet.directory_response("north", "north");
    assert_that!(
        (north, south + west),
        eq((NODES_PER_ZONE - 1, NODES_PER_ZONE - 1))
    );
    // It keeps its delegates, so that loads and quotas are summed within it.
    let own = fleet.tables["north"].delegates("north");
    assert_that!(own.len(), eq(2));
    // It keeps sending liveness records to the delegates of the other zones, which receive them once the
    // partition heals.
    let there = fleet.tables["south"].delegates("south");
    fleet.run(SECOND, partition).await;
    assert_that!(fleet.tables["north"].delegates("north"), eq(&own));
    assert_that!(fleet.status("north", "south", 1), eq(PeerStatus::Down));
    let mut told = fleet.tables["north"].silent_delegates();
    told.retain(|delegate| delegate.zone == "south");
    let told: Vec<String> = told.into_iter().map(|delegate| delegate.name).collect();
    assert_that!(told, unordered_elements_are![eq(&there[0]), eq(&there[1])]);
    let known = (
        fleet.tables["north"].count(),
        fleet.tables["north"].expected(),
    );
    assert_that!(known, eq((NODES_PER_ZONE, 3 * NODES_PER_ZONE)));
    // Nodes without recent heartbeats are no longer listed.
    fleet.run(2_500 * SECOND / 1_000, partition).await;
    let [north, south, west] = fleet.directory_response("north", "north");
    assert_that!((north, south + west), eq((NODES_PER_ZONE - 1, 0)));
    fleet.run(PROPAGATION, |_, _| true).await;
    assert_that!(fleet.status("north", "south", 1), eq(PeerStatus::Ready));
    assert_that!(
        fleet.directory_response("south", "north")[0],
        eq(NODES_PER_ZONE)
    );
}

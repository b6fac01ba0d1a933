//! Relays available to a node while another zone is down and while its own zone is isolated.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{Heartbeat, NodeRow, PeerTable, StoreHealth, TableSink};
use dappleyard_model::{EventLog, Row, StoreError};
use dappleyard_relay::{Access, Path};
use googletest::prelude::*;
use prost::Message;

const ZONES: [&str; 3] = ["north", "south", "west"];
const NODES_PER_ZONE: usize = 3;

fn name(zone: &str, number: usize) -> String {
    format!("{zone}-{number}")
}

/// State of the first node of zone `north`.
struct Node {
    peers: Arc<PeerTable>,
    health: Arc<StoreHealth>,
    access: Access,
    sequence: u64,
}

impl Node {
    fn new() -> Self {
        let log = Arc::new(EventLog::silent());
        let own = name("north", 0);
        let peers = Arc::new(PeerTable::new(&own, "north", log.clone()));
        for zone in ZONES {
            (0..NODES_PER_ZONE).for_each(|number| peers.change(row(zone, number)));
        }
        let health = Arc::new(StoreHealth::default());
        let access = Access::new(&own, "north", health.clone(), peers.clone(), log);
        Self {
            peers,
            health,
            access,
            sequence: 0,
        }
    }

    /// Advances time by `ms` with heartbeats from the zones in `heard`; the store answers the zones in `answered`.
    async fn advance(&mut self, ms: u64, heard: &[&str], answered: &[&str]) {
        for _ in 0..ms / 100 {
            self.sequence += 1;
            let own = match answered.contains(&"north") {
                true => Ok(()),
                false => Err(StoreError::Unavailable {
                    reason: "cut".to_owned(),
                }),
            };
            self.health.note(&own);
            for zone in heard {
                (0..NODES_PER_ZONE)
                    .for_each(|number| self.send_heartbeat(zone, number, answered.contains(zone)));
            }
            self.access.refresh();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    fn send_heartbeat(&self, zone: &str, number: usize, answered: bool) {
        self.peers.apply_heartbeat(&Heartbeat {
            name: name(zone, number),
            life: 1,
            ready: true,
            sequence: self.sequence,
            direct_age_ms: u32::from(answered),
            ..Heartbeat::default()
        });
    }

    /// Zones of the nodes that may forward calls.
    fn relays(&self) -> Vec<String> {
        let relays = self.access.relays().into_iter();
        relays.map(|peer| peer.zone).collect()
    }
}

fn row(zone: &str, number: usize) -> Row {
    let row = NodeRow {
        life: 1,
        zone: zone.to_owned(),
        peer: "127.0.0.1:1".to_owned(),
        ..NodeRow::default()
    };
    Row {
        part: String::new(),
        key: name(zone, number),
        value: Some(Bytes::from(row.encode_to_vec())),
        revision: 1,
    }
}

#[tokio::test(start_paused = true)]
async fn lost_zone() {
    let mut node = Node::new();
    node.advance(2_000, &ZONES, &ZONES).await;
    assert_that!(node.relays().len(), eq(8));
    // Calls are not forwarded to a zone that is down.
    node.advance(1_800, &["north", "west"], &["north", "west"])
        .await;
    assert_that!(node.relays(), not(contains(eq("south"))));
    assert_that!(node.relays().len(), eq(5));
    assert_that!(node.access.path(), eq(Path::Direct));
}

#[tokio::test(start_paused = true)]
async fn isolated_zone() {
    let mut node = Node::new();
    node.advance(2_000, &ZONES, &ZONES).await;
    // The zone is isolated. Its nodes forward calls to each other for two seconds, then each calls the store directly, so
    // that it sees the recovery at once.
    node.advance(400, &["north"], &[]).await;
    assert_that!(
        node.relays().iter().filter(|zone| *zone == "north").count(),
        eq(2)
    );
    node.advance(2_400, &["north"], &[]).await;
    assert_that!(node.relays().is_empty(), eq(true));
    // The store answers one node of the zone again, which becomes a relay.
    node.sequence += 1;
    node.send_heartbeat("north", 1, true);
    assert_that!(node.relays(), eq(&["north"]));
    node.advance(200, &ZONES, &ZONES).await;
    assert_that!(node.access.path(), eq(Path::Direct));
    assert_that!(node.relays().len(), eq(8));
}

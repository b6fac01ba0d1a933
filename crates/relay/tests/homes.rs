//! Calls that carry request bodies are forwarded only within the region if requests are bound to home regions.

use std::sync::Arc;

use bytes::Bytes;
use dappleyard_cluster::{
    ConfigurationSink, Heartbeat, NodeRow, PeerTable, StoreHealth, TableSink, View, ZoneDistances,
};
use dappleyard_model::{EventLog, RegionName, Row, Topology, ZoneName};
use dappleyard_platform::PlatformDialect;
use dappleyard_relay::Access;
use googletest::prelude::*;
use prost::Message;

const BODIES: [&str; 1] = ["items"];

fn row(key: &str, value: impl Into<Bytes>, revision: u64) -> Row {
    Row {
        part: String::new(),
        key: key.to_owned(),
        value: Some(value.into()),
        revision,
    }
}

/// Peers of a node in region `a`: one in the same region and one in region `b`.
fn peers(log: &Arc<EventLog>) -> Arc<PeerTable> {
    let peers = PeerTable::new("own", "north", log.clone());
    for (number, (name, zone)) in [("near", "east"), ("far", "south")].into_iter().enumerate() {
        let node = NodeRow {
            life: 1,
            zone: zone.to_owned(),
            peer: format!("10.0.0.{number}:2"),
            ..NodeRow::default()
        };
        peers.change(row(name, node.encode_to_vec(), 1));
        peers.apply_heartbeat(&Heartbeat {
            name: name.to_owned(),
            life: 1,
            sequence: 1,
            ready: true,
            direct_age_ms: 1,
            ..Heartbeat::default()
        });
    }
    Arc::new(peers)
}

fn configuration(version: u64, more: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"h","path_prefix":"/","kind":"safe",
            "timeout_ms":1,"target_ms":1,"service":"llm","max_attempts":1{more}}}],"services":[]}}"#
    )
}

#[tokio::test(start_paused = true)]
async fn bodies_stay_in_the_region() {
    let zones = [("north", "a"), ("east", "a"), ("south", "b")].into_iter();
    let places: Topology = zones
        .map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)))
        .collect();
    let log = Arc::new(EventLog::silent());
    let zone_distances = Arc::new(ZoneDistances::new("north", &places));
    let view = Arc::new(View::with_zone_distances(
        "own",
        zone_distances.clone(),
        log.clone(),
    ));
    let sink = ConfigurationSink {
        view: view.clone(),
        dialect: Arc::new(PlatformDialect),
    };
    let health = Arc::new(StoreHealth::default());
    let access = Access::new("own", "north", health, peers(&log), log)
        .with_zone_distances(zone_distances)
        .with_body_tables(view, &BODIES);
    let relays = |table: &'static str| -> Vec<String> {
        let relays = access.relays_for([table]).into_iter();
        relays.map(|peer| peer.name).collect()
    };
    let all = ["near".to_owned(), "far".to_owned()];
    sink.change(row("config", configuration(1, ""), 1));
    assert_that!(relays("items"), eq(&all));
    let bound = configuration(2, r#","home_regions":["a"]"#);
    sink.change(row("config", bound, 2));
    assert_that!(relays("items"), eq(&all[..1]));
    assert_that!(relays("jobs"), eq(&all));
    sink.change(row("config", configuration(3, ""), 3));
    assert_that!(relays("items"), eq(&all));
}

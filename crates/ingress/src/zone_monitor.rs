//! Detects zones whose servers became unreachable together, and probes them until they respond.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::{ServerObservation, ServerSet, SuspicionChange, ZoneSuspicion};
use dappleyard_model::ServerRecord;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::attempt::Upstreams;
use crate::metrics::Metrics;
use crate::node::Node;

/// Check interval while any server is suspect.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Probes of a suspect zone per interval, over all nodes. A recovered zone is detected within 0.1
/// s, and a 4 s outage costs 80 failed connections.
const PROBES_PER_INTERVAL: f64 = 2.0;
/// Maximum number of servers probed in sequence; the first that does not respond ends the sequence.
const MAX_PROBES: usize = 8;

/// Monitors the servers this node uses until the process ends.
pub async fn monitor_zones(upstreams: Upstreams) {
    let node = upstreams.node().clone();
    let mut zones = ZoneSuspicion::default();
    loop {
        if !zones.any_suspected() && !node.loads.is_any_suspect() {
            // Sleeps until a server becomes suspect instead of polling.
            node.loads.wait_for_silence().await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        let sets = server_sets(&node);
        let used = sets.iter().flat_map(|set| &set.used);
        let observations: Vec<ServerObservation<'_>> =
            used.map(|server| observation(&node, server)).collect();
        for change in zones.evaluate(&observations, Instant::now()) {
            log_change(&node, &change);
        }
        let restricted = sets.iter().flat_map(|set| &set.all);
        let restricted = restricted.filter(|server| zones.is_restricted(&server.zone));
        node.loads
            .restrict(restricted.map(|server| server.id.as_str()).collect());
        for zone in zones.suspected() {
            probe_zone(&upstreams, zone, &sets);
        }
    }
}

fn server_sets(node: &Node) -> Vec<Arc<ServerSet>> {
    let Some(configuration) = node.view.configuration() else {
        return Vec::new();
    };
    let services = configuration.services.iter();
    services
        .map(|service| node.view.servers(&service.name))
        .collect()
}

fn observation<'a>(node: &Node, server: &'a ServerRecord) -> ServerObservation<'a> {
    ServerObservation {
        zone: &server.zone,
        suspect: node.loads.is_silent(&server.id),
        silence: node.loads.time_since_received(&server.id),
    }
}

fn log_change(node: &Node, change: &SuspicionChange) {
    let event = match change.suspected {
        true => "zone_suspected",
        false => "zone_answers_again",
    };
    if change.suspected {
        Metrics::count(&node.metrics.zones_suspected);
    }
    node.log.write(event, || {
        serde_json::json!({"zone": change.zone, "silent": change.silent,
            "answering": change.answering, "servers": change.servers,
            "lasted_ms": change.lasted.map(|lasted| lasted.as_millis() as u64)})
    });
}

/// Probes servers of a suspect zone, with a probability that makes `PROBES_PER_INTERVAL` probes
/// over all nodes.
fn probe_zone(upstreams: &Upstreams, zone: &str, sets: &[Arc<ServerSet>]) {
    let nodes = upstreams.node().peers.count().max(1) as f64;
    let mut random = rand::rng();
    if !random.random_bool((PROBES_PER_INTERVAL / nodes).min(1.0)) {
        return;
    }
    let in_zone = sets.iter().flat_map(|set| &set.used);
    let in_zone: Vec<&Arc<ServerRecord>> = in_zone.filter(|server| server.zone == zone).collect();
    let chosen = in_zone.choose_multiple(&mut random, MAX_PROBES);
    let chosen: Vec<Arc<ServerRecord>> = chosen.map(|server| (*server).clone()).collect();
    let upstreams = upstreams.clone();
    tokio::task::spawn_local(async move {
        for server in chosen {
            Metrics::count(&upstreams.node().metrics.zone_probes);
            if !upstreams.is_up(&server).await {
                return;
            }
        }
    });
}

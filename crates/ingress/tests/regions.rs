//! Placement across regions.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::{LoadSummary, ZoneDistances};
use dappleyard_ingress::{Candidate, choose, limit_by_region, sample};
use dappleyard_model::{RegionName, ServerRecord, Topology, ZoneName};
use googletest::prelude::*;
use rand::SeedableRng;

fn zone_distances() -> ZoneDistances {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")].into_iter();
    let places: Topology = zones
        .map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)))
        .collect();
    ZoneDistances::new("a1", &places)
}

fn candidate(id: &str, zone: &str, load: LoadSummary) -> Candidate {
    Candidate {
        server: Arc::new(ServerRecord {
            id: id.to_owned(),
            instance: id.to_owned(),
            service: "llm".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: zone.to_owned(),
            version: "v1".parse().ok(),
            slots: 8,
            draining: false,
            cold_left_ms: 0,
        }),
        load,
    }
}

fn online(online: u32) -> LoadSummary {
    LoadSummary {
        online,
        ..LoadSummary::default()
    }
}

fn chosen(candidates: &[Candidate], zone_distances: &ZoneDistances) -> String {
    let reach = limit_by_region(candidates.to_vec(), zone_distances);
    let choice = choose(&reach, zone_distances, None).expect("a server");
    choice.server.id.clone()
}

#[gtest]
fn a_request_stays_while_its_region_has_a_slot() {
    let zone_distances = zone_distances();
    let far = || candidate("far", "b1", online(0));
    let busy = [
        candidate("zone", "a1", online(8)),
        candidate("region", "a2", online(7)),
        far(),
    ];
    expect_that!(chosen(&busy, &zone_distances), eq("region"));
    // Batch items are preempted and are no reason to leave the region.
    let items = LoadSummary {
        online: 3,
        batch: 5,
        ..LoadSummary::default()
    };
    expect_that!(
        chosen(&[candidate("zone", "a1", items), far()], &zone_distances),
        eq("zone")
    );
}

#[gtest]
fn a_request_leaves_a_region_that_cannot_serve_it() {
    let zone_distances = zone_distances();
    let far = || candidate("far", "b1", online(2));
    let full = [
        candidate("zone", "a1", online(9)),
        candidate("region", "a2", online(9)),
        far(),
    ];
    expect_that!(chosen(&full, &zone_distances), eq("far"));
    // Batch items at a remote server are preempted, so its slots count as free.
    let items = LoadSummary {
        online: 4,
        batch: 4,
        ..LoadSummary::default()
    };
    let waits = [
        candidate("zone", "a1", online(8)),
        candidate("far", "b1", items),
    ];
    expect_that!(chosen(&waits, &zone_distances), eq("far"));
    let dark = LoadSummary {
        suspect: true,
        ..LoadSummary::default()
    };
    let dark = [
        candidate("zone", "a1", dark),
        candidate("region", "a2", dark),
        far(),
    ];
    expect_that!(chosen(&dark, &zone_distances), eq("far"));
}

#[gtest]
fn queueing_beats_a_slow_path() {
    let zone_distances = zone_distances();
    let full = [
        candidate("zone", "a1", online(8)),
        candidate("far", "b1", online(0)),
    ];
    expect_that!(chosen(&full, &zone_distances), eq("far"));
    // A round trip of 130 ms costs more than one queued request.
    zone_distances.note_connect_time("a1", Duration::from_millis(1));
    zone_distances.note_connect_time("b1", Duration::from_millis(130));
    expect_that!(chosen(&full, &zone_distances), eq("zone"));
}

#[gtest]
fn samples_cover_each_distance() {
    let zone_distances = zone_distances();
    let zones = ["a1", "a2", "b1", "b2"];
    let all: Vec<Candidate> = (0..80)
        .map(|number| candidate(&format!("i-{number}"), zones[number % 4], online(0)))
        .collect();
    let servers: Vec<&Arc<ServerRecord>> = all.iter().map(|held| &held.server).collect();
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    for _ in 0..50 {
        let sampled = sample(&servers, &zone_distances, None, &mut random);
        let near = sampled.iter().filter(|server| server.zone == "a1");
        let region = sampled.iter().filter(|server| server.zone == "a2");
        expect_that!((near.count(), region.count(), sampled.len()), eq((4, 2, 8)));
    }
}

//! Server subsets and digests in deployments with several regions.

use std::collections::HashSet;
use std::sync::Arc;

use dappleyard_cluster::{
    LoadEntry, ServerSelector, ServerSet, ZoneDigest, ZoneDistances, cross_region_receivers,
    due_messages,
};
use dappleyard_model::{Distance, RegionName, ServerRecord, Topology, ZoneName};
use googletest::prelude::*;

const ZONES: [(&str, &str); 6] = [
    ("a1", "a"),
    ("a2", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
    ("c2", "c"),
];

fn zone_distances(zone: &str) -> Arc<ZoneDistances> {
    let zones = ZONES.iter();
    let places: Topology = zones
        .map(|(zone, region)| (ZoneName::from(*zone), RegionName::from(*region)))
        .collect();
    Arc::new(ZoneDistances::new(zone, &places))
}

fn fleet(count: usize, zones: &[&str]) -> Vec<Arc<ServerRecord>> {
    let server = |number: usize| ServerRecord {
        id: format!("i-{number:05}"),
        instance: format!("i-{number:05}"),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zones[number % zones.len()].to_owned(),
        version: "v1".parse().ok(),
        slots: 8,
        draining: false,
        cold_left_ms: 0,
    };
    (0..count).map(|number| Arc::new(server(number))).collect()
}

fn all_zones() -> Vec<&'static str> {
    ZONES.iter().map(|(zone, _)| *zone).collect()
}

/// Used servers of a set by distance: zone, region, other regions.
fn by_distance(set: &ServerSet, zone_distances: &ZoneDistances) -> [usize; 3] {
    let at = |distance| {
        let used = set.used.iter();
        used.filter(|server| zone_distances.distance(&server.zone) == distance)
            .count()
    };
    [
        Distance::SameZone,
        Distance::SameRegion,
        Distance::OtherRegion,
    ]
    .map(at)
}

#[gtest]
fn few_servers_of_other_regions_are_used() {
    let zone_distances = zone_distances("a1");
    let node = ServerSelector::with_zone_distances("node-1", zone_distances.clone());
    for (servers, expected) in [
        (6, [1, 1, 4]),
        (60, [10, 10, 8]),
        (120, [20, 16, 8]),
        (3_000, [40, 16, 8]),
    ] {
        let set = node.servers(fleet(servers, &all_zones()));
        expect_that!(
            by_distance(&set, &zone_distances),
            eq(expected),
            "{servers} servers"
        );
        let near =
            |affinity_server: &Arc<ServerRecord>| zone_distances.is_near(&affinity_server.zone);
        expect_that!(set.affinity_servers.iter().all(near), eq(true));
        expect_that!(set.affinity_servers.is_empty(), eq(false));
    }
}

#[gtest]
fn all_servers_are_used_by_some_node() {
    let mut used = HashSet::new();
    for number in 0..30 {
        let node =
            ServerSelector::with_zone_distances(&format!("node-{number}"), zone_distances("a1"));
        let set = node.servers(fleet(60, &all_zones()));
        expect_that!(set.is_large(), eq(true));
        used.extend(set.used.iter().map(|server| server.id.clone()));
    }
    expect_that!(used.len(), eq(60));
}

#[gtest]
fn region_without_servers_uses_others() {
    let node = ServerSelector::with_zone_distances("node-1", zone_distances("a1"));
    let set = node.servers(fleet(60, &["b1", "c2"]));
    expect_that!(set.used.len(), eq(40));
    expect_that!(set.affinity_servers.len(), eq(60));
}

#[gtest]
fn service_within_region_ignores_other_regions() {
    let node = ServerSelector::with_zone_distances("node-1", zone_distances("a1"));
    let plain = ServerSelector::new("node-1", "a1");
    for servers in [60, 400] {
        let near = fleet(servers, &["a1", "a2"]);
        expect_that!(node.servers(near.clone()), eq(&plain.servers(near)));
    }
}

#[gtest]
fn each_remote_delegate_has_one_sender() {
    for (senders, receivers) in [(2, 2), (1, 2), (2, 1), (1, 1)] {
        let names = &["x", "y"][..receivers];
        let senders_to = |name: &str| {
            let told = (0..senders).map(|own| cross_region_receivers(own, senders, names.to_vec()));
            told.filter(|told| told.contains(&name)).count()
        };
        for name in names {
            let expected = if senders > receivers { senders } else { 1 };
            expect_that!(
                senders_to(name),
                eq(expected),
                "{senders} senders, {receivers} receivers"
            );
        }
    }
}

#[gtest]
fn life_signs_and_full_sums_go_to_regions() {
    let all = (0..72).map(|round| due_messages(round, 5));
    let due = |of: fn(&dappleyard_cluster::DueMessages) -> bool| all.clone().filter(of).count();
    expect_that!(due(|due_messages| due_messages.regions), eq(24));
    expect_that!(
        due(|due_messages| due_messages.liveness && due_messages.regions),
        eq(4)
    );
    expect_that!(
        due(|due_messages| due_messages.all && due_messages.regions),
        eq(3)
    );
    // Every round with sums for a large zone covers the regions too.
    let large = (0..72).map(|round| due_messages(round, 60));
    expect_that!(
        large
            .filter(|due_messages| due_messages.sums && !due_messages.regions)
            .count(),
        eq(0)
    );
}

fn sum(server: u32, online: u32) -> LoadEntry {
    LoadEntry {
        server,
        online,
        heard_ms: 5,
        ..LoadEntry::default()
    }
}

#[gtest]
fn significant_changes_are_sent() {
    let mut digest = ZoneDigest::coarse();
    let first = digest.next(vec![sum(1, 4), sum(2, 4)], true);
    expect_that!(first.loads.len(), eq(2));
    let small = digest.next(vec![sum(1, 5), sum(2, 3)], false);
    expect_that!(small.loads.len(), eq(0));
    // Small changes accumulate.
    let large = digest.next(vec![sum(1, 6), sum(2, 3)], false);
    expect_that!(large.loads, eq(&vec![sum(1, 6)]));
    let suspect = LoadEntry {
        suspect: true,
        ..sum(2, 4)
    };
    let told = digest.next(vec![sum(1, 6), suspect.clone()], false);
    expect_that!(told.loads, eq(&vec![suspect]));
    // A full message corrects sums that differ by one.
    let whole = digest.next(vec![sum(1, 7)], true);
    expect_that!(whole.loads, eq(&vec![sum(1, 7)]));
}

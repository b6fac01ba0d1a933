//! Network costs between zones and regions.

use std::time::Duration;

use dappleyard_cluster::{DistanceWeights, ZoneDistances};
use dappleyard_model::{Distance, RegionName, Topology, ZoneName};
use googletest::prelude::*;

const WEIGHTS: DistanceWeights = DistanceWeights {
    other_zone: 6.0,
    ms_per_unit: 12.0,
};

fn places(regions: [&str; 3]) -> Topology {
    let zones = ["a", "b", "c"].into_iter().zip(regions);
    zones
        .map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)))
        .collect()
}

#[gtest]
fn shortest_time_counts() {
    let zone_distances = ZoneDistances::new("a", &places(["north", "north", "south"]));
    let ms = Duration::from_millis;
    expect_that!(zone_distances.extra_rtt("c"), eq(Duration::ZERO));
    zone_distances.note_connect_time("c", ms(90));
    // The own region has no measurement yet.
    expect_that!(zone_distances.extra_rtt("c"), eq(Duration::ZERO));
    zone_distances.note_connect_time("b", ms(2));
    expect_that!(zone_distances.extra_rtt("c"), eq(ms(88)));
    // Only the minimum counts: slow connections are due to load on the machine.
    zone_distances.note_connect_time("c", ms(42));
    zone_distances.note_connect_time("c", ms(200));
    expect_that!(zone_distances.extra_rtt("c"), eq(ms(40)));
    expect_that!(zone_distances.extra_rtt("b"), eq(Duration::ZERO));
}

#[gtest]
fn weights() {
    let zone_distances = ZoneDistances::new("a", &places(["north", "north", "south"]));
    let weights = |zone_distances: &ZoneDistances| {
        ["a", "b", "c"].map(|zone| zone_distances.cost(zone, WEIGHTS))
    };
    expect_that!(weights(&zone_distances), eq([0.0, 6.0, 6.0]));
    zone_distances.note_connect_time("a", Duration::from_millis(2));
    zone_distances.note_connect_time("c", Duration::from_millis(38));
    expect_that!(weights(&zone_distances), eq([0.0, 6.0, 9.0]));
}

#[gtest]
fn one_region() {
    let zone_distances = ZoneDistances::new("a", &places(["north"; 3]));
    zone_distances.note_connect_time("a", Duration::from_millis(1));
    zone_distances.note_connect_time("b", Duration::from_millis(100));
    let unknown = ZoneDistances::single_region("a");
    for zone_distances in [&zone_distances, &unknown] {
        expect_that!(zone_distances.cost("b", WEIGHTS), eq(6.0));
        // An unconfigured zone counts as part of the only region.
        expect_that!(zone_distances.distance("x"), eq(Distance::SameRegion));
        expect_that!(zone_distances.region(), none());
    }
}

//! Network costs between zones and regions.

use std::time::Duration;

use dappleyard_cluster::{WayWeights, Ways};
use dappleyard_model::{Distance, Places, RegionName, ZoneName};
use googletest::prelude::*;

const WEIGHTS: WayWeights = WayWeights {
    other_zone: 6.0,
    ms_per_unit: 12.0,
};

fn places(regions: [&str; 3]) -> Places {
    let zones = ["a", "b", "c"].into_iter().zip(regions);
    zones
        .map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)))
        .collect()
}

#[gtest]
fn shortest_time_counts() {
    let ways = Ways::new("a", &places(["north", "north", "south"]));
    let ms = Duration::from_millis;
    expect_that!(ways.extra("c"), eq(Duration::ZERO));
    ways.note("c", ms(90));
    // The own region has no measurement yet.
    expect_that!(ways.extra("c"), eq(Duration::ZERO));
    ways.note("b", ms(2));
    expect_that!(ways.extra("c"), eq(ms(88)));
    // Only the minimum counts: slow connections are due to load on the machine.
    ways.note("c", ms(42));
    ways.note("c", ms(200));
    expect_that!(ways.extra("c"), eq(ms(40)));
    expect_that!(ways.extra("b"), eq(Duration::ZERO));
}

#[gtest]
fn weights() {
    let ways = Ways::new("a", &places(["north", "north", "south"]));
    let weights = |ways: &Ways| ["a", "b", "c"].map(|zone| ways.weigh(zone, WEIGHTS));
    expect_that!(weights(&ways), eq([0.0, 6.0, 6.0]));
    ways.note("a", Duration::from_millis(2));
    ways.note("c", Duration::from_millis(38));
    expect_that!(weights(&ways), eq([0.0, 6.0, 9.0]));
}

#[gtest]
fn one_region() {
    let ways = Ways::new("a", &places(["north"; 3]));
    ways.note("a", Duration::from_millis(1));
    ways.note("b", Duration::from_millis(100));
    let unknown = Ways::within("a");
    for ways in [&ways, &unknown] {
        expect_that!(ways.weigh("b", WEIGHTS), eq(6.0));
        // An unconfigured zone counts as part of the only region.
        expect_that!(ways.distance("x"), eq(Distance::SameRegion));
        expect_that!(ways.region(), none());
    }
}

//! Distances between zones.

use dappleyard_model::{Distance, RegionName, Topology, ZoneName};
use googletest::prelude::*;

fn places(zones: &[(&str, &str)]) -> Topology {
    let zones = zones.iter();
    zones
        .map(|(zone, region)| (ZoneName::from(*zone), RegionName::from(*region)))
        .collect()
}

#[gtest]
fn zones_of_one_region() {
    let places = places(&[("a", "north"), ("b", "north")]);
    expect_that!(places.distance("a", "a"), eq(Distance::SameZone));
    expect_that!(places.distance("a", "b"), eq(Distance::SameRegion));
    expect_that!(places.has_regions(), eq(false));
}

#[gtest]
fn zones_of_two_regions() {
    let places = places(&[("a", "north"), ("b", "south")]);
    expect_that!(places.distance("a", "b"), eq(Distance::OtherRegion));
    expect_that!(places.has_regions(), eq(true));
}

#[gtest]
fn unknown_zone() {
    let named = places(&[("a", "north")]);
    expect_that!(named.distance("a", "x"), eq(Distance::OtherRegion));
    expect_that!(
        Topology::default().distance("a", "x"),
        eq(Distance::SameRegion)
    );
}

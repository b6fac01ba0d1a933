//! Directory regions for hosts with home regions.

use dappleyard_ingress::directory_regions;
use dappleyard_model::{HomeRegions, RegionName, Topology, ZoneName};
use googletest::prelude::*;

fn places() -> Topology {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")].into_iter();
    zones
        .map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)))
        .collect()
}

fn homes(regions: &[&str]) -> HomeRegions {
    HomeRegions::Within(regions.iter().map(|name| RegionName::from(*name)).collect())
}

fn sent_to(zone: Option<&str>, homes: &[HomeRegions]) -> Vec<String> {
    let regions = directory_regions(homes, zone, &places())
        .into_iter()
        .flatten();
    regions.map(|region| region.to_string()).collect()
}

#[gtest]
fn own_region_and_homes() {
    let bound = [homes(&["b"])];
    expect_that!(sent_to(Some("a1"), &bound), elements_are![eq("a"), eq("b")]);
    expect_that!(sent_to(Some("b1"), &bound), elements_are![eq("b")]);
    // Unknown client zone.
    expect_that!(sent_to(None, &bound), elements_are![eq("b")]);
    expect_that!(sent_to(Some("elsewhere"), &bound), elements_are![eq("b")]);
}

#[gtest]
fn several_routes() {
    let bound = [homes(&["a", "b"]), homes(&["b", "c"])];
    expect_that!(sent_to(None, &bound), elements_are![eq("b")]);
}

#[gtest]
fn without_homes() {
    expect_that!(directory_regions(&[], Some("a1"), &places()), none());
}

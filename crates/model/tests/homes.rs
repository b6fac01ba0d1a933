//! Home regions of routes and tenants.

use dappleyard_model::{
    Configuration, HomeRegions, RegionName, Route, RouteKind, Tenant, Tenants, Topology,
    TrafficLimits, ZoneName,
};
use googletest::prelude::*;

fn regions(names: &[&str]) -> Vec<RegionName> {
    names.iter().map(|name| RegionName::from(*name)).collect()
}

fn places() -> Topology {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")].into_iter();
    zones
        .map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)))
        .collect()
}

fn route(name: &str, homes: &[&str]) -> Route {
    Route {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Safe,
        timeout_ms: 0,
        target_ms: 0,
        patience_ms: 0,
        priority: 0,
        public: false,
        targets: Vec::new(),
        max_attempts: 1,
        resumable: false,
        result_target_ms: 0,
        max_wait_s: 0,
        max_queued_tokens: 0,
        home_regions: regions(homes),
    }
}

fn tenant(homes: &[&str]) -> Tenant {
    Tenant {
        name: "t1".parse().expect("a name"),
        priority: None,
        limit: None,
        home_regions: regions(homes),
    }
}

fn configuration(routes: Vec<Route>, homes: &[&str]) -> Configuration {
    let mut tenants = Tenants::default();
    tenants.add(tenant(homes), &[]).expect("a tenant");
    Configuration {
        version: 1,
        routes,
        services: Vec::new(),
        limits: TrafficLimits {
            max_body_bytes: 1,
            idle_timeout_ms: 1,
        },
        tenants: Some(tenants),
    }
}

fn zones(homes: &HomeRegions) -> Vec<&'static str> {
    let zones = ["a1", "a2", "b1", "c1", "elsewhere"].into_iter();
    zones
        .filter(|zone| homes.allows_zone(zone, &places()))
        .collect()
}

#[gtest]
fn route_and_tenant_regions_intersect() {
    let of = |on_route: &[&str], of_tenant: &[&str]| {
        HomeRegions::of(&route("r", on_route), Some(&tenant(of_tenant)))
    };
    expect_that!(zones(&of(&[], &[])).len(), eq(5));
    expect_that!(zones(&of(&["a"], &[])), elements_are![eq(&"a1"), eq(&"a2")]);
    expect_that!(zones(&of(&[], &["b"])), elements_are![eq(&"b1")]);
    expect_that!(
        zones(&of(&["a", "b"], &["b", "c"])),
        elements_are![eq(&"b1")]
    );
    expect_that!(zones(&of(&["a"], &["b"])), elements_are![]);
    expect_that!(
        zones(&HomeRegions::of(&route("r", &["c"]), None)),
        elements_are![eq(&"c1")]
    );
}

#[gtest]
fn unknown_regions() {
    // Without regions in the settings, a restricted request is allowed in no zone.
    let bound = HomeRegions::of(&route("r", &["a"]), None);
    expect_that!(bound.allows_zone("a1", &Topology::default()), eq(false));
    let configuration = configuration(vec![route("one", &["a", "x"]), route("two", &[])], &["y"]);
    let unknown = configuration.unknown_home_regions(&places());
    let unknown: Vec<String> = unknown
        .iter()
        .map(|(place, region)| format!("{place} {region}"))
        .collect();
    expect_that!(
        unknown,
        elements_are![
            eq("routes.one.home_regions x"),
            eq("tenants.t1.home_regions y")
        ]
    );
}

#[gtest]
fn regions_of_hosts() {
    let homes =
        |routes: Vec<Route>| configuration(routes, &[]).home_regions_of_host("shop.example");
    let bound = homes(vec![route("one", &["a"]), route("two", &["b"])]);
    expect_that!(bound.len(), eq(2));
    // One unrestricted route makes the host unrestricted.
    expect_that!(
        homes(vec![route("one", &["a"]), route("two", &[])]),
        elements_are![]
    );
    expect_that!(homes(Vec::new()), elements_are![]);
}

#[gtest]
fn regions_of_jobs() {
    let config = configuration(vec![route("one", &["a", "b"])], &["b"]);
    expect_that!(
        zones(&HomeRegions::of_job(&config, "one", "t1")),
        elements_are![eq(&"b1")]
    );
    expect_that!(
        zones(&HomeRegions::of_job(&config, "one", "")),
        elements_are![eq(&"a1"), eq(&"a2"), eq(&"b1")]
    );
    expect_that!(
        HomeRegions::of_job(&config, "gone", "t1").is_restricted(),
        eq(false)
    );
    expect_that!(config.has_home_regions(), eq(true));
    expect_that!(
        configuration(vec![route("one", &[])], &[]).has_home_regions(),
        eq(false)
    );
}

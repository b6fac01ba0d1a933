//! Selection of a route and its service.

use dappleyard_model::{Configuration, Route, RouteKind, Target, TrafficLimits};
use googletest::prelude::*;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Streaming,
        timeout_ms: 1_000,
        target_ms: 100,
        patience_ms: 2_000,
        priority: 0,
        public: false,
        targets: vec![
            Target {
                service: "a".to_owned(),
                weight: 90,
            },
            Target {
                service: "b".to_owned(),
                weight: 10,
            },
        ],
        max_attempts: 1,
        resumable: false,
        result_target_ms: 0,
        max_wait_s: 0,
        max_queued_tokens: 0,
        home_regions: Vec::new(),
    }
}

#[gtest]
fn longest_prefix_wins() {
    let configuration = Configuration {
        version: 1,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        services: Vec::new(),
        limits: TrafficLimits {
            max_body_bytes: 1,
            idle_timeout_ms: 1,
        },
        tenants: None,
    };
    let name = |host, path| {
        configuration
            .route(host, path)
            .map(|route| route.name.clone())
    };
    expect_that!(name("shop.example", "/a/x"), some(eq("short")));
    expect_that!(name("SHOP.example:8080", "/a/b/x"), some(eq("long")));
    expect_that!(name("shop.example", "/a"), none());
    expect_that!(name("other.example", "/a/x"), none());
}

#[gtest]
fn services_are_picked_by_weight() {
    let route = route("r", "/");
    let steps = 1_000_u32;
    let first = (0..steps)
        .filter(|step| route.pick_service(step * (u32::MAX / steps)) == Some("a"))
        .count();
    expect_that!(first, ge(899));
    expect_that!(first, le(901));
    expect_that!(route.pick_service(u32::MAX), some(eq("b")));
}

#[gtest]
fn repeatable_route_kinds() {
    let mut route = route("r", "/");
    expect_that!(route.may_repeat(), eq(false));
    route.resumable = true;
    expect_that!(route.may_repeat(), eq(true));
    route.kind = RouteKind::Unsafe;
    expect_that!(route.may_repeat(), eq(false));
}

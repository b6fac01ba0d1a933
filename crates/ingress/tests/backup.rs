//! Which streams have their memory copied, and to which server.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::LoadSummary;
use dappleyard_ingress::{choose_backup, copies_now, takes_backup};
use dappleyard_model::{Route, RouteKind, ServerRecord, Service};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn server(number: u16, zone: &str) -> Arc<ServerRecord> {
    Arc::new(ServerRecord {
        id: format!("i-{number}"),
        instance: format!("i-{number}"),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], number).into(),
        zone: zone.to_owned(),
        slots: 8,
        draining: false,
        cold_left_ms: 0,
    })
}

fn service() -> Service {
    Service {
        name: "llm".to_owned(),
        max_conns: 100,
        health_path: String::new(),
        cold_start_ms: 0,
        cold_per_s: 0.0,
        stream_backups: true,
        memory_tokens: 16_000,
    }
}

fn route() -> Route {
    Route {
        name: "plain".to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: "/plain/".to_owned(),
        kind: RouteKind::Streaming,
        timeout_ms: 3_000,
        target_ms: 200,
        patience_ms: 2_000,
        priority: 0,
        public: true,
        targets: Vec::new(),
        max_attempts: 1,
        resumable: false,
        result_target_ms: 0,
        max_wait_s: 0,
        max_queued_tokens: 0,
        home_regions: Vec::new(),
    }
}

#[gtest]
fn which_streams() {
    let takes = |route: &Route, service: &Service, tokens| takes_backup(route, service, tokens, 8);
    expect_that!(takes(&route(), &service(), 1_000), eq(true));
    // Eight runs and eight copies of this size do not fit.
    expect_that!(takes(&route(), &service(), 1_001), eq(false));
    let resumable = Route {
        resumable: true,
        ..route()
    };
    expect_that!(takes(&resumable, &service(), 100), eq(false));
    let single = Route {
        kind: RouteKind::Unsafe,
        ..route()
    };
    expect_that!(takes(&single, &service(), 100), eq(false));
    let without = Service {
        stream_backups: false,
        ..service()
    };
    expect_that!(takes(&route(), &without, 100), eq(false));
}

#[gtest]
fn only_for_a_while() {
    expect_that!(copies_now(None), eq(false));
    expect_that!(copies_now(Some(Duration::from_secs(29))), eq(true));
    expect_that!(copies_now(Some(Duration::from_secs(30))), eq(false));
}

#[gtest]
fn never_itself() {
    let own = server(1, "north");
    let open = [own.clone(), server(2, "south")];
    let load = |_: &ServerRecord| LoadSummary::default();
    let chosen = choose_backup(&own, open.iter(), load, &mut StdRng::seed_from_u64(1));
    expect_that!(chosen, none());
}

#[gtest]
fn spread_over_the_zone() {
    let servers: Vec<_> = (1..=9).map(|number| server(number, "north")).collect();
    let load = |_: &ServerRecord| LoadSummary::default();
    let mut random = StdRng::seed_from_u64(1);
    let mut chosen = [0; 10];
    for _ in 0..800 {
        let backup = choose_backup(&servers[0], servers.iter(), load, &mut random);
        chosen[usize::from(backup.expect("a server").address.port())] += 1;
    }
    expect_that!(chosen[2..], each(ge(&50)));
}

#[gtest]
fn not_a_suspect() {
    let servers: Vec<_> = (1..=3).map(|number| server(number, "north")).collect();
    let load = |server: &ServerRecord| LoadSummary {
        suspect: server.id == "i-2",
        online: 8,
        ..LoadSummary::default()
    };
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let chosen = choose_backup(&servers[0], servers.iter(), load, &mut random);
        expect_that!(chosen.map(|server| server.id.clone()), some(eq("i-3")));
    }
}

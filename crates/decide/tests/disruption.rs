//! Disruption budgets, rollouts, plan waves and demand windows.

use std::collections::BTreeMap;

use dappleyard_decide::disruption::{
    Budget, BudgetContext, DisruptionDecision, InFlight, Replica, ReplicaState, may_disrupt,
};
use dappleyard_decide::plans::{AfterWave, PlannedServer, WaveBounds, waves};
use dappleyard_decide::rollout::{
    Gate, GateBounds, ServerView, Target, assign, canary_count, gate,
};
use dappleyard_decide::windows::{WindowState, state};
use dappleyard_wire::messages::WindowRow;
use googletest::prelude::*;

fn replica(server: &str, state: ReplicaState) -> Replica {
    Replica {
        server: server.to_owned(),
        zone: "z".to_owned(),
        state,
    }
}

fn decision(
    candidate: &str,
    replicas: &[Replica],
    in_flight: &[InFlight],
    zone: u32,
) -> DisruptionDecision {
    let context = BudgetContext {
        replicas,
        in_flight,
        timeout_ms: 1_000,
        now_ms: 10_000,
    };
    let candidate = replicas.iter().find(|one| one.server == candidate);
    let candidate = candidate.expect("a known replica");
    may_disrupt(candidate, context, Budget::of_row(zone, 0))
}

fn flight(server: &str, since_ms: u64) -> InFlight {
    InFlight {
        server: server.to_owned(),
        zone: "z".to_owned(),
        since_ms,
    }
}

#[gtest]
fn in_flight_disruption_counts_until_its_timeout() {
    let replicas = ["a", "b", "c"].map(|name| replica(name, ReplicaState::Healthy));
    expect_that!(
        decision("b", &replicas, &[], 1),
        eq(&DisruptionDecision::Allowed)
    );
    let recent = [flight("a", 9_500)];
    expect_that!(
        decision("b", &replicas, &recent, 1),
        pat!(DisruptionDecision::Denied(_))
    );
    expect_that!(
        decision("a", &replicas, &recent, 1),
        eq(&DisruptionDecision::AlreadyInFlight)
    );
    let old = [flight("a", 8_000)];
    expect_that!(
        decision("b", &replicas, &old, 1),
        eq(&DisruptionDecision::Allowed)
    );
}

#[gtest]
fn unhealthy_replica_is_disrupted_only_if_enough_others_are_healthy() {
    let mut replicas = ["a", "b", "c"].map(|name| replica(name, ReplicaState::Healthy));
    replicas[0].state = ReplicaState::Unhealthy;
    expect_that!(
        decision("a", &replicas, &[], 1),
        eq(&DisruptionDecision::AllowedUnhealthy)
    );
    expect_that!(
        decision("b", &replicas, &[], 1),
        pat!(DisruptionDecision::Denied(_))
    );
    replicas[1].state = ReplicaState::Unhealthy;
    expect_that!(
        decision("a", &replicas, &[], 1),
        pat!(DisruptionDecision::Denied(_))
    );
}

#[gtest]
fn removed_replicas_are_not_expected_to_serve() {
    let mut replicas = ["a", "b", "c"].map(|name| replica(name, ReplicaState::Healthy));
    replicas[0].state = ReplicaState::Removed;
    expect_that!(
        decision("b", &replicas, &[], 1),
        eq(&DisruptionDecision::Allowed)
    );
}

fn view(server: &str, version: &str) -> ServerView {
    ServerView {
        server: server.to_owned(),
        zone: "z".to_owned(),
        reachable: true,
        leaving: false,
        version: version.to_owned(),
        loading: String::new(),
        load_failure: String::new(),
        step_ms: 3.0,
        failed_observations: 0,
        observations: 10,
    }
}

fn target(canary: &str) -> Target {
    Target {
        version: "v1".to_owned(),
        canary: canary.to_owned(),
        canary_percent: 25,
        replicas: 0,
    }
}

#[gtest]
fn canary_count_is_at_least_one_and_below_all() {
    let cases = [
        (0, 10, 0),
        (1, 10, 1),
        (2, 100, 1),
        (12, 10, 2),
        (100, 10, 10),
    ];
    for (servers, percent, canaries) in cases {
        expect_that!(canary_count(servers, percent), eq(canaries));
    }
}

#[gtest]
fn servers_with_the_canary_version_stay_canaries() {
    let servers = [
        view("a", "v1"),
        view("b", "v2"),
        view("c", "v1"),
        view("d", "v1"),
    ];
    let assigned = assign(&target("v2"), &servers);
    let canary: Vec<&str> = assigned
        .iter()
        .filter(|one| one.version == "v2")
        .map(|one| one.server.as_str())
        .collect();
    expect_that!(canary, elements_are![eq(&"b")]);
}

#[gtest]
fn gate_waits_promotes_and_rolls_back_with_a_reason() {
    let bounds = GateBounds {
        watch_ms: 1_000,
        error_percent: 5,
        step_percent: 200,
    };
    let healthy = [
        view("a", "v2"),
        view("b", "v1"),
        view("c", "v1"),
        view("d", "v1"),
    ];
    let judge = |servers: &[ServerView], watched| gate(&target("v2"), servers, watched, bounds);
    expect_that!(judge(&healthy, Some(500)), pat!(Gate::Wait(_)));
    expect_that!(judge(&healthy, Some(1_000)), pat!(Gate::Promote(_)));
    let mut failing = healthy.clone();
    failing[0].failed_observations = 2;
    expect_that!(
        judge(&failing, Some(1_000)),
        pat!(Gate::RollBack(contains_substring("2 of 10")))
    );
    let mut slow = healthy.clone();
    slow[0].step_ms = 7.0;
    expect_that!(
        judge(&slow, Some(500)),
        pat!(Gate::RollBack(contains_substring("7.0 ms")))
    );
    let mut broken = healthy;
    broken[0].version = "v1".to_owned();
    broken[0].load_failure = "v2: no such weights".to_owned();
    expect_that!(
        judge(&broken, None),
        pat!(Gate::RollBack(contains_substring("no such weights")))
    );
}

#[gtest]
fn waves_respect_the_budget_and_report_capacity() {
    let servers: Vec<PlannedServer> = (0..4)
        .map(|number| PlannedServer {
            server: format!("s{number}"),
            service: "x".to_owned(),
            zone: "z".to_owned(),
            serving: number != 3,
        })
        .collect();
    let bounds = WaveBounds {
        budgets: BTreeMap::from([("x".to_owned(), Budget::of_row(1, 0))]),
        concurrency: usize::MAX,
    };
    let out = waves(&servers, &servers, &bounds, AfterWave::StayOut);
    let serving: Vec<u32> = out.iter().map(|wave| wave.capacity[0].serving).collect();
    expect_that!(serving, elements_are![eq(&2), eq(&1), eq(&0)]);
    // The server that is not serving is part of the first wave.
    expect_that!(out[0].servers, elements_are![eq("s0"), eq("s3")]);
    let back = waves(&servers, &servers, &bounds, AfterWave::Return);
    expect_that!(
        back.iter().map(|wave| wave.capacity[0].serving).min(),
        some(eq(2))
    );
}

#[gtest]
fn window_warms_before_it_opens_and_may_cross_midnight() {
    // 1970-01-01 was a Thursday: bit 3.
    let window = WindowRow {
        start_s: 82_800,
        end_s: 3_600,
        days: 1 << 3,
        warm_before_s: 600,
        ..WindowRow::default()
    };
    let cases = [
        (82_000, WindowState::Closed),
        (82_300, WindowState::Warming),
        (82_800, WindowState::Open),
        (86_400 + 3_599, WindowState::Open),
        (86_400 + 3_600, WindowState::Closed),
        (86_400 + 82_800, WindowState::Closed),
    ];
    for (now, expected) in cases {
        expect_that!(state(&window, now), eq(expected), "{now}");
    }
}

//! Suspicion of zones whose servers fall silent together.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::{ServerObservation, ZoneSuspicion};
use googletest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Servers of a zone: silent ones, responding ones, and ones without recent requests.
fn observations(
    zone: &'static str,
    silent: usize,
    answering: usize,
    unused: usize,
) -> Vec<ServerObservation<'static>> {
    let sign = |suspect, silence| ServerObservation {
        zone,
        suspect,
        silence,
    };
    let silent = vec![sign(true, Some(ms(900))); silent];
    let answering = vec![sign(false, Some(ms(40))); answering];
    let unused = vec![sign(false, Some(ms(5_000))); unused];
    [silent, answering, unused].concat()
}

fn with_healthy_zone(north: Vec<ServerObservation<'static>>) -> Vec<ServerObservation<'static>> {
    [north, observations("south", 0, 20, 10)].concat()
}

#[gtest]
fn common_silence_starts_suspicion() {
    let now = Instant::now();
    let mut zones = ZoneSuspicion::default();
    // A sixth of the servers is down.
    zones.evaluate(&with_healthy_zone(observations("north", 5, 20, 5)), now);
    expect_that!(zones.any_suspected(), eq(false));
    let changes = zones.evaluate(&with_healthy_zone(observations("north", 4, 1, 25)), now);
    expect_that!(changes.len(), eq(1));
    expect_that!(zones.is_restricted("north"), eq(true));
    expect_that!(zones.is_restricted("south"), eq(false));
    // The change is returned only once.
    let again = zones.evaluate(
        &with_healthy_zone(observations("north", 9, 0, 21)),
        now + ms(100),
    );
    expect_that!(again.len(), eq(0));
}

#[gtest]
fn few_responses_end_suspicion() {
    let now = Instant::now();
    let mut zones = ZoneSuspicion::default();
    zones.evaluate(&with_healthy_zone(observations("north", 8, 0, 22)), now);
    // Bytes from before the silence do not count as a response.
    let mut observations = observations("north", 8, 0, 20);
    observations.extend(vec![
        ServerObservation {
            zone: "north",
            suspect: false,
            silence: Some(ms(400)),
        };
        2
    ]);
    zones.evaluate(&with_healthy_zone(observations.clone()), now + ms(300));
    expect_that!(zones.is_restricted("north"), eq(true));
    let changes = zones.evaluate(&with_healthy_zone(observations), now + ms(500));
    expect_that!(
        changes[0].lasted.map(|lasted| lasted.as_millis()),
        some(eq(500))
    );
    expect_that!(zones.is_restricted("north"), eq(false));
}

#[gtest]
fn flapping_zone_needs_more_responses() {
    let mut now = Instant::now();
    let mut zones = ZoneSuspicion::default();
    let mut needed = Vec::new();
    for _ in 0..4 {
        zones.evaluate(&with_healthy_zone(observations("north", 8, 0, 22)), now);
        now += ms(200);
        let enough = (1..=20).find(|answering| {
            zones.evaluate(
                &with_healthy_zone(observations("north", 8, *answering, 22)),
                now,
            );
            !zones.any_suspected()
        });
        needed.push(enough.unwrap_or(0));
        now += ms(500);
    }
    expect_that!(needed, eq(&vec![2, 4, 8, 16]));
    // After a calm period the initial requirement applies again.
    now += ms(4_000);
    zones.evaluate(&with_healthy_zone(observations("north", 8, 0, 22)), now);
    zones.evaluate(
        &with_healthy_zone(observations("north", 8, 2, 20)),
        now + ms(200),
    );
    expect_that!(zones.any_suspected(), eq(false));
}

#[gtest]
fn isolated_node_restricts_no_zone() {
    // An isolated node receives nothing from other zones; its own stays usable.
    let now = Instant::now();
    let mut zones = ZoneSuspicion::default();
    let mut seen = observations("north", 0, 6, 20);
    seen.extend(observations("south", 8, 0, 20));
    seen.extend(observations("west", 8, 0, 20));
    zones.evaluate(&seen, now);
    let held = ["north", "south", "west"].map(|zone| zones.is_restricted(zone));
    expect_that!(held, eq([false, true, true]));
    // If no zone responds, none is restricted.
    let mut seen = observations("north", 8, 0, 20);
    seen.extend(observations("south", 8, 0, 20));
    seen.extend(observations("west", 8, 0, 20));
    zones.evaluate(&seen, now + ms(100));
    let held = ["north", "south", "west"].map(|zone| zones.is_restricted(zone));
    expect_that!(held, eq([false, false, false]));
}

#[gtest]
fn small_zones() {
    let now = Instant::now();
    let mut zones = ZoneSuspicion::default();
    zones.evaluate(&with_healthy_zone(observations("north", 1, 0, 0)), now);
    expect_that!(zones.any_suspected(), eq(false));
    zones.evaluate(&with_healthy_zone(observations("north", 2, 0, 0)), now);
    expect_that!(zones.is_restricted("north"), eq(true));
    // Its servers are no longer registered.
    let changes = zones.evaluate(&with_healthy_zone(Vec::new()), now);
    expect_that!((changes.len(), changes[0].suspected), eq((1, false)));
    expect_that!(zones.any_suspected(), eq(false));
}

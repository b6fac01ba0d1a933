//! Suspicion of zones whose servers fall silent together.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::{ServerSign, ZoneSuspicion};
use googletest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Servers of a zone: silent ones, responding ones, and ones without recent requests.
fn signs(
    zone: &'static str,
    silent: usize,
    answering: usize,
    unasked: usize,
) -> Vec<ServerSign<'static>> {
    let sign = |suspect, silence| ServerSign {
        zone,
        suspect,
        silence,
    };
    let silent = vec![sign(true, Some(ms(900))); silent];
    let answering = vec![sign(false, Some(ms(40))); answering];
    let unasked = vec![sign(false, Some(ms(5_000))); unasked];
    [silent, answering, unasked].concat()
}

fn both(north: Vec<ServerSign<'static>>) -> Vec<ServerSign<'static>> {
    [north, signs("south", 0, 20, 10)].concat()
}

#[gtest]
fn silent_together() {
    let now = Instant::now();
    let mut zones = ZoneSuspicion::default();
    // A sixth of the servers is down.
    zones.judge(&both(signs("north", 5, 20, 5)), now);
    expect_that!(zones.is_any(), eq(false));
    let changes = zones.judge(&both(signs("north", 4, 1, 25)), now);
    expect_that!(changes.len(), eq(1));
    expect_that!(zones.holds_back("north"), eq(true));
    expect_that!(zones.holds_back("south"), eq(false));
    // The change is returned only once.
    let again = zones.judge(&both(signs("north", 9, 0, 21)), now + ms(100));
    expect_that!(again.len(), eq(0));
}

#[gtest]
fn few_answers() {
    let now = Instant::now();
    let mut zones = ZoneSuspicion::default();
    zones.judge(&both(signs("north", 8, 0, 22)), now);
    // Bytes from before the silence do not count as a response.
    let mut signs = signs("north", 8, 0, 20);
    signs.extend(vec![
        ServerSign {
            zone: "north",
            suspect: false,
            silence: Some(ms(400)),
        };
        2
    ]);
    zones.judge(&both(signs.clone()), now + ms(300));
    expect_that!(zones.holds_back("north"), eq(true));
    let changes = zones.judge(&both(signs), now + ms(500));
    expect_that!(
        changes[0].lasted.map(|lasted| lasted.as_millis()),
        some(eq(500))
    );
    expect_that!(zones.holds_back("north"), eq(false));
}

#[gtest]
fn flapping_zone() {
    let mut now = Instant::now();
    let mut zones = ZoneSuspicion::default();
    let mut needed = Vec::new();
    for _ in 0..4 {
        zones.judge(&both(signs("north", 8, 0, 22)), now);
        now += ms(200);
        let enough = (1..=20).find(|answering| {
            zones.judge(&both(signs("north", 8, *answering, 22)), now);
            !zones.is_any()
        });
        needed.push(enough.unwrap_or(0));
        now += ms(500);
    }
    expect_that!(needed, eq(&vec![2, 4, 8, 16]));
    // After a calm period the initial requirement applies again.
    now += ms(4_000);
    zones.judge(&both(signs("north", 8, 0, 22)), now);
    zones.judge(&both(signs("north", 8, 2, 20)), now + ms(200));
    expect_that!(zones.is_any(), eq(false));
}

#[gtest]
fn all_silent() {
    // An isolated node receives nothing from other zones; its own stays usable.
    let now = Instant::now();
    let mut zones = ZoneSuspicion::default();
    let mut seen = signs("north", 0, 6, 20);
    seen.extend(signs("south", 8, 0, 20));
    seen.extend(signs("west", 8, 0, 20));
    zones.judge(&seen, now);
    let held = ["north", "south", "west"].map(|zone| zones.holds_back(zone));
    expect_that!(held, eq([false, true, true]));
    // If no zone responds, none is restricted.
    let mut seen = signs("north", 8, 0, 20);
    seen.extend(signs("south", 8, 0, 20));
    seen.extend(signs("west", 8, 0, 20));
    zones.judge(&seen, now + ms(100));
    let held = ["north", "south", "west"].map(|zone| zones.holds_back(zone));
    expect_that!(held, eq([false, false, false]));
}

#[gtest]
fn small_zones() {
    let now = Instant::now();
    let mut zones = ZoneSuspicion::default();
    zones.judge(&both(signs("north", 1, 0, 0)), now);
    expect_that!(zones.is_any(), eq(false));
    zones.judge(&both(signs("north", 2, 0, 0)), now);
    expect_that!(zones.holds_back("north"), eq(true));
    // Its servers are no longer registered.
    let changes = zones.judge(&both(Vec::new()), now);
    expect_that!((changes.len(), changes[0].suspected), eq((1, false)));
    expect_that!(zones.is_any(), eq(false));
}

//! Batch capacity, ranking, server choice, claim policy and the bitmap of the items whose results are committed.

use std::time::Duration;

use dappleyard_cluster::{LoadSummary, PeerStatus, Slowdown, WarmupState};
use dappleyard_jobs::continuation::{self, Continuation};
use dappleyard_jobs::{
    ClaimContext, JobRow, RunEstimate, ServerCapacity, capacity, may_claim, pick_server, rank,
};
use googletest::prelude::*;

fn load(online: u32, batch: u32) -> LoadSummary {
    LoadSummary {
        online,
        batch,
        ..Default::default()
    }
}

#[gtest]
fn batch_capacity_reserves_one_slot() {
    for (online, batch, expected) in [
        (0, 0, 11),
        (0, 11, 0),
        (5, 2, 4),
        (11, 0, 0),
        (12, 9, 0),
        (20, 0, 0),
    ] {
        expect_that!(
            capacity(12, &load(online, batch)),
            eq(expected),
            "{online} {batch}"
        );
    }
}

#[gtest]
fn suspect_servers_and_servers_with_queued_prompts_accept_no_items() {
    let suspect = LoadSummary {
        suspect: true,
        ..Default::default()
    };
    let with_queued_prompts = LoadSummary {
        unread_tokens: 9_000,
        ..Default::default()
    };
    expect_that!(
        (capacity(12, &suspect), capacity(12, &with_queued_prompts)),
        eq((0, 0))
    );
}

#[gtest]
fn cold_servers_accept_no_items() {
    // Capacity of an idle server with this warm-up state.
    let at = |warmup_state| {
        let load = LoadSummary {
            warmup_state,
            ..load(0, 0)
        };
        capacity(8, &load)
    };
    // `None`: no limit for cold servers is configured, so the state is not tracked and every server counts as warm.
    let warm = [None, Some(WarmupState::Warm)].map(at);
    expect_that!(warm, each(eq(7)));
    let other = [
        WarmupState::Cold,
        WarmupState::InDoubt,
        WarmupState::Unknown,
    ];
    expect_that!(
        other.map(|warmup_state| at(Some(warmup_state))),
        each(eq(0))
    );
}

#[gtest]
fn prefers_server_of_previous_run_unless_busier() {
    let server = |id, online| ServerCapacity {
        id,
        zone: "north",
        slots: 12,
        load: load(online, 0),
    };
    let servers = [server("a", 0), server("b", 0)];
    for last in ["a", "b"] {
        let chosen = pick_server(&servers, "node", "north", Some(last)).map(|picked| picked.id);
        expect_that!(chosen, some(eq(last)));
    }
    let servers = [server("a", 9), server("b", 0)];
    let chosen = pick_server(&servers, "node", "north", Some("a")).map(|picked| picked.id);
    expect_that!(chosen, some(eq("b")));
    let servers = [server("a", 11), server("b", 12)];
    expect_that!(
        pick_server(&servers, "node", "north", None).is_none(),
        eq(true)
    );
}

#[gtest]
fn on_time_items_rank_before_late_ones() {
    // Arguments: due time, estimated run time, current time (all in ms) and priority. Due at 9,000, the first is late.
    let mut ranks = [
        rank(9_000, 2_000, 10_000, 0),
        rank(15_000, 2_000, 10_000, 0),
        rank(12_500, 2_000, 10_000, 0),
    ];
    ranks.sort_unstable();
    let due: Vec<u64> = ranks.iter().map(|rank| rank.due_ms).collect();
    expect_that!(due, eq(&[12_500, 15_000, 9_000]));
}

#[gtest]
fn priority_orders_on_time_items() {
    // Priority 0 is the highest. The item due at 9,000 is late, so it comes last in spite of its priority.
    let mut ranks = [
        rank(12_500, 2_000, 10_000, 2),
        rank(15_000, 2_000, 10_000, 0),
        rank(9_000, 2_000, 10_000, 0),
    ];
    ranks.sort_unstable();
    let due: Vec<u64> = ranks.iter().map(|rank| rank.due_ms).collect();
    expect_that!(due, eq(&[15_000, 12_500, 9_000]));
}

#[gtest]
fn estimate_follows_recorded_runs() {
    let mut estimate = RunEstimate::default();
    // Each item has 100 events and takes 1,000 ms.
    for _ in 0..200 {
        estimate.record_events(100);
        estimate.record_run(100, 1_000);
    }
    let near = |ms: u64, expected: u64| ms.abs_diff(expected) <= 5;
    expect_that!(near(estimate.remaining_ms(0), 1_000), eq(true));
    expect_that!(near(estimate.remaining_ms(60), 400), eq(true));
    // An item that has exceeded the average still has some estimated time left.
    expect_that!(estimate.remaining_ms(150), ge(50));
    // A run without events says nothing about the time per event.
    estimate.record_run(0, 5_000);
    expect_that!(near(estimate.remaining_ms(0), 1_000), eq(true));
}

#[gtest]
fn bitmap_of_listed_items() {
    let mut row = JobRow::default();
    for item in [0, 9, 199] {
        row.listed_items = row.with_listed(item);
    }
    let listed: Vec<usize> = (0..300).filter(|item| row.is_listed(*item)).collect();
    expect_that!(listed, eq(&[0, 9, 199]));
}

#[gtest]
fn claim_requires_stable_observer() {
    let claims = |owner, suspected, stable_for| {
        may_claim(ClaimContext {
            owner,
            suspected_for: Duration::from_millis(suspected),
            stable_for: Duration::from_millis(stable_for),
            store_reachable: true,
            since_lost: None,
        })
    };
    // A released job is claimed at once.
    expect_that!(claims(None, 0, 0), eq(true));
    // A job whose owner was restarted is claimed after 250 ms, when updates of its row are no longer in transit.
    let replaced = Some(PeerStatus::Replaced);
    expect_that!(
        (claims(replaced, 100, 9_000), claims(replaced, 300, 0)),
        eq((false, true))
    );
    // A job whose owner is down is claimed only by a node that has not stalled for 1,000 ms, since a stalled node has
    // missed heartbeats itself.
    let down = Some(PeerStatus::Down);
    expect_that!(
        (claims(down, 300, 500), claims(down, 300, 1_000)),
        eq((false, true))
    );
    // A job whose owner cannot reach the store is claimed only by a node that has been stable for 2,500 ms: right after
    // a store outage, all nodes still appear isolated to each other.
    let isolated = Some(PeerStatus::Isolated);
    expect_that!(
        (claims(isolated, 900, 1_500), claims(isolated, 900, 2_500)),
        eq((false, true))
    );
    for alive in [PeerStatus::Ready, PeerStatus::Present] {
        expect_that!(claims(Some(alive), 60_000, 60_000), eq(false));
    }
}

#[gtest]
fn job_lost_to_another_node_is_not_reclaimed_at_once() {
    let context = ClaimContext {
        owner: Some(PeerStatus::Down),
        suspected_for: Duration::from_secs(3),
        stable_for: Duration::from_secs(3),
        store_reachable: true,
        since_lost: None,
    };
    expect_that!(may_claim(context), eq(true));
    // Without the store, a node's view of the owner is unreliable.
    expect_that!(
        may_claim(ClaimContext {
            store_reachable: false,
            ..context
        }),
        eq(false)
    );
    // This node lost the job to another node so many milliseconds ago.
    let since_lost = |ms| ClaimContext {
        since_lost: Some(Duration::from_millis(ms)),
        ..context
    };
    expect_that!(may_claim(since_lost(1_000)), eq(false));
    expect_that!(may_claim(since_lost(6_000)), eq(true));
    // The delay does not apply if the owner was restarted: its new process does not own the job.
    let replaced = ClaimContext {
        owner: Some(PeerStatus::Replaced),
        ..since_lost(1_000)
    };
    expect_that!(may_claim(replaced), eq(true));
}

#[gtest]
fn slow_servers_reserve_more_slots() {
    // Run time in percent of normal: at 70 the server is faster than normal, at 300 it takes three times as long.
    let at = |percent| LoadSummary {
        long_term_slowdown: Slowdown::of_percent(percent).unwrap_or_default(),
        ..load(2, 2)
    };
    expect_that!(
        [70, 100, 300].map(|percent| capacity(8, &at(percent))),
        eq([3, 3, 1])
    );
}

#[gtest]
fn idle_slow_servers_accept_items() {
    // Otherwise items of a service that has only slow servers would never run.
    let idle = LoadSummary {
        long_term_slowdown: Slowdown::of_percent(800).unwrap_or_default(),
        ..load(0, 0)
    };
    expect_that!([2, 4, 8].map(|slots| capacity(slots, &idle)), eq([1, 2, 4]));
}

#[gtest]
fn prefers_faster_servers() {
    let server_with_load = |id, batch, percent| ServerCapacity {
        id,
        zone: "north",
        slots: 8,
        load: LoadSummary {
            long_term_slowdown: Slowdown::of_percent(percent).unwrap_or_default(),
            ..load(0, batch)
        },
    };
    let servers = [
        server_with_load("slow", 1, 300),
        server_with_load("fast", 4, 100),
    ];
    let chosen = pick_server(&servers, "front-a", "north", None).map(|server| server.id);
    expect_that!(chosen, some(eq("fast")));
    // A slow server is used once the fast ones are full.
    let servers = [
        server_with_load("slow", 1, 300),
        server_with_load("fast", 7, 100),
    ];
    let chosen = pick_server(&servers, "front-a", "north", None).map(|server| server.id);
    expect_that!(chosen, some(eq("slow")));
}

// Guards against an item that waits for ever for the software version that began it.
#[gtest]
fn wait_is_bounded_by_output() {
    let output_duration = Duration::from_millis(800);
    let decision =
        |waited_ms| continuation::decide(Duration::from_millis(waited_ms), output_duration);
    expect_that!(decision(0), eq(Continuation::Wait));
    expect_that!(decision(799), eq(Continuation::Wait));
    expect_that!(decision(800), eq(Continuation::Restart));
    // Nothing is lost by starting anew.
    let without_output = continuation::decide(Duration::ZERO, Duration::ZERO);
    expect_that!(without_output, eq(Continuation::Restart));
}

//! Batch capacity, ranking, server choice, claim policy and the bitmap of listed items.

use std::time::Duration;

use dappleyard_cluster::{LoadSummary, PeerStatus, Slowdown, WarmupState};
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
fn suspect_or_busy_servers_accept_no_items() {
    let suspect = LoadSummary {
        suspect: true,
        ..Default::default()
    };
    let reading = LoadSummary {
        unread_tokens: 9_000,
        ..Default::default()
    };
    expect_that!((capacity(12, &suspect), capacity(12, &reading)), eq((0, 0)));
}

#[gtest]
fn cold_servers_accept_no_items() {
    let at = |warmup_state| {
        let load = LoadSummary {
            warmup_state,
            ..load(0, 0)
        };
        capacity(8, &load)
    };
    // Without a limit for cold servers, the warm-up state is not tracked.
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
fn prefers_last_server_unless_busier() {
    let server = |id, online| ServerCapacity {
        id,
        zone: "north",
        slots: 12,
        load: load(online, 0),
    };
    let servers = [server("a", 0), server("b", 0)];
    for last in ["a", "b"] {
        let chosen = pick_server(&servers, "node", "north", Some(last)).map(|capacity| capacity.id);
        expect_that!(chosen, some(eq(last)));
    }
    let servers = [server("a", 9), server("b", 0)];
    let chosen = pick_server(&servers, "node", "north", Some("a")).map(|capacity| capacity.id);
    expect_that!(chosen, some(eq("b")));
    let servers = [server("a", 11), server("b", 12)];
    expect_that!(
        pick_server(&servers, "node", "north", None).is_none(),
        eq(true)
    );
}

#[gtest]
fn on_time_items_rank_before_late_ones() {
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
    for _ in 0..200 {
        estimate.record_events(100);
        estimate.record_run(100, 1_000);
    }
    let near = |ms: u64, expected: u64| ms.abs_diff(expected) <= 5;
    expect_that!(near(estimate.remaining_ms(0), 1_000), eq(true));
    expect_that!(near(estimate.remaining_ms(60), 400), eq(true));
    // An item that has exceeded the average still has some estimated time left.
    expect_that!(estimate.remaining_ms(150), ge(50));
    estimate.record_run(0, 5_000);
    expect_that!(near(estimate.remaining_ms(0), 1_000), eq(true));
}

#[gtest]
fn listed_items_bitmap() {
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
    // The owner's process was replaced: claimed once row updates in transit are ruled out.
    let replaced = Some(PeerStatus::Replaced);
    expect_that!(
        (claims(replaced, 100, 9_000), claims(replaced, 300, 0)),
        eq((false, true))
    );
    // An owner that is down: only if this node has not stalled recently.
    let down = Some(PeerStatus::Down);
    expect_that!(
        (claims(down, 300, 500), claims(down, 300, 1_000)),
        eq((false, true))
    );
    // An isolated owner: after a store outage every node appears isolated to the others for a while.
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
fn lost_job_is_not_reclaimed_at_once() {
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
    let since_lost = |ms| ClaimContext {
        since_lost: Some(Duration::from_millis(ms)),
        ..context
    };
    expect_that!(may_claim(since_lost(1_000)), eq(false));
    expect_that!(may_claim(since_lost(6_000)), eq(true));
    // A new process under the owner's name no longer owns the job.
    let replaced = ClaimContext {
        owner: Some(PeerStatus::Replaced),
        ..since_lost(1_000)
    };
    expect_that!(may_claim(replaced), eq(true));
}

#[gtest]
fn slow_servers_reserve_more_slots() {
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
    let at = |id, batch, percent| ServerCapacity {
        id,
        zone: "north",
        slots: 8,
        load: LoadSummary {
            long_term_slowdown: Slowdown::of_percent(percent).unwrap_or_default(),
            ..load(0, batch)
        },
    };
    let servers = [at("slow", 1, 300), at("fast", 4, 100)];
    let chosen = pick_server(&servers, "front-a", "north", None).map(|server| server.id);
    expect_that!(chosen, some(eq("fast")));
    // A slow server is used once the fast ones are full.
    let servers = [at("slow", 1, 300), at("fast", 7, 100)];
    let chosen = pick_server(&servers, "front-a", "north", None).map(|server| server.id);
    expect_that!(chosen, some(eq("slow")));
}

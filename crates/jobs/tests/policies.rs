//! Room for batch work, the order of items, and the bits of listed items.

use std::time::Duration;

use dappleyard_cluster::{LoadSummary, Pace, PeerStatus, Temperature};
use dappleyard_jobs::{
    Ground, JobRow, RunEstimate, ServerRoom, may_claim, pick_server, rank, room,
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
fn batch_work_takes_what_online_work_leaves_but_one_slot() {
    for (online, batch, expected) in [
        (0, 0, 11),
        (0, 11, 0),
        (5, 2, 4),
        (11, 0, 0),
        (12, 9, 0),
        (20, 0, 0),
    ] {
        expect_that!(
            room(12, &load(online, batch)),
            eq(expected),
            "{online} {batch}"
        );
    }
}

#[gtest]
fn a_server_that_is_suspect_or_has_much_to_read_takes_no_item() {
    let suspect = LoadSummary {
        suspect: true,
        ..Default::default()
    };
    let reading = LoadSummary {
        unread_tokens: 9_000,
        ..Default::default()
    };
    expect_that!((room(12, &suspect), room(12, &reading)), eq((0, 0)));
}

#[gtest]
fn no_item_goes_to_a_server_that_may_be_cold() {
    let at = |temperature| {
        let load = LoadSummary {
            temperature,
            ..load(0, 0)
        };
        room(8, &load)
    };
    // Nobody follows the temperature where there is no bound.
    let warm = [None, Some(Temperature::Warm)].map(at);
    expect_that!(warm, each(eq(7)));
    let other = [
        Temperature::Cold,
        Temperature::InDoubt,
        Temperature::Unknown,
    ];
    expect_that!(other.map(|temperature| at(Some(temperature))), each(eq(0)));
}

#[gtest]
fn an_item_goes_back_to_its_server_unless_that_one_is_busier() {
    let server = |id, online| ServerRoom {
        id,
        zone: "north",
        slots: 12,
        load: load(online, 0),
    };
    let servers = [server("a", 0), server("b", 0)];
    for last in ["a", "b"] {
        let chosen = pick_server(&servers, "node", "north", Some(last)).map(|room| room.id);
        expect_that!(chosen, some(eq(last)));
    }
    let servers = [server("a", 9), server("b", 0)];
    let chosen = pick_server(&servers, "node", "north", Some("a")).map(|room| room.id);
    expect_that!(chosen, some(eq("b")));
    let servers = [server("a", 11), server("b", 12)];
    expect_that!(
        pick_server(&servers, "node", "north", None).is_none(),
        eq(true)
    );
}

#[gtest]
fn items_that_can_be_in_time_go_before_those_that_cannot() {
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
fn among_items_in_time_the_higher_priority_goes_first() {
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
fn the_estimate_follows_what_runs_took() {
    let mut estimate = RunEstimate::default();
    for _ in 0..200 {
        estimate.note_events(100);
        estimate.note_run(100, 1_000);
    }
    let near = |ms: u64, expected: u64| ms.abs_diff(expected) <= 5;
    expect_that!(near(estimate.remaining_ms(0), 1_000), eq(true));
    expect_that!(near(estimate.remaining_ms(60), 400), eq(true));
    // An item that goes on for longer than others still needs some time.
    expect_that!(estimate.remaining_ms(150), ge(50));
    estimate.note_run(0, 5_000);
    expect_that!(near(estimate.remaining_ms(0), 1_000), eq(true));
}

#[gtest]
fn listed_items_are_told_apart() {
    let mut row = JobRow::default();
    for item in [0, 9, 199] {
        row.listed_items = row.with_listed(item);
    }
    let listed: Vec<usize> = (0..300).filter(|item| row.is_listed(*item)).collect();
    expect_that!(listed, eq(&[0, 9, 199]));
}

#[gtest]
fn a_job_is_claimed_only_on_firm_ground() {
    let claims = |owner, suspected, steady| {
        may_claim(Ground {
            owner,
            suspected: Duration::from_millis(suspected),
            steady: Duration::from_millis(steady),
            answered: true,
            taken: None,
        })
    };
    // Given back: at once.
    expect_that!(claims(None, 0, 0), eq(true));
    // Another process has the name: as soon as rows that cross are ruled out.
    let replaced = Some(PeerStatus::Replaced);
    expect_that!(
        (claims(replaced, 100, 9_000), claims(replaced, 300, 0)),
        eq((false, true))
    );
    // Silence counts only for a node that was not itself paused a moment ago.
    let down = Some(PeerStatus::Down);
    expect_that!(
        (claims(down, 300, 500), claims(down, 300, 1_000)),
        eq((false, true))
    );
    // After an outage of the store every node seems cut off to the others for a while.
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
fn no_claims_to_and_fro() {
    let ground = Ground {
        owner: Some(PeerStatus::Down),
        suspected: Duration::from_secs(3),
        steady: Duration::from_secs(3),
        answered: true,
        taken: None,
    };
    expect_that!(may_claim(ground), eq(true));
    // Cut off from the store, a node's calls are passed on, but what it hears says little.
    expect_that!(
        may_claim(Ground {
            answered: false,
            ..ground
        }),
        eq(false)
    );
    let taken = |ms| Ground {
        taken: Some(Duration::from_millis(ms)),
        ..ground
    };
    expect_that!(may_claim(taken(1_000)), eq(false));
    expect_that!(may_claim(taken(6_000)), eq(true));
    // A new life under the owner's name has lost the job for certain.
    let replaced = Ground {
        owner: Some(PeerStatus::Replaced),
        ..taken(1_000)
    };
    expect_that!(may_claim(replaced), eq(true));
}

#[gtest]
fn slow_servers_are_not_filled() {
    let at = |percent| LoadSummary {
        lasting_pace: Pace::of_percent(percent).unwrap_or_default(),
        ..load(2, 2)
    };
    expect_that!(
        [70, 100, 300].map(|percent| room(8, &at(percent))),
        eq([3, 3, 1])
    );
}

#[gtest]
fn slow_but_idle() {
    // Small servers of any pace take some items, or those of a service of slow servers would wait for ever.
    let idle = LoadSummary {
        lasting_pace: Pace::of_percent(800).unwrap_or_default(),
        ..load(0, 0)
    };
    expect_that!([2, 4, 8].map(|slots| room(slots, &idle)), eq([1, 2, 4]));
}

#[gtest]
fn items_go_where_work_is_fast() {
    let at = |id, batch, percent| ServerRoom {
        id,
        zone: "north",
        slots: 8,
        load: LoadSummary {
            lasting_pace: Pace::of_percent(percent).unwrap_or_default(),
            ..load(0, batch)
        },
    };
    let servers = [at("slow", 1, 300), at("fast", 4, 100)];
    let chosen = pick_server(&servers, "front-a", "north", None).map(|server| server.id);
    expect_that!(chosen, some(eq("fast")));
    // A slow one with room is used once the others have none.
    let servers = [at("slow", 1, 300), at("fast", 7, 100)];
    let chosen = pick_server(&servers, "front-a", "north", None).map(|server| server.id);
    expect_that!(chosen, some(eq("slow")));
}

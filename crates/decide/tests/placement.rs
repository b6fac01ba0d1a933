//! Rendezvous hashing with bounded load, and expected waits.

use dappleyard_decide::placement::{
    AFFINITY_FLOOR_SEQUENCES, Affinity, Candidate, ServerCapacity, expected_wait_ms, rank,
};
use dappleyard_wire::hash::rendezvous_weight;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const KEYED: Affinity = Affinity {
    bound_percent: Some(125),
};
const UNKEYED: Affinity = Affinity {
    bound_percent: None,
};

fn candidates(key: u64, sequences: &[u32]) -> Vec<Candidate> {
    let numbered = sequences.iter().enumerate();
    numbered
        .map(|(index, sequences)| Candidate {
            weight: rendezvous_weight(key, &format!("server-{index}")),
            servers: 1,
            sequences: *sequences,
            wait_ms: 0,
        })
        .collect()
}

fn best(candidates: &[Candidate], affinity: Affinity) -> usize {
    let mut best = [0];
    assert_eq!(rank(candidates, affinity, &mut best), 1);
    best[0]
}

#[gtest]
fn rank_returns_at_most_the_number_of_candidates() {
    let mut best = [0, 0];
    expect_that!(rank(&[], KEYED, &mut best), eq(0));
    expect_that!(rank(&candidates(1, &[0]), KEYED, &mut best), eq(1));
}

#[gtest]
fn key_has_the_same_home_at_any_even_load() {
    for key in 0..200 {
        let home = best(&candidates(key, &[0; 20]), KEYED);
        let busy = best(&candidates(key, &[30; 20]), KEYED);
        expect_that!(busy, eq(home));
    }
}

#[gtest]
fn removed_candidate_moves_only_its_own_keys() {
    for key in 0..200 {
        let all = candidates(key, &[0; 20]);
        let home = best(&all, KEYED);
        let rest = &all[..19];
        let moved = best(rest, KEYED);
        if home != 19 {
            expect_that!(moved, eq(home));
        }
    }
}

#[gtest]
fn overloaded_home_is_replaced_by_the_next_in_hash_order() {
    for key in 0..200 {
        let home = best(&candidates(key, &[20; 20]), KEYED);
        let mut loads = [20; 20];
        loads[home] = 40;
        let second = best(&candidates(key, &loads), KEYED);
        expect_that!(second, not(eq(home)));
        let mut order = [0, 0];
        rank(&candidates(key, &[20; 20]), KEYED, &mut order);
        expect_that!(second, eq(order[1]));
    }
}

#[gtest]
fn load_below_the_floor_does_not_move_a_key() {
    let mut loads = [0; 20];
    let home = best(&candidates(7, &loads), KEYED);
    loads[home] = u32::try_from(AFFINITY_FLOOR_SEQUENCES).expect("small") - 1;
    expect_that!(best(&candidates(7, &loads), KEYED), eq(home));
}

#[gtest]
fn least_loaded_is_chosen_without_a_key() {
    let mut generator = StdRng::seed_from_u64(3);
    for key in 0..200 {
        let loads: Vec<u32> = (0..20).map(|_| generator.random_range(0..100)).collect();
        let chosen = best(&candidates(key, &loads), UNKEYED);
        expect_that!(Some(&loads[chosen]), eq(loads.iter().min()));
    }
}

#[gtest]
fn home_with_a_long_wait_is_not_chosen() {
    let mut all = candidates(11, &[5; 10]);
    let home = best(&all, KEYED);
    all[home].wait_ms = 200;
    expect_that!(best(&all, KEYED), not(eq(home)));
}

#[gtest]
fn load_stays_near_the_mean_with_a_popular_key() {
    let mut generator = StdRng::seed_from_u64(5);
    for _ in 0..20 {
        let servers = generator.random_range(2..40);
        let mut loads = vec![0_u32; servers];
        for _ in 0..servers * 40 {
            let popular = generator.random_bool(0.5);
            let key = if popular { 1 } else { generator.random() };
            let chosen = best(&candidates(key, &loads), KEYED);
            loads[chosen] += 1;
        }
        let highest = loads.iter().max().copied().unwrap_or_default();
        expect_that!(highest, le(40 * 125 / 100 + 2));
    }
}

#[gtest]
fn ranks_are_distinct_and_deterministic() {
    let mut generator = StdRng::seed_from_u64(9);
    for key in 0..100 {
        let loads: Vec<u32> = (0..16).map(|_| generator.random_range(0..60)).collect();
        let all = candidates(key, &loads);
        let (mut first, mut second) = ([0; 16], [0; 16]);
        expect_that!(rank(&all, KEYED, &mut first), eq(16));
        rank(&all, KEYED, &mut second);
        expect_that!(first, eq(second));
        first.sort_unstable();
        expect_that!(first.to_vec(), eq(&(0..16).collect::<Vec<usize>>()));
    }
}

fn server() -> ServerCapacity {
    ServerCapacity {
        online: 10,
        prefill_tokens: 0,
        online_tokens: 5_000,
        total_tokens: 60_000,
        maximum_sequences: 128,
        step_ms: 4.0,
    }
}

#[gtest]
fn server_with_free_capacity_has_no_wait() {
    expect_that!(expected_wait_ms(&server(), 500), eq(0));
}

#[gtest]
fn wait_grows_with_prefill_slots_and_memory() {
    let prefill = ServerCapacity {
        prefill_tokens: 5_120,
        ..server()
    };
    expect_that!(expected_wait_ms(&prefill, 500), eq(40));
    let mut last = 0;
    for online in [130, 160, 256, 512] {
        let full = ServerCapacity { online, ..server() };
        let wait_ms = expected_wait_ms(&full, 500);
        expect_that!(wait_ms, gt(last));
        last = wait_ms;
    }
    let memory = ServerCapacity {
        online_tokens: 60_000,
        online: 100,
        ..server()
    };
    expect_that!(expected_wait_ms(&memory, 600), gt(0));
}

//! Membership in a simulated network: loss, cuts, pauses, restarts, in virtual time.

mod support;

use dappleyard_decide::membership::Standing;
use dappleyard_wire::messages::MemberState;
use googletest::prelude::*;
use support::Network;

const SECOND: u64 = 1_000;

fn converged(count: usize, zones: usize, seed: u64) -> Network {
    let mut network = Network::new(count, zones, seed);
    let took = network.run_until(60 * SECOND, Network::agrees);
    assert!(
        took.is_some(),
        "{count} nodes did not find each other, seed {seed}"
    );
    network
}

#[gtest]
fn nodes_find_each_other_from_one_seed() {
    for seed in 0..5 {
        let network = converged(40, 3, seed);
        expect_that!(network.deaths, is_empty());
        expect_that!(network.largest_datagram, le(1400));
    }
}

#[gtest]
fn a_hundred_nodes_that_start_at_once_know_each_other_soon() {
    let mut network = Network::new(100, 7, 1);
    let took = network.run_until(60 * SECOND, Network::agrees);
    expect_that!(took, some(le(20 * SECOND)));
    expect_that!(network.deaths, is_empty());
}

#[gtest]
fn a_fifth_of_all_datagrams_lost_kills_nobody() {
    for seed in 0..3 {
        let mut network = converged(30, 3, seed);
        network.loss = 0.2;
        network.run(200 * SECOND);
        expect_that!(network.deaths, is_empty(), "seed {seed}");
        network.loss = 0.0;
        expect_that!(
            network.run_until(30 * SECOND, Network::agrees),
            some(anything())
        );
    }
}

#[gtest]
fn killed_nodes_are_declared_dead_and_others_are_not() {
    for seed in 0..5 {
        let mut network = converged(40, 4, seed);
        network.loss = 0.05;
        for index in [3, 11, 17, 39] {
            network.nodes[index].running = false;
        }
        let took = network.run_until(60 * SECOND, Network::agrees);
        expect_that!(took, some(le(15 * SECOND)), "seed {seed}");
        let false_deaths = network
            .deaths
            .iter()
            .filter(|(_, of)| network.nodes[*of].running);
        expect_that!(false_deaths.count(), eq(0), "seed {seed}");
    }
}

#[gtest]
fn the_small_side_of_a_cut_declares_nobody_of_the_others_dead() {
    for seed in 0..4 {
        let mut network = converged(30, 3, seed);
        network.cut_zones.insert("zone-2".to_owned());
        network.run(40 * SECOND);
        let of_zone = |index: usize| index % 3 == 2;
        let by_small_side = network.deaths.iter().filter(|(by, _)| of_zone(*by));
        expect_that!(by_small_side.count(), eq(0), "seed {seed}");
        let of_small_side: std::collections::BTreeSet<usize> =
            network.deaths.iter().map(|(_, of)| *of).collect();
        expect_that!(
            of_small_side.len(),
            eq(10),
            "the large side sees the zone as lost"
        );
        // Peers of the zone still vouch for each other.
        for index in (0..30).filter(|index| of_zone(*index)) {
            expect_that!(network.standing(index), eq(Standing::Vouched));
        }
        network.cut_zones.clear();
        let took = network.run_until(60 * SECOND, Network::agrees);
        expect_that!(took, some(anything()), "seed {seed}");
    }
}

#[gtest]
fn a_death_within_the_small_side_is_still_seen_there() {
    let mut network = converged(30, 3, 9);
    network.cut_zones.insert("zone-2".to_owned());
    network.run(20 * SECOND);
    network.nodes[5].running = false;
    let seen = network.run_until(30 * SECOND, |network| {
        (0..30)
            .filter(|by| by % 3 == 2 && *by != 5)
            .all(|by| network.belief(by, 5) == Some(MemberState::MemberDead))
    });
    expect_that!(seen, some(anything()));
}

#[gtest]
fn a_node_alone_withdraws_and_declares_nobody_dead() {
    let mut network = converged(12, 12, 1);
    network.cut_zones.insert("zone-4".to_owned());
    network.run(30 * SECOND);
    expect_that!(network.standing(4), eq(Standing::Isolated));
    let by_it = network.deaths.iter().filter(|(by, _)| *by == 4);
    expect_that!(by_it.count(), eq(0));
    network.cut_zones.clear();
    expect_that!(
        network.run_until(60 * SECOND, Network::agrees),
        some(anything())
    );
    expect_that!(network.standing(4), eq(Standing::Vouched));
}

#[gtest]
fn a_paused_node_doubts_itself_when_it_wakes_and_comes_back() {
    for seed in 0..5 {
        let mut network = converged(20, 2, seed);
        network.pause(7, 20 * SECOND);
        network.run(20 * SECOND - 1);
        expect_that!(network.belief(3, 7), some(eq(MemberState::MemberDead)));
        let mut doubted = false;
        for _ in 0..2 * support::TICK_MS {
            network.run(1);
            doubted |= network.standing(7) == Standing::Doubted;
        }
        expect_that!(doubted, eq(true), "seed {seed}");
        let vouched = network.run_until(10 * SECOND, |n| n.standing(7) == Standing::Vouched);
        expect_that!(vouched, some(anything()));
        expect_that!(
            network.run_until(30 * SECOND, Network::agrees),
            some(anything())
        );
        let by_it = network.deaths.iter().filter(|(by, _)| *by == 7);
        expect_that!(
            by_it.count(),
            eq(0),
            "a pause of its own is no death of others"
        );
    }
}

#[gtest]
fn every_node_restarts_in_turn_without_a_false_death() {
    for seed in 0..3 {
        let mut network = converged(20, 2, seed);
        network.loss = 0.05;
        for index in 0..20 {
            network.leave(index);
            network.run(2 * SECOND);
            network.restart(index);
            network.run(5 * SECOND);
        }
        expect_that!(
            network.run_until(60 * SECOND, Network::agrees),
            some(anything())
        );
        let incarnations = network.nodes[0].membership.members();
        let all_second_starts = incarnations
            .into_iter()
            .all(|e| e.member.incarnation >> 16 == 2);
        expect_that!(all_second_starts, eq(true));
    }
}

#[gtest]
fn an_old_process_of_a_restarted_node_learns_that_it_is_superseded() {
    let mut network = converged(10, 1, 2);
    let mut old = network.nodes[4].membership.clone();
    network.restart(4);
    network.run(10 * SECOND);
    let news = network.nodes[0]
        .membership
        .member(&support::name(4))
        .expect("known")
        .member
        .clone();
    let _ = old.learn_all(&[news], network.now);
    expect_that!(old.standing(network.now), eq(Standing::Superseded));
}

#[gtest]
fn the_datagrams_of_a_node_do_not_grow_with_the_fleet() {
    let per_node_second = |count: usize| {
        let mut network = converged(count, 4, 3);
        let before = network.datagrams;
        network.run(30 * SECOND);
        (network.datagrams - before) as f64 / count as f64 / 30.0
    };
    let (few, many) = (per_node_second(10), per_node_second(80));
    expect_that!(many, le(few * 1.2));
}

//! Membership in a simulated network with packet loss, partitions, pauses and restarts.

mod support;

use dappleyard_decide::membership::MembershipStatus;
use dappleyard_wire::messages::MemberState;
use googletest::prelude::*;
use support::Network;

const SECOND: u64 = 1_000;

fn converged(count: usize, zones: usize, seed: u64) -> Network {
    let mut network = Network::new(count, zones, seed);
    let took = network.run_until(60 * SECOND, Network::views_match);
    assert!(
        took.is_some(),
        "{count} nodes did not converge, seed {seed}"
    );
    network
}

#[gtest]
fn nodes_discover_each_other_from_contacts() {
    for seed in 0..5 {
        let network = converged(40, 3, seed);
        expect_that!(network.deaths, is_empty());
        expect_that!(network.largest_datagram, le(1400));
    }
}

#[gtest]
fn hundred_nodes_started_together_converge() {
    let mut network = Network::new(100, 7, 1);
    let took = network.run_until(60 * SECOND, Network::views_match);
    expect_that!(took, some(le(20 * SECOND)));
    expect_that!(network.deaths, is_empty());
}

#[gtest]
fn no_false_deaths_with_20_percent_packet_loss() {
    for seed in 0..3 {
        let mut network = converged(30, 3, seed);
        network.loss = 0.2;
        network.run(200 * SECOND);
        expect_that!(network.deaths, is_empty(), "seed {seed}");
        network.loss = 0.0;
        expect_that!(
            network.run_until(30 * SECOND, Network::views_match),
            some(anything())
        );
    }
}

#[gtest]
fn only_killed_nodes_are_declared_dead() {
    for seed in 0..5 {
        let mut network = converged(40, 4, seed);
        network.loss = 0.05;
        for index in [3, 11, 17, 39] {
            network.nodes[index].running = false;
        }
        let took = network.run_until(60 * SECOND, Network::views_match);
        expect_that!(took, some(le(15 * SECOND)), "seed {seed}");
        let false_deaths = network
            .deaths
            .iter()
            .filter(|(_, of)| network.nodes[*of].running);
        expect_that!(false_deaths.count(), eq(0), "seed {seed}");
    }
}

#[gtest]
fn minority_of_a_partition_declares_no_deaths() {
    for seed in 0..4 {
        let mut network = converged(30, 3, seed);
        network.cut_zones.insert("zone-2".to_owned());
        network.run(40 * SECOND);
        let of_zone = |index: usize| index % 3 == 2;
        let by_minority = network.deaths.iter().filter(|(by, _)| of_zone(*by));
        expect_that!(by_minority.count(), eq(0), "seed {seed}");
        let of_minority: std::collections::BTreeSet<usize> =
            network.deaths.iter().map(|(_, of)| *of).collect();
        expect_that!(
            of_minority.len(),
            eq(10),
            "the majority declares the whole zone dead"
        );
        // Members of the partitioned zone still respond to each other.
        for index in (0..30).filter(|index| of_zone(*index)) {
            expect_that!(network.status(index), eq(MembershipStatus::Current));
        }
        network.cut_zones.clear();
        let took = network.run_until(60 * SECOND, Network::views_match);
        expect_that!(took, some(anything()), "seed {seed}");
    }
}

#[gtest]
fn minority_detects_deaths_in_its_own_zone() {
    let mut network = converged(30, 3, 9);
    network.cut_zones.insert("zone-2".to_owned());
    network.run(20 * SECOND);
    network.nodes[5].running = false;
    let seen = network.run_until(30 * SECOND, |network| {
        (0..30)
            .filter(|by| by % 3 == 2 && *by != 5)
            .all(|by| network.state_seen_by(by, 5) == Some(MemberState::MemberDead))
    });
    expect_that!(seen, some(anything()));
}

#[gtest]
fn isolated_node_withdraws_and_declares_no_deaths() {
    let mut network = converged(12, 12, 1);
    network.cut_zones.insert("zone-4".to_owned());
    network.run(30 * SECOND);
    expect_that!(network.status(4), eq(MembershipStatus::Isolated));
    let by_it = network.deaths.iter().filter(|(by, _)| *by == 4);
    expect_that!(by_it.count(), eq(0));
    network.cut_zones.clear();
    expect_that!(
        network.run_until(60 * SECOND, Network::views_match),
        some(anything())
    );
    expect_that!(network.status(4), eq(MembershipStatus::Current));
}

#[gtest]
fn paused_node_needs_a_new_response_after_it_resumes() {
    for seed in 0..5 {
        let mut network = converged(20, 2, seed);
        network.pause(7, 20 * SECOND);
        network.run(20 * SECOND - 1);
        expect_that!(
            network.state_seen_by(3, 7),
            some(eq(MemberState::MemberDead))
        );
        let mut unconfirmed = false;
        for _ in 0..2 * support::TICK_MS {
            network.run(1);
            unconfirmed |= network.status(7) == MembershipStatus::Unconfirmed;
        }
        expect_that!(unconfirmed, eq(true), "seed {seed}");
        let current = network.run_until(10 * SECOND, |n| n.status(7) == MembershipStatus::Current);
        expect_that!(current, some(anything()));
        expect_that!(
            network.run_until(30 * SECOND, Network::views_match),
            some(anything())
        );
        let by_it = network.deaths.iter().filter(|(by, _)| *by == 7);
        expect_that!(
            by_it.count(),
            eq(0),
            "a paused node must not declare others dead"
        );
    }
}

#[gtest]
fn nodes_reconverge_after_a_rolling_restart() {
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
            network.run_until(60 * SECOND, Network::views_match),
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
fn old_process_of_a_restarted_node_is_superseded() {
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
    let _ = old.merge_member_list(&[news], network.now);
    expect_that!(old.status(network.now), eq(MembershipStatus::Superseded));
}

#[gtest]
fn datagrams_per_node_do_not_grow_with_the_fleet() {
    let per_node_second = |count: usize| {
        let mut network = converged(count, 4, 3);
        let before = network.datagrams;
        network.run(30 * SECOND);
        (network.datagrams - before) as f64 / count as f64 / 30.0
    };
    let (few, many) = (per_node_second(10), per_node_second(80));
    expect_that!(many, le(few * 1.2));
}

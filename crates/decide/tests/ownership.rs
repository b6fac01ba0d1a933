//! Cell sizes, balance of owned servers, and movement on node changes.

use std::collections::BTreeMap;

use dappleyard_decide::ownership::{Cells, OwnerNode, owners_of_zone, server_key};
use googletest::prelude::*;

const CELL_SIZE: usize = 16;

fn nodes(count: usize, zones: usize) -> Vec<OwnerNode> {
    (0..count)
        .map(|index| OwnerNode {
            node: format!("node-{index}"),
            zone: format!("zone-{}", index % zones),
            region: format!("region-{}", index % zones % 2),
            eligible: true,
        })
        .collect()
}

/// Name, zone and region of each server.
fn servers(count: usize, zones: usize) -> Vec<(String, String, String)> {
    (0..count)
        .map(|index| {
            let zone = index % zones;
            let (name, region) = (format!("server-{index}"), format!("region-{}", zone % 2));
            (name, format!("zone-{zone}"), region)
        })
        .collect()
}

fn assignment(nodes: &[OwnerNode], servers: &[(String, String, String)]) -> Vec<Option<String>> {
    let cells = Cells::of(nodes, CELL_SIZE);
    let mut zones: BTreeMap<(&str, &str), Vec<(u64, usize)>> = BTreeMap::new();
    for (index, (server, zone, region)) in servers.iter().enumerate() {
        let of_zone = zones.entry((region, zone)).or_default();
        of_zone.push((server_key(server), index));
    }
    let mut assigned = vec![None; servers.len()];
    for ((region, zone), mut keyed) in zones {
        keyed.sort_unstable();
        let keys: Vec<u64> = keyed.iter().map(|(key, _)| *key).collect();
        let owners = owners_of_zone(&cells.candidates(region, zone), &keys);
        for ((_, index), owner) in keyed.into_iter().zip(owners) {
            assigned[index] = owner.map(str::to_owned);
        }
    }
    assigned
}

fn moved(before: &[Option<String>], after: &[Option<String>]) -> usize {
    before
        .iter()
        .zip(after)
        .filter(|(before, after)| before != after)
        .count()
}

#[gtest]
fn cells_are_limited_in_size_and_to_one_zone() {
    for count in [1, 16, 17, 39, 112, 390] {
        let cells = Cells::of(&nodes(count, 7), CELL_SIZE);
        let total: usize = cells.all().iter().map(|cell| cell.nodes.len()).sum();
        expect_that!(total, eq(count));
        for cell in cells.all() {
            expect_that!(cell.nodes.len(), le(CELL_SIZE));
            expect_that!(
                cell.nodes.iter().all(|node| node.zone == cell.zone),
                eq(true)
            );
        }
    }
}

#[gtest]
fn load_is_balanced() {
    let owners = assignment(&nodes(390, 7), &servers(7_900, 7));
    let mut loads: BTreeMap<&str, usize> = BTreeMap::new();
    for owner in owners.iter().flatten() {
        *loads.entry(owner).or_default() += 1;
    }
    let mean = 7_900.0 / 390.0;
    let most = *loads.values().max().expect("some") as f64;
    expect_that!(loads.values().sum::<usize>(), eq(7_900));
    expect_that!(most / mean, le(1.6));
}

#[gtest]
fn restart_moves_few_servers_of_other_nodes() {
    let servers = servers(7_900, 7);
    let mut nodes = nodes(390, 7);
    let before = assignment(&nodes, &servers);
    let mut worst: f64 = 0.0;
    for index in 0..40 {
        nodes[index].eligible = false;
        let own = before
            .iter()
            .filter(|owner| **owner == Some(nodes[index].node.clone()));
        let ideal = own.count();
        let moved = moved(&before, &assignment(&nodes, &servers));
        worst = worst.max(moved as f64 / ideal as f64);
        nodes[index].eligible = true;
    }
    expect_that!(worst, le(2.5));
    expect_that!(moved(&before, &assignment(&nodes, &servers)), eq(0));
}

#[gtest]
fn zone_without_eligible_nodes_is_owned_from_its_region() {
    let mut nodes = nodes(12, 4);
    for node in nodes.iter_mut().filter(|node| node.zone == "zone-2") {
        node.eligible = false;
    }
    let owners = assignment(&nodes, &servers(40, 4));
    for (index, owner) in owners
        .iter()
        .enumerate()
        .filter(|(index, _)| index % 4 == 2)
    {
        let owner = nodes.iter().find(|node| Some(&node.node) == owner.as_ref());
        expect_that!(
            owner.map(|node| node.zone.as_str()),
            some(eq("zone-0")),
            "server {index}"
        );
    }
}

#[gtest]
fn servers_have_no_owner_without_eligible_nodes() {
    expect_that!(assignment(&[], &servers(3, 1)), each(none()));
}

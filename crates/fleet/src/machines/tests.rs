//! Readings of the list and updates by gossip, in any order.

use dappleyard_store::{Machine, MachineRole};
use googletest::prelude::*;

use super::{MAXIMUM_UPDATES, Machines, OVERRULE_MS, RARE_READING_MS, SMALL_LIST};

const START: u64 = 1_000_000;

fn server(number: usize) -> Machine {
    Machine {
        name: format!("server-{number}"),
        role: MachineRole::Server,
        region: "region-1".into(),
        zone: "zone-1".into(),
        hall: "hall-1".to_owned(),
        address: format!("http://10.0.0.{number}"),
        service: "fittings-llm".into(),
        leaving: false,
    }
}

fn large_list() -> Vec<Machine> {
    (0..SMALL_LIST + 10).map(server).collect()
}

/// A node that has read this list.
fn reader(list: &[Machine]) -> Machines {
    let mut machines = Machines::default();
    machines.read(list, START);
    machines
}

#[gtest]
fn a_watcher_passes_on_what_changed_and_others_take_it() {
    let mut list = large_list();
    let (mut watcher, mut other) = (reader(&list), reader(&list));
    list[3].leaving = true;
    list.remove(7);
    let change = watcher.read(&list, START + 2_000);
    expect_that!(change.put.len(), eq(1));
    expect_that!(change.removed, elements_are![eq(&"server-7".into())]);
    let updates = watcher.take(1_000, 6);
    let learnt = other.learn(&updates);
    expect_that!(
        learnt.put.iter().filter(|entry| entry.leaving).count(),
        eq(1)
    );
    expect_that!(learnt.removed, elements_are![eq(&"server-7".into())]);
    expect_that!(other.take(1_000, 6).len(), eq(2), "news goes on");
    expect_that!(other.learn(&updates).is_empty(), eq(true), "once");
}

#[gtest]
fn a_lagging_reading_does_not_undo_what_others_saw() {
    let mut list = large_list();
    let (mut watcher, mut laggard) = (reader(&list), reader(&list));
    let old = list.clone();
    list[3].leaving = true;
    watcher.read(&list, START + 2_000);
    laggard.learn(&watcher.take(1_000, 6));
    expect_that!(laggard.read(&old, START + 4_000).is_empty(), eq(true));
    // A reading that differs for long has the last word.
    let overruled = laggard.read(&old, START + 2_000 + OVERRULE_MS);
    expect_that!(overruled.put.len(), eq(1));
}

#[gtest]
fn too_many_changes_make_all_nodes_read_the_list() {
    let mut list = large_list();
    let (mut watcher, mut other) = (reader(&list), reader(&list));
    for machine in &mut list[..MAXIMUM_UPDATES + 1] {
        machine.leaving = true;
    }
    watcher.read(&list, START + 2_000);
    expect_that!(watcher.take(10_000, 6), is_empty());
    expect_that!(other.hear_reread(watcher.reread_unix_ms()), eq(true));
    expect_that!(other.hear_reread(watcher.reread_unix_ms()), eq(false));
}

#[gtest]
fn only_watchers_read_a_large_list_often() {
    let large = reader(&large_list());
    expect_that!(large.reading_interval_ms(2_000, true), eq(2_000));
    expect_that!(large.reading_interval_ms(2_000, false), eq(RARE_READING_MS));
    let small = reader(&large_list()[..10]);
    expect_that!(small.reading_interval_ms(2_000, false), eq(2_000));
}

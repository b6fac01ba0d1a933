//! Reads of the machine list combined with updates by gossip.

use dappleyard_store::{Machine, MachineRole};
use googletest::prelude::*;

use super::{LARGE_LIST_INTERVAL_MS, MAXIMUM_UPDATES, Machines, OVERRIDE_AGE_MS, SMALL_LIST};

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

/// State of a node after its first read of `list`.
fn reader(list: &[Machine]) -> Machines {
    let mut machines = Machines::default();
    machines.apply_list(list, START);
    machines
}

#[gtest]
fn a_watcher_gossips_changes_and_others_apply_them() {
    let mut list = large_list();
    let (mut watcher, mut other) = (reader(&list), reader(&list));
    list[3].leaving = true;
    list.remove(7);
    let change = watcher.apply_list(&list, START + 2_000);
    expect_that!(change.put.len(), eq(1));
    expect_that!(change.removed, elements_are![eq(&"server-7".into())]);
    let updates = watcher.next_updates(1_000, 6);
    let applied = other.merge_updates(&updates);
    expect_that!(
        applied.put.iter().filter(|entry| entry.leaving).count(),
        eq(1)
    );
    expect_that!(applied.removed, elements_are![eq(&"server-7".into())]);
    expect_that!(
        other.next_updates(1_000, 6).len(),
        eq(2),
        "new updates are forwarded"
    );
    expect_that!(
        other.merge_updates(&updates).is_empty(),
        eq(true),
        "known updates are ignored"
    );
}

#[gtest]
fn a_stale_read_does_not_revert_newer_updates() {
    let mut list = large_list();
    let (mut watcher, mut stale_reader) = (reader(&list), reader(&list));
    let old = list.clone();
    list[3].leaving = true;
    watcher.apply_list(&list, START + 2_000);
    stale_reader.merge_updates(&watcher.next_updates(1_000, 6));
    expect_that!(
        stale_reader.apply_list(&old, START + 4_000).is_empty(),
        eq(true)
    );
    // After a while the reader's own list overrides the older update.
    let overridden = stale_reader.apply_list(&old, START + 2_000 + OVERRIDE_AGE_MS);
    expect_that!(overridden.put.len(), eq(1));
}

#[gtest]
fn too_many_changes_make_all_nodes_read_the_list() {
    let mut list = large_list();
    let (mut watcher, mut other) = (reader(&list), reader(&list));
    for machine in &mut list[..MAXIMUM_UPDATES + 1] {
        machine.leaving = true;
    }
    watcher.apply_list(&list, START + 2_000);
    expect_that!(watcher.next_updates(10_000, 6), is_empty());
    expect_that!(
        other.note_reread_request(watcher.reread_unix_ms()),
        eq(true)
    );
    expect_that!(
        other.note_reread_request(watcher.reread_unix_ms()),
        eq(false)
    );
}

#[gtest]
fn only_watchers_read_a_large_list_often() {
    let large = reader(&large_list());
    expect_that!(large.read_interval_ms(2_000, true), eq(2_000));
    expect_that!(
        large.read_interval_ms(2_000, false),
        eq(LARGE_LIST_INTERVAL_MS)
    );
    let small = reader(&large_list()[..10]);
    expect_that!(small.read_interval_ms(2_000, false), eq(2_000));
}

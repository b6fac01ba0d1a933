//! The share of the free slots that one node may fill.

use std::sync::Arc;

use dappleyard_cluster::{Allowance, LoadTable, WorkKind, node_number};
use dappleyard_model::ServerRecord;
use googletest::prelude::*;

fn take_all(allowance: &mut Allowance) -> u32 {
    std::iter::from_fn(|| allowance.take().then_some(())).count() as u32
}

fn server() -> ServerRecord {
    ServerRecord {
        id: "i-1".to_owned(),
        instance: "i-1".to_owned(),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "north".to_owned(),
        version: "v1".parse().ok(),
        slots: 8,
        draining: false,
        cold_left_ms: 0,
    }
}

#[gtest]
fn single_node_uses_all_free_slots() {
    let table = LoadTable::default();
    table.waiting.set_own(30);
    let mut allowance = Allowance::default();
    allowance.refresh(&table.waiting, 12, 0.5);
    expect_that!(take_all(&mut allowance), eq(12));
    allowance.refresh(&table.waiting, 3, 0.5);
    expect_that!(take_all(&mut allowance), eq(3));
}

#[gtest]
fn free_slots_are_divided_by_waiting_items() {
    let table = LoadTable::default();
    table.waiting.set_own(30);
    table.waiting.set_node(node_number("b"), 60);
    let mut allowance = Allowance::default();
    // A third of ten is 3.33; the sample 0.2 rounds it up.
    allowance.refresh(&table.waiting, 10, 0.2);
    expect_that!(take_all(&mut allowance), eq(4));
    // Without a new report the free slots are not divided again.
    allowance.refresh(&table.waiting, 10, 0.2);
    expect_that!(take_all(&mut allowance), eq(0));
    table.waiting.set_node(node_number("b"), 0);
    allowance.refresh(&table.waiting, 10, 0.9);
    expect_that!(take_all(&mut allowance), eq(10));
}

#[gtest]
fn part_is_scaled_to_fleet() {
    let table = LoadTable::default();
    expect_that!(table.waiting.scale_to_fleet(0), eq(0));
    table.waiting.set_own(30);
    expect_that!(table.waiting.scale_to_fleet(7), eq(7));
    table.waiting.set_node(node_number("b"), 60);
    expect_that!(
        [0, 1, 7].map(|part| table.waiting.scale_to_fleet(part)),
        eq([0, 3, 21])
    );
}

#[gtest]
fn freed_slot_can_be_refilled() {
    let table = Arc::new(LoadTable::default());
    table.waiting.set_own(1);
    table.waiting.set_node(node_number("b"), 1_000);
    let mut allowance = Allowance::default();
    allowance.refresh(&table.waiting, 10, 0.99);
    expect_that!(take_all(&mut allowance), eq(0));
    // A slot freed by this node's own item may be refilled by it.
    drop(table.begin(&server(), WorkKind::Batch, 0));
    allowance.refresh(&table.waiting, 10, 0.99);
    expect_that!(take_all(&mut allowance), eq(1));
}

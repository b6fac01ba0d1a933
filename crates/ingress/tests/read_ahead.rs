//! Bounds of what is kept for callers who do not read.

use dappleyard_ingress::{Bound, KeptBounds};
use dappleyard_model::Resources;
use googletest::prelude::*;

fn bounds(memory_mb: u32) -> KeptBounds {
    KeptBounds::of(Resources {
        core_millis: 90,
        link_mbps: 30,
        memory_mb,
    })
}

#[gtest]
fn part_of_memory() {
    let bounds = bounds(120);
    expect_that!(bounds.node_bytes, eq(15 * 1024 * 1024));
    expect_that!(bounds.answer_bytes, eq(240 * 1024));
}

#[gtest]
fn bounds_reached() {
    let bounds = bounds(120);
    let (answer, node) = (bounds.answer_bytes, bounds.node_bytes);
    let reached = [(1, 1), (answer, answer), (1, node), (answer, node)];
    let reached = reached.map(|(own, all)| bounds.reached(own, all));
    expect_that!(
        reached,
        eq([
            None,
            Some(Bound::Answer),
            Some(Bound::Node),
            Some(Bound::Answer)
        ])
    );
}

#[gtest]
fn in_time_beside_others() {
    let bounds = bounds(120);
    expect_that!(bounds.reached(0, 2 * bounds.node_bytes), none());
}

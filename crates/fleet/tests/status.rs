//! Rollout status of a configuration revision.

use std::collections::BTreeMap;
use std::sync::Arc;

use dappleyard_fleet::configuration_status;
use dappleyard_tables::{Identity, NodeTables};
use dappleyard_wire::messages::{CellAggregate, Member};
use googletest::prelude::*;

/// Tables of node a with four members, given as node, cell and the revision that the node reports.
fn tables(revisions: [(&str, &str, u64); 4]) -> Arc<NodeTables> {
    let tables = NodeTables::new(Identity {
        node: "a".into(),
        zone: "zone-1".into(),
        region: "region-1".into(),
        incarnation: 1,
    });
    let mut cells = BTreeMap::new();
    for (node, cell, revision) in revisions {
        cells.insert(node.into(), cell.to_owned());
        tables.members.put(Member {
            node: node.to_owned(),
            zone: "zone-1".to_owned(),
            region: "region-1".to_owned(),
            configuration_revision: revision,
            ..Member::default()
        });
    }
    tables.members.set_cells(cells);
    tables
}

fn aggregate(cell: &str, lowest: u64, highest: u64, lagging: &[&str]) -> CellAggregate {
    CellAggregate {
        cell: cell.to_owned(),
        zone: "zone-1".to_owned(),
        region: "region-1".to_owned(),
        sequence: 1,
        nodes: 2,
        lowest_revision: lowest,
        highest_revision: highest,
        lagging_nodes: lagging.iter().map(|node| (*node).to_owned()).collect(),
        nodes_lagging: u32::try_from(lagging.len()).expect("few"),
        ..CellAggregate::default()
    }
}

#[gtest]
fn an_aggregate_of_another_cell_does_not_count_for_this_cell() {
    let tables = tables([
        ("a", "zone-1/0", 7),
        ("b", "zone-1/0", 5),
        ("c", "zone-1/1", 0),
        ("d", "zone-1/1", 0),
    ]);
    let now = tables.clock.now();
    tables.loads.put_cell(aggregate("zone-1/1", 7, 7, &[]), now);
    let status = configuration_status(&tables);
    expect_that!(status.revision, eq(7));
    // Node a is this node: its revision comes from its own configuration table, which is empty.
    expect_that!(
        status.nodes_behind,
        unordered_elements_are![eq("a"), eq("b")]
    );
    expect_that!(status.nodes_up_to_date, eq(2));
}

#[gtest]
fn nodes_without_an_aggregate_are_not_counted_as_up_to_date() {
    let tables = tables([
        ("a", "zone-1/0", 0),
        ("b", "zone-1/0", 7),
        ("c", "zone-1/1", 0),
        ("d", "zone-1/2", 0),
    ]);
    let now = tables.clock.now();
    tables
        .loads
        .put_cell(aggregate("zone-1/1", 4, 7, &["c"]), now);
    let status = configuration_status(&tables);
    expect_that!(
        status.nodes_behind,
        unordered_elements_are![eq("a"), eq("c"), eq("d")]
    );
    expect_that!(status.nodes, eq(4));
}

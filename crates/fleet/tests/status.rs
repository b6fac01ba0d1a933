//! What a node says of where a revision is in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use dappleyard_fleet::in_force;
use dappleyard_tables::{Identity, NodeTables};
use dappleyard_wire::messages::{CellAggregate, Member};
use googletest::prelude::*;

/// Nodes a and b in cell `zone-1/0` (a is this node), c and d in cell `zone-1/1`; their own statements
/// of the revision as given.
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
fn another_cell_of_the_zone_says_nothing_of_this_one() {
    let tables = tables([
        ("a", "zone-1/0", 7),
        ("b", "zone-1/0", 5),
        ("c", "zone-1/1", 0),
        ("d", "zone-1/1", 0),
    ]);
    let now = tables.clock.now();
    tables.loads.put_cell(aggregate("zone-1/1", 7, 7, &[]), now);
    let status = in_force(&tables);
    expect_that!(status.revision, eq(7));
    // This node has applied nothing yet; what it says of itself comes from its own table.
    expect_that!(status.laggards, unordered_elements_are![eq("a"), eq("b")]);
    expect_that!(status.nodes_in_force, eq(2));
}

#[gtest]
fn nodes_of_a_cell_that_was_not_heard_of_are_not_claimed() {
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
    let status = in_force(&tables);
    expect_that!(
        status.laggards,
        unordered_elements_are![eq("a"), eq("c"), eq("d")]
    );
    expect_that!(status.nodes, eq(4));
}

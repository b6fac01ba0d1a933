//! The row of a node beside writes whose answers are lost and that are done late.

use dappleyard_cluster::{NODES_TABLE, NodeRow, Registration};
use dappleyard_emulator::{EmulatedRows, RowFault};
use googletest::prelude::*;
use prost::Message;

fn row(life: u64, leaving: bool) -> NodeRow {
    NodeRow {
        life,
        leaving,
        zone: "north".to_owned(),
        ..NodeRow::default()
    }
}

fn registration() -> Registration {
    Registration::new("north", "a")
}

/// The row in the store: its process, and whether that leaves.
fn stored(rows: &EmulatedRows) -> Option<(u64, bool)> {
    let rows = rows.table(NODES_TABLE);
    let row = NodeRow::decode(rows.first()?.2.clone()).ok()?;
    Some((row.life, row.leaving))
}

/// Guards against the late write of an ended process that replaces the row of its successor.
#[gtest]
#[tokio::test]
async fn late_write_of_ended_process() {
    let rows = EmulatedRows::default();
    let before = registration();
    rows.script([Some(RowFault::LostHeld), None]);
    expect_that!(before.write(&row(1, false), &rows).await, err(anything()));
    expect_that!(before.write(&row(1, false), &rows).await, ok(anything()));
    let after = registration();
    expect_that!(after.write(&row(2, false), &rows).await, ok(anything()));
    rows.release_held();
    expect_that!(stored(&rows), some(eq((2, false))));
    // Nor does it take away what the successor knows of its row.
    expect_that!(after.write(&row(2, true), &rows).await, ok(anything()));
    expect_that!(stored(&rows), some(eq((2, true))));
}

/// Guards against the late write of a process that says again that it does not leave.
#[gtest]
#[tokio::test]
async fn late_write_before_leaving() {
    let rows = EmulatedRows::default();
    let node = registration();
    rows.script([Some(RowFault::LostHeld), None]);
    expect_that!(node.write(&row(1, false), &rows).await, err(anything()));
    expect_that!(node.write(&row(1, true), &rows).await, ok(anything()));
    rows.release_held();
    expect_that!(stored(&rows), some(eq((1, true))));
}

/// Guards against the late write of a process that has left and removed its row.
#[gtest]
#[tokio::test]
async fn late_write_after_removal() {
    let rows = EmulatedRows::default();
    let node = registration();
    expect_that!(node.write(&row(1, false), &rows).await, ok(anything()));
    rows.script([Some(RowFault::LostHeld), None]);
    expect_that!(node.write(&row(1, true), &rows).await, err(anything()));
    expect_that!(node.remove(1, &rows).await, ok(anything()));
    rows.release_held();
    expect_that!(stored(&rows), none());
}

/// Guards against a process that cannot register since an earlier write of its own was done without an answer.
#[gtest]
#[tokio::test]
async fn write_without_answer() {
    let rows = EmulatedRows::default();
    let node = registration();
    rows.script([Some(RowFault::LostAfter)]);
    expect_that!(node.write(&row(1, false), &rows).await, err(anything()));
    let written = node.write(&row(1, false), &rows).await;
    expect_that!(written, ok(anything()));
    expect_that!(rows.transactions(), eq(2));
    expect_that!(node.write(&row(1, true), &rows).await, ok(anything()));
    expect_that!(stored(&rows), some(eq((1, true))));
}

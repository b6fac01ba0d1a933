//! How long the ids of cancelled jobs are told.

use dappleyard_decide::time::Millis;
use dappleyard_fleet::cancelled::CancelledJobs;
use dappleyard_tables::{Identity, NodeTables};
use googletest::prelude::*;

const BUDGET: usize = 1_000;
const RETRANSMITS: u32 = 3;

#[gtest]
fn told_again() {
    let tables = NodeTables::new(Identity {
        node: "node-a".into(),
        zone: "zone-1".into(),
        region: "region-1".into(),
        incarnation: 1,
    });
    tables.cancelled_jobs.lock().insert("job-1".to_owned());
    let mut cancelled = CancelledJobs::default();
    cancelled.collect(&tables, Millis(10_000));
    for _ in 0..RETRANSMITS {
        expect_that!(cancelled.take(BUDGET, RETRANSMITS).len(), eq(1));
    }
    // All of these may have gone to one node.
    expect_that!(cancelled.take(BUDGET, RETRANSMITS).len(), eq(0));
    cancelled.collect(&tables, Millis(11_100));
    expect_that!(
        cancelled.take(BUDGET, RETRANSMITS),
        elements_are![eq("job-1")]
    );
    // An old cancellation stands in the job's row, where everybody looks before a commit.
    while !cancelled.take(BUDGET, RETRANSMITS).is_empty() {}
    cancelled.collect(&tables, Millis(90_000));
    expect_that!(cancelled.take(BUDGET, RETRANSMITS).len(), eq(0));
}

//! Ids of cancelled jobs are sent repeatedly for a limited time.

use dappleyard_decide::time::Millis;
use dappleyard_fleet::cancelled_job_gossip::CancelledJobGossip;
use dappleyard_tables::{Identity, NodeTables};
use googletest::prelude::*;

const BUDGET: usize = 1_000;
const RETRANSMITS: u32 = 3;

#[gtest]
fn ids_are_resent_until_the_window_ends() {
    let tables = NodeTables::new(Identity {
        node: "node-a".into(),
        zone: "zone-1".into(),
        region: "region-1".into(),
        incarnation: 1,
    });
    tables.cancelled_jobs.lock().insert("job-1".to_owned());
    let mut cancelled = CancelledJobGossip::default();
    cancelled.collect(&tables, Millis(10_000));
    for _ in 0..RETRANSMITS {
        expect_that!(cancelled.next_updates(BUDGET, RETRANSMITS).len(), eq(1));
    }
    // All of these may have gone to the same node.
    expect_that!(cancelled.next_updates(BUDGET, RETRANSMITS).len(), eq(0));
    cancelled.collect(&tables, Millis(11_100));
    expect_that!(
        cancelled.next_updates(BUDGET, RETRANSMITS),
        elements_are![eq("job-1")]
    );
    // Ids are no longer sent after the window; the job's row keeps the cancellation.
    while !cancelled.next_updates(BUDGET, RETRANSMITS).is_empty() {}
    cancelled.collect(&tables, Millis(90_000));
    expect_that!(cancelled.next_updates(BUDGET, RETRANSMITS).len(), eq(0));
}

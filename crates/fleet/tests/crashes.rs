//! Gossip of crash records between nodes.

use dappleyard_crashes::{Fingerprint, MAX_ENDED_SERVERS, Permit, RequestFeatures, RequestParts};
use dappleyard_decide::time::Millis;
use dappleyard_fleet::crash_gossip::CrashGossip;
use dappleyard_tables::{Identity, NodeTables};
use googletest::prelude::*;

const BUDGET: usize = 1_000;
const RETRANSMITS: u32 = 3;

fn tables(node: &str) -> std::sync::Arc<NodeTables> {
    NodeTables::new(Identity {
        node: node.into(),
        zone: "zone-1".into(),
        region: "region-1".into(),
        incarnation: 1,
    })
}

#[gtest]
fn records_are_forwarded_by_gossip() {
    let request: RequestFeatures = Fingerprint::of(&RequestParts {
        caller: "tenant-a",
        method: "",
        host: "llm",
        target: "",
        body: b"a prompt",
    })
    .into();
    let (first, second, third) = (tables("node-a"), tables("node-b"), tables("node-c"));
    let run = |at: u64| {
        // The same engine restarts each time; every crash counts.
        let begun = first.crashes.begin(&request, &"server-1".into());
        let ended = begun.map(|run| run.note_ended(Millis(10_000 + 2_000 * at), at));
        expect_that!(ended.ok(), some(eq(at as usize + 1)));
    };
    (0..MAX_ENDED_SERVERS as u64).for_each(run);
    let mut nodes = [CrashGossip::default(), CrashGossip::default()];
    nodes[0].collect(&first, Millis(20_000));
    expect_that!(nodes[0].take_push_pending(), eq(true));
    let sent = nodes[0].next_updates(BUDGET, RETRANSMITS);
    nodes[1].merge_updates(&sent, &second);
    expect_that!(second.crashes.permit(&request), eq(Permit::Refused));
    // Received records are forwarded; records that cannot be decoded are skipped.
    nodes[1].collect(&second, Millis(20_000));
    let mut forwarded = nodes[1].next_updates(BUDGET, RETRANSMITS);
    forwarded.push(vec![0xff; 9]);
    CrashGossip::default().merge_updates(&forwarded, &third);
    expect_that!(third.crashes.permit(&request), eq(Permit::Refused));
}

#[gtest]
fn a_crash_under_two_copies_counts_once() {
    let tables = tables("node-a");
    let request: RequestFeatures = Fingerprint::of(&RequestParts {
        caller: "tenant-a",
        method: "",
        host: "llm",
        target: "",
        body: b"a prompt",
    })
    .into();
    // Two copies of a request run on an engine when it crashes.
    let copies = [1, 2].map(|_| tables.crashes.begin(&request, &"server-1".into()).ok());
    let counted = copies.map(|run| run.map(|run| run.note_ended(Millis(10_000), 1)));
    expect_that!(counted, eq([Some(1), Some(1)]));
}

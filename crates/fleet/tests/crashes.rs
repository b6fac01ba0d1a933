//! Requests under which engines ended, from node to node.

use dappleyard_crashes::{Fingerprint, MAX_ENDED_SERVERS, Permit, RequestParts};
use dappleyard_decide::time::Millis;
use dappleyard_fleet::crashes::CrashSpread;
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
fn told_from_node_to_node() {
    let request = Fingerprint::of(&RequestParts {
        caller: "tenant-a",
        method: "",
        host: "llm",
        target: "",
        body: b"a prompt",
    });
    let (first, second, third) = (tables("node-a"), tables("node-b"), tables("node-c"));
    let run = |at: u64| {
        // One engine that is back each time: three ends all the same.
        let begun = first.crashes.begin(request, &"server-1".into());
        let ended = begun.map(|run| run.note_ended(Millis(10_000 + 2_000 * at), at));
        expect_that!(ended.ok(), some(eq(at as usize + 1)));
    };
    (0..MAX_ENDED_SERVERS as u64).for_each(run);
    let mut spreads = [CrashSpread::default(), CrashSpread::default()];
    spreads[0].collect(&first, Millis(20_000));
    expect_that!(spreads[0].take_fresh(), eq(true));
    let told = spreads[0].take(BUDGET, RETRANSMITS);
    spreads[1].learn(&told, &second);
    expect_that!(second.crashes.permit(&request), eq(Permit::Refused));
    // What came by gossip goes on by gossip; what cannot be read is passed over.
    spreads[1].collect(&second, Millis(20_000));
    let mut passed_on = spreads[1].take(BUDGET, RETRANSMITS);
    passed_on.push(vec![0xff; 9]);
    CrashSpread::default().learn(&passed_on, &third);
    expect_that!(third.crashes.permit(&request), eq(Permit::Refused));
}

#[gtest]
fn one_end_under_two_requests() {
    let tables = tables("node-a");
    let request = Fingerprint::of(&RequestParts {
        caller: "tenant-a",
        method: "",
        host: "llm",
        target: "",
        body: b"a prompt",
    });
    // Two copies of a request run at an engine when it ends.
    let copies = [1, 2].map(|_| tables.crashes.begin(request, &"server-1".into()).ok());
    let counted = copies.map(|run| run.map(|run| run.note_ended(Millis(10_000), 1)));
    expect_that!(counted, eq([Some(1), Some(1)]));
}

//! Records of requests that crash servers, over UDP on loopback.

mod support;

use dappleyard_crashes::{Fingerprint, MOST_ENDED, Permit, RequestParts};
use dappleyard_model::Places;
use googletest::prelude::*;
use support::{TestNode, fleet_in, on_local, regions, until};

fn request() -> Fingerprint {
    Fingerprint::of(&RequestParts {
        caller: "",
        method: "POST",
        host: "shop.example",
        target: "/chat/x",
        body: b"crash",
    })
}

/// Records one crash at each of three nodes, and checks that all nodes refuse the request, and
/// allow it again after a success.
async fn refusal_reaches_all_nodes(places: Places, count: usize) {
    let nodes = fleet_in(&places, count).await;
    until("the nodes hear each other", || {
        nodes.iter().all(|node| node.peers.count() == count)
    })
    .await;
    for (number, node) in nodes.iter().take(MOST_ENDED).enumerate() {
        let run = node.crashes.begin(request(), &format!("i-{number}"));
        expect_that!(run.map(|run| run.note_ended(None).ended).is_ok(), eq(true));
    }
    let refuses = |node: &TestNode| node.crashes.permit(&request()) == Permit::Refused;
    until("all nodes refuse it", || nodes.iter().all(refuses)).await;
    // One node completes a run of it that was already in progress.
    expect_that!(nodes[count - 1].crashes.forgive(&request()), eq(true));
    let allows = |node: &TestNode| node.crashes.permit(&request()) == Permit::Free;
    until("all nodes allow it again", || nodes.iter().all(allows)).await;
}

#[gtest]
fn small_fleet() {
    on_local(refusal_reaches_all_nodes(Places::default(), 9));
}

#[gtest]
fn large_fleet() {
    on_local(refusal_reaches_all_nodes(Places::default(), 30));
}

#[gtest]
fn several_regions() {
    on_local(refusal_reaches_all_nodes(regions(), 30));
}

//! Records of requests that crash servers, over UDP on loopback.

mod support;

use std::time::Duration;

use dappleyard_cluster::TableSink;
use dappleyard_crashes::{
    Feature, Fingerprint, MAX_ENDED_SERVERS, Permit, RequestFeatures, RequestParts,
};
use dappleyard_model::Topology;
use googletest::prelude::*;
use support::{TestNode, fleet_in, regions, run_local, wait_until};

fn fingerprint() -> Fingerprint {
    Fingerprint::of(&RequestParts {
        caller: "",
        method: "POST",
        host: "shop.example",
        target: "/chat/x",
        body: b"crash",
    })
}

fn request() -> RequestFeatures {
    fingerprint().into()
}

/// Records one crash at each of three nodes, and checks that all nodes refuse the request, and
/// allow it again after a success.
async fn refusal_reaches_all_nodes(places: Topology, count: usize) {
    let nodes = fleet_in(&places, count).await;
    wait_until("the nodes hear each other", || {
        nodes.iter().all(|node| node.peers.count() == count)
    })
    .await;
    for (number, node) in nodes.iter().take(MAX_ENDED_SERVERS).enumerate() {
        let run = node.crashes.begin(&request(), &format!("i-{number}"));
        expect_that!(run.map(|run| run.note_ended(None).ended).is_ok(), eq(true));
    }
    let refuses = |node: &TestNode| node.crashes.permit(&request()) == Permit::Refused;
    wait_until("all nodes refuse it", || nodes.iter().all(refuses)).await;
    // One node completes a run of it that was already in progress.
    expect_that!(
        nodes[count - 1]
            .crashes
            .forgive(&Feature::Request(fingerprint())),
        eq(true)
    );
    let allows = |node: &TestNode| node.crashes.permit(&request()) == Permit::Free;
    wait_until("all nodes allow it again", || nodes.iter().all(allows)).await;
}

#[gtest]
fn small_fleet() {
    run_local(refusal_reaches_all_nodes(Topology::default(), 9));
}

#[gtest]
fn large_fleet() {
    run_local(refusal_reaches_all_nodes(Topology::default(), 30));
}

#[gtest]
fn several_regions() {
    run_local(refusal_reaches_all_nodes(regions(), 30));
}

/// Refused requests; a node repeats two of them each 450 ms.
const REFUSED: usize = 300;
/// Less than it takes to repeat all of them.
const LEARNING_LIMIT: Duration = Duration::from_secs(3);

/// Guards against a process that starts while the store is away and runs requests that the others refuse, since they tell
/// it of a few at a time.
#[gtest]
fn restarted_node() {
    run_local(async {
        let places = Topology::default();
        let mut nodes = fleet_in(&places, 3).await;
        wait_until("the nodes hear each other", || {
            nodes.iter().all(|node| node.peers.count() == 3)
        })
        .await;
        let request = |number: usize| -> RequestFeatures {
            Fingerprint::of(&RequestParts {
                caller: "",
                method: "POST",
                host: "shop.example",
                target: "/chat/x",
                body: &number.to_be_bytes(),
            })
            .into()
        };
        for number in 0..REFUSED {
            for server in 0..MAX_ENDED_SERVERS {
                let run = nodes[0]
                    .crashes
                    .begin(&request(number), &format!("i-{server}"));
                expect_that!(run.map(|run| run.note_ended(None).ended).is_ok(), eq(true));
            }
        }
        let refuses_all = |node: &TestNode| {
            (0..REFUSED).all(|number| node.crashes.permit(&request(number)) == Permit::Refused)
        };
        wait_until("all nodes refuse them", || nodes.iter().all(refuses_all)).await;
        let stopped = nodes.remove(1);
        let address = stopped.gossip.address().expect("an address");
        if let Some(task) = &stopped.task {
            task.abort();
        }
        drop(stopped);
        tokio::time::sleep(Duration::from_millis(50)).await;
        // The others know the row of the run before only.
        let restarted = TestNode::open_at(1, &places, 2, address).await;
        for node in &nodes {
            restarted.peers.change(node.row());
        }
        let gossip = restarted.gossip.clone();
        tokio::task::spawn_local(async move { gossip.run().await });
        let until = std::time::Instant::now() + LEARNING_LIMIT;
        while !refuses_all(&restarted) && std::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        expect_that!(refuses_all(&restarted), eq(true));
    });
}

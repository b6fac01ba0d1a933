//! The links of a sidecar: peers learnt, lost nodes dialled again, spare links closed.

mod support;

use std::rc::Rc;

use dappleyard_transport::link::ServerStream;
use dappleyard_wire::messages::PeerNode;
use googletest::prelude::*;
use support::{
    ScriptedNode, answers, chat_body, get, metric, post, settings, sidecar, until, wait_links,
};

fn peer(id: &str, zone: &str, address: &str) -> PeerNode {
    PeerNode {
        id: id.to_owned(),
        zone: zone.to_owned(),
        region: "region-1".to_owned(),
        link_address: address.to_owned(),
        draining: false,
    }
}

#[gtest]
#[actix_rt::test]
async fn nodes_are_learnt_from_the_first_one_and_outlive_it() {
    let (first_script, _) = answers("v1", 2);
    let (second_script, second_seen) = answers("v1", 2);
    let first = ScriptedNode::start("node-1", first_script).await;
    let second = ScriptedNode::start("node-2", second_script).await;
    let (_sidecar, base) = sidecar(settings(&[&first])).await;
    first.announcement.send_modify(|now| {
        now.peers.nodes = vec![peer("node-2", "zone-1", &second.address)];
    });
    wait_links(&base, 2).await;
    first.abort_handle().abort();
    wait_links(&base, 1).await;
    let answer = post(
        &format!("{base}/v1/chat/completions"),
        &[],
        chat_body(false),
    )
    .await;
    expect_that!(answer.status, eq(200));
    expect_that!(second_seen.borrow().len(), eq(1));
}

#[gtest]
#[actix_rt::test]
async fn links_are_counted_over_all_workers() {
    let (script, _) = answers("v1", 2);
    let node = ScriptedNode::start("node-1", script).await;
    let mut bounds = settings(&[&node]);
    bounds.workers = 3;
    let (_sidecar, base) = sidecar(bounds).await;
    wait_links(&base, 3).await;
    node.abort_handle().abort();
    wait_links(&base, 0).await;
}

#[gtest]
#[actix_rt::test]
async fn a_node_that_drains_is_not_dialled() {
    let (script, _) = answers("v1", 2);
    let first = ScriptedNode::start("node-1", script.clone()).await;
    let second = ScriptedNode::start("node-2", script).await;
    let (_sidecar, base) = sidecar(settings(&[&first])).await;
    let mut draining = peer("node-2", "zone-1", &second.address);
    draining.draining = true;
    first
        .announcement
        .send_modify(|now| now.peers.nodes = vec![draining.clone()]);
    first.announcement.send_modify(|now| {
        now.peers
            .nodes
            .push(peer("node-3", "zone-1", "127.0.0.1:1"))
    });
    until(async || metric(&base, "dappleyard_sidecar_link_failures_total").await > 0).await;
    expect_that!(metric(&base, "dappleyard_sidecar_links").await, eq(1));
}

#[gtest]
#[actix_rt::test]
async fn a_node_that_comes_back_is_linked_again() {
    let (script, _) = answers("v1", 2);
    let node = ScriptedNode::start("node-1", script.clone()).await;
    let (_sidecar, base) = sidecar(settings(&[&node])).await;
    node.abort_handle().abort();
    until(async || get(&format!("{base}/readyz")).await.status == 503).await;
    let _again = ScriptedNode::start_at("node-1", &node.address, script).await;
    until(async || get(&format!("{base}/readyz")).await.status == 200).await;
}

#[gtest]
#[actix_rt::test]
async fn links_beyond_those_wanted_are_closed_once_unused() {
    let script: support::Script = Rc::new(|_: ServerStream| {});
    let mut nodes = Vec::new();
    for index in 0..5 {
        nodes.push(ScriptedNode::start(&format!("node-{index}"), script.clone()).await);
    }
    let (far, near) = nodes.split_at(2);
    let (_sidecar, base) = sidecar(settings(&far.iter().collect::<Vec<_>>())).await;
    wait_links(&base, 2).await;
    far[0].announcement.send_modify(|now| {
        let told = |node: &ScriptedNode| peer("node", "zone-1", &node.address);
        now.peers.nodes = near.iter().map(told).collect();
        let away = |node: &ScriptedNode| peer("far", "zone-9", &node.address);
        now.peers.nodes.extend(far.iter().map(away));
    });
    wait_links(&base, 3).await;
    until(async || metric(&base, "dappleyard_link_closed_total").await >= 1).await;
}

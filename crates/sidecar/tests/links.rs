//! Link maintenance: announced peers, reconnects, and closing of surplus links.

mod support;

use std::rc::Rc;

use dappleyard_transport::link::ServerStream;
use dappleyard_wire::messages::PeerNode;
use googletest::prelude::*;
use support::{
    ScriptedNode, answering_script, chat_body, get, metric, post, settings, start_sidecar,
    wait_links, wait_until,
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
async fn announced_peers_stay_linked_after_the_announcing_node_is_lost() {
    let (first_script, _) = answering_script("v1", 2);
    let (second_script, second_seen) = answering_script("v1", 2);
    let first = ScriptedNode::start("node-1", first_script).await;
    let second = ScriptedNode::start("node-2", second_script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&first])).await;
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
async fn links_gauge_covers_all_workers() {
    let (script, _) = answering_script("v1", 2);
    let node = ScriptedNode::start("node-1", script).await;
    let mut sidecar_settings = settings(&[&node]);
    sidecar_settings.workers = 3;
    let (_sidecar, base) = start_sidecar(sidecar_settings).await;
    wait_links(&base, 3).await;
    node.abort_handle().abort();
    wait_links(&base, 0).await;
}

#[gtest]
#[actix_rt::test]
async fn draining_node_is_not_dialled() {
    let (script, _) = answering_script("v1", 2);
    let first = ScriptedNode::start("node-1", script.clone()).await;
    let second = ScriptedNode::start("node-2", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&first])).await;
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
    wait_until(async || metric(&base, "dappleyard_sidecar_link_failures_total").await > 0).await;
    expect_that!(metric(&base, "dappleyard_sidecar_links").await, eq(1));
}

#[gtest]
#[actix_rt::test]
async fn restarted_node_is_reconnected() {
    let (script, _) = answering_script("v1", 2);
    let node = ScriptedNode::start("node-1", script.clone()).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    node.abort_handle().abort();
    wait_until(async || get(&format!("{base}/readyz")).await.status == 503).await;
    let _again = ScriptedNode::start_at("node-1", &node.address, script).await;
    wait_until(async || get(&format!("{base}/readyz")).await.status == 200).await;
}

#[gtest]
#[actix_rt::test]
async fn surplus_idle_links_are_closed() {
    let script: support::Script = Rc::new(|_: ServerStream| {});
    let mut nodes = Vec::new();
    for index in 0..5 {
        nodes.push(ScriptedNode::start(&format!("node-{index}"), script.clone()).await);
    }
    let (far, near) = nodes.split_at(2);
    let (_sidecar, base) = start_sidecar(settings(&far.iter().collect::<Vec<_>>())).await;
    wait_links(&base, 2).await;
    far[0].announcement.send_modify(|now| {
        let announce = |node: &ScriptedNode| peer("node", "zone-1", &node.address);
        now.peers.nodes = near.iter().map(announce).collect();
        let away = |node: &ScriptedNode| peer("far", "zone-9", &node.address);
        now.peers.nodes.extend(far.iter().map(away));
    });
    wait_links(&base, 3).await;
    wait_until(async || metric(&base, "dappleyard_link_closed_total").await >= 1).await;
}

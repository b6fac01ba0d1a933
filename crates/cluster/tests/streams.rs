//! Where streams began, told and asked over UDP on loopback.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{ServersSink, TableSink};
use dappleyard_model::{Row, RunOrigin, Topology};
use dappleyard_platform::PlatformDialect;
use dappleyard_streams::{Answer, Knowledge, StreamKey, resolve};
use googletest::prelude::*;
use support::{TestNode, fleet_in, regions, run_local, wait_until};

const SERVICE: &str = "llm";
const LIFETIME: Duration = Duration::from_secs(5);
/// Streams that begin at one node.
const STREAMS: u64 = 20;

fn server_row(number: usize, version: &str) -> Row {
    let value = format!(
        r#"{{"service":"{SERVICE}","address":"10.0.0.1:{}","zone":"north","version":"{version}","slots":8,"state":"ready","cold_left_ms":0,"seq":1}}"#,
        1_000 + number
    );
    Row {
        part: String::new(),
        key: format!("i-{number}"),
        value: Some(Bytes::from(value)),
        revision: 1,
    }
}

/// A fleet of nodes that hear each other and list one server of each version.
async fn fleet_with(places: &Topology, count: usize, versions: &[&str]) -> Vec<TestNode> {
    let nodes = fleet_in(places, count).await;
    for node in &nodes {
        let sink = ServersSink {
            view: node.view.clone(),
            dialect: Arc::new(PlatformDialect),
        };
        let rows = versions.iter().enumerate();
        let rows = rows.map(|(number, version)| server_row(number, version));
        sink.replace(rows.collect(), 1);
    }
    wait_until("the nodes hear each other", || {
        nodes.iter().all(|node| node.peers.count() == count)
    })
    .await;
    nodes
}

fn origin(version: &str) -> RunOrigin {
    RunOrigin {
        service: SERVICE.to_owned(),
        version: version.parse().ok(),
    }
}

fn begin_streams(node: &TestNode) {
    for number in 0..STREAMS {
        node.streams
            .note_begun(StreamKey(number), &origin("v1"), LIFETIME);
    }
}

/// Streams of which other nodes know.
fn known_elsewhere(nodes: &[TestNode]) -> usize {
    let known = |number: &u64| {
        let mut others = nodes[1..].iter();
        others.any(|node| node.streams.find(StreamKey(*number)).is_some())
    };
    (0..STREAMS).filter(known).count()
}

/// Guards against the loss of where streams began with the node that served them: after it has ended, every other node
/// finds out.
async fn streams_outlive_their_node(places: Topology, count: usize) {
    let mut nodes = fleet_with(&places, count, &["v1", "v2"]).await;
    begin_streams(&nodes[0]);
    wait_until("the streams are told", || {
        known_elsewhere(&nodes) == STREAMS as usize
    })
    .await;
    let holders: usize = nodes[1..]
        .iter()
        .map(|node| node.streams.record_count())
        .sum();
    expect_that!(holders, eq(2 * STREAMS as usize));
    nodes[0].task.take().expect("a task").abort();
    for node in &nodes[1..] {
        let knowledge = node.view.version_knowledge(SERVICE);
        expect_that!(knowledge, eq(&Knowledge::Several));
        for number in 0..STREAMS {
            let stream = StreamKey(number);
            let found = match node.streams.find(stream) {
                Some(found) => Some(found),
                None => {
                    let asked = node.streams.ask(Some(stream), SERVICE).await;
                    resolve(&knowledge, &asked.answers)
                }
            };
            expect_that!(
                found,
                some(eq(&origin("v1"))),
                "{} of {}",
                number,
                node.name
            );
        }
    }
}

#[gtest]
fn small_fleet() {
    run_local(streams_outlive_their_node(Topology::default(), 9));
}

#[gtest]
fn large_fleet() {
    run_local(streams_outlive_their_node(Topology::default(), 30));
}

#[gtest]
fn several_regions() {
    run_local(streams_outlive_their_node(regions(), 30));
}

// Guards against an answer that nobody can give being awaited for long.
#[gtest]
fn unknown_stream() {
    run_local(async {
        let nodes = fleet_with(&Topology::default(), 9, &["v1", "v2"]).await;
        let asked = nodes[0].streams.ask(Some(StreamKey(1)), SERVICE).await;
        expect_that!(asked.complete, eq(true));
        expect_that!(asked.answers, len(eq(8)));
        expect_that!(asked.answers, each(eq(&Answer::Several)));
    });
}

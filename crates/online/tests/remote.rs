//! Requests that enter at one node and run at another, over TCP links.

mod support;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_online::node_load;
use dappleyard_settings::OnlineSettings;
use dappleyard_store::MemoryPlatform;
use dappleyard_tables::Lifecycle;
use dappleyard_transport::link::Announcement;
use dappleyard_transport::{DirectPolicy, LinkServer, LinkSettings, ServerStream};
use dappleyard_wire::messages::{CellAggregate, Hello, Member, frame};
use dappleyard_wire::{ErrorKind, PROTOCOL_VERSION, Ran};
use googletest::prelude::*;
use support::*;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Runs a test without virtual time, since it uses sockets.
fn run_in_real_time<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// A node that serves links on a local port.
struct Peer {
    node: Node,
    address: String,
    serving: tokio::task::JoinHandle<()>,
    _announcement: watch::Sender<Announcement>,
}

impl Peer {
    async fn start(name: &str, servers: usize, with: &Node) -> Peer {
        let settings = OnlineSettings::default();
        let engine = with.engine.clone();
        let node = Node::named(name, servers, settings, with.platform.clone(), engine);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let ready = Announcement {
            ready: true,
            ..Announcement::default()
        };
        let (announcement, announced) = watch::channel(ready);
        let server = Rc::new(LinkServer {
            hello: Hello {
                protocol: PROTOCOL_VERSION,
                id: name.to_owned(),
                ..Hello::default()
            },
            settings: LinkSettings::default(),
            policy: Arc::new(DirectPolicy),
            announcement: announced,
            gate: dappleyard_transport::RequestGate::new(),
        });
        let worker = node.worker.clone();
        let handler = move |stream: ServerStream| match stream.first.clone() {
            frame::Body::Submit(submit) => worker.handle(submit, stream),
            frame::Body::Call(call) => {
                let worker = worker.clone();
                tokio::task::spawn_local(async move {
                    let body = match worker.handle_record_call(call).await {
                        Ok(reply) => frame::Body::Reply(reply),
                        Err(failure) => frame::Body::Refused(failure.to_refused()),
                    };
                    let _ = stream.send(body);
                });
            }
            _ => {}
        };
        let serving = tokio::task::spawn_local(async move {
            let _ = server.serve(listener, Rc::new(handler)).await;
        });
        Peer {
            node,
            address,
            serving,
            _announcement: announcement,
        }
    }

    fn member(&self) -> Member {
        Member {
            node: self.node.tables.identity.node.to_string(),
            zone: "zone-a".to_owned(),
            region: "region-a".to_owned(),
            link_address: self.address.clone(),
            incarnation: 7 << 16,
            ..Member::default()
        }
    }

    /// Registers the peer with a node as an owner in its cell.
    fn announce_to(&self, to: &Node) {
        to.tables.members.put(self.member());
        let now = to.tables.clock.now();
        to.tables.loads.put_node(node_load(&self.node.tables), now);
        to.tables
            .directory
            .replace(self.node.tables.directory.all());
    }
}

#[gtest]
fn a_request_is_served_by_an_owner_on_another_node() {
    run_in_real_time(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 2, &ingress).await;
        owner.announce_to(&ingress);
        let answer = ingress.submit(request("r1")).full_answer().await;
        expect_that!(answer.text(), eq(&full_text()));
        expect_that!(answer.accepted[0].node, eq("n1"));
    });
}

#[gtest]
fn a_stream_is_resumed_after_its_owner_is_lost() {
    run_in_real_time(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 1, &ingress).await;
        owner.announce_to(&ingress);
        let stalled = vec![Step::Accept, Step::Tokens(2), Step::Hang];
        ingress.engine.script("s0", [Script::Steps(stalled)]);
        let mut client = ingress.submit(request("r1"));
        client.read_tokens(2).await;
        owner.serving.abort();
        let answer = client.full_answer().await;
        expect_that!(answer.text(), eq(&full_text()));
        let calls = ingress.engine.calls.borrow();
        expect_that!(calls.len(), eq(2));
        expect_that!(calls[1].1.attach_stream, eq("e1"));
        expect_that!(calls[1].1.attach_only, is_true());
        expect_that!(calls[1].1.resume_offset, eq(2));
    });
}

#[gtest]
fn an_at_most_once_request_is_resumed_without_a_second_run_after_its_owner_is_lost() {
    run_in_real_time(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 1, &ingress).await;
        owner.announce_to(&ingress);
        let stalled = vec![Step::Accept, Step::Tokens(2), Step::Hang];
        ingress.engine.script("s0", [Script::Steps(stalled)]);
        let mut client = ingress.submit(at_most_once_request("r1", "key-1"));
        client.read_tokens(2).await;
        owner.serving.abort();
        let answer = client.full_answer().await;
        expect_that!(answer.text(), eq(&full_text()));
        let calls = ingress.engine.calls.borrow();
        let started = calls.iter().filter(|(_, call)| !call.attach_only);
        expect_that!(started.count(), eq(1));
    });
}

#[gtest]
fn an_at_most_once_request_has_an_unknown_outcome_when_its_silent_owner_is_lost() {
    run_in_real_time(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 1, &ingress).await;
        owner.announce_to(&ingress);
        ingress.engine.script("s0", [Script::SilentAtCall]);
        let mut client = ingress.submit(at_most_once_request("r1", "key-1"));
        while ingress.engine.calls.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        owner.serving.abort();
        let refused = client.full_answer().await.refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::OutcomeUnknown as u32));
        expect_that!(refused.ran(), eq(Ran::Maybe));
        expect_that!(ingress.engine.calls.borrow().len(), eq(1));
    });
}

#[gtest]
fn an_unreachable_owner_is_reported_as_not_run() {
    run_in_real_time(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 1, &ingress).await;
        owner.announce_to(&ingress);
        owner.serving.abort();
        let _ = owner.serving.await;
        let refused = ingress.submit(request("r1")).full_answer().await.refused;
        let refused = refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::NodeLost as u32));
        expect_that!(refused.ran(), eq(Ran::No));
        expect_that!(*ingress.engine.calls.borrow(), is_empty());
    });
}

#[gtest]
fn another_owner_is_tried_after_a_bounce() {
    run_in_real_time(async {
        let ingress = Node::new(0);
        let first = Peer::start("n1", 1, &ingress).await;
        let second = Peer::start("n2", 1, &ingress).await;
        for peer in [&first, &second] {
            peer.announce_to(&ingress);
        }
        first
            .node
            .tables
            .lifecycle
            .send_replace(Lifecycle::Withdrawn);
        for index in 0..4 {
            let answer = ingress
                .submit(request(&format!("r{index}")))
                .full_answer()
                .await;
            expect_that!(answer.accepted[0].node, eq("n2"));
        }
    });
}

#[gtest]
fn the_retry_delay_of_an_overloaded_owner_reaches_the_caller() {
    run_in_real_time(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 1, &ingress).await;
        owner.announce_to(&ingress);
        let servers = &owner.node.tables.servers;
        servers.with(&"s0".into(), |state| state.foreign_online = 2_000);
        let refused = ingress.submit(request("r1")).full_answer().await.refused;
        let refused = refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::Overloaded as u32));
        expect_that!(refused.ran(), eq(Ran::No));
        expect_that!(refused.retry_after_ms, gt(1_000));
    });
}

#[gtest]
fn a_request_spills_to_another_cell_without_local_servers() {
    run_in_real_time(async {
        let ingress = Node::new(0);
        let other_cell = Peer::start("n9", 1, &ingress).await;
        ingress.tables.members.put(other_cell.member());
        let load = node_load(&other_cell.node.tables);
        let aggregate = CellAggregate {
            cell: "zone-b/0".to_owned(),
            zone: "zone-b".to_owned(),
            region: "region-a".to_owned(),
            services: load.services,
            entry_nodes: vec!["n9".to_owned()],
            ..CellAggregate::default()
        };
        let now = ingress.tables.clock.now();
        ingress.tables.loads.put_cell(aggregate, now);
        let answer = ingress.submit(request("r1")).full_answer().await;
        expect_that!(answer.text(), eq(&full_text()));
        expect_that!(answer.accepted[0].node, eq("n9"));
    });
}

#[gtest]
fn records_are_written_directly_when_the_recorder_is_lost() {
    run_in_real_time(async {
        let ingress = Node::with(1, OnlineSettings::default(), MemoryPlatform::default());
        let recorder = Peer::start("n1", 0, &ingress).await;
        ingress.tables.members.put(recorder.member());
        let now = ingress.tables.clock.now();
        let load = node_load(&recorder.node.tables);
        ingress.tables.loads.put_node(load, now);
        for index in 0..8 {
            if index == 4 {
                recorder.serving.abort();
            }
            let (id, key) = (format!("r{index}"), format!("key-{index}"));
            let answer = ingress
                .submit(at_most_once_request(&id, &key))
                .full_answer()
                .await;
            expect_that!(answer.text(), eq(&full_text()));
        }
        expect_that!(ingress.platform.rows("once/").len(), eq(8));
    });
}

//! Requests that enter at one node and run at another, over TCP links.

mod support;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_online::summary;
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
fn run_real<F: Future>(test: F) -> F::Output {
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
        });
        let worker = node.worker.clone();
        let handler = move |stream: ServerStream| match stream.first.clone() {
            frame::Body::Submit(submit) => worker.handle(submit, stream),
            frame::Body::Call(call) => {
                let worker = worker.clone();
                tokio::task::spawn_local(async move {
                    let body = match worker.record_call(call).await {
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
    fn introduce(&self, to: &Node) {
        to.tables.members.put(self.member());
        let now = to.tables.clock.now();
        to.tables.loads.put_node(summary(&self.node.tables), now);
        to.tables
            .directory
            .replace(self.node.tables.directory.all());
    }
}

#[gtest]
fn an_owner_of_the_cell_serves_what_enters_elsewhere() {
    run_real(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 2, &ingress).await;
        owner.introduce(&ingress);
        let answer = ingress.submit(request("r1")).whole().await;
        expect_that!(answer.text(), eq(&whole_text()));
        expect_that!(answer.accepted[0].node, eq("n1"));
    });
}

#[gtest]
fn an_owner_lost_in_the_middle_is_replaced_by_attaching_to_its_stream() {
    run_real(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 1, &ingress).await;
        owner.introduce(&ingress);
        let slow = vec![Step::Accept, Step::Tokens(2), Step::Hang];
        ingress.engine.script("s0", [Script::Steps(slow)]);
        let mut client = ingress.submit(request("r1"));
        client.read_tokens(2).await;
        owner.serving.abort();
        let answer = client.whole().await;
        expect_that!(answer.text(), eq(&whole_text()));
        let calls = ingress.engine.calls.borrow();
        expect_that!(calls.len(), eq(2));
        expect_that!(calls[1].1.attach_stream, eq("e1"));
        expect_that!(calls[1].1.attach_only, is_true());
        expect_that!(calls[1].1.resume_offset, eq(2));
    });
}

#[gtest]
fn an_owner_lost_under_a_request_that_must_not_repeat_is_replaced_without_a_second_run() {
    run_real(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 1, &ingress).await;
        owner.introduce(&ingress);
        let slow = vec![Step::Accept, Step::Tokens(2), Step::Hang];
        ingress.engine.script("s0", [Script::Steps(slow)]);
        let mut client = ingress.submit(once_request("r1", "key-1"));
        client.read_tokens(2).await;
        owner.serving.abort();
        let answer = client.whole().await;
        expect_that!(answer.text(), eq(&whole_text()));
        let calls = ingress.engine.calls.borrow();
        let started = calls.iter().filter(|(_, call)| !call.attach_only);
        expect_that!(started.count(), eq(1));
    });
}

#[gtest]
fn a_silent_owner_of_a_request_that_must_not_repeat_leaves_its_outcome_unknown() {
    run_real(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 1, &ingress).await;
        owner.introduce(&ingress);
        ingress.engine.script("s0", [Script::SilentAtCall]);
        let mut client = ingress.submit(once_request("r1", "key-1"));
        while ingress.engine.calls.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        owner.serving.abort();
        let refused = client.whole().await.refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::OutcomeUnknown as u32));
        expect_that!(refused.ran(), eq(Ran::Maybe));
        expect_that!(ingress.engine.calls.borrow().len(), eq(1));
    });
}

#[gtest]
fn an_owner_that_cannot_be_reached_costs_a_choice_and_nothing_ran() {
    run_real(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 1, &ingress).await;
        owner.introduce(&ingress);
        owner.serving.abort();
        let _ = owner.serving.await;
        let refused = ingress.submit(request("r1")).whole().await.refused;
        let refused = refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::NodeLost as u32));
        expect_that!(refused.ran(), eq(Ran::No));
        expect_that!(*ingress.engine.calls.borrow(), is_empty());
    });
}

#[gtest]
fn an_owner_that_bounces_is_followed_by_the_next() {
    run_real(async {
        let ingress = Node::new(0);
        let first = Peer::start("n1", 1, &ingress).await;
        let second = Peer::start("n2", 1, &ingress).await;
        for peer in [&first, &second] {
            peer.introduce(&ingress);
        }
        first
            .node
            .tables
            .lifecycle
            .send_replace(Lifecycle::Withdrawn);
        for index in 0..4 {
            let answer = ingress.submit(request(&format!("r{index}"))).whole().await;
            expect_that!(answer.accepted[0].node, eq("n2"));
        }
    });
}

#[gtest]
fn the_advice_of_a_full_owner_reaches_the_caller() {
    run_real(async {
        let ingress = Node::new(0);
        let owner = Peer::start("n1", 1, &ingress).await;
        owner.introduce(&ingress);
        let servers = &owner.node.tables.servers;
        servers.with(&"s0".into(), |state| state.foreign_online = 2_000);
        let refused = ingress.submit(request("r1")).whole().await.refused;
        let refused = refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::Overloaded as u32));
        expect_that!(refused.ran(), eq(Ran::No));
        expect_that!(refused.retry_after_ms, gt(1_000));
    });
}

#[gtest]
fn work_that_the_cell_cannot_place_spills_to_another_cell() {
    run_real(async {
        let ingress = Node::new(0);
        let far = Peer::start("n9", 1, &ingress).await;
        ingress.tables.members.put(far.member());
        let load = summary(&far.node.tables);
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
        let answer = ingress.submit(request("r1")).whole().await;
        expect_that!(answer.text(), eq(&whole_text()));
        expect_that!(answer.accepted[0].node, eq("n9"));
    });
}

#[gtest]
fn a_lost_recorder_is_replaced_by_writing_directly() {
    run_real(async {
        let ingress = Node::with(1, OnlineSettings::default(), MemoryPlatform::default());
        let recorder = Peer::start("n1", 0, &ingress).await;
        ingress.tables.members.put(recorder.member());
        let now = ingress.tables.clock.now();
        let load = summary(&recorder.node.tables);
        ingress.tables.loads.put_node(load, now);
        for index in 0..8 {
            if index == 4 {
                recorder.serving.abort();
            }
            let (id, key) = (format!("r{index}"), format!("key-{index}"));
            let answer = ingress.submit(once_request(&id, &key)).whole().await;
            expect_that!(answer.text(), eq(&whole_text()));
        }
        expect_that!(ingress.platform.rows("once/").len(), eq(8));
    });
}

//! Answers of a node that meet its planned stop.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_node::NodeHandle;
use dappleyard_settings::{NodeSettings, PlatformSettings};
use dappleyard_transport::link::ClientStream;
use dappleyard_transport::{Link, LinkPolicy, LinkSettings, PathState};
use dappleyard_wire::PROTOCOL_VERSION;
use dappleyard_wire::messages::{Call, Hello, ListModels, RecordBegin, call, frame};
use googletest::prelude::*;

const ANY_PORT: &str = "127.0.0.1:0";
/// Time for a frame to reach the node.
const ARRIVAL: Duration = Duration::from_millis(100);
/// Longer than a stop without anything in progress.
const SLOW: Duration = Duration::from_millis(1_500);

/// Delays all that the node sends.
struct Delay(Duration);

impl LinkPolicy for Delay {
    fn path(&self, _peer: &str) -> PathState {
        PathState {
            delay: self.0,
            ..PathState::DIRECT
        }
    }
}

/// A store that takes calls and never answers.
struct SilentStore(TcpListener);

impl SilentStore {
    fn start() -> SilentStore {
        SilentStore(TcpListener::bind(ANY_PORT).unwrap())
    }

    fn settings(&self) -> PlatformSettings {
        let url = format!("http://{}", self.0.local_addr().unwrap());
        PlatformSettings {
            tables_url: url.clone(),
            objects_url: url.clone(),
            machines_url: url,
            call_timeout_ms: SLOW.as_millis() as u64,
            ..PlatformSettings::default()
        }
    }
}

async fn start_node(store: &SilentStore, delay: Duration) -> NodeHandle {
    let settings = NodeSettings {
        link_listen: ANY_PORT.to_owned(),
        gossip_listen: ANY_PORT.to_owned(),
        admin_listen: ANY_PORT.to_owned(),
        platform: store.settings(),
        ..NodeSettings::default()
    };
    dappleyard_node::start(settings, Arc::new(Delay(delay)))
        .await
        .unwrap()
}

async fn open_call(node: &NodeHandle, method: call::Method) -> ClientStream {
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        id: "caller".to_owned(),
        ..Hello::default()
    };
    let settings = LinkSettings {
        connect_timeout: 2 * SLOW,
        idle_timeout: 4 * SLOW,
        ..LinkSettings::default()
    };
    let direct = Arc::new(Delay(Duration::ZERO));
    let link = Link::connect(node.link_address(), hello, &settings, direct).await;
    let call = Call {
        budget_ms: 10_000,
        method: Some(method),
    };
    let stream = link.unwrap().open(frame::Body::Call(call)).unwrap();
    tokio::time::sleep(ARRIVAL).await;
    stream
}

/// Guards against ending while an answer stands in a link's queue.
#[gtest]
#[actix_rt::test]
async fn queued_reply_at_stop() {
    let store = SilentStore::start();
    let node = start_node(&store, SLOW).await;
    let models = call::Method::ListModels(ListModels::default());
    let mut stream = open_call(&node, models).await;
    let stopping = actix_rt::spawn(node.stop());
    expect_that!(
        stream.receive().await,
        ok(matches_pattern!(frame::Body::Reply(_)))
    );
    expect_that!(stopping.await.unwrap(), eq(true));
}

/// Guards against ending while a call is being answered.
#[gtest]
#[actix_rt::test]
async fn running_call_at_stop() {
    let store = SilentStore::start();
    let node = start_node(&store, Duration::ZERO).await;
    let begin = RecordBegin {
        tenant: "default".to_owned(),
        idempotency_key: "order-1".to_owned(),
        ..RecordBegin::default()
    };
    let mut stream = open_call(&node, call::Method::RecordBegin(begin)).await;
    let stopping = actix_rt::spawn(node.stop());
    expect_that!(
        stream.receive().await,
        ok(matches_pattern!(frame::Body::Refused(_)))
    );
    expect_that!(stopping.await.unwrap(), eq(true));
}

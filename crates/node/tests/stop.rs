//! Answers of a node that meet its planned stop.

mod support;

use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dappleyard_node::NodeHandle;
use dappleyard_settings::PlatformSettings;
use dappleyard_transport::link::ClientStream;
use dappleyard_transport::{LinkPolicy, LinkSettings, PathState};
use dappleyard_wire::messages::{ListModels, RecordBegin, call, frame};
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use support::{ANY_PORT, dial, open_call, settings, start};

/// Time for a frame to reach the node.
const ARRIVAL: Duration = Duration::from_millis(100);
/// Longer than a stop without anything in progress.
const SLOW: Duration = Duration::from_millis(1_500);
/// Stop bound of a node whose operator's request takes longer.
const BOUND: Duration = Duration::from_millis(2_000);

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
    start(settings(store.settings()), Arc::new(Delay(delay))).await
}

async fn call(node: &NodeHandle, method: call::Method) -> ClientStream {
    let settings = LinkSettings {
        connect_timeout: 2 * SLOW,
        idle_timeout: 4 * SLOW,
        ..LinkSettings::default()
    };
    let stream = open_call(&dial(node, &settings).await, method);
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
    let mut stream = call(&node, models).await;
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
    let mut stream = call(&node, call::Method::RecordBegin(begin)).await;
    let stopping = actix_rt::spawn(node.stop());
    expect_that!(
        stream.receive().await,
        ok(matches_pattern!(frame::Body::Refused(_)))
    );
    expect_that!(stopping.await.unwrap(), eq(true));
}

/// Sends a request of an operator on a kept connection, and returns its answer.
async fn healthz(connection: &mut TcpStream) -> String {
    let request = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    connection.write_all(request).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"ok\n") {
        answer.push(connection.read_u8().await.unwrap());
    }
    String::from_utf8(answer).unwrap().to_lowercase()
}

/// Guards against closing an operator's resting connection before it was told of the stop.
#[gtest]
#[actix_rt::test]
async fn admin_connection_at_stop() {
    let store = SilentStore::start();
    let node = start_node(&store, Duration::ZERO).await;
    let mut connection = TcpStream::connect(node.admin_address()).await.unwrap();
    expect_that!(
        healthz(&mut connection).await,
        not(contains_substring("connection: close"))
    );
    let stopping = actix_rt::spawn(node.stop());
    tokio::time::sleep(ARRIVAL).await;
    expect_that!(
        healthz(&mut connection).await,
        contains_substring("connection: close")
    );
    expect_that!(stopping.await.unwrap(), eq(true));
}

/// Guards against a stop that waits for an operator's request beyond its bound.
#[gtest]
#[actix_rt::test]
async fn admin_request_beyond_bound() {
    let store = SilentStore::start();
    let mut settings = settings(store.settings());
    settings.platform.call_timeout_ms = 10 * BOUND.as_millis() as u64;
    settings.stop_bound_ms = BOUND.as_millis() as u64;
    let node = start(settings, Arc::new(Delay(Duration::ZERO))).await;
    let mut connection = TcpStream::connect(node.admin_address()).await.unwrap();
    let request = b"GET /admin/v1/plans HTTP/1.1\r\nHost: x\r\n\r\n";
    connection.write_all(request).await.unwrap();
    tokio::time::sleep(ARRIVAL).await;
    let begun = Instant::now();
    expect_that!(node.stop().await, eq(false));
    expect_that!(begun.elapsed(), lt(3 * BOUND));
}

//! Graceful shutdown completes requests in flight.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpRequest, HttpResponse, web};
use dappleyard_budget::CallerLimits;
use dappleyard_callers::{ConnectionGate, ServerOptions, listen, serve};
use dappleyard_clock::Instant;
use dappleyard_ingress::close_connections;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// More than the buffers of a connection on loopback hold.
const LARGE_BODY_BYTES: usize = 32 * 1024 * 1024;
const ANSWER_TIME: Duration = Duration::from_millis(500);
const KEPT_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const BLOCKING_REQUEST: &[u8] = b"GET /block HTTP/1.1\r\nHost: a\r\n\r\n";
/// How long a blocking request holds up the worker.
const BLOCK_TIME: Duration = Duration::from_millis(300);

#[derive(Clone)]
struct HandlerState {
    connections: Arc<ConnectionGate>,
    in_flight: Arc<AtomicU64>,
    begun: Arc<AtomicU64>,
    received: Arc<Notify>,
    answer: Arc<Notify>,
    body: Arc<str>,
}

impl HandlerState {
    /// Waits for `answer` before it answers.
    fn waiting() -> Self {
        Self {
            connections: Arc::default(),
            in_flight: Arc::default(),
            begun: Arc::default(),
            received: Arc::default(),
            answer: Arc::default(),
            body: "whole".into(),
        }
    }

    /// Answers the first request at once.
    fn answering(body: &str) -> Self {
        let state = Self {
            body: body.into(),
            ..Self::waiting()
        };
        state.answer.notify_one();
        state
    }

    fn ended(&self) -> u64 {
        self.begun.load(Ordering::Relaxed) - self.in_flight.load(Ordering::Relaxed)
    }
}

async fn handle(request: HttpRequest, state: web::Data<HandlerState>) -> HttpResponse {
    state.in_flight.fetch_add(1, Ordering::Relaxed);
    state.begun.fetch_add(1, Ordering::Relaxed);
    state.received.notify_one();
    match request.path() {
        "/block" => std::thread::sleep(BLOCK_TIME),
        _ => state.answer.notified().await,
    }
    state.in_flight.fetch_sub(1, Ordering::Relaxed);
    HttpResponse::Ok().body(state.body.to_string())
}

fn start(state: HandlerState) -> (HandlerState, ServerHandle, SocketAddr) {
    let shared = web::Data::new(state.clone());
    let factory = move || {
        let app = App::new().app_data(shared.clone());
        app.default_service(web::to(handle))
    };
    let listener = listen(
        ([127, 0, 0, 1], 0).into(),
        &CallerLimits::of_machine(120, 3_075),
    )
    .expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = serve(
        vec![listener],
        1,
        ServerOptions::default(),
        &state.connections,
        factory,
    )
    .expect("a server");
    let handle = server.handle();
    actix_web::rt::spawn(server);
    (state, handle, address)
}

async fn read_until(caller: &mut TcpStream, end: &str) {
    let mut text = Vec::new();
    while !text.ends_with(end.as_bytes()) {
        let read = caller.read_buf(&mut text).await.expect("read the answer");
        assert!(read > 0, "the answer ended early");
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a request that begins on an old connection after the stop has found none in progress: it would be
/// cut when the process ends.
#[gtest]
fn resting_connection_after_shutdown() {
    actix_web::rt::System::new().block_on(async {
        let (state, server, address) = start(HandlerState::answering("whole"));
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        caller
            .write_all(KEPT_REQUEST)
            .await
            .expect("send the request");
        read_until(&mut caller, "whole").await;
        let last = Instant::now() + Duration::from_secs(20);
        close_connections(&server, &state.connections, last).await;
        // The connection may be closed already.
        let _ = caller.write_all(KEPT_REQUEST).await;
        let mut text = String::new();
        // A connection reset shows as missing text.
        let _ = timeout(ANSWER_TIME, caller.read_to_string(&mut text)).await;
        expect_that!(state.begun.load(Ordering::Relaxed), eq(1));
        expect_that!(text, eq(""));
        drop(server.stop(false));
    });
}

/// Guards against a request that a caller sent in time and that nobody answers, because the process had no time to read it
/// before the connections were closed.
#[gtest]
fn request_before_the_close() {
    actix_web::rt::System::new().block_on(async {
        let (state, server, address) = start(HandlerState::waiting());
        let mut resting = TcpStream::connect(address).await.expect("a connection");
        state.answer.notify_one();
        resting
            .write_all(KEPT_REQUEST)
            .await
            .expect("send the request");
        read_until(&mut resting, "whole").await;
        let mut blocking = TcpStream::connect(address).await.expect("a connection");
        blocking
            .write_all(BLOCKING_REQUEST)
            .await
            .expect("send the request");
        wait_until(|| state.begun.load(Ordering::Relaxed) == 2).await;
        resting
            .write_all(KEPT_REQUEST)
            .await
            .expect("send the request");
        state.answer.notify_one();
        let last = Instant::now() + Duration::from_secs(20);
        close_connections(&server, &state.connections, last).await;
        let mut text = String::new();
        // A connection reset shows as missing text.
        let _ = timeout(ANSWER_TIME, resting.read_to_string(&mut text)).await;
        expect_that!(text, ends_with("whole"));
        drop(server.stop(false));
    });
}

/// Guards against the end of the process while an answer that the handler has finished is not yet written.
#[gtest]
fn unwritten_answer_at_shutdown() {
    actix_web::rt::System::new().block_on(async {
        let body = "x".repeat(LARGE_BODY_BYTES);
        let (state, server, address) = start(HandlerState::answering(&body));
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        caller
            .write_all(KEPT_REQUEST)
            .await
            .expect("send the request");
        wait_until(|| state.ended() == 1).await;
        let last = Instant::now() + Duration::from_secs(20);
        let finishing = close_connections(&server, &state.connections, last);
        tokio::pin!(finishing);
        let finished_unread = timeout(ANSWER_TIME, &mut finishing).await.is_ok();
        expect_that!(finished_unread, eq(false));
        let mut answer = Vec::new();
        let reading = async {
            // A connection reset shows as missing bytes.
            let _ = timeout(ANSWER_TIME, caller.read_to_end(&mut answer)).await;
        };
        tokio::join!(reading, async {
            if !finished_unread {
                finishing.await;
            }
            drop(server.stop(false));
        });
        expect_that!(answer.len(), ge(LARGE_BODY_BYTES));
    });
}

/// Guards against a stop that lasts to its limit because a caller has sent half of a head.
#[gtest]
fn incomplete_head_at_shutdown() {
    actix_web::rt::System::new().block_on(async {
        let (state, server, address) = start(HandlerState::answering("whole"));
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        caller
            .write_all(KEPT_REQUEST)
            .await
            .expect("send the request");
        read_until(&mut caller, "whole").await;
        caller.write_all(b"GET / HT").await.expect("send a part");
        wait_until(|| state.connections.busy() == 1).await;
        let last = Instant::now() + Duration::from_secs(20);
        let closing = close_connections(&server, &state.connections, last);
        let is_empty = timeout(Duration::from_secs(10), closing).await;
        expect_that!(is_empty, ok(eq(&true)));
    });
}

#[gtest]
fn request_during_shutdown() {
    actix_web::rt::System::new().block_on(async {
        let (state, server_handle, address) = start(HandlerState::waiting());
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        caller.write_all(request).await.expect("send the request");
        state.received.notified().await;
        let connections = state.connections.clone();
        let closing = actix_web::rt::spawn(async move {
            let last = Instant::now() + Duration::from_secs(20);
            close_connections(&server_handle, &connections, last).await;
            drop(server_handle.stop(false));
        });
        // Lets the shutdown start while the request is in flight.
        tokio::task::yield_now().await;
        state.answer.notify_one();
        closing.await.expect("shut down the server");
        let mut text = String::new();
        // A connection reset shows as missing text.
        let _ = caller.read_to_string(&mut text).await;
        expect_that!(text, ends_with("whole"));
    });
}

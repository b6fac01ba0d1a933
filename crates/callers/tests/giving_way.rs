//! Connections that give way to new ones when a process has as many as it may.

use std::sync::Arc;
use std::time::Duration;

use actix_web::{App, HttpResponse, web};
use dappleyard_budget::{BudgetLimits, CallerLimits};
use dappleyard_callers::{ConnectionGate, ServerOptions, listen, serve};
use dappleyard_model::EventLog;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const LIMITS: CallerLimits = CallerLimits {
    messages: BudgetLimits {
        total_bytes: 1_000_000,
        reserve_bytes: 250_000,
    },
    connections: 2,
    server_connections: 10,
    waiting: 16,
    receive_buffer_bytes: 16_384,
};
const QUICK: &str = "GET /quick HTTP/1.1\r\nHost: a\r\n\r\n";
/// A request whose answer never comes.
const WAITING: &str = "GET /waiting HTTP/1.1\r\nHost: a\r\n\r\n";
const POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn answer(path: web::Path<String>) -> HttpResponse {
    match path.as_str() {
        "waiting" => std::future::pending().await,
        _ => HttpResponse::Ok().finish(),
    }
}

/// A server that bears two connections.
struct Served {
    gate: Arc<ConnectionGate>,
    address: std::net::SocketAddr,
}

impl Served {
    fn start() -> Self {
        let gate = Arc::new(ConnectionGate::new(LIMITS, Arc::new(EventLog::silent())));
        let listener = listen(([127, 0, 0, 1], 0).into(), &LIMITS).expect("a port");
        let address = listener.local_addr().expect("an address");
        let app = || App::new().route("/{path}", web::get().to(answer));
        let options = ServerOptions::default();
        let server = serve(vec![listener], 1, options, &gate, app).expect("a server");
        actix_web::rt::spawn(server);
        Self { gate, address }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("a connection")
    }

    /// Sends a request and waits until it has begun.
    async fn send(&self, text: &str) -> TcpStream {
        let before = self.gate.busy();
        let mut caller = self.connect().await;
        caller.write_all(text.as_bytes()).await.expect("a request");
        while self.gate.busy() == before {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        caller
    }
}

/// Sends a request on a connection; returns the first line of the answer, or nothing if the connection has ended.
async fn ask(caller: &mut TcpStream) -> String {
    // A connection that has ended shows as a missing answer.
    let _ = caller.write_all(QUICK.as_bytes()).await;
    let mut text = [0; 256];
    let length = caller.read(&mut text).await.unwrap_or(0);
    let text = String::from_utf8_lossy(&text[..length]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

fn run(test: impl Future<Output = ()>) {
    actix_web::rt::System::new().block_on(test);
}

#[gtest]
fn longest_rest_first() {
    run(async {
        let served = Served::start();
        let (mut first, mut second) = (served.connect().await, served.connect().await);
        expect_that!(ask(&mut first).await, eq("HTTP/1.1 200 OK"));
        expect_that!(ask(&mut second).await, eq("HTTP/1.1 200 OK"));
        let mut new = served.connect().await;
        expect_that!(ask(&mut new).await, eq("HTTP/1.1 200 OK"));
        expect_that!(ask(&mut first).await, eq(""));
        expect_that!(ask(&mut second).await, eq("HTTP/1.1 200 OK"));
    });
}

// Guards against a request that is ended for another caller although it has arrived whole.
#[gtest]
fn whole_requests_stay() {
    run(async {
        let served = Served::start();
        let _first = served.send(WAITING).await;
        let mut second = served.connect().await;
        expect_that!(ask(&mut second).await, eq("HTTP/1.1 200 OK"));
        let mut new = served.connect().await;
        expect_that!(ask(&mut new).await, eq("HTTP/1.1 200 OK"));
        expect_that!(ask(&mut second).await, eq(""));
        expect_that!(served.gate.busy(), eq(1));
    });
}

// Guards against a newcomer that waits for a place that nobody leaves.
#[gtest]
fn newcomers_are_closed_at_once() {
    run(async {
        let served = Served::start();
        let _first = served.send(WAITING).await;
        let _second = served.send(WAITING).await;
        let mut new = served.connect().await;
        expect_that!(ask(&mut new).await, eq(""));
        expect_that!(served.gate.busy(), eq(2));
    });
}

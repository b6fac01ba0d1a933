//! Exchanges with conforming and misbehaving servers.

use std::time::Duration;

use dappleyard_emulator::{EmulatedServer, Reply};
use dappleyard_upstream::{Connection, IdleLimit, Pool, Stage};
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const REQUEST: &[u8] = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi";
const LIMIT: usize = 1 << 16;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

async fn open(server: &EmulatedServer) -> Connection {
    Connection::open(server.address(), Duration::from_secs(2))
        .await
        .expect("a connection")
}

fn send(text: &str) -> Reply {
    Reply::Send(text.to_owned())
}

fn with_server<F: Future<Output = ()>>(test: impl FnOnce(EmulatedServer) -> F) {
    actix_rt::System::new().block_on(async {
        test(EmulatedServer::start("id").await.expect("a server")).await;
    });
}

#[gtest]
fn truncated_chunked_body_is_an_error() {
    with_server(|server| async move {
        server.push_reply(vec![send(CHUNKED), send("3\r\nabc\r\n"), Reply::Close]);
        let mut connection = open(&server).await;
        expect_that!(connection.send(REQUEST).await.is_ok(), eq(true));
        expect_that!(
            connection.next_piece().await.ok().flatten(),
            some(eq("abc"))
        );
        let error = connection.next_piece().await.expect_err("a cut");
        expect_that!(error.stage, eq(Stage::Body));
    });
}

#[gtest]
fn body_shorter_than_content_length_is_an_error() {
    with_server(|server| async move {
        server.push_reply(vec![
            send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc"),
            Reply::Close,
        ]);
        let mut connection = open(&server).await;
        expect_that!(connection.send(REQUEST).await.is_ok(), eq(true));
        expect_that!(connection.whole_body(LIMIT).await.is_err(), eq(true));
    });
}

#[gtest]
fn body_without_length_ends_with_the_connection() {
    with_server(|server| async move {
        server.push_reply(vec![send("HTTP/1.1 200 OK\r\n\r\nabc"), Reply::Close]);
        let mut connection = open(&server).await;
        let head = connection.send(REQUEST).await.expect("a head");
        expect_that!(head.keep_alive, eq(false));
        expect_that!(connection.whole_body(LIMIT).await.ok(), some(eq("abc")));
        expect_that!(connection.is_reusable(), eq(false));
    });
}

#[gtest]
fn extra_bytes_prevent_reuse() {
    with_server(|server| async move {
        server.push_reply(vec![send(
            "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n",
        )]);
        let mut connection = open(&server).await;
        expect_that!(connection.send(REQUEST).await.is_ok(), eq(true));
        expect_that!(connection.whole_body(LIMIT).await.ok(), some(eq("abc")));
        expect_that!(connection.is_reusable(), eq(false));
    });
}

#[gtest]
fn early_response_prevents_reuse() {
    with_server(|server| async move {
        server.push_reply(vec![send(
            "HTTP/1.1 413 No\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        )]);
        let mut connection = open(&server).await;
        let head = connection.send(REQUEST).await.expect("a head");
        expect_that!(head.status, eq(413));
        expect_that!(connection.whole_body(LIMIT).await.is_ok(), eq(true));
        expect_that!(connection.is_reusable(), eq(false));
    });
}

#[gtest]
fn invalid_responses_are_errors() {
    with_server(|server| async move {
        for bytes in [
            "nonsense\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
        ] {
            server.push_reply(vec![send(bytes), Reply::Close]);
            let mut connection = open(&server).await;
            let error = connection.send(REQUEST).await.expect_err("no answer");
            expect_that!(error.stage, eq(Stage::Head));
        }
        server.push_reply(vec![send(CHUNKED), send("zz\r\n"), Reply::Close]);
        let mut connection = open(&server).await;
        expect_that!(connection.send(REQUEST).await.is_ok(), eq(true));
        expect_that!(connection.whole_body(LIMIT).await.is_err(), eq(true));
    });
}

#[gtest]
fn refused_connection_fails_at_connect() {
    actix_rt::System::new().block_on(async {
        let port = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = port.local_addr().expect("an address");
        drop(port);
        let error = Connection::open(address, Duration::from_secs(1)).await;
        expect_that!(error.expect_err("refused").stage, eq(Stage::Connect));
    });
}

#[gtest]
fn interim_responses_are_skipped() {
    with_server(|server| async move {
        server.push_reply(vec![
            send("HTTP/1.1 100 Continue\r\n\r\n"),
            send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na"),
        ]);
        let mut connection = open(&server).await;
        let head = connection.send(REQUEST).await.expect("a head");
        expect_that!(head.status, eq(200));
    });
}

#[gtest]
fn pool_returns_only_reusable_connections() {
    with_server(|server| async move {
        let limit = IdleLimit {
            default: Duration::from_secs(5),
            margin: Duration::from_millis(100),
        };
        let pool = Pool::new(limit, 4);
        server.push_reply(vec![send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na")]);
        server.push_reply(vec![send(
            "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 1\r\n\r\nb",
        )]);
        let mut connection = open(&server).await;
        for expected in ["a", "b"] {
            expect_that!(connection.send(REQUEST).await.is_ok(), eq(true));
            expect_that!(connection.whole_body(LIMIT).await.ok(), some(eq(expected)));
            pool.put(server.address(), connection);
            match pool.take(server.address()) {
                Some(taken) => connection = taken,
                // The peer announced an idle timeout of zero.
                None => {
                    expect_that!(expected, eq("b"));
                    return;
                }
            }
        }
        expect_that!("a connection past its time", eq("not handed out"));
    });
}

/// Size of a request that no socket buffer takes whole.
const LONG_BODY_BYTES: usize = 16 * 1024 * 1024;

// Guards against a request that is never sent whole, since a response to another one arrived while it was being sent.
#[gtest]
fn stray_response_during_a_request() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let peer = actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let stray = b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(stray).await.expect("a stray response");
            let (mut received, mut piece) = (0, vec![0; 64 * 1024]);
            while received < LONG_BODY_BYTES {
                received += stream.read(&mut piece).await.expect("more bytes");
            }
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.expect("a response");
        });
        let mut connection = Connection::open(address, Duration::from_secs(2)).await;
        let connection = connection.as_mut().expect("a connection");
        let request = vec![b'x'; LONG_BODY_BYTES];
        let stray = connection
            .send(request.as_slice())
            .await
            .expect("a stray response");
        expect_that!(stray.status, eq(503));
        expect_that!(connection.whole_body(LIMIT).await.is_ok(), eq(true));
        let answer = tokio::time::timeout(Duration::from_secs(20), connection.next_head());
        let answer = answer.await.expect("in time").expect("a response");
        expect_that!(answer.status, eq(200));
        expect_that!(connection.is_reusable(), eq(false));
        peer.await.expect("the peer ends");
    });
}

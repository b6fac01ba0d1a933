//! Responses that never end.

use std::time::Duration;

use dappleyard_emulator::{EmulatedServer, Reply};
use dappleyard_upstream::{Connection, ExchangeError, Stage};
use googletest::prelude::*;

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
const LIMIT: Duration = Duration::from_secs(20);
/// More than socket buffers hold of what a client no longer reads, and far less than is sent in `LIMIT`.
const MAX_SENT_BYTES: usize = 24 * 1024 * 1024;
const MAX_BODY_BYTES: usize = 1 << 20;

/// Reads a response of the given beginning, and of the bytes that are repeated after it, until an error.
async fn read(server: &EmulatedServer, first: &str, repeated: &str) -> Option<ExchangeError> {
    server.default_reply(vec![
        Reply::Send(first.to_owned()),
        Reply::Endless(repeated.to_owned()),
    ]);
    let mut connection = Connection::open(server.address(), LIMIT).await.ok()?;
    let reading = async {
        connection.send(REQUEST).await?;
        connection.whole_body(MAX_BODY_BYTES).await
    };
    tokio::time::timeout(LIMIT, reading).await.ok()?.err()
}

fn ends_at(stage: Stage, first: &'static str, repeated: &'static str) {
    actix_rt::System::new().block_on(async move {
        let server = EmulatedServer::start("id").await.expect("a server");
        let error = read(&server, first, repeated).await;
        let error = error.expect("an error in time");
        expect_that!((error.stage, error.exceeds_limit), eq((stage, true)));
        expect_that!(server.endless_bytes(), le(MAX_SENT_BYTES));
    });
}

// Guards against a header that is read without a bound.
#[gtest]
fn endless_header() {
    ends_at(Stage::Head, "HTTP/1.1 200 OK\r\nx-more: ", "x");
}

// Guards against headers that are read without a bound.
#[gtest]
fn endless_headers() {
    ends_at(Stage::Head, "HTTP/1.1 200 OK\r\n", "x-{n}: 1\r\n");
}

// Guards against interim responses that are read until the deadline.
#[gtest]
fn endless_interim_responses() {
    ends_at(Stage::Head, "", "HTTP/1.1 102 Processing\r\n\r\n");
}

// Guards against trailers that are read until the deadline.
#[gtest]
fn endless_trailers() {
    let first = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    ends_at(Stage::Body, first, "x-more: 1\r\n");
}

// Guards against a chunk size that is read without a bound.
#[gtest]
fn endless_chunk_extension() {
    let first = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;";
    ends_at(Stage::Body, first, "x");
}

// Guards against a body that is kept whatever its length.
#[gtest]
fn endless_body() {
    ends_at(Stage::Body, "HTTP/1.1 200 OK\r\n\r\n", "x");
}

// Guards against a bound that sound responses reach: several interim ones, and trailers.
#[gtest]
fn sound_interim_responses_and_trailers() {
    actix_rt::System::new().block_on(async {
        let server = EmulatedServer::start("id").await.expect("a server");
        let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(8);
        let trailers = "x-checksum: 0123456789abcdef\r\n".repeat(20);
        server.push_reply(vec![Reply::Send(format!(
            "{interim}HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n{trailers}\r\n"
        ))]);
        let connection = Connection::open(server.address(), LIMIT).await;
        let mut connection = connection.expect("a connection");
        expect_that!(connection.send(REQUEST).await.is_ok(), eq(true));
        let body = connection.whole_body(MAX_BODY_BYTES).await;
        expect_that!(body.ok(), some(eq("abc")));
        expect_that!(connection.is_reusable(), eq(true));
    });
}

//! Bytes that are no answer: an engine that sends them has given none.

use std::time::Duration;

use dappleyard_emulator::{EmulatedServer, Reply};
use dappleyard_engine::{Engine, EngineError, HttpEngine};
use googletest::prelude::*;

const LIMIT: Duration = Duration::from_secs(10);

/// Cancels a stream at an engine that sends these lines as its answer; an answer would mean that the stream has ended.
fn is_no_answer(first_line: &str, lines: &str) {
    actix_rt::System::new().block_on(async {
        let server = EmulatedServer::start("id").await.expect("a server");
        let answer = format!("{first_line}\r\n{lines}\r\nnull");
        server.default_reply(vec![Reply::Send(answer), Reply::Close]);
        let engine = HttpEngine::new(LIMIT, LIMIT);
        let base = format!("http://{}", server.address());
        let result = engine.cancel(&base, "s").await;
        let is_lost = matches!(result, Err(EngineError::Lost { .. }));
        expect_that!(is_lost, eq(true), "{first_line}, {lines:?}: {result:?}");
    });
}

#[gtest]
fn status() {
    for status in ["000", "099", "600", "999", "+20", "2"] {
        is_no_answer(&format!("HTTP/1.1 {status} OK"), "content-length: 4\r\n");
    }
}

#[gtest]
fn field_names() {
    for line in ["x more: 1", "x\u{1}more: 1", ": 1", "x-more"] {
        is_no_answer(
            "HTTP/1.1 200 OK",
            &format!("{line}\r\ncontent-length: 4\r\n"),
        );
    }
}

#[gtest]
fn lengths() {
    for length in ["+4", "-4", "4\r\ncontent-length: 3", "0x4"] {
        is_no_answer("HTTP/1.1 200 OK", &format!("content-length: {length}\r\n"));
    }
}

// Guards against a blank before the colon, by which a line means one thing to one reader and another to the next.
#[gtest]
fn engine_blank_before_colon() {
    is_no_answer("HTTP/1.1 200 OK", "content-length : 4\r\n");
}

#[gtest]
fn engine_two_framings() {
    let lines = "content-length: 4\r\ntransfer-encoding: chunked\r\n";
    is_no_answer("HTTP/1.1 200 OK", &format!("{lines}\r\n4\r\nnull\r\n0\r\n"));
}

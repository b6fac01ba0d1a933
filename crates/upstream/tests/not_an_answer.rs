//! Bytes that are no response in the protocol: none of them may pass for one.

use std::time::Duration;

use dappleyard_emulator::{EmulatedServer, Reply};
use dappleyard_upstream::{Connection, ExchangeError, Stage};
use googletest::prelude::*;

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
const LIMIT: Duration = Duration::from_secs(20);
const MAX_BODY_BYTES: usize = 1 << 16;

/// Reads an answer of these bytes, after which the server closes the connection. Returns its status and body.
async fn read(bytes: &str) -> std::result::Result<(u16, String), ExchangeError> {
    let server = EmulatedServer::start("id").await.expect("a server");
    server.push_reply(vec![Reply::Send(bytes.to_owned()), Reply::Close]);
    let mut connection = Connection::open(server.address(), LIMIT).await?;
    let head = connection.send(REQUEST).await?;
    let body = connection.whole_body(MAX_BODY_BYTES).await?;
    Ok((head.status, String::from_utf8_lossy(&body).into_owned()))
}

/// Expects that each of the answers is malformed at the given stage.
fn refused_at(stage: Stage, answers: &[&'static str]) {
    actix_rt::System::new().block_on(async {
        for bytes in answers {
            let error = read(bytes).await.err();
            let found = error.map(|error| (error.stage, error.is_malformed));
            expect_that!(found, some(eq((stage, true))), "{bytes:?}");
        }
    });
}

fn accepted(bytes: &'static str, answer: (u16, &'static str)) {
    actix_rt::System::new().block_on(async {
        let read = read(bytes).await.ok();
        let read = read.as_ref().map(|(status, body)| (*status, body.as_str()));
        expect_that!(read, some(eq(answer)), "{bytes:?}");
    });
}

// Guards against a number that is no status and is passed on, or becomes another one.
#[gtest]
fn status() {
    let answers = [
        "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 099 OK\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 999 OK\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 20 OK\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 +20 OK\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 2000 OK\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 2\u{1}0 OK\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.2 200 OK\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 O\u{1}K\r\ncontent-length: 2\r\n\r\nhi",
        // Nobody has asked for another protocol.
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\nhi",
    ];
    refused_at(Stage::Head, &answers);
}

// Guards against a line of the head whose name is none, which is passed on or hides the framing of the body.
#[gtest]
fn field_names() {
    let answers = [
        "HTTP/1.1 200 OK\r\nx more: 1\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nx-more : 1\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\n content-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent\u{1}length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nx\u{0}more: 1\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nx\u{7f}more: 1\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nx\tmore: 1\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\n: 1\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nx-more\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nx-more: 1\r\n folded: 1\r\ncontent-length: 2\r\n\r\nhi",
    ];
    refused_at(Stage::Head, &answers);
}

#[gtest]
fn field_values() {
    let answers = [
        "HTTP/1.1 200 OK\r\nx-more: a\u{0}b\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nx-more: a\u{1}b\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nx-more: a\u{7f}b\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nx-more: a\rb\r\ncontent-length: 2\r\n\r\nhi",
    ];
    refused_at(Stage::Head, &answers);
}

// Guards against a length that is read differently by others, so that a part of another answer is taken for the body.
#[gtest]
fn lengths() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: +2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length: 2.0\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length: 0x2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length: 2, 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length: 2 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length:\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: x\r\n\r\nhi",
        // What a server without a body says of one does not matter, but it must be a length.
        "HTTP/1.1 204 No Content\r\ncontent-length: +2\r\n\r\n",
    ];
    refused_at(Stage::Head, &answers);
}

#[gtest]
fn encodings() {
    let answers = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: xchunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding:\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        // HTTP/1.0 has no chunks.
        "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    ];
    refused_at(Stage::Head, &answers);
}

// Guards against a size line without a size that ends a body as if it were whole.
#[gtest]
fn chunk_sizes() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let sizes = [
        "\r\n",
        " \r\n\r\n",
        ";x\r\n\r\n",
        "+2\r\nhi\r\n0\r\n\r\n",
        "-2\r\nhi\r\n0\r\n\r\n",
        "0x2\r\nhi\r\n0\r\n\r\n",
        " 2\r\nhi\r\n0\r\n\r\n",
        "2 2\r\nhi\r\n0\r\n\r\n",
        "2\u{1}\r\nhi\r\n0\r\n\r\n",
        "2;\u{1}\r\nhi\r\n0\r\n\r\n",
        "11111111111111112\r\nhi\r\n0\r\n\r\n",
        "2\r\nhix\r\n0\r\n\r\n",
        "2\r\nhi\r\n\r\n\r\n",
    ];
    let answers = sizes.map(|size| &*format!("{head}{size}").leak());
    refused_at(Stage::Body, &answers);
}

// Guards against the head of another answer that is skipped as if it were trailers.
#[gtest]
fn trailers() {
    let body = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n";
    let lines = [
        "HTTP/1.1 200 OK\r\nx-more: 1\r\n\r\n",
        "x more: 1\r\n\r\n",
        "x\u{1}more: 1\r\n\r\n",
        "x-more: a\u{1}b\r\n\r\n",
        ": 1\r\n\r\n",
        "x-more\r\n\r\n",
    ];
    let answers = lines.map(|line| &*format!("{body}{line}").leak());
    refused_at(Stage::Body, &answers);
}

// The checks leave alone what servers may send.
#[gtest]
fn unusual_answers() {
    accepted("HTTP/1.0 200 OK\r\n\r\nhi", (200, "hi"));
    accepted("HTTP/1.1 200\r\ncontent-length: 2\r\n\r\nhi", (200, "hi"));
    accepted("HTTP/1.1 599 \r\ncontent-length: 0\r\n\r\n", (599, ""));
    accepted(
        "HTTP/1.1 200 OK\r\ncontent-length: \t2 \r\n\r\nhi",
        (200, "hi"),
    );
    let twice = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\nhi";
    accepted(twice, (200, "hi"));
    accepted("HTTP/1.1 204 No Content\r\n\r\n", (204, ""));
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n\
                   01;x=\"y\"\r\nh\r\n1 \r\ni\r\n0\r\nx-more: 1\r\n\r\n";
    accepted(chunked, (200, "hi"));
}

//! Invalid and hostile input is rejected with a clear error, without effect on other requests.

mod support;

use std::rc::Rc;
use std::time::Duration;

use dappleyard_sidecar::SidecarHandle;
use dappleyard_transport::link::ServerStream;
use dappleyard_wire::ErrorKind;
use dappleyard_wire::messages::{Chunk, frame};
use googletest::prelude::*;
use support::{
    Response, Script, ScriptedNode, accepted, answering_script, chat_body, finish, get, metric,
    post, refused, sending_script, settings, start_sidecar, text, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const OPEN_REQUESTS: &str = "dappleyard_sidecar_open_requests";

struct Fixture {
    _node: ScriptedNode,
    _sidecar: SidecarHandle,
    base: String,
}

/// Starts a sidecar with low limits and a node that answers.
async fn fixture() -> Fixture {
    let (script, _) = answering_script("v1", 3);
    fixture_with(script).await
}

async fn fixture_with(script: Script) -> Fixture {
    let node = ScriptedNode::start("node-1", script).await;
    let mut limits = settings(&[&node]);
    limits.maximum_body_bytes = 4_096;
    limits.maximum_file_bytes = 4_096;
    limits.maximum_prompt_tokens = 100;
    limits.body_timeout_ms = 200;
    let (handle, base) = start_sidecar(limits).await;
    Fixture {
        _node: node,
        _sidecar: handle,
        base,
    }
}

impl Fixture {
    async fn chat(&self, headers: &[(&str, &str)], body: impl Into<String>) -> Response {
        post(&format!("{}/v1/chat/completions", self.base), headers, body).await
    }

    async fn raw(&self, bytes: &[u8]) -> TcpStream {
        let address = self.base.trim_start_matches("http://");
        let mut socket = TcpStream::connect(address).await.unwrap();
        socket.write_all(bytes).await.unwrap();
        socket
    }

    /// Checks that a valid request succeeds and that no request is left open.
    async fn expect_healthy(&self) {
        let answer = self.chat(&[], chat_body(false)).await;
        expect_that!(
            answer.status,
            eq(200),
            "{:?} {}",
            answer.headers,
            answer.body
        );
        wait_until(async || metric(&self.base, OPEN_REQUESTS).await == 0).await;
    }
}

fn expect_error(answer: &Response, status: u16, kind: &str, parameter: Option<&str>) {
    expect_that!(answer.status, eq(status), "{}", answer.body);
    let error = &answer.json()["error"];
    expect_that!(error["kind"].as_str(), some(eq(kind)));
    expect_that!(error["ran"].as_str(), some(eq("no")));
    expect_that!(error["param"].as_str(), eq(parameter), "{}", answer.body);
}

async fn read_all(mut socket: TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = socket.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

#[gtest]
#[actix_rt::test]
async fn invalid_body_is_rejected_with_field_path() {
    let fixture = fixture().await;
    let message = r#""messages": [{"role": "user", "content": "x"}]"#;
    let cases = [
        (String::new(), None),
        ("{".to_owned(), None),
        ("[]".to_owned(), None),
        (format!("{{{message}}}"), Some("model")),
        (r#"{"model": "m"}"#.to_owned(), Some("messages")),
        (r#"{"model": 1, "messages": []}"#.to_owned(), Some("model")),
        (
            r#"{"model": "m", "messages": []}"#.to_owned(),
            Some("messages"),
        ),
        (
            r#"{"model": "m", "messages": [{"role": "narrator", "content": "x"}]}"#.to_owned(),
            Some("messages[0].role"),
        ),
        (
            r#"{"model": "m", "messages": [{"role": "user", "content": 5}]}"#.to_owned(),
            Some("messages[0].content"),
        ),
        (
            r#"{"model": "m", "messages": [{"role": "user", "content": [{"type": "image_url"}]}]}"#
                .to_owned(),
            Some("messages[0].content"),
        ),
        (
            format!(r#"{{"model": "m", {message}, "max_tokens": "many"}}"#),
            Some("max_tokens"),
        ),
        (
            format!(r#"{{"model": "m", {message}, "max_tokens": 0}}"#),
            Some("max_tokens"),
        ),
        (
            format!(r#"{{"model": "m", {message}, "stream_options": 7}}"#),
            Some("stream_options"),
        ),
        (format!(r#"{{"model": "m", {message}, "n": 2}}"#), Some("n")),
        (
            format!(r#"{{"model": "m", {message}, "stop": ["x"]}}"#),
            Some("stop"),
        ),
        (format!(r#"{{"model": "m", {message}}} {{}}"#), None),
        (format!(r#"{{"model": "", {message}}}"#), Some("model")),
    ];
    for (body, parameter) in cases {
        let answer = fixture.chat(&[], body).await;
        expect_error(&answer, 400, "invalid_request", parameter);
    }
    fixture.expect_healthy().await;
}

#[gtest]
#[actix_rt::test]
async fn invalid_header_is_rejected_with_header_name() {
    let fixture = fixture().await;
    let long = "x".repeat(129);
    let cases = [
        ("dappleyard-class", "urgent"),
        ("dappleyard-repeat", "sometimes"),
        ("dappleyard-deadline-ms", "soon"),
        ("dappleyard-deadline-ms", "0"),
        ("dappleyard-deadline-ms", "-5"),
        ("dappleyard-request-id", "12"),
        ("dappleyard-tenant", "a/b"),
        ("dappleyard-tenant", ""),
        ("dappleyard-session", "caf\u{e9}"),
        ("idempotency-key", long.as_str()),
    ];
    for (name, value) in cases {
        let answer = fixture.chat(&[(name, value)], chat_body(false)).await;
        expect_error(&answer, 400, "invalid_request", Some(name));
    }
    let answer = fixture
        .chat(&[("Dappleyard-Repeat", "never")], chat_body(false))
        .await;
    expect_error(&answer, 400, "invalid_request", Some("idempotency-key"));
    fixture.expect_healthy().await;
}

#[gtest]
#[actix_rt::test]
async fn oversized_body_or_prompt_is_rejected() {
    let fixture = fixture().await;
    let answer = fixture.chat(&[], "x".repeat(5_000)).await;
    expect_error(&answer, 413, "too_large", None);
    let words = "w ".repeat(200);
    let body = format!(r#"{{"model": "m", "prompt": "{words}"}}"#);
    let answer = post(&format!("{}/v1/completions", fixture.base), &[], body).await;
    expect_error(&answer, 413, "too_large", None);
    fixture.expect_healthy().await;
}

#[gtest]
#[actix_rt::test]
async fn unknown_model_or_route_is_reported() {
    let (script, _) = sending_script(vec![refused(ErrorKind::UnknownModel, 0)]);
    let fixture = fixture_with(script).await;
    let answer = fixture.chat(&[], chat_body(true)).await;
    expect_error(&answer, 404, "model_not_found", None);
    let answer = get(&format!("{}/v1/nothing", fixture.base)).await;
    expect_error(&answer, 404, "not_found", None);
}

#[gtest]
#[actix_rt::test]
async fn slow_body_times_out() {
    let fixture = fixture().await;
    let head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{";
    let socket = fixture.raw(head).await;
    let (mut reading, mut writing) = socket.into_split();
    let trickling = actix_rt::spawn(async move {
        while writing.write_all(b" ").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let mut answer = [0_u8; 12];
    reading.read_exact(&mut answer).await.unwrap();
    expect_that!(&answer, eq(b"HTTP/1.1 408"));
    trickling.abort();
    fixture.expect_healthy().await;
}

#[gtest]
#[actix_rt::test]
async fn incomplete_headers_time_out() {
    let fixture = fixture().await;
    let socket = fixture
        .raw(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
        .await;
    expect_that!(read_all(socket).await, starts_with("HTTP/1.1 408"));
    fixture.expect_healthy().await;
}

#[gtest]
#[actix_rt::test]
async fn invalid_http_is_rejected() {
    let fixture = fixture().await;
    let socket = fixture.raw(b"\x00\x01\x02\xff\xfe garbage\r\n\r\n").await;
    expect_that!(read_all(socket).await, starts_with("HTTP/1.1 400"));
    fixture.expect_healthy().await;
}

#[gtest]
#[actix_rt::test]
async fn connection_closed_during_body_releases_request() {
    let fixture = fixture().await;
    let head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{";
    for _ in 0..20 {
        drop(fixture.raw(head).await);
    }
    fixture.expect_healthy().await;
}

#[gtest]
#[actix_rt::test]
async fn half_closed_connection_counts_as_disconnect() {
    let script: Script = Rc::new(|mut stream: ServerStream| {
        actix_rt::spawn(async move {
            let _ = stream.send(accepted("v1"));
            while let Some(body) = stream.receiver.recv().await {
                if matches!(body, frame::Body::Cancel(_)) {
                    let _ = stream.send(finish("v1", 0));
                }
            }
        });
    });
    let fixture = fixture_with(script).await;
    let body = chat_body(false);
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut socket = fixture.raw(request.as_bytes()).await;
    wait_until(async || metric(&fixture.base, OPEN_REQUESTS).await == 1).await;
    socket.shutdown().await.unwrap();
    wait_until(async || metric(&fixture.base, OPEN_REQUESTS).await == 0).await;
    let metrics = get(&format!("{}/metrics", fixture.base)).await.body;
    expect_that!(metrics, contains_substring("callers_gone_total 1"));
}

#[gtest]
#[actix_rt::test]
async fn requests_over_the_limit_are_rejected() {
    let script: Script = Rc::new(|mut stream: ServerStream| {
        actix_rt::spawn(async move { while stream.receiver.recv().await.is_some() {} });
    });
    let node = ScriptedNode::start("node-1", script).await;
    let mut limits = settings(&[&node]);
    limits.maximum_requests = 1;
    let (_sidecar, base) = start_sidecar(limits).await;
    let url = format!("{base}/v1/chat/completions");
    let first = awc::Client::default();
    let waiting = actix_rt::spawn(first.post(&url).send_body(chat_body(false)));
    wait_until(async || metric(&base, OPEN_REQUESTS).await == 1).await;
    let answer = post(&url, &[], chat_body(false)).await;
    expect_error(&answer, 503, "overloaded", None);
    expect_that!(answer.headers.get("retry-after").is_some(), eq(true));
    waiting.abort();
}

fn multipart_body(parts: &[(&str, &str)]) -> String {
    let mut body = String::new();
    for (head, value) in parts {
        body.push_str(&format!(
            "--b0\r\nContent-Disposition: form-data; {head}\r\n\r\n{value}\r\n"
        ));
    }
    body + "--b0--\r\n"
}

#[gtest]
#[actix_rt::test]
async fn invalid_upload_is_rejected() {
    let fixture = fixture_with(support::file_store_script()).await;
    let url = format!("{}/v1/files", fixture.base);
    let multipart = [("Content-Type", "multipart/form-data; boundary=b0")];
    let purpose = ("name=\"purpose\"", "batch");
    let file = ("name=\"file\"; filename=\"a.jsonl\"", "{}");
    let good = post(&url, &multipart, multipart_body(&[purpose, file])).await;
    expect_that!(good.status, eq(200), "{}", good.body);
    let large = "x".repeat(5_000);
    let cases = [
        (
            multipart_body(&[file]),
            400,
            "invalid_request",
            Some("purpose"),
        ),
        (
            multipart_body(&[purpose]),
            400,
            "invalid_request",
            Some("file"),
        ),
        (
            multipart_body(&[("name=\"purpose\"", "fun"), file]),
            400,
            "invalid_request",
            Some("purpose"),
        ),
        (
            multipart_body(&[purpose, ("name=\"file\"; filename=\"a\"", &large)]),
            413,
            "too_large",
            None,
        ),
        ("no form at all".to_owned(), 400, "invalid_request", None),
    ];
    for (body, status, kind, parameter) in cases {
        let answer = post(&url, &multipart, body).await;
        expect_error(&answer, status, kind, parameter);
    }
    let plain = post(&url, &[("Content-Type", "text/plain")], "x").await;
    expect_error(&plain, 400, "invalid_request", None);
}

#[gtest]
#[actix_rt::test]
async fn invalid_frames_from_a_node_do_not_corrupt_the_response() {
    let invalid_frames = [
        frame::Body::Chunk(Chunk {
            offset: u32::MAX,
            pieces: vec!["x".to_owned(); 3],
        }),
        frame::Body::Chunk(Chunk {
            offset: 0,
            pieces: vec!["x".to_owned(); 500],
        }),
        finish("v1", u32::MAX),
    ];
    for bad in invalid_frames {
        let turn = Rc::new(std::cell::Cell::new(0));
        let (good, _) = answering_script("v1", 3);
        let script: Script = Rc::new(move |stream: ServerStream| {
            turn.set(turn.get() + 1);
            if turn.get() > 1 {
                return good(stream);
            }
            let _ = stream.send(frame::Body::Cancel(Default::default()));
            let _ = stream.send(accepted("v1"));
            let _ = stream.send(bad.clone());
        });
        let fixture = fixture_with(script).await;
        let answer = fixture.chat(&[], chat_body(false)).await;
        expect_that!(answer.status, eq(200), "{}", answer.body);
        let content = answer.json()["choices"][0]["message"]["content"].clone();
        expect_that!(content.as_str(), some(eq(text("v1", 3).as_str())));
    }
}

#[gtest]
#[actix_rt::test]
async fn idle_connection_is_kept_alive() {
    let fixture = fixture().await;
    let request = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut socket = fixture.raw(request).await;
    let mut answer = vec![0_u8; 1_024];
    let size = socket.read(&mut answer).await.unwrap();
    expect_that!(&answer[..12], eq(b"HTTP/1.1 200"));
    expect_that!(size, gt(12));
    let idle = Duration::from_millis(1_500);
    let more = tokio::time::timeout(idle, socket.read(&mut answer)).await;
    expect_that!(more.is_err(), eq(true));
}

//! Errors of the HTTP clients for truncated, malformed and missing responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use dappleyard_engine::{Engine, EngineError, EngineEvent, GenerateCall, HttpEngine, Priority};
use dappleyard_settings::PlatformSettings;
use dappleyard_store::client::direct;
use dappleyard_store::{StoreError, Transaction};
use futures::StreamExt;
use googletest::prelude::*;

const ACCEPTED: &str = r#"{"event":"accepted","stream":"s1","version":"v1"}"#;
const FINISHED: &str =
    r#"{"event":"finished","reason":"stop","total_tokens":0,"cached_tokens":0,"ran":true}"#;

/// Starts a server that accepts one connection, sends a raw response and closes it.
fn serve_once(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        read_request(&mut connection);
        connection.write_all(answer.as_bytes()).expect("written");
    });
    address
}

/// Reads a request, headers and body.
fn read_request(connection: &mut TcpStream) {
    let mut request = Vec::new();
    let mut part = [0; 4096];
    loop {
        let read = connection.read(&mut part).expect("readable");
        request.extend_from_slice(&part[..read]);
        let text = String::from_utf8_lossy(&request);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok())
            .unwrap_or(0);
        if read == 0 || body.len() >= length {
            return;
        }
    }
}

fn chunked_response(lines: &[&str], whole: bool) -> String {
    let mut answer = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    for line in lines {
        answer.push_str(&format!("{:x}\r\n{line}\r\n", line.len()));
    }
    if whole {
        answer.push_str("0\r\n\r\n");
    }
    answer
}

fn call() -> GenerateCall {
    GenerateCall {
        request_id: "request".to_owned(),
        attempt: 1,
        service: "service".to_owned(),
        version: String::new(),
        adapter: String::new(),
        prompt: "prompt".to_owned(),
        prompt_tokens: 1,
        prefix_hash: 0,
        prefix_tokens: 0,
        max_tokens: 5,
        priority: Priority::ONLINE,
        resume_offset: 0,
        attach_stream: String::new(),
        attach_only: false,
        stream: true,
    }
}

/// The events that the client yields for a raw response; a failed call yields one error.
fn events_of(answer: String) -> Vec<std::result::Result<EngineEvent, EngineError>> {
    let address = serve_once(answer);
    crate::run(async {
        let engine = HttpEngine::new(Duration::from_secs(5), Duration::from_secs(5));
        let base = format!("http://{address}");
        match engine.generate(&base, call()).await {
            Ok(stream) => stream.collect().await,
            Err(error) => vec![Err(error)],
        }
    })
}

fn ends_with_lost(answer: String) -> bool {
    let events = events_of(answer);
    matches!(events.last(), Some(Err(EngineError::Lost { .. })))
}

#[gtest]
fn events_split_across_chunks_are_reassembled() {
    let lines = format!("{ACCEPTED}\n\n\r\n{FINISHED}\n");
    let parts: Vec<&str> = lines
        .as_bytes()
        .chunks(7)
        .map(|part| std::str::from_utf8(part).expect("plain text"))
        .collect();
    let events = events_of(chunked_response(&parts, true));
    expect_that!(events.len(), eq(2));
    expect_true!(events.iter().all(std::result::Result::is_ok));
}

#[gtest]
fn truncated_response_is_lost() {
    let accepted = format!("{ACCEPTED}\n");
    expect_true!(ends_with_lost(chunked_response(&[&accepted], true)));
    expect_true!(ends_with_lost(chunked_response(&[&accepted], false)));
    expect_true!(ends_with_lost(chunked_response(
        &[&accepted, "{\"event\":\"tok"],
        false
    )));
    expect_true!(ends_with_lost(String::new()));
    expect_true!(ends_with_lost("HTTP/1.1 200".to_owned()));
    expect_true!(ends_with_lost("garbage\r\n\r\n".to_owned()));
}

#[gtest]
fn malformed_event_is_lost() {
    expect_true!(ends_with_lost(chunked_response(&["not an event\n"], true)));
    expect_true!(ends_with_lost(chunked_response(
        &["{\"event\":\"unheard of\"}\n"],
        true
    )));
}

#[gtest]
fn events_after_the_final_one_are_ignored() {
    let after = format!("{FINISHED}\n{ACCEPTED}\n");
    expect_that!(events_of(chunked_response(&[&after], true)).len(), eq(1));
}

#[gtest]
fn only_known_statuses_are_refusals() {
    let answer = |status: &str| format!("HTTP/1.1 {status}\r\ncontent-length: 4\r\n\r\nbusy");
    for status in ["429 Busy", "503 Leaving", "404 None", "409 Old"] {
        let events = events_of(answer(status));
        expect_that!(
            events[..],
            elements_are![err(matches_pattern!(EngineError::Refused { .. }))]
        );
    }
    for status in [
        "500 Broken",
        "502 Gateway",
        "504 Late",
        "408 Slow",
        "302 Elsewhere",
    ] {
        expect_true!(ends_with_lost(answer(status)));
    }
}

/// The error of a write to the table service that gets a raw response.
fn write_error(answer: &str) -> StoreError {
    let address = serve_once(answer.to_owned());
    crate::run(async {
        let platform = direct(&PlatformSettings {
            tables_url: format!("http://{address}"),
            call_timeout_ms: 5_000,
            ..PlatformSettings::default()
        });
        let written = platform
            .tables
            .transact(Transaction::default().put("a", "x"));
        written.await.expect_err("a failure")
    })
}

fn http_response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

#[gtest]
fn write_with_an_unusable_response_is_ambiguous() {
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"rev";
    let garbage = http_response("200 OK", "[]");
    let elsewhere = http_response("302 Elsewhere", "");
    let broken = http_response("500 Broken", "");
    let malformed_conflict = http_response("409 Conflict", "what?");
    for answer in [
        "",
        truncated,
        &garbage,
        &elsewhere,
        &broken,
        &malformed_conflict,
    ] {
        expect_that!(
            write_error(answer),
            matches_pattern!(StoreError::Ambiguous { .. }),
            "{answer}"
        );
    }
}

#[gtest]
fn truncated_object_read_fails() {
    let head = "HTTP/1.1 200 OK\r\nx-object-size: 8\r\n";
    let truncated_content_length = format!("{head}content-length: 8\r\n\r\nhalf");
    let truncated_chunked = format!("{head}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    for answer in [truncated_content_length, truncated_chunked] {
        let address = serve_once(answer);
        let read = actix_rt::System::new().block_on(async {
            let platform = direct(&PlatformSettings {
                objects_url: format!("http://{address}"),
                call_timeout_ms: 5_000,
                ..PlatformSettings::default()
            });
            platform.objects.read("object", 0, 100).await
        });
        expect_that!(read, err(matches_pattern!(StoreError::Unavailable { .. })));
    }
}

#[gtest]
fn rejected_write_is_not_ambiguous() {
    expect_that!(
        write_error(&http_response("503 Down", "")),
        matches_pattern!(StoreError::Unavailable { .. })
    );
    expect_that!(
        write_error(&http_response("429 Slow", "soon")),
        matches_pattern!(StoreError::RateLimited { .. })
    );
    expect_that!(
        write_error(&http_response("400 Bad", "")),
        matches_pattern!(StoreError::Invalid { .. })
    );
    let conflict = http_response("409 Conflict", r#"{"key": "a", "actual": 3}"#);
    expect_that!(
        write_error(&conflict),
        eq(&StoreError::Conflict {
            key: "a".to_owned(),
            actual: Some(3)
        })
    );
}

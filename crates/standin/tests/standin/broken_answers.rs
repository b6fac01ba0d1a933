//! What the clients say of engines and stores that answer in part, wrongly or not at all.

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

/// A server that gives one raw answer to one connection and closes it.
fn answer_once(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        read_request(&mut connection);
        connection.write_all(answer.as_bytes()).expect("written");
    });
    address
}

/// Reads the head and the body of a request.
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

fn chunked(lines: &[&str], whole: bool) -> String {
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

/// All events that come of one raw answer; a refusal of the call counts as one error.
fn events_of(answer: String) -> Vec<std::result::Result<EngineEvent, EngineError>> {
    let address = answer_once(answer);
    crate::run(async {
        let engine = HttpEngine::new(Duration::from_secs(5), Duration::from_secs(5));
        let base = format!("http://{address}");
        match engine.generate(&base, call()).await {
            Ok(stream) => stream.collect().await,
            Err(error) => vec![Err(error)],
        }
    })
}

fn ends_lost(answer: String) -> bool {
    let events = events_of(answer);
    matches!(events.last(), Some(Err(EngineError::Lost { .. })))
}

#[gtest]
fn events_cut_anywhere_are_put_together() {
    let lines = format!("{ACCEPTED}\n\n\r\n{FINISHED}\n");
    let parts: Vec<&str> = lines
        .as_bytes()
        .chunks(7)
        .map(|part| std::str::from_utf8(part).expect("plain text"))
        .collect();
    let events = events_of(chunked(&parts, true));
    expect_that!(events.len(), eq(2));
    expect_true!(events.iter().all(std::result::Result::is_ok));
}

#[gtest]
fn answer_without_its_end_is_lost() {
    let accepted = format!("{ACCEPTED}\n");
    expect_true!(ends_lost(chunked(&[&accepted], true)));
    expect_true!(ends_lost(chunked(&[&accepted], false)));
    expect_true!(ends_lost(chunked(&[&accepted, "{\"event\":\"tok"], false)));
    expect_true!(ends_lost(String::new()));
    expect_true!(ends_lost("HTTP/1.1 200".to_owned()));
    expect_true!(ends_lost("garbage\r\n\r\n".to_owned()));
}

#[gtest]
fn line_that_is_no_event_is_lost() {
    expect_true!(ends_lost(chunked(&["not an event\n"], true)));
    expect_true!(ends_lost(chunked(&["{\"event\":\"unheard of\"}\n"], true)));
}

#[gtest]
fn nothing_follows_the_last_event() {
    let after = format!("{FINISHED}\n{ACCEPTED}\n");
    expect_that!(events_of(chunked(&[&after], true)).len(), eq(1));
}

#[gtest]
fn only_known_refusals_say_that_nothing_ran() {
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
        expect_true!(ends_lost(answer(status)));
    }
}

/// What a write to the table service gives when it is answered so.
fn write_answered(answer: &str) -> StoreError {
    let address = answer_once(answer.to_owned());
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

fn store_answer(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

#[gtest]
fn write_without_a_whole_answer_is_ambiguous() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"rev";
    let garbage = store_answer("200 OK", "[]");
    let elsewhere = store_answer("302 Elsewhere", "");
    let broken = store_answer("500 Broken", "");
    let odd_conflict = store_answer("409 Conflict", "what?");
    for answer in ["", cut, &garbage, &elsewhere, &broken, &odd_conflict] {
        expect_that!(
            write_answered(answer),
            matches_pattern!(StoreError::Ambiguous { .. }),
            "{answer}"
        );
    }
}

#[gtest]
fn object_cut_in_its_middle_is_not_taken_for_the_whole() {
    let head = "HTTP/1.1 200 OK\r\nx-object-size: 8\r\n";
    let cut_of_known_length = format!("{head}content-length: 8\r\n\r\nhalf");
    let cut_in_chunks = format!("{head}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    for answer in [cut_of_known_length, cut_in_chunks] {
        let address = answer_once(answer);
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
fn refusal_of_a_write_changed_nothing() {
    expect_that!(
        write_answered(&store_answer("503 Down", "")),
        matches_pattern!(StoreError::Unavailable { .. })
    );
    expect_that!(
        write_answered(&store_answer("429 Slow", "soon")),
        matches_pattern!(StoreError::RateLimited { .. })
    );
    expect_that!(
        write_answered(&store_answer("400 Bad", "")),
        matches_pattern!(StoreError::Invalid { .. })
    );
    let conflict = store_answer("409 Conflict", r#"{"key": "a", "actual": 3}"#);
    expect_that!(
        write_answered(&conflict),
        eq(&StoreError::Conflict {
            key: "a".to_owned(),
            actual: Some(3)
        })
    );
}

//! Generations do not share connections.

use std::time::Duration;

use dappleyard_emulator::{EmulatedServer, Reply};
use dappleyard_engine::{Engine, EngineEvent, GenerateCall, HttpEngine, Priority};
use futures::StreamExt;
use googletest::prelude::*;

const LIMIT: Duration = Duration::from_secs(10);
const ACCEPTED: &str = "{\"event\":\"accepted\",\"stream\":\"s\",\"version\":\"v\"}\n";
const STRAY_REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

fn call() -> GenerateCall {
    GenerateCall {
        request_id: "r1".to_owned(),
        attempt: 1,
        service: "llm".to_owned(),
        version: String::new(),
        adapter: String::new(),
        prompt: "hello".to_owned(),
        prompt_tokens: 1,
        prefix_hash: 0,
        prefix_tokens: 0,
        max_tokens: 4,
        priority: Priority(0),
        resume_offset: 0,
        attach_stream: String::new(),
        attach_only: false,
        stream: true,
    }
}

// Guards against a refusal of an earlier call, or of none, that is taken for that of a generation which then runs twice.
#[gtest]
fn stray_refusal() {
    actix_rt::System::new().block_on(async {
        let server = EmulatedServer::start("id").await.expect("a server");
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{ACCEPTED}",
            ACCEPTED.len()
        );
        server.default_reply(vec![
            Reply::SendIfReused(STRAY_REFUSAL.to_owned()),
            Reply::Send(head),
        ]);
        let engine = HttpEngine::new(LIMIT, LIMIT);
        let base = format!("http://{}", server.address());
        for _ in 0..4 {
            let mut events = engine.generate(&base, call()).await.expect("a stream");
            let first = events.next().await.expect("an event");
            expect_that!(matches!(first, Ok(EngineEvent::Accepted { .. })), eq(true));
            // Reads to the end of the answer, after which a client may keep the connection.
            while events.next().await.is_some() {}
        }
        expect_that!(server.requests(), eq(4));
    });
}

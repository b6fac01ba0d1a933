//! One request, through a sidecar or to an engine directly, with its times.

use std::time::{Duration, Instant};

use awc::Client;
use dappleyard_engine::{Engine, EngineEvent, GenerateCall, HttpEngine, Priority};
use dappleyard_sidecar::prompt::{PromptMessage, canonical};
use dappleyard_wire::ids::RequestId;
use futures::StreamExt;
use serde_json::json;

use crate::load::client::{DEADLINE, refusal};
use crate::load::sse::{EventReader, StreamEvent};

/// Service that is asked.
pub const SERVICE: &str = "fittings-llm";
/// Longest time for an answer of a request without a deadline, milliseconds.
const DEFAULT_DEADLINE_MS: u32 = 20_000;

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The whole answer came.
    Whole {
        /// Time to the first text.
        first: Duration,
        /// Time to the end.
        total: Duration,
        /// Pieces of text.
        pieces: u32,
    },
    /// It was refused, or broke off.
    Refused {
        /// Error kind; `broken` without an error object.
        kind: String,
        /// Time to the refusal.
        after: Duration,
    },
}

/// A request of the experiment.
#[derive(Debug, Clone)]
pub struct Request {
    /// The user's message; the system message is the same for all.
    pub text: String,
    /// Most tokens of the answer.
    pub tokens: u32,
    /// Deadline, milliseconds; `None` for a long one.
    pub deadline_ms: Option<u32>,
}

/// Sends a request through a sidecar and reads its events.
pub async fn send_to_sidecar(client: &Client, base: &str, request: &Request) -> Outcome {
    let body = json!({
        "model": SERVICE,
        "messages": [
            {"role": "system", "content": "You match fittings."},
            {"role": "user", "content": request.text}
        ],
        "max_tokens": request.tokens,
        "stream": true
    });
    let started = Instant::now();
    let deadline_ms = request.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let sent = client
        .post(format!("{base}/v1/chat/completions"))
        .insert_header((DEADLINE, deadline_ms.to_string()))
        .send_json(&body)
        .await;
    let broken = |after| Outcome::Refused {
        kind: "broken".to_owned(),
        after,
    };
    let Ok(mut answer) = sent else {
        return broken(started.elapsed());
    };
    if !answer.status().is_success() {
        let status = answer.status().as_u16();
        let body = answer.body().await.unwrap_or_default();
        return Outcome::Refused {
            kind: refusal(status, &body).kind,
            after: started.elapsed(),
        };
    }
    let (mut reader, mut first, mut pieces) = (EventReader::default(), None, 0);
    while let Some(Ok(bytes)) = answer.next().await {
        for event in reader.push(&bytes) {
            match event {
                StreamEvent::Text(_) => {
                    pieces += 1;
                    first.get_or_insert_with(|| started.elapsed());
                }
                StreamEvent::Done => {
                    let total = started.elapsed();
                    return Outcome::Whole {
                        first: first.unwrap_or(total),
                        total,
                        pieces,
                    };
                }
                StreamEvent::Error(error) => {
                    return Outcome::Refused {
                        kind: error["kind"].as_str().unwrap_or_default().to_owned(),
                        after: started.elapsed(),
                    };
                }
                StreamEvent::Finish(_) => {}
            }
        }
    }
    broken(started.elapsed())
}

/// Sends the same request to an engine directly.
pub async fn send_to_engine(engine: &HttpEngine, base: &str, request: &Request) -> Outcome {
    let message = |role: &str, text: &str| PromptMessage {
        role: role.to_owned(),
        text: text.to_owned(),
    };
    let messages = [
        message("system", "You match fittings."),
        message("user", &request.text),
    ];
    let prompt = canonical(&messages, "");
    let call = GenerateCall {
        request_id: RequestId::random().to_string(),
        attempt: 1,
        service: SERVICE.to_owned(),
        version: String::new(),
        adapter: String::new(),
        prompt: prompt.text,
        prompt_tokens: prompt.tokens,
        prefix_hash: prompt.prefix_hash,
        prefix_tokens: prompt.prefix_tokens,
        max_tokens: request.tokens,
        priority: Priority::ONLINE,
        resume_offset: 0,
        attach_stream: String::new(),
        attach_only: false,
        stream: true,
    };
    let started = Instant::now();
    let (mut first, mut count) = (None, 0);
    if let Ok(mut events) = engine.generate(base, call).await {
        while let Some(Ok(event)) = events.next().await {
            match event {
                EngineEvent::Tokens { pieces, .. } => {
                    count += pieces.len() as u32;
                    first.get_or_insert_with(|| started.elapsed());
                }
                EngineEvent::Finished { .. } => {
                    let total = started.elapsed();
                    return Outcome::Whole {
                        first: first.unwrap_or(total),
                        total,
                        pieces: count,
                    };
                }
                EngineEvent::Accepted { .. } => {}
            }
        }
    }
    Outcome::Refused {
        kind: "broken".to_owned(),
        after: started.elapsed(),
    }
}

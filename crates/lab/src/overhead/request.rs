//! Sends one request through a sidecar or directly to an engine and measures its times.

use std::time::{Duration, Instant};

use awc::Client;
use dappleyard_engine::{Engine, EngineEvent, GenerateCall, HttpEngine, Priority};
use dappleyard_sidecar::prompt::{PromptMessage, chat_prompt};
use dappleyard_wire::ids::RequestId;
use futures::StreamExt;
use serde_json::json;

use crate::load::client::{DEADLINE, refusal};
use crate::load::sse::{EventReader, StreamEvent};

/// Model service of all requests.
pub const SERVICE: &str = "fittings-llm";
/// Deadline of requests that set none.
const DEFAULT_DEADLINE_MS: u32 = 20_000;

/// Result of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The response completed.
    Whole {
        /// Time to first token.
        first: Duration,
        total: Duration,
        /// Number of text chunks.
        pieces: u32,
    },
    /// The request was refused or interrupted.
    Refused {
        /// Error kind; `broken` if the connection ended without one.
        kind: String,
        /// Time to the error.
        after: Duration,
    },
}

#[derive(Debug, Clone)]
pub struct Request {
    /// User message; the system message is the same for all requests.
    pub text: String,
    /// Token limit of the response.
    pub tokens: u32,
    /// Deadline, milliseconds; `None` for [`DEFAULT_DEADLINE_MS`].
    pub deadline_ms: Option<u32>,
}

/// Sends a request through a sidecar and reads the response stream.
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

/// Sends the same request directly to an engine.
pub async fn send_to_engine(engine: &HttpEngine, base: &str, request: &Request) -> Outcome {
    let message = |role: &str, text: &str| PromptMessage {
        role: role.to_owned(),
        text: text.to_owned(),
    };
    let messages = [
        message("system", "You match fittings."),
        message("user", &request.text),
    ];
    let prompt = chat_prompt(&messages, "");
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

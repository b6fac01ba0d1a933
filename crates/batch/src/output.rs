//! Lines of output and error files, in OpenAI's batch format.

use dappleyard_wire::ErrorKind;
use serde_json::json;

use crate::input::Item;

/// Complete model response to an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemCompletion {
    /// Text of each output token.
    pub pieces: Vec<String>,
    /// `stop` or `length`.
    pub reason: String,
    /// Model version that produced the response.
    pub version: String,
}

/// Outcome of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemOutcome {
    Completed(ItemCompletion),
    Failed { kind: ErrorKind, message: String },
}

/// Formats the result line of an item, including the line feed.
pub fn result_line(
    item: &Item,
    request_id: &str,
    created_unix_s: u64,
    outcome: &ItemOutcome,
) -> Vec<u8> {
    let (response, error) = match outcome {
        ItemOutcome::Completed(completion) => (
            json!({
                "status_code": 200,
                "request_id": request_id,
                "body": completion_body(item, request_id, created_unix_s, completion),
            }),
            serde_json::Value::Null,
        ),
        ItemOutcome::Failed { kind, message } => (
            serde_json::Value::Null,
            json!({ "code": kind.answer().code, "message": message }),
        ),
    };
    let value = json!({
        "id": format!("batch_req_{request_id}"),
        "custom_id": item.custom_id,
        "response": response,
        "error": error,
    });
    let mut bytes = value.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

fn completion_body(
    item: &Item,
    request_id: &str,
    created_unix_s: u64,
    completion: &ItemCompletion,
) -> serde_json::Value {
    let text = completion.pieces.concat();
    let choice = match item.chat {
        true => json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": completion.reason,
        }),
        false => json!({ "index": 0, "text": text, "finish_reason": completion.reason }),
    };
    let (prefix, object) = match item.chat {
        true => ("chatcmpl", "chat.completion"),
        false => ("cmpl", "text_completion"),
    };
    let completion_tokens = completion.pieces.len();
    json!({
        "id": format!("{prefix}-{request_id}"),
        "object": object,
        "created": created_unix_s,
        "model": item.service,
        "system_fingerprint": completion.version,
        "choices": [choice],
        "usage": {
            "prompt_tokens": item.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": item.prompt_tokens as usize + completion_tokens,
        },
    })
}

//! Parsing and validation of one line of an input file, in OpenAI's batch request format.

use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::prompt;
use serde::Deserialize;

/// Token limit of an item that sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

pub const CHAT_ENDPOINT: &str = "/v1/chat/completions";
pub const COMPLETIONS_ENDPOINT: &str = "/v1/completions";

/// One item of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Client's id of the item, unique in the job.
    pub custom_id: String,
    /// Model service.
    pub service: String,
    /// Adapter; empty if none.
    pub adapter: String,
    /// Prompt in canonical form.
    pub prompt: String,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
    /// Hash of the prompt prefix that other items may share.
    pub prefix_hash: u64,
    /// Length of the shared prefix, tokens.
    pub prefix_tokens: u32,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Whether the response is a chat completion.
    pub chat: bool,
}

/// Error in an input line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineError {
    /// Path of the invalid field; empty for the line as a whole.
    pub field: &'static str,
    pub message: String,
}

impl LineError {
    fn new(field: &'static str, message: impl Into<String>) -> LineError {
        LineError {
            field,
            message: message.into(),
        }
    }
}

#[derive(Deserialize)]
struct RequestLine {
    custom_id: Option<String>,
    method: Option<String>,
    url: Option<String>,
    body: Option<RequestBody>,
}

#[derive(Deserialize)]
struct RequestBody {
    model: Option<String>,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<String>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: Content,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Deserialize)]
struct ContentPart {
    text: String,
}

impl Content {
    fn text(self) -> String {
        match self {
            Content::Text(text) => text,
            Content::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
        }
    }
}

/// Parses one line of a job for `endpoint`.
///
/// # Errors
/// Returns the first invalid field.
pub fn parse_item(line: &[u8], endpoint: &str) -> Result<Item, LineError> {
    let request: RequestLine = serde_json::from_slice(line)
        .map_err(|error| LineError::new("", format!("not a batch request: {error}")))?;
    let custom_id = required(request.custom_id, "custom_id")?;
    if request.method.as_deref() != Some("POST") {
        return Err(LineError::new("method", "must be \"POST\""));
    }
    if request.url.as_deref() != Some(endpoint) {
        let message = format!("must be the job's endpoint {endpoint:?}");
        return Err(LineError::new("url", message));
    }
    let body = request
        .body
        .ok_or_else(|| LineError::new("body", "is missing"))?;
    parse_body(custom_id, body, endpoint == CHAT_ENDPOINT)
}

fn parse_body(custom_id: String, body: RequestBody, chat: bool) -> Result<Item, LineError> {
    let model = required(body.model, "body.model")?;
    let (prompt, prefix) = match chat {
        true => chat_prompt(body.messages)?,
        false => (required(body.prompt, "body.prompt")?, String::new()),
    };
    let limit = body.max_completion_tokens.or(body.max_tokens);
    let max_tokens = limit.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 {
        return Err(LineError::new("body.max_tokens", "must be at least 1"));
    }
    let (service, adapter) = split_model_name(&model);
    Ok(Item {
        custom_id,
        service,
        adapter,
        prompt_tokens: prompt::count_tokens(&prompt),
        prompt,
        prefix_hash: hash_bytes(prefix.as_bytes()),
        prefix_tokens: match prefix.is_empty() {
            true => 0,
            false => prompt::count_tokens(&prefix),
        },
        max_tokens,
        chat,
    })
}

/// Roles of leading messages that count as the shared prefix of a chat.
const SHARED_ROLES: [&str; 2] = ["system", "developer"];

/// Returns the canonical prompt and its shared prefix: the leading system and developer messages.
fn chat_prompt(messages: Option<Vec<ChatMessage>>) -> Result<(String, String), LineError> {
    let messages = messages.unwrap_or_default();
    if messages.is_empty() {
        return Err(LineError::new("body.messages", "must not be empty"));
    }
    let texts: Vec<(String, String)> = messages
        .into_iter()
        .map(|message| (message.role, message.content.text()))
        .collect();
    let pairs = texts
        .iter()
        .map(|(role, text)| (role.as_str(), text.as_str()));
    let shared = pairs
        .clone()
        .take_while(|(role, _)| SHARED_ROLES.contains(role));
    Ok((
        prompt::canonical_chat(pairs.clone()),
        prompt::canonical_chat(shared),
    ))
}

/// Splits a model name of the form `service` or `service:adapter`.
fn split_model_name(model: &str) -> (String, String) {
    match model.split_once(':') {
        Some((service, adapter)) => (service.to_owned(), adapter.to_owned()),
        None => (model.to_owned(), String::new()),
    }
}

fn required(value: Option<String>, field: &'static str) -> Result<String, LineError> {
    match value {
        Some(text) if !text.is_empty() => Ok(text),
        _ => Err(LineError::new(field, "is missing or empty")),
    }
}

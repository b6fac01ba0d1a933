//! Request bodies of `/v1/chat/completions` and `/v1/completions`.
//!
//! Sampling parameters (such as `temperature`, `top_p` and `seed`) are accepted and ignored; the
//! engine decides them. Parameters that would change the shape of the response (`n`, `stop`,
//! `tools`, `logprobs`, `echo`, `suffix`, `response_format`) are rejected unless they have their
//! default value.

use serde::Deserialize;
use serde_json::Value;

use crate::error::ApiError;
use crate::prompt::PromptMessage;

/// Body of `/v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub struct ChatBody {
    /// Service, or `service:adapter`.
    pub model: String,
    pub messages: Vec<ChatMessage>,
    /// OpenAI's newer name of `max_tokens`; takes precedence over it.
    pub max_completion_tokens: Option<u32>,
}

/// Body of `/v1/completions`.
#[derive(Debug, Deserialize)]
pub struct CompletionBody {
    /// Service, or `service:adapter`.
    pub model: String,
    pub prompt: CompletionPrompt,
}

/// Parameters common to both endpoints. Parsed from the same body in a second pass, because errors
/// in a flattened struct do not name the field.
#[derive(Debug, Default, Deserialize)]
pub struct CommonBody {
    pub max_tokens: Option<u32>,
    /// Whether to respond with server-sent events.
    #[serde(default)]
    pub stream: Option<bool>,
    pub stream_options: Option<StreamOptions>,
    /// Must be 1.
    pub n: Option<u32>,
    /// Not supported.
    pub stop: Option<Value>,
    /// Not supported.
    pub tools: Option<Value>,
    /// Not supported.
    pub logprobs: Option<Value>,
    /// Not supported.
    pub echo: Option<bool>,
    /// Not supported.
    pub suffix: Option<String>,
    /// Must have the type `text`.
    pub response_format: Option<Value>,
}

#[derive(Debug, Default, Clone, Copy, Deserialize)]
pub struct StreamOptions {
    /// Whether the stream ends with an event that carries the token counts.
    #[serde(default)]
    pub include_usage: bool,
}

#[derive(Debug, Deserialize)]
pub struct ChatMessage {
    pub role: Role,
    pub content: Option<Content>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    System,
    /// OpenAI's newer name of `System`.
    Developer,
    User,
    Assistant,
    Tool,
}

impl Role {
    /// Role name used in the canonical prompt.
    pub const fn name(self) -> &'static str {
        match self {
            Role::System => "system",
            Role::Developer => "developer",
            Role::User => "user",
            Role::Assistant => "assistant",
            Role::Tool => "tool",
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(untagged, expecting = "a string, or a list of parts of type text")]
pub enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ContentPart {
    Text { text: String },
}

#[derive(Debug, Deserialize)]
#[serde(untagged, expecting = "a string, or a list of one string")]
pub enum CompletionPrompt {
    One(String),
    /// A list; must have exactly one element.
    List(Vec<String>),
}

impl ChatBody {
    pub fn prompt_messages(&self) -> Result<Vec<PromptMessage>, ApiError> {
        if self.messages.is_empty() {
            return Err(ApiError::invalid("messages", "messages must not be empty"));
        }
        Ok(self.messages.iter().map(ChatMessage::to_prompt).collect())
    }
}

impl ChatMessage {
    fn to_prompt(&self) -> PromptMessage {
        let text = match &self.content {
            None => String::new(),
            Some(Content::Text(text)) => text.clone(),
            Some(Content::Parts(parts)) => parts
                .iter()
                .map(|ContentPart::Text { text }| text.as_str())
                .collect(),
        };
        PromptMessage {
            role: self.role.name().to_owned(),
            text,
        }
    }
}

impl CompletionPrompt {
    pub fn text(&self) -> Result<&str, ApiError> {
        match self {
            CompletionPrompt::One(text) => Ok(text),
            CompletionPrompt::List(list) if list.len() == 1 => Ok(&list[0]),
            CompletionPrompt::List(_) => Err(ApiError::invalid(
                "prompt",
                "prompt must be one string; send one request for each prompt",
            )),
        }
    }
}

impl CommonBody {
    /// Rejects unsupported parameters.
    pub fn validate(&self) -> Result<(), ApiError> {
        let unsupported = [
            ("n", self.n.is_some_and(|n| n != 1)),
            ("stop", is_requested(self.stop.as_ref())),
            ("tools", is_requested(self.tools.as_ref())),
            ("logprobs", is_requested(self.logprobs.as_ref())),
            ("echo", self.echo == Some(true)),
            (
                "suffix",
                self.suffix.as_ref().is_some_and(|s| !s.is_empty()),
            ),
            (
                "response_format",
                !is_text_format(self.response_format.as_ref()),
            ),
        ];
        match unsupported.iter().find(|(_, asked)| *asked) {
            None => Ok(()),
            Some((field, _)) => Err(ApiError::invalid(
                *field,
                format!("{field} is not supported here; leave it out"),
            )),
        }
    }

    pub fn is_streaming(&self) -> bool {
        self.stream.unwrap_or(false)
    }

    pub fn includes_usage(&self) -> bool {
        self.stream_options
            .is_some_and(|options| options.include_usage)
    }
}

fn is_requested(value: Option<&Value>) -> bool {
    match value {
        None | Some(Value::Null | Value::Bool(false)) => false,
        Some(Value::Array(list)) => !list.is_empty(),
        Some(_) => true,
    }
}

fn is_text_format(value: Option<&Value>) -> bool {
    match value {
        None | Some(Value::Null) => true,
        Some(format) => format.get("type").and_then(Value::as_str) == Some("text"),
    }
}

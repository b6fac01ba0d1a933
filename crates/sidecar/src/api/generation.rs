//! Bodies of `/v1/chat/completions` and `/v1/completions`.
//!
//! Sampling parameters (`temperature`, `top_p`, `seed` and their like) are accepted and ignored, as
//! engines decide them. Parameters that would change the shape of the answer (`n`, `stop`, `tools`,
//! `logprobs`, `echo`, `suffix`, `response_format`) are refused when they ask for more than the
//! default.

use serde::Deserialize;
use serde_json::Value;

use crate::error::ApiError;
use crate::prompt::PromptMessage;

/// Body of `/v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub struct ChatBody {
    /// Service, or `service:adapter`.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// OpenAI's newer name of `max_tokens`; goes first.
    pub max_completion_tokens: Option<u32>,
}

/// Body of `/v1/completions`.
#[derive(Debug, Deserialize)]
pub struct CompletionBody {
    /// Service, or `service:adapter`.
    pub model: String,
    /// One prompt.
    pub prompt: CompletionPrompt,
}

/// Parameters that both forms share; read from the same body in a second pass, so that an error in
/// either names its field.
#[derive(Debug, Default, Deserialize)]
pub struct CommonBody {
    /// Most tokens of the answer.
    pub max_tokens: Option<u32>,
    /// Whether server-sent events are wanted.
    #[serde(default)]
    pub stream: Option<bool>,
    /// Options of server-sent events.
    pub stream_options: Option<StreamOptions>,
    /// Number of answers: only 1.
    pub n: Option<u32>,
    /// Stop sequences: none.
    pub stop: Option<Value>,
    /// Tools: none.
    pub tools: Option<Value>,
    /// Log probabilities: none.
    pub logprobs: Option<Value>,
    /// Echo of the prompt: no.
    pub echo: Option<bool>,
    /// Text after the answer: none.
    pub suffix: Option<String>,
    /// Format of the answer: only text.
    pub response_format: Option<Value>,
}

/// Options of server-sent events.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
pub struct StreamOptions {
    /// Whether a last event carries the token counts.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message.
#[derive(Debug, Deserialize)]
pub struct ChatMessage {
    /// Role.
    pub role: Role,
    /// Text, as one string or as parts.
    pub content: Option<Content>,
}

/// Role of a message.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Instructions.
    System,
    /// Instructions, by their newer name.
    Developer,
    /// The caller.
    User,
    /// The model.
    Assistant,
    /// Result of a tool.
    Tool,
}

impl Role {
    /// Name in the canonical prompt.
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

/// Content of a message.
#[derive(Debug, Deserialize)]
#[serde(untagged, expecting = "a string, or a list of parts of type text")]
pub enum Content {
    /// One text.
    Text(String),
    /// Parts.
    Parts(Vec<ContentPart>),
}

/// One part of a message.
#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ContentPart {
    /// Text.
    Text {
        /// The text.
        text: String,
    },
}

/// Prompt of a completion.
#[derive(Debug, Deserialize)]
#[serde(untagged, expecting = "a string, or a list of one string")]
pub enum CompletionPrompt {
    /// One prompt.
    One(String),
    /// A list, of exactly one prompt.
    List(Vec<String>),
}

impl ChatBody {
    /// The conversation as messages of the canonical prompt.
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
    /// The one prompt.
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
    /// Refuses parameters that would change the shape of the answer.
    pub fn check(&self) -> Result<(), ApiError> {
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

    /// Whether server-sent events are wanted.
    pub fn streams(&self) -> bool {
        self.stream.unwrap_or(false)
    }

    /// Whether a last event carries the token counts.
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

//! Response bodies of generations, complete and as server-sent events.

use serde::Serialize;

/// Generation endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Usage {
    pub prompt_tokens: u32,
    pub completion_tokens: u32,
    pub total_tokens: u32,
    pub prompt_tokens_details: CachedTokens,
}

/// Prompt tokens served from the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CachedTokens {
    pub cached_tokens: u32,
}

/// A complete response, or one event of a stream.
#[derive(Debug, Serialize)]
pub struct GenerationBody<'a> {
    pub id: &'a str,
    pub object: &'static str,
    /// Unix time at which the response was started, seconds.
    pub created: u64,
    /// Model name from the request.
    pub model: &'a str,
    /// Model version; empty before it is known.
    pub system_fingerprint: &'a str,
    /// A single choice; empty in the event that carries the token counts.
    pub choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The single choice of a response.
#[derive(Debug, Serialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// Serialized under a key that depends on the endpoint.
    #[serde(flatten)]
    pub content: ChoiceContent<'a>,
    /// `null` before the last event.
    pub finish_reason: Option<&'a str>,
    /// Always `null`.
    pub logprobs: Option<()>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceContent<'a> {
    /// Complete chat response.
    Message(Message<'a>),
    /// Event of a chat stream.
    Delta(Delta<'a>),
    /// Completion, complete or streamed.
    Text(&'a str),
}

/// Message of a complete chat response.
#[derive(Debug, Serialize)]
pub struct Message<'a> {
    /// Always `assistant`.
    pub role: &'static str,
    pub content: &'a str,
}

/// Part of a streamed chat response.
#[derive(Debug, Serialize)]
pub struct Delta<'a> {
    /// `assistant` in the first event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<&'a str>,
}

//! Bodies of generation answers, whole and as server-sent events.

use serde::Serialize;

/// Which of the two forms of generation was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// Token counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Their sum.
    pub total_tokens: u32,
    /// Of the prompt's tokens, those that were cached.
    pub prompt_tokens_details: CachedTokens,
}

/// Of the prompt's tokens, those that were cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CachedTokens {
    /// Cached tokens.
    pub cached_tokens: u32,
}

/// A whole answer, or one event of it.
#[derive(Debug, Serialize)]
pub struct GenerationBody<'a> {
    /// Answer id.
    pub id: &'a str,
    /// Kind of object.
    pub object: &'static str,
    /// Unix time of the answer's start, seconds.
    pub created: u64,
    /// Model as the caller named it.
    pub model: &'a str,
    /// Model version that answers; empty before it is known.
    pub system_fingerprint: &'a str,
    /// The one choice; empty in the event that carries the token counts.
    pub choices: Vec<Choice<'a>>,
    /// Token counts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The one choice of an answer.
#[derive(Debug, Serialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// Content, in the place where the form has it.
    #[serde(flatten)]
    pub content: ChoiceContent<'a>,
    /// Why the answer ended; `null` before the end.
    pub finish_reason: Option<&'a str>,
    /// Always `null`.
    pub logprobs: Option<()>,
}

/// Content of a choice.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceContent<'a> {
    /// Of a whole chat answer.
    Message(Message<'a>),
    /// Of an event of a chat answer.
    Delta(Delta<'a>),
    /// Of a completion.
    Text(&'a str),
}

/// Message of a whole chat answer.
#[derive(Debug, Serialize)]
pub struct Message<'a> {
    /// Always `assistant`.
    pub role: &'static str,
    /// Text.
    pub content: &'a str,
}

/// Part of a chat answer.
#[derive(Debug, Serialize)]
pub struct Delta<'a> {
    /// `assistant` in the first event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// Text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<&'a str>,
}

//! Canonical prompt: the text that an engine receives for the messages of a chat.
//!
//! The text is built by [`dappleyard_wire::prompt`], so that batch items and online requests with
//! the same messages have the same prompt. The prompt of a completion is passed unchanged. Token
//! counts are estimates, by words separated by white space.
//!
//! The *shared prefix* is the part that other requests are likely to repeat; requests are routed by
//! its hash to engines that may have it cached:
//!
//! - with a session, the prefix is all but the last message. The hash covers the leading system
//!   messages and the session key, so that it is stable while the conversation grows;
//! - without a session, the prefix is the leading system messages;
//! - without either, the first [`DEFAULT_PREFIX_WORDS`] words of the prompt.

use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::prompt::{canonical_chat, count_tokens};

/// Prefix length of a prompt without system messages or a session, words.
pub const DEFAULT_PREFIX_WORDS: usize = 32;

/// Roles whose leading messages form the shared prefix.
const SYSTEM_ROLES: [&str; 2] = ["system", "developer"];

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptMessage {
    /// For example `system` or `user`.
    pub role: String,
    pub text: String,
}

/// A prompt as sent to engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CanonicalPrompt {
    pub text: String,
    /// Estimated length; at least 1.
    pub tokens: u32,
    pub prefix_hash: u64,
    /// Estimated length of the shared prefix, tokens.
    pub prefix_tokens: u32,
}

/// Builds the prompt of a chat. `session` is empty for none.
pub fn chat_prompt(messages: &[PromptMessage], session: &str) -> CanonicalPrompt {
    let text = join(messages);
    let system_messages = messages
        .iter()
        .take_while(|message| SYSTEM_ROLES.contains(&message.role.as_str()))
        .count();
    let system = join(&messages[..system_messages]);
    if !session.is_empty() {
        let history = join(&messages[..messages.len().saturating_sub(1)]);
        return build(text, session_hash(&system, session), count_words(&history));
    }
    if !system.is_empty() {
        let (hash, tokens) = (hash_bytes(system.as_bytes()), count_words(&system));
        return build(text, hash, tokens);
    }
    build_without_prefix(text)
}

/// Builds the prompt of a completion, whose text is passed unchanged.
pub fn completion_prompt(prompt: &str, session: &str) -> CanonicalPrompt {
    let text = prompt.to_owned();
    if session.is_empty() {
        return build_without_prefix(text);
    }
    let tokens = count_words(&text);
    build(text, session_hash("", session), tokens)
}

fn join(messages: &[PromptMessage]) -> String {
    let pairs = messages.iter();
    canonical_chat(pairs.map(|message| (message.role.as_str(), message.text.as_str())))
}

fn session_hash(system: &str, session: &str) -> u64 {
    hash_bytes(format!("{system}\u{0}{session}").as_bytes())
}

fn count_words(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

fn build_without_prefix(text: String) -> CanonicalPrompt {
    let prefix: Vec<&str> = text.split_whitespace().take(DEFAULT_PREFIX_WORDS).collect();
    let tokens = u32::try_from(prefix.len()).unwrap_or(u32::MAX);
    let hash = hash_bytes(prefix.join(" ").as_bytes());
    build(text, hash, tokens)
}

fn build(text: String, prefix_hash: u64, prefix_tokens: u32) -> CanonicalPrompt {
    CanonicalPrompt {
        tokens: count_tokens(&text),
        text,
        prefix_hash,
        prefix_tokens,
    }
}

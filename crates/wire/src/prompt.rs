//! Canonical prompt text and token count, shared by online requests and batch items.

use crate::hash::hash_bytes;

/// Number of leading words covered by [`prefix_hash`].
pub const PREFIX_WORDS: usize = 64;

/// Canonical text of chat messages given as (role, content), one line per message.
pub fn canonical_chat<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut text = String::new();
    for (role, content) in messages {
        text.push_str(role);
        text.push_str(": ");
        text.push_str(content);
        text.push('\n');
    }
    text
}

/// Token count of a text: its number of words, at least one.
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count())
        .unwrap_or(u32::MAX)
        .max(1)
}

/// Hash of the first [`PREFIX_WORDS`] words of a prompt, for cache affinity.
pub fn prefix_hash(prompt: &str) -> u64 {
    let end = prompt
        .split_whitespace()
        .nth(PREFIX_WORDS)
        .map_or(prompt.len(), |word| {
            word.as_ptr() as usize - prompt.as_ptr() as usize
        });
    hash_bytes(&prompt.as_bytes()[..end])
}

//! Generated text of an engine: a pure function of (model version, prompt, offset).
//!
//! Every token can be verified byte for byte, whichever engine produced it. Most answers run to the
//! caller's token limit; one prompt in [`STOP_ONE_IN`] has a stop position of its own.

use dappleyard_wire::hash::hash_bytes;

/// One prompt in this many stops before the limit if the limit is large enough.
const STOP_ONE_IN: u64 = 8;
/// Range of the length of answers that stop, tokens.
const STOP_MIN_TOKENS: u64 = 16;
const STOP_MAX_TOKENS: u64 = 256;

const SYLLABLES: [&str; 32] = [
    "ka", "lo", "mi", "ru", "ta", "se", "no", "vi", "da", "pe", "gu", "ri", "ma", "to", "ne", "su",
    "ba", "li", "fo", "ze", "ha", "ku", "wi", "ro", "ja", "te", "po", "ni", "ga", "lu", "me", "so",
];

/// Generates the answer of one model version to one prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TextSource {
    seed: u64,
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Concatenated tokens.
    pub text: String,
    pub tokens: u32,
    /// Finish reason: "stop" or "length".
    pub reason: &'static str,
}

impl TextSource {
    /// Creates the source for the answer of `version` to `prompt`.
    pub fn new(version: &str, prompt: &str) -> TextSource {
        let version_hash = hash_bytes(version.as_bytes());
        let prompt_hash = hash_bytes(prompt.as_bytes());
        TextSource {
            seed: mix(version_hash ^ prompt_hash.rotate_left(29)),
        }
    }

    /// Cache key for the KV state of this sequence.
    pub fn key(self) -> u64 {
        mix(self.seed)
    }

    /// The token at `offset`: a short word with a leading space.
    pub fn piece(self, offset: u32) -> String {
        let bits = mix(self.seed ^ u64::from(offset).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut piece = String::with_capacity(8);
        piece.push(' ');
        for syllable in 0..=(bits & 1) + 1 {
            piece.push_str(SYLLABLES[(bits >> (1 + 5 * syllable)) as usize & 31]);
        }
        piece
    }

    /// Tokens `from..to`.
    pub fn pieces(self, from: u32, to: u32) -> Vec<String> {
        (from..to).map(|offset| self.piece(offset)).collect()
    }

    /// Length in tokens under a limit, and the finish reason: "stop" or "length".
    pub fn end(self, max_tokens: u32) -> (u32, &'static str) {
        let limit = max_tokens.max(1);
        let bits = mix(self.seed ^ 0x5707);
        if !bits.is_multiple_of(STOP_ONE_IN) {
            return (limit, "length");
        }
        let stop_length = STOP_MIN_TOKENS + (bits >> 8) % (STOP_MAX_TOKENS - STOP_MIN_TOKENS + 1);
        if stop_length <= u64::from(limit) {
            (stop_length as u32, "stop")
        } else {
            (limit, "length")
        }
    }
}

/// The token at `offset` of the answer of `version` to `prompt`.
pub fn piece(version: &str, prompt: &str, offset: u32) -> String {
    TextSource::new(version, prompt).piece(offset)
}

/// The complete answer of `version` to `prompt` under a token limit.
pub fn expected(version: &str, prompt: &str, max_tokens: u32) -> Answer {
    let source = TextSource::new(version, prompt);
    let (tokens, reason) = source.end(max_tokens);
    Answer {
        text: source.pieces(0, tokens).concat(),
        tokens,
        reason,
    }
}

/// Finalizer of SplitMix64: spreads the bits of its input.
fn mix(input: u64) -> u64 {
    let mut bits = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

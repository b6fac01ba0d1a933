//! Prompt text, generated deterministically from a seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CONSONANTS: &[u8] = b"bdfgklmnprstvz";
const VOWELS: &[u8] = b"aeiou";
/// Letters per word; with the following space a word is about one token.
const WORD_LETTERS: usize = 3;

/// Returns `words` pseudo-random words, always the same for a seed.
pub fn text(seed: u64, words: u32) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut text = String::with_capacity(words as usize * (WORD_LETTERS + 1));
    for word in 0..words {
        if word > 0 {
            text.push(' ');
        }
        let bits: u32 = rng.random();
        for letter in 0..WORD_LETTERS {
            let alphabet = if letter % 2 == 0 { CONSONANTS } else { VOWELS };
            let index = (bits >> (8 * letter)) as usize % alphabet.len();
            text.push(char::from(alphabet[index]));
        }
    }
    text
}

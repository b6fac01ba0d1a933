//! Stream keys.

use sha2::{Digest, Sha256};

/// Identifies a stream by its caller and the attempt that brought its first event. A digest, so that a caller cannot
/// choose the key of another one's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Key of an attempt; `tenant` is empty without one.
    pub fn of(tenant: &str, attempt: &str) -> Self {
        let mut digest = Sha256::new();
        // The length makes the encoding unambiguous.
        digest.update((tenant.len() as u64).to_be_bytes());
        digest.update(tenant.as_bytes());
        digest.update(attempt.as_bytes());
        let bytes = digest.finalize();
        let number = bytes.iter().take(8);
        Self(number.fold(0, |number, byte| number << 8 | u64::from(*byte)))
    }
}

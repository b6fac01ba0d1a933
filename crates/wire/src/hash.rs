//! Placement hash: 64-bit XXH3, stable across processes and builds.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hashes `bytes`.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Rendezvous weight of `candidate` for `key`: the candidate with the greatest weight wins.
pub fn rendezvous_weight(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

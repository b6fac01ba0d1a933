//! Numeric tenant identifiers and values derived from them.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A node may spend a low credit divided by this number before the next report.
const CREDIT_SLICES: u64 = 2;

/// Number that identifies a tenant in messages.
pub fn tenant_number(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// A pseudo-random number between 0 and 1 that depends on the tenant and on the node's seed.
pub(crate) fn random_point(seed: u64, tenant: u32) -> f64 {
    xxh3_64_with_seed(&tenant.to_le_bytes(), seed) as f64 / u64::MAX as f64
}

/// Requests that a node may admit from a low credit until the next report, since all nodes spend the same credit
/// concurrently.
pub(crate) fn allowance(level_milli: i64) -> u64 {
    let level = u64::try_from(level_milli / 1_000).unwrap_or(0);
    (level / CREDIT_SLICES).max(1)
}

//! Numbers that nodes draw or derive for each tenant.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Part of a low credit that one node may spend before it is told again.
const SLICES: u64 = 2;

/// Number that stands for a tenant in messages.
pub fn tenant_number(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// A number between 0 and 1 for a tenant, another one at each node.
pub(crate) fn point(seed: u64, tenant: u32) -> f64 {
    xxh3_64_with_seed(&tenant.to_le_bytes(), seed) as f64 / u64::MAX as f64
}

/// Requests that a node lets pass of a credit that is low until it is told again: all nodes spend the same
/// credit at the same time.
pub(crate) fn slice(level_milli: i64) -> u64 {
    let level = u64::try_from(level_milli / 1_000).unwrap_or(0);
    (level / SLICES).max(1)
}

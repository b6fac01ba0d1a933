//! Freshness of server reports. Bounding their age ensures that a leaving server gets no new
//! requests, even from a node that was paused or has just become its owner.

use crate::time::Millis;

/// Latest time at which a report is known to have been valid: `age_ms` before the request at
/// `requested`. The receive time cannot be used because the receiver may have been paused.
pub fn valid_at(requested: Millis, age_ms: u64) -> Millis {
    Millis(requested.0.saturating_sub(age_ms))
}

/// Whether a report that was valid at `as_of` is recent enough to act on.
pub fn is_fresh(as_of: Millis, now: Millis, bound_ms: u64) -> bool {
    now.since(as_of) <= bound_ms
}

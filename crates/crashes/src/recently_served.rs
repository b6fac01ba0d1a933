//! Requests that were served a moment ago. Pure: time is an argument.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::fingerprint::Fingerprint;

/// How long ago a request may have been served to be held for one that servers bear. What many callers send comes
/// again within seconds.
const LATELY: Duration = Duration::from_secs(60);
/// Requests in one generation, of which two are held: 0.4 MB in all at most.
const GENERATION: usize = 4_096;

/// Requests that were served lately, the newest and those before them.
#[derive(Default)]
pub(crate) struct RecentlyServed {
    newer: HashMap<Fingerprint, Instant>,
    older: HashMap<Fingerprint, Instant>,
}

impl RecentlyServed {
    /// Notes that a request was served.
    pub(crate) fn note(&mut self, request: Fingerprint, now: Instant) {
        if self.newer.len() >= GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(request, now);
    }

    /// Whether a request was served within a minute before a moment.
    pub(crate) fn lately_before(&self, request: &Fingerprint, moment: Instant) -> bool {
        let served = self.newer.get(request).or_else(|| self.older.get(request));
        served.is_some_and(|at| moment.saturating_duration_since(*at) < LATELY)
    }
}

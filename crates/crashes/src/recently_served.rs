//! Cache of recently completed requests. Pure; time is an argument.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::fingerprint::Fingerprint;

/// Time for which a completed run is evidence that the request does not crash every server. It is long enough for a
/// request that many callers send, since one of them repeats it within seconds.
const RECENT_WINDOW: Duration = Duration::from_secs(60);
/// Entries per generation; two generations are kept, at most 0.4 MB.
const GENERATION_SIZE: usize = 4_096;

/// Recently completed requests, in two generations.
#[derive(Default)]
pub(crate) struct RecentlyServed {
    current: HashMap<Fingerprint, Instant>,
    previous: HashMap<Fingerprint, Instant>,
}

impl RecentlyServed {
    /// Records a completed run.
    pub(crate) fn note(&mut self, request: Fingerprint, now: Instant) {
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(request, now);
    }

    /// Whether a request last completed within [`RECENT_WINDOW`] before a moment, or after it.
    pub(crate) fn was_served_before(&self, request: &Fingerprint, moment: Instant) -> bool {
        let served = self
            .current
            .get(request)
            .or_else(|| self.previous.get(request));
        served.is_some_and(|at| moment.saturating_duration_since(*at) < RECENT_WINDOW)
    }
}

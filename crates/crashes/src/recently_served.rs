//! Cache of the features of recently completed requests. Pure; time is an argument.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::feature::Feature;

/// Time for which a completed run is evidence that a feature does not crash every server. It is long enough for a
/// feature that many requests have, since one of them completes within seconds.
const RECENT_WINDOW: Duration = Duration::from_secs(60);
/// Entries per generation; two generations are kept, at most 0.5 MB.
const GENERATION_SIZE: usize = 4_096;

/// Features of recently completed requests, in two generations.
#[derive(Default)]
pub(crate) struct RecentlyServed {
    current: HashMap<Feature, Instant>,
    previous: HashMap<Feature, Instant>,
}

impl RecentlyServed {
    /// Records a completed run.
    pub(crate) fn note(&mut self, feature: Feature, now: Instant) {
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(feature, now);
    }

    /// Whether a request with the feature last completed within [`RECENT_WINDOW`] before a moment, or after it.
    pub(crate) fn was_served_before(&self, feature: &Feature, moment: Instant) -> bool {
        let served = self
            .current
            .get(feature)
            .or_else(|| self.previous.get(feature));
        served.is_some_and(|at| moment.saturating_duration_since(*at) < RECENT_WINDOW)
    }
}

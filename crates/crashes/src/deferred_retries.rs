//! Limits the retries of refused deferred requests, such as items of jobs. Pure; time is an argument.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Time from an end under a retry to the next retry of any deferred request of this node, by which other causes of ends
/// should be over.
const RETRY_GAP: Duration = Duration::from_secs(3);
/// Limit on the retries of one node that are under way.
const MAX_CONCURRENT: usize = 8;

/// What became of the retries of this node. One may be under way after an end, one more after each success, so that many
/// deferred requests that crash servers end one server in [`RETRY_GAP`].
#[derive(Debug, Default)]
pub(crate) struct DeferredRetries {
    last_end: Option<Instant>,
    successes: usize,
}

impl DeferredRetries {
    /// Records that a server ended under a retry.
    pub(crate) fn note_end(&mut self, now: Instant) {
        self.last_end = Some(now);
        self.successes = 0;
    }

    /// Records that a refused request was served.
    pub(crate) fn note_success(&mut self) {
        self.successes += 1;
    }

    /// Whether a retry may begin beside those under way.
    pub(crate) fn may_begin(&self, under_way: usize, now: Instant) -> bool {
        let since_end = self.last_end.map(|at| now.saturating_duration_since(at));
        let is_calm = since_end.is_none_or(|since| since >= RETRY_GAP);
        is_calm && under_way < MAX_CONCURRENT.min(1 + self.successes)
    }
}

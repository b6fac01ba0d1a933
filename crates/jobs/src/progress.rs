//! Judges whether a run of an item still brings the item further.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_ingress::{AttemptError, EventSplitter, OutputExceeded, OutputLimits, Ran};

use crate::owned::Item;

/// Time without progress of a run after which the item is retried elsewhere, although other nodes or requests hear its
/// server. Longer than a prompt is read or a request queued at a sound server.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Waits for a server that may send nothing on this connection, though others hear it, or bytes that bring nothing.
pub(crate) async fn within_stall_limit<T>(
    waiting: impl Future<Output = Result<T, AttemptError>>,
) -> Result<T, AttemptError> {
    match dappleyard_clock::timeout(STALL_TIMEOUT, waiting).await {
        Ok(result) => result,
        Err(_) => Err(AttemptError::local(Ran::Maybe, "the run has stalled")),
    }
}

/// Judges whether a run brings its item further, and whether its output may still be that of a sound server.
pub(crate) struct ProgressMonitor {
    limits: OutputLimits,
    progress_at: Instant,
    /// Events of this run.
    events: u64,
}

impl ProgressMonitor {
    pub(crate) fn new(limits: OutputLimits) -> Self {
        Self {
            limits,
            progress_at: Instant::now(),
            events: 0,
        }
    }

    /// Counts an event, which brings the item further or not.
    pub(crate) fn note_event(&mut self, progress: bool) {
        self.events += 1;
        if progress {
            self.progress_at = Instant::now();
        }
    }

    pub(crate) fn check_output(&self, item: &Item) -> Result<(), AttemptError> {
        let is_too_long =
            item.text.len() > self.limits.text_bytes || self.events > self.limits.events;
        match is_too_long {
            true => Err(AttemptError::output_exceeded(OutputExceeded::OutputTooLong)),
            false => Ok(()),
        }
    }

    /// Called after each piece.
    pub(crate) fn check_incomplete(&self, splitter: &EventSplitter) -> Result<(), AttemptError> {
        splitter
            .check_incomplete(self.limits.event_bytes)
            .map_err(AttemptError::output_exceeded)?;
        match self.progress_at.elapsed() > STALL_TIMEOUT {
            true => Err(AttemptError::output_exceeded(
                OutputExceeded::EventWithoutEnd,
            )),
            false => Ok(()),
        }
    }
}

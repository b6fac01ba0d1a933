//! Crash accounting: limits the runs of requests under which engines have crashed.

use std::time::Duration;

use dappleyard_crashes::{Fingerprint, Permit, PromptPartId, RequestFeatures, RequestParts};
use dappleyard_engine::EngineError;

use super::{End, NextStep, OwnerRun};
use crate::dispatch::SelectedServer;

/// Interval between checks whether a concurrent run has ended.
const OTHER_RUN_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl OwnerRun {
    /// Whether the request may run. Attaching to a running stream does not count as a run.
    pub(super) fn permit(&self, attaching: bool) -> Permit {
        match attaching {
            true => Permit::Free,
            false => self.worker.tables.crashes.permit(&self.features()),
        }
    }

    pub(super) async fn wait_for_other_runs(&self) {
        let remaining = self.incoming.remaining_ms();
        tokio::time::sleep(
            OTHER_RUN_POLL_INTERVAL.min(Duration::from_millis(u64::from(remaining))),
        )
        .await;
    }

    /// Registers a run. Returns `false` if concurrent runs have used up the permits.
    pub(super) fn begin_run(&mut self, selected: &SelectedServer, attaching: bool) -> bool {
        if attaching && self.run.is_some() {
            return true;
        }
        let crashes = &self.worker.tables.crashes;
        self.run = crashes.begin(&self.features(), &selected.server).ok();
        attaching || self.run.is_some()
    }

    /// Updates the crash accounting after a call. A stream may outlive a lost connection, so its run counts
    /// as active unless the engine is unreachable.
    pub(super) async fn end_run(&mut self, selected: &SelectedServer, next: &NextStep) {
        let Some(run) = &self.run else {
            return;
        };
        if matches!(next, NextStep::End(End::Finished(_))) {
            run.note_served();
        }
        if self.connection_lost {
            let answered = self.worker.engine.status(&selected.base_url).await;
            if let Err(EngineError::Unreachable { reason }) = answered {
                let clock = &self.worker.tables.clock;
                let ended = run.note_ended(clock.now(), clock.unix_ms());
                tracing::info!(request = %self.incoming.id, server = %selected.server, reason,
                    ended, "engine became unreachable while running a request");
                self.run = None;
            }
        }
        if !self.earlier.has_stream() {
            self.run = None;
        }
    }

    fn features(&self) -> RequestFeatures {
        let request = &self.incoming.request;
        let fingerprint = Fingerprint::of(&RequestParts {
            caller: &request.tenant,
            method: "",
            host: &request.service,
            target: &request.adapter,
            body: request.prompt.as_bytes(),
        });
        // A prefix as long as the prompt belongs to the request alone.
        let is_shared = (1..request.prompt_tokens).contains(&request.prefix_tokens);
        let prefix = is_shared.then_some(PromptPartId(request.prefix_hash));
        RequestFeatures::new(fingerprint, prefix)
    }
}

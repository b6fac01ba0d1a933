//! Begins attempts, retries failed ones according to [`super::retry_policy`], and ends the request.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_decide::retry::retry_delay_ms;
use dappleyard_transport::{Link, LinkError};
use dappleyard_wire::error::join_ran;
use dappleyard_wire::messages::{Stage, Submit, frame};
use dappleyard_wire::{ErrorKind, Failure, Ran, Repeat};
use rand::Rng;

use super::ForwardedRequest;
use super::attempt::Attempt;
use super::retry_policy::{Decision, FailureContext, decide, may_succeed_later};

/// Maximum wait for a ready link before a further attempt.
const LINK_WAIT: Duration = Duration::from_millis(1_000);
/// Retry-after hint for retryable failures that carry none.
const RETRY_AFTER_MS: u32 = 500;
/// Backoff steps that polls of a record skip. The record is written tens of milliseconds after its
/// response, so earlier polls would find nothing.
const POLL_BACKOFF_STEPS: u32 = 2;

impl ForwardedRequest {
    /// Sends the request to a node, starting at the current offset.
    pub(super) async fn begin_attempt(&mut self, reason: &'static str) -> Result<(), Failure> {
        if self.remaining().is_zero() {
            return Err(self.deadline_passed());
        }
        let Some(link) = self.choose_link().await else {
            let message = "no node is reachable from this sidecar; come back later";
            return Err(self.finish_failed(Failure::not_run(ErrorKind::NotReady, message)));
        };
        if self.attempts == 0 {
            self.worker.shared.retries.lock().first_attempt();
            self.hedge_at = self.first_hedge_at();
        }
        self.assembly.begin_attempt();
        self.finish = None;
        self.missing_pieces_deadline = None;
        self.open_attempt(&link, reason)
    }

    async fn choose_link(&self) -> Option<Link> {
        let links = &self.worker.links;
        let (key, service) = (self.request.prefix_hash, &self.request.service);
        let link = links.select_node(key, service, &self.avoid);
        if link.is_some() || self.attempts == 0 {
            return link;
        }
        let until = self.deadline.min(Instant::now() + LINK_WAIT);
        links.wait_ready(until).await;
        links.select_node(key, service, &self.avoid)
    }

    /// Opens an attempt on a link. If the link was lost meanwhile, nothing was sent and the next step
    /// selects another node.
    fn open_attempt(&mut self, link: &Link, reason: &'static str) -> Result<(), Failure> {
        self.attempts += 1;
        let attempts = &self.worker.metrics().attempts;
        attempts.with_label_values(&[reason]).inc();
        let body = frame::Body::Submit(self.submit());
        match Attempt::open(link, body, self.cancel_on_drop()) {
            Ok(attempt) => self.open.push(attempt),
            Err(error @ LinkError::TooLarge { .. }) => {
                let failure = Failure::not_run(ErrorKind::TooLarge, error.to_string());
                return Err(self.finish_failed(failure));
            }
            Err(_) => self.avoid.push(link.peer().id.clone()),
        }
        Ok(())
    }

    fn first_hedge_at(&self) -> Option<Instant> {
        let after_ms = self.worker.settings().hedge_after_ms;
        let enabled = after_ms > 0 && self.request.repeat() == Repeat::Allowed;
        enabled.then(|| Instant::now() + Duration::from_millis(after_ms))
    }

    /// Opens a second attempt on another node; the first one to deliver a piece is kept. Charged to
    /// the retry budget.
    pub(super) fn hedge(&mut self) -> Result<(), Failure> {
        self.hedge_at = None;
        let Some(first) = self.open.first() else {
            return Ok(());
        };
        let mut avoid = self.avoid.clone();
        avoid.push(first.node().to_owned());
        let links = &self.worker.links;
        let link = links.select_node(self.request.prefix_hash, &self.request.service, &avoid);
        let other = link.filter(|link| !avoid.contains(&link.peer().id));
        if let Some(link) = other
            && self.spend_retry()
        {
            return self.open_attempt(&link, "hedge");
        }
        Ok(())
    }

    fn submit(&self) -> Submit {
        let accepted = self.accepted.clone().unwrap_or_default();
        let pieces = self.assembly.pieces();
        let version = self.assembly.version().unwrap_or_default();
        Submit {
            request: Some(self.request.clone()),
            attempt: self.attempts,
            stage: Stage::Ingress as i32,
            budget_ms: u32::try_from(self.remaining().as_millis()).unwrap_or(u32::MAX),
            resume_offset: self.assembly.offset(),
            resumed_pieces: pieces.to_vec(),
            version: if pieces.is_empty() { "" } else { version }.to_owned(),
            engine_stream: accepted.engine_stream,
            server: accepted.server,
            ran_before: self.ran as i32,
            from_zone: self.worker.settings().place.zone.clone(),
            configuration_revision: 0,
        }
    }

    /// Handles the failure of the open attempt `index`. If another attempt is open, it continues;
    /// otherwise the request is retried, or the final failure is returned.
    pub(super) async fn fail(&mut self, index: usize, failure: Failure) -> Result<(), Failure> {
        self.ran = join_ran(self.ran, failure.ran);
        if failure.kind == ErrorKind::InProgress {
            self.in_progress = Some(failure.clone());
        }
        let failed = self.open.remove(index);
        self.avoid.push(failed.node().to_owned());
        drop(failed);
        let failed_attempts = &self.worker.metrics().failed_attempts;
        failed_attempts
            .with_label_values(&[failure.kind.answer().code])
            .inc();
        if !self.open.is_empty() {
            return Box::pin(self.adopt_accepted()).await;
        }
        self.retry_or_fail(failure).await
    }

    async fn retry_or_fail(&mut self, failure: Failure) -> Result<(), Failure> {
        let decision = decide(&FailureContext {
            kind: failure.kind,
            ran: self.ran,
            repeat: self.request.repeat(),
            attempts: self.attempts,
            maximum_attempts: self.worker.settings().maximum_attempts,
            accepted: self.accepted.is_some(),
            released: self.assembly.released() > 0,
        });
        let allowed = match decision {
            Decision::Fail => false,
            Decision::Resume => true,
            Decision::Retry | Decision::Poll => self.spend_retry(),
            Decision::Restart => self.spend_retry() && self.assembly.restart(),
        };
        if !allowed {
            return Err(self.finish_failed(failure));
        }
        if decision == Decision::Restart {
            self.accepted = None;
        }
        self.backoff(decision, failure).await?;
        self.begin_attempt(decision.reason()).await
    }

    fn spend_retry(&self) -> bool {
        let allowed = self.worker.shared.retries.lock().take();
        if !allowed {
            self.worker.metrics().budget_denied.inc();
        }
        allowed
    }

    /// Waits before a retry, with jitter; the first retry is immediate unless it is a poll.
    async fn backoff(&mut self, decision: Decision, failure: Failure) -> Result<(), Failure> {
        let retry = match decision {
            Decision::Poll => self.attempts + POLL_BACKOFF_STEPS,
            _ => self.attempts - 1,
        };
        if retry == 0 {
            return Ok(());
        }
        let remaining_ms = u64::try_from(self.remaining().as_millis()).unwrap_or(u64::MAX);
        match retry_delay_ms(retry, rand::rng().random(), remaining_ms) {
            Some(backoff) => {
                tokio::time::sleep(Duration::from_millis(backoff)).await;
                Ok(())
            }
            None => Err(self.finish_failed(failure)),
        }
    }

    pub(super) fn deadline_passed(&mut self) -> Failure {
        let message = "the deadline passed before the whole answer was there";
        self.finish_failed(Failure::not_run(ErrorKind::DeadlineExceeded, message))
    }

    /// Corrects the failure of the last attempt. A node that is not ready has not read the record, so
    /// its refusal says nothing about a `never` request that may have run: an earlier "in progress"
    /// is returned instead, or else a lost node.
    fn resolve_failure(&mut self, failure: Failure) -> Failure {
        let outcome_unknown = self.request.repeat() == Repeat::Never && self.ran != Ran::No;
        if failure.kind != ErrorKind::NotReady || !outcome_unknown {
            return failure;
        }
        self.in_progress
            .take()
            .unwrap_or_else(|| Failure::maybe_ran(ErrorKind::NodeLost, failure.message))
    }

    /// Ends the request with a failure that covers all attempts.
    fn finish_failed(&mut self, failure: Failure) -> Failure {
        self.ended = true;
        self.open.clear();
        let mut last = self.resolve_failure(failure).after(self.ran);
        let lost = matches!(last.kind, ErrorKind::NodeLost | ErrorKind::EngineLost);
        if lost && self.request.repeat() == Repeat::Never && last.ran != Ran::No {
            last.kind = ErrorKind::OutcomeUnknown;
            "the outcome is not known here; ask again with the same Idempotency-Key"
                .clone_into(&mut last.message);
        }
        if last.retry_after_ms == 0 && may_succeed_later(last.kind) {
            last.retry_after_ms = RETRY_AFTER_MS;
        }
        last
    }
}

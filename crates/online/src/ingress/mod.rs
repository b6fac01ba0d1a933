//! The ingress stage: admits a request, reserves its idempotency key, tries owners in order and relays
//! the answer.

mod attempt;
mod targets;

use std::rc::Rc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_decide::retry::{may_retry, retry_delay_ms};
use dappleyard_wire::error::join_ran;
use dappleyard_wire::messages::{Chunk, Finish, OnceOutcome, Stage, frame};
use dappleyard_wire::{ErrorKind, Failure, Ran};

use crate::admit;
use crate::caller::Caller;
use crate::idempotency::{self, BeginOutcome, KeyReservation};
use crate::receive::{EarlierRun, Incoming};
use crate::settle;
use crate::worker::OnlineWorker;
use attempt::TargetOutcome;

/// Minimum retry delay suggested when no target is left, milliseconds.
const EXHAUSTED_RETRY_AFTER_MS: u32 = 200;

/// One submission at the ingress stage, or at the entry node of another cell.
pub(crate) struct IngressRun {
    worker: Rc<OnlineWorker>,
    caller: Caller,
    incoming: Incoming,
    /// Whether the request may have run. A newly reserved idempotency key resets it.
    ran: Ran,
    /// Tokens received so far.
    pieces: Vec<String>,
    /// Where the request ran last.
    earlier: EarlierRun,
    reservation: Option<KeyReservation>,
    submissions: u32,
    retries: u32,
    owners_tried: usize,
    spills: usize,
    tried: Vec<String>,
    /// End of the grace period for a disconnected caller.
    detached_until: Option<Instant>,
    has_token: bool,
}

impl IngressRun {
    pub fn new(worker: Rc<OnlineWorker>, incoming: Incoming, caller: Caller) -> IngressRun {
        IngressRun {
            worker,
            caller,
            ran: incoming.ran_before,
            pieces: incoming.pieces.clone(),
            earlier: incoming.earlier.clone(),
            incoming,
            reservation: None,
            submissions: 0,
            retries: 0,
            owners_tried: 0,
            spills: 0,
            tried: Vec::new(),
            detached_until: None,
            has_token: false,
        }
    }

    /// Serves the submission and sends its final frame.
    pub async fn run(mut self) {
        match self.serve().await {
            Ok(finish) => self.finish(finish),
            Err(failure) => self.refuse(failure),
        }
    }

    async fn serve(&mut self) -> Result<Finish, Failure> {
        if self.incoming.stage == Stage::Cell {
            return self.try_targets().await;
        }
        let _tenant = admit::admit(&self.worker, &self.incoming)?;
        if self.incoming.attempt == 1 {
            self.worker.shared.first_attempt();
        }
        if self.incoming.is_at_most_once() {
            match idempotency::begin(&self.worker, &self.incoming).await? {
                BeginOutcome::Acquired(reservation) => {
                    self.ran = Ran::No;
                    self.reservation = Some(reservation);
                }
                BeginOutcome::Attach(reservation) => {
                    self.ran = join_ran(self.ran, Ran::Maybe);
                    self.reservation = Some(reservation);
                }
                BeginOutcome::Replay(outcome) => return Ok(self.replay(outcome)),
            }
        }
        self.try_targets().await
    }

    /// Tries targets in order until one completes the answer or none is left.
    async fn try_targets(&mut self) -> Result<Finish, Failure> {
        let mut last = None;
        loop {
            if self.deadline_passed() {
                return Err(settle::deadline(self.ran));
            }
            let Some(target) = self.next_target() else {
                return Err(self.exhausted(last));
            };
            let failure = match self.try_target(&target).await {
                TargetOutcome::Finished(finish) => return Ok(finish),
                TargetOutcome::CallerDisconnected => return Err(settle::cancelled(self.ran)),
                TargetOutcome::Deadline => return Err(settle::deadline(self.ran)),
                TargetOutcome::NotSent(reason) => Failure::not_run(ErrorKind::NodeLost, reason),
                TargetOutcome::Refused(failure) => failure,
                TargetOutcome::Lost => {
                    Failure::maybe_ran(ErrorKind::NodeLost, "the owner was lost")
                }
            };
            self.ran = join_ran(self.ran, failure.ran);
            self.prepare_retry(&failure).await?;
            last = Some(failure);
        }
    }

    /// Decides whether another target may be tried after a failure, and waits for the retry delay.
    async fn prepare_retry(&mut self, failure: &Failure) -> Result<(), Failure> {
        if !failure.kind.answer().retryable {
            return Err(failure.clone());
        }
        if !may_retry(self.ran, self.incoming.request.repeat()) && !self.earlier.has_stream() {
            return Err(settle::outcome_unknown());
        }
        let cause = failure.kind.answer().code;
        let counter = &self.worker.shared.metrics.placed_again;
        counter.with_label_values(&[cause]).inc();
        settle::record_retry(&self.worker, &self.incoming, cause, self.ran);
        if failure.ran == Ran::No {
            return Ok(());
        }
        self.retries += 1;
        if !self.worker.shared.take_retry() {
            return Err(failure.clone().retry_after(EXHAUSTED_RETRY_AFTER_MS));
        }
        let remaining_ms = u64::from(self.incoming.remaining_ms());
        let pause = retry_delay_ms(self.retries, rand::random(), remaining_ms);
        let pause = pause.ok_or_else(|| settle::deadline(self.ran))?;
        self.owners_tried = 0;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        Ok(())
    }

    fn deadline_passed(&self) -> bool {
        Instant::now() >= self.incoming.deadline
    }

    /// Failure reported when no target is left.
    fn exhausted(&self, last: Option<Failure>) -> Failure {
        if self.incoming.is_at_most_once() && self.ran != Ran::No {
            return settle::outcome_unknown();
        }
        if self.incoming.stage == Stage::Cell {
            return bounced(last);
        }
        let last = last.unwrap_or_else(|| {
            Failure::not_run(
                ErrorKind::NoServer,
                "no node carries the service at present",
            )
        });
        let pinned = !self.earlier.version.is_empty() && !self.pieces.is_empty();
        let kind = match last.kind {
            ErrorKind::Bounced | ErrorKind::NoServer if pinned => ErrorKind::VersionGone,
            ErrorKind::Bounced => ErrorKind::Overloaded,
            kind => kind,
        };
        let retry_after_ms = last.retry_after_ms.max(EXHAUSTED_RETRY_AFTER_MS);
        Failure::not_run(kind, last.message).retry_after(retry_after_ms)
    }

    /// Replays the recorded answer from the caller's offset.
    fn replay(&mut self, outcome: OnceOutcome) -> Finish {
        self.worker.shared.metrics.replayed.inc();
        let total_tokens = u32::try_from(outcome.pieces.len()).unwrap_or(u32::MAX);
        self.handle_chunk(Chunk {
            offset: 0,
            pieces: outcome.pieces,
        });
        Finish {
            total_tokens,
            prompt_tokens: outcome.prompt_tokens,
            cached_tokens: 0,
            reason: outcome.reason,
            version: outcome.version,
            server: String::new(),
            replayed: true,
        }
    }

    fn finish(self, finish: Finish) {
        self.worker.shared.metrics.finished.inc();
        if let Some(reservation) = &self.reservation {
            let outcome = OnceOutcome {
                pieces: self.pieces,
                reason: finish.reason.clone(),
                version: finish.version.clone(),
                prompt_tokens: finish.prompt_tokens,
                kind: 0,
                ran: Ran::Yes as i32,
            };
            reservation.settle(&self.worker, outcome);
        }
        self.caller.send(frame::Body::Finish(finish));
    }

    fn refuse(self, failure: Failure) {
        let failure = failure.after(self.ran);
        if let Some(reservation) = &self.reservation {
            reservation.settle(&self.worker, settle::failed_outcome(&failure));
        }
        let failure = failure.after(self.incoming.ran_before);
        let metrics = &self.worker.shared.metrics;
        metrics.count_refusal(&failure);
        if failure.ran == Ran::No {
            let elapsed = self.incoming.received.elapsed().as_secs_f64();
            metrics.refusal_time.observe(elapsed);
        }
        settle::record_refusal(&self.worker, &self.incoming, &failure);
        let (request, attempt) = (&self.incoming.id, self.incoming.attempt);
        tracing::debug!(%request, attempt, %failure, "refused");
        self.caller.send(frame::Body::Refused(failure.to_refused()));
    }
}

/// Refusal of a cell that could not place the request. The sender tries another target.
fn bounced(last: Option<Failure>) -> Failure {
    last.unwrap_or_else(|| {
        Failure::not_run(ErrorKind::Bounced, "no owner of this cell can take it")
    })
}

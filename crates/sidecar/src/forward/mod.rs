//! Forwards a request to a node, and again to others as long as that is safe, and reassembles the
//! answer.
//!
//! [`rule`] decides what follows a failed attempt; [`attempt`] is one stream to one node. Execution
//! truth is joined over all attempts and never goes back. Dropping a [`Forward`] whose answer is not
//! complete cancels the request at its node, unless the request must not repeat: its one run goes
//! on, and its outcome is recorded for the caller that asks again with the same key.

pub mod attempt;
pub mod rule;

use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::reassembly::{Assembly, AssemblyBounds, AssemblyError};
use dappleyard_decide::retry::pause_ms;
use dappleyard_wire::error::join_ran;
use dappleyard_wire::messages::{Accepted, Chunk, Finish, Submit, frame};
use dappleyard_wire::messages::{GenerateRequest, Stage};
use dappleyard_wire::{ErrorKind, Failure, Ran, Repeat};
use rand::Rng;
use tokio::time::Instant;

use self::attempt::Attempt;
use self::rule::{Next, Situation, next};
use crate::stamp::Stamped;
use crate::worker::Worker;

/// Longest wait for pieces that are missing after the end was announced.
const STRAGGLER_WAIT: Duration = Duration::from_millis(200);
/// Longest wait for a link when an answer must be resumed and none is up.
const LINK_WAIT: Duration = Duration::from_millis(1_000);
/// Advice when to come back where a failure carries none, milliseconds.
const RETRY_AFTER_MS: u32 = 500;

/// One request on its way, over all its attempts.
pub struct Forward {
    worker: Rc<Worker>,
    request: GenerateRequest,
    deadline: Instant,
    assembly: Assembly,
    ran: Ran,
    attempts: u32,
    reason: &'static str,
    current: Option<Attempt>,
    accepted: Option<Accepted>,
    finish: Option<Finish>,
    straggler_deadline: Option<Instant>,
    avoid: Vec<String>,
    ended: bool,
}

impl Forward {
    /// A request that has not been sent yet.
    pub fn new(worker: Rc<Worker>, stamped: &Stamped) -> Forward {
        let bounds = AssemblyBounds {
            pieces: stamped.request.max_tokens,
            behind_gap: worker.settings().maximum_gap_pieces,
        };
        Forward {
            worker,
            request: stamped.request.clone(),
            deadline: stamped.deadline,
            assembly: Assembly::new(bounds),
            ran: Ran::No,
            attempts: 0,
            reason: "first",
            current: None,
            accepted: None,
            finish: None,
            straggler_deadline: None,
            avoid: Vec::new(),
            ended: false,
        }
    }

    /// Runs until the answer is complete.
    pub async fn complete(&mut self) -> Result<Finish, Failure> {
        loop {
            if let Some(finish) = self.completed() {
                return Ok(finish);
            }
            self.step().await?;
        }
    }

    /// Runs until there is text that was not released before; `None` when the answer is complete.
    pub async fn next_text(&mut self) -> Result<Option<String>, Failure> {
        loop {
            let text = self.assembly.release();
            if !text.is_empty() {
                return Ok(Some(text));
            }
            if self.completed().is_some() {
                return Ok(None);
            }
            self.step().await?;
        }
    }

    /// The end of the answer, once it is complete.
    pub fn completed(&self) -> Option<Finish> {
        self.finish.clone().filter(|_| self.assembly.is_complete())
    }

    /// Model version that answers; empty before it is known.
    pub fn version(&self) -> &str {
        self.assembly.version().unwrap_or_default()
    }

    /// All text before the first gap.
    pub fn text(&self) -> String {
        self.assembly.pieces().concat()
    }

    /// Takes one frame, or begins the next attempt. An error is final.
    async fn step(&mut self) -> Result<(), Failure> {
        if self.current.is_none() {
            return self.begin_attempt().await;
        }
        let until = self.straggler_deadline.unwrap_or(self.deadline);
        let Some(attempt) = self.current.as_mut() else {
            return Ok(());
        };
        match tokio::time::timeout_at(until, attempt.receive()).await {
            Ok(Ok(body)) => self.take(body).await,
            Ok(Err(_)) => {
                self.ran = join_ran(self.ran, Ran::Maybe);
                let message = "the node was lost while it had the request";
                self.after(Failure::maybe_ran(ErrorKind::NodeLost, message))
                    .await
            }
            Err(_) if self.straggler_deadline.is_some() => self.resume_incomplete().await,
            Err(_) => Err(self.deadline_passed()),
        }
    }

    async fn begin_attempt(&mut self) -> Result<(), Failure> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(self.deadline_passed());
        }
        let links = &self.worker.links;
        let key = self.request.prefix_hash;
        let mut link = links.choose(key, &self.request.service, &self.avoid);
        if link.is_none() && self.attempts > 0 {
            links
                .wait_ready(self.deadline.min(Instant::now() + LINK_WAIT))
                .await;
            link = links.choose(key, &self.request.service, &self.avoid);
        }
        let Some(link) = link else {
            let message = "no node is reachable from this sidecar; come back later";
            return Err(self.give_up(Failure::not_run(ErrorKind::NotReady, message)));
        };
        self.attempts += 1;
        if self.attempts == 1 {
            self.worker.shared.retries.lock().first_attempt();
        }
        self.count_attempt();
        self.assembly.begin_attempt();
        self.finish = None;
        self.straggler_deadline = None;
        let body = frame::Body::Submit(self.submit());
        let cancels = self.request.repeat() == Repeat::Allowed;
        match Attempt::open(&link, body, cancels) {
            Ok(attempt) => self.current = Some(attempt),
            Err(_) => self.avoid.push(link.peer().id.clone()),
        }
        Ok(())
    }

    fn submit(&self) -> Submit {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let accepted = self.accepted.clone().unwrap_or_default();
        let pieces = self.assembly.pieces();
        let version = self.assembly.version().unwrap_or_default();
        Submit {
            request: Some(self.request.clone()),
            attempt: self.attempts,
            stage: Stage::Ingress as i32,
            budget_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
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

    async fn take(&mut self, body: frame::Body) -> Result<(), Failure> {
        match body {
            frame::Body::Accepted(accepted) => self.take_accepted(accepted).await,
            frame::Body::Chunk(chunk) => self.take_chunk(chunk).await,
            frame::Body::Finish(finish) => self.take_finish(finish).await,
            frame::Body::Refused(refused) => {
                if let Some(attempt) = self.current.as_mut() {
                    attempt.end();
                }
                self.after(Failure::from_refused(&refused)).await
            }
            _ => {
                self.count_bad_frame("unexpected");
                Ok(())
            }
        }
    }

    async fn take_accepted(&mut self, accepted: Accepted) -> Result<(), Failure> {
        self.ran = join_ran(self.ran, Ran::Maybe);
        match self.assembly.accepted(&accepted.version) {
            Ok(()) => {
                self.accepted = Some(accepted);
                Ok(())
            }
            Err(error) => self.does_not_fit(&error).await,
        }
    }

    async fn take_chunk(&mut self, chunk: Chunk) -> Result<(), Failure> {
        if !chunk.pieces.is_empty() {
            self.ran = join_ran(self.ran, Ran::Yes);
        }
        let count = chunk.pieces.len() as u64;
        match self.assembly.take(chunk.offset, chunk.pieces) {
            Ok(()) => {
                self.worker.metrics().pieces.inc_by(count);
                self.end_if_complete();
                Ok(())
            }
            Err(error) => self.does_not_fit(&error).await,
        }
    }

    async fn take_finish(&mut self, finish: Finish) -> Result<(), Failure> {
        self.ran = join_ran(self.ran, Ran::Yes);
        if finish.reason == "cancelled" {
            if let Some(attempt) = self.current.as_mut() {
                attempt.end();
            }
            let message = "the engine cancelled the request";
            let failure = Failure::maybe_ran(ErrorKind::EngineLost, message);
            return self.after(failure).await;
        }
        let fits = match self.assembly.accepted(&finish.version) {
            Ok(()) => self.assembly.finish(finish.total_tokens),
            Err(error) => Err(error),
        };
        if let Err(error) = fits {
            return self.does_not_fit(&error).await;
        }
        self.finish = Some(finish);
        self.straggler_deadline = Some(self.deadline.min(Instant::now() + STRAGGLER_WAIT));
        self.end_if_complete();
        Ok(())
    }

    fn end_if_complete(&mut self) {
        if self.assembly.is_complete() && self.finish.is_some() {
            self.ended = true;
            if let Some(attempt) = self.current.as_mut() {
                attempt.end();
            }
        }
    }

    /// The attempt's frames do not fit into the answer: another version, or a fault of the sender.
    async fn does_not_fit(&mut self, error: &AssemblyError) -> Result<(), Failure> {
        let (kind, cause) = match error {
            AssemblyError::VersionChanged { .. } => (ErrorKind::VersionGone, "version"),
            AssemblyError::Conflict { .. } => (ErrorKind::EngineLost, "conflict"),
            AssemblyError::Bound { .. } => (ErrorKind::EngineLost, "bound"),
            AssemblyError::BehindEnd { .. } => (ErrorKind::EngineLost, "behind_end"),
        };
        self.count_bad_frame(cause);
        self.after(Failure::maybe_ran(kind, error.to_string()))
            .await
    }

    async fn resume_incomplete(&mut self) -> Result<(), Failure> {
        self.count_bad_frame("incomplete");
        let message = "the node announced the end before all of the answer was there";
        self.after(Failure::maybe_ran(ErrorKind::NodeLost, message))
            .await
    }

    /// An attempt failed: prepares the next one, or returns the final failure at once.
    async fn after(&mut self, failure: Failure) -> Result<(), Failure> {
        self.ran = join_ran(self.ran, failure.ran);
        let attempt = self.current.take();
        self.avoid
            .extend(attempt.map(|attempt| attempt.node().to_owned()));
        self.worker
            .metrics()
            .failed_attempts
            .with_label_values(&[failure.kind.answer().code])
            .inc();
        let step = next(&Situation {
            kind: failure.kind,
            ran: self.ran,
            repeat: self.request.repeat(),
            attempts: self.attempts,
            maximum_attempts: self.worker.settings().maximum_attempts,
            accepted: self.accepted.is_some(),
            released: self.assembly.released() > 0,
        });
        match step {
            Next::GiveUp => return Err(self.give_up(failure)),
            Next::Retry | Next::Restart | Next::Poll => {
                if !self.worker.shared.retries.lock().take() {
                    self.worker.metrics().budget_denied.inc();
                    return Err(self.give_up(failure));
                }
            }
            Next::Resume => {}
        }
        if step == Next::Restart && !self.assembly.restart() {
            return Err(self.give_up(failure));
        }
        if step == Next::Restart {
            self.accepted = None;
        }
        self.reason = step.reason();
        self.pause(step, failure).await
    }

    /// Pauses before a retry, with jitter; the first move to another node does not wait.
    async fn pause(&mut self, step: Next, failure: Failure) -> Result<(), Failure> {
        let retry = self.attempts - u32::from(step != Next::Poll);
        if retry == 0 {
            return Ok(());
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        match pause_ms(retry, rand::rng().random(), left_ms) {
            Some(pause) => {
                tokio::time::sleep(Duration::from_millis(pause)).await;
                Ok(())
            }
            None => Err(self.give_up(failure)),
        }
    }

    fn deadline_passed(&mut self) -> Failure {
        let message = "the deadline passed before the whole answer was there";
        self.give_up(Failure::not_run(ErrorKind::DeadlineExceeded, message))
    }

    /// The final failure: execution truth of all attempts, and when to come back.
    fn give_up(&mut self, failure: Failure) -> Failure {
        self.ended = true;
        drop(self.current.take());
        let mut last = failure.after(self.ran);
        let lost = matches!(last.kind, ErrorKind::NodeLost | ErrorKind::EngineLost);
        if lost && self.request.repeat() == Repeat::Never && last.ran != Ran::No {
            last.kind = ErrorKind::OutcomeUnknown;
            "the outcome is not known here; ask again with the same Idempotency-Key"
                .clone_into(&mut last.message);
        }
        if last.retry_after_ms == 0 && rule::may_come_back(last.kind) {
            last.retry_after_ms = RETRY_AFTER_MS;
        }
        last
    }

    fn count_attempt(&self) {
        self.worker
            .metrics()
            .attempts
            .with_label_values(&[self.reason])
            .inc();
    }

    fn count_bad_frame(&self, cause: &str) {
        self.worker
            .metrics()
            .bad_frames
            .with_label_values(&[cause])
            .inc();
    }
}

impl Drop for Forward {
    fn drop(&mut self) {
        if !self.ended && self.attempts > 0 {
            self.worker.metrics().callers_gone.inc();
        }
    }
}

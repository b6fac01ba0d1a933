//! Forwards a request to a node, retries it on other nodes when that is safe, and reassembles the
//! response.
//!
//! [`retry_policy`] decides what follows a failed attempt; [`attempt`] is one stream to one node;
//! `receive` handles the frames of attempts; `retry` begins attempts and ends the request. Whether
//! the request ran is joined over all attempts and never weakens. Dropping an incomplete
//! [`ForwardedRequest`] cancels the request at its node, unless its repeat policy is `never`: then
//! it continues, and its outcome is recorded for a client that retries with the same key.

pub mod attempt;
mod receive;
mod retry;
pub mod retry_policy;

use std::rc::Rc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_decide::reassembly::{Assembly, AssemblyBounds};
use dappleyard_wire::messages::{Accepted, Finish, GenerateRequest};
use dappleyard_wire::{Failure, Ran, Repeat};

use self::attempt::{Attempt, receive_any};
use crate::prepare::PreparedRequest;
use crate::worker::Worker;

/// State of one request over all its attempts.
pub struct ForwardedRequest {
    worker: Rc<Worker>,
    request: GenerateRequest,
    deadline: Instant,
    assembly: Assembly,
    ran: Ran,
    attempts: u32,
    /// Open attempts: at most one, or two while a hedge is undecided.
    open: Vec<Attempt>,
    /// When to open a hedge if no piece has arrived.
    hedge_at: Option<Instant>,
    /// Acceptance of the attempt that supplies the response.
    accepted: Option<Accepted>,
    finish: Option<Finish>,
    /// Last failure that reported an earlier run of the same key in progress.
    in_progress: Option<Failure>,
    /// When pieces still missing after the finish frame count as lost.
    missing_pieces_deadline: Option<Instant>,
    /// Nodes on which an attempt failed.
    avoid: Vec<String>,
    ended: bool,
}

impl ForwardedRequest {
    pub fn new(worker: Rc<Worker>, prepared: &PreparedRequest) -> ForwardedRequest {
        let bounds = AssemblyBounds {
            pieces: prepared.request.max_tokens,
            after_gap: worker.settings().maximum_gap_pieces,
        };
        ForwardedRequest {
            request: prepared.request.clone(),
            deadline: prepared.deadline,
            assembly: Assembly::new(bounds),
            ran: Ran::No,
            attempts: 0,
            open: Vec::new(),
            hedge_at: None,
            accepted: None,
            finish: None,
            in_progress: None,
            missing_pieces_deadline: None,
            avoid: Vec::new(),
            ended: false,
            worker,
        }
    }

    /// Runs until the response is complete. Errors are final.
    pub async fn complete(&mut self) -> Result<Finish, Failure> {
        loop {
            if let Some(finish) = self.completed() {
                return Ok(finish);
            }
            self.step().await?;
        }
    }

    /// Runs until there is new text; `None` when the response is complete. Errors are final.
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

    /// The finish frame, once the response is complete.
    pub fn completed(&self) -> Option<Finish> {
        self.finish.clone().filter(|_| self.assembly.is_complete())
    }

    /// Model version; empty before it is known.
    pub fn version(&self) -> &str {
        self.assembly.version().unwrap_or_default()
    }

    /// Text before the first gap.
    pub fn text(&self) -> String {
        self.assembly.pieces().concat()
    }

    /// Handles one frame or timeout, or begins the first attempt.
    async fn step(&mut self) -> Result<(), Failure> {
        if self.open.is_empty() {
            return self.begin_attempt("first").await;
        }
        let timer = [self.missing_pieces_deadline, self.hedge_at]
            .into_iter()
            .flatten()
            .fold(self.deadline, Instant::min);
        match dappleyard_clock::timeout_at(timer, receive_any(&mut self.open)).await {
            Ok((index, Ok(body))) => self.handle_frame(index, body).await,
            Ok((index, Err(_))) => self.handle_link_loss(index).await,
            Err(_) => self.handle_timeout().await,
        }
    }

    async fn handle_timeout(&mut self) -> Result<(), Failure> {
        let now = Instant::now();
        if now >= self.deadline {
            return Err(self.deadline_passed());
        }
        if self.missing_pieces_deadline.is_some_and(|at| now >= at) {
            return self.handle_incomplete().await;
        }
        self.hedge()
    }

    /// Whether the request is cancelled at its node when the client disconnects.
    fn cancel_on_drop(&self) -> bool {
        self.request.repeat() == Repeat::Allowed
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl Drop for ForwardedRequest {
    fn drop(&mut self) {
        if !self.ended && self.attempts > 0 {
            self.worker.metrics().client_disconnects.inc();
        }
    }
}

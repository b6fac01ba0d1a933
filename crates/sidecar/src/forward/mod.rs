//! Forwards a request to a node, and again to others as long as that is safe, and reassembles the
//! answer.
//!
//! [`retry_policy`] decides what follows a failed attempt; [`attempt`] is one stream to one node; `receive`
//! takes the frames of attempts, and `retry` begins attempts and ends the request. Execution truth is
//! joined over all attempts and never goes back. Dropping a [`Forward`] whose answer is not complete
//! cancels the request at its node, unless the request must not repeat: its one run goes on, and its
//! outcome is recorded for the caller that asks again with the same key.

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

/// One request on its way, over all its attempts.
pub struct Forward {
    worker: Rc<Worker>,
    request: GenerateRequest,
    deadline: Instant,
    assembly: Assembly,
    ran: Ran,
    attempts: u32,
    /// Open attempts: none, one, or two while a hedge has not decided yet.
    open: Vec<Attempt>,
    /// When a second attempt joins the first, if no piece has come by then.
    hedge_at: Option<Instant>,
    /// What the attempt that the answer rests on was accepted as.
    accepted: Option<Accepted>,
    finish: Option<Finish>,
    /// What the record last said, when an earlier run of the same key was in progress.
    in_progress: Option<Failure>,
    /// When pieces that are still missing after the end was announced count as lost.
    missing_pieces_deadline: Option<Instant>,
    /// Nodes that failed this request.
    avoid: Vec<String>,
    ended: bool,
}

impl Forward {
    /// A request that has not been sent yet.
    pub fn new(worker: Rc<Worker>, prepared: &PreparedRequest) -> Forward {
        let bounds = AssemblyBounds {
            pieces: prepared.request.max_tokens,
            after_gap: worker.settings().maximum_gap_pieces,
        };
        Forward {
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

    /// Runs until the answer is complete. An error is final.
    pub async fn complete(&mut self) -> Result<Finish, Failure> {
        loop {
            if let Some(finish) = self.completed() {
                return Ok(finish);
            }
            self.step().await?;
        }
    }

    /// Runs until there is text that was not released before; `None` when the answer is complete. An
    /// error is final.
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

    /// Takes one frame, or begins the next attempt.
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

    /// Whether the node is told to stop when nobody waits for the answer any more.
    fn cancels(&self) -> bool {
        self.request.repeat() == Repeat::Allowed
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl Drop for Forward {
    fn drop(&mut self) {
        if !self.ended && self.attempts > 0 {
            self.worker.metrics().client_disconnects.inc();
        }
    }
}

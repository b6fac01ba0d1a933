//! Handles the frames of open attempts.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_decide::reassembly::AssemblyError;
use dappleyard_wire::error::join_ran;
use dappleyard_wire::messages::{Accepted, Chunk, Finish, frame};
use dappleyard_wire::{ErrorKind, Failure, Ran};

use super::ForwardedRequest;

/// Maximum wait for pieces that are missing after the finish frame.
const MISSING_PIECES_TIMEOUT: Duration = Duration::from_millis(200);
/// Finish reason of a generation that was cancelled.
const CANCELLED: &str = "cancelled";

impl ForwardedRequest {
    /// Handles a frame of the open attempt `index`.
    pub(super) async fn handle_frame(
        &mut self,
        index: usize,
        body: frame::Body,
    ) -> Result<(), Failure> {
        match body {
            frame::Body::Accepted(accepted) => self.handle_accepted(index, accepted).await,
            frame::Body::Chunk(chunk) => {
                if self.select_attempt(index).await? {
                    self.handle_chunk(chunk).await?;
                }
                Ok(())
            }
            frame::Body::Finish(finish) => {
                if self.select_attempt(index).await? {
                    self.handle_finish(finish).await?;
                }
                Ok(())
            }
            frame::Body::Refused(refused) => {
                self.open[index].end();
                self.fail(index, Failure::from_refused(&refused)).await
            }
            _ => {
                self.count_bad_frame("unexpected");
                Ok(())
            }
        }
    }

    /// Fails an attempt whose link was lost; whether it ran is unknown.
    pub(super) async fn handle_link_loss(&mut self, index: usize) -> Result<(), Failure> {
        let message = "the node was lost while it had the request";
        let failure = Failure::maybe_ran(ErrorKind::NodeLost, message);
        self.fail(index, failure).await
    }

    /// Fails an attempt whose pieces are incomplete after the finish frame.
    pub(super) async fn handle_incomplete(&mut self) -> Result<(), Failure> {
        self.count_bad_frame("incomplete");
        let message = "the node announced the end before all of the answer was there";
        let failure = Failure::maybe_ran(ErrorKind::NodeLost, message);
        self.fail(0, failure).await
    }

    async fn handle_accepted(&mut self, index: usize, accepted: Accepted) -> Result<(), Failure> {
        self.ran = join_ran(self.ran, Ran::Maybe);
        self.open[index].accepted = Some(accepted);
        if self.open.len() == 1 {
            self.adopt_accepted().await?;
        }
        Ok(())
    }

    /// Called on a chunk or finish frame: keeps this attempt and cancels the other open one. Returns
    /// `false` if the attempt cannot continue the response; its frame must then be ignored.
    async fn select_attempt(&mut self, index: usize) -> Result<bool, Failure> {
        self.hedge_at = None;
        self.ran = join_ran(self.ran, Ran::Yes);
        if self.open.len() == 1 {
            return Ok(true);
        }
        let winner = self.open.swap_remove(index);
        self.open = vec![winner];
        let attempts = self.attempts;
        self.adopt_accepted().await?;
        Ok(self.attempts == attempts)
    }

    /// Adopts the version and the engine stream of the only open attempt.
    pub(super) async fn adopt_accepted(&mut self) -> Result<(), Failure> {
        let accepted = self.open.first().and_then(|open| open.accepted.clone());
        let Some(accepted) = accepted else {
            return Ok(());
        };
        if let Err(error) = self.assembly.set_version(&accepted.version) {
            return self.reject_frame(&error).await;
        }
        self.accepted = Some(accepted);
        Ok(())
    }

    async fn handle_chunk(&mut self, chunk: Chunk) -> Result<(), Failure> {
        let count = chunk.pieces.len() as u64;
        if let Err(error) = self.assembly.take(chunk.offset, chunk.pieces) {
            return self.reject_frame(&error).await;
        }
        self.worker.metrics().pieces.inc_by(count);
        self.end_if_complete();
        Ok(())
    }

    async fn handle_finish(&mut self, finish: Finish) -> Result<(), Failure> {
        let Some(attempt) = self.open.first_mut() else {
            return Ok(());
        };
        if finish.reason == CANCELLED {
            attempt.end();
            let message = "the engine cancelled the request";
            let failure = Failure::maybe_ran(ErrorKind::EngineLost, message);
            return self.fail(0, failure).await;
        }
        let is_consistent = self
            .assembly
            .set_version(&finish.version)
            .and_then(|()| self.assembly.finish(finish.total_tokens));
        if let Err(error) = is_consistent {
            return self.reject_frame(&error).await;
        }
        self.finish = Some(finish);
        self.missing_pieces_deadline =
            Some(self.deadline.min(Instant::now() + MISSING_PIECES_TIMEOUT));
        self.end_if_complete();
        Ok(())
    }

    fn end_if_complete(&mut self) {
        if self.completed().is_some() {
            self.ended = true;
            self.open.iter_mut().for_each(|attempt| attempt.end());
        }
    }

    /// Fails the attempt after a frame that is inconsistent with the response so far.
    async fn reject_frame(&mut self, error: &AssemblyError) -> Result<(), Failure> {
        let (kind, cause) = match error {
            AssemblyError::VersionChanged { .. } => (ErrorKind::VersionGone, "version"),
            AssemblyError::Conflict { .. } => (ErrorKind::EngineLost, "conflict"),
            AssemblyError::Bound { .. } => (ErrorKind::EngineLost, "bound"),
            AssemblyError::PastEnd { .. } => (ErrorKind::EngineLost, "behind_end"),
        };
        self.count_bad_frame(cause);
        self.fail(0, Failure::maybe_ran(kind, error.to_string()))
            .await
    }

    fn count_bad_frame(&self, cause: &str) {
        self.worker
            .metrics()
            .bad_frames
            .with_label_values(&[cause])
            .inc();
    }
}

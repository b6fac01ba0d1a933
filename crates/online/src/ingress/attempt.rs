//! One attempt at one target: sends the request and relays its frames.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_wire::error::join_ran;
use dappleyard_wire::messages::{Cancel, Chunk, Finish, Refused, frame};
use dappleyard_wire::{Failure, Ran};

use super::IngressRun;
use crate::caller::Disconnect;
use crate::owner_link::OwnerLink;
use crate::place::Target;
use crate::receive::EarlierRun;

/// Result of an attempt at one target.
pub(super) enum TargetOutcome {
    Finished(Finish),
    Refused(Failure),
    /// The request was not sent.
    NotSent(String),
    /// The target was lost after the request was sent.
    Lost,
    CallerDisconnected,
    Deadline,
}

impl IngressRun {
    pub(super) async fn try_target(&mut self, target: &Target) -> TargetOutcome {
        let submit = self.submission(target);
        let opened = OwnerLink::open(&self.worker, target, submit);
        let mut link = match dappleyard_clock::timeout_at(self.incoming.deadline, opened).await {
            Ok(Ok(link)) => link,
            Ok(Err(not_sent)) => return TargetOutcome::NotSent(not_sent.0),
            Err(_) => return TargetOutcome::Deadline,
        };
        loop {
            let until = self.wait_deadline();
            tokio::select! {
                biased;
                disconnected = self.caller.disconnected() => {
                    if !self.continues_without_caller(disconnected) {
                        self.cancel_at_owner(&link, "the caller went away");
                        return TargetOutcome::CallerDisconnected;
                    }
                }
                () = dappleyard_clock::sleep_until(until) => {
                    self.cancel_at_owner(&link, "nobody waits any more");
                    let passed = self.deadline_passed();
                    return if passed { TargetOutcome::Deadline } else { TargetOutcome::CallerDisconnected };
                }
                frame = link.receive() => match frame {
                    Ok(body) => if let Some(outcome) = self.handle_frame(body) {
                        return outcome;
                    },
                    Err(_) => return self.lost(),
                },
            }
        }
    }

    /// Cancels at the owner, which may already have dispatched the request.
    fn cancel_at_owner(&mut self, link: &OwnerLink, reason: &str) {
        link.send(cancel(reason));
        self.ran = join_ran(self.ran, Ran::Maybe);
    }

    fn lost(&mut self) -> TargetOutcome {
        self.worker.refresh_view();
        TargetOutcome::Lost
    }

    /// Handles a frame of the owner; `Some` if the attempt has ended.
    fn handle_frame(&mut self, body: frame::Body) -> Option<TargetOutcome> {
        match body {
            frame::Body::Accepted(accepted) => {
                self.ran = join_ran(self.ran, Ran::Maybe);
                self.earlier = EarlierRun {
                    version: accepted.version.clone(),
                    engine_stream: accepted.engine_stream.clone(),
                    server: accepted.server.clone(),
                };
                self.caller.send(frame::Body::Accepted(accepted));
                None
            }
            frame::Body::Chunk(chunk) => self.handle_chunk(chunk),
            frame::Body::Finish(finish) => {
                let is_complete = finish.total_tokens as usize == self.pieces.len();
                Some(if is_complete {
                    TargetOutcome::Finished(finish)
                } else {
                    TargetOutcome::Lost
                })
            }
            frame::Body::Refused(refused) => Some(self.handle_refusal(refused)),
            _ => None,
        }
    }

    pub(super) fn handle_chunk(&mut self, chunk: Chunk) -> Option<TargetOutcome> {
        let offset = chunk.offset as usize;
        if offset > self.pieces.len() {
            return Some(TargetOutcome::Lost);
        }
        self.ran = join_ran(self.ran, Ran::Yes);
        let overlap = self.pieces.len() - offset;
        let new_pieces: Vec<String> = chunk.pieces.into_iter().skip(overlap).collect();
        if new_pieces.is_empty() {
            return None;
        }
        if !self.has_token {
            self.has_token = true;
            let elapsed = self.incoming.received.elapsed().as_secs_f64();
            self.worker.shared.metrics.first_token.observe(elapsed);
        }
        let offset = u32::try_from(self.pieces.len()).unwrap_or(u32::MAX);
        self.pieces.extend(new_pieces.iter().cloned());
        self.caller.send(frame::Body::Chunk(Chunk {
            offset,
            pieces: new_pieces,
        }));
        None
    }

    /// Handles a refusal. The owner no longer has a stream of this request; its current load is stored for
    /// the next placement.
    fn handle_refusal(&mut self, refused: Refused) -> TargetOutcome {
        let failure = Failure::from_refused(&refused);
        if let Some(load) = refused.load {
            let tables = &self.worker.tables;
            tables.loads.put_node(load, tables.clock.now());
            self.worker.refresh_view();
        }
        self.earlier.engine_stream.clear();
        TargetOutcome::Refused(failure)
    }

    /// Whether the request continues after its caller disconnected. An at-most-once request runs to its
    /// end, so that a retry gets the recorded answer. Other requests continue for the grace period after a
    /// lost link, in case the caller resumes through another node.
    fn continues_without_caller(&mut self, disconnected: Disconnect) -> bool {
        if self.incoming.is_at_most_once() {
            return true;
        }
        let grace = Duration::from_millis(self.worker.settings.detach_grace_ms);
        self.detached_until = Some(Instant::now() + grace);
        disconnected == Disconnect::LinkLost
    }

    fn wait_deadline(&self) -> Instant {
        let deadline = self.incoming.deadline;
        self.detached_until
            .map_or(deadline, |until| until.min(deadline))
    }
}

fn cancel(reason: &str) -> frame::Body {
    frame::Body::Cancel(Cancel {
        reason: reason.to_owned(),
    })
}

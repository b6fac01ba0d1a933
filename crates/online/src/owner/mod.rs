//! The owner stage: dispatches a request to one of this node's servers and retries after failures.

mod cancel;
mod crashes;

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_crashes::Permit;
use dappleyard_decide::retry::may_follow;
use dappleyard_engine::{EngineError, EventStream};
use dappleyard_tables::crashes::RunAtEngine;
use dappleyard_wire::error::join_ran;
use dappleyard_wire::ids::ServerId;
use dappleyard_wire::messages::{Chunk, Finish, frame};
use dappleyard_wire::{ErrorKind, Failure, Ran};
use futures::Future;

use crate::caller::{Caller, Gone};
use crate::dispatch::{self, Chosen, FlightGuard};
use crate::load;
use crate::receive::{ATTEMPTS_A_STAGE, EarlierRun, Incoming};
use crate::relay::{self, RelayEnd};
use crate::reports;
use crate::settle;
use crate::shared::ReaderSlot;
use crate::worker::OnlineWorker;

/// Maximum number of engine calls per submission.
const MAXIMUM_DISPATCHES: u32 = 4;

type Generating = Pin<Box<dyn Future<Output = Result<EventStream, EngineError>>>>;

/// One submission at the owner stage.
pub(crate) struct OwnerRun {
    pub worker: Rc<OnlineWorker>,
    pub caller: Caller,
    incoming: Incoming,
    /// Offset of the next token to relay.
    pub next: u32,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Whether this submission has received a token.
    pub has_token: bool,
    /// Where the request ran last.
    pub earlier: EarlierRun,
    reader: Option<ReaderSlot>,
    excluded: Vec<ServerId>,
    dispatches: u32,
    /// Whether the connection of the last call was lost.
    lost: bool,
    /// The active run at an engine.
    run: Option<RunAtEngine>,
    /// End of the grace period for a disconnected caller.
    detached_until: Option<Instant>,
}

/// Final result of a submission.
enum End {
    Finished(Finish),
    Refused(Failure),
}

/// Next step after a call to an engine.
enum Next {
    End(End),
    Again,
}

impl OwnerRun {
    pub fn new(worker: Rc<OnlineWorker>, incoming: Incoming, caller: Caller) -> OwnerRun {
        OwnerRun {
            worker,
            caller,
            next: u32::try_from(incoming.pieces.len()).unwrap_or(u32::MAX),
            ran: incoming.ran_before,
            has_token: false,
            earlier: incoming.earlier.clone(),
            incoming,
            reader: None,
            excluded: Vec::new(),
            dispatches: 0,
            lost: false,
            run: None,
            detached_until: None,
        }
    }

    /// Serves the submission and sends its final frame.
    pub async fn run(mut self) {
        let end = self.serve().await;
        match end {
            End::Finished(finish) => self.caller.send(frame::Body::Finish(finish)),
            End::Refused(failure) => {
                let mut refused = failure.after(self.ran).to_refused();
                refused.load = Some(load::summary(&self.worker.tables));
                self.caller.send(frame::Body::Refused(refused));
            }
        }
    }

    async fn serve(&mut self) -> End {
        loop {
            if self.deadline_passed() {
                return End::Refused(settle::deadline(self.ran));
            }
            let attaching = self.earlier.has_stream();
            match self.permit(attaching) {
                Permit::Free | Permit::LastRun => {}
                Permit::Wait => {
                    self.wait_for_other_runs().await;
                    continue;
                }
                Permit::Refused => return End::Refused(settle::servers_ended(self.ran)),
            }
            let chosen = match self.next_server(attaching).await {
                Ok(chosen) => chosen,
                Err(failure) => return End::Refused(failure),
            };
            if !self.begin_run(&chosen, attaching) {
                continue;
            }
            let next = self.call(&chosen, attaching).await;
            self.end_run(&chosen, &next).await;
            match next {
                Next::End(end) => return end,
                Next::Again => {}
            }
        }
    }

    /// The server of the running stream, otherwise the best server that accepts work.
    async fn next_server(&mut self, attaching: bool) -> Result<Chosen, Failure> {
        if attaching {
            if let Some(chosen) = self.holder() {
                return Ok(chosen);
            }
            self.earlier.engine_stream.clear();
        }
        if self.attach_only() {
            return Err(settle::outcome_unknown());
        }
        loop {
            let version = &self.earlier.version;
            let chosen = dispatch::choose(&self.worker, &self.incoming, version, &self.excluded)?;
            if dispatch::still_accepts(&self.worker, &chosen).await {
                return Ok(chosen);
            }
            self.excluded.push(chosen.server);
        }
    }

    /// Server of the earlier run. It need not be owned by this node, since any node may call any engine.
    fn holder(&self) -> Option<Chosen> {
        let server = ServerId::from(&self.earlier.server);
        let entry = self.worker.tables.directory.get(&server)?;
        Some(Chosen {
            server,
            base_url: entry.base_url,
            version: self.earlier.version.clone(),
        })
    }

    /// Whether the request may only attach: an at-most-once request that may have run is never restarted.
    fn attach_only(&self) -> bool {
        self.incoming.never_repeats() && self.ran != Ran::No
    }

    async fn call(&mut self, chosen: &Chosen, attach: bool) -> Next {
        self.dispatches += 1;
        self.lost = false;
        self.reader = None;
        let attempt = self
            .incoming
            .attempt
            .saturating_mul(ATTEMPTS_A_STAGE)
            .saturating_add(self.dispatches);
        let call = dispatch::engine_call(&self.incoming, attempt, self.next, &self.earlier, attach);
        let tables = &self.worker.tables;
        let flight = FlightGuard::begin(tables, &chosen.server, &self.incoming, attempt, self.next);
        let engine = self.worker.engine.clone();
        let base = chosen.base_url.clone();
        let generating: Generating = Box::pin(async move { engine.generate(&base, call).await });
        let mut events = match self.open(generating, chosen).await {
            Ok(events) => events,
            Err(next) => return next,
        };
        let end = relay::relay(self, &mut events, chosen, &flight).await;
        self.after_relay(end, events, chosen)
    }

    /// Waits for the engine to accept the call.
    async fn open(
        &mut self,
        mut generating: Generating,
        chosen: &Chosen,
    ) -> Result<EventStream, Next> {
        loop {
            let until = self.waits_until();
            tokio::select! {
                biased;
                gone = self.caller.gone() => match self.caller_gone(gone) {
                    Gone::Cancelled => {
                        self.cancel_later(generating, chosen, "caller");
                        return Err(Next::End(End::Refused(settle::cancelled(Ran::Maybe))));
                    }
                    Gone::LinkLost => {}
                },
                () = dappleyard_clock::sleep_until(until) => {
                    self.cancel_later(generating, chosen, "deadline");
                    return Err(Next::End(self.out_of_time(Ran::Maybe)));
                }
                result = &mut generating => {
                    return result.map_err(|error| self.engine_failed(error, chosen));
                }
            }
        }
    }

    fn after_relay(&mut self, end: RelayEnd, events: EventStream, chosen: &Chosen) -> Next {
        match end {
            RelayEnd::Finished {
                reason,
                cached_tokens,
            } => Next::End(End::Finished(Finish {
                total_tokens: self.next,
                prompt_tokens: self.incoming.request.prompt_tokens,
                cached_tokens,
                reason,
                version: self.earlier.version.clone(),
                server: chosen.server.to_string(),
                replayed: false,
            })),
            RelayEnd::Engine(error) => self.engine_failed(error, chosen),
            RelayEnd::CallerGone => {
                self.cancel(events, chosen, "caller");
                Next::End(End::Refused(settle::cancelled(self.ran)))
            }
            RelayEnd::Deadline => {
                self.cancel(events, chosen, "deadline");
                Next::End(self.out_of_time(self.ran))
            }
        }
    }

    fn out_of_time(&self, ran: Ran) -> End {
        if self.deadline_passed() {
            End::Refused(settle::deadline(ran))
        } else {
            End::Refused(settle::cancelled(ran))
        }
    }

    /// Handles an engine error and decides whether to retry. There is no retry once the caller has
    /// disconnected: the engine closes a connection when another node attaches to its stream, and
    /// attaching again would disconnect that node.
    fn engine_failed(&mut self, error: EngineError, chosen: &Chosen) -> Next {
        if self.is_superseded() || self.caller.is_gone() {
            return Next::End(End::Refused(self.superseded()));
        }
        let lost = matches!(error, EngineError::Lost { .. });
        self.lost = lost;
        if lost {
            self.ran = join_ran(self.ran, Ran::Maybe);
        }
        self.note_failure(&error, chosen);
        self.set_aside(lost, chosen);
        if !may_follow(self.ran, self.incoming.request.repeat()) && !self.earlier.has_stream() {
            return Next::End(End::Refused(settle::outcome_unknown()));
        }
        let again =
            self.dispatches < MAXIMUM_DISPATCHES && (!lost || self.worker.shared.take_retry());
        if again {
            return Next::Again;
        }
        let message = format!("server {}: {error}", chosen.server);
        let failure = Failure::not_run(ErrorKind::EngineLost, message);
        Next::End(End::Refused(failure.after(self.ran)))
    }

    /// Updates the server's state. A refusal to attach is ignored, since it depends only on the stream.
    fn note_failure(&self, error: &EngineError, chosen: &Chosen) {
        let tables = &self.worker.tables;
        match error {
            EngineError::Refused { status, .. } if !self.earlier.has_stream() => {
                reports::note_refusal(tables, &chosen.server, *status);
            }
            EngineError::Refused { .. } => {}
            _ => reports::note_failure(tables, &chosen.server, &error.to_string()),
        }
    }

    /// Excludes a failed server from this submission. After a lost connection to a stream the server is kept,
    /// so that the next call can attach to the stream, except before the last permitted call.
    fn set_aside(&mut self, lost: bool, chosen: &Chosen) {
        let holds_stream =
            self.earlier.has_stream() && self.earlier.server == chosen.server.as_str();
        if lost && holds_stream && self.dispatches < MAXIMUM_DISPATCHES - 1 {
            return;
        }
        if holds_stream {
            self.earlier.engine_stream.clear();
        }
        self.excluded.push(chosen.server.clone());
    }

    /// Handles a disconnected caller. After a lost link the run continues for the grace period, or until the
    /// deadline if the request is at-most-once.
    pub fn caller_gone(&mut self, gone: Gone) -> Gone {
        if gone == Gone::LinkLost {
            let grace = Duration::from_millis(self.worker.settings.detach_grace_ms);
            let until = Instant::now() + grace;
            let keeps_on = self.incoming.never_repeats();
            self.detached_until = (!keeps_on).then_some(until);
        }
        gone
    }

    /// The deadline or the end of the grace period, whichever is earlier.
    pub fn waits_until(&self) -> Instant {
        let deadline = self.incoming.deadline;
        self.detached_until
            .map_or(deadline, |until| until.min(deadline))
    }

    pub fn deadline_passed(&self) -> bool {
        Instant::now() >= self.incoming.deadline
    }

    /// Registers this run as the reader of an engine stream.
    pub fn reads(&mut self, server: &ServerId, stream: &str) {
        let shared = &self.worker.shared;
        self.reader = Some(shared.read_stream(server.as_str(), stream));
    }

    /// Sends tokens to the caller and advances the offset.
    pub fn send_chunk(&mut self, chunk: Chunk) {
        let count = u32::try_from(chunk.pieces.len()).unwrap_or(u32::MAX);
        self.next = self.next.saturating_add(count);
        self.caller.send(frame::Body::Chunk(chunk));
    }

    /// Failure of a run whose stream a later attempt may continue; the outcome is not known here.
    fn superseded(&self) -> Failure {
        if self.incoming.never_repeats() {
            settle::outcome_unknown()
        } else {
            settle::cancelled(self.ran)
        }
    }

    fn is_superseded(&self) -> bool {
        self.reader.as_ref().is_some_and(ReaderSlot::is_superseded)
    }
}

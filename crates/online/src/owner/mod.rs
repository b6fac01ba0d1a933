//! The owner stage: dispatches a request to one of this node's servers and retries after failures.

mod cancel;
mod crashes;

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_crashes::Permit;
use dappleyard_decide::retry::may_retry;
use dappleyard_engine::{EngineError, EventStream};
use dappleyard_tables::crashes::EngineRunGuard;
use dappleyard_wire::error::join_ran;
use dappleyard_wire::ids::ServerId;
use dappleyard_wire::messages::{Chunk, Finish, frame};
use dappleyard_wire::{ErrorKind, Failure, Ran};
use futures::Future;

use crate::caller::{Caller, Disconnect};
use crate::dispatch::{self, InFlightGuard, SelectedServer};
use crate::load;
use crate::receive::{ATTEMPTS_PER_STAGE, EarlierRun, Incoming};
use crate::relay::{self, RelayEnd};
use crate::reports;
use crate::settle;
use crate::shared::ReaderSlot;
use crate::worker::OnlineWorker;

/// Maximum number of engine calls per submission.
const MAXIMUM_DISPATCHES: u32 = 4;

type PendingStream = Pin<Box<dyn Future<Output = Result<EventStream, EngineError>>>>;

/// One submission at the owner stage.
pub(crate) struct OwnerRun {
    pub worker: Rc<OnlineWorker>,
    pub caller: Caller,
    incoming: Incoming,
    /// Offset of the next token to relay.
    pub next_offset: u32,
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
    connection_lost: bool,
    /// The active run at an engine.
    run: Option<EngineRunGuard>,
    /// End of the grace period for a disconnected caller.
    detached_until: Option<Instant>,
}

/// Final result of a submission.
enum End {
    Finished(Finish),
    Refused(Failure),
}

/// Next step after a call to an engine.
enum NextStep {
    End(End),
    Retry,
}

impl OwnerRun {
    pub fn new(worker: Rc<OnlineWorker>, incoming: Incoming, caller: Caller) -> OwnerRun {
        OwnerRun {
            worker,
            caller,
            next_offset: u32::try_from(incoming.pieces.len()).unwrap_or(u32::MAX),
            ran: incoming.ran_before,
            has_token: false,
            earlier: incoming.earlier.clone(),
            incoming,
            reader: None,
            excluded: Vec::new(),
            dispatches: 0,
            connection_lost: false,
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
                refused.load = Some(load::node_load(&self.worker.tables));
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
            let selected = match self.next_server(attaching).await {
                Ok(selected) => selected,
                Err(failure) => return End::Refused(failure),
            };
            if !self.begin_run(&selected, attaching) {
                continue;
            }
            let next = self.call(&selected, attaching).await;
            self.end_run(&selected, &next).await;
            match next {
                NextStep::End(end) => return end,
                NextStep::Retry => {}
            }
        }
    }

    /// The server of the running stream, otherwise the best server that accepts work.
    async fn next_server(&mut self, attaching: bool) -> Result<SelectedServer, Failure> {
        if attaching {
            if let Some(selected) = self.stream_server() {
                return Ok(selected);
            }
            self.earlier.engine_stream.clear();
        }
        if self.attach_only() {
            return Err(settle::outcome_unknown());
        }
        loop {
            let version = &self.earlier.version;
            let selected =
                dispatch::select_server(&self.worker, &self.incoming, version, &self.excluded)?;
            if dispatch::still_accepts(&self.worker, &selected).await {
                return Ok(selected);
            }
            self.excluded.push(selected.server);
        }
    }

    /// Server of the earlier run. It need not be owned by this node, since any node may call any engine.
    fn stream_server(&self) -> Option<SelectedServer> {
        let server = ServerId::from(&self.earlier.server);
        let entry = self.worker.tables.directory.get(&server)?;
        Some(SelectedServer {
            server,
            base_url: entry.base_url,
            version: self.earlier.version.clone(),
        })
    }

    /// Whether the request may only attach: an at-most-once request that may have run is never restarted.
    fn attach_only(&self) -> bool {
        self.incoming.is_at_most_once() && self.ran != Ran::No
    }

    async fn call(&mut self, selected: &SelectedServer, attach: bool) -> NextStep {
        self.dispatches += 1;
        self.connection_lost = false;
        self.reader = None;
        let attempt = self
            .incoming
            .attempt
            .saturating_mul(ATTEMPTS_PER_STAGE)
            .saturating_add(self.dispatches);
        let call = dispatch::engine_call(
            &self.incoming,
            attempt,
            self.next_offset,
            &self.earlier,
            attach,
        );
        let tables = &self.worker.tables;
        let flight = InFlightGuard::begin(
            tables,
            &selected.server,
            &self.incoming,
            attempt,
            self.next_offset,
        );
        let engine = self.worker.engine.clone();
        let base = selected.base_url.clone();
        let pending: PendingStream = Box::pin(async move { engine.generate(&base, call).await });
        let mut events = match self.open(pending, selected).await {
            Ok(events) => events,
            Err(next) => return next,
        };
        let end = relay::relay(self, &mut events, selected, &flight).await;
        self.after_relay(end, events, selected)
    }

    /// Waits for the engine to accept the call.
    async fn open(
        &mut self,
        mut pending: PendingStream,
        selected: &SelectedServer,
    ) -> Result<EventStream, NextStep> {
        loop {
            let until = self.wait_deadline();
            tokio::select! {
                biased;
                disconnected = self.caller.disconnected() => match self.on_disconnect(disconnected) {
                    Disconnect::Cancelled => {
                        self.cancel_when_opened(pending, selected, "caller");
                        return Err(NextStep::End(End::Refused(settle::cancelled(Ran::Maybe))));
                    }
                    Disconnect::LinkLost => {}
                },
                () = dappleyard_clock::sleep_until(until) => {
                    self.cancel_when_opened(pending, selected, "deadline");
                    return Err(NextStep::End(self.timed_out(Ran::Maybe)));
                }
                result = &mut pending => {
                    return result.map_err(|error| self.handle_engine_error(error, selected));
                }
            }
        }
    }

    fn after_relay(
        &mut self,
        end: RelayEnd,
        events: EventStream,
        selected: &SelectedServer,
    ) -> NextStep {
        match end {
            RelayEnd::Finished {
                reason,
                cached_tokens,
            } => NextStep::End(End::Finished(Finish {
                total_tokens: self.next_offset,
                prompt_tokens: self.incoming.request.prompt_tokens,
                cached_tokens,
                reason,
                version: self.earlier.version.clone(),
                server: selected.server.to_string(),
                replayed: false,
            })),
            RelayEnd::Engine(error) => self.handle_engine_error(error, selected),
            RelayEnd::CallerDisconnected => {
                self.cancel(events, selected, "caller");
                NextStep::End(End::Refused(settle::cancelled(self.ran)))
            }
            RelayEnd::Deadline => {
                self.cancel(events, selected, "deadline");
                NextStep::End(self.timed_out(self.ran))
            }
        }
    }

    fn timed_out(&self, ran: Ran) -> End {
        if self.deadline_passed() {
            End::Refused(settle::deadline(ran))
        } else {
            End::Refused(settle::cancelled(ran))
        }
    }

    /// Handles an engine error and decides whether to retry. There is no retry once the caller has
    /// disconnected: the engine closes a connection when another node attaches to its stream, and
    /// attaching again would disconnect that node.
    fn handle_engine_error(&mut self, error: EngineError, selected: &SelectedServer) -> NextStep {
        if self.is_superseded() || self.caller.is_disconnected() {
            return NextStep::End(End::Refused(self.superseded_failure()));
        }
        let connection_lost = matches!(error, EngineError::Lost { .. });
        self.connection_lost = connection_lost;
        if connection_lost {
            self.ran = join_ran(self.ran, Ran::Maybe);
        }
        self.record_failure(&error, selected);
        self.exclude_server(connection_lost, selected);
        if !may_retry(self.ran, self.incoming.request.repeat()) && !self.earlier.has_stream() {
            return NextStep::End(End::Refused(settle::outcome_unknown()));
        }
        let retry = self.dispatches < MAXIMUM_DISPATCHES
            && (!connection_lost || self.worker.shared.take_retry());
        if retry {
            return NextStep::Retry;
        }
        let message = format!("server {}: {error}", selected.server);
        let failure = Failure::not_run(ErrorKind::EngineLost, message);
        NextStep::End(End::Refused(failure.after(self.ran)))
    }

    /// Updates the server's state. A refusal to attach is ignored, since it depends only on the stream.
    fn record_failure(&self, error: &EngineError, selected: &SelectedServer) {
        let tables = &self.worker.tables;
        match error {
            EngineError::Refused { status, .. } if !self.earlier.has_stream() => {
                reports::record_refusal(tables, &selected.server, *status);
            }
            EngineError::Refused { .. } => {}
            _ => reports::record_failure(tables, &selected.server, &error.to_string()),
        }
    }

    /// Excludes a failed server from this submission. After a lost connection to a stream the server is kept,
    /// so that the next call can attach to the stream, except before the last permitted call.
    fn exclude_server(&mut self, connection_lost: bool, selected: &SelectedServer) {
        let holds_stream =
            self.earlier.has_stream() && self.earlier.server == selected.server.as_str();
        if connection_lost && holds_stream && self.dispatches < MAXIMUM_DISPATCHES - 1 {
            return;
        }
        if holds_stream {
            self.earlier.engine_stream.clear();
        }
        self.excluded.push(selected.server.clone());
    }

    /// Handles a disconnected caller. After a lost link the run continues for the grace period, or until the
    /// deadline if the request is at-most-once.
    pub fn on_disconnect(&mut self, disconnected: Disconnect) -> Disconnect {
        if disconnected == Disconnect::LinkLost {
            let grace = Duration::from_millis(self.worker.settings.detach_grace_ms);
            let until = Instant::now() + grace;
            let runs_to_end = self.incoming.is_at_most_once();
            self.detached_until = (!runs_to_end).then_some(until);
        }
        disconnected
    }

    /// The deadline or the end of the grace period, whichever is earlier.
    pub fn wait_deadline(&self) -> Instant {
        let deadline = self.incoming.deadline;
        self.detached_until
            .map_or(deadline, |until| until.min(deadline))
    }

    pub fn deadline_passed(&self) -> bool {
        Instant::now() >= self.incoming.deadline
    }

    /// Registers this run as the reader of an engine stream.
    pub fn start_reading(&mut self, server: &ServerId, stream: &str) {
        let shared = &self.worker.shared;
        self.reader = Some(shared.claim_stream(server.as_str(), stream));
    }

    /// Sends tokens to the caller and advances the offset.
    pub fn send_chunk(&mut self, chunk: Chunk) {
        let count = u32::try_from(chunk.pieces.len()).unwrap_or(u32::MAX);
        self.next_offset = self.next_offset.saturating_add(count);
        self.caller.send(frame::Body::Chunk(chunk));
    }

    /// Failure of a run whose stream a later attempt may continue; the outcome is not known here.
    fn superseded_failure(&self) -> Failure {
        if self.incoming.is_at_most_once() {
            settle::outcome_unknown()
        } else {
            settle::cancelled(self.ran)
        }
    }

    fn is_superseded(&self) -> bool {
        self.reader.as_ref().is_some_and(ReaderSlot::is_superseded)
    }
}

//! Forwards responses to clients and resumes interrupted streams at another server.

use std::time::Duration;

use bytes::Bytes;
use dappleyard_model::{RunOrigin, SoftwareVersion};
use derive_more::{Display, Error};
use futures::Stream;

use crate::attempt::{AttemptError, Exchange, Ran, SUSPECT_DURATION, Upstreams};
use crate::crashes::InterruptedRun;
use crate::dispatch::{
    Dispatched, RUN_CHECK_INTERVAL, Request, Started, dispatch, dispatch_after, is_event_route,
};
use crate::error_kind::ErrorKind;
use crate::event_gaps::EventGaps;
use crate::event_stream::{Event, EventSplitter, MAX_EVENT_TIME};
use crate::incomplete_output::IncompleteOutput;
use crate::metrics::Metrics;
use crate::node::{DisconnectLogger, InFlightGuard};
use crate::output_limits::{OutputExceeded, OutputLimits};
use crate::response_buffer::{BufferedResponse, StallFlag};
use crate::resumption::{self, is_resumption};
use crate::runs::PendingRun;
use crate::silence::Waited;
use crate::silence_limits::SilenceLimits;
use crate::takeover::Takeover;
use dappleyard_clock::Instant;

/// Silence of a server after which a stream is continued at another one, if one is free for it.
const STREAM_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a response that has begun waits for a refusal to be cleared. Callers give up a silent stream after 2 s at the
/// earliest.
const REFUSAL_WAIT: Duration = Duration::from_millis(1_500);

/// The response cannot be completed. The client's connection is closed without the end of the body.
#[derive(Debug, Display, Error)]
#[display("the response was truncated")]
pub struct TruncatedResponse;

/// Streams the response body.
pub(crate) fn body(
    upstreams: Upstreams,
    request: Request,
    started: Started,
    in_flight: InFlightGuard,
    disconnect_logger: DisconnectLogger,
) -> impl Stream<Item = Result<Bytes, TruncatedResponse>> {
    let (node, id) = (upstreams.node().clone(), request.facts.id.clone());
    let stalled = StallFlag::default();
    let relay = Relay::new(upstreams, request, started, stalled.clone());
    let buffered = BufferedResponse::start(node, id, stalled, relay.into_pieces());
    async_stream::stream! {
        let _in_flight = in_flight;
        loop {
            match buffered.next().await {
                Ok(Some(piece)) => yield Ok(piece),
                Ok(None) => {
                    disconnect_logger.end();
                    break;
                }
                Err(cut) => {
                    disconnect_logger.end();
                    // Lets the pieces yielded so far be sent before the connection is closed.
                    tokio::task::yield_now().await;
                    yield Err(cut);
                    break;
                }
            }
        }
    }
}

struct Relay {
    upstreams: Upstreams,
    request: Request,
    started: Option<Started>,
    splitter: EventSplitter,
    /// What the splitter holds.
    incomplete: IncompleteOutput,
    gaps: EventGaps,
    /// Set when this node stopped reading the response at a buffer limit.
    stalled: StallFlag,
    last_event: Option<u64>,
    /// When the comments began that are all that the server sends.
    comments_since: Option<Instant>,
    events: u64,
    /// Time of the first event of the current run.
    output_since: Option<Instant>,
    /// Time from the arrival of the request to its first event, in milliseconds.
    first_event_ms: Option<u64>,
    ended: bool,
}

impl Relay {
    fn new(upstreams: Upstreams, request: Request, started: Started, stalled: StallFlag) -> Self {
        let last_event = request.facts.last_event_id;
        let incomplete = IncompleteOutput::new(upstreams.node().clone());
        Self {
            upstreams,
            request,
            started: Some(started),
            splitter: EventSplitter::default(),
            incomplete,
            gaps: EventGaps::default(),
            stalled,
            last_event,
            comments_since: None,
            events: 0,
            output_since: None,
            first_event_ms: None,
            ended: false,
        }
    }

    fn into_pieces(mut self) -> impl Stream<Item = Result<Bytes, TruncatedResponse>> {
        async_stream::try_stream! {
            while let Some(piece) = self.next().await? {
                yield piece;
            }
        }
    }

    /// The next bytes for the client; `None` at the end of the response.
    async fn next(&mut self) -> Result<Option<Bytes>, TruncatedResponse> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.record_event();
                self.last_event = event.id.or(self.last_event);
                if self.has_only_comments(&event) {
                    let error = AttemptError::output_exceeded(OutputExceeded::EventWithoutEnd);
                    self.resume(error, None).await?;
                    continue;
                }
                return Ok(Some(event.bytes));
            }
            if let Err(exceeded) = self.check_incomplete_event() {
                let error = AttemptError::output_exceeded(exceeded);
                self.resume(error, None).await?;
            }
            if self.ended {
                return Ok(None);
            }
            match self.read().await {
                Waited::Done(Ok(Some(piece))) => {
                    if !is_event_route(&self.request.route) {
                        return Ok(Some(piece));
                    }
                    self.splitter.push(&piece);
                }
                Waited::Done(Ok(None)) => match self.early_end().await {
                    Some(error) => self.resume(error, None).await?,
                    None => {
                        self.finish();
                        return Ok(None);
                    }
                },
                Waited::Done(Err(error)) => self.resume(error, None).await?,
                Waited::Silent(error, mut successor) => {
                    if let Some(started) = &self.started {
                        successor = successor.replacing(&started.exchange.server);
                    }
                    self.resume(error, Some(successor)).await?;
                }
                Waited::Failed(error, successor) => self.resume(error, Some(successor)).await?,
            }
        }
    }

    /// Reads the next piece. A stream whose server is silent is left to a successor if there is one.
    async fn read(&mut self) -> Waited<Option<Bytes>, PendingRun> {
        let limits = self.limits();
        let deadline = self.request.deadline.clone();
        let upstreams = self.upstreams.clone();
        let Some(started) = &mut self.started else {
            return Waited::Done(Ok(None));
        };
        let Exchange {
            connection, server, ..
        } = &mut started.exchange;
        let reading = async {
            let piece = connection.next_piece().await;
            piece.map_err(|error| AttemptError::truncated_response(&error))
        };
        let since = Instant::now();
        let mut takeover = Takeover::of_stream(&upstreams, &mut self.request, self.last_event);
        let begun = takeover.begun();
        let find_successor = async |silence| takeover.find(silence).await;
        let waiting = upstreams.wait_or_leave(server, limits, reading, find_successor, &begun);
        let waited = deadline.wait(waiting).await.unwrap_or_else(|| {
            Waited::Done(Err(AttemptError::local(Ran::Yes, "deadline exceeded")))
        });
        drop(takeover);
        if let Waited::Done(Ok(piece)) = &waited {
            self.note_read(piece.is_some(), since.elapsed());
        }
        waited
    }

    /// Records a read from the server that took this long.
    fn note_read(&mut self, has_piece: bool, pause: Duration) {
        let Some(started) = &self.started else {
            return;
        };
        let server = &started.exchange.server;
        let node = self.upstreams.node();
        node.loads.note_received(&server.id);
        // A gap in which this node stopped reading says nothing about the server.
        let was_stalled = self.stalled.take();
        if self.events > 0 && has_piece && !was_stalled {
            let service = &self.request.service;
            node.response_times.record_gap(service, pause);
            if let Some(pause) = self.gaps.record(pause) {
                self.upstreams.record_gap_slowdown(server, pause);
            }
        }
    }

    /// Whether the event that is being read may still become whole. One that only takes long ends a stream only if it may
    /// go on elsewhere.
    fn check_incomplete_event(&mut self) -> Result<(), OutputExceeded> {
        self.incomplete.set(self.splitter.held_bytes())?;
        let limits = OutputLimits::of(self.request.facts.tokens_out.into());
        match self.splitter.check_incomplete(limits.event_bytes) {
            Err(OutputExceeded::EventWithoutEnd) if !self.is_resumable() => Ok(()),
            checked => checked,
        }
    }

    /// Whether a stream that has begun has brought only comments for too long, and may go on elsewhere.
    fn has_only_comments(&mut self, event: &Event) -> bool {
        if event.has_content() || self.last_event.is_none() {
            self.comments_since = None;
            return false;
        }
        let since = *self.comments_since.get_or_insert_with(Instant::now);
        since.elapsed() > MAX_EVENT_TIME && self.is_resumable()
    }

    /// Whether a response that has begun may be continued at another server.
    fn is_resumable(&self) -> bool {
        is_event_route(&self.request.route) && self.request.route.resumable
    }

    fn limits(&self) -> SilenceLimits {
        let request = &self.request;
        let times = &self.upstreams.node().response_times;
        let suspect_after = match self.events {
            0 => times.first_event_timeout(&request.service, request.shape.tokens),
            _ => times.gap_timeout(&request.service),
        };
        SilenceLimits::abandoning_after(STREAM_TIMEOUT)
            .suspecting_after(suspect_after)
            .abandoning_if(self.is_resumable())
    }

    fn record_event(&mut self) {
        let output_since = *self.output_since.get_or_insert_with(Instant::now);
        self.events += 1;
        if let Some(started) = &mut self.started {
            let output_for = output_since.elapsed();
            self.upstreams.note_output(&mut started.run, output_for);
        }
        if self.events > 1 {
            return;
        }
        let node = self.upstreams.node().clone();
        if let Some(started) = &mut self.started {
            let server = &started.exchange.server;
            let origin = &mut self.request.origin;
            origin.get_or_insert_with(|| RunOrigin::of(server));
            resumption::note_begun(&node, &self.request);
            if let Some(work) = &mut started.work {
                work.prompt_read();
            }
            let sent = started.sent.elapsed();
            let request = &self.request;
            node.response_times
                .record_first_event(&request.service, request.shape.tokens, sent);
            let elapsed_ms = sent.as_millis() as f64;
            let expected = 30.0 + f64::from(self.request.shape.tokens) / 30.0;
            node.loads
                .note_excess(&started.exchange.server.id, elapsed_ms - expected);
        }
        let since_arrival = self.request.arrived.elapsed().as_millis() as u64;
        self.first_event_ms = Some(since_arrival);
        node.metrics.note_first_event(since_arrival);
    }

    /// Why a response whose body has ended is not whole; `None` if it is.
    async fn early_end(&mut self) -> Option<AttemptError> {
        let is_stream = is_event_route(&self.request.route);
        if !self.splitter.rest().is_empty() {
            return Some(AttemptError::ended_early(
                "the stream ended inside an event",
            ));
        }
        let started = self.started.as_mut()?;
        if started.exchange.is_framed() {
            return None;
        }
        started.work = None;
        let server = &started.exchange.server;
        let is_cut = self.upstreams.may_be_cut(server, is_stream).await;
        is_cut.then(|| AttemptError::ended_early("the server ended with its connection"))
    }

    /// Ends a whole response.
    fn finish(&mut self) {
        self.ended = true;
        let node = self.upstreams.node().clone();
        if let Some(started) = self.started.take() {
            self.upstreams.note_served(&started.run);
            if self.request.runs == 1 {
                self.record_duration(started.sent.elapsed());
            }
            let server = started.exchange.server.id.clone();
            self.upstreams.release(started.exchange);
            node.log.write("request_finished", || {
                serde_json::json!({"request": self.request.facts.id, "server": server,
                    "events": self.events, "runs": self.request.runs,
                    "first_event_ms": self.first_event_ms, "target_ms": self.request.route.target_ms,
                    "took_ms": self.request.arrived.elapsed().as_millis() as u64})
            });
        }
        Metrics::count(&node.metrics.served);
    }

    /// Records how long a whole response of a single run took.
    fn record_duration(&self, hold_time: Duration) {
        let (node, request) = (self.upstreams.node(), &self.request);
        node.capacities
            .record_hold_time(&request.service, hold_time);
        if is_resumption(&request.route, &request.facts) {
            return;
        }
        node.response_times
            .record_duration(&request.service, request.facts.tokens_out, hold_time);
    }

    /// Continues the stream after the last event, at the successor or another server. Fails if the
    /// route is not resumable or no server continues it.
    async fn resume(
        &mut self,
        error: AttemptError,
        successor: Option<PendingRun>,
    ) -> Result<(), TruncatedResponse> {
        let node = self.upstreams.node().clone();
        let failed = self.started.take();
        // Discards an incomplete event, which the other server sends again.
        self.splitter.rest();
        self.comments_since = None;
        let (mut server, mut version) = (None, None);
        if let Some(started) = failed {
            let Exchange {
                connection,
                server: failed_server,
                ..
            } = started.exchange;
            // Ends the run before anything else is waited for.
            drop(connection);
            version = failed_server.version.clone();
            let interrupted_run = InterruptedRun {
                error: &error,
                output_duration: self.output_since.map(|since| since.elapsed()),
            };
            self.upstreams
                .check_for_crash(started.run, &failed_server, &interrupted_run)
                .await;
            let request = &self.request.facts.id;
            self.upstreams
                .note_invalid_answer(&failed_server, request, &error);
            server = Some(failed_server.id.clone());
        }
        if let Some(server) = server.as_ref().filter(|_| error.unreachable) {
            node.loads.mark_suspect(server, SUSPECT_DURATION);
        }
        node.log.write("stream_broke", || {
            serde_json::json!({"request": self.request.facts.id, "server": server,
                "version": version.as_ref().map(SoftwareVersion::as_str),
                "fingerprint": self.request.features.request().short(), "cause": error.reason, "after_event": self.last_event,
                "events": self.events, "runs": self.request.runs,
                "resumable": self.request.route.resumable})
        });
        if !self.is_resumable() {
            self.log_truncated(&error.reason);
            return Err(TruncatedResponse);
        }
        match self.dispatch_rest(successor).await {
            Dispatched::Started(started) => {
                Metrics::count(&node.metrics.resumed);
                self.started = Some(*started);
                self.gaps = EventGaps::default();
                self.output_since = None;
                Ok(())
            }
            Dispatched::Failed(failed) => {
                self.log_truncated(&format!(
                    "resuming the stream failed with status {}",
                    failed.status
                ));
                Err(TruncatedResponse)
            }
            Dispatched::OutOfTime(out_of_time) => {
                self.log_truncated(&out_of_time.kind().to_string());
                Err(TruncatedResponse)
            }
            Dispatched::Late(_) => {
                self.log_truncated(&ErrorKind::NoRoomInTime.to_string());
                Err(TruncatedResponse)
            }
            Dispatched::Held => {
                self.log_truncated(&self.request.held_kind().to_string());
                Err(TruncatedResponse)
            }
            Dispatched::Refused(kind, _) | Dispatched::GaveUp(kind) => {
                self.log_truncated(&kind.to_string());
                Err(TruncatedResponse)
            }
        }
    }

    /// Sends the rest of a response that has begun to the successor or another server. A refusal because of crashes is
    /// waited out for a while, since another run of such a request may clear it.
    async fn dispatch_rest(&mut self, successor: Option<PendingRun>) -> Dispatched {
        let (upstreams, request) = (&self.upstreams, &mut self.request);
        let refused_until = Instant::now() + REFUSAL_WAIT;
        let mut dispatched = match successor {
            Some(run) => dispatch_after(upstreams, request, run, self.last_event).await,
            None => dispatch(upstreams, request, self.last_event).await,
        };
        loop {
            match dispatched {
                Dispatched::Refused(..) if Instant::now() < refused_until => {
                    tokio::time::sleep(RUN_CHECK_INTERVAL).await;
                }
                // A response that has begun cannot be refused any more, so it stays until its deadline.
                Dispatched::Held => {}
                dispatched => return dispatched,
            }
            dispatched = dispatch(upstreams, request, self.last_event).await;
        }
    }

    fn log_truncated(&self, cause: &str) {
        let node = self.upstreams.node();
        Metrics::count(&node.metrics.failed);
        let by_stop = self.request.deadline.was_ended_by_stop();
        if by_stop {
            Metrics::count(&node.metrics.answers_cut_by_stop);
        }
        let cause = if by_stop { "process_end" } else { cause };
        node.log.write("answer_cut", || {
            serde_json::json!({"request": self.request.facts.id, "cause": cause,
                "events": self.events, "runs": self.request.runs,
                "took_ms": Instant::now().duration_since(self.request.arrived).as_millis() as u64})
        });
    }
}

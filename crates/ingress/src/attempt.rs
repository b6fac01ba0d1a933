//! Sends a request to one server and checks the response.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::Exclusion;
use dappleyard_model::{
    HomeRegions, ResponseMetadata, RunOrigin, ServerHeaders, ServerRecord, TenantHeader,
};
use dappleyard_upstream::{
    BodyFraming, Connection, ExchangeError, IdleLimit, Pool, RequestBytes, RequestKey,
    ResponseHead, Stage, request_bytes,
};
use derive_more::{Display, Error};
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::cold_limit;
use crate::home_regions;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::output_limits::OutputExceeded;
use crate::response_matching::MAX_STRAY_RESPONSE_BYTES;
use crate::silence::{SuccessorBegun, Waited};
use crate::silence_limits::SilenceLimits;
use crate::urgency::OvercommitLimit;

/// How long a server is avoided after it failed or stopped responding.
pub(crate) const SUSPECT_DURATION: Duration = Duration::from_millis(1_200);
/// Time to read the rest of a short response.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Idle connections kept per server.
const MAX_IDLE_CONNECTIONS: usize = 24;
const IDLE_LIMIT: IdleLimit = IdleLimit {
    default: Duration::from_secs(10),
    margin: Duration::from_millis(700),
};

/// Whether a server has run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Ran {
    /// It did not run and will not run.
    #[display("no")]
    No,
    #[display("maybe")]
    Maybe,
    #[display("yes")]
    Yes,
}

/// A failed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct AttemptError {
    pub ran: Ran,
    pub reason: String,
    /// The server could not be reached or stopped responding.
    pub unreachable: bool,
    /// The connection was closed or reset after the request was sent, so the server process may
    /// have ended.
    pub broken_off: bool,
    /// The server sent what no answer may be.
    pub invalid: Option<InvalidAnswer>,
}

/// Why what a server sent is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidAnswer {
    /// The bytes break the protocol.
    Malformed,
    /// They are more than any answer may have.
    WithoutEnd,
}

impl InvalidAnswer {
    fn of(error: &ExchangeError) -> Option<Self> {
        match (error.exceeds_limit, error.is_malformed) {
            (true, _) => Some(Self::WithoutEnd),
            (false, true) => Some(Self::Malformed),
            (false, false) => None,
        }
    }
}

impl AttemptError {
    /// The connection failed while the response body was read.
    pub fn truncated_response(error: &ExchangeError) -> Self {
        Self {
            ran: Ran::Yes,
            reason: error.to_string(),
            unreachable: false,
            broken_off: !error.is_malformed,
            invalid: InvalidAnswer::of(error),
        }
    }

    /// The response ended with its connection before it was whole, as something other than its framing shows.
    pub fn ended_early(reason: impl Into<String>) -> Self {
        Self {
            broken_off: true,
            ..Self::local(Ran::Yes, reason)
        }
    }

    /// A failure detected by this node, such as a timeout or an invalid response.
    pub fn local(ran: Ran, reason: impl Into<String>) -> Self {
        Self {
            ran,
            reason: reason.into(),
            unreachable: false,
            broken_off: false,
            invalid: None,
        }
    }

    /// The server sent more than the request allows.
    pub fn output_exceeded(exceeded: OutputExceeded) -> Self {
        Self {
            invalid: Some(InvalidAnswer::WithoutEnd),
            ..Self::local(Ran::Yes, exceeded.to_string())
        }
    }
}

/// A request as it is sent to a server.
pub struct Attempt<'a> {
    pub method: &'a Method,
    /// Path and query string.
    pub target: &'a str,
    /// Headers of the client request.
    pub headers: &'a HeaderMap,
    pub body: &'a Bytes,
    /// Request ID.
    pub id: &'a str,
    /// Time until the request's deadline.
    pub remaining_ms: Option<u64>,
    /// Last event the client received; the server resumes after it.
    pub last_event_id: Option<u64>,
    /// Where the run began whose output the caller or this node holds.
    pub origin: Option<&'a RunOrigin>,
    pub tenant: TenantHeader<'a>,
    /// Regions that may serve the request.
    pub homes: &'a HomeRegions,
    /// Limits on how long the server may send nothing.
    pub limits: SilenceLimits,
}

/// A response whose body has not been read yet.
pub struct Exchange {
    pub connection: Connection,
    pub head: ResponseHead,
    /// Facts taken from the response headers.
    pub facts: ResponseMetadata,
    pub server: Arc<ServerRecord>,
}

impl Exchange {
    /// Whether the framing reveals a truncated body.
    pub fn is_framed(&self) -> bool {
        self.head.framing != BodyFraming::UntilClose
    }
}

/// A response whose headers have not been received yet.
pub(crate) type PendingResponse = LocalBoxFuture<'static, Result<Exchange, AttemptError>>;

/// Connections of one worker thread to the servers.
#[derive(Clone)]
pub struct Upstreams {
    pub(crate) node: Arc<Node>,
    pub(crate) pool: Rc<Pool>,
    overcommit: Rc<Cell<OvercommitLimit>>,
}

impl Upstreams {
    pub fn new(node: Arc<Node>) -> Self {
        Self {
            node,
            pool: Rc::new(Pool::new(IDLE_LIMIT, MAX_IDLE_CONNECTIONS)),
            overcommit: Rc::default(),
        }
    }

    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Current limit on online requests beyond a server's slots.
    pub(crate) fn overcommit(&self) -> OvercommitLimit {
        self.overcommit.get()
    }

    /// Returns the connection to the pool.
    pub fn release(&self, exchange: Exchange) {
        self.pool.put(exchange.server.address, exchange.connection);
    }

    /// Closes idle connections that have expired.
    pub fn sweep(&self) {
        self.pool.sweep();
    }

    /// Sends a request to a server and waits for the response headers.
    pub async fn attempt(
        &self,
        server: &Arc<ServerRecord>,
        attempt: &Attempt<'_>,
    ) -> Result<Exchange, AttemptError> {
        let response = self.prepare(server, attempt).await?;
        let leave = async |_| Some(());
        let begun = SuccessorBegun::default();
        let waiting = self.wait_or_leave(server, attempt.limits, response, leave, &begun);
        match waiting.await {
            Waited::Done(result) => result,
            Waited::Silent(error, ()) => {
                self.note_left(server);
                Err(error)
            }
            Waited::Failed(error, ()) => Err(error),
        }
    }

    /// Connects to a server. The returned future sends the request and waits for the response
    /// headers.
    pub(crate) async fn prepare(
        &self,
        server: &Arc<ServerRecord>,
        attempt: &Attempt<'_>,
    ) -> Result<PendingResponse, AttemptError> {
        Metrics::count(&self.node.metrics.attempts);
        let request = self.request(server, attempt);
        let connection = self.connect(server, RequestKey::of(attempt.id)).await?;
        if let Some(exclusion) = self.exclusion(server, attempt) {
            self.pool.put(server.address, connection);
            return Err(AttemptError::local(
                Ran::No,
                format!("not sent: {exclusion}"),
            ));
        }
        let (upstreams, server, id) = (self.clone(), server.clone(), attempt.id.to_owned());
        let response = async move { upstreams.exchange(server, connection, request, &id).await };
        Ok(response.boxed_local())
    }

    async fn exchange(
        &self,
        server: Arc<ServerRecord>,
        mut connection: Connection,
        request: RequestBytes,
        id: &str,
    ) -> Result<Exchange, AttemptError> {
        let head = self.receive_head(&mut connection, request, id).await;
        let (head, facts) = head.inspect_err(|error| {
            self.note_left(&server);
            self.note_invalid_answer(&server, id, error);
        })?;
        self.node.loads.note_received(&server.id);
        if let Some(load) = facts.load {
            self.record_reported_slowdown(&server, load);
            let mut overcommit = self.overcommit.get();
            overcommit.record(load);
            self.overcommit.set(overcommit);
        }
        if !facts.not_run && (head.status / 100 == 2 || head.status >= 500) {
            self.note_outcome(&server, head.status / 100 == 2);
        }
        if facts.not_run {
            self.log_refusal(&server, &connection, id, head.status);
            let reason = format!("status {} not run", head.status);
            self.drain(connection, server.address).await;
            return Err(AttemptError {
                ran: Ran::No,
                reason,
                unreachable: head.status == 421,
                broken_off: false,
                invalid: None,
            });
        }
        Ok(Exchange {
            connection,
            head,
            facts,
            server,
        })
    }

    /// Records a response by which a server says that it did not run a request.
    fn log_refusal(&self, server: &ServerRecord, connection: &Connection, id: &str, status: u16) {
        self.node.log.write("server_refused_request", || {
            serde_json::json!({"request": id, "server": server.id, "status": status,
                "reused_connection": connection.is_reused()})
        });
    }

    /// Records that a server gave no valid response to a request.
    pub(crate) fn note_left(&self, server: &ServerRecord) {
        self.pool.forget(server.address);
        self.note_outcome(server, false);
    }

    /// Avoids a server for a while that sent what no answer may be. Other errors are noted elsewhere.
    pub fn note_invalid_answer(&self, server: &ServerRecord, request: &str, error: &AttemptError) {
        let Some(invalid) = error.invalid else {
            return;
        };
        let metrics = &self.node.metrics;
        let (counter, event) = match invalid {
            InvalidAnswer::Malformed => (&metrics.malformed_answers, "malformed_answer"),
            InvalidAnswer::WithoutEnd => (&metrics.answers_without_end, "answer_without_end"),
        };
        Metrics::count(counter);
        self.node.loads.mark_suspect(&server.id, SUSPECT_DURATION);
        self.note_outcome(server, false);
        self.node.log.write(
            event,
            || serde_json::json!({"request": request, "server": server.id, "cause": error.reason}),
        );
    }

    /// Why a request may not be sent to a selected server. The server may have been excluded, or have
    /// restarted with other software, while the connection was opened.
    fn exclusion(&self, server: &ServerRecord, attempt: &Attempt<'_>) -> Option<Exclusion> {
        if let Some(exclusion) = self.node.view.exclusion(&server.id) {
            return Some(exclusion);
        }
        if !self.node.view.may_run_at(attempt.origin, &server.id) {
            return Some(Exclusion::OtherVersion);
        }
        home_regions::check_exclusion(&self.node, server, attempt.homes)
            .or_else(|| cold_limit::check_exclusion(&self.node, server))
    }

    fn note_outcome(&self, server: &ServerRecord, served: bool) {
        if self.node.loads.note_outcome(&server.id, served) {
            self.node.log.write(
                "server_ejected",
                || serde_json::json!({"server": server.id, "cause": "at least half of its responses are failures"}),
            );
        }
    }

    /// Reads the rest of a short response, so that the connection can be reused.
    pub(crate) async fn drain(&self, mut connection: Connection, address: SocketAddr) {
        let reading = connection.discard_body(MAX_STRAY_RESPONSE_BYTES);
        let read = tokio::time::timeout(DRAIN_TIMEOUT, reading).await;
        if matches!(read, Ok(Ok(_))) {
            self.pool.put(address, connection);
        }
    }

    fn request(&self, server: &ServerRecord, attempt: &Attempt<'_>) -> RequestBytes {
        let dialect = &self.node.dialect;
        let header_values = ServerHeaders {
            remaining_ms: attempt.remaining_ms,
            expect_instance: &server.instance,
            last_event_id: attempt.last_event_id,
            tenant: attempt.tenant,
        };
        let added_headers = dialect.server_headers(&header_values);
        let own = added_headers.iter().map(|(name, value)| (name, value));
        let passed = attempt
            .headers
            .iter()
            .filter(|(name, _)| is_end_to_end(name, attempt.headers))
            .filter(|(name, _)| !dialect.is_system_header(name, &header_values));
        request_bytes(
            attempt.method,
            attempt.target,
            passed.chain(own),
            attempt.body,
        )
    }
}

pub(crate) fn exchange_failed(error: ExchangeError) -> AttemptError {
    AttemptError {
        ran: match error.stage {
            Stage::Connect => Ran::No,
            _ => Ran::Maybe,
        },
        reason: error.to_string(),
        unreachable: false,
        broken_off: error.stage > Stage::Connect && !error.is_malformed,
        invalid: InvalidAnswer::of(&error),
    }
}

pub(crate) fn invalid_response(reason: &str) -> AttemptError {
    AttemptError::local(Ran::Maybe, reason)
}

/// Whether a header is end-to-end, as opposed to hop-by-hop (RFC 9110, section 7.6.1).
pub(crate) fn is_end_to_end(name: &HeaderName, headers: &HeaderMap) -> bool {
    let single_hop = [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    if single_hop.contains(name) || name.as_str() == "keep-alive" {
        return false;
    }
    *name == HOST || !is_connection_option(name, headers.get_all(CONNECTION).iter())
}

fn is_connection_option<'a>(
    name: &HeaderName,
    values: impl Iterator<Item = &'a HeaderValue>,
) -> bool {
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
}

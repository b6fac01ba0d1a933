//! Sends a request to servers until one serves it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{InFlight, WorkKind};
use dappleyard_crashes::{
    Feature, Fingerprint, Permit, RefusedFeature, RequestFeatures, RequestParts, RunGuard,
};
use dappleyard_model::{
    HomeRegions, RequestMetadata, Route, RouteKind, RunOrigin, ServerRecord, Topology, may_run_at,
};
use dappleyard_tenants::Caller;
use http::{HeaderMap, Method};

use crate::attempt::{Attempt, AttemptError, Exchange, Ran, SUSPECT_DURATION, Upstreams};
use crate::cold_limit::ColdLimit;
use crate::crashes::InterruptedRun;
use crate::error_kind::{ErrorKind, promises_not_run};
use crate::metrics::Metrics;
use crate::placement::PromptShape;
use crate::server_selection::{Placement, Unplaced, select_server};
use crate::shutdown::ProcessEnd;
use crate::silence_limits::SilenceLimits;
use dappleyard_clock::Instant;

/// Interval for checking whether a run on another node has ended; updates arrive every 25 ms.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval for checking whether a stop has brought the deadline forward.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum size of a failure response, which is read as a whole.
const MAX_FAILURE_BYTES: usize = 8 * 1024 * 1024;

/// A client request in progress.
pub struct Request {
    pub method: Method,
    /// Path and query string.
    pub target: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Facts taken from the headers.
    pub facts: RequestMetadata,
    pub caller: Caller,
    /// Route at the time of arrival.
    pub route: Route,
    /// Regions that may serve it, at the time of arrival.
    pub homes: HomeRegions,
    pub service: String,
    /// Where the stream began of which the client has events; it may continue there only. `None`
    /// before the first event.
    pub origin: Option<RunOrigin>,
    /// What crashes of servers are counted by.
    pub features: RequestFeatures,
    pub arrived: Instant,
    pub deadline: Instant,
    /// May bring the deadline forward.
    pub process_end: ProcessEnd,
    /// The client was refused before.
    pub is_retry: bool,
    /// Whether any attempt has run it.
    pub ran: Ran,
    /// Number of attempts that may have run it.
    pub runs: u32,
    /// IDs of the servers tried.
    pub tried: HashSet<String>,
    pub shape: PromptShape,
}

/// A response that has started.
pub struct Started {
    pub exchange: Exchange,
    /// Counts the request in the server's load until the response has ended.
    pub work: Option<InFlight>,
    /// The run as reported to all nodes.
    pub run: RunGuard,
    pub sent: Instant,
}

/// A complete failure response of a server.
pub struct Failed {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Result of dispatching a request.
pub enum Dispatched {
    /// A server is serving the request.
    Started(Box<Started>),
    /// The failure response of a server, to be forwarded.
    Failed(Failed),
    /// The request would miss its target; the client should retry after this delay.
    Late(Duration),
    /// The request is refused, because servers crashed while they ran such requests.
    Refused(ErrorKind, RefusedFeature),
    /// No server served the request.
    GaveUp(ErrorKind),
}

impl Request {
    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        let deadline = self.process_end.limit(self.deadline);
        deadline.saturating_duration_since(Instant::now())
    }

    /// Waits for a step of the request until the deadline, which a stop may bring forward meanwhile.
    pub(crate) async fn before_deadline<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(step);
        loop {
            let remaining = self.remaining();
            let waited = remaining.min(DEADLINE_CHECK_INTERVAL);
            match dappleyard_clock::timeout(waited, &mut step).await {
                Ok(done) => return Some(done),
                Err(_) if remaining <= DEADLINE_CHECK_INTERVAL => return None,
                Err(_) => {}
            }
        }
    }

    /// Time until the client's own deadline, which may be later than that of the route.
    pub(crate) fn client_time_left(&self) -> Duration {
        let given = self.facts.deadline_ms.map(Duration::from_millis);
        given.map_or_else(
            || self.remaining(),
            |given| given.saturating_sub(self.arrived.elapsed()),
        )
    }

    pub(crate) fn fingerprint_of(
        caller: &Caller,
        method: &Method,
        host: &str,
        target: &str,
        body: &[u8],
    ) -> Fingerprint {
        Fingerprint::of(&RequestParts {
            caller: caller.tenant_name(),
            method: method.as_str(),
            host,
            target,
            body,
        })
    }

    fn may_repeat(&self) -> bool {
        self.route.may_repeat()
    }

    /// Whether it may be sent to another server: it has not run, or its route allows repeated runs
    /// and it has fewer than the maximum.
    fn may_run_again(&self) -> bool {
        self.ran == Ran::No || (self.may_repeat() && self.runs < self.route.max_attempts)
    }

    /// Whether it may be sent to a server, as far as its own properties tell.
    pub(crate) fn accepts(&self, server: &ServerRecord, places: &Topology) -> bool {
        !self.tried.contains(&server.id)
            && self.homes.allows_zone(&server.zone, places)
            && may_run_at(self.origin.as_ref(), server)
    }

    /// Kind of a refusal because of crashes. Only a request that has not run itself may be told so.
    fn refusal_kind(&self, refused: &RefusedFeature) -> ErrorKind {
        match (refused.feature, self.ran) {
            (Feature::PromptPart(_), Ran::No) => ErrorKind::PromptPartRefused,
            _ => ErrorKind::ServersEnded,
        }
    }

    fn failure_kind(&self) -> ErrorKind {
        let expired = self.remaining().is_zero();
        match (self.ran, expired) {
            (Ran::No, true) => ErrorKind::ExpiredBeforeRun,
            (Ran::No, false) => ErrorKind::NoServer,
            (_, true) => ErrorKind::Expired,
            (_, false) => ErrorKind::ServerFailed,
        }
    }
}

/// Sends a request to servers until one serves it or no further attempt is allowed.
pub async fn dispatch(
    upstreams: &Upstreams,
    request: &mut Request,
    last_event_id: Option<u64>,
) -> Dispatched {
    let node = upstreams.node().clone();
    loop {
        if request.remaining().is_zero() || !request.may_run_again() {
            return Dispatched::GaveUp(request.failure_kind());
        }
        if let Some(refused) = node.crashes.refusal(&request.features) {
            return Dispatched::Refused(request.refusal_kind(&refused), refused);
        }
        if node.crashes.prepare(&request.features) == Permit::Wait {
            tokio::time::sleep(RUN_CHECK_INTERVAL.min(request.remaining())).await;
            continue;
        }
        let starts = last_event_id.is_none();
        let Placement { server, cached, .. } = match select_server(upstreams, request, starts).await
        {
            Ok(placement) => placement,
            Err(Unplaced::NoServer) => return Dispatched::GaveUp(request.failure_kind()),
            Err(Unplaced::Late { retry_after }) => return Dispatched::Late(retry_after),
        };
        let Ok(run) = node.crashes.begin(&request.features, &server.id) else {
            // Another node has reported a crash or started a run since the check, which is
            // repeated.
            tokio::time::sleep(RUN_CHECK_INTERVAL.min(request.remaining())).await;
            continue;
        };
        request.tried.insert(server.id.clone());
        let mut work = node.loads.begin(
            &server,
            WorkKind::Online,
            request.shape.uncached_tokens(cached),
        );
        let sent = Instant::now();
        let outcome = send(upstreams, request, &server, last_event_id).await;
        let exchange = match outcome {
            Ok(exchange) => exchange,
            Err(error) => {
                let interrupted_run = InterruptedRun {
                    error: &error,
                    output_duration: None,
                };
                upstreams
                    .check_for_crash(run, &server, &interrupted_run)
                    .await;
                record_failure(upstreams, request, &server, &error);
                let limit = ColdLimit::of(&node, &request.service);
                if error.ran == Ran::No && limit.is_some_and(|limit| !limit.allows(&server)) {
                    // The rate limit refused the request before it was sent, so the server stays
                    // eligible.
                    request.tried.remove(&server.id);
                }
                continue;
            }
        };
        request.ran = Ran::Yes;
        request.runs += 1;
        if exchange.head.status / 100 == 2 {
            return Dispatched::Started(Box::new(Started {
                exchange,
                work: Some(work),
                run,
                sent,
            }));
        }
        work.prompt_read();
        match read_failure(upstreams, request, exchange).await {
            // The server did not state that the request was not run, so this status must not be
            // forwarded.
            Some(failed) if promises_not_run(failed.status) => {
                return Dispatched::GaveUp(request.failure_kind());
            }
            Some(failed) => return Dispatched::Failed(failed),
            None => continue,
        }
    }
}

async fn send(
    upstreams: &Upstreams,
    request: &Request,
    server: &Arc<ServerRecord>,
    last_event_id: Option<u64>,
) -> Result<Exchange, AttemptError> {
    let remaining = request.remaining();
    let attempt = Attempt {
        method: &request.method,
        target: &request.target,
        headers: &request.headers,
        body: &request.body,
        id: &request.facts.id,
        remaining_ms: Some(remaining.as_millis() as u64),
        last_event_id,
        origin: request.origin.as_ref(),
        tenant: request.caller.tenant_header(),
        homes: &request.homes,
        limits: first_event_timeout(upstreams, request),
    };
    let outcome = request
        .before_deadline(upstreams.attempt(server, &attempt))
        .await;
    outcome.unwrap_or_else(|| Err(AttemptError::local(Ran::Maybe, "deadline exceeded")))
}

/// Timeout for the first event, learned from the service's responses.
fn first_event_timeout(upstreams: &Upstreams, request: &Request) -> SilenceLimits {
    let times = &upstreams.node().response_times;
    let silence = times.first_event_timeout(&request.service, request.shape.tokens);
    SilenceLimits::abandoning_after(silence).abandoning_if(request.may_repeat())
}

fn record_failure(
    upstreams: &Upstreams,
    request: &mut Request,
    server: &ServerRecord,
    error: &AttemptError,
) {
    let node = upstreams.node();
    Metrics::count(&node.metrics.attempts_failed);
    request.ran = request.ran.max(error.ran);
    if error.ran > Ran::No {
        request.runs += 1;
    }
    if error.unreachable {
        node.loads.mark_suspect(&server.id, SUSPECT_DURATION);
    }
    node.log.write("attempt_failed", || {
        serde_json::json!({"request": request.facts.id, "server": server.id,
            "fingerprint": request.features.request().short(), "ran": error.ran.to_string(), "cause": error.reason, "runs": request.runs,
            "remaining_ms": request.remaining().as_millis() as u64})
    });
}

/// Reads a failure response. Returns `None` if the request is tried at another server instead.
async fn read_failure(
    upstreams: &Upstreams,
    request: &Request,
    mut exchange: Exchange,
) -> Option<Failed> {
    let node = upstreams.node();
    let status = exchange.head.status;
    let again = status >= 500 && request.may_run_again();
    node.log.write("server_answered_failure", || {
        serde_json::json!({"request": request.facts.id, "server": exchange.server.id,
            "status": status, "again": again})
    });
    let reading = exchange.connection.whole_body(MAX_FAILURE_BYTES);
    let body = match request.before_deadline(reading).await {
        Some(Ok(body)) => body,
        _ => Bytes::new(),
    };
    let headers = exchange.head.headers.clone();
    upstreams.release(exchange);
    (!again).then_some(Failed {
        status,
        headers,
        body,
    })
}

/// Whether responses of the route are event streams.
pub fn is_event_route(route: &Route) -> bool {
    route.kind == RouteKind::Streaming
}

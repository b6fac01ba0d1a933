//! Sends a request to servers until one serves it.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::InFlight;
use dappleyard_crashes::{
    Feature, Fingerprint, Permit, RefusedFeature, RequestFeatures, RequestParts, RunGuard,
};
use dappleyard_model::{
    HomeRegions, RequestMetadata, Route, RouteKind, RunOrigin, ServerRecord, Topology, may_run_at,
};
use dappleyard_tenants::Caller;
use http::{HeaderMap, Method};

use crate::attempt::{AttemptError, Exchange, Ran, Upstreams};
use crate::completion::{OutOfTime, check_time_left};
use crate::deadline::Deadline;
use crate::error_kind::{ErrorKind, promises_not_run};
use crate::incomplete_output::IncompleteOutput;
use crate::node::Node;
use crate::placement::PromptShape;
use crate::runs::{PendingRun, fail_run, start_run, wait_for_response};
use crate::server_selection::{Unplaced, select_server};
use crate::silence::Waited;
use dappleyard_clock::Instant;

/// Interval for checking whether a run on another node has ended; updates arrive every 25 ms.
pub(crate) const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for which a request waits until others like it, under which servers may crash, have ended. Most end or are
/// cleared within half a second.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(1_500);
/// Maximum size of a failure response, which is read as a whole.
const MAX_FAILURE_BYTES: usize = 1024 * 1024;

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
    pub deadline: Deadline,
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
    /// The request has not run and cannot end in time.
    OutOfTime(OutOfTime),
    /// The request is refused, because servers crashed while they ran such requests.
    Refused(ErrorKind, RefusedFeature),
    /// Other requests like it, under which servers may crash, did not end in time.
    Held,
    /// No server served the request.
    GaveUp(ErrorKind),
}

impl Request {
    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.remaining()
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

    pub(crate) fn may_repeat(&self) -> bool {
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

    /// Kind of a refusal because others like it did not end in time.
    pub(crate) fn held_kind(&self) -> ErrorKind {
        match self.ran {
            Ran::No => ErrorKind::SuspectsPending,
            _ => ErrorKind::ServerFailed,
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
    let mut held_since = None;
    loop {
        if request.remaining().is_zero() || !request.may_run_again() {
            return Dispatched::GaveUp(request.failure_kind());
        }
        if let Err(out_of_time) = check_time_left(&node, request) {
            return Dispatched::OutOfTime(out_of_time);
        }
        if let Some(refused) = node.crashes.refusal(&request.features) {
            return Dispatched::Refused(request.refusal_kind(&refused), refused);
        }
        if node.crashes.prepare(&request.features) == Permit::Wait {
            let held_for = held_since.get_or_insert_with(Instant::now).elapsed();
            if held_for >= MAX_PERMIT_WAIT {
                log_held(&node, request, held_for);
                return Dispatched::Held;
            }
            tokio::time::sleep(RUN_CHECK_INTERVAL.min(request.remaining())).await;
            continue;
        }
        let starts = last_event_id.is_none();
        let placement = match select_server(upstreams, request, starts).await {
            Ok(placement) => placement,
            Err(Unplaced::NoServer) => return Dispatched::GaveUp(request.failure_kind()),
            Err(Unplaced::Late { retry_after }) => return Dispatched::Late(retry_after),
            Err(Unplaced::OutOfTime(out_of_time)) => return Dispatched::OutOfTime(out_of_time),
        };
        if let Some(run) = start_run(upstreams, request, placement, last_event_id).await
            && let Some(dispatched) = finish_dispatch(upstreams, request, run, last_event_id).await
        {
            return dispatched;
        }
    }
}

fn log_held(node: &Node, request: &Request, held_for: Duration) {
    node.log.write("request_held", || {
        serde_json::json!({"request": request.facts.id, "held_ms": held_for.as_millis() as u64,
            "fingerprint": request.features.request().short(), "parts": request.features.part_ids(),
            "ran": request.ran.to_string(), "remaining_ms": request.remaining().as_millis() as u64})
    });
}

/// Waits for the response to a request that has been sent, and sends it to further servers if necessary.
pub(crate) async fn dispatch_after(
    upstreams: &Upstreams,
    request: &mut Request,
    run: PendingRun,
    last_event_id: Option<u64>,
) -> Dispatched {
    match finish_dispatch(upstreams, request, run, last_event_id).await {
        Some(dispatched) => dispatched,
        None => dispatch(upstreams, request, last_event_id).await,
    }
}

/// Waits for the response of a run, or of its successors if its server falls silent. Returns `None` if the request has
/// to be sent to another server.
async fn finish_dispatch(
    upstreams: &Upstreams,
    request: &mut Request,
    mut run: PendingRun,
    last_event_id: Option<u64>,
) -> Option<Dispatched> {
    let exchange = loop {
        let (error, successor) =
            match wait_for_response(upstreams, request, &mut run, last_event_id).await {
                Waited::Done(Ok(exchange)) => break exchange,
                Waited::Done(Err(error)) => {
                    fail_run(upstreams, request, run, &error).await;
                    return None;
                }
                Waited::Silent(error, successor) => {
                    upstreams.note_left(&run.server);
                    (error, successor.replacing(&run.server))
                }
                Waited::Failed(error, successor) => (error, successor),
            };
        let left = std::mem::replace(&mut run, successor);
        fail_run(upstreams, request, left, &error).await;
    };
    request.ran = Ran::Yes;
    request.runs += 1;
    let PendingRun {
        mut work,
        run,
        sent,
        ..
    } = run;
    if exchange.head.status / 100 == 2 {
        return Some(Dispatched::Started(Box::new(Started {
            exchange,
            work: Some(work),
            run,
            sent,
        })));
    }
    work.prompt_read();
    pass_failure(upstreams, request, exchange).await
}

/// What becomes of a request that a server answered with a failure. `None` if it is tried at another server instead.
async fn pass_failure(
    upstreams: &Upstreams,
    request: &Request,
    exchange: Exchange,
) -> Option<Dispatched> {
    let status = exchange.head.status;
    let again = status >= 500 && request.may_run_again();
    upstreams.node().log.write("server_answered_failure", || {
        serde_json::json!({"request": request.facts.id, "server": exchange.server.id,
            "status": status, "again": again})
    });
    if again {
        upstreams
            .drain(exchange.connection, exchange.server.address)
            .await;
        return None;
    }
    // The server did not say that it has not run the request, so a status that does is not passed on. Nor is a failure
    // without its whole body.
    match read_failure(upstreams, request, exchange).await {
        Some(failed) if !promises_not_run(failed.status) => Some(Dispatched::Failed(failed)),
        _ => Some(Dispatched::GaveUp(request.failure_kind())),
    }
}

/// Reads a failure response; `None` if it does not arrive whole.
async fn read_failure(
    upstreams: &Upstreams,
    request: &Request,
    mut exchange: Exchange,
) -> Option<Failed> {
    let mut incomplete = IncompleteOutput::new(upstreams.node().clone());
    let reading = exchange
        .connection
        .whole_body_while(MAX_FAILURE_BYTES, |held| incomplete.set(held).is_ok());
    let body = match request.deadline.wait(reading).await? {
        Ok(body) => body,
        Err(error) => {
            let error = AttemptError::truncated_response(&error);
            upstreams.note_invalid_answer(&exchange.server, &request.facts.id, &error);
            return None;
        }
    };
    let failed = Failed {
        status: exchange.head.status,
        headers: exchange.head.headers.clone(),
        body,
    };
    upstreams.release(exchange);
    Some(failed)
}

/// Whether responses of the route are event streams.
pub fn is_event_route(route: &Route) -> bool {
    route.kind == RouteKind::Streaming
}

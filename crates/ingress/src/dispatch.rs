//! Finds a server that runs a request.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{InFlight, WorkKind};
use dappleyard_crashes::{Fingerprint, Permit, RequestParts, RunUnderWay};
use dappleyard_model::{Homes, RequestFacts, Route, RouteKind, ServerRecord};
use dappleyard_tenants::Caller;
use http::{HeaderMap, Method};

use crate::attempt::{Attempt, AttemptError, Exchange, Ran, SUSPECT_TIME, Upstreams};
use crate::cold::ColdGate;
use crate::crashes::Broken;
use crate::metrics::Metrics;
use crate::outcome::{ErrorKind, promises_not_run};
use crate::patience::Patience;
use crate::placement::PromptShape;
use crate::placing::{NoPlace, Placement, find_place};
use dappleyard_clock::Instant;

/// Time between two looks whether a run under way elsewhere has ended: news of it come each 25 ms.
const WAIT_TICK: Duration = Duration::from_millis(20);
/// Longest answer that is held whole, bytes.
const HELD_ANSWER: usize = 8 * 1024 * 1024;

/// One request of a caller on its way.
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the head says.
    pub facts: RequestFacts,
    /// Who sends it.
    pub caller: Caller,
    /// Route as of the arrival.
    pub route: Route,
    /// Regions in which it may be served, as of the arrival.
    pub homes: Homes,
    /// Service that serves it.
    pub service: String,
    /// What makes it the same as other tries.
    pub fingerprint: Fingerprint,
    /// When it came.
    pub arrived: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// Its caller was refused before.
    pub again: bool,
    /// Whether it has run, over all attempts.
    pub ran: Ran,
    /// Servers that may have run it.
    pub runs: u32,
    /// Servers that were asked.
    pub asked: HashSet<String>,
    /// Shape of the prompt.
    pub shape: PromptShape,
}

/// An answer that has begun.
pub struct Begun {
    /// The answer.
    pub exchange: Exchange,
    /// The work at the server.
    pub work: InFlight,
    /// The run, as it is counted over all nodes.
    pub run: RunUnderWay,
    /// When the request was sent.
    pub sent: Instant,
}

/// A failure answer of a server, whole.
pub struct Failed {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// What dispatching came to.
pub enum Dispatched {
    /// A server serves the request.
    Begun(Box<Begun>),
    /// A server answered with a failure, which is passed on.
    Failed(Failed),
    /// There is no room for the request in time; its caller comes back after some time.
    NoRoom(Duration),
    /// The node gives up.
    GaveUp(ErrorKind),
}

impl Request {
    /// Time that is left.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time that its caller has left, who may come back when the route's time for it is over.
    pub(crate) fn caller_left(&self) -> Duration {
        let given = self.facts.deadline_ms.map(Duration::from_millis);
        given.map_or_else(
            || self.remaining(),
            |given| given.saturating_sub(self.arrived.elapsed()),
        )
    }

    /// Fingerprint of a request as it came.
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

    fn may_run_again(&self) -> bool {
        self.ran == Ran::No || (self.may_repeat() && self.runs < self.route.max_attempts)
    }

    fn give_up(&self) -> ErrorKind {
        let expired = self.remaining().is_zero();
        match (self.ran, expired) {
            (Ran::No, true) => ErrorKind::ExpiredBeforeRun,
            (Ran::No, false) => ErrorKind::NoServer,
            (_, true) => ErrorKind::Expired,
            (_, false) => ErrorKind::ServerFailed,
        }
    }
}

/// Sends a request to servers until one serves it, or until it must be given up.
pub async fn dispatch(
    upstreams: &Upstreams,
    request: &mut Request,
    last_event_id: Option<u64>,
) -> Dispatched {
    let node = upstreams.node().clone();
    loop {
        if request.remaining().is_zero() || !request.may_run_again() {
            return Dispatched::GaveUp(request.give_up());
        }
        match node.crashes.permit(&request.fingerprint) {
            Permit::Free | Permit::LastRun => {}
            Permit::Wait => {
                tokio::time::sleep(WAIT_TICK.min(request.remaining())).await;
                continue;
            }
            Permit::Refused => return Dispatched::GaveUp(ErrorKind::ServersEnded),
        }
        let begins = last_event_id.is_none();
        let Placement { server, kept, .. } = match find_place(upstreams, request, begins).await {
            Ok(placement) => placement,
            Err(NoPlace::NoServer) => return Dispatched::GaveUp(request.give_up()),
            Err(NoPlace::NoRoom { retry_after }) => return Dispatched::NoRoom(retry_after),
        };
        let Ok(run) = node.crashes.begin(request.fingerprint, &server.id) else {
            // Others have learned of it, or begun to run it, while a place was found.
            tokio::time::sleep(WAIT_TICK.min(request.remaining())).await;
            continue;
        };
        request.asked.insert(server.id.clone());
        let mut work = node
            .loads
            .begin(&server, WorkKind::Online, request.shape.unread(kept));
        let sent = Instant::now();
        let outcome = ask(upstreams, request, &server, last_event_id).await;
        let exchange = match outcome {
            Ok(exchange) => exchange,
            Err(error) => {
                let broken = Broken {
                    error: &error,
                    output_for: None,
                };
                upstreams.judge(run, &server, &broken).await;
                note_failure(upstreams, request, &server, &error);
                let gate = ColdGate::of(&node, &request.service);
                if error.ran == Ran::No && gate.is_some_and(|gate| !gate.passes(&server)) {
                    // The server was not asked: it may be later.
                    request.asked.remove(&server.id);
                }
                continue;
            }
        };
        request.ran = Ran::Yes;
        request.runs += 1;
        if exchange.head.status / 100 == 2 {
            return Dispatched::Begun(Box::new(Begun {
                exchange,
                work,
                run,
                sent,
            }));
        }
        work.prompt_read();
        match hold_failure(upstreams, request, exchange).await {
            // The server did not say that it has not run the request, so its caller is not told so.
            Some(failed) if promises_not_run(failed.status) => {
                return Dispatched::GaveUp(request.give_up());
            }
            Some(failed) => return Dispatched::Failed(failed),
            None => continue,
        }
    }
}

async fn ask(
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
        tenant: request.caller.stamp(),
        homes: &request.homes,
        patience: first_patience(upstreams, request),
    };
    match dappleyard_clock::timeout(remaining, upstreams.attempt(server, &attempt)).await {
        Ok(outcome) => outcome,
        Err(_) => Err(AttemptError::own(Ran::Maybe, "time over")),
    }
}

/// Silence before the first event that is borne, learned from the service's answers.
fn first_patience(upstreams: &Upstreams, request: &Request) -> Patience {
    let times = &upstreams.node().times;
    let silence = times.first_patience(&request.service, request.shape.tokens);
    Patience::leave_after(silence).leaving_if(request.may_repeat())
}

fn note_failure(
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
        node.loads.suspect(&server.id, SUSPECT_TIME);
    }
    node.log.write("attempt_failed", || {
        serde_json::json!({"request": request.facts.id, "server": server.id,
            "fingerprint": request.fingerprint.short(), "ran": error.ran.to_string(), "cause": error.reason, "runs": request.runs,
            "remaining_ms": request.remaining().as_millis() as u64})
    });
}

/// Reads a failure answer whole; `None` when the request goes to another server instead.
async fn hold_failure(
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
    let remaining = request.remaining();
    let reading = exchange.connection.whole_body(HELD_ANSWER);
    let body = match dappleyard_clock::timeout(remaining, reading).await {
        Ok(Ok(body)) => body,
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

/// Whether answers of the route come as events.
pub fn is_event_route(route: &Route) -> bool {
    route.kind == RouteKind::Streaming
}

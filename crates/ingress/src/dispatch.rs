//! Finds a server that runs a request.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{InFlight, LoadSummary, WorkKind};
use dappleyard_model::{Distance, Homes, RequestFacts, Route, RouteKind, ServerRecord};
use dappleyard_tenants::Caller;
use http::{HeaderMap, Method};

use crate::attempt::{Attempt, AttemptError, Exchange, Ran, SUSPECT_TIME, Upstreams};
use crate::cold::ColdGate;
use crate::holding::{Standing, standing};
use crate::homes::reached;
use crate::metrics::Metrics;
use crate::outcome::ErrorKind;
use crate::patience::Patience;
use crate::placement::{
    Candidate, PromptShape, choose, has_slot, home, is_sound, mean_over, sample, within_reach,
};
use tokio::time::Instant;

/// Servers that are asked for one request, those that did not run it included.
const MOST_ASKED: usize = 6;
/// Time between two looks for a slot, on the mean: loads are told as often.
const HOLD_TICK: Duration = Duration::from_millis(20);
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
    /// When it came.
    pub arrived: Instant,
    /// When its time is over.
    pub deadline: Instant,
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
    /// The node gives up.
    GaveUp(ErrorKind),
}

impl Request {
    /// Time that is left.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
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
        let begins = last_event_id.is_none();
        let Some(Placement { server, kept, .. }) = find_place(upstreams, request, begins).await
        else {
            return Dispatched::GaveUp(request.give_up());
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
                sent,
            }));
        }
        work.prompt_read();
        match hold_failure(upstreams, request, exchange).await {
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
    match tokio::time::timeout(remaining, upstreams.attempt(server, &attempt)).await {
        Ok(outcome) => outcome,
        Err(_) => Err(AttemptError {
            ran: Ran::Maybe,
            reason: "time over".to_owned(),
            unreachable: false,
        }),
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
            "ran": error.ran.to_string(), "cause": error.reason, "runs": request.runs,
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
    let body = match tokio::time::timeout(remaining, reading).await {
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

/// Where the next attempt of a request goes.
struct Placement {
    server: Arc<ServerRecord>,
    /// The server keeps the shared parts of the prompt.
    kept: bool,
    load: LoadSummary,
    /// Online requests above the slots, in the mean of the servers that were weighed.
    mean_over: f64,
    /// Servers that were weighed.
    candidates: usize,
}

/// Finds the server for the next attempt, and waits for a slot while others come first. A stream that has
/// begun goes on at once.
async fn find_place(upstreams: &Upstreams, request: &Request, begins: bool) -> Option<Placement> {
    let patience = Duration::from_millis(request.route.patience_ms);
    let target = match request.route.target_ms {
        0 => patience,
        target_ms => Duration::from_millis(target_ms),
    };
    loop {
        let standing = standing(request.arrived.elapsed(), target, patience);
        let Some(placement) = place(upstreams, request) else {
            if standing == Standing::Due || !is_held_back(upstreams, request) {
                return None;
            }
            tokio::time::sleep(HOLD_TICK).await;
            continue;
        };
        // A server without work takes a request from anybody.
        let idle = placement.load.online == 0;
        let allowance = upstreams.allowance();
        let admitted = allowance.admits(standing, placement.mean_over, rand::random());
        if !begins || idle || admitted {
            log_placed(upstreams, request, &placement);
            return Some(placement);
        }
        // Not all at the same time: each would see the same free slot.
        let pause = HOLD_TICK.mul_f64(rand::random_range(0.5..1.5));
        tokio::time::sleep(pause).await;
    }
}

fn log_placed(upstreams: &Upstreams, request: &Request, placement: &Placement) {
    let (load, server) = (&placement.load, &placement.server.id);
    let distance = upstreams
        .node()
        .view
        .ways()
        .distance(&placement.server.zone);
    if distance == Distance::OtherRegion {
        Metrics::count(&upstreams.node().metrics.left_region);
    }
    upstreams.node().log.write("placed", || {
        serde_json::json!({"request": request.facts.id, "route": request.route.name,
            "tenant": request.caller.tenant_name(), "server": server,
            "distance": distance.to_string(),
            "candidates": placement.candidates, "kept": placement.kept,
            "online": load.online, "batch": load.batch,
            "unread_tokens": load.unread_tokens, "suspect": load.suspect,
            "age_ms": request.arrived.elapsed().as_millis() as u64,
            "remaining_ms": request.remaining().as_millis() as u64})
    });
}

/// The server for the next attempt as the loads are known now.
fn place(upstreams: &Upstreams, request: &Request) -> Option<Placement> {
    let node = upstreams.node();
    if request.asked.len() >= MOST_ASKED {
        return None;
    }
    let gate = ColdGate::of(node, &request.service);
    let servers = node.view.servers(&request.service);
    let home = request
        .shape
        .shared
        .and_then(|shared| home(&servers.homes, shared));
    let candidate = |server: &Arc<ServerRecord>| Candidate {
        server: server.clone(),
        load: node.loads.summary(&server.id),
    };
    let extra = home.filter(|_| servers.is_large());
    let may_take = |server: &&Arc<ServerRecord>| {
        !request.asked.contains(&server.id)
            && request.homes.allow(&server.zone, &node.settings.places)
            && gate.as_ref().is_none_or(|gate| gate.passes(server))
    };
    let reached = reached(&servers, &request.homes, node).chain(extra);
    let open: Vec<&Arc<ServerRecord>> = reached.filter(may_take).collect();
    let ways = node.view.ways();
    let home_id = home.map(|home| home.id.as_str());
    let some_of = |servers: &[&Arc<ServerRecord>]| -> Vec<Candidate> {
        let sampled = sample(servers, ways, home_id, &mut rand::rng());
        within_reach(sampled.into_iter().map(candidate).collect(), ways)
    };
    let large = node.peers.is_large();
    let mut candidates = match large {
        true => some_of(&open),
        false => Vec::new(),
    };
    let free_near = |held: &Candidate| ways.is_near(&held.server.zone) && has_slot(held);
    if large && ways.has_regions() && !candidates.iter().any(free_near) {
        // Before the request leaves its region, all servers there are looked at.
        let free = open.iter().copied();
        let free: Vec<_> = free
            .filter(|server| free_near(&candidate(server)))
            .collect();
        if !free.is_empty() {
            candidates = some_of(&free);
        }
    }
    let sound = |chosen: &&Candidate| is_sound(chosen);
    if choose(&candidates, ways, home_id).filter(sound).is_none() {
        candidates = within_reach(open.into_iter().map(candidate).collect(), ways);
    }
    let chosen = choose(&candidates, ways, home_id)?;
    Some(Placement {
        server: chosen.server.clone(),
        kept: home_id == Some(chosen.server.id.as_str()),
        load: chosen.load,
        mean_over: mean_over(&candidates),
        candidates: candidates.len(),
    })
}

/// Whether some server could take the request but for what this node may send to it while it may be cold.
fn is_held_back(upstreams: &Upstreams, request: &Request) -> bool {
    let node = upstreams.node();
    let Some(gate) = ColdGate::of(node, &request.service) else {
        return false;
    };
    let left = request.asked.len() < MOST_ASKED;
    let servers = node.view.servers(&request.service);
    let places = &node.settings.places;
    let mut open = reached(&servers, &request.homes, node)
        .filter(|server| request.homes.allow(&server.zone, places))
        .filter(|server| !request.asked.contains(&server.id));
    left && open.any(|server| !gate.passes(server))
}

/// Whether answers of the route come as events.
pub fn is_event_route(route: &Route) -> bool {
    route.kind == RouteKind::Streaming
}

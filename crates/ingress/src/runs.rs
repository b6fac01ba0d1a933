//! Runs of a request that were sent to a server and have no response yet.

use std::sync::Arc;

use dappleyard_cluster::{InFlight, WorkKind};
use dappleyard_crashes::RunGuard;
use dappleyard_model::ServerRecord;
use futures::FutureExt;

use crate::attempt::{
    Attempt, AttemptError, Exchange, PendingResponse, Ran, SUSPECT_DURATION, Upstreams,
};
use crate::cold_limit::ColdLimit;
use crate::crashes::InterruptedRun;
use crate::dispatch::{RUN_CHECK_INTERVAL, Request};
use crate::metrics::Metrics;
use crate::server_selection::Placement;
use crate::silence::Waited;
use crate::silence_limits::SilenceLimits;
use crate::takeover::Takeover;
use dappleyard_clock::Instant;

/// A run whose server has not responded yet.
pub(crate) struct PendingRun {
    pub(crate) response: PendingResponse,
    pub(crate) server: Arc<ServerRecord>,
    pub(crate) work: InFlight,
    pub(crate) run: RunGuard,
    pub(crate) sent: Instant,
    /// The silent server that was left for this run. It may be asked again if this run fails.
    left: Option<Arc<ServerRecord>>,
}

impl PendingRun {
    /// The run as the successor of one at a silent server.
    pub(crate) fn replacing(self, silent: &Arc<ServerRecord>) -> Self {
        Self {
            left: Some(silent.clone()),
            ..self
        }
    }

    /// The run with the response that its future has returned, or the failure.
    pub(crate) fn with_response(self, response: Result<Exchange, AttemptError>) -> Self {
        Self {
            response: futures::future::ready(response).boxed_local(),
            ..self
        }
    }
}

/// Connects to the selected server and prepares a run there. Returns `None` if the request was not sent.
pub(crate) async fn start_run(
    upstreams: &Upstreams,
    request: &mut Request,
    placement: Placement,
    last_event_id: Option<u64>,
) -> Option<PendingRun> {
    let node = upstreams.node().clone();
    let Placement { server, cached, .. } = placement;
    let Ok(run) = node.crashes.begin(&request.features, &server.id) else {
        // Another node has reported a crash or started a run since the check, which is repeated.
        tokio::time::sleep(RUN_CHECK_INTERVAL.min(request.remaining())).await;
        return None;
    };
    request.tried.insert(server.id.clone());
    let uncached_tokens = request.shape.uncached_tokens(cached);
    let work = node.loads.begin(&server, WorkKind::Online, uncached_tokens);
    let sent = Instant::now();
    match prepare(upstreams, request, &server, last_event_id).await {
        Ok(response) => Some(PendingRun {
            response,
            server,
            work,
            run,
            sent,
            left: None,
        }),
        Err(error) => {
            note_failed_run(upstreams, request, run, &server, &error).await;
            None
        }
    }
}

/// Waits for the response of a run until its deadline. A silent server is left to a successor if there is one.
pub(crate) async fn wait_for_response(
    upstreams: &Upstreams,
    request: &mut Request,
    run: &mut PendingRun,
    last_event_id: Option<u64>,
) -> Waited<Exchange, PendingRun> {
    let limits = first_event_timeout(upstreams, request);
    let deadline = request.deadline.clone();
    let mut takeover = Takeover::before_response(upstreams, request, last_event_id);
    let begun = takeover.begun();
    let find_successor = async |silence| takeover.find(silence).await;
    let response = &mut run.response;
    let waiting = upstreams.wait_or_leave(&run.server, limits, response, find_successor, &begun);
    let expired = || Waited::Done(Err(AttemptError::local(Ran::Maybe, "deadline exceeded")));
    deadline.wait(waiting).await.unwrap_or_else(expired)
}

async fn prepare(
    upstreams: &Upstreams,
    request: &Request,
    server: &Arc<ServerRecord>,
    last_event_id: Option<u64>,
) -> Result<PendingResponse, AttemptError> {
    let attempt = Attempt {
        method: &request.method,
        target: &request.target,
        headers: &request.headers,
        body: &request.body,
        id: &request.facts.id,
        remaining_ms: Some(request.remaining().as_millis() as u64),
        last_event_id,
        origin: request.origin.as_ref(),
        tenant: request.caller.tenant_header(),
        homes: &request.homes,
        limits: first_event_timeout(upstreams, request),
    };
    let preparing = upstreams.prepare(server, &attempt);
    let expired = || Err(AttemptError::local(Ran::Maybe, "deadline exceeded"));
    request
        .deadline
        .wait(preparing)
        .await
        .unwrap_or_else(expired)
}

/// Timeout for the first event, learned from the service's responses.
fn first_event_timeout(upstreams: &Upstreams, request: &Request) -> SilenceLimits {
    let times = &upstreams.node().response_times;
    let silence = times.first_event_timeout(&request.service, request.shape.tokens);
    SilenceLimits::abandoning_after(silence).abandoning_if(request.may_repeat())
}

/// Ends a run without a response.
pub(crate) async fn fail_run(
    upstreams: &Upstreams,
    request: &mut Request,
    run: PendingRun,
    error: &AttemptError,
) {
    let PendingRun {
        server,
        run,
        response,
        work,
        left,
        ..
    } = run;
    // Closes the connection.
    drop(response);
    note_failed_run(upstreams, request, run, &server, error).await;
    drop(work);
    if let Some(left) = left {
        request.tried.remove(&left.id);
    }
}

async fn note_failed_run(
    upstreams: &Upstreams,
    request: &mut Request,
    run: RunGuard,
    server: &Arc<ServerRecord>,
    error: &AttemptError,
) {
    let interrupted_run = InterruptedRun {
        error,
        output_duration: None,
    };
    upstreams
        .check_for_crash(run, server, &interrupted_run)
        .await;
    record_failure(upstreams, request, server, error);
    let limit = ColdLimit::of(upstreams.node(), &request.service);
    if error.ran == Ran::No && limit.is_some_and(|limit| !limit.allows(server)) {
        // The rate limit refused the request before it was sent, so the server stays eligible.
        request.tried.remove(&server.id);
    }
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

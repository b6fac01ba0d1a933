//! Runs one item on one server.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::{InFlight, WorkKind};
use dappleyard_crashes::{Feature, RunGuard};
use dappleyard_ingress::{
    Attempt, AttemptError, EventSplitter, Exchange, IncompleteOutput, InterruptedRun, Metrics,
    OutputLimits, Ran, SilenceLimits,
};
use dappleyard_model::{
    Distance, PromptPart, Route, RunOrigin, ServerRecord, SoftwareVersion, TenantHeader,
};
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::expiry::may_abandon;
use crate::messages::StoredItem;
use crate::owned::{Item, OwnedJob, Progress};
use crate::progress::{ProgressMonitor, within_stall_limit};
use crate::runner::Runner;
use dappleyard_clock::Instant;

/// Time without data from the server after which a run is abandoned and the item is retried elsewhere.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which an unreachable server is marked as suspect.
const SUSPECT_DURATION: Duration = Duration::from_millis(1_200);
/// Delay before a retry if the server did not run the item.
const RETRY_DELAY_NOT_RUN: Duration = Duration::from_millis(120);
/// Delay before a retry after an interrupted run.
const RETRY_DELAY_BROKEN: Duration = Duration::from_millis(40);
/// Delay before a retry after a server crash, for each server that has crashed while running the item. Online
/// requests on the crashed server are retried at once; if one of them causes the crashes, it fails again before
/// the item is placed beside it.
const RETRY_DELAY_PER_CRASH: Duration = Duration::from_millis(500);
/// Size limit in bytes of a failure response that is read to the end.
const MAX_FAILURE_BODY_BYTES: usize = 256 * 1024;
/// HTTP status for an item that the server can never process.
const STATUS_UNPROCESSABLE: u16 = 422;

/// A run that has been registered but not yet sent.
pub(crate) struct StartedRun {
    /// Counts the item towards the server's load.
    pub(crate) work: InFlight,
    /// Registers the run with crash tracking.
    pub(crate) run: RunGuard,
}

/// Records the start of a run, so that runs of one item at several servers show before they end.
fn log_started(runner: &Runner, job: &OwnedJob, index: usize, server: &ServerRecord) {
    runner.node.log.write("item_started", || {
        let state = job.state.borrow();
        let item = &state.items[index];
        serde_json::json!({"job": job.job, "item": item.stored.id, "server": server.id,
            "epoch": state.row.epoch, "runs": item.runs, "after_event": item.last_event})
    });
}

enum RunOutcome {
    Completed,
    /// The server rejected the item permanently.
    Unprocessable,
    /// The server responded with this failure status.
    Failed(u16),
    /// The run was interrupted or could not be started.
    Interrupted(AttemptError),
}

pub(crate) async fn run_item(
    runner: Rc<Runner>,
    job: Rc<OwnedJob>,
    index: usize,
    server: Arc<ServerRecord>,
    route: Route,
    started_run: StartedRun,
) {
    let started = Instant::now();
    log_started(&runner, &job, index, &server);
    let events_before = job.state.borrow().items[index].events;
    let run_outcome = run(&runner, &job, index, &server, &route, started_run).await;
    let events_after = job.state.borrow().items[index].events;
    let mut estimate = runner.estimate.get();
    estimate.record_run(
        events_after - events_before,
        started.elapsed().as_millis() as u64,
    );
    if matches!(run_outcome, RunOutcome::Completed) {
        estimate.record_events(events_after);
    }
    runner.estimate.set(estimate);
    record_outcome(&runner, &job, index, &server, &route, run_outcome);
    runner.wake.notify_one();
}

async fn run(
    runner: &Rc<Runner>,
    job: &Rc<OwnedJob>,
    index: usize,
    server: &Arc<ServerRecord>,
    route: &Route,
    mut started_run: StartedRun,
) -> RunOutcome {
    let (request, last_event, origin, host, tenant) = {
        let state = job.state.borrow();
        let (item, row) = (&state.items[index], &state.row);
        let (host, tenant) = (row.host.clone(), row.tenant.clone());
        let origin = item.origin.clone();
        (item.stored.clone(), item.last_event, origin, host, tenant)
    };
    let headers = item_headers(runner, &request, &host);
    let homes = runner.item_homes(route, &tenant);
    let attempt = Attempt {
        method: &Method::POST,
        target: &request.path,
        headers: &headers,
        body: &request.body,
        id: &request.id,
        remaining_ms: None,
        last_event_id: last_event,
        origin: origin.as_ref(),
        tenant: tenant_header(runner, &tenant),
        homes: &homes,
        limits: SilenceLimits::abandoning_after(SERVER_IDLE_TIMEOUT),
    };
    let attempting = runner.upstreams.attempt(server, &attempt);
    let mut exchange = match within_stall_limit(attempting).await {
        Ok(exchange) => exchange,
        Err(error) => {
            let interrupted_run = InterruptedRun {
                error: &error,
                output_duration: None,
            };
            runner
                .upstreams
                .check_for_crash(started_run.run, server, &interrupted_run)
                .await;
            return RunOutcome::Interrupted(error);
        }
    };
    mark_response_started(job, index);
    let status = exchange.head.status;
    if status / 100 != 2 {
        started_run.work.prompt_read();
        // Drains the body, so that the connection can be reused; only the status matters.
        let reading = exchange.connection.discard_body(MAX_FAILURE_BODY_BYTES);
        if let Ok(Err(error)) = dappleyard_clock::timeout(SERVER_IDLE_TIMEOUT, reading).await {
            let error = AttemptError::truncated_response(&error);
            let upstreams = &runner.upstreams;
            upstreams.note_invalid_answer(server, &request.id, &error);
        }
        runner.upstreams.release(exchange);
        return match status {
            STATUS_UNPROCESSABLE => RunOutcome::Unprocessable,
            status => RunOutcome::Failed(status),
        };
    }
    let output_since = Cell::new(None);
    match read_output(
        runner,
        job,
        index,
        &mut exchange,
        &mut started_run,
        &output_since,
    )
    .await
    {
        Ok(()) => {
            runner.upstreams.note_served(&started_run.run);
            runner.upstreams.release(exchange);
            RunOutcome::Completed
        }
        Err(error) => {
            runner
                .upstreams
                .note_invalid_answer(server, &request.id, &error);
            // Ends the run before anything else is waited for.
            drop(exchange);
            let interrupted_run = InterruptedRun {
                error: &error,
                output_duration: output_since.get().map(|since: Instant| since.elapsed()),
            };
            runner
                .upstreams
                .check_for_crash(started_run.run, server, &interrupted_run)
                .await;
            RunOutcome::Interrupted(error)
        }
    }
}

/// Records that the server has started to respond, which makes the run preemptible again.
fn mark_response_started(job: &OwnedJob, index: usize) {
    let mut state = job.state.borrow_mut();
    let item = &mut state.items[index];
    item.response_started = true;
    item.pauses_before_response = 0;
}

/// Appends events to the item's text until the response is complete, and records when the first one arrived.
async fn read_output(
    runner: &Rc<Runner>,
    job: &Rc<OwnedJob>,
    index: usize,
    exchange: &mut Exchange,
    started_run: &mut StartedRun,
    output_since: &Cell<Option<Instant>>,
) -> Result<(), AttemptError> {
    let StartedRun {
        work,
        run: tracked_run,
    } = started_run;
    let mut splitter = EventSplitter::default();
    let mut incomplete = IncompleteOutput::new(runner.node.clone());
    let (events_before, limits) = {
        let item = &job.state.borrow().items[index];
        (item.events, OutputLimits::of(item.stored.tokens))
    };
    let mut progress = ProgressMonitor::new(limits);
    loop {
        let connection = &mut exchange.connection;
        let reading = async {
            let piece = connection.next_piece().await;
            piece.map_err(|error| AttemptError::truncated_response(&error))
        };
        let suspect_after = runner
            .node
            .response_times
            .gap_timeout(&exchange.server.service);
        let silence_limits =
            SilenceLimits::abandoning_after(SERVER_IDLE_TIMEOUT).suspecting_after(suspect_after);
        let waiting =
            runner
                .upstreams
                .with_silence_limits(&exchange.server, silence_limits, reading);
        let Some(piece) = within_stall_limit(waiting).await? else {
            break;
        };
        work.prompt_read();
        runner.node.loads.note_received(&exchange.server.id);
        splitter.push(&piece);
        let mut state = job.state.borrow_mut();
        let item = &mut state.items[index];
        while let Some(event) = splitter.next_event() {
            progress.note_event(add_event(item, &event)?);
            progress.check_output(item)?;
            let server = &exchange.server;
            item.origin.get_or_insert_with(|| RunOrigin::of(server));
            let since = output_since.get().unwrap_or_else(Instant::now);
            output_since.set(Some(since));
            runner.upstreams.note_output(tracked_run, since.elapsed());
        }
        progress.check_incomplete(&splitter)?;
        let held = incomplete.set(splitter.held_bytes());
        held.map_err(AttemptError::output_exceeded)?;
    }
    if !splitter.rest().is_empty() {
        let reason = "the response ended inside an event";
        return Err(AttemptError::ended_early(reason));
    }
    if exchange.is_framed() {
        return Ok(());
    }
    let server = &exchange.server;
    if runner.upstreams.may_be_cut(server, true).await {
        let reason = "the server ended with its connection";
        return Err(AttemptError::ended_early(reason));
    }
    // The end of an unframed response does not show whether it is whole. It is once a server that is asked for the rest
    // has none.
    let events = job.state.borrow().items[index].events;
    match events == events_before && events > 0 {
        true => Ok(()),
        false => Err(interrupted("the response may have a rest")),
    }
}

fn interrupted(reason: &str) -> AttemptError {
    AttemptError::local(Ran::Yes, reason)
}

/// Appends an event to the item's text. An event that the item has already means that the server did not resume. Returns
/// whether the event brings the item further.
fn add_event(item: &mut Item, event: &dappleyard_ingress::Event) -> Result<bool, AttemptError> {
    if event.id.is_some() && event.id <= item.last_event {
        return Err(interrupted("the server repeated an event"));
    }
    let data = event.data();
    let progress = event.id.is_some() || data.is_some();
    if let Some(data) = data {
        if item.events > 0 {
            item.text.push('\n');
        }
        item.text.push_str(&data);
        item.events += 1;
    }
    item.last_event = event.id.or(item.last_event);
    Ok(progress)
}

/// Adds an item to a server's load. This happens before its task runs, so that the next placement decision sees it.
pub(crate) fn begin_in_flight(
    runner: &Runner,
    item: &StoredItem,
    host: &str,
    server: &ServerRecord,
) -> InFlight {
    let headers = item_headers(runner, item, host);
    let tokens = runner.node.dialect.request_metadata(&headers).tokens_in;
    runner.node.loads.begin(server, WorkKind::Batch, tokens)
}

/// Parts of an item's prompt.
pub(crate) fn prompt_parts(runner: &Runner, item: &StoredItem, host: &str) -> Vec<PromptPart> {
    let headers = item_headers(runner, item, host);
    runner.node.dialect.request_metadata(&headers).parts
}

/// Tenant header that is sent to the server with a job's items.
fn tenant_header<'a>(runner: &Runner, tenant: &'a str) -> TenantHeader<'a> {
    let configuration = runner.node.view.configuration();
    let has_tenants = configuration.is_some_and(|current| current.tenants.is_some());
    match (tenant.is_empty(), has_tenants) {
        (false, _) => TenantHeader::Tenant(tenant),
        (true, true) => TenantHeader::NoTenant,
        (true, false) => TenantHeader::Unchanged,
    }
}

/// Headers of the request for an item, without invalid ones.
fn item_headers(runner: &Runner, item: &StoredItem, host: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::from_str(host) {
        headers.insert(HOST, host);
    }
    if let Ok(id) = HeaderValue::from_str(&item.id) {
        headers.insert(runner.node.dialect.request_id_header(), id);
    }
    for header in &item.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    if !headers.contains_key(CONTENT_TYPE) {
        let octet_stream = HeaderValue::from_static("application/octet-stream");
        headers.insert(CONTENT_TYPE, octet_stream);
    }
    headers
}

/// Finishes the item or schedules its next run, depending on the outcome of the last one.
fn record_outcome(
    runner: &Runner,
    job: &OwnedJob,
    index: usize,
    server: &ServerRecord,
    route: &Route,
    run_outcome: RunOutcome,
) {
    let mut outcome = "again";
    let mut finished = None;
    {
        let mut state = job.state.borrow_mut();
        let item = &mut state.items[index];
        item.active_run = None;
        item.runs += 1;
        item.progress = Progress::Waiting;
        match &run_outcome {
            RunOutcome::Completed => {
                outcome = "completed";
                finished = Some(true);
            }
            RunOutcome::Unprocessable => {
                outcome = "abandoned";
                finished = Some(false);
            }
            RunOutcome::Failed(_) => {
                item.failures += 1;
                item.not_before = Some(Instant::now() + RETRY_DELAY_NOT_RUN);
                if item.failures >= route.max_attempts && may_abandon(runner, job) {
                    outcome = "abandoned";
                    finished = Some(false);
                }
            }
            RunOutcome::Interrupted(error) => {
                let crashed = runner
                    .node
                    .crashes
                    .ended_under(&Feature::Request(item.features.request()))
                    .len() as u32;
                let retry_delay = match error.ran {
                    Ran::No => RETRY_DELAY_NOT_RUN,
                    _ if error.broken_off && crashed > 0 => RETRY_DELAY_PER_CRASH * crashed,
                    _ => RETRY_DELAY_BROKEN,
                };
                item.not_before = Some(Instant::now() + retry_delay);
                item.avoided_address = Some(server.address);
                if error.invalid.is_some() && item.events > 0 {
                    // What came before is no more certain to be right.
                    item.restart();
                    Metrics::count(&runner.node.metrics.items_restarted);
                }
            }
        }
    }
    if let Some(completed) = finished {
        job.finish(index, completed);
    }
    log_outcome(runner, job, index, server, &run_outcome, outcome);
}

/// Logs the end of a run and updates the metrics; marks an unreachable server as suspect.
fn log_outcome(
    runner: &Runner,
    job: &OwnedJob,
    index: usize,
    server: &ServerRecord,
    run_outcome: &RunOutcome,
    outcome: &str,
) {
    let (status, cause) = match run_outcome {
        RunOutcome::Completed => (200, String::new()),
        RunOutcome::Unprocessable => (STATUS_UNPROCESSABLE, String::new()),
        RunOutcome::Failed(status) => (*status, String::new()),
        RunOutcome::Interrupted(error) => {
            if error.ran > Ran::No {
                Metrics::count(&runner.node.metrics.items_again);
            }
            if error.unreachable {
                runner.node.loads.mark_suspect(&server.id, SUSPECT_DURATION);
            }
            (0, error.reason.clone())
        }
    };
    let state = job.state.borrow();
    let item = &state.items[index];
    let distance = runner.node.view.zone_distances().distance(&server.zone);
    if distance == Distance::OtherRegion {
        Metrics::count(&runner.node.metrics.items_left_region);
    }
    runner.node.log.write("item_run", || {
        serde_json::json!({"job": job.job, "item": item.stored.id, "server": server.id,
            "version": server.version.as_ref().map(SoftwareVersion::as_str),
            "distance": distance.to_string(), "epoch": state.row.epoch, "status": status, "cause": cause, "runs": item.runs,
            "failures": item.failures, "events": item.events, "outcome": outcome})
    });
}

//! Runs one item at one server.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::{InFlight, WorkKind};
use dappleyard_crashes::RunUnderWay;
use dappleyard_ingress::{
    Attempt, AttemptError, Broken, EventSplitter, Exchange, Metrics, Patience, Ran,
};
use dappleyard_model::{Distance, Route, ServerRecord, TenantStamp};
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::messages::StoredItem;
use crate::owned::{Item, OwnedJob, Progress};
use crate::runner::Runner;
use dappleyard_clock::Instant;

/// Silence of a server after which an item goes to another one.
const SERVER_PATIENCE: Duration = Duration::from_millis(1_500);
/// Time for which a server that broke or fell silent is avoided.
const SUSPECT_TIME: Duration = Duration::from_millis(1_200);
/// Pause before an item is sent again after a server did not take it.
const PAUSE_NOT_RUN: Duration = Duration::from_millis(120);
/// Pause before an item is sent again after a run that broke.
const PAUSE_BROKEN: Duration = Duration::from_millis(40);
/// Pause before an item is sent again after its server has ended, for each server that ended under it. Online
/// requests that ran beside it go on at once: the one that crashes servers has ended its next one within 0.2 s, and
/// the item is not there.
const PAUSE_ENDED: Duration = Duration::from_millis(500);
/// Longest failure answer that is read, bytes.
const FAILURE_BYTES: usize = 256 * 1024;
/// Status of an item that can never be done.
const NEVER: u16 = 422;

/// A run that begins.
pub(crate) struct BegunRun {
    /// The work at the server.
    pub(crate) work: InFlight,
    /// The run, as it is counted over all nodes.
    pub(crate) run: RunUnderWay,
}

/// How a run ended.
enum RunEnd {
    /// The whole output is there.
    Whole,
    /// The server answered that it can never be done.
    Never,
    /// The server answered with a failure.
    Failure(u16),
    /// The run broke, or did not begin.
    Broke(AttemptError),
}

/// Runs an item and notes how the run ended.
pub(crate) async fn run_item(
    runner: Rc<Runner>,
    job: Rc<OwnedJob>,
    index: usize,
    server: Arc<ServerRecord>,
    route: Route,
    begun: BegunRun,
) {
    let started = Instant::now();
    let events = job.state.borrow().items[index].events;
    let end = run(&runner, &job, index, &server, &route, begun).await;
    let now_events = job.state.borrow().items[index].events;
    let mut estimate = runner.estimate.get();
    estimate.note_run(now_events - events, started.elapsed().as_millis() as u64);
    if matches!(end, RunEnd::Whole) {
        estimate.note_events(now_events);
    }
    runner.estimate.set(estimate);
    note_end(&runner, &job, index, &server, &route, end);
    runner.wake.notify_one();
}

async fn run(
    runner: &Rc<Runner>,
    job: &Rc<OwnedJob>,
    index: usize,
    server: &Arc<ServerRecord>,
    route: &Route,
    begun: BegunRun,
) -> RunEnd {
    let BegunRun {
        mut work,
        run: counted,
    } = begun;
    let (request, last_event, host, tenant) = {
        let state = job.state.borrow();
        let (item, row) = (&state.items[index], &state.row);
        let (host, tenant) = (row.host.clone(), row.tenant.clone());
        (item.stored.clone(), item.last_event, host, tenant)
    };
    let headers = item_headers(runner, &request, &host);
    let homes = runner.homes(route, &tenant);
    let attempt = Attempt {
        method: &Method::POST,
        target: &request.path,
        headers: &headers,
        body: &request.body,
        id: &request.id,
        remaining_ms: None,
        last_event_id: last_event,
        tenant: stamp(runner, &tenant),
        homes: &homes,
        patience: Patience::leave_after(SERVER_PATIENCE),
    };
    let mut exchange = match runner.upstreams.attempt(server, &attempt).await {
        Ok(exchange) => exchange,
        Err(error) => {
            let broken = Broken {
                error: &error,
                output_for: None,
            };
            runner.upstreams.judge(counted, server, &broken).await;
            return RunEnd::Broke(error);
        }
    };
    note_answered(job, index);
    let status = exchange.head.status;
    if status / 100 != 2 {
        work.prompt_read();
        // Only the status matters; the body is read so that the connection can be used again.
        let reading = exchange.connection.whole_body(FAILURE_BYTES);
        let _ = dappleyard_clock::timeout(SERVER_PATIENCE, reading).await;
        runner.upstreams.release(exchange);
        return match status {
            NEVER => RunEnd::Never,
            status => RunEnd::Failure(status),
        };
    }
    let output_since = Cell::new(None);
    match collect(runner, job, index, &mut exchange, &mut work, &output_since).await {
        Ok(()) => {
            runner.upstreams.note_served(&counted);
            runner.upstreams.release(exchange);
            RunEnd::Whole
        }
        Err(error) => {
            let broken = Broken {
                error: &error,
                output_for: output_since.get().map(|since: Instant| since.elapsed()),
            };
            runner.upstreams.judge(counted, server, &broken).await;
            RunEnd::Broke(error)
        }
    }
}

/// The server's answer has begun: the run may be paused again.
fn note_answered(job: &OwnedJob, index: usize) {
    let mut state = job.state.borrow_mut();
    let item = &mut state.items[index];
    item.answered = true;
    item.paused_unanswered = 0;
}

/// Adds events to the item's text until the answer is whole, and notes when the first of them came.
async fn collect(
    runner: &Rc<Runner>,
    job: &Rc<OwnedJob>,
    index: usize,
    exchange: &mut Exchange,
    work: &mut InFlight,
    output_since: &Cell<Option<Instant>>,
) -> Result<(), AttemptError> {
    let mut splitter = EventSplitter::default();
    loop {
        let connection = &mut exchange.connection;
        let reading = async {
            let piece = connection.next_piece().await;
            piece.map_err(|error| AttemptError::inside_answer(&error))
        };
        let notice = runner.node.times.pause_notice(&exchange.server.service);
        let patience = Patience::leave_after(SERVER_PATIENCE).notice_after(notice);
        let waiting = runner
            .upstreams
            .with_patience(&exchange.server, patience, reading);
        let Some(piece) = waiting.await? else {
            break;
        };
        work.prompt_read();
        runner.node.loads.heard(&exchange.server.id);
        splitter.push(&piece);
        let mut state = job.state.borrow_mut();
        let item = &mut state.items[index];
        while let Some(event) = splitter.next_event() {
            add_event(item, &event)?;
            output_since.set(output_since.get().or_else(|| Some(Instant::now())));
        }
    }
    if !splitter.rest().is_empty() {
        return Err(cut("the answer ended inside an event"));
    }
    if !exchange.is_framed() {
        // The end of the connection does not show that the output is whole: ask for the rest.
        return Err(cut("the answer has no end of its own"));
    }
    Ok(())
}

fn cut(reason: &str) -> AttemptError {
    AttemptError::own(Ran::Yes, reason)
}

fn add_event(item: &mut Item, event: &dappleyard_ingress::Event) -> Result<(), AttemptError> {
    if event.id.is_some() && event.id <= item.last_event {
        return Err(cut("an event came twice"));
    }
    if let Some(data) = event.data() {
        if item.events > 0 {
            item.text.push('\n');
        }
        item.text.push_str(&data);
        item.events += 1;
    }
    item.last_event = event.id.or(item.last_event);
    Ok(())
}

/// Notes that an item begins at a server. This happens before its task runs, so that the next
/// choice of a server sees it.
pub(crate) fn begin_work(
    runner: &Runner,
    item: &StoredItem,
    host: &str,
    server: &ServerRecord,
) -> InFlight {
    let headers = item_headers(runner, item, host);
    let tokens = runner.node.dialect.request_facts(&headers).tokens_in;
    runner.node.loads.begin(server, WorkKind::Batch, tokens)
}

/// What servers are told of the tenant of a job's items.
fn stamp<'a>(runner: &Runner, tenant: &'a str) -> TenantStamp<'a> {
    let configuration = runner.node.view.configuration();
    let has_tenants = configuration.is_some_and(|held| held.tenants.is_some());
    match (tenant.is_empty(), has_tenants) {
        (false, _) => TenantStamp::Tenant(tenant),
        (true, true) => TenantStamp::Nobody,
        (true, false) => TenantStamp::Untouched,
    }
}

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
        let octets = HeaderValue::from_static("application/octet-stream");
        headers.insert(CONTENT_TYPE, octets);
    }
    headers
}

fn note_end(
    runner: &Runner,
    job: &OwnedJob,
    index: usize,
    server: &ServerRecord,
    route: &Route,
    end: RunEnd,
) {
    let mut outcome = "again";
    let mut finished = None;
    {
        let mut state = job.state.borrow_mut();
        let item = &mut state.items[index];
        item.task = None;
        item.runs += 1;
        item.progress = Progress::Waiting;
        match &end {
            RunEnd::Whole => {
                outcome = "completed";
                finished = Some(true);
            }
            RunEnd::Never => {
                outcome = "abandoned";
                finished = Some(false);
            }
            RunEnd::Failure(_) => {
                item.failures += 1;
                item.not_before = Some(Instant::now() + PAUSE_NOT_RUN);
                if item.failures >= route.max_attempts {
                    outcome = "abandoned";
                    finished = Some(false);
                }
            }
            RunEnd::Broke(error) => {
                let ended = runner.node.crashes.ended_under(&item.fingerprint).len() as u32;
                let pause = match error.ran {
                    Ran::No => PAUSE_NOT_RUN,
                    _ if error.broken_off && ended > 0 => PAUSE_ENDED * ended,
                    _ => PAUSE_BROKEN,
                };
                item.not_before = Some(Instant::now() + pause);
                item.avoid = Some(server.id.clone());
            }
        }
    }
    if let Some(completed) = finished {
        job.finish(index, completed);
    }
    log_end(runner, job, index, server, &end, outcome);
}

fn log_end(
    runner: &Runner,
    job: &OwnedJob,
    index: usize,
    server: &ServerRecord,
    end: &RunEnd,
    outcome: &str,
) {
    let (status, cause) = match end {
        RunEnd::Whole => (200, String::new()),
        RunEnd::Never => (NEVER, String::new()),
        RunEnd::Failure(status) => (*status, String::new()),
        RunEnd::Broke(error) => {
            if error.ran > Ran::No {
                Metrics::count(&runner.node.metrics.items_again);
            }
            if error.unreachable {
                runner.node.loads.suspect(&server.id, SUSPECT_TIME);
            }
            (0, error.reason.clone())
        }
    };
    let state = job.state.borrow();
    let item = &state.items[index];
    let distance = runner.node.view.ways().distance(&server.zone);
    if distance == Distance::OtherRegion {
        Metrics::count(&runner.node.metrics.items_left_region);
    }
    runner.node.log.write("item_run", || {
        serde_json::json!({"job": job.job, "item": item.stored.id, "server": server.id,
            "distance": distance.to_string(), "epoch": state.row.epoch, "status": status, "cause": cause, "runs": item.runs,
            "failures": item.failures, "events": item.events, "outcome": outcome})
    });
}

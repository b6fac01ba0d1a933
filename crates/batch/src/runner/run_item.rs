//! A single attempt to run an item on an engine.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_crashes::{Fingerprint, Permit, PromptPartId, RequestFeatures, RequestParts};
use dappleyard_engine::{EngineError, EngineEvent, GenerateCall, Priority};
use dappleyard_tables::directory::ServerEntry;
use dappleyard_tables::servers::InFlight;
use dappleyard_wire::ErrorKind;
use dappleyard_wire::ids::RequestId;
use futures::StreamExt;

use super::Runner;
use super::cache::CacheEntryId;
use super::server::{RunningItem, SequenceMemory};
use super::work::WorkItem;
use crate::output::{ItemCompletion, ItemOutcome};

/// Time for which no item is started on a server after a failed attempt, milliseconds.
const SERVER_BACKOFF_MS: u64 = 500;

/// Delay before an item is queued again when the crash tracker does not permit it to run yet.
const CRASH_PERMIT_DELAY: Duration = Duration::from_millis(20);

/// Outcome of an attempt.
enum AttemptOutcome {
    /// The response is complete.
    Completed { reason: String },
    /// The item was paused or stopped; its tokens are kept.
    Paused,
    /// The engine did not run the item.
    NotRun(String),
    /// The server no longer has the model version that generated the earlier tokens.
    VersionGone,
    /// The connection was lost or the response is incomplete; the item may have run.
    Lost(String),
    /// The engine rejected the item permanently.
    Rejected(String),
    /// The item reached the limit of engine crashes.
    CrashLimit,
}

/// Starts an attempt to run an item on a server in a new task.
pub fn start(runner: &Rc<Runner>, entry: ServerEntry, mut item: WorkItem) {
    let attempt = item.next_attempt();
    let request = item.chunk.request_id(item.index);
    let now = runner.tables.clock.now();
    let flight = InFlight {
        tokens: item.kv_tokens(),
        prefill_tokens: item.item().prompt_tokens,
        since: now,
        started: false,
    };
    runner
        .tables
        .servers
        .begin_batch(&entry.server, &request, flight);
    let memory = SequenceMemory::of(&item);
    let mut state = runner.state.borrow_mut();
    let server = state.servers.entry(entry.server.clone()).or_default();
    let warm = item.is_warm_on(&entry.server, &server.cache, now);
    if item.last_server.as_ref() == Some(&entry.server) {
        server.cache.remove_resumed(item.cache_entry);
    }
    let (prefilled_at, is_leader) = match warm {
        true => (now, false),
        false => server.record_prefill(&memory, now),
    };
    let running = RunningItem {
        request: request.clone(),
        attempt,
        chunk: item.chunk.clone(),
        stream: None,
        stopping: false,
        memory,
        started_at: now,
        prefilled_at,
    };
    server.running.push(running);
    drop(state);
    item.is_prefix_leader = is_leader;
    runner.spawn(run_attempt(runner.clone(), entry, item, request, attempt));
}

async fn run_attempt(
    runner: Rc<Runner>,
    entry: ServerEntry,
    mut item: WorkItem,
    request: RequestId,
    attempt: u32,
) {
    let ended = match item.chunk.at_most_once {
        true if !runner.mark_started(&item.chunk, item.index).await => AttemptOutcome::Paused,
        _ => run_tracked(&runner, &entry, &mut item, &request, attempt).await,
    };
    runner.tables.servers.end_batch(&entry.server, &request);
    item.cache_entry = remove_running(&runner, &entry, &request, attempt, &item);
    item.last_server = Some(entry.server.clone());
    item.stopped_at = runner.tables.clock.now();
    handle_outcome(&runner, &entry, item, ended);
    runner.dispatch_wake.notify_one();
    runner.claim_wake.notify_one();
}

/// Removes an ended item from the running items of its server and returns the cache entry of its KV
/// state.
fn remove_running(
    runner: &Runner,
    entry: &ServerEntry,
    request: &RequestId,
    attempt: u32,
    item: &WorkItem,
) -> CacheEntryId {
    let mut state = runner.state.borrow_mut();
    let server = state.servers.entry(entry.server.clone()).or_default();
    let running = &mut server.running;
    running.retain(|running| running.request != *request || running.attempt != attempt);
    server
        .cache
        .insert_ended(SequenceMemory::of(item).own_tokens)
}

fn handle_outcome(
    runner: &Rc<Runner>,
    entry: &ServerEntry,
    mut item: WorkItem,
    ended: AttemptOutcome,
) {
    match ended {
        AttemptOutcome::Completed { reason } => {
            let completion = ItemCompletion {
                pieces: std::mem::take(&mut item.pieces),
                reason,
                version: item.version.clone(),
            };
            runner.record_outcome(&item.chunk, item.index, &ItemOutcome::Completed(completion));
        }
        AttemptOutcome::Rejected(message) => {
            let kind = ErrorKind::InvalidRequest;
            runner.record_outcome(
                &item.chunk,
                item.index,
                &ItemOutcome::Failed { kind, message },
            );
        }
        AttemptOutcome::CrashLimit => {
            let kind = ErrorKind::ServersEnded;
            let message = "engines ended while they ran this item".to_owned();
            runner.record_outcome(
                &item.chunk,
                item.index,
                &ItemOutcome::Failed { kind, message },
            );
        }
        // The engine cancelled an at-most-once item after accepting it, so it may have run.
        AttemptOutcome::Paused if item.chunk.at_most_once && !item.version.is_empty() => {
            runner.record_unknown(&item.chunk, item.index);
        }
        AttemptOutcome::Lost(_) if item.chunk.at_most_once => {
            runner.record_unknown(&item.chunk, item.index)
        }
        AttemptOutcome::VersionGone => {
            runner.metrics.repeated.inc();
            item.pieces.clear();
            item.version.clear();
            runner.state.borrow_mut().requeue(item);
        }
        AttemptOutcome::Lost(reason) | AttemptOutcome::NotRun(reason) => {
            tracing::debug!(reason, server = %entry.server, "a batch item failed; retrying it");
            back_off(runner, entry);
            runner.state.borrow_mut().requeue(item);
        }
        AttemptOutcome::Paused => runner.state.borrow_mut().requeue(item),
    }
}

fn back_off(runner: &Runner, entry: &ServerEntry) {
    let until = runner.tables.clock.now().plus(SERVER_BACKOFF_MS);
    let mut state = runner.state.borrow_mut();
    let server = state.servers.entry(entry.server.clone()).or_default();
    server.backoff_until = until;
}

/// Runs an item if the crash tracker permits it, and reports to the tracker whether the engine
/// crashed.
async fn run_tracked(
    runner: &Runner,
    entry: &ServerEntry,
    item: &mut WorkItem,
    request: &RequestId,
    attempt: u32,
) -> AttemptOutcome {
    let crashes = &runner.tables.crashes;
    let crash_run = match crashes.begin(&features(item), &entry.server) {
        Ok(crash_run) => crash_run,
        Err(Permit::Refused) => return AttemptOutcome::CrashLimit,
        Err(_) => {
            tokio::time::sleep(CRASH_PERMIT_DELAY).await;
            return AttemptOutcome::Paused;
        }
    };
    let ended = run(runner, entry, item, request, attempt).await;
    match &ended {
        AttemptOutcome::Completed { .. } => crash_run.note_served(),
        AttemptOutcome::Lost(_) => {
            let engine_status = runner.engine.status(&entry.base_url).await;
            if matches!(engine_status, Err(EngineError::Unreachable { .. })) {
                let clock = &runner.tables.clock;
                let ended = crash_run.note_ended(clock.now(), clock.unix_ms());
                tracing::info!(%request, server = %entry.server, ended,
                    "engine became unreachable while running an item");
            }
        }
        _ => {}
    }
    ended
}

/// Features of an item in the crash tracker.
fn features(item: &WorkItem) -> RequestFeatures {
    let input = item.item();
    let fingerprint = Fingerprint::of(&RequestParts {
        caller: &item.chunk.tenant,
        method: "",
        host: &input.service,
        target: &input.adapter,
        body: input.prompt.as_bytes(),
    });
    // A prefix as long as the prompt belongs to the item alone.
    let is_shared = (1..input.prompt_tokens).contains(&input.prefix_tokens);
    let prefix = is_shared.then_some(PromptPartId(input.prefix_hash));
    RequestFeatures::new(fingerprint, prefix)
}

async fn run(
    runner: &Runner,
    entry: &ServerEntry,
    item: &mut WorkItem,
    request: &RequestId,
    attempt: u32,
) -> AttemptOutcome {
    if item.chunk.is_stopped() {
        return AttemptOutcome::Paused;
    }
    if !item.pieces.is_empty() {
        runner.metrics.resumes.inc();
    }
    let call = generate_call(item, request, attempt);
    let mut events = match runner.engine.generate(&entry.base_url, call).await {
        Ok(events) => events,
        Err(error) => return outcome_of_error(error, item),
    };
    while let Some(event) = events.next().await {
        match event {
            Ok(EngineEvent::Accepted { stream, version }) => {
                item.version = version;
                record_stream(runner, entry, request, attempt, stream).await;
            }
            Ok(EngineEvent::Tokens { offset, pieces }) => {
                mark_prefix_cached(runner, entry, item);
                append_tokens(item, offset, pieces);
            }
            Ok(EngineEvent::Finished {
                reason,
                total_tokens,
                ..
            }) => {
                return outcome_of_finish(item, reason, total_tokens);
            }
            Err(error) => return outcome_of_error(error, item),
        }
    }
    AttemptOutcome::Lost("the stream closed without a finish event".to_owned())
}

fn generate_call(item: &WorkItem, request: &RequestId, attempt: u32) -> GenerateCall {
    let input = item.item();
    GenerateCall {
        request_id: request.to_string(),
        attempt,
        service: input.service.clone(),
        version: item.version.clone(),
        adapter: input.adapter.clone(),
        prompt: input.prompt.clone(),
        prompt_tokens: input.prompt_tokens,
        prefix_hash: input.prefix_hash,
        prefix_tokens: input.prefix_tokens,
        max_tokens: input.max_tokens,
        priority: Priority::BATCH,
        resume_offset: u32::try_from(item.pieces.len()).unwrap_or(u32::MAX),
        attach_stream: String::new(),
        attach_only: false,
        // The first token of the leader shows that the shared prefix is computed.
        stream: item.is_prefix_leader,
    }
}

/// Records the engine stream, and cancels it if the item was stopped in the meantime.
async fn record_stream(
    runner: &Runner,
    entry: &ServerEntry,
    request: &RequestId,
    attempt: u32,
    stream: String,
) {
    let stopping = {
        let mut state = runner.state.borrow_mut();
        let server = state.servers.entry(entry.server.clone()).or_default();
        let running = server
            .running
            .iter_mut()
            .find(|running| running.request == *request && running.attempt == attempt);
        running.is_some_and(|running| {
            running.stream = Some(stream.clone());
            running.stopping
        })
    };
    if stopping {
        cancel_streams(runner, &entry.base_url, &[stream]).await;
    }
}

/// Cancels streams on an engine. A failure is only logged: the streams run on, and the loss of an
/// engine is detected on the streams themselves.
pub async fn cancel_streams(runner: &Runner, base: &str, streams: &[String]) {
    if let Err(error) = runner.engine.cancel_all(base, streams).await {
        tracing::debug!(%error, base, "failed to cancel streams");
    }
}

/// Marks a shared prefix as computed on the first token of its leader and wakes the dispatcher.
fn mark_prefix_cached(runner: &Runner, entry: &ServerEntry, item: &mut WorkItem) {
    if !std::mem::take(&mut item.is_prefix_leader) {
        return;
    }
    let now = runner.tables.clock.now();
    let prefix = item.item().prefix_hash;
    let mut state = runner.state.borrow_mut();
    let server = state.servers.entry(entry.server.clone()).or_default();
    server.set_prefix_cached(prefix, now);
    runner.dispatch_wake.notify_one();
}

/// Appends tokens at an offset. Tokens that overlap earlier ones are skipped; tokens after a gap
/// are dropped.
fn append_tokens(item: &mut WorkItem, offset: u32, pieces: Vec<String>) {
    let known = item.pieces.len();
    let offset = offset as usize;
    if offset <= known {
        item.pieces.extend(pieces.into_iter().skip(known - offset));
    }
}

fn outcome_of_finish(item: &WorkItem, reason: String, total_tokens: u32) -> AttemptOutcome {
    if reason == "cancelled" {
        return AttemptOutcome::Paused;
    }
    match item.pieces.len() == total_tokens as usize {
        true => AttemptOutcome::Completed { reason },
        false => AttemptOutcome::Lost("the response is missing tokens".to_owned()),
    }
}

fn outcome_of_error(error: EngineError, item: &WorkItem) -> AttemptOutcome {
    match error {
        EngineError::Lost { reason } => AttemptOutcome::Lost(reason),
        EngineError::Unreachable { reason } => AttemptOutcome::NotRun(reason),
        EngineError::Refused { status: 404, .. } if !item.version.is_empty() => {
            AttemptOutcome::VersionGone
        }
        EngineError::Refused { status, reason } => match status {
            400 | 413 | 422 => AttemptOutcome::Rejected(reason),
            _ => AttemptOutcome::NotRun(reason),
        },
    }
}

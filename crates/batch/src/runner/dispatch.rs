//! Dispatch of items to servers. The batch width of each server is recomputed whenever its online
//! load changes, and items are started or paused to match it.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::time::Millis;
use dappleyard_decide::width::{self, WidthInputs};
use dappleyard_decide::windows::{self, WindowState};
use dappleyard_engine::EngineReport;
use dappleyard_settings::BatchPolicy;
use dappleyard_tables::servers::OwnedServer;
use dappleyard_wire::ids::ServerId;

use super::server::{RunningItem, ServerState};
use super::work::WorkItem;
use super::{Runner, run_item};

/// Maximum interval between dispatch runs, milliseconds.
const DISPATCH_INTERVAL_MS: u64 = 20;
/// Gap between dispatch runs above which the process counts as having been suspended, milliseconds.
const SUSPENSION_MS: u64 = 500;
/// Estimated KV memory of an additional batch sequence, tokens.
const NEW_SEQUENCE_TOKENS: u32 = 500;
/// Upper bound on the estimated prefill backlog of a server with online requests, milliseconds.
const MAXIMUM_PREFILL_BACKLOG_MS: u64 = 20;
/// Share of the KV memory that is allocated, percent.
const MEMORY_PERCENT: u32 = 97;

/// Keeps all owned servers at their batch width; never returns.
pub async fn run(runner: Rc<Runner>) {
    let mut online = runner.tables.servers.subscribe();
    let mut last_run = runner.tables.clock.now();
    loop {
        tokio::select! {
            _ = online.changed() => {}
            () = runner.dispatch_wake.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(DISPATCH_INTERVAL_MS)) => {}
        }
        online.borrow_and_update();
        let now = runner.tables.clock.now();
        if now.since(last_run) > SUSPENSION_MS {
            runner.state.borrow_mut().resumed_at = now;
        }
        last_run = now;
        dispatch_all(&runner);
    }
}

fn dispatch_all(runner: &Rc<Runner>) {
    for server in runner.tables.servers.all() {
        let width = decide_width(runner, &server);
        let id = server.entry.server.clone();
        runner
            .tables
            .servers
            .with(&id, |state| state.batch_width = width);
        cancel_stopped(runner, &server);
        pause_prefills(runner, &server);
        let running = active_streams(runner, &id);
        if running > width {
            pause_newest(runner, &server, running - width);
        } else {
            start_items(runner, &server, width - running);
        }
    }
    let state = runner.state.borrow();
    let count = |items: usize| i64::try_from(items).unwrap_or(i64::MAX);
    runner.metrics.waiting.set(count(state.queued_total()));
    runner.metrics.running.set(count(state.running_total()));
    runner.metrics.held_bytes.set(count(state.held_bytes));
}

fn active_streams(runner: &Runner, server: &ServerId) -> u32 {
    let state = runner.state.borrow();
    state.servers.get(server).map_or(0, ServerState::active)
}

fn decide_width(runner: &Runner, server: &OwnedServer) -> u32 {
    let Some((report, _)) = &server.report else {
        return 0;
    };
    let draining = runner.tables.configuration.current().drains(&server.entry);
    let closed = draining || !server.takes_new_work();
    if closed || runner.settings.policy == BatchPolicy::OnlineOnly {
        return 0;
    }
    let now = runner.tables.clock.now();
    let mut state = runner.state.borrow_mut();
    let server_state = state
        .servers
        .entry(server.entry.server.clone())
        .or_default();
    update_step_model(server_state, report, now);
    let total = report.total_blocks.saturating_mul(report.block_tokens);
    let online_tokens = server.online.values().map(|flight| flight.tokens).sum();
    let batch_tokens = server_state.batch_tokens(now);
    server_state
        .cache
        .set_free_tokens(total.saturating_sub(online_tokens + batch_tokens));
    let mut inputs = WidthInputs {
        model: server_state.step_model,
        online_sequences: u32::try_from(server.online.len()).unwrap_or(u32::MAX),
        online_tokens,
        total_tokens: total / 100 * MEMORY_PERCENT,
        maximum_sequences: report.maximum_sequences,
        batch_sequences: server_state.active(),
        batch_tokens,
        new_sequence_tokens: NEW_SEQUENCE_TOKENS,
        slowdown_percent: runner.slowdown_percent(server.entry.service.as_str()),
        window_percent: runner.window_percent(server.entry.service.as_str()),
    };
    if runner.settings.policy == BatchPolicy::SharedQueue {
        inputs.slowdown_percent = u32::MAX;
    }
    width::batch_width(&inputs)
}

/// Updates the step time model from a new engine report.
fn update_step_model(server_state: &mut ServerState, report: &EngineReport, now: Millis) {
    if report.sequence <= server_state.last_report_sequence {
        return;
    }
    let elapsed_ms = now.since(server_state.report_at).max(1) as f64;
    let steps = (elapsed_ms / report.step_ms.max(0.1)).max(1.0);
    let prefill = f64::from(server_state.prefill_tokens_sent) / steps;
    let sequences = report.running_online + report.running_batch;
    server_state.step_model = server_state
        .step_model
        .observe(report.step_ms, sequences, prefill);
    server_state.last_report_sequence = report.sequence;
    server_state.report_at = now;
    server_state.prefill_tokens_sent = 0;
}

/// Cancels the streams of stopped chunks.
fn cancel_stopped(runner: &Rc<Runner>, server: &OwnedServer) {
    let streams = mark_stopping(runner, &server.entry.server, usize::MAX, |running| {
        running.chunk.is_stopped()
    });
    cancel(runner, server, streams);
}

/// Pauses the items in prefill that were dispatched before the oldest online request of the server,
/// because prefill makes steps much longer. Items dispatched later are rate-limited and continue.
fn pause_prefills(runner: &Rc<Runner>, server: &OwnedServer) {
    if runner.settings.policy != BatchPolicy::Preempt {
        return;
    }
    let now = runner.tables.clock.now();
    let since = server.online.values().map(|flight| flight.since).min();
    let Some(since) = since else {
        return;
    };
    let streams = mark_stopping(runner, &server.entry.server, usize::MAX, |running| {
        running.prefilled_at > now && running.started_at <= since
    });
    if let Some(server_state) = runner
        .state
        .borrow_mut()
        .servers
        .get_mut(&server.entry.server)
    {
        server_state.prefills_done_at = server_state
            .prefills_done_at
            .min(now.plus(MAXIMUM_PREFILL_BACKLOG_MS));
    }
    runner.metrics.pauses.inc_by(streams.len() as u64);
    cancel(runner, server, streams);
}

/// Pauses the `count` newest items.
fn pause_newest(runner: &Rc<Runner>, server: &OwnedServer, count: u32) {
    if runner.settings.policy == BatchPolicy::SharedQueue {
        return;
    }
    let streams = mark_stopping(runner, &server.entry.server, count as usize, |_| true);
    runner.metrics.pauses.inc_by(streams.len() as u64);
    cancel(runner, server, streams);
}

/// Marks up to `count` of the newest matching items as stopping and returns their engine streams.
/// An item that the engine has not accepted yet is cancelled once it is. At-most-once items are
/// only stopped with their chunk.
fn mark_stopping(
    runner: &Runner,
    server: &ServerId,
    count: usize,
    predicate: impl Fn(&RunningItem) -> bool,
) -> Vec<String> {
    let mut state = runner.state.borrow_mut();
    let Some(server) = state.servers.get_mut(server) else {
        return Vec::new();
    };
    let chosen = server
        .running
        .iter_mut()
        .rev()
        .filter(|running| !running.stopping && predicate(running))
        .filter(|running| !running.chunk.at_most_once || running.chunk.is_stopped())
        .take(count);
    let mut streams = Vec::new();
    for running in chosen {
        running.stopping = true;
        streams.extend(running.stream.clone());
    }
    streams
}

fn cancel(runner: &Rc<Runner>, server: &OwnedServer, streams: Vec<String>) {
    if streams.is_empty() {
        return;
    }
    let base = server.entry.base_url.clone();
    let canceller = runner.clone();
    runner.spawn(async move { run_item::cancel_streams(&canceller, &base, &streams).await });
}

/// Starts up to `count` items, those with KV state cached on the server first. Beside online
/// requests, items that need a prefill are rate-limited.
fn start_items(runner: &Rc<Runner>, server: &OwnedServer, count: u32) {
    let now = runner.tables.clock.now();
    let id = &server.entry.server;
    let feed_stale = runner.state.borrow().is_feed_stale();
    if feed_stale || runner.draining.get() || in_backoff(runner, id, now) {
        return;
    }
    let service = server.entry.service.as_str();
    for _ in 0..count {
        let warm = runner.state.borrow_mut().take_warm(service, id, now);
        let Some(item) = warm.or_else(|| take_cold(runner, server, now)) else {
            return;
        };
        run_item::start(runner, server.entry.clone(), item);
    }
}

fn take_cold(runner: &Runner, server: &OwnedServer, now: Millis) -> Option<WorkItem> {
    let id = &server.entry.server;
    let service = server.entry.service.as_str();
    let slowdown = runner.slowdown_percent(service);
    let rate_limited = !server.online.is_empty() && runner.settings.policy == BatchPolicy::Preempt;
    let mut state = runner.state.borrow_mut();
    let server_state = state.servers.entry(id.clone()).or_default();
    if rate_limited {
        let tokens = server_state.last_prefill_tokens;
        let interval = width::prefill_interval_ms(&server_state.step_model, tokens, slowdown);
        if (now.since(server_state.prefilled_at) as f64) < interval {
            return None;
        }
    }
    state.take_cold(service, id, now)
}

fn in_backoff(runner: &Runner, server: &ServerId, now: Millis) -> bool {
    let state = runner.state.borrow();
    let server_state = state.servers.get(server);
    server_state.is_some_and(|server_state| server_state.backoff_until > now)
}

impl Runner {
    /// Share of the batch width that the demand windows of a service allow, percent. It applies
    /// from the warm-up before a window, so that capacity is free when the window opens.
    fn window_percent(&self, service: &str) -> u32 {
        let configuration = self.tables.configuration.current();
        let now_unix_s = self.now_unix_s();
        let windows = configuration.windows.values();
        windows
            .filter(|window| window.service == service)
            .filter(|window| windows::state(window, now_unix_s) != WindowState::Closed)
            .map(|window| window.batch_percent)
            .min()
            .unwrap_or(100)
    }

    /// Allowed slowdown of online steps through batch work, percent.
    fn slowdown_percent(&self, service: &str) -> u32 {
        let configuration = self.tables.configuration.current();
        let row = configuration.services.get(service);
        row.map(|row| row.online_slowdown_percent)
            .filter(|percent| *percent > 0)
            .unwrap_or(self.settings.online_slowdown_percent)
    }
}

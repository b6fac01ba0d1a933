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
const TICK_MS: u64 = 20;
/// Gap between dispatch runs above which the process counts as having been suspended, milliseconds.
const PAUSE_MS: u64 = 500;
/// Estimated KV memory of an additional batch sequence, tokens.
const SEQUENCE_TOKENS: u32 = 500;
/// Upper bound on the estimated prefill backlog of a server with online requests, milliseconds.
const LONGEST_PACED_PREFILL_MS: u64 = 20;
/// Share of the KV memory that is allocated, percent.
const MEMORY_PERCENT: u32 = 97;

/// Keeps all owned servers at their batch width; never returns.
pub async fn run(runner: Rc<Runner>) {
    let mut online = runner.tables.servers.subscribe();
    let mut looked_at = runner.tables.clock.now();
    loop {
        tokio::select! {
            _ = online.changed() => {}
            () = runner.dispatch_wake.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(TICK_MS)) => {}
        }
        online.borrow_and_update();
        let now = runner.tables.clock.now();
        if now.since(looked_at) > PAUSE_MS {
            runner.state.borrow_mut().paused_until = now;
        }
        looked_at = now;
        pump(&runner);
    }
}

fn pump(runner: &Rc<Runner>) {
    for server in runner.tables.servers.all() {
        let width = decide_width(runner, &server);
        let id = server.entry.server.clone();
        runner
            .tables
            .servers
            .with(&id, |state| state.batch_width = width);
        stop_given_up(runner, &server);
        pause_uncomputed(runner, &server);
        let running = active_streams(runner, &id);
        if running > width {
            pause_newest(runner, &server, running - width);
        } else {
            start_items(runner, &server, width - running);
        }
    }
    let state = runner.state.borrow();
    let count = |items: usize| i64::try_from(items).unwrap_or(i64::MAX);
    runner.metrics.waiting.set(count(state.waiting_total()));
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
    let known = state
        .servers
        .entry(server.entry.server.clone())
        .or_default();
    observe(known, report, now);
    let total = report.total_blocks.saturating_mul(report.block_tokens);
    let online_tokens = server.online.values().map(|flight| flight.tokens).sum();
    let batch_tokens = known.batch_tokens(now);
    known
        .cache
        .set_room(total.saturating_sub(online_tokens + batch_tokens));
    let mut inputs = WidthInputs {
        model: known.steps,
        online_sequences: u32::try_from(server.online.len()).unwrap_or(u32::MAX),
        online_tokens,
        total_tokens: total / 100 * MEMORY_PERCENT,
        maximum_sequences: report.maximum_sequences,
        batch_sequences: known.active(),
        batch_tokens,
        new_sequence_tokens: SEQUENCE_TOKENS,
        slowdown_percent: runner.slowdown_percent(server.entry.service.as_str()),
        window_percent: runner.window_percent(server.entry.service.as_str()),
    };
    if runner.settings.policy == BatchPolicy::SharedQueue {
        inputs.slowdown_percent = u32::MAX;
    }
    width::batch_width(&inputs)
}

/// Updates the step time model from a new engine report.
fn observe(known: &mut ServerState, report: &EngineReport, now: Millis) {
    if report.sequence <= known.report_seen {
        return;
    }
    let passed_ms = now.since(known.report_at).max(1) as f64;
    let steps = (passed_ms / report.step_ms.max(0.1)).max(1.0);
    let prefill = f64::from(known.prefill_sent) / steps;
    let sequences = report.running_online + report.running_batch;
    known.steps = known.steps.observe(report.step_ms, sequences, prefill);
    known.report_seen = report.sequence;
    known.report_at = now;
    known.prefill_sent = 0;
}

/// Cancels the streams of stopped chunks.
fn stop_given_up(runner: &Rc<Runner>, server: &OwnedServer) {
    let streams = mark_stopping(runner, &server.entry.server, usize::MAX, |running| {
        running.chunk.is_stopped()
    });
    cancel(runner, server, streams);
}

/// Pauses the items in prefill that were dispatched before the oldest online request of the server,
/// because prefill makes steps much longer. Items dispatched later are rate-limited and continue.
fn pause_uncomputed(runner: &Rc<Runner>, server: &OwnedServer) {
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
    if let Some(known) = runner
        .state
        .borrow_mut()
        .servers
        .get_mut(&server.entry.server)
    {
        known.prefill_free_at = known
            .prefill_free_at
            .min(now.plus(LONGEST_PACED_PREFILL_MS));
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
/// An item that the engine has not accepted yet is cancelled once it is. At-most-once items are only
/// stopped with their chunk.
fn mark_stopping(
    runner: &Runner,
    server: &ServerId,
    count: usize,
    wanted: impl Fn(&RunningItem) -> bool,
) -> Vec<String> {
    let mut state = runner.state.borrow_mut();
    let Some(server) = state.servers.get_mut(server) else {
        return Vec::new();
    };
    let chosen = server
        .running
        .iter_mut()
        .rev()
        .filter(|running| !running.stopping && wanted(running))
        .filter(|running| !running.chunk.once || running.chunk.is_stopped())
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

/// Starts up to `count` items, those with KV state cached on the server first. Beside online requests,
/// items that need a prefill are rate-limited.
fn start_items(runner: &Rc<Runner>, server: &OwnedServer, count: u32) {
    let now = runner.tables.clock.now();
    let id = &server.entry.server;
    let behind = runner.state.borrow().is_behind();
    if behind || runner.draining.get() || avoided(runner, id, now) {
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
    let paced = !server.online.is_empty() && runner.settings.policy == BatchPolicy::Preempt;
    let mut state = runner.state.borrow_mut();
    let known = state.servers.entry(id.clone()).or_default();
    if paced {
        let tokens = known.last_prefill_tokens;
        let interval = width::prefill_interval_ms(&known.steps, tokens, slowdown);
        if (now.since(known.prefilled_at) as f64) < interval {
            return None;
        }
    }
    state.take_cold(service, id, now)
}

fn avoided(runner: &Runner, server: &ServerId, now: Millis) -> bool {
    let state = runner.state.borrow();
    let known = state.servers.get(server);
    known.is_some_and(|known| known.avoid_until > now)
}

impl Runner {
    /// Share of the batch width that the demand windows of a service allow, percent. It applies from
    /// the warm-up before a window, so that capacity is free when the window opens.
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

//! Which items run on which server: the width of each server is decided afresh whenever online work
//! comes or goes, and streams are started or paused to meet it.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::time::Millis;
use dappleyard_decide::width::{self, WidthInputs};
use dappleyard_settings::BatchPolicy;
use dappleyard_tables::servers::OwnedServer;
use dappleyard_wire::ids::ServerId;

use super::Runner;
use super::run_item;

/// Longest time between two looks, milliseconds.
const TICK_MS: u64 = 20;
/// A gap between two looks above which this node counts as having been paused, milliseconds.
const PAUSE_MS: u64 = 500;
/// KV tokens that a batch sequence is taken to hold while none is known.
const SEQUENCE_TOKENS: u32 = 800;
/// Share of the KV memory that is given out, percent.
const MEMORY_PERCENT: u32 = 95;

/// Keeps all owned servers at their width.
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
    let running = state.servers.get(server);
    let count = running.map_or(0, |server| {
        let active = server.running.iter().filter(|running| !running.stopping);
        active.count()
    });
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn decide_width(runner: &Runner, server: &OwnedServer) -> u32 {
    let Some((report, _)) = &server.report else {
        return 0;
    };
    if !server.takes_new_work() || runner.settings.policy == BatchPolicy::OnlineOnly {
        return 0;
    }
    let mut state = runner.state.borrow_mut();
    let known = state
        .servers
        .entry(server.entry.server.clone())
        .or_default();
    if report.sequence > known.report_seen {
        known.report_seen = report.sequence;
        let sequences = report.running_online + report.running_batch;
        known.steps = known.steps.observe(report.step_ms, sequences);
    }
    let online_tokens = server.online.values().map(|flight| flight.tokens).sum();
    let total = report.total_blocks.saturating_mul(report.block_tokens);
    let mut inputs = WidthInputs {
        model: known.steps,
        online_sequences: u32::try_from(server.online.len()).unwrap_or(u32::MAX),
        online_tokens,
        total_tokens: total / 100 * MEMORY_PERCENT,
        maximum_sequences: report.maximum_sequences,
        batch_sequence_tokens: sequence_tokens(server),
        slowdown_percent: runner.slowdown_percent(server.entry.service.as_str()),
        window_percent: 100,
    };
    if runner.settings.policy == BatchPolicy::SharedQueue {
        inputs.slowdown_percent = u32::MAX;
    }
    width::batch_width(&inputs)
}

fn sequence_tokens(server: &OwnedServer) -> u32 {
    let tokens: u32 = server.batch.values().map(|flight| flight.tokens).sum();
    let sequences = u32::try_from(server.batch.len()).unwrap_or(u32::MAX);
    tokens.checked_div(sequences).unwrap_or(SEQUENCE_TOKENS)
}

/// Stops the streams of chunks that were given up.
fn stop_given_up(runner: &Rc<Runner>, server: &OwnedServer) {
    let streams = mark_stopping(runner, &server.entry.server, usize::MAX, |given_up| {
        given_up
    });
    cancel(runner, server, streams);
}

/// Pauses the newest streams.
fn pause_newest(runner: &Rc<Runner>, server: &OwnedServer, count: u32) {
    if runner.settings.policy == BatchPolicy::SharedQueue {
        return;
    }
    let streams = mark_stopping(runner, &server.entry.server, count as usize, |_| true);
    runner.metrics.pauses.inc_by(streams.len() as u64);
    cancel(runner, server, streams);
}

/// Marks up to `count` of the newest streams as stopping and returns the engine streams to cancel.
/// One whose engine stream is not known yet is cancelled when it is.
fn mark_stopping(
    runner: &Runner,
    server: &ServerId,
    count: usize,
    wanted: impl Fn(bool) -> bool,
) -> Vec<String> {
    let mut state = runner.state.borrow_mut();
    let Some(server) = state.servers.get_mut(server) else {
        return Vec::new();
    };
    let chosen = server
        .running
        .iter_mut()
        .rev()
        .filter(|running| !running.stopping && wanted(running.chunk.is_stopped()))
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
    for stream in streams {
        let base = server.entry.base_url.clone();
        let canceller = runner.clone();
        runner.spawn(async move { run_item::cancel_stream(&canceller, &base, &stream).await });
    }
}

fn start_items(runner: &Rc<Runner>, server: &OwnedServer, count: u32) {
    let now = runner.tables.clock.now();
    let behind = runner.state.borrow().is_behind();
    if behind || runner.draining.get() || avoided(runner, &server.entry.server, now) {
        return;
    }
    let service = server.entry.service.as_str();
    for _ in 0..count {
        let item = {
            let mut state = runner.state.borrow_mut();
            state.take_item(service, &server.entry.server)
        };
        let Some(item) = item else {
            return;
        };
        run_item::start(runner, server.entry.clone(), item);
    }
}

fn avoided(runner: &Runner, server: &ServerId, now: Millis) -> bool {
    let state = runner.state.borrow();
    let known = state.servers.get(server);
    known.is_some_and(|known| known.avoid_until > now)
}

impl Runner {
    /// Slowdown of online steps that batch may cause, percent.
    fn slowdown_percent(&self, service: &str) -> u32 {
        let configuration = self.tables.configuration.current();
        let row = configuration.services.get(service);
        row.map(|row| row.online_slowdown_percent)
            .filter(|percent| *percent > 0)
            .unwrap_or(self.settings.online_slowdown_percent)
    }
}

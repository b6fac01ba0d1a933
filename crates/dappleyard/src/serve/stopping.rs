//! Graceful stop, and the settings check on SIGHUP.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dappleyard_ingress::close_connections;
use dappleyard_platform::read_settings;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::assembly::RunningNode;
use super::registration;
use dappleyard_clock::Instant;

/// Shortest time that a stopping node keeps accepting requests: callers use a directory answer that
/// names it until the answer expires.
const MINIMUM_DRAIN_TIME: Duration = Duration::from_millis(3_500);
/// Time without a request after which no more are expected.
const QUIET_PERIOD: Duration = Duration::from_millis(1_200);
/// Time before the end of the grace period at which the stop is forced.
const GRACE_MARGIN: Duration = Duration::from_millis(900);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const UNREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// The signals that a process handles. Others, and those before this exists, have their default action.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Handles the signals from now on.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

/// Serves until SIGTERM or SIGINT, then lets requests in progress finish within the grace period.
pub async fn run_until_stopped(running: RunningNode, mut signals: Signals, path: &Path) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hang_up.recv() => reload(&running, path),
        }
    }
    stop(&running).await;
}

fn reload(running: &RunningNode, path: &Path) {
    let current = &running.node.settings;
    let outcome = match read_settings(path) {
        Ok(mut settings) => {
            // The metrics port comes from the command line, not from the file.
            settings.listen.metrics = current.listen.metrics;
            match settings == *current {
                true => "unchanged".to_owned(),
                false => "changed; addresses hold until the next start".to_owned(),
            }
        }
        Err(errors) => errors.to_string(),
    };
    running
        .node
        .log
        .write("reload", || serde_json::json!({"outcome": outcome}));
}

async fn stop(running: &RunningNode) {
    let node = &running.node;
    let started = Instant::now();
    node.leaving.store(true, Ordering::Relaxed);
    node.log.write(
        "stop_asked",
        || serde_json::json!({"under_way": node.in_flight.load(Ordering::Relaxed)}),
    );
    tokio::task::spawn_local(registration::register(node.clone(), running.store.clone()));
    let runner = running.runner.clone();
    let job_handover = tokio::task::spawn_local(async move { runner.stop().await });
    let grace = Duration::from_millis(node.settings.bounds.grace_ms);
    let drain_limit = grace.saturating_sub(GRACE_MARGIN);
    while started.elapsed() < drain_limit {
        tokio::time::sleep(POLL_INTERVAL).await;
        let idle = node.in_flight.load(Ordering::Relaxed) == 0 && job_handover.is_finished();
        let quiet = node.last_request.lock().elapsed() > QUIET_PERIOD;
        if idle && quiet && started.elapsed() > MINIMUM_DRAIN_TIME {
            break;
        }
    }
    node.log.write("stop_idle", || {
        serde_json::json!({"under_way": node.in_flight.load(Ordering::Relaxed),
            "last_request_ms": node.last_request.lock().elapsed().as_millis() as u64})
    });
    let is_empty =
        close_connections(&running.server, &node.connections, started + drain_limit).await;
    let call = registration::unregister(node, running.store.as_ref());
    // A row left behind is harmless: peers notice the missing heartbeats.
    let _ = dappleyard_clock::timeout(UNREGISTER_TIMEOUT, call).await;
    node.log.write("stop", || {
        serde_json::json!({"answered_all": is_empty, "under_way": node.connections.busy(),
            "connections": node.connections.open(),
            "jobs_handed_back": job_handover.is_finished(),
            "took_ms": started.elapsed().as_millis() as u64})
    });
}

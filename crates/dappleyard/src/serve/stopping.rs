//! A planned stop, and the reload of settings.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dappleyard_ingress::finish_requests;
use dappleyard_platform::read_settings;
use tokio::signal::unix::{SignalKind, signal};

use super::assembly::Running;
use super::registration;
use crate::failure::Failure;
use dappleyard_clock::Instant;

/// Shortest time that a stopping node goes on taking requests: callers that were told of it
/// before may come until their directory answers run out.
const SHORTEST_STAY: Duration = Duration::from_millis(3_500);
/// Time without a request after which nobody is expected any more.
const QUIET: Duration = Duration::from_millis(1_200);
/// Time before the end of the grace period at which the process ends in any case.
const BEFORE_GRACE: Duration = Duration::from_millis(900);
/// Time between two looks at what is under way.
const LOOK: Duration = Duration::from_millis(50);
/// Time for the last call to the store.
const LAST_CALL: Duration = Duration::from_millis(300);

/// Serves until the process is asked to stop, and stops it without cutting anything.
pub async fn until_stopped(running: Running, path: &Path) -> Result<ExitCode, Failure> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => reload(&running, path),
        }
    }
    stop(&running).await;
    Ok(ExitCode::SUCCESS)
}

fn reload(running: &Running, path: &Path) {
    let held = &running.node.settings;
    let outcome = match read_settings(path) {
        Ok(mut settings) => {
            // The port of the metrics comes from the command line.
            settings.listen.metrics = held.listen.metrics;
            match settings == *held {
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

async fn stop(running: &Running) {
    let node = &running.node;
    let started = Instant::now();
    node.leaving.store(true, Ordering::Relaxed);
    node.log.write(
        "stop_asked",
        || serde_json::json!({"under_way": node.in_flight.load(Ordering::Relaxed)}),
    );
    tokio::task::spawn_local(registration::register(node.clone(), running.store.clone()));
    let runner = running.runner.clone();
    let handing_back = tokio::task::spawn_local(async move { runner.stop().await });
    let grace = Duration::from_millis(node.settings.bounds.grace_ms);
    let last = grace.saturating_sub(BEFORE_GRACE);
    while started.elapsed() < last {
        tokio::time::sleep(LOOK).await;
        let idle = node.in_flight.load(Ordering::Relaxed) == 0 && handing_back.is_finished();
        let quiet = node.last_request.lock().elapsed() > QUIET;
        if idle && quiet && started.elapsed() > SHORTEST_STAY {
            break;
        }
    }
    let call = registration::unregister(node, running.store.as_ref());
    // The row of a node that is gone does no harm: its heartbeats end.
    let _ = dappleyard_clock::timeout(LAST_CALL, call).await;
    finish_requests(&running.server, &node.in_flight, started + last).await;
    node.log.write("stop", || {
        serde_json::json!({"under_way": node.in_flight.load(Ordering::Relaxed),
            "jobs_handed_back": handing_back.is_finished(),
            "took_ms": started.elapsed().as_millis() as u64})
    });
    // Nothing is under way, or the time is over.
    drop(running.server.stop(false));
}

//! Graceful stop, and the settings check on SIGHUP.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dappleyard_cluster::store_counts;
use dappleyard_ingress::{DIRECTORY_TTL_MS, Node, close_connections};
use dappleyard_platform::read_settings;

use super::assembly::RunningNode;
use super::registration::register;
use crate::signals::{SignalRequest, Signals};
use dappleyard_clock::Instant;

/// Some callers use a directory answer for this many times its lifetime.
const DIRECTORY_ANSWER_USES: u32 = 3;
/// Time until the directory of every node leaves out one that stops.
const DIRECTORY_DELAY: Duration = Duration::from_millis(500);
/// Time left to requests in progress once no more are accepted.
const COMPLETION_TIME: Duration = Duration::from_millis(2_000);
/// Time before the end of the grace period at which requests that are still in progress are ended.
const REQUEST_END_MARGIN: Duration = Duration::from_millis(800);
/// Time before the end of the grace period at which the process ends, whatever is in progress.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Longest time for the last store calls.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// Serves until SIGTERM or SIGINT, then lets requests in progress finish within the grace period.
pub async fn run_until_stopped(running: RunningNode, mut signals: Signals, path: &Path) {
    while signals.next().await == SignalRequest::Reload {
        reload(&running, path);
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

/// Points in time of a stop.
struct StopSchedule {
    /// No request is accepted from then on.
    close: Instant,
    /// Requests in progress are ended.
    end_requests: Instant,
    /// The process ends.
    exit: Instant,
}

impl StopSchedule {
    fn new(started: Instant, grace: Duration) -> Self {
        let directory_ttl = Duration::from_millis(DIRECTORY_TTL_MS);
        let callers_leave = directory_ttl * DIRECTORY_ANSWER_USES + DIRECTORY_DELAY;
        let end_requests = grace.saturating_sub(REQUEST_END_MARGIN);
        let close = callers_leave.min(end_requests.saturating_sub(COMPLETION_TIME));
        Self {
            close: started + close,
            end_requests: started + end_requests,
            exit: started + grace.saturating_sub(EXIT_MARGIN),
        }
    }
}

/// Serves what still comes, then accepts nothing more, and ends once every answer is written.
async fn stop(running: &RunningNode) {
    let node = &running.node;
    let started = Instant::now();
    let grace = Duration::from_millis(node.settings.bounds.grace_ms);
    let schedule = StopSchedule::new(started, grace);
    node.leaving.store(true, Ordering::Relaxed);
    node.process_end.set(schedule.end_requests);
    log_progress(node, "stop_asked", started);
    let registration = running.registration.clone();
    tokio::task::spawn_local(register(
        node.clone(),
        registration.clone(),
        running.store.clone(),
    ));
    let runner = running.runner.clone();
    let job_handover = tokio::task::spawn_local(async move { runner.stop().await });
    tokio::time::sleep(schedule.close.saturating_duration_since(Instant::now())).await;

    log_progress(node, "stop_closing", started);
    let closing = async {
        let is_empty = close_connections(&running.server, &node.connections, schedule.exit).await;
        (is_empty, started.elapsed())
    };
    let handing_over = dappleyard_clock::timeout_at(schedule.exit, job_handover);
    let ((is_empty, closed_after), handover) = tokio::join!(closing, handing_over);
    let store = running.store.as_ref();
    // A row left behind is harmless: peers notice the missing heartbeats. Counts that are not stored are known to the
    // nodes that run on.
    let _ = tokio::join!(
        dappleyard_clock::timeout(STORE_TIMEOUT, registration.remove(node.life, store)),
        dappleyard_clock::timeout(STORE_TIMEOUT, store_counts(&node.crashes, store, &node.log)),
    );
    let cut = node.metrics.answers_cut_by_stop.load(Ordering::Relaxed);
    node.log.write("stop", || {
        serde_json::json!({"answered_all": is_empty && cut == 0, "cut": cut, "under_way": node.connections.busy(),
            "connections": node.connections.open(), "closed_after_ms": closed_after.as_millis() as u64,
            "jobs_handed_back": handover.is_ok(),
            "took_ms": started.elapsed().as_millis() as u64})
    });
    node.log.flush(LOG_FLUSH_TIMEOUT);
}

fn log_progress(node: &Node, event: &'static str, started: Instant) {
    node.log.write(event, || {
        serde_json::json!({"under_way": node.connections.busy(), "connections": node.connections.open(),
            "after_ms": started.elapsed().as_millis() as u64})
    });
}

//! Abandons items that have exceeded their maximum wait, have failed too often or have lost their route.
//!
//! Results are final, so such a decision rests on no configuration older than the job: a node that has taken a job over may
//! hear of the job before it hears of the configuration that brought its route.

use std::time::Duration;

use dappleyard_clock::Instant;

use crate::owned::{OwnedJob, Progress};
use crate::runner::Runner;

/// Time in which a route that was removed may come back before the items of its jobs are abandoned.
const ROUTE_RETURN_TIME: Duration = Duration::from_secs(3);

/// Tolerance for clock skew between nodes.
const CLOCK_SKEW_MARGIN_MS: u64 = 1_000;

/// Whether the configuration of this node is new enough to abandon items of a job.
pub(crate) fn may_abandon(runner: &Runner, job: &OwnedJob) -> bool {
    runner
        .node
        .view
        .has_configurations_until(job.loaded_revision)
}

/// Abandons the items of a job whose route was removed, unless it comes back in time or the configuration is older than the
/// job. None of them starts meanwhile.
pub(crate) fn handle_missing_route(runner: &Runner, job: &OwnedJob, version: u64) {
    if !may_abandon(runner, job) {
        if !job.awaits_configuration.replace(true) {
            log_missing_route(runner, job, "configuration_awaited", version);
        }
        return;
    }
    let missing_since = job.route_missing_since.get().unwrap_or_else(|| {
        log_missing_route(runner, job, "route_removed", version);
        Instant::now()
    });
    job.route_missing_since.set(Some(missing_since));
    if missing_since.elapsed() >= ROUTE_RETURN_TIME {
        abandon_items(runner, job, "the batch route of the job was removed");
    }
}

fn log_missing_route(runner: &Runner, job: &OwnedJob, event: &'static str, version: u64) {
    runner.node.log.write(event, || {
        serde_json::json!({"job": job.job, "route": job.state.borrow().row.route,
            "revision": job.loaded_revision, "version": version})
    });
}

/// Abandons all unfinished items of a job.
pub(crate) fn abandon_items(runner: &Runner, job: &OwnedJob, cause: &str) {
    let unfinished: Vec<usize> = {
        let mut state = job.state.borrow_mut();
        let unfinished = state.items.iter_mut().enumerate();
        unfinished
            .filter(|(_, item)| item.progress != Progress::Finished)
            .map(|(index, item)| {
                if let Some(active_run) = item.active_run.take() {
                    active_run.abort();
                }
                index
            })
            .collect()
    };
    if unfinished.is_empty() {
        return;
    }
    runner.node.log.write(
        "items_given_up",
        || serde_json::json!({"job": job.job, "items": unfinished.len(), "cause": cause}),
    );
    for index in unfinished {
        job.finish(index, false);
    }
}

/// Whether a job has exceeded its maximum wait; `max_wait_s` of 0 means no limit.
pub(crate) fn is_expired(accepted_ms: u64, max_wait_s: u64, now_ms: u64) -> bool {
    max_wait_s > 0 && now_ms > accepted_ms + max_wait_s * 1000 + CLOCK_SKEW_MARGIN_MS
}

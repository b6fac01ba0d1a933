//! Gives up items whose time is over or whose route is gone.

use crate::owned::{OwnedJob, Progress};
use crate::runner::Runner;

/// Added to the time from which an item may be given up, so that clocks may differ.
const MARGIN_MS: u64 = 1_000;

/// Gives up all unfinished items of a job, with the cause.
pub(crate) fn give_up(runner: &Runner, job: &OwnedJob, cause: &str) {
    let open: Vec<usize> = {
        let mut state = job.state.borrow_mut();
        let open = state.items.iter_mut().enumerate();
        open.filter(|(_, item)| item.progress != Progress::Finished)
            .map(|(index, item)| {
                if let Some(task) = item.task.take() {
                    task.abort();
                }
                index
            })
            .collect()
    };
    if open.is_empty() {
        return;
    }
    runner.node.log.write(
        "items_given_up",
        || serde_json::json!({"job": job.job, "items": open.len(), "cause": cause}),
    );
    for index in open {
        job.finish(index, false);
    }
}

/// Whether the time of a job is over.
pub(crate) fn is_over(accepted_ms: u64, max_wait_s: u64, now_ms: u64) -> bool {
    max_wait_s > 0 && now_ms > accepted_ms + max_wait_s * 1000 + MARGIN_MS
}

//! Mirror of the active jobs, kept current by the change feed of their rows. New jobs,
//! cancellations and completions reach every node this way; gossip also carries cancellations.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::time::Millis;
use dappleyard_store::StoreError;
use dappleyard_wire::keys::ACTIVE_JOB_PREFIX;
use dappleyard_wire::messages::ActiveJobRow;
use prost::Message;

use super::Runner;
use super::state::ActiveJob;
use super::work::StopReason;
use crate::store::sleep_jittered;

/// Rows per read.
const PAGE: usize = 512;
/// Maximum wait of a feed read for changes while this node holds chunks, milliseconds.
const BUSY_WAIT_MS: u32 = 1_000;
/// Maximum wait of a feed read while this node holds no chunk, milliseconds.
const IDLE_WAIT_MS: u32 = 10_000;
/// Interval of checks for cancellations received by gossip, milliseconds.
const GOSSIP_POLL_MS: u64 = 100;

/// Follows the feed and gossip; never returns.
pub async fn run(runner: Rc<Runner>) {
    tokio::join!(follow_feed(&runner), follow_gossip(&runner));
}

async fn follow_feed(runner: &Runner) {
    let mut position = None;
    loop {
        let step = match position {
            None => read_all(runner).await,
            Some(after) => read_changes(runner, after).await,
        };
        match step {
            Ok(next) => position = next,
            Err(error) => {
                tracing::debug!(%error, "failed to read the feed of active jobs");
                runner.state.borrow_mut().feed_failed_at = runner.tables.clock.now();
                sleep_jittered(runner.settings.poll_interval_ms).await;
            }
        }
    }
}

/// Reads all rows and returns the revision at which the feed continues. The revision is read before
/// the rows so that no change is missed.
async fn read_all(runner: &Runner) -> Result<Option<u64>, StoreError> {
    let tables = &runner.platform.tables;
    let asked_at = runner.tables.clock.now();
    let start = tables.changes(ACTIVE_JOB_PREFIX, 0, 0).await?;
    let mut after = String::new();
    let mut seen = Vec::new();
    loop {
        let rows = tables.range(ACTIVE_JOB_PREFIX, &after, PAGE).await?;
        let full = rows.len() == PAGE;
        for row in rows {
            after = row.key;
            seen.extend(ActiveJobRow::decode(row.value));
        }
        if !full {
            break;
        }
    }
    retain_jobs(runner, &seen);
    for active in seen {
        apply_row(runner, active);
    }
    record_read(runner, asked_at);
    Ok(Some(start.up_to))
}

fn retain_jobs(runner: &Runner, seen: &[ActiveJobRow]) {
    let ids = seen.iter().map(|active| active.job_id.as_str());
    let ids: BTreeSet<&str> = ids.collect();
    let mut state = runner.state.borrow_mut();
    state.jobs.retain(|job, _| ids.contains(job.as_str()));
    state.inputs.retain(|job, _| ids.contains(job.as_str()));
}

async fn read_changes(runner: &Runner, after: u64) -> Result<Option<u64>, StoreError> {
    let asked_at = runner.tables.clock.now();
    let wait_ms = feed_wait_ms(runner);
    let tables = &runner.platform.tables;
    let changes = tables.changes(ACTIVE_JOB_PREFIX, after, wait_ms).await?;
    if changes.compacted {
        return Ok(None);
    }
    for (key, _, value) in changes.rows {
        match value.map(ActiveJobRow::decode) {
            Some(Ok(active)) => apply_row(runner, active),
            Some(Err(_)) => {}
            None => remove_job(runner, key.trim_start_matches(ACTIVE_JOB_PREFIX)),
        }
    }
    record_read(runner, asked_at);
    Ok(Some(changes.up_to.max(after)))
}

/// Maximum wait of the next feed read; 0 after a suspension, so that the feed is read at once.
fn feed_wait_ms(runner: &Runner) -> u32 {
    let state = runner.state.borrow();
    if state.is_feed_stale() {
        0
    } else if state.held.is_empty() {
        IDLE_WAIT_MS
    } else {
        BUSY_WAIT_MS
    }
}

fn apply_row(runner: &Runner, row: ActiveJobRow) {
    if row.cancelled {
        cancel_job(runner, &row.job_id);
    }
    if row.chunks == 0 {
        runner.split_wake.notify_one();
    }
    let id = row.job_id.clone();
    let job = ActiveJob {
        row,
        exhausted_until: Millis(0),
    };
    runner.state.borrow_mut().jobs.insert(id, job);
    runner.claim_wake.notify_one();
}

fn remove_job(runner: &Runner, job: &str) {
    let mut state = runner.state.borrow_mut();
    state.jobs.remove(job);
    state.inputs.remove(job);
}

/// Records that all changes before `asked_at` have been read.
fn record_read(runner: &Runner, asked_at: Millis) {
    runner.state.borrow_mut().feed_read_at = asked_at;
    runner.dispatch_wake.notify_one();
}

async fn follow_gossip(runner: &Runner) {
    loop {
        tokio::time::sleep(Duration::from_millis(GOSSIP_POLL_MS)).await;
        let held: BTreeSet<String> = {
            let state = runner.state.borrow();
            state.held.keys().map(|(job, _)| job.clone()).collect()
        };
        let cancelled: Vec<String> = {
            let known = runner.tables.cancelled_jobs.lock();
            held.into_iter().filter(|job| known.contains(job)).collect()
        };
        for job in cancelled {
            cancel_job(runner, &job);
        }
    }
}

/// Stops all work of this node on a job and publishes the cancellation through gossip.
fn cancel_job(runner: &Runner, job: &str) {
    runner.tables.cancelled_jobs.lock().insert(job.to_owned());
    let mut stopped = Vec::new();
    for (chunk_id, chunk) in &runner.state.borrow().held {
        if chunk_id.0 == job && !chunk.is_stopped() {
            chunk.stop(StopReason::Cancelled);
            stopped.push(chunk_id.clone());
        }
    }
    for chunk_id in stopped {
        runner.metrics.count_chunk("cancelled");
        runner.remove_chunk(&chunk_id);
    }
}

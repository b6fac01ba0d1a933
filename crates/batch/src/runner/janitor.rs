//! Mending and cleaning: jobs whose last committer was lost are completed, rows of cancelled jobs
//! are removed.

use std::rc::Rc;

use dappleyard_platform::{StoreError, Transaction};
use dappleyard_wire::ids::JobId;
use dappleyard_wire::keys::{self, OPEN_CHUNK_PREFIX};
use dappleyard_wire::messages::ActiveJobRow;

use super::Runner;
use crate::jobs::{Progress, finish_when_done};

/// Time between two looks, milliseconds, for each member.
const SWEEP_MS_PER_MEMBER: u64 = 1_000;
/// Rows removed by one transaction.
const PAGE: usize = 128;

/// Mends and cleans for ever.
pub async fn run(runner: Rc<Runner>) {
    loop {
        tokio::time::sleep(runner.sweep_wait(SWEEP_MS_PER_MEMBER)).await;
        let jobs: Vec<ActiveJobRow> = {
            let state = runner.state.borrow();
            state.jobs.values().map(|job| job.row.clone()).collect()
        };
        for job in jobs {
            if let Err(error) = look_at(&runner, &job).await {
                tracing::debug!(%error, job = job.job_id, "an active job was not looked at");
            }
        }
    }
}

async fn look_at(runner: &Runner, job: &ActiveJobRow) -> Result<(), StoreError> {
    if job.cancelled {
        return clean_cancelled(runner, &job.job_id).await;
    }
    if job.chunks == 0 {
        return Ok(());
    }
    let now = runner.now_unix_s();
    let mut front = Progress::default();
    finish_when_done(&runner.platform, &job.tenant, &job.job_id, &mut front, now).await?;
    Ok(())
}

/// Removes the open rows, the split row and the feed row of a cancelled job.
async fn clean_cancelled(runner: &Runner, job: &str) -> Result<(), StoreError> {
    let tables = &runner.platform.tables;
    let prefix = format!("{OPEN_CHUNK_PREFIX}{job}/");
    loop {
        let rows = tables.range(&prefix, "", PAGE).await?;
        let full = rows.len() == PAGE;
        let delete = |transaction: Transaction, key: String| transaction.delete(key);
        let keys = rows.into_iter().map(|row| row.key);
        let transaction = keys.fold(Transaction::default(), delete);
        if !transaction.writes.is_empty() {
            tables.transact(transaction).await?;
        }
        if !full {
            break;
        }
    }
    let job = JobId::from(job);
    let transaction = Transaction::default()
        .delete(keys::split_job(&job))
        .delete(keys::active_job(&job));
    tables.transact(transaction).await?;
    Ok(())
}

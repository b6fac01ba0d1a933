//! Ends a job at its caller's wish.

use std::time::Duration;

use dappleyard_ingress::{ErrorKind, JobReply};
use dappleyard_model::{StoreError, Transaction};
use dappleyard_tenants::Caller;
use prost::Message;

use crate::api::{NodeJobs, unsure};
use crate::keys::job_key;
use crate::messages::{JobRow, JobState};
use dappleyard_clock::Instant;

/// Time for which an end is tried.
const TRY_LIMIT: Duration = Duration::from_millis(2_500);
/// Pause after a call that the store did not answer.
const PAUSE: Duration = Duration::from_millis(50);

pub(crate) async fn end(calls: &NodeJobs, caller: &Caller, job: &str) -> JobReply {
    let started = Instant::now();
    loop {
        let error = match try_end(calls, caller, job).await {
            Ok(reply) => {
                let found = matches!(reply, JobReply::Ended);
                calls.node.log.write("job_end_asked", || {
                    serde_json::json!({"job": job, "found": found,
                        "took_ms": started.elapsed().as_millis() as u64})
                });
                return reply;
            }
            Err(error) => error,
        };
        if started.elapsed() > TRY_LIMIT {
            return unsure(&error);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn try_end(calls: &NodeJobs, caller: &Caller, job: &str) -> Result<JobReply, StoreError> {
    let known = match calls.table.get(job) {
        Some(known) => known,
        None => match calls.fetch(job).await? {
            Some(known) => known,
            None => return Ok(JobReply::Refused(ErrorKind::NoJob, job.to_owned())),
        },
    };
    if !known.row.is_open_to(caller) {
        return Ok(JobReply::Refused(ErrorKind::NoJob, job.to_owned()));
    }
    if known.row.state() != JobState::Open {
        return Ok(JobReply::Ended);
    }
    let mut row = JobRow::clone(&known.row);
    row.set_state(JobState::Ended);
    let key = job_key(job);
    let transaction = Transaction::default()
        .expect(key.clone(), known.revision)
        .put(key, row.encode_to_vec());
    match calls.store.transact(&transaction).await {
        Ok(committed) => {
            calls.table.put(job, row, committed.revision);
            Ok(JobReply::Ended)
        }
        Err(error) => {
            // The row may have changed under this call, and the change may be this very end.
            calls.fetch(job).await?;
            Err(error)
        }
    }
}

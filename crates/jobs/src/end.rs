//! Ends a job at the request of its caller.

use std::time::Duration;

use dappleyard_ingress::{ErrorKind, JobReply};
use dappleyard_model::{StoreError, Transaction};
use dappleyard_tenants::Caller;
use prost::Message;

use crate::api::{JobService, store_error_reply};
use crate::keys::job_key;
use crate::messages::{JobRow, JobState};
use dappleyard_clock::Instant;

/// Total time for the attempts of one request.
const END_TIMEOUT: Duration = Duration::from_millis(2_500);
const RETRY_DELAY: Duration = Duration::from_millis(50);

pub(crate) async fn end(service: &JobService, caller: &Caller, job: &str) -> JobReply {
    let started = Instant::now();
    loop {
        let error = match try_end(service, caller, job).await {
            Ok(reply) => {
                let found = matches!(reply, JobReply::Ended);
                service.node.log.write("job_end_asked", || {
                    serde_json::json!({"job": job, "found": found,
                        "took_ms": started.elapsed().as_millis() as u64})
                });
                return reply;
            }
            Err(error) => error,
        };
        if started.elapsed() > END_TIMEOUT {
            return store_error_reply(&error);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Makes one attempt to end the job.
async fn try_end(service: &JobService, caller: &Caller, job: &str) -> Result<JobReply, StoreError> {
    let known = match service.table.get(job) {
        Some(known) => known,
        None => match service.fetch(job).await? {
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
    match service.store.transact(&transaction).await {
        Ok(committed) => {
            service.table.put(job, row, committed.revision);
            Ok(JobReply::Ended)
        }
        Err(error) => {
            // The row may have changed concurrently, or this update may have been committed without a reply.
            service.fetch(job).await?;
            Err(error)
        }
    }
}

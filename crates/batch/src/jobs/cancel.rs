//! Cancellation of jobs: a compare-and-swap on the job row, after which no chunk of the job can be
//! committed.

use dappleyard_store::Transaction;
use dappleyard_store::tables::Expect;
use dappleyard_wire::messages::{ActiveJobRow, JobCancel, JobPhase, JobRow, JobState};
use dappleyard_wire::{ErrorKind, Failure, keys};
use prost::Message;

use super::{JobsApi, check_name};
use crate::store::{self, Versioned, WriteOutcome};

/// Attempts of the compare-and-swap while other writers change the job row.
const CANCEL_ATTEMPTS: usize = 8;

impl JobsApi {
    pub(super) async fn cancel(&self, call: JobCancel) -> Result<JobState, Failure> {
        check_name("the tenant", &call.tenant)?;
        check_name("the job", &call.job_id)?;
        for _ in 0..CANCEL_ATTEMPTS {
            let read = self.job_row(&call.tenant, &call.job_id).await?;
            let phase = read.row.state.as_ref().map(JobState::phase);
            match phase.unwrap_or(JobPhase::JobFailed) {
                JobPhase::JobCancelled | JobPhase::JobCancelling => {
                    self.publish_cancel(&call.job_id);
                    return Ok(read.row.state.unwrap_or_default());
                }
                JobPhase::JobCompleted | JobPhase::JobFailed => {
                    let message = format!("job {} has ended already", call.job_id);
                    return Err(Failure::not_run(ErrorKind::Conflict, message));
                }
                _ => {}
            }
            if let Some(state) = self.write_cancel(&call, read).await? {
                self.publish_cancel(&call.job_id);
                return Ok(state);
            }
        }
        let message = "the job kept changing; send the cancel again";
        Err(Failure::not_run(ErrorKind::Conflict, message))
    }

    async fn write_cancel(
        &self,
        call: &JobCancel,
        read: Versioned<JobRow>,
    ) -> Result<Option<JobState>, Failure> {
        let counted = self.progress.count(&self.platform, &read.row).await;
        let progress = counted.map_err(|error| store::failure(&error))?;
        let mut row = read.row;
        let mut state = row.state.take().unwrap_or_default();
        state.set_phase(JobPhase::JobCancelled);
        state.finished_unix_s = self.now_unix_s();
        state.items_completed = progress.completed;
        state.items_failed = progress.failed;
        row.cancelled = true;
        row.state = Some(state.clone());
        let active = ActiveJobRow {
            job_id: call.job_id.clone(),
            tenant: call.tenant.clone(),
            cancelled: true,
            ..ActiveJobRow::default()
        };
        let job = call.job_id.as_str().into();
        let key = keys::job(&call.tenant.as_str().into(), &job);
        let transaction = Transaction::default()
            .expect(key.as_str(), Expect::Revision(read.revision))
            .put(key.as_str(), row.encode_to_vec())
            .put(keys::active_job(&job), active.encode_to_vec());
        let applied =
            store::transact_resolved(&*self.platform.tables, &transaction, &key, |value| {
                JobRow::decode(value.clone()).is_ok_and(|row| row.cancelled)
            });
        match applied.await.map_err(|error| store::failure(&error))? {
            WriteOutcome::Written { .. } => Ok(Some(state)),
            WriteOutcome::Conflict => Ok(None),
        }
    }

    /// Informs this node's runner and, through gossip, the other nodes.
    fn publish_cancel(&self, job: &str) {
        self.tables.cancelled_jobs.lock().insert(job.to_owned());
    }
}

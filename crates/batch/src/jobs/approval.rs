//! Plans and confirmation of jobs that exceed their tenant's standing approval.

use dappleyard_store::Transaction;
use dappleyard_store::tables::Expect;
use dappleyard_wire::messages::{ActiveJobRow, JobPhase, JobRow, JobState, SplitRow};
use dappleyard_wire::{ErrorKind, Failure, keys};
use prost::Message;
use serde::{Deserialize, Serialize};

use super::JobsApi;
use crate::store::{self, WriteOutcome};

/// Effect of a job on another tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantEffect {
    /// Tenant whose jobs are delayed.
    pub tenant: String,
    /// Number of its active jobs.
    pub active_jobs: u32,
    /// Its share of batch work without the job, percent.
    pub share_before_percent: u32,
    /// Its share of batch work with the job, percent.
    pub share_after_percent: u32,
}

/// Expected effects of confirming a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobPlan {
    pub job_id: String,
    /// Number of items.
    pub items: u32,
    /// Expected completion time, Unix seconds; 0 if unknown.
    pub expected_unix_s: u64,
    /// Deadline, Unix seconds.
    pub deadline_unix_s: u64,
    /// Whether the job is expected to miss its deadline.
    pub deadline_at_risk: bool,
    /// Effects on other tenants; always empty at present.
    pub effects: Vec<TenantEffect>,
}

/// Rows written when a planned job is approved, so that it is split again.
#[derive(Debug, Clone, PartialEq)]
pub struct ApprovedRows {
    /// Row `job/{tenant}/{job}`.
    pub job: JobRow,
    /// Row `split-job/{job}`.
    pub split: SplitRow,
    /// Row `active-job/{job}`.
    pub active: ActiveJobRow,
}

/// Returns the rows to write, in one transaction, when a planned job is confirmed.
pub fn approved_rows(planned: &JobRow) -> ApprovedRows {
    let mut row = planned.clone();
    let mut state = row.state.take().unwrap_or_default();
    state.set_phase(JobPhase::JobValidating);
    row.approved = true;
    row.state = Some(state.clone());
    ApprovedRows {
        split: SplitRow {
            job_id: state.job_id.clone(),
            tenant: state.tenant.clone(),
            ..SplitRow::default()
        },
        active: ActiveJobRow {
            job_id: state.job_id.clone(),
            tenant: state.tenant.clone(),
            deadline_unix_s: state.deadline_unix_s,
            repeat: row.repeat,
            ..ActiveJobRow::default()
        },
        job: row,
    }
}

impl JobsApi {
    /// Returns the plan of a job.
    pub async fn plan(&self, tenant: &str, job: &str) -> Result<JobPlan, Failure> {
        let state = self.state_of(tenant, job).await?;
        Ok(JobPlan {
            job_id: state.job_id.clone(),
            items: state.items_total,
            expected_unix_s: state.expected_unix_s,
            deadline_unix_s: state.deadline_unix_s,
            deadline_at_risk: state.deadline_at_risk,
            effects: Vec::new(),
        })
    }

    /// Confirms a planned job. A job in any other phase is left as it is and its state returned.
    pub async fn confirm(&self, tenant: &str, job: &str) -> Result<JobState, Failure> {
        let state = self.state_of(tenant, job).await?;
        if state.phase() != JobPhase::JobPlanned {
            return Ok(state);
        }
        self.start_planned(tenant, job).await
    }

    /// Marks a planned job as approved and queues it for splitting.
    async fn start_planned(&self, tenant: &str, job: &str) -> Result<JobState, Failure> {
        let read = self.job_row(tenant, job).await?;
        let ApprovedRows {
            job: row,
            split,
            active,
        } = approved_rows(&read.row);
        let state = row.state.clone().unwrap_or_default();
        let job = job.into();
        let key = keys::job(&tenant.into(), &job);
        let transaction = Transaction::default()
            .expect(key.as_str(), Expect::Revision(read.revision))
            .put(key.as_str(), row.encode_to_vec())
            .put(keys::split_job(&job), split.encode_to_vec())
            .put(keys::active_job(&job), active.encode_to_vec());
        let applied =
            store::transact_resolved(&*self.platform.tables, &transaction, &key, |value| {
                JobRow::decode(value.clone()).is_ok_and(|written| written == row)
            });
        match applied.await.map_err(|error| store::failure(&error))? {
            WriteOutcome::Written { .. } => Ok(state),
            WriteOutcome::Conflict => Err(Failure::not_run(
                ErrorKind::Conflict,
                "the job changed meanwhile; look at it and confirm it again",
            )),
        }
    }
}

//! Reading and listing of jobs.

use dappleyard_wire::messages::{JobGet, JobList, JobPage, JobPhase, JobRow, JobState};
use dappleyard_wire::{Failure, keys};

use super::{JobsApi, check_name};
use crate::store;

/// Maximum page size, jobs.
const MAXIMUM_PAGE: u32 = 100;
/// Page size if the call sets no limit, jobs.
const DEFAULT_PAGE: u32 = 20;

impl JobsApi {
    pub(super) async fn get(&self, call: JobGet) -> Result<JobState, Failure> {
        check_name("the tenant", &call.tenant)?;
        check_name("the job", &call.job_id)?;
        self.state_of(&call.tenant, &call.job_id).await
    }

    /// Returns the state of a job, with its current progress.
    pub(super) async fn state_of(&self, tenant: &str, job: &str) -> Result<JobState, Failure> {
        let read = self.job_row(tenant, job).await?;
        self.with_progress(read.row).await
    }

    async fn with_progress(&self, row: JobRow) -> Result<JobState, Failure> {
        let mut state = row.state.clone().unwrap_or_default();
        if state.phase() != JobPhase::JobInProgress {
            return Ok(state);
        }
        let counted = self.progress.count(&self.platform, &row).await;
        let progress = counted.map_err(|error| store::failure(&error))?;
        state.items_completed = progress.completed;
        state.items_failed = progress.failed;
        if progress.done_chunks == row.chunks {
            state.set_phase(JobPhase::JobFinalizing);
        }
        let now = self.now_unix_s();
        state.expected_unix_s = progress.expected_unix_s(&state, now);
        state.deadline_at_risk = state.expected_unix_s > state.deadline_unix_s;
        Ok(state)
    }

    /// Lists the jobs of a tenant after a job id, oldest first.
    pub(super) async fn list(&self, call: JobList) -> Result<JobPage, Failure> {
        check_name("the tenant", &call.tenant)?;
        let limit = match call.limit {
            0 => DEFAULT_PAGE,
            limit => limit.min(MAXIMUM_PAGE),
        };
        let prefix = format!("{}{}/", keys::JOB_PREFIX, call.tenant);
        let after = match call.after.as_str() {
            "" => String::new(),
            job => format!("{prefix}{job}"),
        };
        let tables = &self.platform.tables;
        let rows = tables.range(&prefix, &after, limit as usize + 1).await;
        let rows = rows.map_err(|error| store::failure(&error))?;
        let more = rows.len() > limit as usize;
        let mut jobs = Vec::new();
        for row in rows.into_iter().take(limit as usize) {
            let read = store::decode::<JobRow>(&row.key, &row.value, row.revision);
            let read = read.map_err(|error| store::failure(&error))?;
            jobs.push(self.with_progress(read.row).await?);
        }
        Ok(JobPage { jobs, more })
    }
}

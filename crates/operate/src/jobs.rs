//! Batch jobs as operators look at them: state, and deadlines at risk.

use dappleyard_platform::TableStore;
use dappleyard_wire::Failure;
use dappleyard_wire::keys::JOB_PREFIX;
use dappleyard_wire::messages::{JobPhase, JobRow, JobState};
use serde::{Deserialize, Serialize};

use crate::describe::job_phase_name;
use crate::snapshot::{decode, store_failure};

/// Rows read in one call.
const PAGE: usize = 500;
/// Most pages read for one question.
const MOST_PAGES: usize = 10;

/// One job on one line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobLine {
    /// Tenant.
    pub tenant: String,
    /// Job id.
    pub job: String,
    /// Phase.
    pub phase: String,
    /// Items of the job.
    pub items: u32,
    /// Items completed or failed.
    pub settled: u32,
    /// Deadline, seconds since 1970.
    pub deadline_unix_s: u64,
    /// Expected finish, seconds since 1970; 0 when unknown.
    pub expected_unix_s: u64,
    /// The deadline is at risk.
    pub at_risk: bool,
    /// Plan that must be confirmed for it to run; empty for none.
    pub plan: String,
}

/// A job whose deadline is at risk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAtRisk {
    /// Tenant.
    pub tenant: String,
    /// Job id.
    pub job: String,
    /// Deadline, seconds since 1970.
    pub deadline_unix_s: u64,
    /// Why, in words.
    pub reason: String,
}

/// Reads jobs, at most [`MOST_PAGES`] pages of them.
pub async fn list_jobs(tables: &dyn TableStore) -> Result<Vec<JobLine>, Failure> {
    let mut jobs = Vec::new();
    let mut after = String::new();
    for _ in 0..MOST_PAGES {
        let page = tables
            .range(JOB_PREFIX, &after, PAGE)
            .await
            .map_err(|error| store_failure(&error))?;
        for row in &page {
            let job: JobRow = decode(&row.key, &row.value)?;
            jobs.push(job_line(&job));
        }
        match page.last() {
            Some(last) if page.len() == PAGE => after.clone_from(&last.key),
            _ => break,
        }
    }
    Ok(jobs)
}

/// Unfinished jobs whose deadline is at risk, earliest deadline first.
pub async fn jobs_at_risk(
    tables: &dyn TableStore,
    now_unix_s: u64,
) -> Result<Vec<JobAtRisk>, Failure> {
    let mut at_risk: Vec<JobAtRisk> = list_jobs(tables)
        .await?
        .into_iter()
        .filter(|job| is_unfinished(&job.phase))
        .filter_map(|job| risk(&job, now_unix_s, 1.0))
        .collect();
    at_risk.sort_by_key(|job| job.deadline_unix_s);
    Ok(at_risk)
}

/// Whether a job of this phase still needs capacity.
pub fn is_unfinished(phase: &str) -> bool {
    matches!(phase, "validating" | "in_progress" | "finalizing")
}

/// Whether a job's deadline is at risk when its remaining work takes `slowdown` times as long.
pub fn risk(job: &JobLine, now_unix_s: u64, slowdown: f64) -> Option<JobAtRisk> {
    let remaining_s = job.expected_unix_s.saturating_sub(now_unix_s);
    let expected = now_unix_s + (remaining_s as f64 * slowdown).ceil() as u64;
    let reason = if job.deadline_unix_s > 0 && now_unix_s > job.deadline_unix_s {
        format!(
            "the deadline passed {} s ago",
            now_unix_s - job.deadline_unix_s
        )
    } else if job.expected_unix_s > 0 && expected > job.deadline_unix_s {
        format!(
            "{} of {} items are left and would end {} s after the deadline",
            job.items.saturating_sub(job.settled),
            job.items,
            expected - job.deadline_unix_s
        )
    } else if job.at_risk {
        "the scheduler expects it to end after the deadline".to_owned()
    } else {
        return None;
    };
    Some(JobAtRisk {
        tenant: job.tenant.clone(),
        job: job.job.clone(),
        deadline_unix_s: job.deadline_unix_s,
        reason,
    })
}

/// One job on one line.
pub fn job_line(row: &JobRow) -> JobLine {
    let state = row.state.clone().unwrap_or_else(|| {
        let mut state = JobState::default();
        state.set_phase(JobPhase::JobFailed);
        state
    });
    JobLine {
        tenant: state.tenant.clone(),
        job: state.job_id.clone(),
        phase: job_phase_name(state.phase()).to_owned(),
        items: state.items_total,
        settled: state.items_completed + state.items_failed,
        deadline_unix_s: state.deadline_unix_s,
        expected_unix_s: state.expected_unix_s,
        at_risk: state.deadline_at_risk,
        plan: state.plan_id,
    }
}

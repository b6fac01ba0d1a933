//! Batch job listings for operators, with deadlines at risk.

use dappleyard_batch::JobsApi;
use dappleyard_store::TableStore;
use dappleyard_wire::keys::{ACTIVE_JOB_PREFIX, JOB_PREFIX};
use dappleyard_wire::messages::{ActiveJobRow, Call, JobGet, JobRow, JobState, call, reply};
use dappleyard_wire::{ErrorKind, Failure};
use futures::StreamExt;
use serde::{Deserialize, Serialize};

use crate::describe::job_phase_name;
use crate::snapshot::{decode, store_failure};

const PAGE_SIZE: usize = 500;
/// Limit on pages read for a list.
const MAX_PAGES: usize = 10;
/// Limit on active jobs whose progress is read; those with the earliest deadlines are kept.
const MAX_ACTIVE_JOBS: usize = 32;
/// Concurrent progress reads.
const CONCURRENCY: usize = 8;

/// Entry of a job list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    pub tenant: String,
    pub job: String,
    pub phase: String,
    pub items: u32,
    /// Number of items completed or failed.
    pub settled: u32,
    pub deadline_unix_s: u64,
    /// Expected completion; 0 if unknown.
    pub expected_unix_s: u64,
    /// Whether the deadline is at risk.
    pub at_risk: bool,
    /// Plan that must be confirmed before the job runs; empty if none.
    pub plan: String,
}

/// A job whose deadline is at risk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAtRisk {
    pub tenant: String,
    pub job: String,
    pub deadline_unix_s: u64,
    pub reason: String,
}

/// Reads up to `MAX_ACTIVE_JOBS` jobs that need capacity, earliest deadline first, with progress.
pub async fn active_jobs(
    tables: &dyn TableStore,
    jobs: &JobsApi,
) -> Result<Vec<JobSummary>, Failure> {
    let rows = tables
        .range(ACTIVE_JOB_PREFIX, "", PAGE_SIZE)
        .await
        .map_err(|error| store_failure(&error))?;
    let mut active = Vec::new();
    for row in rows {
        active.push(decode::<ActiveJobRow>(&row.key, &row.value)?);
    }
    active.sort_by_key(|job| job.deadline_unix_s);
    active.truncate(MAX_ACTIVE_JOBS);
    let reads = active
        .into_iter()
        .map(|job| async move { read_job(jobs, &job.tenant, &job.job_id).await });
    let mut lines = Vec::new();
    let mut reads = futures::stream::iter(reads).buffered(CONCURRENCY);
    while let Some(read) = reads.next().await {
        match read {
            Ok(line) => lines.push(line),
            // The job finished and its rows were removed between the two reads.
            Err(failure) if failure.kind == ErrorKind::NotFound => {}
            Err(failure) => return Err(failure),
        }
    }
    Ok(lines)
}

/// Reads a job with its progress.
pub async fn read_job(jobs: &JobsApi, tenant: &str, job: &str) -> Result<JobSummary, Failure> {
    let get = JobGet {
        tenant: tenant.to_owned(),
        job_id: job.to_owned(),
    };
    let call = Call {
        method: Some(call::Method::JobGet(get)),
        ..Call::default()
    };
    match jobs.call(call).await?.result {
        Some(reply::Result::Job(state)) => Ok(job_summary(&state)),
        _ => Err(Failure::not_run(
            ErrorKind::Internal,
            "no job in the answer",
        )),
    }
}

/// Reads up to 5,000 jobs of all phases, without the progress of running ones.
pub async fn list_jobs(tables: &dyn TableStore) -> Result<Vec<JobSummary>, Failure> {
    let mut jobs = Vec::new();
    let mut after = String::new();
    for _ in 0..MAX_PAGES {
        let page = tables
            .range(JOB_PREFIX, &after, PAGE_SIZE)
            .await
            .map_err(|error| store_failure(&error))?;
        for row in &page {
            let job: JobRow = decode(&row.key, &row.value)?;
            jobs.push(job_summary(&job.state.unwrap_or_default()));
        }
        match page.last() {
            Some(last) if page.len() == PAGE_SIZE => after.clone_from(&last.key),
            _ => break,
        }
    }
    Ok(jobs)
}

/// Unfinished jobs whose deadline is at risk, earliest deadline first.
pub fn jobs_at_risk(jobs: &[JobSummary], now_unix_s: u64) -> Vec<JobAtRisk> {
    let mut at_risk: Vec<JobAtRisk> = jobs
        .iter()
        .filter(|job| is_unfinished(&job.phase))
        .filter_map(|job| risk(job, now_unix_s, 1.0))
        .collect();
    at_risk.sort_by_key(|job| job.deadline_unix_s);
    at_risk
}

/// Whether a job in this phase still needs capacity.
pub fn is_unfinished(phase: &str) -> bool {
    matches!(phase, "validating" | "in_progress" | "finalizing")
}

/// Returns the risk to a job's deadline if its remaining work takes `slowdown` times as long.
pub fn risk(job: &JobSummary, now_unix_s: u64, slowdown: f64) -> Option<JobAtRisk> {
    let remaining_s = job.expected_unix_s.saturating_sub(now_unix_s);
    let expected = now_unix_s.saturating_add((remaining_s as f64 * slowdown).ceil() as u64);
    let reason = if job.deadline_unix_s > 0 && now_unix_s > job.deadline_unix_s {
        format!(
            "the deadline passed {} s ago",
            now_unix_s - job.deadline_unix_s
        )
    } else if job.expected_unix_s > 0 && slowdown.is_infinite() {
        "no capacity is left for it meanwhile".to_owned()
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

pub fn job_summary(state: &JobState) -> JobSummary {
    JobSummary {
        tenant: state.tenant.clone(),
        job: state.job_id.clone(),
        phase: job_phase_name(state.phase()).to_owned(),
        items: state.items_total,
        settled: state.items_completed + state.items_failed,
        deadline_unix_s: state.deadline_unix_s,
        expected_unix_s: state.expected_unix_s,
        at_risk: state.deadline_at_risk,
        plan: state.plan_id.clone(),
    }
}

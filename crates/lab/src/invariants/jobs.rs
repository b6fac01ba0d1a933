//! Batch invariants: exactly-once results, readable results, effective cancellation.

use std::collections::HashMap;
use std::time::Duration;

use super::{EngineRun, Evidence, Verdict, format_time};
use crate::recorder::{ItemFinding, JobRecord};

/// Each item of an accepted job has exactly one correct result, or at most one if the job was
/// cancelled. Submissions with the same key create one job.
pub fn exactly_once(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    for job in &evidence.observations.jobs {
        let Some(id) = job.id() else { continue };
        let one_job = job.ids.iter().all(|other| other == id);
        verdict.count_case(one_job, || {
            format!("{}: several jobs for one key: {:?}", job.name, job.ids)
        });
        check_items(&mut verdict, job, id);
    }
    verdict
}

fn check_items(verdict: &mut Verdict, job: &JobRecord, id: &str) {
    let Some(results) = &job.results else {
        let items = u64::from(job.items);
        let unread = job.unread.as_deref().unwrap_or("it has not ended");
        let accepted = format_time(job.accepted.unwrap_or_default());
        verdict.count_cases(items, false, || {
            format!(
                "{} ({id}, accepted {accepted}): status {}, {items} items without result: {unread}",
                job.name, job.status
            )
        });
        return;
    };
    verdict.count_cases(u64::from(results.right), true, String::new);
    let cancelled = job.status == "cancelled";
    for finding in &results.findings {
        let holds =
            cancelled && matches!(finding, ItemFinding::Missing(_) | ItemFinding::Failed(_));
        verdict.count_case(holds, || format!("{} ({id}): {finding:?}", job.name));
    }
}

/// Results read when a job ended are unchanged when read later through another sidecar.
pub fn results_readable(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    for job in evidence
        .observations
        .jobs
        .iter()
        .filter(|job| job.ended.is_some())
    {
        let (Some(first), again) = (&job.results, &job.results_again) else {
            let reason = job.unread.as_deref().unwrap_or_default();
            verdict.count_case(false, || format!("{}: not read: {reason}", job.name));
            continue;
        };
        let same = again.as_ref().is_some_and(|again| {
            again.right == first.right && again.fingerprint == first.fingerprint
        });
        verdict.count_case(same, || {
            format!(
                "{} ({:?}): {} right results at first, {:?} later",
                job.name,
                job.id(),
                first.right,
                again.as_ref().map(|again| again.right)
            )
        });
    }
    verdict
}

/// Once a cancel was acknowledged and the bound has passed, no engine starts an item of the job,
/// and the job ends as cancelled.
pub fn cancellation_effective(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    let bound = Duration::from_millis(evidence.bounds.cancel_ms);
    let runs = runs_by_job(evidence);
    for job in &evidence.observations.jobs {
        let (Some(cancel), Some(id)) = (&job.cancel, job.id()) else {
            continue;
        };
        let late = runs.get(id).into_iter().flatten().find(|run| {
            run.started
                .is_some_and(|started| started > cancel.answered + bound)
        });
        verdict.count_case(late.is_none(), || {
            format!(
                "{} ({id}) cancelled at {}: {late:?}",
                job.name,
                format_time(cancel.answered)
            )
        });
        verdict.count_case(matches!(job.status.as_str(), "cancelled"), || {
            format!(
                "{} ({id}) cancelled at {}, but its status is {}",
                job.name,
                format_time(cancel.answered),
                job.status
            )
        });
    }
    verdict
}

/// Batch attempts of cancelled jobs, by the job id contained in their request id.
fn runs_by_job(evidence: &Evidence) -> HashMap<&str, Vec<&EngineRun>> {
    let ids: Vec<&str> = evidence
        .observations
        .jobs
        .iter()
        .filter(|job| job.cancel.is_some())
        .filter_map(JobRecord::id)
        .collect();
    let mut runs: HashMap<&str, Vec<&EngineRun>> = HashMap::new();
    for run in evidence.runs.iter().filter(|run| !run.online) {
        if let Some(id) = ids.iter().find(|id| run.request_id.contains(**id)) {
            runs.entry(id).or_default().push(run);
        }
    }
    runs
}

//! Batch jobs as seen by callers.

use std::time::Duration;

use serde::Serialize;

use super::online::Refusal;

/// An acknowledged cancel.
#[derive(Debug, Clone, Serialize)]
pub struct CancelRecord {
    /// When the acknowledgement arrived.
    pub answered: Duration,
}

/// A problem with one item of a job's results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemFinding {
    /// The item has no result.
    Missing(String),
    /// The item has more than one result.
    Doubled(String),
    /// The result differs from the engine's text.
    Wrong(String),
    /// The item has an error instead of a result.
    Failed(String),
    /// The result belongs to no item of the job.
    Foreign(String),
}

/// Check of a job's results.
#[derive(Debug, Clone, Default, Serialize)]
pub struct JobResults {
    /// Items with exactly one result, which is correct.
    pub right: u32,
    /// Problems of the other items.
    pub findings: Vec<ItemFinding>,
    /// XOR of the hashes of the correct results.
    pub fingerprint: u64,
}

#[derive(Debug, Clone, Default, Serialize)]
pub struct JobRecord {
    /// Job name, also the idempotency key.
    pub name: String,
    pub tenant: String,
    pub items: u32,
    /// When the caller started.
    pub submitted: Duration,
    pub accepted: Option<Duration>,
    /// Ids returned by the accepted submissions; all must be equal.
    pub ids: Vec<String>,
    /// Calls that were refused or failed.
    pub refused: Vec<Refusal>,
    /// Acknowledged cancel.
    pub cancel: Option<CancelRecord>,
    /// When polling showed that it had ended.
    pub ended: Option<Duration>,
    /// Last status seen.
    pub status: String,
    /// Results read when the job ended.
    pub results: Option<JobResults>,
    /// Results read at the end of the run through another sidecar.
    pub results_again: Option<JobResults>,
    /// Why the results could not be read.
    pub unread: Option<String>,
}

impl JobRecord {
    /// Id returned by the first accepted submission.
    pub fn id(&self) -> Option<&str> {
        self.ids.first().map(String::as_str)
    }
}

//! Batch jobs as their callers saw them.

use std::time::Duration;

use serde::Serialize;

use super::online::Refusal;

/// A cancel and its answer.
#[derive(Debug, Clone, Serialize)]
pub struct CancelRecord {
    /// When the answer came that the job is cancelled.
    pub answered: Duration,
}

/// What is wrong with one item of a job's results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemFinding {
    /// The item has no result.
    Missing(String),
    /// The item has several results.
    Doubled(String),
    /// The item has a result that the engine would not have given.
    Wrong(String),
    /// The item has an error in place of a result.
    Failed(String),
    /// A result of no item of the job.
    Foreign(String),
}

/// A job's results as read.
#[derive(Debug, Clone, Default, Serialize)]
pub struct JobResults {
    /// Items with a right result, once.
    pub right: u32,
    /// What is wrong with the others.
    pub findings: Vec<ItemFinding>,
    /// Hash of what was read, in order of the items.
    pub fingerprint: u64,
}

#[derive(Debug, Clone, Default, Serialize)]
pub struct JobRecord {
    /// Name of the arrival, also the client's key.
    pub name: String,
    pub tenant: String,
    pub items: u32,
    /// When it was first submitted.
    pub submitted: Duration,
    /// When it was accepted.
    pub accepted: Option<Duration>,
    /// Ids of the accepted submissions; all must be one.
    pub ids: Vec<String>,
    /// Submissions that were refused or lost.
    pub refused: Vec<Refusal>,
    /// The cancel that was answered.
    pub cancel: Option<CancelRecord>,
    /// When it was seen to have ended.
    pub ended: Option<Duration>,
    /// The status it was last seen in.
    pub status: String,
    /// Results as read when the job ended.
    pub results: Option<JobResults>,
    /// Results as read again at the end of the run, through another sidecar.
    pub results_again: Option<JobResults>,
    /// Why the results were not read.
    pub unread: Option<String>,
}

impl JobRecord {
    /// The id under which it was accepted.
    pub fn id(&self) -> Option<&str> {
        self.ids.first().map(String::as_str)
    }
}

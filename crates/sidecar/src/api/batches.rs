//! Request and response bodies of `/v1/batches` and `/v1/files`.

use std::collections::BTreeMap;

use dappleyard_wire::messages::{FileState, JobError, JobPhase, JobState};
use serde::{Deserialize, Serialize};

use crate::error::ApiError;

/// Body of `POST /v1/batches`.
#[derive(Debug, Deserialize)]
pub struct BatchCreateBody {
    /// Uploaded file with one request per line.
    pub input_file_id: String,
    /// Endpoint to which the requests are addressed.
    pub endpoint: String,
    /// Time limit of the job: a number and `s`, `m`, `h` or `d`.
    pub completion_window: String,
    /// User metadata; the value of [`CLIENT_KEY`] is the job's client key.
    pub metadata: Option<BTreeMap<String, String>>,
}

/// Metadata key for the client key, used when the `Idempotency-Key` header is absent.
pub const CLIENT_KEY: &str = "idempotency_key";

/// 30 days.
const MAXIMUM_WINDOW_S: u64 = 2_592_000;

impl BatchCreateBody {
    pub fn window_seconds(&self) -> Result<u64, ApiError> {
        parse_window(&self.completion_window).ok_or_else(|| {
            ApiError::invalid(
                "completion_window",
                "completion_window must be a number and s, m, h or d, at most 30 days: \"24h\"",
            )
        })
    }
}

fn parse_window(text: &str) -> Option<u64> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let factor = match unit {
        "s" => 1,
        "m" => 60,
        "h" => 3_600,
        "d" => 86_400,
        _ => return None,
    };
    let seconds = digits.parse::<u64>().ok()?.checked_mul(factor)?;
    (1..=MAXIMUM_WINDOW_S).contains(&seconds).then_some(seconds)
}

#[derive(Debug, Serialize)]
pub struct BatchBody {
    id: String,
    object: &'static str,
    endpoint: String,
    errors: Option<BatchErrors>,
    input_file_id: String,
    completion_window: String,
    status: &'static str,
    output_file_id: Option<String>,
    error_file_id: Option<String>,
    created_at: u64,
    expires_at: Option<u64>,
    completed_at: Option<u64>,
    failed_at: Option<u64>,
    cancelled_at: Option<u64>,
    request_counts: RequestCounts,
    metadata: BTreeMap<String, String>,
    dappleyard: BatchExtension,
}

#[derive(Debug, Serialize)]
pub struct RequestCounts {
    total: u32,
    completed: u32,
    failed: u32,
}

/// Extension of OpenAI's batch object.
#[derive(Debug, Serialize)]
pub struct BatchExtension {
    plan_id: Option<String>,
    awaits_confirmation: bool,
    expected_at: Option<u64>,
    deadline_at_risk: bool,
}

#[derive(Debug, Serialize)]
pub struct BatchErrors {
    object: &'static str,
    data: Vec<BatchError>,
}

#[derive(Debug, Serialize)]
pub struct BatchError {
    code: &'static str,
    line: Option<u32>,
    message: String,
    param: Option<String>,
}

impl From<JobState> for BatchBody {
    fn from(job: JobState) -> Self {
        let phase = job.phase();
        let finished = |wanted: JobPhase| (phase == wanted).then_some(job.finished_unix_s);
        let window = job.deadline_unix_s.saturating_sub(job.created_unix_s);
        BatchBody {
            object: "batch",
            errors: errors(&job.errors),
            completion_window: format_window(window),
            status: status(phase),
            output_file_id: non_empty(&job.output_file_id),
            error_file_id: non_empty(&job.error_file_id),
            created_at: job.created_unix_s,
            expires_at: non_zero(job.deadline_unix_s),
            completed_at: finished(JobPhase::JobCompleted),
            failed_at: finished(JobPhase::JobFailed),
            cancelled_at: finished(JobPhase::JobCancelled),
            request_counts: RequestCounts {
                total: job.items_total,
                completed: job.items_completed,
                failed: job.items_failed,
            },
            dappleyard: BatchExtension {
                plan_id: non_empty(&job.plan_id),
                awaits_confirmation: phase == JobPhase::JobPlanned,
                expected_at: non_zero(job.expected_unix_s),
                deadline_at_risk: job.deadline_at_risk,
            },
            id: job.job_id,
            endpoint: job.endpoint,
            input_file_id: job.input_file_id,
            metadata: job.metadata.into_iter().collect(),
        }
    }
}

impl BatchBody {
    pub fn id(&self) -> &str {
        &self.id
    }
}

fn status(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::JobValidating | JobPhase::JobPlanned => "validating",
        JobPhase::JobInProgress => "in_progress",
        JobPhase::JobFinalizing => "finalizing",
        JobPhase::JobCompleted => "completed",
        JobPhase::JobFailed => "failed",
        JobPhase::JobCancelling => "cancelling",
        JobPhase::JobCancelled => "cancelled",
    }
}

fn errors(list: &[JobError]) -> Option<BatchErrors> {
    let data: Vec<BatchError> = list
        .iter()
        .map(|error| BatchError {
            code: "invalid_request",
            line: (error.line > 0).then_some(error.line),
            message: error.message.clone(),
            param: non_empty(&error.field),
        })
        .collect();
    (!data.is_empty()).then_some(BatchErrors {
        object: "list",
        data,
    })
}

/// Formats a window in the largest unit up to hours that divides it.
fn format_window(seconds: u64) -> String {
    match seconds {
        s if s % 3_600 == 0 => format!("{}h", s / 3_600),
        s if s % 60 == 0 => format!("{}m", s / 60),
        s => format!("{s}s"),
    }
}

fn non_empty(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_owned())
}

fn non_zero(number: u64) -> Option<u64> {
    (number > 0).then_some(number)
}

#[derive(Debug, Serialize)]
pub struct ListBody<T> {
    pub object: &'static str,
    pub data: Vec<T>,
    pub first_id: Option<String>,
    /// Id of the last object, for `after`.
    pub last_id: Option<String>,
    /// Whether there is another page.
    pub has_more: bool,
}

#[derive(Debug, Serialize)]
pub struct FileBody {
    id: String,
    object: &'static str,
    bytes: u64,
    created_at: u64,
    filename: String,
    purpose: String,
    status: &'static str,
}

impl From<FileState> for FileBody {
    fn from(file: FileState) -> Self {
        FileBody {
            id: file.file_id,
            object: "file",
            bytes: file.size,
            created_at: file.created_unix_s,
            filename: file.filename,
            purpose: file.purpose,
            status: if file.sealed { "processed" } else { "uploaded" },
        }
    }
}

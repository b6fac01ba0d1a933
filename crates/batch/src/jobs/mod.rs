//! Handlers of file and job calls, run on the request path.

mod approval;
mod cancel;
mod files;
mod progress;
mod read;
mod results;
mod submit;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_settings::BatchSettings;
use dappleyard_store::Platform;
use dappleyard_tables::NodeTables;
use dappleyard_wire::messages::{Call, JobRow, Reply, call, reply};
use dappleyard_wire::{ErrorKind, Failure};

pub use approval::{ApprovedRows, JobPlan, TenantEffect, approved_rows};
pub use progress::{CompletionCheck, Progress, complete_if_done};

use crate::store::{self, Versioned};

/// Appended to a job id to form the id of its output file.
pub const OUTPUT_SUFFIX: &str = "-output";
/// Appended to a job id to form the id of its error file.
pub const ERRORS_SUFFIX: &str = "-errors";

/// Handler of file and job calls. Each worker thread has its own instance.
pub struct JobsApi {
    tables: Arc<NodeTables>,
    platform: Platform,
    maximum_part_bytes: usize,
    upload_hashes: files::UploadHashes,
    progress: progress::ProgressCache,
}

impl JobsApi {
    pub fn new(
        tables: Arc<NodeTables>,
        settings: BatchSettings,
        platform: Platform,
    ) -> Rc<JobsApi> {
        Rc::new(JobsApi {
            tables,
            platform,
            maximum_part_bytes: settings.memory_bytes,
            upload_hashes: files::UploadHashes::default(),
            progress: progress::ProgressCache::default(),
        })
    }

    /// Handles a call of one of the `file_*` and `job_*` methods.
    ///
    /// # Errors
    /// The failure to return to the client. Its `ran` is `maybe` when it is unknown whether a write
    /// took effect, or when the call's time budget ran out; the client may send the call again.
    pub async fn call(&self, call: Call) -> Result<Reply, Failure> {
        let budget = Duration::from_millis(u64::from(call.budget_ms));
        let answered = self.dispatch(call.method);
        let result = match budget.is_zero() {
            true => answered.await,
            false => tokio::time::timeout(budget, answered)
                .await
                .unwrap_or_else(|_| Err(budget_exceeded())),
        };
        result.map(|result| Reply {
            result: Some(result),
        })
    }

    async fn dispatch(&self, method: Option<call::Method>) -> Result<reply::Result, Failure> {
        use call::Method;
        use reply::Result as Answer;
        match method {
            Some(Method::FileCreate(call)) => self.create_file(call).await.map(Answer::File),
            Some(Method::FileAppend(call)) => self.append_file(call).await.map(Answer::File),
            Some(Method::FileSeal(call)) => self.seal_file(call).await.map(Answer::File),
            Some(Method::FileRead(call)) => self.read_file(call).await.map(Answer::Data),
            Some(Method::FileStat(call)) => self.stat_file(call).await.map(Answer::File),
            Some(Method::JobSubmit(call)) => self.submit(call).await.map(Answer::Job),
            Some(Method::JobGet(call)) => self.get(call).await.map(Answer::Job),
            Some(Method::JobList(call)) => self.list(call).await.map(Answer::Jobs),
            Some(Method::JobCancel(call)) => self.cancel(call).await.map(Answer::Job),
            _ => Err(Failure::not_run(
                ErrorKind::InvalidRequest,
                "not a call about files or jobs",
            )),
        }
    }

    async fn job_row(&self, tenant: &str, job: &str) -> Result<Versioned<JobRow>, Failure> {
        let key = dappleyard_wire::keys::job(&tenant.into(), &job.into());
        let row = store::read_row::<JobRow>(&*self.platform.tables, &key).await;
        row.map_err(|error| store::failure(&error))?
            .ok_or_else(|| Failure::not_run(ErrorKind::NotFound, format!("no job {job}")))
    }

    fn now_unix_s(&self) -> u64 {
        self.tables.clock.unix_ms() / 1_000
    }
}

fn budget_exceeded() -> Failure {
    Failure::maybe_ran(
        ErrorKind::DeadlineExceeded,
        "the call's time ran out; send it again to learn what became of it",
    )
}

/// Checks that a name can be part of a key: not empty, not too long, no slash and no control
/// character.
fn check_name(what: &str, name: &str) -> Result<(), Failure> {
    let fits = !name.is_empty()
        && name.len() <= MAXIMUM_NAME_BYTES
        && !name.contains('/')
        && !name.chars().any(char::is_control);
    match fits {
        true => Ok(()),
        false => Err(Failure::not_run(
            ErrorKind::InvalidRequest,
            format!("{what} must be 1 to {MAXIMUM_NAME_BYTES} bytes without '/'"),
        )),
    }
}

/// Maximum length of a tenant, a file or job id, or a client key, bytes.
const MAXIMUM_NAME_BYTES: usize = 256;

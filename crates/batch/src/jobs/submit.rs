//! Submission of jobs: one transaction creates the job and binds the client's idempotency key to
//! it.

use dappleyard_store::Transaction;
use dappleyard_store::tables::Expect;
use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::messages::{
    ActiveJobRow, ClientKeyRow, JobPhase, JobRow, JobState, JobSubmit, SplitRow,
};
use dappleyard_wire::{ErrorKind, Failure, keys};
use prost::Message;

use super::{ERRORS_SUFFIX, JobsApi, OUTPUT_SUFFIX, check_name};
use crate::input::item::{CHAT_ENDPOINT, COMPLETIONS_ENDPOINT};
use crate::store::{self, WriteOutcome};

const JOB_ID_PREFIX: &str = "batch_";
/// Minimum completion window, seconds.
const MINIMUM_WINDOW_S: u64 = 1;

impl JobsApi {
    pub(super) async fn submit(&self, call: JobSubmit) -> Result<JobState, Failure> {
        check_submit(&call)?;
        if !self.tables.takes_new_work() {
            let message = "this node takes no new jobs";
            return Err(Failure::not_run(ErrorKind::NotReady, message));
        }
        let file = self.file_row(&call.tenant, &call.input_file_id).await?;
        let size = file.state.as_ref().map_or(0, |state| state.size);
        let fingerprint = fingerprint(&call, file.content_hash, size);
        if let Some(existing) = self.job_for_client_key(&call, fingerprint).await? {
            return Ok(existing);
        }
        let row = self.new_job(&call, size);
        self.create_job(row, fingerprint).await
    }

    fn new_job(&self, call: &JobSubmit, input_bytes: u64) -> JobRow {
        let job_id = format!("{JOB_ID_PREFIX}{}", uuid::Uuid::now_v7().simple());
        let created = self.now_unix_s();
        let window = call.completion_window_s.max(MINIMUM_WINDOW_S);
        let state = JobState {
            output_file_id: format!("{job_id}{OUTPUT_SUFFIX}"),
            error_file_id: format!("{job_id}{ERRORS_SUFFIX}"),
            tenant: call.tenant.clone(),
            endpoint: call.endpoint.clone(),
            input_file_id: call.input_file_id.clone(),
            created_unix_s: created,
            deadline_unix_s: created.saturating_add(window),
            metadata: call.metadata.clone(),
            phase: JobPhase::JobValidating as i32,
            job_id,
            ..JobState::default()
        };
        JobRow {
            state: Some(state),
            input_object: keys::file_object(&call.tenant, &call.input_file_id),
            repeat: call.repeat,
            client_key: call.client_key.clone(),
            input_bytes,
            ..JobRow::default()
        }
    }

    /// Writes the job, client key, split and active-job rows in one transaction. The job is
    /// acknowledged only after that.
    async fn create_job(&self, row: JobRow, fingerprint: u64) -> Result<JobState, Failure> {
        let state = row.state.clone().unwrap_or_default();
        let job = state.job_id.as_str().into();
        let tenant = state.tenant.as_str().into();
        let job_key = keys::job(&tenant, &job);
        let split = SplitRow {
            job_id: state.job_id.clone(),
            tenant: state.tenant.clone(),
            ..SplitRow::default()
        };
        let active = ActiveJobRow {
            job_id: state.job_id.clone(),
            tenant: state.tenant.clone(),
            deadline_unix_s: state.deadline_unix_s,
            repeat: row.repeat,
            ..ActiveJobRow::default()
        };
        let mut transaction = Transaction::default()
            .expect(job_key.as_str(), Expect::Absent)
            .put(job_key.as_str(), row.encode_to_vec())
            .put(keys::split_job(&job), split.encode_to_vec())
            .put(keys::active_job(&job), active.encode_to_vec());
        if !row.client_key.is_empty() {
            let key = keys::client_key(&tenant, &row.client_key);
            let binding = ClientKeyRow {
                job_id: state.job_id.clone(),
                fingerprint,
            };
            transaction = transaction
                .expect(key.as_str(), Expect::Absent)
                .put(key, binding.encode_to_vec());
        }
        // The job id is new, so only this transaction can have written a row under it.
        let applied =
            store::transact_resolved(&*self.platform.tables, &transaction, &job_key, |_| true)
                .await;
        match applied.map_err(|error| store::failure(&error))? {
            WriteOutcome::Written { .. } => Ok(state),
            WriteOutcome::Conflict => self.job_after_conflict(&row, fingerprint).await,
        }
    }

    /// Returns the job of a concurrent submission with the same client key.
    async fn job_after_conflict(
        &self,
        row: &JobRow,
        fingerprint: u64,
    ) -> Result<JobState, Failure> {
        let state = row.state.clone().unwrap_or_default();
        let call = JobSubmit {
            tenant: state.tenant,
            client_key: row.client_key.clone(),
            ..JobSubmit::default()
        };
        let existing = self.job_for_client_key(&call, fingerprint).await?;
        existing.ok_or_else(|| {
            Failure::not_run(
                ErrorKind::Conflict,
                "the job could not be created; send it again",
            )
        })
    }

    async fn job_for_client_key(
        &self,
        call: &JobSubmit,
        fingerprint: u64,
    ) -> Result<Option<JobState>, Failure> {
        if call.client_key.is_empty() {
            return Ok(None);
        }
        let key = keys::client_key(&call.tenant.as_str().into(), &call.client_key);
        let binding = store::read_row::<ClientKeyRow>(&*self.platform.tables, &key).await;
        let Some(binding) = binding.map_err(|error| store::failure(&error))? else {
            return Ok(None);
        };
        if binding.row.fingerprint != fingerprint {
            let message = format!("client key {:?} belongs to another job", call.client_key);
            return Err(Failure::not_run(ErrorKind::KeyReused, message));
        }
        self.state_of(&call.tenant, &binding.row.job_id)
            .await
            .map(Some)
    }
}

fn check_submit(call: &JobSubmit) -> Result<(), Failure> {
    check_name("the tenant", &call.tenant)?;
    check_name("the input file", &call.input_file_id)?;
    if !call.client_key.is_empty() {
        check_name("the client key", &call.client_key)?;
    }
    if ![CHAT_ENDPOINT, COMPLETIONS_ENDPOINT].contains(&call.endpoint.as_str()) {
        let message = format!("endpoint must be {CHAT_ENDPOINT} or {COMPLETIONS_ENDPOINT}");
        return Err(Failure::not_run(ErrorKind::InvalidRequest, message));
    }
    Ok(())
}

/// Fingerprint of a submission. It covers the content of the input file instead of its id, so that
/// a client that uploads the same file again and resends the job gets the same job.
fn fingerprint(call: &JobSubmit, content_hash: u64, size: u64) -> u64 {
    let mut metadata: Vec<_> = call.metadata.iter().collect();
    metadata.sort();
    let text = format!(
        "{}\n{}\n{}\n{content_hash}\n{size}\n{metadata:?}",
        call.endpoint, call.completion_window_s, call.repeat
    );
    hash_bytes(text.as_bytes())
}

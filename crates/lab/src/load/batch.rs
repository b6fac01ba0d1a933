//! Batch callers: upload, submit, poll, cancel, then read and check the results.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use serde::Deserialize;
use serde_json::{Value, json};

use super::client::{CallError, Caller};
use super::plan::{ItemPlan, JobArrival};
use super::results;
use crate::recorder::{CancelRecord, JobRecord, JobResults, Recorder, Refusal};
use crate::scenario::BatchScenario;

/// Delay before a failed call is retried.
const RETRY_WAIT: Duration = Duration::from_millis(400);
/// Refusals recorded per job.
const MAX_REFUSALS: usize = 20;

/// State shared by the batch callers of one thread.
pub struct BatchCallers {
    pub http: Client,
    pub recorder: Recorder,
    pub sidecars: Rc<Vec<String>>,
    pub service: String,
    /// Versions that may be loaded during the run.
    pub versions: Vec<String>,
    pub batch: BatchScenario,
    /// When callers give up, relative to the start of the run.
    pub give_up_at: Duration,
    /// When results are read a second time, relative to the start of the run.
    pub reread_at: Duration,
    /// Whether every job is currently submitted twice.
    pub always_resend: Rc<dyn Fn() -> bool>,
    /// Whether jobs that are finalizing or at least half complete are currently cancelled.
    pub cancel_committing: Rc<dyn Fn() -> bool>,
}

/// The fields of a batch object that callers use.
#[derive(Debug, Clone, Deserialize)]
struct BatchObject {
    id: String,
    status: String,
    #[serde(default)]
    output_file_id: Option<String>,
    #[serde(default)]
    error_file_id: Option<String>,
    #[serde(default)]
    request_counts: Option<RequestCounts>,
}

#[derive(Debug, Clone, Deserialize)]
struct RequestCounts {
    completed: u32,
}

impl BatchObject {
    fn has_ended(&self) -> bool {
        matches!(
            self.status.as_str(),
            "completed" | "failed" | "cancelled" | "expired"
        )
    }
}

impl BatchCallers {
    /// Runs a job from upload to reading its results.
    pub async fn run(&self, arrival: &JobArrival) {
        let items = arrival.items(&self.batch);
        let mut record = JobRecord {
            name: arrival.name.clone(),
            tenant: arrival.tenant.clone(),
            items: arrival.items,
            submitted: self.recorder.clock.now(),
            status: "not accepted".to_owned(),
            ..JobRecord::default()
        };
        let caller = self.caller(arrival, 0);
        if let Some(last) = self
            .submit_and_poll(&caller, arrival, &items, &mut record)
            .await
        {
            record.status.clone_from(&last.status);
            if last.has_ended() {
                record.ended = Some(self.recorder.clock.now());
                let read = self.read_results(&caller, &last, &items).await;
                match read {
                    Ok(results) => record.results = Some(results),
                    Err(error) => record.unread = Some(format!("{error:?}")),
                }
                let other = self.caller(arrival, 1);
                record.results_again = self.reread_results(&other, &last, &items).await;
            }
        }
        self.recorder.add_job(record);
    }

    fn caller(&self, arrival: &JobArrival, offset: usize) -> Caller {
        Caller {
            http: self.http.clone(),
            base: self.sidecars[(arrival.sidecar + offset) % self.sidecars.len()].clone(),
            tenant: arrival.tenant.clone(),
        }
    }

    fn has_time_left(&self) -> bool {
        self.recorder.clock.now() < self.give_up_at
    }

    /// Submits the job and polls it until it has ended or the caller gives up.
    async fn submit_and_poll(
        &self,
        caller: &Caller,
        arrival: &JobArrival,
        items: &[ItemPlan],
        record: &mut JobRecord,
    ) -> Option<BatchObject> {
        let file = self.upload(caller, arrival, items, record).await?;
        let mut last = self.submit(caller, arrival, &file, record).await?;
        if arrival.resend || (self.always_resend)() {
            self.resend(arrival, &file, record).await;
        }
        let accepted = record.accepted.unwrap_or_default();
        let cancelling = Cell::new(arrival.cancel_after.map(|wait| accepted + wait));
        while !last.has_ended() && self.has_time_left() {
            tokio::time::sleep(self.poll_wait(&cancelling)).await;
            let due = cancelling
                .get()
                .is_some_and(|at| self.recorder.clock.now() >= at);
            if due && record.cancel.is_none() {
                self.cancel(caller, record).await;
            }
            let polled: Result<BatchObject, _> =
                caller.get(&format!("/v1/batches/{}", last.id)).await;
            match polled {
                Ok(seen) => last = seen,
                Err(error) => record_refusal(record, error.into_refusal()),
            }
            if (self.cancel_committing)() && is_half_complete(&last, arrival.items) {
                cancelling.set(Some(Duration::ZERO));
            }
        }
        Some(last)
    }

    fn poll_wait(&self, cancelling: &Cell<Option<Duration>>) -> Duration {
        let poll = Duration::from_millis(self.batch.poll_ms);
        let now = self.recorder.clock.now();
        match cancelling.get() {
            Some(at) if at > now => poll.min(at - now),
            _ => poll,
        }
    }

    async fn upload(
        &self,
        caller: &Caller,
        arrival: &JobArrival,
        items: &[ItemPlan],
        record: &mut JobRecord,
    ) -> Option<String> {
        let content = self.input_file(items);
        while self.has_time_left() {
            match caller
                .upload(&format!("{}.jsonl", arrival.name), &content)
                .await
            {
                Ok(id) => return Some(id),
                Err(error) => record_refusal(record, error.into_refusal()),
            }
            tokio::time::sleep(RETRY_WAIT).await;
        }
        None
    }

    fn input_file(&self, items: &[ItemPlan]) -> Vec<u8> {
        let mut content = Vec::new();
        for item in items {
            let line = json!({
                "custom_id": item.custom_id,
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {
                    "model": self.service,
                    "max_tokens": item.max_tokens,
                    "messages": [
                        {"role": "system", "content": item.system},
                        {"role": "user", "content": item.user},
                    ],
                },
            });
            content.extend_from_slice(line.to_string().as_bytes());
            content.push(b'\n');
        }
        content
    }

    async fn submit(
        &self,
        caller: &Caller,
        arrival: &JobArrival,
        file: &str,
        record: &mut JobRecord,
    ) -> Option<BatchObject> {
        while self.has_time_left() {
            match submit_once(caller, arrival, file).await {
                Ok(batch) => {
                    record.accepted = Some(self.recorder.clock.now());
                    record.ids.push(batch.id.clone());
                    return Some(batch);
                }
                Err(error) => record_refusal(record, error.into_refusal()),
            }
            tokio::time::sleep(RETRY_WAIT).await;
        }
        None
    }

    /// Submits the same job again through another sidecar.
    async fn resend(&self, arrival: &JobArrival, file: &str, record: &mut JobRecord) {
        match submit_once(&self.caller(arrival, 1), arrival, file).await {
            Ok(batch) => record.ids.push(batch.id),
            Err(error) => record_refusal(record, error.into_refusal()),
        }
    }

    async fn cancel(&self, caller: &Caller, record: &mut JobRecord) {
        let Some(id) = record.id().map(str::to_owned) else {
            return;
        };
        let answer: Result<BatchObject, _> = caller
            .post(&format!("/v1/batches/{id}/cancel"), None, &json!({}))
            .await;
        match answer {
            Ok(batch) if matches!(batch.status.as_str(), "cancelling" | "cancelled") => {
                record.cancel = Some(CancelRecord {
                    answered: self.recorder.clock.now(),
                });
            }
            Ok(_) => {}
            Err(error) => record_refusal(record, error.into_refusal()),
        }
    }

    /// Reads the results again after the load.
    async fn reread_results(
        &self,
        caller: &Caller,
        last: &BatchObject,
        items: &[ItemPlan],
    ) -> Option<JobResults> {
        let due = self.recorder.clock.instant(self.reread_at);
        tokio::time::sleep_until(due.into()).await;
        loop {
            if let Ok(results) = self.read_results(caller, last, items).await {
                return Some(results);
            }
            if !self.has_time_left() {
                return None;
            }
            tokio::time::sleep(RETRY_WAIT).await;
        }
    }

    async fn read_results(
        &self,
        caller: &Caller,
        batch: &BatchObject,
        items: &[ItemPlan],
    ) -> Result<JobResults, CallError> {
        let mut lines = Vec::new();
        for file in [&batch.output_file_id, &batch.error_file_id]
            .into_iter()
            .flatten()
        {
            if !file.is_empty() {
                lines.extend_from_slice(&self.read_file(caller, file).await?);
                lines.push(b'\n');
            }
        }
        Ok(results::check_results(&lines, items, &self.versions))
    }

    /// Reads a file, retrying server errors and truncated downloads until the caller gives up.
    async fn read_file(&self, caller: &Caller, file: &str) -> Result<bytes::Bytes, CallError> {
        loop {
            match caller.get_bytes(&format!("/v1/files/{file}/content")).await {
                Err(CallError::Refused(refusal)) if refusal.status < 500 => {
                    return Err(CallError::Refused(refusal));
                }
                Ok(content) if self.is_whole(caller, file, &content).await => return Ok(content),
                Ok(_) | Err(_) if self.has_time_left() => tokio::time::sleep(RETRY_WAIT).await,
                Ok(_) => return Err(CallError::Broken("size differs from the file".to_owned())),
                Err(error) => return Err(error),
            }
        }
    }

    /// Whether a download has the size of the file object. The HTTP client treats a connection that
    /// closes within the body as the end of the body.
    async fn is_whole(&self, caller: &Caller, file: &str, content: &[u8]) -> bool {
        let state: Result<Value, _> = caller.get(&format!("/v1/files/{file}")).await;
        state.is_ok_and(|state| state["bytes"].as_u64() == Some(content.len() as u64))
    }
}

async fn submit_once(
    caller: &Caller,
    arrival: &JobArrival,
    file: &str,
) -> Result<BatchObject, CallError> {
    let body = json!({
        "input_file_id": file,
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
        "metadata": {"name": arrival.name},
    });
    caller.post("/v1/batches", Some(&arrival.name), &body).await
}

fn is_half_complete(batch: &BatchObject, items: u32) -> bool {
    let completed = batch
        .request_counts
        .as_ref()
        .map_or(0, |counts| counts.completed);
    batch.status == "finalizing" || completed * 2 >= items
}

fn record_refusal(record: &mut JobRecord, refusal: Refusal) {
    if record.refused.len() < MAX_REFUSALS {
        record.refused.push(refusal);
    }
}

//! Accepts jobs: a job is durable before it is acknowledged, and submitting it again is idempotent.

use std::time::Duration;

use bytes::Bytes;
use dappleyard_ingress::{ErrorKind, JobReply, Metrics};
use dappleyard_model::{RequestMetadata, Route, StoreError, Transaction};
use dappleyard_tenants::Caller;
use prost::Message;

use crate::api::JobService;
use crate::kept::KeptBytes;
use crate::keys::{CHUNK_BYTES, items_key, job_key, quota_key};
use crate::messages::{ItemsBlob, JobRow, StoredItem};
use dappleyard_clock::Instant;

/// Total time for the attempts of one submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a submission is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Longest wait for the table to include another node's submission.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// Size limit of a job's encoded items, which are written in one transaction.
const MAX_JOB_BYTES: usize = 700_000;
/// With fewer free tokens than this, submissions to a quota are serialized by a conditional write to the quota's row,
/// so that concurrent submissions on several nodes cannot exceed it together.
const SERIALIZE_BELOW_TOKENS: u64 = 300_000;

struct Submission<'a> {
    service: &'a JobService,
    caller: &'a Caller,
    route: &'a Route,
    job: &'a str,
    tokens: u64,
    items: Vec<StoredItem>,
    /// Counts the items from now on, since they are kept once the job is accepted.
    kept: Option<KeptBytes>,
    /// The encoded items, one chunk per row.
    chunks: Vec<Bytes>,
    /// Last known revision of the quota's row; 0 if it does not exist.
    quota_revision: u64,
    /// Whether an earlier attempt had an unknown outcome, so the job may exist.
    in_doubt: bool,
}

/// Result of one attempt.
enum StepOutcome {
    Reply(JobReply),
    Retry,
}

pub(crate) async fn submit(
    service: &JobService,
    caller: &Caller,
    route: &Route,
    facts: &RequestMetadata,
    body: Bytes,
) -> JobReply {
    let items = match service.node.dialect.job(&body) {
        Ok(items) => items,
        Err(error) => return JobReply::Refused(ErrorKind::Malformed, error.to_string()),
    };
    drop(body);
    let items: Vec<StoredItem> = items.into_iter().map(StoredItem::from).collect();
    let blob = ItemsBlob {
        items: items.clone(),
    };
    let mut encoded = Bytes::from(blob.encode_to_vec());
    if encoded.len() > MAX_JOB_BYTES {
        return JobReply::Refused(ErrorKind::BodyTooLong, "the job is too long".to_owned());
    }
    let kept = service.table.kept.keep(&items);
    if service
        .table
        .kept
        .exceed(service.node.settings.resources.memory_mb)
    {
        let detail = "the items of other jobs take the memory for them".to_owned();
        return JobReply::Refused(ErrorKind::MemoryShort, detail);
    }
    let mut chunks = Vec::new();
    while !encoded.is_empty() {
        chunks.push(encoded.split_to(encoded.len().min(CHUNK_BYTES)));
    }
    let mut submission = Submission {
        service,
        caller,
        route,
        job: &facts.id,
        tokens: items.iter().map(|item| item.tokens).sum(),
        items,
        kept: Some(kept),
        chunks,
        quota_revision: 0,
        in_doubt: false,
    };
    let reply = submission.run().await;
    submission.log(&reply);
    reply
}

impl Submission<'_> {
    async fn run(&mut self) -> JobReply {
        let started = Instant::now();
        loop {
            match self.step().await {
                StepOutcome::Reply(reply) => return reply,
                StepOutcome::Retry if started.elapsed() < SUBMIT_TIMEOUT => {}
                StepOutcome::Retry => return self.timeout_reply(),
            }
        }
    }

    /// Reply for an identifier that exists already: the same caller submits it again, or another tenant uses it.
    fn reply_for_existing(&self, row: &JobRow) -> JobReply {
        match row.is_open_to(self.caller) {
            true => JobReply::Accepted,
            false => JobReply::Refused(ErrorKind::Malformed, "the identifier is taken".to_owned()),
        }
    }

    fn timeout_reply(&self) -> JobReply {
        match self.in_doubt {
            true => JobReply::Refused(ErrorKind::StoreInDoubt, "no certain answer".to_owned()),
            false => JobReply::Refused(ErrorKind::StoreUnavailable, "no answer".to_owned()),
        }
    }

    /// Makes one attempt to write the job.
    async fn step(&mut self) -> StepOutcome {
        let table = &self.service.table;
        if let Some(known) = table.get(self.job) {
            return StepOutcome::Reply(self.reply_for_existing(&known.row));
        }
        // The queued tokens and the clock are unknown until the table has been read.
        let now_ms = match table.now_ms() {
            Some(now_ms) if table.is_fresh() => now_ms,
            _ => {
                table.changed(RETRY_DELAY).await;
                return StepOutcome::Retry;
            }
        };
        let limit = self.route.max_queued_tokens;
        let queued = table.open_tokens(&self.route.name, self.caller.tenant_name());
        let free = limit.saturating_sub(queued + self.tokens);
        if limit > 0 && queued + self.tokens > limit {
            if self.in_doubt {
                return StepOutcome::Reply(self.timeout_reply());
            }
            let detail = format!("{queued} of {limit} tokens wait, {} more", self.tokens);
            return StepOutcome::Reply(JobReply::Refused(ErrorKind::QuotaExceeded, detail));
        }
        let serialized = limit > 0 && free < SERIALIZE_BELOW_TOKENS.max(limit / 2);
        let row = self.row(now_ms);
        let transaction = self.transaction(&row, serialized);
        match self.service.store.transact(&transaction).await {
            Ok(committed) => {
                self.record_accepted(row, committed.revision);
                StepOutcome::Reply(JobReply::Accepted)
            }
            Err(StoreError::Conflict { rows }) => self.handle_conflict(&rows).await,
            Err(StoreError::Ambiguous { .. }) => {
                self.in_doubt = true;
                StepOutcome::Retry
            }
            Err(StoreError::Invalid { reason }) => {
                StepOutcome::Reply(JobReply::Refused(ErrorKind::BodyTooLong, reason))
            }
            Err(_) => {
                tokio::time::sleep(RETRY_DELAY).await;
                StepOutcome::Retry
            }
        }
    }

    fn record_accepted(&mut self, row: JobRow, revision: u64) {
        let table = &self.service.table;
        if let Some(kept) = self.kept.take().filter(|_| !row.owner.is_empty()) {
            table.stash_items(self.job, std::mem::take(&mut self.items), kept);
        }
        table.put(self.job, row, revision);
        Metrics::count(&self.service.node.metrics.jobs_accepted);
    }

    /// Replies if the job exists already. Otherwise another submission has changed the quota's row; waits until the
    /// table includes it before the next attempt.
    async fn handle_conflict(&mut self, rows: &[dappleyard_model::Row]) -> StepOutcome {
        if self.service.table.put_from_conflict(self.job, rows) {
            let found = self.service.table.get(self.job);
            return match found {
                Some(known) => StepOutcome::Reply(self.reply_for_existing(&known.row)),
                None => StepOutcome::Retry,
            };
        }
        let quota = quota_key(&self.route.name, self.caller.tenant_name());
        let current = rows
            .iter()
            .filter(|row| row.key == quota.key)
            .map(|row| row.revision)
            .max();
        if let Some(revision) = current {
            self.quota_revision = revision;
            self.catch_up(revision).await;
        }
        StepOutcome::Retry
    }

    /// Waits until the table includes the submission that last wrote the quota row.
    async fn catch_up(&self, revision: u64) {
        let until = Instant::now() + CATCH_UP_TIMEOUT;
        while self.service.table.revision() < revision && Instant::now() < until {
            self.service.table.changed(CATCH_UP_TIMEOUT / 10).await;
        }
    }

    fn row(&self, now_ms: u64) -> JobRow {
        let node = &self.service.node;
        // A node that is shutting down stores the job without an owner, so that another node claims it.
        let (owner, life) = match node.is_leaving() {
            true => (String::new(), 0),
            false => (node.settings.name.clone(), node.life),
        };
        JobRow {
            route: self.route.name.clone(),
            host: self.route.host.clone(),
            total: self.items.len() as u64,
            accepted_ms: now_ms,
            owner,
            life,
            epoch: 1,
            state: 0,
            listed: 0,
            open_tokens: self.tokens,
            listed_items: Bytes::new(),
            due_ms: now_ms + self.route.result_target_ms,
            has_partials: false,
            tenant: self.caller.tenant_name().to_owned(),
            region: node.view.zone_distances().region().map(ToString::to_string),
        }
    }

    fn transaction(&self, row: &JobRow, serialized: bool) -> Transaction {
        let key = job_key(self.job);
        let mut transaction = Transaction::default()
            .expect(key.clone(), 0)
            .put(key, row.encode_to_vec());
        for (chunk, bytes) in self.chunks.iter().enumerate() {
            transaction = transaction.put(items_key(self.job, chunk), bytes.clone());
        }
        if serialized {
            let quota = quota_key(&self.route.name, self.caller.tenant_name());
            transaction = transaction
                .expect(quota.clone(), self.quota_revision)
                .put(quota, self.job.as_bytes().to_vec());
        }
        transaction
    }

    fn log(&self, reply: &JobReply) {
        let outcome = match reply {
            JobReply::Refused(kind, detail) => format!("{kind}: {detail}"),
            _ => "accepted".to_owned(),
        };
        self.service.node.log.write("job_submitted", || {
            serde_json::json!({"job": self.job, "route": self.route.name,
                "tenant": self.caller.tenant_name(), "tokens": self.tokens, "in_doubt": self.in_doubt,
                "table_revision": self.service.table.revision(), "outcome": outcome})
        });
    }
}

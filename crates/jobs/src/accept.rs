//! Takes a job: durable before it is accepted, and taken once however often it is sent.

use std::time::Duration;

use bytes::Bytes;
use dappleyard_ingress::{ErrorKind, JobReply, Metrics};
use dappleyard_model::{RequestFacts, Route, StoreError, Transaction};
use dappleyard_tenants::Caller;
use prost::Message;

use crate::api::NodeJobs;
use crate::keys::{CHUNK_BYTES, items_key, job_key, quota_key};
use crate::messages::{ItemsBlob, JobRow, StoredItem};
use dappleyard_clock::Instant;

/// Time for which a submission is tried.
const TRY_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause after a call that changed nothing.
const PAUSE: Duration = Duration::from_millis(60);
/// Longest wait for the table to learn of another acceptance.
const CATCH_UP: Duration = Duration::from_millis(300);
/// Most bytes of items that one transaction takes.
const MOST_BYTES: usize = 700_000;
/// Free tokens above which acceptances need not wait for each other.
const AMPLE_TOKENS: u64 = 300_000;

struct Submission<'a> {
    calls: &'a NodeJobs,
    caller: &'a Caller,
    route: &'a Route,
    job: &'a str,
    tokens: u64,
    items: Vec<StoredItem>,
    chunks: Vec<Bytes>,
    quota_revision: u64,
    in_doubt: bool,
}

/// What one try came to.
enum Step {
    Reply(JobReply),
    Again,
}

pub(crate) async fn submit(
    calls: &NodeJobs,
    caller: &Caller,
    route: &Route,
    facts: &RequestFacts,
    body: Bytes,
) -> JobReply {
    let items = match calls.node.dialect.job(&body) {
        Ok(items) => items,
        Err(error) => return JobReply::Refused(ErrorKind::Malformed, error.to_string()),
    };
    let items: Vec<StoredItem> = items.into_iter().map(StoredItem::from).collect();
    let blob = ItemsBlob {
        items: items.clone(),
    };
    let mut encoded = Bytes::from(blob.encode_to_vec());
    if encoded.len() > MOST_BYTES {
        return JobReply::Refused(ErrorKind::BodyTooLong, "the job is too long".to_owned());
    }
    let mut chunks = Vec::new();
    while !encoded.is_empty() {
        chunks.push(encoded.split_to(encoded.len().min(CHUNK_BYTES)));
    }
    let mut submission = Submission {
        calls,
        caller,
        route,
        job: &facts.id,
        tokens: items.iter().map(|item| item.tokens).sum(),
        items,
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
                Step::Reply(reply) => return reply,
                Step::Again if started.elapsed() < TRY_LIMIT => {}
                Step::Again => return self.give_up(),
            }
        }
    }

    /// The answer to a job that is there already: its caller sends it once more, or another tenant has
    /// taken its identifier.
    fn sent_again(&self, row: &JobRow) -> JobReply {
        match row.is_open_to(self.caller) {
            true => JobReply::Accepted,
            false => JobReply::Refused(ErrorKind::Malformed, "the identifier is taken".to_owned()),
        }
    }

    fn give_up(&self) -> JobReply {
        match self.in_doubt {
            true => JobReply::Refused(ErrorKind::StoreInDoubt, "no certain answer".to_owned()),
            false => JobReply::Refused(ErrorKind::StoreUnavailable, "no answer".to_owned()),
        }
    }

    async fn step(&mut self) -> Step {
        let table = &self.calls.table;
        if let Some(known) = table.get(self.job) {
            return Step::Reply(self.sent_again(&known.row));
        }
        // Neither the waiting tokens nor the clock can be told before the table was read.
        let now_ms = match table.now_ms() {
            Some(now_ms) if table.is_fresh() => now_ms,
            _ => {
                table.changed(PAUSE).await;
                return Step::Again;
            }
        };
        let limit = self.route.max_queued_tokens;
        let waiting = table.open_tokens(&self.route.name, self.caller.tenant_name());
        let free = limit.saturating_sub(waiting + self.tokens);
        if limit > 0 && waiting + self.tokens > limit {
            if self.in_doubt {
                return Step::Reply(self.give_up());
            }
            let detail = format!("{waiting} of {limit} tokens wait, {} more", self.tokens);
            return Step::Reply(JobReply::Refused(ErrorKind::QuotaExceeded, detail));
        }
        let in_turn = limit > 0 && free < AMPLE_TOKENS.max(limit / 2);
        let row = self.row(now_ms);
        let transaction = self.transaction(&row, in_turn);
        match self.calls.store.transact(&transaction).await {
            Ok(committed) => {
                self.accepted(row, committed.revision);
                Step::Reply(JobReply::Accepted)
            }
            Err(StoreError::Conflict { rows }) => self.conflict(&rows).await,
            Err(StoreError::Ambiguous { .. }) => {
                self.in_doubt = true;
                Step::Again
            }
            Err(StoreError::Invalid { reason }) => {
                Step::Reply(JobReply::Refused(ErrorKind::BodyTooLong, reason))
            }
            Err(_) => {
                tokio::time::sleep(PAUSE).await;
                Step::Again
            }
        }
    }

    fn accepted(&mut self, row: JobRow, revision: u64) {
        let table = &self.calls.table;
        if !row.owner.is_empty() {
            table.hand_over(self.job, std::mem::take(&mut self.items));
        }
        table.put(self.job, row, revision);
        Metrics::count(&self.calls.node.metrics.jobs_accepted);
    }

    async fn conflict(&mut self, rows: &[dappleyard_model::Row]) -> Step {
        if self.calls.table.put_found(self.job, rows) {
            let found = self.calls.table.get(self.job);
            return match found {
                Some(known) => Step::Reply(self.sent_again(&known.row)),
                None => Step::Again,
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
        Step::Again
    }

    /// Waits until the table holds everything up to the last acceptance in turn.
    async fn catch_up(&self, revision: u64) {
        let until = Instant::now() + CATCH_UP;
        while self.calls.table.revision() < revision && Instant::now() < until {
            self.calls.table.changed(CATCH_UP / 10).await;
        }
    }

    fn row(&self, now_ms: u64) -> JobRow {
        let node = &self.calls.node;
        // A leaving node leaves the job to the others.
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
            region: node.view.ways().region().map(ToString::to_string),
        }
    }

    fn transaction(&self, row: &JobRow, in_turn: bool) -> Transaction {
        let key = job_key(self.job);
        let mut transaction = Transaction::default()
            .expect(key.clone(), 0)
            .put(key, row.encode_to_vec());
        for (chunk, bytes) in self.chunks.iter().enumerate() {
            transaction = transaction.put(items_key(self.job, chunk), bytes.clone());
        }
        if in_turn {
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
        self.calls.node.log.write("job_submitted", || {
            serde_json::json!({"job": self.job, "route": self.route.name,
                "tenant": self.caller.tenant_name(), "tokens": self.tokens, "in_doubt": self.in_doubt,
                "table_revision": self.calls.table.revision(), "outcome": outcome})
        });
    }
}

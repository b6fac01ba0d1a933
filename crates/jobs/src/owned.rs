//! State of a job that this node owns, and the commits of its results.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_crashes::{Fingerprint, RequestFeatures, RequestParts};
use dappleyard_ingress::request_features;
use dappleyard_model::{
    Configuration, PromptPart, Route, RouteKind, Row, RunOrigin, StoreError, Transaction,
};
use http::Method;
use prost::Message;

use crate::kept::KeptBytes;
use crate::keys::{CHUNK_BYTES, job_key, result_key};
use crate::messages::{JobRow, JobState, StoredItem, StoredResult};
use crate::partials::{PendingSave, SavedOutput, add_segments, has_unsaved_output};
use crate::runner::Runner;
use dappleyard_clock::Instant;

/// Limits on the results in one commit.
const MAX_COMMIT_BYTES: usize = 500_000;
const MAX_COMMIT_ROWS: usize = 80;
/// Initial delay before a commit is retried.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Interval between saves of unfinished output: at most this much work is lost when a node is killed.
const SAVE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Consecutive runs of an item that may be preempted before the server responds.
const MAX_PAUSES_BEFORE_RESPONSE: u32 = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    Waiting,
    Running,
    Finished,
}

pub(crate) struct Item {
    pub stored: StoredItem,
    /// What crashes of servers are counted by.
    pub features: RequestFeatures,
    pub progress: Progress,
    /// Output of all runs so far, including restored output; dropped once the result is committed.
    pub text: String,
    /// Number of events with data, which `text` joins.
    pub events: u64,
    /// Identifier of the last event received, after which the next run resumes.
    pub last_event: Option<u64>,
    /// Number of failure responses, which the route limits.
    pub failures: u32,
    /// Number of ended runs on this node, without preempted ones.
    pub runs: u32,
    /// Time before which the item is not started again.
    pub not_before: Option<Instant>,
    /// Address of the server of the last interrupted run, which a restarted server keeps; used only if there is no other.
    pub avoided_address: Option<SocketAddr>,
    pub last_server: Option<String>,
    /// Where the output began; `None` without output.
    pub origin: Option<RunOrigin>,
    /// How often the output was dropped to start anew.
    pub restarts: u32,
    /// Since when no server may continue the output.
    pub no_server_since: Option<Instant>,
    pub saved: SavedOutput,
    pub active_run: Option<ActiveRun>,
    /// Whether the server has started to respond to the current run.
    pub response_started: bool,
    /// Consecutive runs that were preempted before the server responded.
    pub pauses_before_response: u32,
}

pub(crate) struct ActiveRun {
    pub server: String,
    handle: tokio::task::AbortHandle,
}

impl ActiveRun {
    pub(crate) fn new(server: &str, handle: tokio::task::AbortHandle) -> Self {
        Self {
            server: server.to_owned(),
            handle,
        }
    }

    /// Cancels the run; output received so far stays with the item.
    pub(crate) fn abort(&self) {
        self.handle.abort();
    }
}

impl Item {
    /// Creates the state of an item of the given job with these parts in its prompt; `listed` tells whether its result is
    /// committed already.
    pub(crate) fn new(
        stored: StoredItem,
        parts: &[PromptPart],
        row: &JobRow,
        listed: bool,
    ) -> Self {
        let fingerprint = Fingerprint::of(&RequestParts {
            caller: &row.tenant,
            method: Method::POST.as_str(),
            host: &row.host,
            target: &stored.path,
            body: &stored.body,
        });
        Self {
            stored,
            features: request_features(fingerprint, parts).deferred(),
            progress: match listed {
                true => Progress::Finished,
                false => Progress::Waiting,
            },
            text: String::new(),
            events: 0,
            last_event: None,
            failures: 0,
            runs: 0,
            not_before: None,
            avoided_address: None,
            last_server: None,
            origin: None,
            restarts: 0,
            no_server_since: None,
            saved: SavedOutput::default(),
            active_run: None,
            response_started: false,
            pauses_before_response: 0,
        }
    }

    /// Drops the output, so that the next run starts anew at any server. Failures so far still count.
    pub(crate) fn restart(&mut self) {
        self.text.clear();
        self.events = 0;
        self.last_event = None;
        self.origin = None;
        self.saved = SavedOutput::default();
        self.no_server_since = None;
        self.restarts += 1;
    }

    /// Whether the current run may be preempted. Were every run preempted before the response, a permanent rejection
    /// by the server would never be seen and the item would be retried forever.
    pub(crate) fn is_preemptible(&self) -> bool {
        self.response_started || self.pauses_before_response < MAX_PAUSES_BEFORE_RESPONSE
    }
}

pub(crate) struct OwnedState {
    pub row: JobRow,
    pub revision: u64,
    pub items: Vec<Item>,
    /// Finished items whose results are not committed yet, in the order in which they finished, and whether each was
    /// completed (otherwise it was abandoned).
    pub finished: VecDeque<(usize, bool)>,
    /// Whether a task commits results of this job.
    pub committing: bool,
    /// Whether this node must not commit anything more, because another node has taken or changed the job or it has
    /// ended.
    pub lost: bool,
    /// When unfinished output was last saved.
    pub saved_at: Instant,
}

impl OwnedState {
    /// The route that the job was submitted to; `None` if the configuration has no batch route of that name. Items belong
    /// to it, whatever other routes match their paths.
    pub(crate) fn route<'a>(&self, configuration: &'a Configuration) -> Option<&'a Route> {
        let route = configuration.route_named(&self.row.route);
        route.filter(|route| route.kind == RouteKind::Batch)
    }

    pub(crate) fn has_unfinished(&self) -> bool {
        let mut items = self.items.iter();
        items.any(|item| item.progress != Progress::Finished)
    }

    /// Whether there are finished results or output to commit.
    pub(crate) fn has_uncommitted(&self) -> bool {
        !self.finished.is_empty() || self.is_save_due()
    }

    /// Whether unfinished output should be saved now.
    fn is_save_due(&self) -> bool {
        self.saved_at.elapsed() >= SAVE_INTERVAL && self.items.iter().any(has_unsaved_output)
    }
}

/// A job that this node owns.
pub(crate) struct OwnedJob {
    pub job: String,
    /// Revision of the job's row when it was loaded. The configuration under which the job was accepted is not newer.
    pub loaded_revision: u64,
    /// Whether its items wait for a configuration that is not older than the job.
    pub awaits_configuration: Cell<bool>,
    /// Since when the configuration has no route for it.
    pub route_missing_since: Cell<Option<Instant>>,
    pub state: RefCell<OwnedState>,
    #[expect(dead_code, reason = "counts the items while they are kept")]
    kept: KeptBytes,
}

/// One commit: the items whose results it adds in order of position, the output that it saves, and the new row.
struct Commit {
    items: Vec<usize>,
    saves: Vec<PendingSave>,
    row: JobRow,
    transaction: Transaction,
}

impl Commit {
    /// Whether the commit changes the job's row.
    fn writes_row(&self, job: &OwnedJob) -> bool {
        self.row != job.state.borrow().row
    }
}

impl OwnedJob {
    pub(crate) fn new(
        job: &str,
        row: JobRow,
        revision: u64,
        items: Vec<Item>,
        kept: KeptBytes,
    ) -> Self {
        Self {
            job: job.to_owned(),
            loaded_revision: revision,
            awaits_configuration: Cell::new(false),
            route_missing_since: Cell::new(None),
            state: RefCell::new(OwnedState {
                row,
                revision,
                items,
                finished: VecDeque::new(),
                committing: false,
                lost: false,
                saved_at: Instant::now(),
            }),
            kept,
        }
    }

    /// Marks an item as finished; its result is committed later.
    pub(crate) fn finish(&self, item: usize, completed: bool) {
        let mut state = self.state.borrow_mut();
        if state.items[item].progress != Progress::Finished {
            state.items[item].progress = Progress::Finished;
            state.finished.push_back((item, completed));
        }
    }

    /// Number of items that servers work on.
    pub(crate) fn running(&self) -> usize {
        let state = self.state.borrow();
        let items = state.items.iter();
        items.filter(|item| item.active_run.is_some()).count()
    }

    /// Marks the job as lost: cancels all runs and commits nothing more.
    pub(crate) fn mark_lost(&self) {
        let mut state = self.state.borrow_mut();
        state.lost = true;
        for item in &mut state.items {
            if let Some(active_run) = item.active_run.take() {
                active_run.abort();
            }
        }
    }

    /// Builds the next commit from the finished items, as far as they fit, and from the output that is due to be saved;
    /// `None` if there is nothing to commit.
    fn build_commit(&self) -> Option<Commit> {
        let state = self.state.borrow();
        let mut row = state.row.clone();
        let mut transaction = Transaction::default().expect(job_key(&self.job), state.revision);
        let mut items = Vec::new();
        let mut bytes = 0;
        for (item, completed) in &state.finished {
            let pending = &state.items[*item];
            let result = StoredResult {
                item: pending.stored.id.clone(),
                completed: *completed,
                text: match completed {
                    true => pending.text.clone(),
                    false => String::new(),
                },
            };
            let value = Bytes::from(result.encode_to_vec());
            let chunks = value.len().div_ceil(CHUNK_BYTES).max(1);
            let full = bytes + value.len() > MAX_COMMIT_BYTES
                || transaction.puts.len() + chunks > MAX_COMMIT_ROWS;
            // A result that exceeds the limits alone is committed on its own.
            if full && !items.is_empty() {
                break;
            }
            bytes += value.len();
            for chunk in 0..chunks {
                let from = chunk * CHUNK_BYTES;
                let to = value.len().min(from + CHUNK_BYTES);
                let key = result_key(&self.job, row.listed, chunk);
                transaction = transaction.put(key, value.slice(from..to));
            }
            row.listed += 1;
            row.listed_items = row.with_listed(*item);
            row.open_tokens = row.open_tokens.saturating_sub(pending.stored.tokens);
            items.push(*item);
        }
        if row.listed == row.total {
            row.set_state(JobState::Done);
        }
        let mut saves = Vec::new();
        if state.is_save_due() {
            (transaction, saves) = add_segments(&self.job, row.epoch, &state.items, transaction);
            row.has_partials |= !saves.is_empty();
        }
        if items.is_empty() && saves.is_empty() {
            return None;
        }
        if row != state.row {
            transaction = transaction.put(job_key(&self.job), row.encode_to_vec());
        }
        Some(Commit {
            items,
            saves,
            row,
            transaction,
        })
    }

    fn apply_commit(&self, commit: &Commit, revision: u64) {
        let mut state = self.state.borrow_mut();
        if state.row != commit.row {
            state.row = commit.row.clone();
            state.revision = revision;
        }
        for item in &commit.items {
            state.finished.pop_front();
            state.items[*item].text = String::new();
        }
        for save in &commit.saves {
            let item = &mut state.items[save.item];
            // The output may have been dropped while it was being saved.
            if item.restarts == save.restarts {
                item.saved = save.saved;
            }
        }
        if !commit.saves.is_empty() {
            state.saved_at = Instant::now();
        }
    }
}

/// Commits results until none is left or the job is lost.
pub(crate) async fn commit_results(runner: &Runner, job: &OwnedJob) {
    let mut backoff = INITIAL_BACKOFF;
    let mut pending: Option<Commit> = None;
    loop {
        if job.state.borrow().lost {
            break;
        }
        // A commit whose outcome is unknown is retried unchanged, so that a conflict with its own earlier effect can be
        // recognized.
        let Some(commit) = pending.take().or_else(|| job.build_commit()) else {
            break;
        };
        match runner.store.transact(&commit.transaction).await {
            Ok(committed) => {
                record_commit(runner, job, &commit, committed.revision);
                backoff = INITIAL_BACKOFF;
            }
            Err(StoreError::Conflict { rows }) => {
                if !resolve_conflict(runner, job, &commit, &rows) {
                    break;
                }
            }
            Err(error) => {
                runner.node.log.write("commit_failed", || {
                    serde_json::json!({"job": job.job, "results": commit.items.len(),
                        "cause": error.to_string()})
                });
                pending = Some(commit);
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
    job.state.borrow_mut().committing = false;
}

fn record_commit(runner: &Runner, job: &OwnedJob, commit: &Commit, revision: u64) {
    let row_written = commit.writes_row(job);
    job.apply_commit(commit, revision);
    if !row_written {
        return;
    }
    let results = commit.items.len() as u64;
    runner
        .node
        .metrics
        .results
        .fetch_add(results, std::sync::atomic::Ordering::Relaxed);
    runner.table.put(&job.job, commit.row.clone(), revision);
    runner.node.log.write("results_committed", || {
        serde_json::json!({"job": job.job, "results": results, "listed": commit.row.listed,
            "total": commit.row.total, "pieces": commit.saves.len(), "epoch": commit.row.epoch, "revision": revision})
    });
}

/// Handles a failed condition of a commit; returns whether the job is still owned.
fn resolve_conflict(runner: &Runner, job: &OwnedJob, commit: &Commit, rows: &[Row]) -> bool {
    let found = rows.iter().find(|row| row.key == job.job);
    let row = found
        .and_then(|row| row.value.clone())
        .and_then(|value| JobRow::decode(value).ok());
    let revision = found.map_or(0, |row| row.revision);
    match row {
        // An earlier attempt of this commit took effect.
        Some(row) if row == commit.row && commit.writes_row(job) => {
            record_commit(runner, job, commit, revision);
            true
        }
        // The row is unchanged but for its revision; the commit is built again with that revision.
        Some(row) if row == job.state.borrow().row => {
            job.state.borrow_mut().revision = revision;
            true
        }
        // Another node has changed or deleted the row.
        row => {
            runner.node.log.write("job_lost", || {
                serde_json::json!({"job": job.job, "epoch": commit.row.epoch,
                    "now_owner": row.as_ref().map(|row| row.owner.clone()),
                    "now_epoch": row.as_ref().map(|row| row.epoch),
                    "now_state": row.as_ref().map(|row| row.state)})
            });
            if let Some(row) = row {
                runner.table.put(&job.job, row, revision);
            }
            job.mark_lost();
            false
        }
    }
}

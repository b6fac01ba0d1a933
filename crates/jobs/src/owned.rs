//! A job that this node runs, and the commits of its results.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_crashes::{Fingerprint, RequestParts};
use dappleyard_model::{Configuration, Route, RouteKind, Row, StoreError, Transaction};
use http::Method;
use prost::Message;

use crate::keys::{CHUNK_BYTES, job_key, result_key};
use crate::messages::{JobRow, JobState, StoredItem, StoredResult};
use crate::partials::{Mark, Saved, add_pieces, has_grown};
use crate::runner::Runner;
use dappleyard_clock::Instant;

/// Most bytes of results in one commit.
const COMMIT_BYTES: usize = 500_000;
/// Most rows of results in one commit.
const COMMIT_ROWS: usize = 80;
/// First pause after a commit that the store did not answer.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Time between two writes of unfinished text: what a killed node loses of its items' runs.
const SAVE_EVERY: Duration = Duration::from_millis(1_000);

/// Runs of an item in a row that may be paused before their answer begins.
const PAUSED_UNANSWERED: u32 = 2;

/// How far an item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    Waiting,
    Running,
    Finished,
}

/// One item of an owned job.
pub(crate) struct Item {
    pub stored: StoredItem,
    pub fingerprint: Fingerprint,
    pub progress: Progress,
    pub text: String,
    pub events: u64,
    pub last_event: Option<u64>,
    pub failures: u32,
    pub runs: u32,
    pub not_before: Option<Instant>,
    pub avoid: Option<String>,
    pub last_server: Option<String>,
    pub saved: Saved,
    pub task: Option<Run>,
    /// The server's answer to the present run has begun.
    pub answered: bool,
    /// Runs in a row that were paused before their answer began.
    pub paused_unanswered: u32,
}

/// One run of an item under way.
pub(crate) struct Run {
    pub server: String,
    handle: tokio::task::AbortHandle,
}

impl Run {
    pub(crate) fn new(server: &str, handle: tokio::task::AbortHandle) -> Self {
        Self {
            server: server.to_owned(),
            handle,
        }
    }

    /// Ends the run; what it has brought stays with the item.
    pub(crate) fn abort(&self) {
        self.handle.abort();
    }
}

impl Item {
    /// An item of the job of a row.
    pub(crate) fn new(stored: StoredItem, row: &JobRow, listed: bool) -> Self {
        let fingerprint = Fingerprint::of(&RequestParts {
            caller: &row.tenant,
            method: Method::POST.as_str(),
            host: &row.host,
            target: &stored.path,
            body: &stored.body,
        });
        Self {
            stored,
            fingerprint,
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
            avoid: None,
            last_server: None,
            saved: Saved::default(),
            task: None,
            answered: false,
            paused_unanswered: 0,
        }
    }

    /// Whether its run may be paused. A server that says at once that the item can never be done would
    /// not be heard if each run were paused before its answer, and the item would be sent for ever.
    pub(crate) fn may_be_paused(&self) -> bool {
        self.answered || self.paused_unanswered < PAUSED_UNANSWERED
    }
}

/// What changes while a job is owned.
pub(crate) struct OwnedState {
    pub row: JobRow,
    pub revision: u64,
    pub items: Vec<Item>,
    pub finished: VecDeque<(usize, bool)>,
    pub committing: bool,
    pub lost: bool,
    pub saved_at: Instant,
}

impl OwnedState {
    /// The route by which an item is sent; `None` when no batch route takes it any more.
    pub(crate) fn route<'a>(
        &self,
        configuration: &'a Configuration,
        item: &Item,
    ) -> Option<&'a Route> {
        let route = configuration.route(&self.row.host, &item.stored.path);
        route.filter(|route| route.kind == RouteKind::Batch)
    }

    /// Whether there is anything to commit.
    pub(crate) fn has_news(&self) -> bool {
        !self.finished.is_empty() || self.is_save_due()
    }

    /// Whether unfinished text is to be stored.
    fn is_save_due(&self) -> bool {
        self.saved_at.elapsed() >= SAVE_EVERY && self.items.iter().any(has_grown)
    }
}

/// A job that this node runs.
pub(crate) struct OwnedJob {
    pub job: String,
    pub state: RefCell<OwnedState>,
}

/// One commit: items whose results it lists, in the order of their positions, what it stores of
/// unfinished text, and the row that follows.
struct Commit {
    items: Vec<usize>,
    marks: Vec<Mark>,
    row: JobRow,
    transaction: Transaction,
}

impl Commit {
    /// Whether the row of the job changes with it.
    fn writes_row(&self, job: &OwnedJob) -> bool {
        self.row != job.state.borrow().row
    }
}

impl OwnedJob {
    pub(crate) fn new(job: &str, row: JobRow, revision: u64, items: Vec<Item>) -> Self {
        Self {
            job: job.to_owned(),
            state: RefCell::new(OwnedState {
                row,
                revision,
                items,
                finished: VecDeque::new(),
                committing: false,
                lost: false,
                saved_at: Instant::now(),
            }),
        }
    }

    /// Notes that an item is finished; its result is committed later.
    pub(crate) fn finish(&self, item: usize, completed: bool) {
        let mut state = self.state.borrow_mut();
        if state.items[item].progress != Progress::Finished {
            state.items[item].progress = Progress::Finished;
            state.finished.push_back((item, completed));
        }
    }

    /// Stops all runs; nothing more is committed.
    pub(crate) fn lose(&self) {
        let mut state = self.state.borrow_mut();
        state.lost = true;
        for item in &mut state.items {
            if let Some(task) = item.task.take() {
                task.abort();
            }
        }
    }

    fn next_commit(&self) -> Option<Commit> {
        let state = self.state.borrow();
        let mut row = state.row.clone();
        let mut transaction = Transaction::default().expect(job_key(&self.job), state.revision);
        let mut items = Vec::new();
        let mut bytes = 0;
        for (item, completed) in &state.finished {
            let held = &state.items[*item];
            let result = StoredResult {
                item: held.stored.id.clone(),
                completed: *completed,
                text: match completed {
                    true => held.text.clone(),
                    false => String::new(),
                },
            };
            let value = Bytes::from(result.encode_to_vec());
            let chunks = value.len().div_ceil(CHUNK_BYTES).max(1);
            let full =
                bytes + value.len() > COMMIT_BYTES || transaction.puts.len() + chunks > COMMIT_ROWS;
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
            row.open_tokens = row.open_tokens.saturating_sub(held.stored.tokens);
            items.push(*item);
        }
        if row.listed == row.total {
            row.set_state(JobState::Done);
        }
        let mut marks = Vec::new();
        if state.is_save_due() {
            (transaction, marks) = add_pieces(&self.job, row.epoch, &state.items, transaction);
            row.has_partials |= !marks.is_empty();
        }
        if items.is_empty() && marks.is_empty() {
            return None;
        }
        if row != state.row {
            transaction = transaction.put(job_key(&self.job), row.encode_to_vec());
        }
        Some(Commit {
            items,
            marks,
            row,
            transaction,
        })
    }

    fn committed(&self, commit: &Commit, revision: u64) {
        let mut state = self.state.borrow_mut();
        if state.row != commit.row {
            state.row = commit.row.clone();
            state.revision = revision;
        }
        for item in &commit.items {
            state.finished.pop_front();
            state.items[*item].text = String::new();
        }
        for mark in &commit.marks {
            state.items[mark.item].saved = mark.saved;
        }
        if !commit.marks.is_empty() {
            state.saved_at = Instant::now();
        }
    }
}

/// Commits finished results until none is left or the job is lost.
pub(crate) async fn commit_results(runner: &Runner, job: &OwnedJob) {
    let mut pause = FIRST_PAUSE;
    let mut held: Option<Commit> = None;
    loop {
        if job.state.borrow().lost {
            break;
        }
        // A commit in doubt is repeated as it was.
        let Some(commit) = held.take().or_else(|| job.next_commit()) else {
            break;
        };
        match runner.store.transact(&commit.transaction).await {
            Ok(committed) => {
                note_committed(runner, job, &commit, committed.revision);
                pause = FIRST_PAUSE;
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
                held = Some(commit);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
    job.state.borrow_mut().committing = false;
}

fn note_committed(runner: &Runner, job: &OwnedJob, commit: &Commit, revision: u64) {
    let row_written = commit.writes_row(job);
    job.committed(commit, revision);
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
            "total": commit.row.total, "pieces": commit.marks.len(), "epoch": commit.row.epoch, "revision": revision})
    });
}

/// Learns from a failed condition what became of the job; whether it is still owned.
fn resolve_conflict(runner: &Runner, job: &OwnedJob, commit: &Commit, rows: &[Row]) -> bool {
    let found = rows.iter().find(|row| row.key == job.job);
    let row = found
        .and_then(|row| row.value.clone())
        .and_then(|value| JobRow::decode(value).ok());
    let revision = found.map_or(0, |row| row.revision);
    match row {
        Some(row) if row == commit.row && commit.writes_row(job) => {
            note_committed(runner, job, commit, revision);
            true
        }
        Some(row) if row == job.state.borrow().row => {
            job.state.borrow_mut().revision = revision;
            true
        }
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
            job.lose();
            false
        }
    }
}

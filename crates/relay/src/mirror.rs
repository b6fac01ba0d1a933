//! Follows tables, at the store or through other nodes.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::{Contact, RelayPeer, TableSink, follow};
use dappleyard_model::{EventLog, Row, RowStore, StoreError};

use crate::access::{Access, Path};
use crate::call::PeerCalls;
use crate::history::Replica;
use crate::messages::{
    AnswerKind, CallKind, ChangesAnswer, ChangesCall, TableChanges, TablePosition,
};

/// Time limit for the start of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for the start of an answer with snapshots; the sender may be serving other nodes first.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval between searches for a source while no source has loaded the tables.
const SOURCE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long to wait for sources that have not loaded the tables; a reader needs about 1 s for 10,000 rows.
const MAX_NOT_READY: Duration = Duration::from_millis(3_000);
/// How long to skip a source that has not loaded the tables, so that others are tried.
const NOT_READY_PAUSE: Duration = Duration::from_millis(300);
/// Oldest copy accepted while this node can reach the store itself.
const MAX_COPY_AGE: Duration = Duration::from_millis(1_000);
/// Oldest copy accepted while this node cannot reach the store; longer than the two seconds that a reader may wait for a
/// change of an idle table.
const MAX_COPY_AGE_WHEN_LOST: Duration = Duration::from_millis(3_000);
/// How long to skip a source that failed.
const FAILED_SOURCE_PAUSE: Duration = Duration::from_secs(2);

/// Follows a table at the store while the path is [`Path::Direct`].
pub async fn follow_directly(
    store: Rc<dyn RowStore>,
    replica: Rc<Replica>,
    access: &Access,
    log: &EventLog,
) {
    loop {
        access.wait_for_path(Path::Direct).await;
        tokio::select! {
            () = follow(store.as_ref(), replica.as_ref(), log) => {}
            () = access.wait_for_path(Path::ByPeer) => {}
        }
    }
}

/// Copies tables from other nodes while the path is [`Path::ByPeer`].
pub async fn mirror(replicas: &[Rc<Replica>], access: &Access, log: &EventLog) {
    let mut mirror = Mirror {
        replicas,
        calls: PeerCalls::new(),
        paused_sources: Vec::new(),
        current_source: None,
        not_ready_since: None,
    };
    loop {
        access.wait_for_path(Path::ByPeer).await;
        tokio::select! {
            () = mirror.poll_sources(access, log) => {}
            () = access.wait_for_path(Path::Direct) => {}
        }
    }
}

struct Mirror<'a> {
    replicas: &'a [Rc<Replica>],
    calls: PeerCalls,
    /// Sources to skip, each with the end of its pause.
    paused_sources: Vec<(String, Instant)>,
    current_source: Option<String>,
    /// Time of the first "not ready" answer since the last update.
    not_ready_since: Option<Instant>,
}

/// Outcome of a poll.
enum PollOutcome {
    /// The source sent updates.
    Updated,
    /// The source has not loaded the tables yet.
    NotReady,
}

impl Mirror<'_> {
    /// Polls sources for changes until none is left, then requests the direct path.
    async fn poll_sources(&mut self, access: &Access, log: &EventLog) {
        loop {
            let now = Instant::now();
            self.paused_sources.retain(|(_, until)| *until > now);
            let source = access
                .sources()
                .into_iter()
                .find(|peer| !self.is_paused(peer));
            let Some(source) = source else {
                if self
                    .not_ready_since
                    .is_some_and(|since| since.elapsed() < MAX_NOT_READY)
                {
                    tokio::time::sleep(SOURCE_RETRY_INTERVAL).await;
                    continue;
                }
                // A failed source affects all nodes of a zone; spread their fallback to the store.
                tokio::time::sleep(access.store_fallback_delay()).await;
                access.mark_peers_failed();
                access.refresh();
                return;
            };
            let poll_start = Instant::now();
            let max_age = match access.health().is_unavailable() {
                true => MAX_COPY_AGE_WHEN_LOST,
                false => MAX_COPY_AGE,
            };
            match self.poll(&source, access.poll_wait(), max_age).await {
                Ok(PollOutcome::Updated) => {
                    self.not_ready_since = None;
                    self.log_source(&source, log);
                }
                Ok(PollOutcome::NotReady) => {
                    self.not_ready_since.get_or_insert(poll_start);
                    self.pause_source(&source, NOT_READY_PAUSE);
                }
                Err(error) => {
                    log.write(
                        "reader_failed",
                        || serde_json::json!({"peer": source.name, "cause": error.to_string()}),
                    );
                    self.pause_source(&source, FAILED_SOURCE_PAUSE);
                    self.current_source = None;
                }
            }
            dappleyard_clock::sleep_until(poll_start + access.poll_interval()).await;
        }
    }

    fn log_source(&mut self, source: &RelayPeer, log: &EventLog) {
        if self.current_source.as_ref() != Some(&source.name) {
            log.write(
                "reader_followed",
                || serde_json::json!({"peer": source.name}),
            );
            self.current_source = Some(source.name.clone());
        }
    }

    fn pause_source(&mut self, source: &RelayPeer, time: Duration) {
        self.paused_sources
            .push((source.name.clone(), Instant::now() + time));
    }

    fn is_paused(&self, peer: &RelayPeer) -> bool {
        self.paused_sources
            .iter()
            .any(|(name, _)| *name == peer.name)
    }

    async fn poll(
        &self,
        source: &RelayPeer,
        wait: Duration,
        max_age: Duration,
    ) -> Result<PollOutcome, StoreError> {
        let wait_ms = wait.as_millis() as u32;
        let positions = self.replicas.iter().map(|replica| TablePosition {
            table: replica.table().to_owned(),
            revision: replica.held(),
        });
        let call = ChangesCall {
            tables: positions.collect(),
            wait_ms,
            reads_digests: true,
        };
        let limit = match call
            .tables
            .iter()
            .all(|position| position.revision.is_some())
        {
            true => ANSWER_TIMEOUT,
            false => SNAPSHOT_TIMEOUT,
        };
        let answer = self
            .calls
            .call(source.address, CallKind::Changes(call), limit);
        let AnswerKind::Changes(answer) = answer.await? else {
            return Err(unavailable("the answer to another call"));
        };
        if answer.tables.is_empty() {
            return Ok(PollOutcome::NotReady);
        }
        self.apply(answer, max_age)?;
        Ok(PollOutcome::Updated)
    }

    fn apply(&self, answer: ChangesAnswer, max_age: Duration) -> Result<(), StoreError> {
        for table in answer.tables {
            let replica = self
                .replicas
                .iter()
                .find(|candidate| candidate.table() == table.table);
            let Some(replica) = replica else {
                continue;
            };
            let age = Duration::from_millis(u64::from(table.age_ms));
            match judge_copy(table.revision, age, replica.revision_and_age(), max_age) {
                CopyVerdict::Accept => apply(replica, table),
                CopyVerdict::Wait => {}
                CopyVerdict::Reject(reason) => return Err(unavailable(reason)),
            }
        }
        Ok(())
    }
}

/// What to do with a table copy offered by another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyVerdict {
    /// Apply the copy.
    Accept,
    /// Ignore it and poll again: the source is slightly behind this node.
    Wait,
    /// Switch to another source.
    Reject(&'static str),
}

/// Judges a copy by its revision and age, and by the revision and age of this node's own copy.
///
/// A node that has just stopped following the store is ahead of its source. That alone must not disqualify the source, or
/// the node would alternate between the two paths.
pub fn judge_copy(
    revision: u64,
    age: Duration,
    known: Option<(u64, Duration)>,
    max_age: Duration,
) -> CopyVerdict {
    let Some((known_revision, known_age)) = known else {
        return CopyVerdict::Accept;
    };
    if age > max_age {
        return CopyVerdict::Reject("its own knowledge is old");
    }
    match (revision >= known_revision, known_age > max_age) {
        (true, _) => CopyVerdict::Accept,
        (false, false) => CopyVerdict::Wait,
        (false, true) => CopyVerdict::Reject("it is behind this node"),
    }
}

fn apply(replica: &Replica, table: TableChanges) {
    let rows: Vec<Row> = table.rows.into_iter().map(Row::from).collect();
    match table.whole {
        true => replica.replace(rows, table.revision),
        false => rows.into_iter().for_each(|row| replica.change(row)),
    }
    replica.contact(&Contact {
        revision: table.revision,
        now_ms: table.now_ms,
        age: Duration::from_millis(u64::from(table.age_ms)),
    });
}

fn unavailable(reason: &str) -> StoreError {
    StoreError::Unavailable {
        reason: reason.to_owned(),
    }
}

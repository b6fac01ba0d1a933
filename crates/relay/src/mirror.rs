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
const LIMIT: Duration = Duration::from_millis(700);
/// Time limit for the start of an answer with snapshots; the sender may be serving other nodes first.
const WHOLE_LIMIT: Duration = Duration::from_millis(2_000);
/// Interval between searches for a source while no source has loaded the tables.
const LOOK: Duration = Duration::from_millis(100);
/// How long to wait for sources that have not loaded the tables; a reader needs about 1 s for 10,000 rows.
const NOT_YET: Duration = Duration::from_millis(3_000);
/// How long to skip a source that has not loaded the tables, so that others are tried.
const ASKED_AGAIN: Duration = Duration::from_millis(300);
/// Oldest copy accepted while this node can reach the store itself.
const OLDEST: Duration = Duration::from_millis(1_000);
/// Oldest copy accepted while this node cannot reach the store; longer than the two seconds that a reader may wait for a
/// change of an idle table.
const OLDEST_WHEN_LOST: Duration = Duration::from_millis(3_000);
/// How long to skip a source that failed.
const AVOIDED: Duration = Duration::from_secs(2);

/// Follows a table at the store while the path is [`Path::Direct`].
pub async fn follow_directly(
    store: Rc<dyn RowStore>,
    replica: Rc<Replica>,
    access: &Access,
    log: &EventLog,
) {
    loop {
        access.until(Path::Direct).await;
        tokio::select! {
            () = follow(store.as_ref(), replica.as_ref(), log) => {}
            () = access.until(Path::ByPeer) => {}
        }
    }
}

/// Copies tables from other nodes while the path is [`Path::ByPeer`].
pub async fn mirror(replicas: &[Rc<Replica>], access: &Access, log: &EventLog) {
    let mut mirror = Mirror {
        replicas,
        calls: PeerCalls::new(),
        avoided: Vec::new(),
        from: None,
        without_answer: None,
    };
    loop {
        access.until(Path::ByPeer).await;
        tokio::select! {
            () = mirror.take(access, log) => {}
            () = access.until(Path::Direct) => {}
        }
    }
}

struct Mirror<'a> {
    replicas: &'a [Rc<Replica>],
    calls: PeerCalls,
    /// Sources to skip, each with the end of its pause.
    avoided: Vec<(String, Instant)>,
    from: Option<String>,
    /// Time of the first "not ready" answer since the last update.
    without_answer: Option<Instant>,
}

/// Outcome of a poll.
enum Asked {
    /// The source sent updates.
    Told,
    /// The source has not loaded the tables yet.
    NotYet,
}

impl Mirror<'_> {
    /// Polls sources for changes until none is left, then requests the direct path.
    async fn take(&mut self, access: &Access, log: &EventLog) {
        loop {
            let now = Instant::now();
            self.avoided.retain(|(_, until)| *until > now);
            let source = access.sources().into_iter().find(|peer| !self.avoids(peer));
            let Some(source) = source else {
                if self
                    .without_answer
                    .is_some_and(|since| since.elapsed() < NOT_YET)
                {
                    tokio::time::sleep(LOOK).await;
                    continue;
                }
                // A failed source affects all nodes of a zone; spread their fallback to the store.
                tokio::time::sleep(access.before_store()).await;
                access.note_peers_failed();
                access.look();
                return;
            };
            let asked = Instant::now();
            let oldest = match access.health().is_lost() {
                true => OLDEST_WHEN_LOST,
                false => OLDEST,
            };
            match self.ask(&source, access.held(), oldest).await {
                Ok(Asked::Told) => {
                    self.without_answer = None;
                    self.note_followed(&source, log);
                }
                Ok(Asked::NotYet) => {
                    self.without_answer.get_or_insert(asked);
                    self.avoid(&source, ASKED_AGAIN);
                }
                Err(error) => {
                    log.write(
                        "reader_failed",
                        || serde_json::json!({"peer": source.name, "cause": error.to_string()}),
                    );
                    self.avoid(&source, AVOIDED);
                    self.from = None;
                }
            }
            dappleyard_clock::sleep_until(asked + access.pace()).await;
        }
    }

    fn note_followed(&mut self, source: &RelayPeer, log: &EventLog) {
        if self.from.as_ref() != Some(&source.name) {
            log.write(
                "reader_followed",
                || serde_json::json!({"peer": source.name}),
            );
            self.from = Some(source.name.clone());
        }
    }

    fn avoid(&mut self, source: &RelayPeer, time: Duration) {
        self.avoided
            .push((source.name.clone(), Instant::now() + time));
    }

    fn avoids(&self, peer: &RelayPeer) -> bool {
        self.avoided.iter().any(|(name, _)| *name == peer.name)
    }

    async fn ask(
        &self,
        source: &RelayPeer,
        wait: Duration,
        oldest: Duration,
    ) -> Result<Asked, StoreError> {
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
            true => LIMIT,
            false => WHOLE_LIMIT,
        };
        let answer = self
            .calls
            .call(source.address, CallKind::Changes(call), limit);
        let AnswerKind::Changes(answer) = answer.await? else {
            return Err(unfit("the answer has the wrong type"));
        };
        if answer.tables.is_empty() {
            return Ok(Asked::NotYet);
        }
        self.apply(answer, oldest)?;
        Ok(Asked::Told)
    }

    fn apply(&self, answer: ChangesAnswer, oldest: Duration) -> Result<(), StoreError> {
        for table in answer.tables {
            let replica = self
                .replicas
                .iter()
                .find(|held| held.table() == table.table);
            let Some(replica) = replica else {
                continue;
            };
            let age = Duration::from_millis(u64::from(table.age_ms));
            match judge(table.revision, age, replica.known(), oldest) {
                Verdict::Take => apply(replica, table),
                Verdict::Wait => {}
                Verdict::Unfit(reason) => return Err(unfit(reason)),
            }
        }
        Ok(())
    }
}

/// What to do with a table copy offered by another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Apply the copy.
    Take,
    /// Ignore it and poll again: the source is slightly behind this node.
    Wait,
    /// Switch to another source.
    Unfit(&'static str),
}

/// Judges a copy by its revision and age, and by the revision and age of this node's own copy.
///
/// A node that has just stopped following the store is ahead of its source. That alone must not disqualify the source, or
/// the node would alternate between the two paths.
pub fn judge(
    revision: u64,
    age: Duration,
    known: Option<(u64, Duration)>,
    oldest: Duration,
) -> Verdict {
    let Some((known_revision, known_age)) = known else {
        return Verdict::Take;
    };
    if age > oldest {
        return Verdict::Unfit("its own knowledge is old");
    }
    match (revision >= known_revision, known_age > oldest) {
        (true, _) => Verdict::Take,
        (false, false) => Verdict::Wait,
        (false, true) => Verdict::Unfit("it is behind this node"),
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

fn unfit(reason: &str) -> StoreError {
    StoreError::Unavailable {
        reason: reason.to_owned(),
    }
}

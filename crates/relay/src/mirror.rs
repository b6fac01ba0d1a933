//! Follows tables: at the store, or by way of a node that does.

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

/// Longest wait for the beginning of an answer.
const LIMIT: Duration = Duration::from_millis(700);
/// Longest wait for the beginning of an answer with whole tables: the node that tells them has others before this one.
const WHOLE_LIMIT: Duration = Duration::from_millis(2_000);
/// Time between two looks for a reader while all that were asked know nothing yet.
const LOOK: Duration = Duration::from_millis(100);
/// How long a node waits for readers that know nothing yet: one reads 10,000 rows from the store in about a second.
const NOT_YET: Duration = Duration::from_millis(3_000);
/// Time for which a reader that knows nothing yet is not asked: another one may know already.
const ASKED_AGAIN: Duration = Duration::from_millis(300);
/// A copy whose reader has had no answer of the store for longer is not good enough while the store
/// itself can be asked.
const OLDEST: Duration = Duration::from_millis(1_000);
/// The same while the store does not answer this node. A reader waits up to two seconds for a change
/// in a table that is quiet.
const OLDEST_WHEN_LOST: Duration = Duration::from_millis(3_000);
/// Time for which a node that failed is not asked.
const AVOIDED: Duration = Duration::from_secs(2);

/// Follows a table at the store whenever that is the path.
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

/// Takes the tables from other nodes whenever that is the path.
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
    /// Nodes that are not asked for a time, and until when.
    avoided: Vec<(String, Instant)>,
    from: Option<String>,
    /// Since when readers have known nothing yet.
    without_answer: Option<Instant>,
}

/// What came of a call to another node.
enum Asked {
    /// It told of the tables.
    Told,
    /// It knows nothing yet.
    NotYet,
}

impl Mirror<'_> {
    /// Takes changes until no node gives any.
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
                // Those that are to blame fail all nodes of a zone at once: not all may go to the store together.
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
            return Err(unfit("the answer to another call"));
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

/// What a node does with what another one tells of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It takes it over.
    Take,
    /// It knows more, and goes on asking until the other one has caught up.
    Wait,
    /// It asks another node.
    Unfit(&'static str),
}

/// Judges what another node tells of a table as of a revision, when it says that its knowledge is of
/// some age, and when this node knows the table up to a revision, and since when.
///
/// A node that has followed the store itself is a little ahead of its reader. That is no fault of the
/// reader: taking it for one sent nodes to the store again and again.
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

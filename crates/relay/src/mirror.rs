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

/// How long another node may hold its answer.
const WAIT: Duration = Duration::from_millis(400);
/// Longest wait for that answer.
const LIMIT: Duration = Duration::from_millis(700);
/// Longest wait for whole tables.
const WHOLE_LIMIT: Duration = Duration::from_millis(2_000);
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
    avoided: Vec<(String, Instant)>,
    from: Option<String>,
}

impl Mirror<'_> {
    /// Takes changes until no node gives any.
    async fn take(&mut self, access: &Access, log: &EventLog) {
        loop {
            self.avoided.retain(|(_, at)| at.elapsed() < AVOIDED);
            let source = access.sources().into_iter().find(|peer| !self.avoids(peer));
            let Some(source) = source else {
                access.note_peers_failed();
                access.look();
                return;
            };
            let oldest = match access.health().is_lost() {
                true => OLDEST_WHEN_LOST,
                false => OLDEST,
            };
            if let Err(error) = self.ask(&source, oldest).await {
                log.write(
                    "reader_failed",
                    || serde_json::json!({"peer": source.name, "cause": error.to_string()}),
                );
                self.avoided.push((source.name.clone(), Instant::now()));
                self.from = None;
            } else if self.from.as_ref() != Some(&source.name) {
                log.write(
                    "reader_followed",
                    || serde_json::json!({"peer": source.name}),
                );
                self.from = Some(source.name.clone());
            }
        }
    }

    fn avoids(&self, peer: &RelayPeer) -> bool {
        self.avoided.iter().any(|(name, _)| *name == peer.name)
    }

    async fn ask(&self, source: &RelayPeer, oldest: Duration) -> Result<(), StoreError> {
        let positions = self.replicas.iter().map(|replica| TablePosition {
            table: replica.table().to_owned(),
            revision: replica.held(),
        });
        let call = ChangesCall {
            tables: positions.collect(),
            wait_ms: WAIT.as_millis() as u32,
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
        self.apply(answer, oldest)
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

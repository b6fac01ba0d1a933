//! What a node does for others: tells of its tables, and makes calls to the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_clock::Instant;
use dappleyard_model::{RowStore, StoreError};
use prost::Message;

use crate::access::{Access, Path};
use crate::history::{Histories, Told, ToldRows};
use crate::messages::{
    AnswerKind, CallKind, ChangesCall, ReadCall, RelayAnswer, RelayCall, RowMessage, TableChanges,
    TransactCall, encoded_answer, encoded_table,
};

/// Longest time that an answer is held for a change.
const LONGEST_WAIT: Duration = Duration::from_millis(600);

/// Serves the calls of other nodes, on one thread.
pub struct RelayService {
    direct: Rc<dyn RowStore>,
    access: Arc<Access>,
    histories: Histories,
    written: Vec<&'static str>,
}

impl RelayService {
    /// Makes calls through `direct`; `written` names the tables that nodes read and write.
    pub fn new(
        direct: Rc<dyn RowStore>,
        access: Arc<Access>,
        histories: Histories,
        written: Vec<&'static str>,
    ) -> Self {
        Self {
            direct,
            access,
            histories,
            written,
        }
    }

    /// Answers a call; bytes that are none are answered with a failure.
    pub async fn answer(&self, call: Bytes) -> Bytes {
        let kind = RelayCall::decode(call).ok().and_then(|call| call.kind);
        let outcome = match kind {
            Some(CallKind::Changes(call)) => match self.changes(call).await {
                Ok(answer) => return answer,
                Err(error) => Err(error),
            },
            Some(CallKind::Transact(call)) => self.transact(call).await,
            Some(CallKind::Read(call)) => self.read(call).await,
            None => Err(invalid("not a call")),
        };
        let kind = outcome.unwrap_or_else(AnswerKind::from);
        Bytes::from(RelayAnswer { kind: Some(kind) }.encode_to_vec())
    }

    async fn changes(&self, call: ChangesCall) -> Result<Bytes, StoreError> {
        if !call.reads_digests {
            return Err(unavailable("this node keeps digests only"));
        }
        let wait = Duration::from_millis(u64::from(call.wait_ms)).min(LONGEST_WAIT);
        let until = Instant::now() + wait;
        let mut changed = self.histories.watch();
        loop {
            changed.borrow_and_update();
            let is_over = Instant::now() >= until;
            match self.told(&call)? {
                Some(told) if is_over || told.iter().any(|(_, told)| told.is_news()) => {
                    return Ok(answer(told));
                }
                // The caller learns that this node will know, and asks again.
                None if is_over => return Ok(answer(Vec::new())),
                Some(_) | None => {}
            }
            // The end of the wait is an answer too.
            let _ = dappleyard_clock::timeout_at(until, changed.changed()).await;
        }
    }

    /// What is told of the tables that a call names; `None` while this node begins and does not know all of them. When a
    /// whole fleet begins, nodes ask their readers before these know anything: a failure would send all of them to the
    /// store.
    fn told(&self, call: &ChangesCall) -> Result<Option<Vec<(String, Told)>>, StoreError> {
        let begins = self.access.is_starting();
        // A delegate tells what it was told: with each table goes its age, from when the store said it.
        let follows = self.access.path() == Path::Direct || self.access.serves_others();
        if !follows && !begins {
            return Err(unavailable(
                "this node does not follow the tables for others",
            ));
        }
        let mut tables = Vec::with_capacity(call.tables.len());
        for position in &call.tables {
            let history = self.histories.get(&position.table);
            let history = history.ok_or_else(|| invalid("no such table is followed"))?;
            let Some(told) = history.told(position.revision) else {
                return match begins {
                    true => Ok(None),
                    false => Err(unavailable("the table is not known yet")),
                };
            };
            tables.push((position.table.clone(), told));
        }
        Ok(Some(tables))
    }

    async fn transact(&self, call: TransactCall) -> Result<AnswerKind, StoreError> {
        self.expect_contact()?;
        let transaction = call
            .transaction(|table| self.table(table))
            .map_err(|reason| invalid(&reason))?;
        let outcome = self.direct.transact(&transaction).await;
        self.access.health().note(&outcome);
        outcome.map(AnswerKind::from)
    }

    async fn read(&self, call: ReadCall) -> Result<AnswerKind, StoreError> {
        self.expect_contact()?;
        let table = self.table(&call.table);
        let table = table.ok_or_else(|| invalid("no table of nodes"))?;
        let limit = call.limit as usize;
        let read = self
            .direct
            .read(table, &call.part, &call.from, &call.to, limit);
        let outcome = read.await;
        self.access.health().note(&outcome);
        outcome.map(AnswerKind::from)
    }

    /// A call is passed on once at most.
    fn expect_contact(&self) -> Result<(), StoreError> {
        match self.access.health().is_lost() {
            true => Err(unavailable("the store does not answer this node either")),
            false => Ok(()),
        }
    }

    fn table(&self, name: &str) -> Option<&'static str> {
        self.written.iter().find(|table| **table == name).copied()
    }
}

fn answer(tables: Vec<(String, Told)>) -> Bytes {
    let tables = tables.into_iter().map(|(table, told)| encoded(table, told));
    encoded_answer(tables.collect())
}

fn encoded(table: String, told: Told) -> Bytes {
    let mut rest = TableChanges {
        table,
        revision: told.contact.revision,
        now_ms: told.contact.now_ms,
        age_ms: u32::try_from(told.contact.age.as_millis()).unwrap_or(u32::MAX),
        ..TableChanges::default()
    };
    match told.rows {
        ToldRows::Whole(rows) => encoded_table(&rows, &rest),
        ToldRows::Changes(rows) => {
            rest.rows = rows.into_iter().map(RowMessage::from).collect();
            Bytes::from(rest.encode_to_vec())
        }
    }
}

fn unavailable(reason: &str) -> StoreError {
    StoreError::Unavailable {
        reason: reason.to_owned(),
    }
}

fn invalid(reason: &str) -> StoreError {
    StoreError::Invalid {
        reason: reason.to_owned(),
    }
}

//! Server side: answers other nodes' polls for table changes and forwards their calls to the store.

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

/// Upper bound on how long a poll waits for a change.
const LONGEST_WAIT: Duration = Duration::from_millis(600);

/// Answers the calls of other nodes, on one thread.
pub struct RelayService {
    direct: Rc<dyn RowStore>,
    access: Arc<Access>,
    histories: Histories,
    written: Vec<&'static str>,
}

impl RelayService {
    /// Forwards calls through `direct`, for the tables in `written` only.
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

    /// Answers an encoded call; malformed input gets a failure answer.
    pub async fn answer(&self, call: Bytes) -> Bytes {
        let kind = RelayCall::decode(call).ok().and_then(|call| call.kind);
        let outcome = match kind {
            Some(CallKind::Changes(call)) => match self.changes(call).await {
                Ok(answer) => return answer,
                Err(error) => Err(error),
            },
            Some(CallKind::Transact(call)) => self.transact(call).await,
            Some(CallKind::Read(call)) => self.read(call).await,
            None => Err(invalid("malformed call")),
        };
        let kind = outcome.unwrap_or_else(AnswerKind::from);
        Bytes::from(RelayAnswer { kind: Some(kind) }.encode_to_vec())
    }

    async fn changes(&self, call: ChangesCall) -> Result<Bytes, StoreError> {
        if !call.reads_digests {
            return Err(unavailable("this node serves rows in digest form only"));
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
                // An empty answer tells the caller to poll again.
                None if is_over => return Ok(answer(Vec::new())),
                Some(_) | None => {}
            }
            // On timeout the loop answers with what is known.
            let _ = dappleyard_clock::timeout_at(until, changed.changed()).await;
        }
    }

    /// Updates of the tables that a call names, or `None` while this node is starting and has not loaded them all. A failure
    /// would make every node of a starting fleet fall back to the store.
    fn told(&self, call: &ChangesCall) -> Result<Option<Vec<(String, Told)>>, StoreError> {
        let begins = self.access.is_starting();
        // A delegate may serve copies: each update carries the time since the store sent the data.
        let follows = self.access.path() == Path::Direct || self.access.serves_others();
        if !follows && !begins {
            return Err(unavailable("this node does not serve tables to others"));
        }
        let mut tables = Vec::with_capacity(call.tables.len());
        for position in &call.tables {
            let history = self.histories.get(&position.table);
            let history = history.ok_or_else(|| invalid("table is not replicated"))?;
            let Some(told) = history.told(position.revision) else {
                return match begins {
                    true => Ok(None),
                    false => Err(unavailable("the table is not loaded yet")),
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
        let table = table.ok_or_else(|| invalid("table is not open to nodes"))?;
        let limit = call.limit as usize;
        let read = self
            .direct
            .read(table, &call.part, &call.from, &call.to, limit);
        let outcome = read.await;
        self.access.health().note(&outcome);
        outcome.map(AnswerKind::from)
    }

    /// Refuses a forwarded call when this node cannot reach the store, so that no call is forwarded twice.
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

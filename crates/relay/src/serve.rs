//! Server side: answers other nodes' polls for table changes and forwards their calls to the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_clock::Instant;
use dappleyard_model::{RowStore, StoreError};
use prost::Message;

use crate::access::{Access, Path};
use crate::history::{Histories, TableUpdates, UpdateRows};
use crate::messages::{
    AnswerKind, CallKind, ChangesCall, ReadCall, RelayAnswer, RelayCall, RowMessage, TableChanges,
    TransactCall, encode_changes_answer, encode_table_changes,
};

/// Upper bound on how long a poll waits for a change.
const MAX_POLL_WAIT: Duration = Duration::from_millis(600);

/// Answers the calls of other nodes, on one thread.
pub struct RelayService {
    direct: Rc<dyn RowStore>,
    access: Arc<Access>,
    histories: Histories,
    writable: Vec<&'static str>,
}

impl RelayService {
    /// Forwards calls through `direct`, for the tables in `written` only.
    pub fn new(
        direct: Rc<dyn RowStore>,
        access: Arc<Access>,
        histories: Histories,
        writable: Vec<&'static str>,
    ) -> Self {
        Self {
            direct,
            access,
            histories,
            writable,
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
            None => Err(invalid("not a call")),
        };
        let kind = outcome.unwrap_or_else(AnswerKind::from);
        Bytes::from(RelayAnswer { kind: Some(kind) }.encode_to_vec())
    }

    async fn changes(&self, call: ChangesCall) -> Result<Bytes, StoreError> {
        if !call.reads_digests {
            return Err(unavailable("this node keeps digests only"));
        }
        let wait = Duration::from_millis(u64::from(call.wait_ms)).min(MAX_POLL_WAIT);
        let until = Instant::now() + wait;
        let mut changed = self.histories.watch();
        loop {
            changed.borrow_and_update();
            let is_over = Instant::now() >= until;
            match self.updates(&call)? {
                Some(updates)
                    if is_over || updates.iter().any(|(_, updates)| updates.has_news()) =>
                {
                    return Ok(answer(updates));
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
    fn updates(
        &self,
        call: &ChangesCall,
    ) -> Result<Option<Vec<(String, TableUpdates)>>, StoreError> {
        let starting = self.access.is_starting();
        // A delegate may serve copies: each update carries the time since the store sent the data.
        let serves = self.access.path() == Path::Direct || self.access.serves_others();
        if !serves && !starting {
            return Err(unavailable(
                "this node does not follow the tables for others",
            ));
        }
        let mut tables = Vec::with_capacity(call.tables.len());
        for position in &call.tables {
            let history = self.histories.get(&position.table);
            let history = history.ok_or_else(|| invalid("no such table is followed"))?;
            let Some(updates) = history.updates(position.revision) else {
                return match starting {
                    true => Ok(None),
                    false => Err(unavailable("the table is not known yet")),
                };
            };
            tables.push((position.table.clone(), updates));
        }
        Ok(Some(tables))
    }

    async fn transact(&self, call: TransactCall) -> Result<AnswerKind, StoreError> {
        self.ensure_store_reachable()?;
        let transaction = call
            .transaction(|table| self.table(table))
            .map_err(|reason| invalid(&reason))?;
        let outcome = self.direct.transact(&transaction).await;
        self.access.health().note(&outcome);
        outcome.map(AnswerKind::from)
    }

    async fn read(&self, call: ReadCall) -> Result<AnswerKind, StoreError> {
        self.ensure_store_reachable()?;
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

    /// Refuses a forwarded call when this node cannot reach the store, so that no call is forwarded twice.
    fn ensure_store_reachable(&self) -> Result<(), StoreError> {
        match self.access.health().is_unavailable() {
            true => Err(unavailable("the store does not answer this node either")),
            false => Ok(()),
        }
    }

    fn table(&self, name: &str) -> Option<&'static str> {
        self.writable.iter().find(|table| **table == name).copied()
    }
}

fn answer(tables: Vec<(String, TableUpdates)>) -> Bytes {
    let tables = tables
        .into_iter()
        .map(|(table, updates)| encode_updates(table, updates));
    encode_changes_answer(tables.collect())
}

fn encode_updates(table: String, updates: TableUpdates) -> Bytes {
    let mut rest = TableChanges {
        table,
        revision: updates.contact.revision,
        now_ms: updates.contact.now_ms,
        age_ms: u32::try_from(updates.contact.age.as_millis()).unwrap_or(u32::MAX),
        ..TableChanges::default()
    };
    match updates.rows {
        UpdateRows::Snapshot(rows) => encode_table_changes(&rows, &rest),
        UpdateRows::Changes(rows) => {
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

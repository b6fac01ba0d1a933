//! What a node does for others: tells of its tables, and makes calls to the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_clock::Instant;
use dappleyard_model::{RowStore, StoreError};
use prost::Message;

use crate::access::{Access, Path};
use crate::history::{Histories, Told};
use crate::messages::{
    AnswerKind, CallKind, ChangesAnswer, ChangesCall, ReadCall, RelayAnswer, RelayCall, RowMessage,
    TableChanges, TransactCall,
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
            Some(CallKind::Changes(call)) => self.changes(call).await,
            Some(CallKind::Transact(call)) => self.transact(call).await,
            Some(CallKind::Read(call)) => self.read(call).await,
            None => Err(invalid("not a call")),
        };
        let kind = outcome.unwrap_or_else(AnswerKind::from);
        Bytes::from(RelayAnswer { kind: Some(kind) }.encode_to_vec())
    }

    async fn changes(&self, call: ChangesCall) -> Result<AnswerKind, StoreError> {
        let wait = Duration::from_millis(u64::from(call.wait_ms)).min(LONGEST_WAIT);
        let until = Instant::now() + wait;
        let mut changed = self.histories.watch();
        loop {
            changed.borrow_and_update();
            if self.access.path() != Path::Direct {
                // Copies of copies would grow old without anybody's notice.
                return Err(unavailable("this node does not follow the tables itself"));
            }
            let told = self.told(&call)?;
            let is_news = told
                .iter()
                .any(|(_, told)| told.whole || !told.rows.is_empty());
            if is_news || Instant::now() >= until {
                let tables = told.into_iter().map(|(table, told)| message(table, told));
                return Ok(AnswerKind::Changes(ChangesAnswer {
                    tables: tables.collect(),
                }));
            }
            // The end of the wait is an answer too.
            let _ = dappleyard_clock::timeout_at(until, changed.changed()).await;
        }
    }

    fn told(&self, call: &ChangesCall) -> Result<Vec<(String, Told)>, StoreError> {
        let tables = call.tables.iter().map(|position| {
            let history = self.histories.get(&position.table);
            let history = history.ok_or_else(|| invalid("no such table is followed"))?;
            let told = history.told(position.revision);
            let told = told.ok_or_else(|| unavailable("the table is not known yet"))?;
            Ok((position.table.clone(), told))
        });
        tables.collect()
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

fn message(table: String, told: Told) -> TableChanges {
    TableChanges {
        table,
        whole: told.whole,
        rows: told.rows.into_iter().map(RowMessage::from).collect(),
        revision: told.contact.revision,
        now_ms: told.contact.now_ms,
        age_ms: u32::try_from(told.contact.age.as_millis()).unwrap_or(u32::MAX),
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

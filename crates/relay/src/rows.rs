//! [`RowStore`] that calls the store directly, or through another node while the store is unreachable.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dappleyard_model::{Committed, Feed, RowStore, Rows, StoreError, Transaction};

use crate::access::Access;
use crate::call::PeerCalls;
use crate::messages::{AnswerKind, CallKind, ReadCall, TransactCall};

/// Time limit of a forwarded call.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Peers tried for one call.
const MAX_PEERS_TRIED: usize = 3;

/// Row store client of one thread.
pub struct RelayedRows {
    direct: Rc<dyn RowStore>,
    access: Arc<Access>,
    calls: PeerCalls,
}

impl RelayedRows {
    /// Uses `direct` while the store is reachable.
    pub fn new(direct: Rc<dyn RowStore>, access: Arc<Access>) -> Self {
        Self {
            direct,
            access,
            calls: PeerCalls::new(),
        }
    }

    fn record_outcome<T>(&self, outcome: Result<T, StoreError>) -> Result<T, StoreError> {
        self.access.health().note(&outcome);
        outcome
    }

    /// Forwards the call to a peer; `None` if the store is reachable directly or no peer took the call.
    async fn forward<'a>(
        &self,
        kind: &CallKind,
        tables: impl IntoIterator<Item = &'a str>,
    ) -> Option<Result<AnswerKind, StoreError>> {
        if !self.access.health().is_unavailable() {
            return None;
        }
        for peer in self
            .access
            .relays_for(tables)
            .into_iter()
            .take(MAX_PEERS_TRIED)
        {
            match self
                .calls
                .call(peer.address, kind.clone(), FORWARD_TIMEOUT)
                .await
            {
                // The call had no effect there: try the next peer.
                Err(StoreError::Unavailable { .. }) => {}
                outcome => return Some(outcome),
            }
        }
        None
    }
}

fn wrong_answer_type() -> StoreError {
    StoreError::Ambiguous {
        reason: "another node gave the answer to another call".to_owned(),
    }
}

#[async_trait(?Send)]
impl RowStore for RelayedRows {
    async fn transact(&self, transaction: &Transaction) -> Result<Committed, StoreError> {
        let call = CallKind::Transact(TransactCall::from(transaction));
        let tables = transaction.puts.iter().map(|(row, _)| row.table);
        match self.forward(&call, tables).await {
            Some(Ok(AnswerKind::Committed(committed))) => Ok(committed.into()),
            Some(Ok(_)) => Err(wrong_answer_type()),
            Some(Err(error)) => Err(error),
            None => self.record_outcome(self.direct.transact(transaction).await),
        }
    }

    async fn read(
        &self,
        table: &'static str,
        part: &str,
        from: &str,
        to: &str,
        limit: usize,
    ) -> Result<Rows, StoreError> {
        let call = CallKind::Read(ReadCall {
            table: table.to_owned(),
            part: part.to_owned(),
            from: from.to_owned(),
            to: to.to_owned(),
            limit: u32::try_from(limit).unwrap_or(u32::MAX),
        });
        match self.forward(&call, [table]).await {
            Some(Ok(AnswerKind::Rows(rows))) => Ok(rows.into()),
            Some(Ok(_)) => Err(wrong_answer_type()),
            Some(Err(error)) => Err(error),
            None => self.record_outcome(self.direct.read(table, part, from, to, limit).await),
        }
    }

    async fn parts(&self, table: &'static str) -> Result<Vec<String>, StoreError> {
        self.record_outcome(self.direct.parts(table).await)
    }

    async fn feed(
        &self,
        table: &'static str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Feed, StoreError> {
        self.record_outcome(self.direct.feed(table, after, wait_ms).await)
    }
}

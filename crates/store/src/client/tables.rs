//! HTTP client of the table service.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use awc::http::Method;
use bytes::Bytes;

use super::http::{Call, Effect, Http, invalid, parse};
use super::protocol::{
    ChangesBody, ChangesQuery, CommittedBody, RangeQuery, RowQuery, RowsBody, TransactionBody,
};
use crate::tables::{Changes, Row, StoreError, TableStore, Transaction};

/// [`TableStore`] over HTTP.
pub(super) struct HttpTableStore {
    http: Rc<Http>,
    base: String,
}

impl HttpTableStore {
    pub(super) fn new(http: Rc<Http>, base: &str) -> HttpTableStore {
        HttpTableStore {
            http,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.base)
    }
}

#[async_trait(?Send)]
impl TableStore for HttpTableStore {
    async fn transact(&self, transaction: Transaction) -> Result<u64, StoreError> {
        let body = serde_json::to_vec(&TransactionBody::from(transaction)).map_err(invalid)?;
        let answer = self
            .http
            .call(Call {
                method: Method::POST,
                url: &self.url("transact"),
                query: &(),
                body: Bytes::from(body),
                effect: Effect::Write,
                extra: Duration::ZERO,
            })
            .await?;
        let committed: CommittedBody = parse(&answer.bytes, Effect::Write)?;
        Ok(committed.revision)
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let query = RowQuery {
            key: key.to_owned(),
        };
        let answer: RowsBody = self
            .http
            .read(&self.url("row"), &query, Duration::ZERO)
            .await?;
        Ok(answer.rows.into_iter().next().map(Row::from))
    }

    async fn range(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let query = RangeQuery {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        let answer: RowsBody = self
            .http
            .read(&self.url("range"), &query, Duration::ZERO)
            .await?;
        Ok(answer.rows.into_iter().map(Row::from).collect())
    }

    async fn changes(&self, prefix: &str, after: u64, wait_ms: u32) -> Result<Changes, StoreError> {
        let query = ChangesQuery {
            prefix: prefix.to_owned(),
            after,
            wait_ms,
        };
        let wait = Duration::from_millis(wait_ms.into());
        let answer: ChangesBody = self.http.read(&self.url("changes"), &query, wait).await?;
        Ok(Changes::from(answer))
    }
}

//! Job requests of callers, handled on one worker thread.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use dappleyard_ingress::{ErrorKind, JobCalls, JobReply, Node};
use dappleyard_model::{RequestMetadata, Route, RowStore, StoreError};
use dappleyard_tenants::Caller;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use prost::Message;

use crate::keys::job_key;
use crate::messages::JobRow;
use crate::table::{CachedJob, JobTable};
use crate::{accept, end, read};

pub struct JobService {
    pub(crate) node: Arc<Node>,
    pub(crate) table: Arc<JobTable>,
    pub(crate) store: Rc<dyn RowStore>,
}

impl JobService {
    pub fn new(node: Arc<Node>, table: Arc<JobTable>, store: Rc<dyn RowStore>) -> Self {
        Self { node, table, store }
    }

    /// Reads a job's row from the store and updates the table.
    pub(crate) async fn fetch(&self, job: &str) -> Result<Option<CachedJob>, StoreError> {
        let key = job_key(job);
        // The smallest key above the job's own, as the exclusive end of the range.
        let after = format!("{job}\u{1}");
        let read = self
            .store
            .read(key.table, &key.part, job, &after, 1)
            .await?;
        let found = read.rows.into_iter().find(|row| row.key == job);
        let Some((value, revision)) = found.and_then(|row| Some((row.value?, row.revision))) else {
            return Ok(None);
        };
        let row = JobRow::decode(value).map_err(|error| StoreError::Unavailable {
            reason: format!("row of job {job}: {error}"),
        })?;
        self.table.put(job, row, revision);
        Ok(self.table.get(job))
    }

    /// Looks a job up in the table, or in the store if the table is out of date; `None` for another tenant's job.
    pub(crate) async fn find(
        &self,
        caller: &Caller,
        job: &str,
    ) -> Result<Option<CachedJob>, StoreError> {
        let known = match self.table.get(job) {
            Some(known) if self.table.is_fresh() => Some(known),
            _ => self.fetch(job).await?,
        };
        Ok(known.filter(|known| known.row.is_open_to(caller)))
    }
}

/// Reply to a request that failed because of the store.
pub(crate) fn store_error_reply(error: &StoreError) -> JobReply {
    JobReply::Refused(ErrorKind::StoreUnavailable, error.to_string())
}

impl JobCalls for JobService {
    fn submit<'a>(
        &'a self,
        caller: &'a Caller,
        route: &'a Route,
        facts: &'a RequestMetadata,
        body: Bytes,
    ) -> LocalBoxFuture<'a, JobReply> {
        accept::submit(self, caller, route, facts, body).boxed_local()
    }

    fn results<'a>(
        &'a self,
        caller: &'a Caller,
        job: &'a str,
        from: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, JobReply> {
        read::results(self, caller, job, from, wait_ms).boxed_local()
    }

    fn item<'a>(
        &'a self,
        caller: &'a Caller,
        job: &'a str,
        item: &'a str,
    ) -> LocalBoxFuture<'a, JobReply> {
        read::item(self, caller, job, item).boxed_local()
    }

    fn end<'a>(&'a self, caller: &'a Caller, job: &'a str) -> LocalBoxFuture<'a, JobReply> {
        end::end(self, caller, job).boxed_local()
    }
}

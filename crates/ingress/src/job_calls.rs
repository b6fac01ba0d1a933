//! Interface between the HTTP handlers and the job service.

use bytes::Bytes;
use dappleyard_model::{RequestMetadata, Route};
use dappleyard_tenants::Caller;
use futures::future::LocalBoxFuture;

use crate::error_kind::ErrorKind;

/// Reply to a job call.
pub enum JobReply {
    Accepted,
    Ended,
    Page(Bytes),
    Body(Bytes),
    /// The call is refused, with a reason.
    Refused(ErrorKind, String),
}

/// Job operations offered to clients.
pub trait JobCalls {
    /// Submits a job.
    fn submit<'a>(
        &'a self,
        caller: &'a Caller,
        route: &'a Route,
        facts: &'a RequestMetadata,
        body: Bytes,
    ) -> LocalBoxFuture<'a, JobReply>;

    /// Reads results from a position, waiting up to `wait_ms` for new ones.
    fn results<'a>(
        &'a self,
        caller: &'a Caller,
        job: &'a str,
        from: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, JobReply>;

    fn item<'a>(
        &'a self,
        caller: &'a Caller,
        job: &'a str,
        item: &'a str,
    ) -> LocalBoxFuture<'a, JobReply>;

    fn end<'a>(&'a self, caller: &'a Caller, job: &'a str) -> LocalBoxFuture<'a, JobReply>;
}

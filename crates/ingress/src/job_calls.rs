//! Calls about jobs, as the interface for callers needs them.

use bytes::Bytes;
use dappleyard_model::{RequestFacts, Route};
use dappleyard_tenants::Caller;
use futures::future::LocalBoxFuture;

use crate::outcome::ErrorKind;

/// Answer to a call about jobs.
pub enum JobReply {
    /// The job is accepted.
    Accepted,
    /// The job is ended.
    Ended,
    /// A page of results.
    Page(Bytes),
    /// The body of an item.
    Body(Bytes),
    /// The call is not served.
    Refused(ErrorKind, String),
}

/// Calls about jobs, as the interface needs them.
pub trait JobCalls {
    /// Takes a job.
    fn submit<'a>(
        &'a self,
        caller: &'a Caller,
        route: &'a Route,
        facts: &'a RequestFacts,
        body: Bytes,
    ) -> LocalBoxFuture<'a, JobReply>;

    /// Reads results from a position on.
    fn results<'a>(
        &'a self,
        caller: &'a Caller,
        job: &'a str,
        from: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, JobReply>;

    /// Reads the body of an item.
    fn item<'a>(
        &'a self,
        caller: &'a Caller,
        job: &'a str,
        item: &'a str,
    ) -> LocalBoxFuture<'a, JobReply>;

    /// Ends a job.
    fn end<'a>(&'a self, caller: &'a Caller, job: &'a str) -> LocalBoxFuture<'a, JobReply>;
}

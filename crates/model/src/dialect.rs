//! Port of the formats spoken with callers, servers and operators.

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::{AnswerFacts, Configuration, ItemSubmission, RequestFacts, ServerRecord, ZoneName};

/// What a call to the node's own interface asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Endpoint {
    /// Whether the node takes requests.
    Ready,
    /// Where callers should go.
    Resolve,
    /// Results of a job.
    JobResults {
        /// Job.
        job: String,
        /// First position wanted.
        from: u64,
    },
    /// Body of an item that is not yet listed.
    JobItem {
        /// Job.
        job: String,
        /// Item.
        item: String,
    },
    /// End of a job.
    JobEnd {
        /// Job.
        job: String,
    },
    /// A request for a route.
    Routed,
}

/// What a row of the operators asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorOrder {
    /// The configuration.
    Configuration,
    /// As long as the row stands, the servers of a zone get no new work.
    Evacuation(ZoneName),
}

/// Where service discovery keeps its rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServersSource {
    /// Table of the operators' configuration.
    pub configuration_table: &'static str,
    /// Table of the servers.
    pub servers_table: &'static str,
}

/// What a server is told of the tenant of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TenantStamp<'a> {
    /// The configuration knows no tenants: what the caller sent is passed on.
    Untouched,
    /// The request belongs to no tenant. Neither a key nor a tenant of the caller's is passed on.
    Nobody,
    /// The tenant, whatever the caller named. The key is not passed on.
    Tenant(&'a str),
}

/// What the system itself says to a server beside the caller's own headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStamp<'a> {
    /// Time that is left.
    pub remaining_ms: Option<u64>,
    /// Server that is meant.
    pub expect_instance: &'a str,
    /// Event after which the server should go on.
    pub last_event_id: Option<u64>,
    /// Whose request it is.
    pub tenant: TenantStamp<'a>,
}

/// A message that is not in the format.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{place}: {reason}")]
pub struct FormatError {
    /// Field or line.
    pub place: String,
    /// What is wrong with it.
    pub reason: String,
}

/// One result of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultEntry {
    /// Item.
    pub item: String,
    /// The item ran to its end; otherwise it was given up.
    pub completed: bool,
    /// Text of the item.
    pub text: String,
}

/// Formats of one platform.
pub trait Dialect: Send + Sync {
    /// What a call asks for.
    fn endpoint(&self, method: &Method, path: &str, query: &str) -> Endpoint;

    /// Reads the head of a caller's request.
    fn request_facts(&self, headers: &HeaderMap) -> RequestFacts;

    /// Headers for a server.
    fn stamp(&self, stamp: &ServerStamp<'_>) -> Vec<(HeaderName, HeaderValue)>;

    /// Whether the system sets this header itself on requests.
    fn is_stamped(&self, name: &HeaderName, stamp: &ServerStamp<'_>) -> bool;

    /// The header that names a request.
    fn request_id_header(&self) -> HeaderName;

    /// Reads the head of a server's answer.
    fn answer_facts(&self, status: u16, headers: &HeaderMap) -> AnswerFacts;

    /// Answer to a caller that asks where to go.
    fn resolve_answer(&self, addresses: &[String], ttl_ms: u64) -> Bytes;

    /// Zone named in a query for the directory.
    fn resolve_zone(&self, query: &str) -> Option<String>;

    /// Host that a caller means to call when it asks where to go.
    fn resolve_host(&self, query: &str) -> Option<String>;

    /// Reads a job.
    fn job(&self, body: &[u8]) -> Result<Vec<ItemSubmission>, FormatError>;

    /// One page of a job's results.
    fn results_page(&self, total: u64, next: u64, results: &[ResultEntry]) -> Bytes;

    /// Where the operators' rows are.
    fn sources(&self) -> ServersSource;

    /// What a row of the operators' table asks for, by its key; `None` for a key that means nothing.
    fn order(&self, key: &str) -> Option<OperatorOrder>;

    /// Reads the value of an evacuation. It says nothing that matters, but one that cannot be read is no order.
    fn evacuation(&self, value: &[u8]) -> Result<(), FormatError>;

    /// Reads a configuration.
    fn configuration(&self, value: &[u8]) -> Result<Configuration, FormatError>;

    /// Reads a server's entry.
    fn server(&self, key: &str, value: &[u8]) -> Result<ServerRecord, FormatError>;
}

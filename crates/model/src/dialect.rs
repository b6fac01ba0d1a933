//! Trait for the formats of requests, server responses and configuration.

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::{
    Configuration, ItemSubmission, RequestMetadata, ResponseMetadata, ServerRecord, ZoneName,
};

/// Endpoint addressed by a request to the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Endpoint {
    /// Readiness check.
    Ready,
    /// Addresses that callers should use.
    Resolve,
    JobResults {
        /// Identifier of the job.
        job: String,
        /// First position to return.
        from: u64,
    },
    /// Upload of the body of a job item.
    JobItem {
        /// Identifier of the job.
        job: String,
        /// Identifier of the item.
        item: String,
    },
    JobEnd {
        /// Identifier of the job.
        job: String,
    },
    /// Request that is matched against the routes.
    Routed,
}

/// Meaning of a row in the operators' table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorOrder {
    Configuration,
    /// While the row exists, the servers of the zone get no new work.
    Evacuation(ZoneName),
}

/// Tables used by service discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServersSource {
    /// Configuration and operator orders.
    pub configuration_table: &'static str,
    /// Server entries.
    pub servers_table: &'static str,
}

/// Tenant information in the headers sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TenantHeader<'a> {
    /// No tenants are configured: the caller's headers are forwarded unchanged.
    Unchanged,
    /// The request has no tenant; key and tenant headers of the caller are removed.
    NoTenant,
    /// Name of the tenant, which replaces the one sent by the caller; the key is removed.
    Tenant(&'a str),
}

/// Values of the headers that the system adds to a request for a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerHeaders<'a> {
    /// Time left until the deadline.
    pub remaining_ms: Option<u64>,
    /// Server instance that the request is meant for.
    pub expect_instance: &'a str,
    /// Event after which the server should resume the stream.
    pub last_event_id: Option<u64>,
    /// Tenant of the request.
    pub tenant: TenantHeader<'a>,
}

/// A message could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{place}: {reason}")]
pub struct FormatError {
    /// Field or line with the error.
    pub place: String,
    /// Description of the error.
    pub reason: String,
}

/// One result of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultEntry {
    /// Identifier of the item.
    pub item: String,
    /// Whether the item ran to its end; false if it was given up.
    pub completed: bool,
    /// Output of the item.
    pub text: String,
}

/// Formats of a platform.
pub trait Dialect: Send + Sync {
    /// Maps a request to an endpoint.
    fn endpoint(&self, method: &Method, path: &str, query: &str) -> Endpoint;

    /// Parses the headers of a request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Headers that the system adds to a request for a server.
    fn server_headers(&self, header_values: &ServerHeaders<'_>) -> Vec<(HeaderName, HeaderValue)>;

    /// Whether the system sets or removes this header, so that the caller's value is not forwarded.
    fn is_system_header(&self, name: &HeaderName, header_values: &ServerHeaders<'_>) -> bool;

    /// Header that carries the request identifier.
    fn request_id_header(&self) -> HeaderName;

    /// Parses the status and headers of a server's response.
    fn response_metadata(&self, status: u16, headers: &HeaderMap) -> ResponseMetadata;

    /// Body of the answer to [`Endpoint::Resolve`].
    fn resolve_answer(&self, addresses: &[String], ttl_ms: u64) -> Bytes;

    /// Zone given in the query of [`Endpoint::Resolve`].
    fn resolve_zone(&self, query: &str) -> Option<String>;

    /// Host given in the query of [`Endpoint::Resolve`].
    fn resolve_host(&self, query: &str) -> Option<String>;

    /// Parses a submitted job.
    fn job(&self, body: &[u8]) -> Result<Vec<ItemSubmission>, FormatError>;

    /// Body of one page of a job's results.
    fn results_page(&self, total: u64, next: u64, results: &[ResultEntry]) -> Bytes;

    fn sources(&self) -> ServersSource;

    /// Parses the key of a row in the operators' table; `None` for an unknown key.
    fn order(&self, key: &str) -> Option<OperatorOrder>;

    /// Validates the value of an evacuation row. Its content is not used, but a row with an invalid value is ignored.
    fn evacuation(&self, value: &[u8]) -> Result<(), FormatError>;

    /// Parses a configuration.
    fn configuration(&self, value: &[u8]) -> Result<Configuration, FormatError>;

    /// Parses a server entry.
    fn server(&self, key: &str, value: &[u8]) -> Result<ServerRecord, FormatError>;
}

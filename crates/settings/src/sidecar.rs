//! Settings of the sidecar process that runs next to each client.

use serde::{Deserialize, Serialize};

use crate::node::{LinkBounds, Location};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SidecarSettings {
    /// Name of this process in logs and links.
    pub id: String,
    pub place: Location,
    /// HTTP listen address for clients; loopback only.
    pub listen: String,
    /// Link addresses (host:port) of nodes to contact at startup, from which others are discovered.
    pub nodes: Vec<String>,
    /// Number of open links to nodes.
    pub links: usize,
    /// Tenant of requests that do not specify one.
    pub default_tenant: String,
    /// Deadline of requests that do not specify one, in milliseconds.
    pub default_deadline_ms: u32,
    /// Maximum body size of a generation request, in bytes.
    pub maximum_body_bytes: usize,
    /// Maximum size of an uploaded file, in bytes.
    pub maximum_file_bytes: u64,
    /// Timeout for receiving a request body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum concurrent requests.
    pub maximum_requests: usize,
    /// Maximum concurrent file uploads; each buffers one part of half a megabyte.
    pub maximum_uploads: usize,
    /// Maximum prompt length, in tokens.
    pub maximum_prompt_tokens: u32,
    /// Output token limit of requests that do not specify one.
    pub default_max_tokens: u32,
    /// Maximum output token limit that a request may specify.
    pub maximum_output_tokens: u32,
    /// Maximum pieces of a response buffered after a gap.
    pub maximum_gap_pieces: usize,
    /// Retry budget, as a percentage of first attempts.
    pub retry_budget_percent: u32,
    /// Maximum attempts per request.
    pub maximum_attempts: u32,
    /// Time to first token after which a repeatable request is hedged, in milliseconds; 0 disables
    /// hedging.
    pub hedge_after_ms: u64,
    pub workers: usize,
    /// Memory of the machine for this process, in megabytes. A sixth of it is for messages of callers.
    pub memory_mb: usize,
    /// Descriptors that the process may open. Half of those that are not for files are for callers.
    pub maximum_descriptors: usize,
    /// Timeout of a graceful shutdown, in milliseconds.
    pub stop_bound_ms: u64,
    pub link: LinkBounds,
}

impl Default for SidecarSettings {
    fn default() -> Self {
        Self {
            id: "sidecar".to_owned(),
            place: Location::default(),
            listen: "127.0.0.1:8080".to_owned(),
            nodes: vec!["127.0.0.1:7700".to_owned()],
            links: 3,
            default_tenant: "default".to_owned(),
            default_deadline_ms: 60_000,
            maximum_body_bytes: 1_048_576,
            maximum_file_bytes: 1_073_741_824,
            body_timeout_ms: 10_000,
            maximum_requests: 4_096,
            maximum_uploads: 32,
            maximum_prompt_tokens: 32_768,
            default_max_tokens: 256,
            maximum_output_tokens: 16_384,
            maximum_gap_pieces: 4_096,
            retry_budget_percent: 10,
            maximum_attempts: 4,
            hedge_after_ms: 0,
            workers: 2,
            memory_mb: 1_024,
            maximum_descriptors: 10_000,
            stop_bound_ms: 60_000,
            link: LinkBounds::default(),
        }
    }
}

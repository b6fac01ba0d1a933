//! Settings of the sidecar, the process beside each caller.

use serde::{Deserialize, Serialize};

use crate::node::{LinkBounds, Place};

/// Settings of the sidecar.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SidecarSettings {
    /// Name of this process in logs and links.
    pub id: String,
    /// Where it runs.
    pub place: Place,
    /// Address of the callers' HTTP interface; loopback only.
    pub listen: String,
    /// Link addresses (host:port) of nodes tried at start; others are learnt from them.
    pub nodes: Vec<String>,
    /// Links kept open.
    pub links: usize,
    /// Tenant of requests that name none.
    pub default_tenant: String,
    /// Deadline of requests that name none, milliseconds.
    pub default_deadline_ms: u32,
    /// Largest body of a generation request, bytes.
    pub maximum_body_bytes: usize,
    /// Largest uploaded file, bytes.
    pub maximum_file_bytes: u64,
    /// Longest time for a caller to send a body, milliseconds.
    pub body_timeout_ms: u64,
    /// Most requests at once.
    pub maximum_requests: usize,
    /// Most file uploads at once; each holds one part of half a megabyte in memory.
    pub maximum_uploads: usize,
    /// Longest prompt, tokens.
    pub maximum_prompt_tokens: u32,
    /// Most output tokens of a request that names no limit.
    pub default_max_tokens: u32,
    /// Most output tokens that a request may ask for.
    pub maximum_output_tokens: u32,
    /// Most pieces of an answer kept behind a gap.
    pub maximum_gap_pieces: usize,
    /// Retries as a share of first attempts, percent.
    pub retry_budget_percent: u32,
    /// Most attempts of one request.
    pub maximum_attempts: u32,
    /// Hedge a repeatable request that has no first token after this long, milliseconds; 0 never.
    pub hedge_after_ms: u64,
    /// Worker threads.
    pub workers: usize,
    /// Bounds of links.
    pub link: LinkBounds,
}

impl Default for SidecarSettings {
    fn default() -> Self {
        Self {
            id: "sidecar".to_owned(),
            place: Place::default(),
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
            link: LinkBounds::default(),
        }
    }
}

//! Data parsed from requests, answers and server entries.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::software_version::SoftwareVersion;
use crate::tenant::KeyDigest;

/// Part of a prompt that requests may share, used for prefix caching.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's identifier.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Data from the headers of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier of this attempt; empty if the caller sent none.
    pub id: String,
    /// Deadline of the caller, from now.
    pub deadline_ms: Option<u64>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Prompt tokens.
    pub tokens_in: u32,
    /// Maximum number of tokens to generate.
    pub tokens_out: u32,
    /// Event after which the caller wants to resume the stream.
    pub last_event_id: Option<u64>,
    /// Attempt that brought the first event of the stream that the caller wants to resume.
    pub resumes: Option<String>,
    /// Long-poll wait for new results.
    pub wait_ms: u64,
    /// Digest of the caller's API key.
    pub key: Option<KeyDigest>,
}

/// Load reported by a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Current duration of work relative to normal (100), if reported. It changes many times per second on a shared machine.
    pub work_percent: Option<u32>,
}

/// Data from the status and headers of a server's response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Identifier of the answered request; `None` if the response names none, or several.
    pub request_id: Option<String>,
    /// The server reports that it did not run the request.
    pub not_run: bool,
    /// The response carries the header by which servers mark their own responses.
    pub sealed: bool,
    /// Load of the server, if reported.
    pub load: Option<ServerLoad>,
    /// Remaining warm-up time, from the response to a health check; `None` if not reported.
    pub cold_left_ms: Option<u64>,
    /// Instance that answered, from the response to a health check.
    pub instance: Option<String>,
}

/// Server entry of service discovery.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerRecord {
    /// Identifier of one start of the server, see [`ServerRecord::start_id`]. State about servers is keyed by it, so that it
    /// is discarded on a restart.
    pub id: String,
    /// Name of the server, which stays the same across restarts.
    pub instance: String,
    /// Service it belongs to.
    pub service: String,
    /// Listen address.
    pub address: SocketAddr,
    pub zone: String,
    /// `None` if it is unknown, as in records of nodes that run an earlier version of this program.
    pub version: Option<SoftwareVersion>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// It is shutting down and takes no new work.
    pub draining: bool,
    /// Remaining warm-up time.
    pub cold_left_ms: u64,
}

/// Separates name and start time in a start identifier.
const START_SEPARATOR: char = '@';

impl ServerRecord {
    /// Builds the identifier of one start of a server from its name and start time in Unix milliseconds. A server that does
    /// not report its start time is identified by name alone.
    pub fn start_id(instance: &str, born_ms: Option<u64>) -> String {
        match born_ms {
            Some(born_ms) => format!("{instance}{START_SEPARATOR}{born_ms}"),
            None => instance.to_owned(),
        }
    }

    /// Start time in Unix milliseconds, if reported.
    pub fn start_time_ms(&self) -> Option<u64> {
        let started = self.id.strip_prefix(&self.instance)?;
        started.strip_prefix(START_SEPARATOR)?.parse().ok()
    }

    /// Extracts the server name from a start identifier.
    pub fn instance_of(id: &str) -> &str {
        id.rsplit_once(START_SEPARATOR).map_or(id, |(name, _)| name)
    }
}

/// Item of a submitted job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemSubmission {
    pub id: String,
    /// Request path at the server.
    pub path: String,
    /// Names and values of headers.
    pub headers: Vec<(String, String)>,
    /// Decoded body.
    pub body: Bytes,
    /// Prompt tokens plus the maximum number of generated tokens.
    pub tokens: u64,
}

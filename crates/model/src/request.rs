//! What a node learns from the heads of requests and answers.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::tenant::KeyDigest;

/// One part of a prompt that may be shared between requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's identifier.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What the head of a caller's request says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Identifier of this attempt; empty when the caller sent none.
    pub id: String,
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Most tokens to generate.
    pub tokens_out: u32,
    /// Event after which the caller wants the stream to go on.
    pub last_event_id: Option<u64>,
    /// How long an answer may be held for something to report.
    pub wait_ms: u64,
    /// Digest of the key that the caller showed.
    pub key: Option<KeyDigest>,
}

/// Load that a server told of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// How long work takes there now, where the server tells it: 100 is as usual. It shares its machine with others, so
    /// this changes many times a second.
    pub work_percent: Option<u32>,
}

/// What the head of a server's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Identifier of the request that it answers.
    pub request_id: Option<String>,
    /// The server says that it did not run the request.
    pub not_run: bool,
    /// The answer carries the server's signature.
    pub sealed: bool,
    /// Load of the server.
    pub load: Option<ServerLoad>,
    /// How much longer the server is cold, as its answer to a health check says; `None` where the answer
    /// says nothing of it.
    pub cold_left_ms: Option<u64>,
    /// The server that answered, as its answer to a health check says.
    pub instance: Option<String>,
}

/// One server as service discovery shows it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerRecord {
    /// Identifier of this start of the server, unlike that of any other start: see [`ServerRecord::start_id`]. All that is
    /// known of a server is kept by it, so nothing outlives a restart.
    pub id: String,
    /// Name by which the server goes, which a later start of it may have too.
    pub instance: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone that it is in.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It is about to leave and takes no new work.
    pub draining: bool,
    /// How much longer it stays slow.
    pub cold_left_ms: u64,
}

/// Stands between the name of a server and the moment of its start.
const START_MARK: char = '@';

impl ServerRecord {
    /// Identifier of one start of a server. A server that starts again under its name knows nothing of before; the moment
    /// of its start, milliseconds since 1970, tells the two apart. Where a server does not tell it, its name alone does.
    pub fn start_id(instance: &str, born_ms: Option<u64>) -> String {
        match born_ms {
            Some(born_ms) => format!("{instance}{START_MARK}{born_ms}"),
            None => instance.to_owned(),
        }
    }

    /// When the server started, milliseconds since 1970, where it tells.
    pub fn born_ms(&self) -> Option<u64> {
        let born = self.id.strip_prefix(&self.instance)?;
        born.strip_prefix(START_MARK)?.parse().ok()
    }

    /// The name in the identifier of a start that was told.
    pub fn instance_of(id: &str) -> &str {
        id.rsplit_once(START_MARK).map_or(id, |(name, _)| name)
    }
}

/// One item of a job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemSubmission {
    /// Identifier of the item.
    pub id: String,
    /// Path at the server.
    pub path: String,
    /// Headers, name and value.
    pub headers: Vec<(String, String)>,
    /// Body, decoded.
    pub body: Bytes,
    /// Tokens of the prompt and the most out, together.
    pub tokens: u64,
}

//! The engine interface: calls, events and errors.

use std::pin::Pin;

use async_trait::async_trait;
use derive_more::{Display, Error};
use futures::Stream;
use serde::{Deserialize, Serialize};

/// Scheduling priority of a sequence in the engine. Higher values run first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl Priority {
    pub const BATCH: Priority = Priority(0);
    pub const ONLINE: Priority = Priority(10);
}

/// Body of `POST {base}/v1/generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateCall {
    /// The engine identifies a call by (request id, attempt).
    pub request_id: String,
    pub attempt: u32,
    pub service: String,
    /// Required model version; empty for the loaded one.
    pub version: String,
    /// Empty for none.
    pub adapter: String,
    /// Canonical prompt text.
    pub prompt: String,
    /// Prompt length, tokens.
    pub prompt_tokens: u32,
    /// Hash of the shared prefix of the prompt.
    pub prefix_hash: u64,
    /// Length of the shared prefix, tokens.
    pub prefix_tokens: u32,
    /// Maximum length of the complete answer, tokens.
    pub max_tokens: u32,
    pub priority: Priority,
    /// Offset of the first token to return; earlier tokens were already produced and are prefilled.
    pub resume_offset: u32,
    /// Stream to attach to if it is still running; empty for none.
    pub attach_stream: String,
    /// Whether the call may only attach and must not start a new run.
    pub attach_only: bool,
    /// `true` sends tokens as they are produced; `false` sends one event at the end or on cancellation.
    pub stream: bool,
}

/// One line of the response to `generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// The sequence was added to the engine's queue. From now on it may have run.
    Accepted {
        /// Stream id, for attaching and cancelling.
        stream: String,
        /// Version of the model in use.
        version: String,
    },
    /// Output tokens starting at `offset`.
    Tokens {
        /// Index of the first token.
        offset: u32,
        /// Text of each token.
        pieces: Vec<String>,
    },
    /// The sequence ended.
    Finished {
        /// `"stop"`, `"length"` or `"cancelled"`.
        reason: String,
        /// Length of the answer so far, including the tokens before `resume_offset`.
        total_tokens: u32,
        /// Prompt tokens served from the prefix cache.
        cached_tokens: u32,
        /// Whether any step of the sequence was executed in this attempt.
        ran: bool,
    },
}

/// Body of `POST {base}/v1/orders`: a fenced command. The engine refuses a lower (epoch, sequence).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Epoch of the controller.
    pub epoch: u64,
    /// Sequence number within the epoch.
    pub sequence: u64,
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// Action of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderKind {
    /// Replaces the loaded model after running sequences have ended.
    LoadVersion {
        service: String,
        version: String,
    },
    LoadAdapter {
        adapter: String,
    },
    /// Stops or resumes accepting new work.
    SetAccepting {
        accepting: bool,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    pub service: String,
    pub version: String,
    pub adapters: Vec<String>,
}

/// Response to `GET {base}/v1/report` (last published report) and `GET {base}/v1/status` (current state).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Server id.
    pub server: String,
    /// Sequence number of the report.
    pub sequence: u64,
    /// Age of the report when it was delivered, milliseconds.
    pub age_ms: u32,
    /// Loaded model; `None` while loading.
    pub model: Option<LoadedModel>,
    /// Version being loaded; empty for none.
    pub loading: String,
    pub running_online: u32,
    pub running_batch: u32,
    pub waiting_online: u32,
    pub waiting_batch: u32,
    /// Free KV blocks, including blocks used by the prefix cache.
    pub free_blocks: u32,
    /// Number of KV blocks.
    pub total_blocks: u32,
    /// Tokens per KV block.
    pub block_tokens: u32,
    /// Maximum number of concurrent sequences.
    pub maximum_sequences: u32,
    /// Smoothed step time, milliseconds.
    pub step_ms: f64,
    /// Whether the engine accepts new work; `false` while it is draining.
    pub accepting: bool,
    /// Epoch of the last applied order.
    pub order_epoch: u64,
    /// Sequence number of the last applied order.
    pub order_sequence: u64,
    /// Error of the last model load; empty if it succeeded.
    pub load_failure: String,
}

/// One event of `GET {base}/v1/cache-events?after=N`. A gap in the numbers means lost events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub sequence: u64,
    pub prefix_hash: u64,
    /// Cached tokens; 0 if evicted.
    pub tokens: u32,
}

/// Body of `POST {base}/v1/kv/export`: identifies the state to export.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExportRequest {
    /// Canonical prompt text of a running or ended sequence.
    pub prompt: String,
    /// Hash of the shared prefix of the prompt.
    pub prefix_hash: u64,
}

/// Response to an export and body of `POST {base}/v1/kv/import`: KV state of one sequence. Tokens covered
/// by imported state need no prefill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvState {
    /// Model version that computed the state. Engines with another version refuse it.
    pub version: String,
    /// Engine-specific key of the sequence.
    pub key: u64,
    /// Hash of the shared prefix.
    pub prefix_hash: u64,
    /// Tokens of the shared prefix, a multiple of the block size.
    pub prefix_tokens: u32,
    /// Tokens after the shared prefix, a multiple of the block size.
    pub tokens: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum EngineError {
    /// No connection to the engine was established. The call did not run.
    #[display("the engine was not reached: {reason}")]
    Unreachable { reason: String },
    /// The connection was lost after the call was sent. The call may have run.
    #[display("the engine was lost: {reason}")]
    Lost { reason: String },
    /// The engine refused the call. The call did not run.
    #[display("the engine refused ({status}): {reason}")]
    Refused {
        /// HTTP status: 404 wrong model or unknown stream, 409 stale order, 429 full, 503 draining.
        status: u16,
        /// Response body, truncated.
        reason: String,
    },
}

/// Events of one generation.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>>>>;

/// One model engine, reached by its base URL.
#[async_trait(?Send)]
pub trait Engine {
    /// Starts a generation or attaches to a running one.
    async fn generate(&self, base: &str, call: GenerateCall) -> Result<EventStream, EngineError>;

    /// Cancels a stream: `POST {base}/v1/streams/{stream}/cancel`. Succeeds if the stream has already ended.
    async fn cancel(&self, base: &str, stream: &str) -> Result<(), EngineError>;

    /// Cancels several streams in one call: `POST {base}/v1/cancel` with a list of stream ids. Streams that
    /// have already ended are ignored. Falls back to single cancels if the engine does not support the
    /// call.
    async fn cancel_all(&self, base: &str, streams: &[String]) -> Result<(), EngineError> {
        for stream in streams {
            self.cancel(base, stream).await?;
        }
        Ok(())
    }

    /// Returns the last published report.
    async fn report(&self, base: &str) -> Result<EngineReport, EngineError>;

    /// Returns the engine's current state.
    async fn status(&self, base: &str) -> Result<EngineReport, EngineError>;

    /// Returns the cache events after a sequence number.
    async fn cache_events(&self, base: &str, after: u64) -> Result<Vec<CacheEvent>, EngineError>;

    /// Sends a fenced order.
    async fn order(&self, base: &str, order: EngineOrder) -> Result<(), EngineError>;

    /// Exports the KV state of a sequence. An engine without support answers 501.
    async fn export_kv(
        &self,
        _base: &str,
        _query: KvExportRequest,
    ) -> Result<KvState, EngineError> {
        Err(kv_transfer_unsupported())
    }

    /// Imports KV state. An engine without support answers 501.
    async fn import_kv(&self, _base: &str, _state: KvState) -> Result<(), EngineError> {
        Err(kv_transfer_unsupported())
    }
}

fn kv_transfer_unsupported() -> EngineError {
    EngineError::Refused {
        status: 501,
        reason: "the engine does not move KV state".to_owned(),
    }
}

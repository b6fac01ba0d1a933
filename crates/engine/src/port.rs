//! The engine port: calls, events and errors.

use std::pin::Pin;

use async_trait::async_trait;
use derive_more::{Display, Error};
use futures::Stream;
use serde::{Deserialize, Serialize};

/// Priority of a sequence in the engine; greater goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl Priority {
    /// Batch work.
    pub const BATCH: Priority = Priority(0);
    /// Online work.
    pub const ONLINE: Priority = Priority(10);
}

/// Body of `POST {base}/v1/generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateCall {
    /// Request id; the engine's own record is kept under (request id, attempt).
    pub request_id: String,
    /// Attempt number.
    pub attempt: u32,
    /// Service whose model is to answer.
    pub service: String,
    /// Version wanted; empty for the one loaded.
    pub version: String,
    /// Adapter; empty for none.
    pub adapter: String,
    /// Canonical prompt text.
    pub prompt: String,
    /// Prompt length, tokens.
    pub prompt_tokens: u32,
    /// Hash of the shared prefix of the prompt.
    pub prefix_hash: u64,
    /// Length of that shared prefix, tokens.
    pub prefix_tokens: u32,
    /// Most tokens of the whole answer.
    pub max_tokens: u32,
    /// Priority.
    pub priority: Priority,
    /// First token wanted; tokens before it were produced earlier and are prefilled.
    pub resume_offset: u32,
    /// Stream to attach to if it still lives; empty for none.
    pub attach_stream: String,
    /// Only attach: never start the request afresh.
    pub attach_only: bool,
    /// `true` sends tokens as they come; `false` one event at the end or at a cancel.
    pub stream: bool,
}

/// One line of the answer to `generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// The sequence was accepted into the engine's queue. From here on it may have run.
    Accepted {
        /// Stream id, for attaching and cancelling.
        stream: String,
        /// Version of the model that answers.
        version: String,
    },
    /// Output tokens from `offset` on, one piece a token.
    Tokens {
        /// Index of the first token.
        offset: u32,
        /// One piece a token.
        pieces: Vec<String>,
    },
    /// The sequence ended: "stop", "length" or "cancelled".
    Finished {
        /// Why it ended.
        reason: String,
        /// Tokens of the whole answer so far, `resume_offset` included.
        total_tokens: u32,
        /// Prompt tokens that came from the prefix cache.
        cached_tokens: u32,
        /// Whether any step of the sequence ran in this attempt.
        ran: bool,
    },
}

/// Body of `POST {base}/v1/orders`: a fenced order. A lower (epoch, sequence) is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Epoch of the controller.
    pub epoch: u64,
    /// Sequence number within the epoch.
    pub sequence: u64,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a version of a service's model, replacing the one loaded, after running work.
    LoadVersion {
        /// Service.
        service: String,
        /// Version.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Take no new work, or take it again.
    SetAccepting {
        /// Whether new work is taken.
        accepting: bool,
    },
}

/// A model that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Service.
    pub service: String,
    /// Version.
    pub version: String,
    /// Adapters.
    pub adapters: Vec<String>,
}

/// Answer of `GET {base}/v1/report` (lagged) and `GET {base}/v1/status` (at once).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Server id.
    pub server: String,
    /// Number of the report.
    pub sequence: u64,
    /// Age of the report when it was delivered, milliseconds.
    pub age_ms: u32,
    /// Model loaded; `None` while loading.
    pub model: Option<LoadedModel>,
    /// Version being loaded; empty for none.
    pub loading: String,
    /// Running sequences by class.
    pub running_online: u32,
    /// Running batch sequences.
    pub running_batch: u32,
    /// Waiting sequences by class.
    pub waiting_online: u32,
    /// Waiting batch sequences.
    pub waiting_batch: u32,
    /// Free KV blocks, cache included.
    pub free_blocks: u32,
    /// All KV blocks.
    pub total_blocks: u32,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Most sequences at once.
    pub maximum_sequences: u32,
    /// Smoothed step time, milliseconds.
    pub step_ms: f64,
    /// Whether new work is taken: `false` when leaving.
    pub accepting: bool,
    /// Greatest order applied.
    pub order_epoch: u64,
    /// Its sequence.
    pub order_sequence: u64,
    /// The last load failed: what failed.
    pub load_failure: String,
}

/// One event of `GET {base}/v1/cache-events?after=N`; numbers show gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix_hash: u64,
    /// Tokens cached; 0 when evicted.
    pub tokens: u32,
}

/// Body of `POST {base}/v1/kv/export`: which state is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvQuery {
    /// Canonical prompt text of the sequence, running or ended.
    pub prompt: String,
    /// Hash of its shared prefix.
    pub prefix_hash: u64,
}

/// Answer of an export and body of `POST {base}/v1/kv/import`: state of one sequence. Imported, it
/// spares its tokens the prefill, like state that the engine computed itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvState {
    /// Version whose state it is; another version refuses it.
    pub version: String,
    /// Engine's key of the sequence.
    pub key: u64,
    /// Hash of the shared prefix.
    pub prefix_hash: u64,
    /// Tokens of the shared prefix, whole blocks.
    pub prefix_tokens: u32,
    /// Tokens after the shared prefix, whole blocks.
    pub tokens: u32,
}

/// Why a call to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum EngineError {
    /// The engine was not reached: nothing ran.
    #[display("the engine was not reached: {reason}")]
    Unreachable {
        /// What was seen.
        reason: String,
    },
    /// The connection was lost after the call was sent: it may have run.
    #[display("the engine was lost: {reason}")]
    Lost {
        /// What was seen.
        reason: String,
    },
    /// The engine refused: nothing ran.
    #[display("the engine refused ({status}): {reason}")]
    Refused {
        /// HTTP status: 404 wrong model or no such stream, 409 old order, 429 full, 503 leaving.
        status: u16,
        /// What the engine said.
        reason: String,
    },
}

/// Events of one generation.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>>>>;

/// One model engine, reached by its base URL.
#[async_trait(?Send)]
pub trait Engine {
    /// Starts or attaches to a generation.
    async fn generate(&self, base: &str, call: GenerateCall) -> Result<EventStream, EngineError>;

    /// Cancels a stream: `POST {base}/v1/streams/{stream}/cancel`. No error when it is gone.
    async fn cancel(&self, base: &str, stream: &str) -> Result<(), EngineError>;

    /// Cancels several streams by one call: `POST {base}/v1/cancel` with a list of stream ids. No error
    /// for those that are gone. An engine that has no such call is told one by one.
    async fn cancel_all(&self, base: &str, streams: &[String]) -> Result<(), EngineError> {
        for stream in streams {
            self.cancel(base, stream).await?;
        }
        Ok(())
    }

    /// The latest report that the engine has published, lagged.
    async fn report(&self, base: &str) -> Result<EngineReport, EngineError>;

    /// The engine's state at this moment.
    async fn status(&self, base: &str) -> Result<EngineReport, EngineError>;

    /// Cache events after a number.
    async fn cache_events(&self, base: &str, after: u64) -> Result<Vec<CacheEvent>, EngineError>;

    /// Gives a fenced order.
    async fn order(&self, base: &str, order: EngineOrder) -> Result<(), EngineError>;

    /// Exports the KV state of a sequence. An engine without this answers 501.
    async fn export_kv(&self, _base: &str, _query: KvQuery) -> Result<KvState, EngineError> {
        Err(not_offered())
    }

    /// Imports KV state. An engine without this answers 501.
    async fn import_kv(&self, _base: &str, _state: KvState) -> Result<(), EngineError> {
        Err(not_offered())
    }
}

fn not_offered() -> EngineError {
    EngineError::Refused {
        status: 501,
        reason: "the engine does not move KV state".to_owned(),
    }
}

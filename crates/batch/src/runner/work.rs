//! Held chunks and their items.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use dappleyard_decide::time::Millis;
use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::ids::{JobId, RequestId, ServerId};
use dappleyard_wire::messages::{ChunkRow, Repeat};

use super::cache::{CacheEntryId, CacheModel};
use super::state::ChunkId;
use crate::input::Item;
use crate::store::Versioned;

/// Reason for stopping work on a held chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The job was cancelled.
    Cancelled,
    /// This node no longer holds the chunk.
    Fenced,
    /// This node hands the chunk back.
    HandedBack,
}

/// Result line of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultLine {
    /// Line, including the line feed.
    pub bytes: Vec<u8>,
    /// Whether the line belongs to the error file.
    pub failed: bool,
}

/// A chunk that this node holds under an epoch.
pub struct HeldChunk {
    pub job: JobId,
    /// Index of the chunk in the job.
    pub index: u32,
    pub tenant: String,
    pub service: String,
    /// Whether its items must run at most once.
    pub at_most_once: bool,
    /// Epoch under which this node holds the chunk.
    pub epoch: u64,
    /// Chunk row as last written or read.
    pub row: RefCell<Versioned<ChunkRow>>,
    pub items: Vec<Item>,
    /// Result lines by item index.
    pub lines: RefCell<Vec<Option<ResultLine>>>,
    /// Number of items without a result line.
    pub remaining: Cell<usize>,
    /// Set when work on the chunk is stopped; no further item is started.
    pub stopped: Cell<Option<StopReason>>,
    /// Serializes the writes of started marks.
    pub mark_lock: tokio::sync::Mutex<()>,
    /// Estimated memory including the results, bytes.
    pub bytes: usize,
}

/// Estimated memory per result token, bytes.
const RESULT_TOKEN_BYTES: usize = 8;
/// Estimated memory per item besides its input and result, bytes.
const ITEM_OVERHEAD_BYTES: usize = 512;

impl HeldChunk {
    /// Creates the state of a claimed chunk.
    pub fn new(job: JobId, row: Versioned<ChunkRow>, items: Vec<Item>) -> HeldChunk {
        let results: usize = items
            .iter()
            .map(|item| item.max_tokens as usize * RESULT_TOKEN_BYTES + ITEM_OVERHEAD_BYTES)
            .sum();
        let input = row.row.input_end.saturating_sub(row.row.input_start);
        HeldChunk {
            job,
            index: row.row.index,
            tenant: row.row.tenant.clone(),
            service: row.row.service.clone(),
            at_most_once: row.row.repeat() == Repeat::Never,
            epoch: row.row.epoch,
            lines: RefCell::new(vec![None; items.len()]),
            remaining: Cell::new(items.len()),
            stopped: Cell::new(None),
            mark_lock: tokio::sync::Mutex::new(()),
            bytes: usize::try_from(input).unwrap_or(usize::MAX) + results,
            row: RefCell::new(row),
            items,
        }
    }

    /// Key of the chunk among the held chunks.
    pub fn chunk_id(&self) -> ChunkId {
        (self.job.to_string(), self.index)
    }

    /// Stops work on the chunk. The first reason is kept.
    pub fn stop(&self, reason: StopReason) {
        if self.stopped.get().is_none() {
            self.stopped.set(Some(reason));
        }
    }

    /// Whether work on the chunk was stopped.
    pub fn is_stopped(&self) -> bool {
        self.stopped.get().is_some()
    }

    /// Request id of an item. It does not depend on the epoch, so that repeated runs of an item can
    /// be recognized in engine logs.
    pub fn request_id(&self, item: u32) -> RequestId {
        let number = self.row.borrow().row.first_item + item;
        let high = hash_bytes(format!("{}/{number}", self.job).as_bytes());
        let low = hash_bytes(format!("{number}/{}", self.job).as_bytes());
        RequestId::from(format!("{high:016x}{low:016x}"))
    }
}

/// A queued or running item.
pub struct WorkItem {
    pub chunk: Rc<HeldChunk>,
    /// Index of the item in the chunk.
    pub index: u32,
    /// Text of each token generated so far.
    pub pieces: Vec<String>,
    /// Model version that the engine reported; empty before the first attempt is accepted.
    pub version: String,
    /// Server of the last attempt.
    pub last_server: Option<ServerId>,
    /// Time at which the last attempt ended.
    pub stopped_at: Millis,
    /// Entry of its KV state in the cache model of that server.
    pub cache_entry: CacheEntryId,
    /// Number of attempts under this epoch.
    pub attempts: u32,
    /// Whether the item is the leader of its shared prefix and has produced no token yet.
    pub is_prefix_leader: bool,
}

/// Time after which the KV state of a paused item counts as evicted, milliseconds.
const CACHED_STATE_TTL_MS: u64 = 3_000;
/// Attempt numbers reserved for an item in each epoch.
const ATTEMPTS_PER_EPOCH: u32 = 10_000;

impl WorkItem {
    /// Creates an item that this node has not started.
    pub fn unstarted(chunk: &Rc<HeldChunk>, index: u32) -> WorkItem {
        WorkItem {
            chunk: chunk.clone(),
            index,
            pieces: Vec::new(),
            version: String::new(),
            last_server: None,
            stopped_at: Millis(0),
            cache_entry: 0,
            attempts: 0,
            is_prefix_leader: false,
        }
    }

    /// Returns the parsed input of the item.
    pub fn item(&self) -> &Item {
        &self.chunk.items[self.index as usize]
    }

    /// Maximum KV memory of the item, tokens.
    pub fn kv_tokens(&self) -> u32 {
        let item = self.item();
        item.prompt_tokens.saturating_add(item.max_tokens)
    }

    /// Whether a server probably still caches the KV state of the item, so that resuming it there
    /// needs no prefill.
    pub fn is_warm_on(&self, server: &ServerId, cache: &CacheModel, now: Millis) -> bool {
        let ran_on_server = self.last_server.as_ref() == Some(server) && !self.pieces.is_empty();
        ran_on_server && !self.is_stale(Some(cache), now)
    }

    /// Whether the KV state of the item has probably been evicted from the server that it ran on.
    pub fn is_stale(&self, cache: Option<&CacheModel>, now: Millis) -> bool {
        let cached = cache.is_some_and(|cache| cache.is_cached(self.cache_entry));
        !cached || now.since(self.stopped_at) > CACHED_STATE_TTL_MS
    }

    /// Returns the number of the next attempt, which increases across epochs.
    pub fn next_attempt(&mut self) -> u32 {
        self.attempts += 1;
        let epoch = u32::try_from(self.chunk.epoch).unwrap_or(u32::MAX);
        epoch
            .saturating_mul(ATTEMPTS_PER_EPOCH)
            .saturating_add(self.attempts)
    }
}

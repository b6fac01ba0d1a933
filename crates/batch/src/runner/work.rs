//! Work that a node holds: claimed chunks and their items.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use dappleyard_decide::time::Millis;
use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::ids::{JobId, RequestId, ServerId};
use dappleyard_wire::messages::{ChunkRow, Repeat};

use super::cache::{CacheMark, CacheModel};
use super::state::ChunkPlace;
use crate::input::Item;
use crate::store::Versioned;

/// Why a held chunk is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled.
    Cancelled,
    /// Another node holds it now.
    Fenced,
    /// The node hands it back.
    HandedBack,
}

/// Result line of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemLine {
    /// The line, with its line feed.
    pub bytes: Vec<u8>,
    /// Whether it belongs into the error file.
    pub failed: bool,
}

/// A chunk that this node holds under an epoch.
pub struct HeldChunk {
    /// Job.
    pub job: JobId,
    /// Index in the job.
    pub index: u32,
    /// Tenant.
    pub tenant: String,
    /// Service.
    pub service: String,
    /// Whether its items must not repeat.
    pub once: bool,
    /// Epoch under which this node holds the chunk.
    pub epoch: u64,
    /// The row as last written or read, with its revision.
    pub row: RefCell<Versioned<ChunkRow>>,
    /// Its items.
    pub items: Vec<Item>,
    /// Result lines, by item.
    pub lines: RefCell<Vec<Option<ItemLine>>>,
    /// Items without a result line.
    pub remaining: Cell<usize>,
    /// Set once the chunk is given up: no item is started, nothing is committed.
    pub stopped: Cell<Option<StopReason>>,
    /// One mark of a started item is written at a time.
    pub marking: tokio::sync::Mutex<()>,
    /// Bytes that it holds, results included as expected.
    pub bytes: usize,
}

/// Estimate of the memory of a result token, bytes.
const RESULT_TOKEN_BYTES: usize = 8;
/// Memory of a held item besides its input and result, bytes.
const ITEM_OVERHEAD_BYTES: usize = 512;

impl HeldChunk {
    /// A chunk just claimed, with its items.
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
            once: row.row.repeat() == Repeat::Never,
            epoch: row.row.epoch,
            lines: RefCell::new(vec![None; items.len()]),
            remaining: Cell::new(items.len()),
            stopped: Cell::new(None),
            marking: tokio::sync::Mutex::new(()),
            bytes: usize::try_from(input).unwrap_or(usize::MAX) + results,
            row: RefCell::new(row),
            items,
        }
    }

    /// Its place among the held chunks.
    pub fn place(&self) -> ChunkPlace {
        (self.job.to_string(), self.index)
    }

    /// Gives the chunk up, unless that has happened already.
    pub fn stop(&self, reason: StopReason) {
        if self.stopped.get().is_none() {
            self.stopped.set(Some(reason));
        }
    }

    /// Whether the chunk was given up.
    pub fn is_stopped(&self) -> bool {
        self.stopped.get().is_some()
    }

    /// Request id of an item: the same under each epoch, so that engines' records can be compared.
    pub fn request_id(&self, item: u32) -> RequestId {
        let number = self.row.borrow().row.first_item + item;
        let left = hash_bytes(format!("{}/{number}", self.job).as_bytes());
        let right = hash_bytes(format!("{number}/{}", self.job).as_bytes());
        RequestId::from(format!("{left:016x}{right:016x}"))
    }
}

/// An item that waits to be started or resumed, or runs.
pub struct WorkItem {
    /// Its chunk.
    pub chunk: Rc<HeldChunk>,
    /// Index in the chunk.
    pub index: u32,
    /// Tokens that it has, one piece a token.
    pub pieces: Vec<String>,
    /// Version that made them; empty without any.
    pub version: String,
    /// Server that it ran on last.
    pub last_server: Option<ServerId>,
    /// When it stopped running there.
    pub stopped_at: Millis,
    /// Mark of what it left in that server's cache.
    pub cache_mark: CacheMark,
    /// Attempts made under this epoch.
    pub attempts: u32,
    /// It is the first on its server with its shared head and has not made a token there.
    pub leads_prefix: bool,
}

/// How long the state of a paused item is taken to stay in a server's cache, milliseconds.
const WARM_MS: u64 = 3_000;
/// Attempt numbers that each epoch has for an item.
const ATTEMPTS_PER_EPOCH: u32 = 10_000;

impl WorkItem {
    /// An item that was never started by this node.
    pub fn fresh(chunk: &Rc<HeldChunk>, index: u32) -> WorkItem {
        WorkItem {
            chunk: chunk.clone(),
            index,
            pieces: Vec::new(),
            version: String::new(),
            last_server: None,
            stopped_at: Millis(0),
            cache_mark: 0,
            attempts: 0,
            leads_prefix: false,
        }
    }

    /// The item.
    pub fn item(&self) -> &Item {
        &self.chunk.items[self.index as usize]
    }

    /// KV tokens that it may hold while it runs.
    pub fn kv_tokens(&self) -> u32 {
        let item = self.item();
        item.prompt_tokens.saturating_add(item.max_tokens)
    }

    /// Whether a server probably still caches the state of the item, so that going on costs it no
    /// prefill.
    pub fn is_warm_on(&self, server: &ServerId, cache: &CacheModel, now: Millis) -> bool {
        let there = self.last_server.as_ref() == Some(server) && !self.pieces.is_empty();
        there && !self.is_stale(Some(cache), now)
    }

    /// Whether the item has waited too long for the server that it ran on, or that server is taken to
    /// have dropped its state.
    pub fn is_stale(&self, cache: Option<&CacheModel>, now: Millis) -> bool {
        let cached = cache.is_some_and(|cache| cache.holds(self.cache_mark));
        !cached || now.since(self.stopped_at) > WARM_MS
    }

    /// Number of the next attempt: grows over epochs too.
    pub fn next_attempt(&mut self) -> u32 {
        self.attempts += 1;
        let epoch = u32::try_from(self.chunk.epoch).unwrap_or(u32::MAX);
        epoch
            .saturating_mul(ATTEMPTS_PER_EPOCH)
            .saturating_add(self.attempts)
    }
}

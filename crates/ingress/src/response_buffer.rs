//! Buffers responses for clients that read slowly.
//!
//! Servers abort responses that are not read for some seconds, and buffering without a limit would
//! exhaust the memory of the node. Each response therefore has a limited buffer, and so have all
//! responses together. At a limit the node stops reading the response; if the client reads nothing
//! for a further while, the response is ended and the client gets only what is buffered. A response
//! with an empty buffer is always read, so slow clients cannot stall fast ones.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_clock::Instant;
use dappleyard_model::Resources;
use derive_more::Display;
use futures::{Stream, StreamExt};
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::node::Node;
use crate::relay::Cut;

/// Fraction of the machine's memory for buffered responses, as a divisor.
const MEMORY_PART: usize = 8;
/// Number of full buffers that reach the total limit.
const FULL_ANSWERS: usize = 64;
/// How long a response may stay at a limit while the client reads nothing. Servers abort unread
/// responses after some seconds.
pub const LONGEST_STOP: Duration = Duration::from_millis(1_000);
/// Interval for rechecking the total, which other responses may reduce.
const STOP_TICK: Duration = Duration::from_millis(50);
/// Maximum chunk size. The client's connection holds another copy of a chunk.
const TAKE_BYTES: usize = 16 * 1024;
/// Minimum chunk size. Most responses are forwarded event by event and are buffered only briefly.
const LEAST_CHUNK_BYTES: usize = 512;

/// The limit that stops a response from being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Bound {
    /// Limit per response.
    #[display("answer")]
    Answer,
    /// Limit of the node.
    #[display("node")]
    Node,
}

/// Limits on buffered response data, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptBounds {
    /// Per response.
    pub answer_bytes: usize,
    /// For all responses together.
    pub node_bytes: usize,
}

impl KeptBounds {
    /// Derives the limits from a machine's memory.
    pub fn of(resources: Resources) -> Self {
        let memory_bytes = resources.memory_mb as usize * 1024 * 1024;
        let node_bytes = memory_bytes / MEMORY_PART;
        Self {
            answer_bytes: node_bytes / FULL_ANSWERS,
            node_bytes,
        }
    }

    /// The limit reached with these amounts buffered, if any.
    pub fn reached(&self, answer_bytes: usize, node_bytes: usize) -> Option<Bound> {
        if answer_bytes == 0 {
            return None;
        }
        if answer_bytes >= self.answer_bytes {
            return Some(Bound::Answer);
        }
        (node_bytes >= self.node_bytes).then_some(Bound::Node)
    }
}

/// A byte queue in chunks; each chunk is freed when it is taken.
#[derive(Debug, Default)]
pub struct Chunks {
    chunks: VecDeque<Vec<u8>>,
    held_bytes: usize,
}

impl Chunks {
    /// Appends bytes.
    pub fn push(&mut self, mut piece: &[u8]) {
        while !piece.is_empty() {
            let chunk = self.open_chunk(piece.len());
            let left = chunk.capacity() - chunk.len();
            let (fitting, rest) = piece.split_at(left.min(piece.len()));
            chunk.extend_from_slice(fitting);
            piece = rest;
        }
    }

    /// The last chunk with free capacity, or a new one. Chunks are never reallocated.
    fn open_chunk(&mut self, needed: usize) -> &mut Vec<u8> {
        let last = self.chunks.back();
        if last.is_none_or(|chunk| chunk.len() == chunk.capacity()) {
            // Grows with the backlog, since a queue is likely to grow further.
            let size = last.map_or(needed, |chunk| needed.max(2 * chunk.capacity()));
            let chunk = Vec::with_capacity(size.clamp(LEAST_CHUNK_BYTES, TAKE_BYTES));
            self.held_bytes += chunk.capacity();
            self.chunks.push_back(chunk);
        }
        let end = self.chunks.len() - 1;
        &mut self.chunks[end]
    }

    /// Removes the first chunk.
    pub fn take(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.held_bytes -= chunk.capacity();
        Some(Bytes::from(chunk))
    }

    /// Allocated capacity in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}

/// Buffer of one response, shared by its reader and the client's stream.
struct Kept {
    node: Arc<Node>,
    bounds: KeptBounds,
    chunks: RefCell<Chunks>,
    /// Result of the response, set after its last piece is buffered.
    end: RefCell<Option<Result<(), Cut>>>,
    filled: Notify,
    taken: Notify,
    stopped: Stopped,
}

impl Kept {
    fn push(&self, piece: &[u8]) {
        let mut chunks = self.chunks.borrow_mut();
        let before = chunks.held_bytes();
        chunks.push(piece);
        let more = (chunks.held_bytes() - before) as u64;
        self.node.kept_bytes.fetch_add(more, Ordering::Relaxed);
        self.filled.notify_one();
    }

    fn take(&self) -> Option<Bytes> {
        let mut chunks = self.chunks.borrow_mut();
        let before = chunks.held_bytes();
        let piece = chunks.take()?;
        self.forget(before - chunks.held_bytes());
        self.taken.notify_one();
        Some(piece)
    }

    fn forget(&self, size: usize) {
        let kept_bytes = &self.node.kept_bytes;
        kept_bytes.fetch_sub(size as u64, Ordering::Relaxed);
    }

    fn reached(&self) -> Option<Bound> {
        let all = self.node.kept_bytes.load(Ordering::Relaxed);
        self.bounds
            .reached(self.chunks.borrow().held_bytes(), all as usize)
    }

    /// Waits until the response may be read further. Fails with the limit if the client reads
    /// nothing for too long.
    async fn room(&self) -> Result<(), Bound> {
        let mut since = Instant::now();
        while let Some(bound) = self.reached() {
            if since.elapsed() >= LONGEST_STOP {
                return Err(bound);
            }
            self.stopped.set(true);
            // On a timeout too: other responses may have freed space.
            let taken = tokio::time::timeout(STOP_TICK, self.taken.notified()).await;
            if taken.is_ok() {
                since = Instant::now();
            }
        }
        Ok(())
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.forget(self.chunks.borrow().held_bytes());
    }
}

/// Reports the end of reading to the client's stream, even if the reader is dropped.
struct Ending {
    kept: Rc<Kept>,
    end: Option<Result<(), Cut>>,
}

impl Drop for Ending {
    fn drop(&mut self) {
        // A reader dropped before the end leaves a truncated response.
        let end = self.end.take().unwrap_or(Err(Cut));
        *self.kept.end.borrow_mut() = Some(end);
        self.kept.filled.notify_one();
    }
}

/// Set when reading stopped at a limit: the next piece may have been delayed by the node rather
/// than the server.
pub type Stopped = Rc<Cell<bool>>;

/// A response that is read in a background task, which ends when this is dropped.
pub struct ReadAhead {
    kept: Rc<Kept>,
    reader: tokio::task::JoinHandle<()>,
}

impl ReadAhead {
    /// Starts to read the pieces of a request's response. Sets `stopped` at each stop.
    pub fn start(
        node: Arc<Node>,
        request: String,
        stopped: Stopped,
        pieces: impl Stream<Item = Result<Bytes, Cut>> + 'static,
    ) -> Self {
        let kept = Rc::new(Kept {
            bounds: KeptBounds::of(node.settings.resources),
            node,
            chunks: RefCell::default(),
            end: RefCell::default(),
            filled: Notify::new(),
            taken: Notify::new(),
            stopped,
        });
        let reader = tokio::task::spawn_local(read(kept.clone(), request, pieces));
        Self { kept, reader }
    }

    /// The next bytes for the client; `None` at the end. Fails if the response was truncated.
    pub async fn next(&self) -> Result<Option<Bytes>, Cut> {
        loop {
            if let Some(piece) = self.kept.take() {
                return Ok(Some(piece));
            }
            if let Some(end) = self.kept.end.borrow_mut().take() {
                return end.map(|()| None);
            }
            self.kept.filled.notified().await;
        }
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

async fn read(kept: Rc<Kept>, request: String, pieces: impl Stream<Item = Result<Bytes, Cut>>) {
    tokio::pin!(pieces);
    let mut ending = Ending {
        kept: kept.clone(),
        end: None,
    };
    loop {
        if let Err(bound) = kept.room().await {
            log_unread(&kept, &request, bound);
            return;
        }
        match pieces.next().await {
            Some(Ok(piece)) => kept.push(&piece),
            Some(Err(cut)) => {
                ending.end = Some(Err(cut));
                return;
            }
            None => {
                ending.end = Some(Ok(()));
                return;
            }
        }
    }
}

fn log_unread(kept: &Kept, request: &str, bound: Bound) {
    let metrics = &kept.node.metrics;
    Metrics::count(&metrics.failed);
    Metrics::count(&metrics.answers_unread);
    kept.node.log.write("answer_unread", || {
        serde_json::json!({"request": request, "bound": bound.to_string(),
            "kept_bytes": kept.chunks.borrow().held_bytes(),
            "all_kept_bytes": kept.node.kept_bytes.load(Ordering::Relaxed)})
    });
}

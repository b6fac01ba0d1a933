//! Buffers responses for clients that read slowly.
//!
//! Servers abort responses that are not read for some seconds, and buffering without a limit would
//! exhaust the memory of the node. Each response therefore has a limited buffer, and so have all
//! responses together. At a limit the node stops reading the response; if the client then reads
//! nothing for `MAX_STALL`, the response is ended and the client gets only what is buffered. A
//! response with an empty buffer is always read, so slow clients cannot stall fast ones.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_callers::ChunkQueue;
use dappleyard_clock::Instant;
use dappleyard_model::Resources;
use derive_more::Display;
use futures::{Stream, StreamExt};
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::node::Node;
use crate::relay::TruncatedResponse;

/// Fraction of the machine's memory for buffered responses, as a divisor.
const MEMORY_DIVISOR: usize = 8;
/// Number of full buffers that reach the total limit.
const FULL_BUFFERS: usize = 64;
/// How long a response may stay at a limit while the client reads nothing. Servers abort unread
/// responses after some seconds.
pub const MAX_STALL: Duration = Duration::from_millis(1_000);
/// Interval for rechecking the total, which other responses may reduce.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The limit that stops a response from being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum BufferLimit {
    /// Limit per response.
    #[display("answer")]
    Answer,
    /// Limit of the node.
    #[display("node")]
    Node,
}

/// Limits on buffered response data, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferLimits {
    /// Per response.
    pub answer_bytes: usize,
    /// For all responses together.
    pub node_bytes: usize,
}

impl BufferLimits {
    /// Derives the limits from a machine's memory.
    pub fn of(resources: Resources) -> Self {
        let memory_bytes = resources.memory_mb as usize * 1024 * 1024;
        let node_bytes = memory_bytes / MEMORY_DIVISOR;
        Self {
            answer_bytes: node_bytes / FULL_BUFFERS,
            node_bytes,
        }
    }

    /// The limit reached with these amounts buffered, if any. A response with an empty buffer has
    /// reached none.
    pub fn limit_reached(&self, answer_bytes: usize, node_bytes: usize) -> Option<BufferLimit> {
        if answer_bytes == 0 {
            return None;
        }
        if answer_bytes >= self.answer_bytes {
            return Some(BufferLimit::Answer);
        }
        (node_bytes >= self.node_bytes).then_some(BufferLimit::Node)
    }
}

/// Buffer of one response, shared by its reader and the client's stream.
struct ResponseBuffer {
    node: Arc<Node>,
    limits: BufferLimits,
    chunks: RefCell<ChunkQueue>,
    /// Result of the response, set after its last piece is buffered.
    end: RefCell<Option<Result<(), TruncatedResponse>>>,
    /// Signals that data or the end of the response is available.
    filled: Notify,
    /// Signals that the client has taken a chunk.
    taken: Notify,
    stalled: StallFlag,
}

impl ResponseBuffer {
    fn push(&self, piece: &[u8]) {
        let mut chunks = self.chunks.borrow_mut();
        let before = chunks.allocated_bytes();
        chunks.push(piece);
        let more = (chunks.allocated_bytes() - before) as u64;
        self.node.buffered_bytes.fetch_add(more, Ordering::Relaxed);
        self.filled.notify_one();
    }

    fn take(&self) -> Option<Bytes> {
        let mut chunks = self.chunks.borrow_mut();
        let before = chunks.allocated_bytes();
        let piece = chunks.take()?;
        self.release(before - chunks.allocated_bytes());
        self.taken.notify_one();
        Some(piece)
    }

    fn release(&self, size: usize) {
        let buffered_bytes = &self.node.buffered_bytes;
        buffered_bytes.fetch_sub(size as u64, Ordering::Relaxed);
    }

    fn limit_reached(&self) -> Option<BufferLimit> {
        let all = self.node.buffered_bytes.load(Ordering::Relaxed);
        self.limits
            .limit_reached(self.chunks.borrow().allocated_bytes(), all as usize)
    }

    /// Waits until the response may be read further. Fails with the limit if the client reads
    /// nothing for too long.
    async fn wait_for_space(&self) -> Result<(), BufferLimit> {
        let mut waiting_since = Instant::now();
        while let Some(limit) = self.limit_reached() {
            if waiting_since.elapsed() >= MAX_STALL {
                return Err(limit);
            }
            self.stalled.set(true);
            // Rechecks after a timeout too, since other responses may have freed space.
            let taken = tokio::time::timeout(RECHECK_INTERVAL, self.taken.notified()).await;
            if taken.is_ok() {
                waiting_since = Instant::now();
            }
        }
        Ok(())
    }
}

impl Drop for ResponseBuffer {
    fn drop(&mut self) {
        self.release(self.chunks.borrow().allocated_bytes());
    }
}

/// Reports the end of reading to the client's stream, even if the reader is dropped.
struct EndGuard {
    buffer: Rc<ResponseBuffer>,
    end: Option<Result<(), TruncatedResponse>>,
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        // A reader dropped before the end leaves a truncated response.
        let end = self.end.take().unwrap_or(Err(TruncatedResponse));
        *self.buffer.end.borrow_mut() = Some(end);
        self.buffer.filled.notify_one();
    }
}

/// Set when reading stopped at a limit: the next piece may have been delayed by the node rather
/// than the server.
pub type StallFlag = Rc<Cell<bool>>;

/// A response that is read in a background task, which ends when this is dropped.
pub struct BufferedResponse {
    buffer: Rc<ResponseBuffer>,
    reader: tokio::task::JoinHandle<()>,
}

impl BufferedResponse {
    /// Starts to read the pieces of a request's response. Sets `stalled` whenever reading stops at
    /// a limit.
    pub fn start(
        node: Arc<Node>,
        request: String,
        stalled: StallFlag,
        pieces: impl Stream<Item = Result<Bytes, TruncatedResponse>> + 'static,
    ) -> Self {
        let buffer = Rc::new(ResponseBuffer {
            limits: BufferLimits::of(node.settings.resources),
            node,
            chunks: RefCell::default(),
            end: RefCell::default(),
            filled: Notify::new(),
            taken: Notify::new(),
            stalled,
        });
        let reader = tokio::task::spawn_local(read(buffer.clone(), request, pieces));
        Self { buffer, reader }
    }

    /// The next bytes for the client; `None` at the end. Fails if the response was truncated.
    pub async fn next(&self) -> Result<Option<Bytes>, TruncatedResponse> {
        loop {
            if let Some(piece) = self.buffer.take() {
                return Ok(Some(piece));
            }
            if let Some(end) = self.buffer.end.borrow_mut().take() {
                return end.map(|()| None);
            }
            self.buffer.filled.notified().await;
        }
    }
}

impl Drop for BufferedResponse {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

async fn read(
    buffer: Rc<ResponseBuffer>,
    request: String,
    pieces: impl Stream<Item = Result<Bytes, TruncatedResponse>>,
) {
    tokio::pin!(pieces);
    let mut end_guard = EndGuard {
        buffer: buffer.clone(),
        end: None,
    };
    loop {
        if let Err(limit) = buffer.wait_for_space().await {
            log_unread(&buffer, &request, limit);
            return;
        }
        match pieces.next().await {
            Some(Ok(piece)) => buffer.push(&piece),
            Some(Err(cut)) => {
                end_guard.end = Some(Err(cut));
                return;
            }
            None => {
                end_guard.end = Some(Ok(()));
                return;
            }
        }
    }
}

fn log_unread(buffer: &ResponseBuffer, request: &str, limit: BufferLimit) {
    let metrics = &buffer.node.metrics;
    Metrics::count(&metrics.failed);
    Metrics::count(&metrics.answers_unread);
    buffer.node.log.write("answer_unread", || {
        serde_json::json!({"request": request, "bound": limit.to_string(),
            "kept_bytes": buffer.chunks.borrow().allocated_bytes(),
            "all_kept_bytes": buffer.node.buffered_bytes.load(Ordering::Relaxed)})
    });
}

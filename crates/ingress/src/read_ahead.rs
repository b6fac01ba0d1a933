//! Reads answers on beside their callers.
//!
//! The load: some hundred callers that read nothing for seconds, or a byte now and then, before a node of little memory. A
//! server that had to keep their answers would cut them, and fall over by its memory; so would the node if it kept all. So
//! the node keeps a bounded number of bytes for each answer, and a bounded sum. At a bound it stops reading that answer; an
//! answer that stays there is ended before its server would cut it, and what is kept of it is still delivered. An
//! answer of which nothing is kept is always read: a caller in time takes nothing of what others have used up.

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

/// Part of a machine's memory that kept answers may take.
const MEMORY_PART: usize = 8;
/// Answers that may be kept up to their own bound before the sum is reached.
const FULL_ANSWERS: usize = 64;
/// Longest time for which a server waits at a bound while the caller reads nothing. Servers cut answers that lie
/// unread for some seconds.
pub const LONGEST_STOP: Duration = Duration::from_millis(1_000);
/// Time between two looks at the sum, which other answers make smaller.
const STOP_TICK: Duration = Duration::from_millis(50);
/// Bytes that are handed to the caller's connection at once, which keeps another copy of them.
const TAKE_BYTES: usize = 16 * 1024;
/// Bytes of the least chunk: most answers to callers in time are kept for a moment only, an event at a time.
const LEAST_CHUNK_BYTES: usize = 512;

/// What keeps a node from reading an answer on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Bound {
    /// Bytes kept of this answer.
    #[display("answer")]
    Answer,
    /// Bytes kept of all answers.
    #[display("node")]
    Node,
}

/// How much of answers a node keeps for callers who do not read, bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptBounds {
    /// Of one answer.
    pub answer_bytes: usize,
    /// Of all answers.
    pub node_bytes: usize,
}

impl KeptBounds {
    /// Bounds for a machine.
    pub fn of(resources: Resources) -> Self {
        let memory_bytes = resources.memory_mb as usize * 1024 * 1024;
        let node_bytes = memory_bytes / MEMORY_PART;
        Self {
            answer_bytes: node_bytes / FULL_ANSWERS,
            node_bytes,
        }
    }

    /// The bound that is reached, when so much of one answer and so much of all is kept.
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

/// Bytes of an answer in their order, in chunks that are let go one by one as they are taken.
#[derive(Debug, Default)]
pub struct Chunks {
    chunks: VecDeque<Vec<u8>>,
    held_bytes: usize,
}

impl Chunks {
    /// Adds bytes at the end.
    pub fn push(&mut self, mut piece: &[u8]) {
        while !piece.is_empty() {
            let chunk = self.open_chunk(piece.len());
            let left = chunk.capacity() - chunk.len();
            let (fitting, rest) = piece.split_at(left.min(piece.len()));
            chunk.extend_from_slice(fitting);
            piece = rest;
        }
    }

    /// The last chunk, or a new one when that is full. A chunk never grows.
    fn open_chunk(&mut self, needed: usize) -> &mut Vec<u8> {
        let last = self.chunks.back();
        if last.is_none_or(|chunk| chunk.len() == chunk.capacity()) {
            // What lies already is likely to be followed by more.
            let size = last.map_or(needed, |chunk| needed.max(2 * chunk.capacity()));
            let chunk = Vec::with_capacity(size.clamp(LEAST_CHUNK_BYTES, TAKE_BYTES));
            self.held_bytes += chunk.capacity();
            self.chunks.push_back(chunk);
        }
        let end = self.chunks.len() - 1;
        &mut self.chunks[end]
    }

    /// Takes the first chunk.
    pub fn take(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.held_bytes -= chunk.capacity();
        Some(Bytes::from(chunk))
    }

    /// Memory that the chunks take, bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}

/// What is kept of one answer.
struct Kept {
    node: Arc<Node>,
    bounds: KeptBounds,
    chunks: RefCell<Chunks>,
    /// How the answer ended, once all that was read of it is kept.
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

    /// Waits until the answer may be read on; the bound at which it stays otherwise, while its caller reads nothing.
    async fn room(&self) -> Result<(), Bound> {
        let mut since = Instant::now();
        while let Some(bound) = self.reached() {
            if since.elapsed() >= LONGEST_STOP {
                return Err(bound);
            }
            self.stopped.set(true);
            // Whether something was taken or not, the bounds are looked at again.
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

/// Tells the caller how the reading ended, in whichever way that is.
struct Ending {
    kept: Rc<Kept>,
    end: Option<Result<(), Cut>>,
}

impl Drop for Ending {
    fn drop(&mut self) {
        // A reader that did not come to an end leaves a cut answer.
        let end = self.end.take().unwrap_or(Err(Cut));
        *self.kept.end.borrow_mut() = Some(end);
        self.kept.filled.notify_one();
    }
}

/// Whether an answer was not read for a time since a bound was reached: what comes next has lain by then.
pub type Stopped = Rc<Cell<bool>>;

/// An answer that is read on beside its caller. Dropping it ends the reading.
pub struct ReadAhead {
    kept: Rc<Kept>,
    reader: tokio::task::JoinHandle<()>,
}

impl ReadAhead {
    /// Begins to read the pieces of the answer to a request. It sets `stopped` at each stop.
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

    /// The next bytes for the caller; `None` at the end of the answer. Fails where the answer was cut.
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

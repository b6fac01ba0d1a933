//! Reads answers on beside their callers.
//!
//! The load: some hundred callers that read nothing for seconds, or a byte now and then, before a node of little memory. A
//! server that had to keep their answers would cut them, and fall over by its memory; so would the node if it kept all. So
//! the node keeps a bounded number of bytes for each answer, and a bounded sum. At a bound it stops reading that answer; an
//! answer that stays there is ended before its server would cut it, and what is kept of it is still delivered. An
//! answer of which nothing is kept is always read: a caller in time takes nothing of what others have used up.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dappleyard_clock::Instant;
use dappleyard_model::Resources;
use derive_more::Display;
use futures::{Stream, StreamExt};
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::node::Node;
use crate::relay::Cut;

/// Part of a machine's memory that kept answers may take. A buffer that grows may take twice what it holds.
const MEMORY_PART: usize = 8;
/// Answers that may be kept up to their own bound before the sum is reached.
const FULL_ANSWERS: usize = 64;
/// Longest time for which a server waits at a bound. Servers cut answers that lie unread for some seconds.
const LONGEST_STOP: Duration = Duration::from_millis(1_000);
/// Time between two looks at the sum, which other answers make smaller.
const STOP_TICK: Duration = Duration::from_millis(50);
/// Bytes that are handed to the caller's connection at once, which keeps another copy of them.
const TAKE_BYTES: usize = 16 * 1024;

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

/// What is kept of one answer.
struct Kept {
    node: Arc<Node>,
    bounds: KeptBounds,
    buffer: RefCell<BytesMut>,
    /// How the answer ended, once all that was read of it is kept.
    end: RefCell<Option<Result<(), Cut>>>,
    filled: Notify,
    taken: Notify,
}

impl Kept {
    fn push(&self, piece: &[u8]) {
        self.buffer.borrow_mut().extend_from_slice(piece);
        let all = &self.node.metrics.answers_kept_bytes;
        all.fetch_add(piece.len() as u64, Ordering::Relaxed);
        self.filled.notify_one();
    }

    fn take(&self) -> Option<Bytes> {
        let mut buffer = self.buffer.borrow_mut();
        let size = buffer.len().min(TAKE_BYTES);
        if size == 0 {
            return None;
        }
        let piece = buffer.split_to(size).freeze();
        self.forget(size);
        self.taken.notify_one();
        Some(piece)
    }

    fn forget(&self, size: usize) {
        let all = &self.node.metrics.answers_kept_bytes;
        all.fetch_sub(size as u64, Ordering::Relaxed);
    }

    fn end(&self, end: Result<(), Cut>) {
        *self.end.borrow_mut() = Some(end);
        self.filled.notify_one();
    }

    fn reached(&self) -> Option<Bound> {
        let all = self.node.metrics.answers_kept_bytes.load(Ordering::Relaxed);
        self.bounds
            .reached(self.buffer.borrow().len(), all as usize)
    }

    /// Waits until the answer may be read on; the bound at which it stays otherwise.
    async fn room(&self) -> Result<(), Bound> {
        let since = Instant::now();
        while let Some(bound) = self.reached() {
            if since.elapsed() >= LONGEST_STOP {
                return Err(bound);
            }
            // Whether something was taken or not, the bounds are looked at again.
            let _ = tokio::time::timeout(STOP_TICK, self.taken.notified()).await;
        }
        Ok(())
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.forget(self.buffer.borrow().len());
    }
}

/// An answer that is read on beside its caller. Dropping it ends the reading.
pub(crate) struct ReadAhead {
    kept: Rc<Kept>,
    reader: tokio::task::JoinHandle<()>,
}

impl ReadAhead {
    /// Begins to read the pieces of the answer to a request.
    pub(crate) fn start(
        node: Arc<Node>,
        request: String,
        pieces: impl Stream<Item = Result<Bytes, Cut>> + 'static,
    ) -> Self {
        let kept = Rc::new(Kept {
            bounds: KeptBounds::of(node.settings.resources),
            node,
            buffer: RefCell::default(),
            end: RefCell::default(),
            filled: Notify::new(),
            taken: Notify::new(),
        });
        let reader = tokio::task::spawn_local(read(kept.clone(), request, pieces));
        Self { kept, reader }
    }

    /// The next bytes for the caller; `None` at the end of the answer.
    pub(crate) async fn next(&self) -> Result<Option<Bytes>, Cut> {
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
    loop {
        if let Err(bound) = kept.room().await {
            log_unread(&kept, &request, bound);
            return kept.end(Err(Cut));
        }
        match pieces.next().await {
            Some(Ok(piece)) => kept.push(&piece),
            Some(Err(cut)) => return kept.end(Err(cut)),
            None => return kept.end(Ok(())),
        }
    }
}

fn log_unread(kept: &Kept, request: &str, bound: Bound) {
    let metrics = &kept.node.metrics;
    Metrics::count(&metrics.failed);
    Metrics::count(&metrics.answers_unread);
    kept.node.log.write("answer_unread", || {
        serde_json::json!({"request": request, "bound": bound.to_string(),
            "kept_bytes": kept.buffer.borrow().len(),
            "all_kept_bytes": metrics.answers_kept_bytes.load(Ordering::Relaxed)})
    });
}

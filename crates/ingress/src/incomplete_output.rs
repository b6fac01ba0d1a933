//! Counts the bytes of answers that a node holds because they are not whole: the incomplete event of a stream, and the body
//! of a failure. They count toward the node's buffers, so that many faulty servers cannot use up its memory together.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::node::Node;
use crate::output_limits::OutputExceeded;
use crate::response_buffer::BufferLimits;

/// Bytes that an incomplete output may hold in any case: one read, and more than sound events have.
const ALWAYS_HELD_BYTES: usize = 16 * 1024;

/// The incomplete output of one answer.
pub struct IncompleteOutput {
    node: Arc<Node>,
    bytes: usize,
}

impl IncompleteOutput {
    pub fn new(node: Arc<Node>) -> Self {
        Self { node, bytes: 0 }
    }

    /// Notes how many bytes are held now. Fails if they are many while the node's buffers are full.
    pub fn set(&mut self, bytes: usize) -> Result<(), OutputExceeded> {
        if bytes == self.bytes {
            return Ok(());
        }
        let counter = &self.node.buffered_bytes;
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
        counter.fetch_sub(self.bytes as u64, Ordering::Relaxed);
        self.bytes = bytes;
        let limits = BufferLimits::of(self.node.settings.resources);
        let is_full = counter.load(Ordering::Relaxed) as usize >= limits.node_bytes;
        match is_full && bytes > ALWAYS_HELD_BYTES {
            true => Err(OutputExceeded::BuffersFull),
            false => Ok(()),
        }
    }
}

impl Drop for IncompleteOutput {
    fn drop(&mut self) {
        let counter = &self.node.buffered_bytes;
        counter.fetch_sub(self.bytes as u64, Ordering::Relaxed);
    }
}

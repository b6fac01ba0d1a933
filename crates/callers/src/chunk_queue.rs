//! Bytes in chunks of equal size, which are freed one after the other.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

/// Maximum chunk size. A connection may hold another copy of a chunk.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Minimum chunk size. Most responses are forwarded event by event and are buffered only briefly.
const MIN_CHUNK_BYTES: usize = 512;

/// A byte queue in chunks; each chunk is freed when it is taken.
#[derive(Debug, Default)]
pub struct ChunkQueue {
    chunks: VecDeque<Vec<u8>>,
    allocated_bytes: usize,
}

impl ChunkQueue {
    /// Appends bytes.
    pub fn push(&mut self, mut piece: &[u8]) {
        while !piece.is_empty() {
            let chunk = self.chunk_with_space(piece.len());
            let left = chunk.capacity() - chunk.len();
            let (fitting, rest) = piece.split_at(left.min(piece.len()));
            chunk.extend_from_slice(fitting);
            piece = rest;
        }
    }

    /// The last chunk if it has free capacity, or else a new one. Chunks are never reallocated.
    fn chunk_with_space(&mut self, needed: usize) -> &mut Vec<u8> {
        let last = self.chunks.back();
        if last.is_none_or(|chunk| chunk.len() == chunk.capacity()) {
            // Grows with the backlog, since a queue is likely to grow further.
            let size = last.map_or(needed, |chunk| needed.max(2 * chunk.capacity()));
            let chunk = Vec::with_capacity(size.clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES));
            self.allocated_bytes += chunk.capacity();
            self.chunks.push_back(chunk);
        }
        let end = self.chunks.len() - 1;
        &mut self.chunks[end]
    }

    /// Removes the first chunk.
    pub fn take(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.allocated_bytes -= chunk.capacity();
        Some(Bytes::from(chunk))
    }

    /// All `length` bytes in one piece. Chunks are freed while they are copied.
    pub fn join(mut self, length: usize) -> Bytes {
        let Some(first) = self.take() else {
            return Bytes::new();
        };
        if self.chunks.is_empty() {
            return first;
        }
        let mut joined = BytesMut::with_capacity(length);
        joined.extend_from_slice(&first);
        drop(first);
        while let Some(chunk) = self.take() {
            joined.extend_from_slice(&chunk);
        }
        joined.freeze()
    }

    /// Allocated capacity in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.allocated_bytes
    }
}

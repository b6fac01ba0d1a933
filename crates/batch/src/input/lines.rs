//! Line reader over an input file with a bounded buffer.

use bytes::{Buf, Bytes, BytesMut};
use dappleyard_store::{ObjectStore, StoreError};

use crate::input::parts::PartIndex;

/// Size of a read from the object store, bytes.
const READ_BYTES: u64 = 256 * 1024;

/// A non-blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// 1-based line number, counting blank lines.
    pub number: u32,
    /// Offset of its first byte.
    pub start: u64,
    /// Offset after the line feed.
    pub end: u64,
    /// Content without the line feed; `None` if the line exceeds the maximum length.
    pub content: Option<Bytes>,
}

/// Reads lines in order. Buffers at most one line and one read.
pub struct LineReader<'a> {
    objects: &'a dyn ObjectStore,
    parts: &'a PartIndex,
    maximum_line_bytes: usize,
    buffer: BytesMut,
    /// Offset of the first byte of `buffer`.
    offset: u64,
    line: u32,
    /// Start of the current line if it is too long; its bytes are discarded.
    skipping_from: Option<u64>,
}

impl<'a> LineReader<'a> {
    /// Creates a reader that starts at `offset`, which must be the start of a line.
    pub fn new(
        objects: &'a dyn ObjectStore,
        parts: &'a PartIndex,
        offset: u64,
        maximum_line_bytes: usize,
    ) -> LineReader<'a> {
        LineReader {
            objects,
            parts,
            maximum_line_bytes,
            buffer: BytesMut::new(),
            offset,
            line: 0,
            skipping_from: None,
        }
    }

    /// Returns the next non-blank line; `None` at the end of the file.
    pub async fn next(&mut self) -> Result<Option<Line>, StoreError> {
        loop {
            if let Some(line) = self.take_line() {
                if !is_blank(&line) {
                    return Ok(Some(line));
                }
                continue;
            }
            if !self.read_more().await? {
                return Ok(self.take_last_line().filter(|line| !is_blank(line)));
            }
        }
    }

    async fn read_more(&mut self) -> Result<bool, StoreError> {
        if self.buffer.len() > self.maximum_line_bytes {
            self.skipping_from.get_or_insert(self.offset);
            self.offset += self.buffer.len() as u64;
            self.buffer.clear();
        }
        let from = self.offset + self.buffer.len() as u64;
        let bytes = self.parts.read(self.objects, from, READ_BYTES).await?;
        self.buffer.extend_from_slice(&bytes);
        Ok(!bytes.is_empty())
    }

    fn take_line(&mut self) -> Option<Line> {
        let length = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let content = self.buffer.split_to(length).freeze();
        self.buffer.advance(1);
        Some(self.build_line(content, 1))
    }

    fn take_last_line(&mut self) -> Option<Line> {
        if self.buffer.is_empty() && self.skipping_from.is_none() {
            return None;
        }
        let content = self.buffer.split().freeze();
        Some(self.build_line(content, 0))
    }

    fn build_line(&mut self, content: Bytes, line_feed_bytes: u64) -> Line {
        let skipped = self.skipping_from.take();
        let start = skipped.unwrap_or(self.offset);
        self.offset += content.len() as u64 + line_feed_bytes;
        self.line += 1;
        let fits = skipped.is_none() && content.len() <= self.maximum_line_bytes;
        Line {
            number: self.line,
            start,
            end: self.offset,
            content: fits.then_some(content),
        }
    }
}

fn is_blank(line: &Line) -> bool {
    let content = line.content.as_ref();
    content.is_some_and(|content| content.iter().all(u8::is_ascii_whitespace))
}

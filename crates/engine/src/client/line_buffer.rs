//! Splits a chunked response body into lines.

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

/// Maximum number of buffered bytes, and thus the maximum length of a line.
const MAXIMUM_LINE_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a line of the answer is longer than {MAXIMUM_LINE_BYTES} bytes")]
pub(super) struct LineTooLong;

/// Received bytes that have not yet been returned as lines.
#[derive(Debug, Default)]
pub(super) struct LineBuffer {
    buffer: BytesMut,
    searched: usize,
}

impl LineBuffer {
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), LineTooLong> {
        if self.buffer.len() + bytes.len() > MAXIMUM_LINE_BYTES {
            return Err(LineTooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next complete line, skipping blank lines, which engines send as keep-alives.
    pub(super) fn next_line(&mut self) -> Option<Bytes> {
        loop {
            let unsearched = &self.buffer[self.searched..];
            let Some(found) = unsearched.iter().position(|byte| *byte == b'\n') else {
                self.searched = self.buffer.len();
                return None;
            };
            let line = self.buffer.split_to(self.searched + found).freeze();
            self.buffer.advance(1);
            self.searched = 0;
            if !line.trim_ascii().is_empty() {
                return Some(line);
            }
        }
    }
}

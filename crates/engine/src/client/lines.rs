//! Cuts a chunked body into lines.

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

/// Longest line, bytes.
const MAXIMUM_LINE_BYTES: usize = 4 * 1024 * 1024;

/// A line is longer than any that an engine sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a line of the answer is longer than {MAXIMUM_LINE_BYTES} bytes")]
pub(super) struct LineTooLong;

/// Bytes received and not yet given out as lines.
#[derive(Debug, Default)]
pub(super) struct Lines {
    buffer: BytesMut,
    searched: usize,
}

impl Lines {
    /// Adds received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), LineTooLong> {
        if self.buffer.len() + bytes.len() > MAXIMUM_LINE_BYTES {
            return Err(LineTooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole line that is not blank. Blank lines keep a silent connection open.
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

//! Splits a byte stream into server-sent events.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dappleyard_clock::Instant;

use crate::output_limits::OutputExceeded;

/// Longest time from the first byte of an event to its last one while more bytes of it arrive. Callers give up a silent
/// stream after 2 s at the earliest.
pub(crate) const MAX_EVENT_TIME: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes, including the terminating empty line.
    pub bytes: Bytes,
    pub id: Option<u64>,
}

impl Event {
    /// Whether it brings a stream further, unlike a comment.
    pub fn has_content(&self) -> bool {
        self.id.is_some() || self.data().is_some()
    }

    /// Data lines joined by line feeds; `None` if there are none.
    pub fn data(&self) -> Option<String> {
        let text = String::from_utf8_lossy(&self.bytes);
        let lines: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("data:"))
            .map(|data| data.strip_prefix(' ').unwrap_or(data))
            .collect();
        (!lines.is_empty()).then(|| lines.join("\n"))
    }
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
    /// When the first byte of the incomplete event arrived.
    incomplete_since: Option<Instant>,
}

impl EventSplitter {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.incomplete_since.get_or_insert_with(Instant::now);
    }

    /// Memory that the incomplete event takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the incomplete event may still become whole. Called after a piece that has not completed it.
    pub fn check_incomplete(&self, max_bytes: usize) -> Result<(), OutputExceeded> {
        if self.buffer.len() > max_bytes {
            return Err(OutputExceeded::EventTooLong);
        }
        let time = self.incomplete_since.map(|since| since.elapsed());
        match time.is_some_and(|time| time > MAX_EVENT_TIME) {
            true => Err(OutputExceeded::EventWithoutEnd),
            false => Ok(()),
        }
    }

    /// The next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let end = find_end(&self.buffer[from..]).map(|length| from + length);
        let Some(end) = end else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        self.incomplete_since = (!self.buffer.is_empty()).then(Instant::now);
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Takes the bytes after the last complete event.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.incomplete_since = None;
        self.buffer.split().freeze()
    }
}

/// Length including the first empty line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(offset) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let next = at + offset + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    bytes.split(|byte| *byte == b'\n').find_map(|line| {
        let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        text.trim().parse().ok()
    })
}

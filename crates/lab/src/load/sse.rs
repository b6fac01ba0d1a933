//! Server-sent events of a streamed answer.

use serde_json::Value;

/// One event of a streamed answer.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamEvent {
    Text(String),
    /// The answer ends, for this reason.
    Finish(String),
    /// The answer ends in an error; the error object.
    Error(Value),
    /// The closing mark.
    Done,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Adds bytes and returns the events that are whole now, in order.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            if let Some(data) = line.strip_prefix(b"data:") {
                events.extend(read_event(data.trim_ascii()));
            }
        }
        events
    }
}

fn read_event(data: &[u8]) -> Vec<StreamEvent> {
    if data == b"[DONE]" {
        return vec![StreamEvent::Done];
    }
    let value: Value = serde_json::from_slice(data).unwrap_or_default();
    if value["error"].is_object() {
        return vec![StreamEvent::Error(value["error"].clone())];
    }
    let choice = &value["choices"][0];
    let text = choice["delta"]["content"]
        .as_str()
        .or_else(|| choice["text"].as_str())
        .filter(|text| !text.is_empty());
    let finish = choice["finish_reason"].as_str();
    text.map(|text| StreamEvent::Text(text.to_owned()))
        .into_iter()
        .chain(finish.map(|reason| StreamEvent::Finish(reason.to_owned())))
        .collect()
}

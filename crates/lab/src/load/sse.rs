//! Parser for the server-sent events of a streamed response.

use serde_json::Value;

#[derive(Debug, Clone, PartialEq)]
pub enum StreamEvent {
    Text(String),
    /// Finish reason.
    Finish(String),
    /// Error object; ends the response.
    Error(Value),
    /// The `[DONE]` marker.
    Done,
}

#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Appends bytes and returns the events completed by them, in order.
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

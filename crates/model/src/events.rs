//! Structured event log: JSON lines, rate-limited per kind of event.
//!
//! Events record decisions about requests and changes of the node's state. Lines above the rate limit of their kind, or
//! above the capacity of the queue, are dropped and counted; the next line of the kind reports how many. A separate
//! thread writes the lines, so a slow reader never blocks the node.

use std::collections::HashMap;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde_json::{Map, Value};

/// Rate limit per kind.
const LINES_PER_SECOND: f64 = 40.0;
/// Capacity of the queue to the writer thread.
const QUEUE_CAPACITY: usize = 2_048;
/// Burst size per kind.
const BURST_LINES: f64 = 80.0;

/// Field for the time of an event in Unix milliseconds, comparable across nodes and restarts.
pub const TIME_FIELD: &str = "at_ms";

/// What is handed to the writer thread.
enum Entry {
    Line(String),
    /// Asks for a signal once all earlier lines are written.
    Flush(SyncSender<()>),
}

struct Budget {
    lines: f64,
    refilled_at: Instant,
    dropped: u64,
}

/// Event log of one process.
pub struct EventLog {
    started: Instant,
    queue: Option<SyncSender<Entry>>,
    budgets: Mutex<HashMap<&'static str, Budget>>,
}

impl EventLog {
    /// Creates a log that discards all events.
    pub fn silent() -> Self {
        Self {
            started: Instant::now(),
            queue: None,
            budgets: Mutex::new(HashMap::new()),
        }
    }

    /// Creates a log that writes to `output` from a separate thread.
    pub fn to(output: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE_CAPACITY);
        std::thread::spawn(move || write_lines(&lines, output));
        Self {
            queue: Some(queue),
            ..Self::silent()
        }
    }

    /// Writes an event; `fields` is evaluated only if the event is within the rate limit.
    pub fn write(&self, kind: &'static str, fields: impl FnOnce() -> Value) {
        let Some(queue) = &self.queue else {
            return;
        };
        let Some(dropped) = self.admit(kind) else {
            return;
        };
        let mut line = match fields() {
            Value::Object(fields) => fields,
            _ => Map::new(),
        };
        // Inserted last, so that fields of the event cannot replace them.
        let uptime = self.started.elapsed().as_millis() as u64;
        line.insert(TIME_FIELD.into(), unix_ms().into());
        line.insert("uptime_ms".into(), uptime.into());
        line.insert("event".into(), kind.into());
        if dropped > 0 {
            line.insert("left_out".into(), dropped.into());
        }
        let mut text = Value::Object(line).to_string();
        text.push('\n');
        if queue.try_send(Entry::Line(text)).is_err() {
            self.count_dropped(kind, dropped + 1);
        }
    }

    /// Waits until all lines are written, but no longer than `limit`. The lines in the queue are lost when the process
    /// ends.
    pub fn flush(&self, limit: Duration) {
        let Some(queue) = &self.queue else {
            return;
        };
        let (written, is_written) = sync_channel(1);
        if queue.try_send(Entry::Flush(written)).is_ok() {
            // A writer that takes too long is left behind.
            let _ = is_written.recv_timeout(limit);
        }
    }

    fn count_dropped(&self, kind: &'static str, lines: u64) {
        if let Some(budget) = self.budgets.lock().get_mut(kind) {
            budget.dropped += lines;
        }
    }

    fn admit(&self, kind: &'static str) -> Option<u64> {
        let now = Instant::now();
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(kind).or_insert(Budget {
            lines: BURST_LINES,
            refilled_at: now,
            dropped: 0,
        });
        let refill = now.duration_since(budget.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        budget.lines = (budget.lines + refill).min(BURST_LINES);
        budget.refilled_at = now;
        if budget.lines < 1.0 {
            budget.dropped += 1;
            return None;
        }
        budget.lines -= 1.0;
        Some(std::mem::take(&mut budget.dropped))
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn write_lines(entries: &Receiver<Entry>, mut output: impl Write) {
    while let Ok(first) = entries.recv() {
        let (mut text, mut waiting) = (String::new(), Vec::new());
        // Write all queued lines at once.
        for entry in std::iter::once(first).chain(entries.try_iter()) {
            match entry {
                Entry::Line(line) => text.push_str(&line),
                Entry::Flush(written) => waiting.push(written),
            }
        }
        // A closed output must not stop the process.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
        for written in waiting {
            // Whoever asked may have given up.
            let _ = written.try_send(());
        }
    }
}

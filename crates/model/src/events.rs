//! Decision records: JSON lines on standard output, bounded by a budget for each kind.
//!
//! A line is written for each decision that touches a request or changes what the process
//! believes. Lines above the budget of their kind are counted and left out; the next line of the
//! kind tells how many. A thread of its own writes them, so that no decision ever waits for a
//! reader; when its queue is full, lines are left out and counted too.

use std::collections::HashMap;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde_json::{Map, Value};

/// Lines of one kind that may be written in one second.
const LINES_PER_SECOND: f64 = 40.0;
/// Lines that may wait for the writer.
const QUEUE_LINES: usize = 2_048;
/// Lines that may be written at once after a quiet time.
const BURST_LINES: f64 = 80.0;

/// Field of a record that holds its time: milliseconds since 1970, so that the records of several
/// nodes, and of several lives of one, stand in one order.
pub const AT: &str = "at_ms";

struct Budget {
    lines: f64,
    filled: Instant,
    left_out: u64,
}

/// The log of one process.
pub struct EventLog {
    started: Instant,
    queue: Option<SyncSender<String>>,
    budgets: Mutex<HashMap<&'static str, Budget>>,
}

impl EventLog {
    /// A log that writes to nowhere.
    pub fn silent() -> Self {
        Self {
            started: Instant::now(),
            queue: None,
            budgets: Mutex::new(HashMap::new()),
        }
    }

    /// A log that writes lines to `output` from a thread of its own.
    pub fn to(output: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&lines, output));
        Self {
            queue: Some(queue),
            ..Self::silent()
        }
    }

    /// Writes one record; `fields` is evaluated only when the line is written.
    pub fn write(&self, kind: &'static str, fields: impl FnOnce() -> Value) {
        let Some(queue) = &self.queue else {
            return;
        };
        let Some(left_out) = self.admit(kind) else {
            return;
        };
        let mut line = match fields() {
            Value::Object(fields) => fields,
            _ => Map::new(),
        };
        // What frames a record stands above its facts: no fact takes its place.
        let uptime = self.started.elapsed().as_millis() as u64;
        line.insert(AT.into(), unix_ms().into());
        line.insert("uptime_ms".into(), uptime.into());
        line.insert("event".into(), kind.into());
        if left_out > 0 {
            line.insert("left_out".into(), left_out.into());
        }
        let mut text = Value::Object(line).to_string();
        text.push('\n');
        if queue.try_send(text).is_err() {
            self.leave_out(kind, left_out + 1);
        }
    }

    fn leave_out(&self, kind: &'static str, lines: u64) {
        if let Some(budget) = self.budgets.lock().get_mut(kind) {
            budget.left_out += lines;
        }
    }

    fn admit(&self, kind: &'static str) -> Option<u64> {
        let now = Instant::now();
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(kind).or_insert(Budget {
            lines: BURST_LINES,
            filled: now,
            left_out: 0,
        });
        let earned = now.duration_since(budget.filled).as_secs_f64() * LINES_PER_SECOND;
        budget.lines = (budget.lines + earned).min(BURST_LINES);
        budget.filled = now;
        if budget.lines < 1.0 {
            budget.left_out += 1;
            return None;
        }
        budget.lines -= 1.0;
        Some(std::mem::take(&mut budget.left_out))
    }
}

/// Milliseconds since 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn write_lines(lines: &Receiver<String>, mut output: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        // What waits is written together.
        while let Ok(next) = lines.try_recv() {
            text.push_str(&next);
        }
        // A reader that is gone must not end the process.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
    }
}

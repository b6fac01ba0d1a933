//! Decision records: JSON lines on standard output, bounded by a budget for each kind.
//!
//! A line is written for each decision that touches a request or changes what the process
//! believes. Lines above the budget of their kind are counted and left out; the next line of the
//! kind tells how many.

use std::collections::HashMap;
use std::io::Write;
use std::time::Instant;

use parking_lot::Mutex;
use serde_json::{Map, Value};

/// Lines of one kind that may be written in one second.
const LINES_PER_SECOND: f64 = 40.0;
/// Lines that may be written at once after a quiet time.
const BURST_LINES: f64 = 80.0;

struct Budget {
    lines: f64,
    filled: Instant,
    left_out: u64,
}

/// The log of one process.
pub struct EventLog {
    started: Instant,
    enabled: bool,
    budgets: Mutex<HashMap<&'static str, Budget>>,
}

impl EventLog {
    /// A log that writes to standard output, or to nowhere.
    pub fn new(enabled: bool) -> Self {
        Self {
            started: Instant::now(),
            enabled,
            budgets: Mutex::new(HashMap::new()),
        }
    }

    /// Writes one record; `fields` is evaluated only when the line is written.
    pub fn write(&self, kind: &'static str, fields: impl FnOnce() -> Value) {
        if !self.enabled {
            return;
        }
        let Some(left_out) = self.admit(kind) else {
            return;
        };
        let mut line = Map::new();
        let uptime = self.started.elapsed().as_millis() as u64;
        line.insert("ms".into(), uptime.into());
        line.insert("event".into(), kind.into());
        if left_out > 0 {
            line.insert("left_out".into(), left_out.into());
        }
        if let Value::Object(fields) = fields() {
            line.extend(fields);
        }
        let mut text = Value::Object(line).to_string();
        text.push('\n');
        // A reader that is gone must not end the process.
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
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

//! Event log: format, rate limit, and no blocking on a slow reader.

use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use dappleyard_model::EventLog;
use googletest::prelude::*;
use parking_lot::Mutex;
use serde_json::{Value, json};

struct Lines(Sender<String>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        for line in String::from_utf8_lossy(bytes).lines() {
            // The receiver may be dropped already.
            let _ = self.0.send(line.to_owned());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Output that takes its time for each write.
struct SlowOutput(Lines);

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(50));
        self.0.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Output whose writes block while the lock is held.
struct BlockedOutput(Arc<Mutex<()>>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        drop(self.0.lock());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn events_are_json_lines() {
    let (sender, lines) = channel();
    let log = EventLog::to(Lines(sender));
    log.write("placed", || json!({"request": "r1", "candidates": 3}));
    let line: Value = serde_json::from_str(&lines.recv().expect("a line")).expect("json");
    expect_that!(line["event"], eq(&json!("placed")));
    expect_that!(line["request"], eq(&json!("r1")));
    expect_that!(line["at_ms"].is_u64(), eq(true));
    expect_that!(line["uptime_ms"].is_u64(), eq(true));
}

#[gtest]
fn fields_cannot_replace_time_or_kind() {
    let (sender, lines) = channel();
    let log = EventLog::to(Lines(sender));
    // Event fields must not replace the time or the kind.
    log.write(
        "placed",
        || json!({"at_ms": "x", "uptime_ms": "x", "event": "x"}),
    );
    let line: Value = serde_json::from_str(&lines.recv().expect("a line")).expect("json");
    expect_that!(line["at_ms"].is_u64(), eq(true));
    expect_that!(line["uptime_ms"].is_u64(), eq(true));
    expect_that!(line["event"], eq(&json!("placed")));
}

#[gtest]
fn rate_limit_is_per_kind() {
    let (sender, lines) = channel();
    let log = EventLog::to(Lines(sender));
    for number in 0..5_000 {
        log.write("flood", || json!({"number": number}));
    }
    log.write("rare", || json!({}));
    drop(log);
    let lines: Vec<String> = lines.iter().collect();
    let flood = lines
        .iter()
        .filter(|line| line.contains("\"flood\""))
        .count();
    expect_that!(flood, lt(500));
    expect_that!(lines.iter().any(|line| line.contains("\"rare\"")), eq(true));
}

#[gtest]
fn blocked_output_does_not_block_writers() {
    let gate = Arc::new(Mutex::new(()));
    let held = gate.lock();
    let log = EventLog::to(BlockedOutput(gate.clone()));
    for kind in ["a", "b", "c", "d"] {
        for _ in 0..10_000 {
            log.write(kind, || json!({}));
        }
    }
    log.flush(Duration::from_millis(10));
    drop(held);
}

/// Guards against a process that ends before its last records are written.
#[gtest]
fn last_lines_are_flushed() {
    let (sender, lines) = channel();
    let log = EventLog::to(SlowOutput(Lines(sender)));
    log.write("stop", || json!({}));
    log.flush(Duration::from_secs(20));
    expect_that!(lines.try_recv(), ok(contains_substring("\"stop\"")));
}

//! `dappleyard explain --summary`: each attempt is counted once, by outcome and cause.

use std::process::{Command, Output};

use googletest::prelude::*;
use serde_json::{Value, json};

fn run_summary(name: &str, records: &[Value], flags: &[&str]) -> Output {
    let file = std::env::temp_dir().join(format!("summary-{}-{name}.log", std::process::id()));
    let lines = records.iter().map(|record| format!("node-1 {record}\n"));
    std::fs::write(&file, lines.collect::<String>()).expect("a file in the temporary directory");
    Command::new(env!("CARGO_BIN_EXE_dappleyard"))
        .args(["explain", "--summary", "--log"])
        .arg(&file)
        .args(flags)
        .output()
        .expect("the program runs")
}

fn summarize(name: &str, records: &[Value]) -> Value {
    let output = run_summary(name, records, &["--json"]);
    serde_json::from_slice(&output.stdout).expect("JSON")
}

fn summary_line(end: &str, cause: &str, examples: &[&str]) -> Value {
    json!({"end": end, "cause": cause, "count": examples.len(), "examples": examples})
}

fn finished(id: &str, first_event_ms: u64) -> Value {
    json!({"event": "request_finished", "request": id, "first_event_ms": first_event_ms,
        "target_ms": 300})
}

fn placed(id: &str, age_ms: u64) -> Value {
    json!({"event": "placed", "request": id, "age_ms": age_ms})
}

#[gtest]
fn late_requests_are_attributed_to_queue_or_server() {
    let records = [
        placed("a", 1),
        finished("a", 40),
        placed("b", 200),
        finished("b", 340),
        placed("c", 1),
        finished("c", 900),
    ];
    let expected = json!([
        summary_line("in time", "-", &["a"]),
        summary_line("late", "waited at its node for a slot", &["b"]),
        summary_line("late", "waited at its server", &["c"]),
    ]);
    expect_that!(summarize("waits", &records)["requests"], eq(&expected));
}

#[gtest]
fn the_first_error_is_the_cause() {
    let records = [
        placed("a", 1),
        json!({"event": "attempt_failed", "request": "a", "cause": "silent for 903 ms"}),
        json!({"event": "attempt_failed", "request": "a", "cause": "connection refused"}),
        finished("a", 950),
        placed("b", 1),
        json!({"event": "attempt_failed", "request": "b", "cause": "silent for 907 ms"}),
        finished("b", 990),
    ];
    let expected = json!([summary_line(
        "late",
        "attempt failed: silent for ms",
        &["a", "b"]
    )]);
    expect_that!(summarize("trouble", &records)["requests"], eq(&expected));
}

#[gtest]
fn refused_and_truncated_requests() {
    let records = [
        json!({"event": "request_refused", "request": "a", "kind": "no_server", "status": 503}),
        json!({"event": "request_refused", "request": "b", "kind": "expired", "status": 504}),
        placed("c", 1),
        json!({"event": "stream_broke", "request": "c", "cause": "connection reset"}),
        json!({"event": "answer_cut", "request": "c", "cause": "no_server"}),
        placed("d", 1),
        json!({"event": "caller_left", "request": "d"}),
        placed("e", 1),
    ];
    let expected = json!([
        summary_line("failed", "expired", &["b"]),
        summary_line("no end recorded", "held when the records end", &["e"]),
        summary_line("caller left", "no fault before", &["d"]),
        summary_line("refused", "no_server", &["a"]),
        summary_line("cut", "stream broke: connection reset", &["c"]),
    ]);
    expect_that!(summarize("ends", &records)["requests"], eq(&expected));
}

#[gtest]
fn runs_of_items_by_outcome() {
    let records = [
        json!({"event": "item_run", "item": "i", "outcome": "completed", "status": 200, "cause": ""}),
        json!({"event": "item_run", "item": "j", "outcome": "again", "status": 0,
            "cause": "silent for 1502 ms"}),
        json!({"event": "item_paused", "item": "k"}),
        json!({"event": "items_given_up", "job": "l", "cause": "the time is over"}),
    ];
    let expected = json!([
        summary_line("run, completed", "answered 200", &["i"]),
        summary_line("paused", "online work needs the slot", &["k"]),
        summary_line("run, again", "silent for ms", &["j"]),
        summary_line("given up", "the time is over", &["l"]),
    ]);
    expect_that!(summarize("items", &records)["items"], eq(&expected));
}

#[gtest]
fn prints_text_by_default() {
    let records = [placed("a", 1), finished("a", 40)];
    let output = run_summary("text", &records, &[]);
    expect_that!(output.status.code(), some(eq(0)));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(text, contains_substring("requests: 1"));
    expect_that!(text, contains_substring("in time"));
}

#[gtest]
fn an_identifier_and_a_summary_exclude_each_other() {
    let output = run_summary("both", &[], &["some-id"]);
    expect_that!(output.status.code(), some(eq(2)));
}

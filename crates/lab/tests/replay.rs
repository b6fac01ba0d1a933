//! Replays the traces of the repository and compares their outcomes.

use std::path::PathBuf;

use dappleyard_lab::replay::{replay, replay_file, trace::Trace};
use googletest::prelude::*;

fn traces() -> Vec<PathBuf> {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let entries = std::fs::read_dir(directory).expect("the directory of traces");
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| {
        path.extension()
            .is_some_and(|extension| extension == "jsonl")
    });
    paths.sort();
    paths
}

#[gtest]
fn every_trace_has_its_expected_outcome() {
    expect_that!(traces(), len(ge(11)));
    for path in traces() {
        let replayed = replay_file(&path).expect("a readable trace");
        expect_that!(replayed.differences, is_empty(), "{}", path.display());
        let unexplained = replayed.outcome.get("UNEXPLAINED");
        expect_that!(unexplained, none(), "{}", path.display());
    }
}

#[gtest]
fn a_changed_outcome_is_reported() {
    let path = traces().into_iter().next().expect("a trace");
    let mut trace = Trace::read(&path).expect("a readable trace");
    let last = trace.steps.last_mut().expect("a step");
    last.decided = vec!["something else".to_owned()];
    expect_that!(replay(&trace).differences, len(eq(1)));
    trace.header.outcome.clear();
    expect_that!(replay(&trace).differences, len(eq(2)));
}

#[gtest]
fn a_trace_round_trips() {
    for path in traces() {
        let trace = Trace::read(&path).expect("a readable trace");
        let text = trace.to_text().expect("text");
        let copy = std::env::temp_dir().join(format!("trace-{}.jsonl", std::process::id()));
        std::fs::write(&copy, text).expect("a written copy");
        let read = Trace::read(&copy);
        std::fs::remove_file(&copy).expect("the copy is removed");
        expect_that!(read, ok(eq(&trace)), "{}", path.display());
    }
}

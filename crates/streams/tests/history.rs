//! The versions that a service has had.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::RunOrigin;
use dappleyard_streams::{Knowledge, SETTLE_TIME, VERSION_RETENTION, VersionHistory, Versions};
use googletest::prelude::*;

fn versions(texts: &[&str]) -> Versions {
    texts.iter().map(|text| text.parse().ok()).collect()
}

fn origin(version: &str) -> RunOrigin {
    RunOrigin {
        service: "llm".to_owned(),
        version: version.parse().ok(),
    }
}

/// Notes servers of these versions, none of which is draining.
fn note(history: &mut VersionHistory, listed: &[&str], now: Instant) -> bool {
    let listed = versions(listed);
    history.note_listed("llm", &listed, &listed, now)
}

/// A history that has learnt the past, of a service with servers of one version.
fn history(now: Instant) -> VersionHistory {
    let mut history = VersionHistory::default();
    note(&mut history, &["v1"], now);
    history.note_complete();
    history
}

// Guards against records and questions where they are not needed.
#[gtest]
fn single_version_is_certain() {
    let now = Instant::now();
    let history = history(now);
    expect_that!(
        history.knowledge("llm", true, now),
        eq(&Knowledge::Single(origin("v1")))
    );
    expect_that!(history.settling("llm", now), is_empty());
}

// Guards against a guess by a node that started after a version disappeared, or whose list of servers is old.
#[gtest]
fn incomplete_knowledge_is_not_certain() {
    let now = Instant::now();
    let incomplete = Knowledge::Incomplete {
        listed: Some(origin("v1")),
    };
    let stale = Knowledge::Stale(origin("v1"));
    expect_that!(history(now).knowledge("llm", false, now), eq(&stale));
    let mut started = VersionHistory::default();
    note(&mut started, &["v1"], now);
    expect_that!(started.knowledge("llm", true, now), eq(&incomplete));
    let nothing = Knowledge::Incomplete { listed: None };
    expect_that!(started.knowledge("other", true, now), eq(&nothing));
}

// Guards against streams of a version whose servers are gone being taken for streams of the one that is left.
#[gtest]
fn gone_version_counts_for_a_time() {
    let now = Instant::now();
    let mut history = history(now);
    note(&mut history, &["v1", "v2"], now);
    expect_that!(history.knowledge("llm", true, now), eq(&Knowledge::Several));
    note(&mut history, &["v2"], now);
    let later = now + VERSION_RETENTION - Duration::from_millis(1);
    expect_that!(
        history.knowledge("llm", true, later),
        eq(&Knowledge::Several)
    );
    let later = now + VERSION_RETENTION;
    expect_that!(
        history.knowledge("llm", true, later),
        eq(&Knowledge::Single(origin("v2")))
    );
    expect_that!(
        history.lapsed_for(&origin("v1"), now + Duration::from_secs(2)),
        some(eq(Duration::from_secs(2)))
    );
}

// Guards against a version that comes back within the time and is forgotten later.
#[gtest]
fn returning_version_counts_on() {
    let now = Instant::now();
    let mut history = history(now);
    note(&mut history, &["v2"], now);
    let back = now + Duration::from_secs(60);
    note(&mut history, &["v1", "v2"], back);
    let later = back + VERSION_RETENTION;
    expect_that!(
        history.knowledge("llm", true, later),
        eq(&Knowledge::Several)
    );
}

// Guards against a node that restarts and does not count what the store has recorded.
#[gtest]
fn recorded_versions_count() {
    let now = Instant::now();
    let mut history = VersionHistory::default();
    history.note_recorded("llm", vec!["v1".parse().ok()], now);
    note(&mut history, &["v2"], now);
    history.note_complete();
    expect_that!(history.knowledge("llm", true, now), eq(&Knowledge::Several));
    expect_that!(history.versions("llm", now), eq(&versions(&["v1", "v2"])));
}

// Guards against streams that begin at a version which other nodes have not seen yet.
#[gtest]
fn new_version_settles() {
    let now = Instant::now();
    let mut history = history(now);
    expect_that!(note(&mut history, &["v1", "v2"], now), eq(true));
    let settling = history.settling("llm", now);
    expect_that!(settling, eq(&vec![("v2".parse().ok(), now + SETTLE_TIME)]));
    expect_that!(history.settling("llm", now + SETTLE_TIME), is_empty());
    expect_that!(note(&mut history, &["v1", "v2"], now), eq(false));
}

// Guards against callers that wait for servers which have left for good.
#[gtest]
fn drained_version_does_not_lapse() {
    let now = Instant::now();
    let mut history = history(now);
    let (both, second) = (versions(&["v1", "v2"]), versions(&["v2"]));
    history.note_listed("llm", &both, &second, now);
    history.note_listed("llm", &second, &second, now);
    expect_that!(history.lapsed_for(&origin("v1"), now), none());
    expect_that!(history.knowledge("llm", true, now), eq(&Knowledge::Several));
}

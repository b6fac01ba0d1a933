//! Servers that are considered silent, alone or with their zone.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::{LoadTable, WarmupState, WorkKind};
use dappleyard_model::ServerRecord;
use googletest::prelude::*;

const TIME: Duration = Duration::from_millis(1_200);

fn server(id: &str) -> ServerRecord {
    ServerRecord {
        id: id.to_owned(),
        instance: id.to_owned(),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "north".to_owned(),
        version: "v1".parse().ok(),
        slots: 8,
        draining: false,
        cold_left_ms: 0,
    }
}

#[tokio::test(start_paused = true)]
async fn unconfirmed_until_bytes_received() {
    let table = Arc::new(LoadTable::default());
    let _work = table.begin(&server("i-1"), WorkKind::Online, 0);
    table.note_received("i-1");
    assert_that!(table.is_unconfirmed("i-1"), eq(false));
    table.mark_overdue("i-1", TIME);
    assert_that!(table.summary("i-1").suspect, eq(true));
    assert_that!(table.is_any_suspect(), eq(true));
    // It gets requests again afterwards, but not on existing connections.
    tokio::time::sleep(TIME).await;
    assert_that!(table.summary("i-1").suspect, eq(false));
    assert_that!(table.is_any_suspect(), eq(false));
    assert_that!(table.is_unconfirmed("i-1"), eq(true));
    table.note_received("i-1");
    assert_that!(table.is_unconfirmed("i-1"), eq(false));
}

#[tokio::test(start_paused = true)]
async fn restricted_with_zone() {
    let table = LoadTable::default();
    table.restrict(vec!["i-1", "i-2"]);
    // Includes servers that this node never used.
    assert_that!(table.summary("i-2").suspect, eq(true));
    assert_that!(table.summary("i-3").suspect, eq(false));
    // A restriction is not a detection of its own and is not reported to other nodes.
    assert_that!(table.is_silent("i-1"), eq(false));
    table.restrict(vec!["i-2"]);
    assert_that!(table.summary("i-1").suspect, eq(false));
    assert_that!(table.is_unconfirmed("i-1"), eq(true));
    table.note_received("i-1");
    assert_that!(table.is_unconfirmed("i-1"), eq(false));
    assert_that!(table.is_unconfirmed("i-2"), eq(true));
}

#[tokio::test(start_paused = true)]
async fn unknown_after_zone_restriction() {
    let table = LoadTable::default();
    let warmup_state = || table.warmup_state(&server("i-1")).0;
    table.note_received("i-1");
    assert_that!(warmup_state(), eq(WarmupState::Warm));
    table.restrict(vec!["i-1"]);
    assert_that!(warmup_state(), eq(WarmupState::Unknown));
    // The zone responds again, but perhaps through other servers; only a health answer gives the
    // warm-up state.
    table.restrict(Vec::new());
    table.note_received("i-1");
    assert_that!(warmup_state(), eq(WarmupState::Unknown));
    table.note_warmup_report("i-1", dappleyard_clock::Instant::now(), Duration::ZERO);
    assert_that!(warmup_state(), eq(WarmupState::Warm));
}

#[tokio::test(start_paused = true)]
async fn unknown_after_disuse() {
    let table = LoadTable::default();
    let warmup_state = || table.warmup_state(&server("i-1")).0;
    table.note_received("i-1");
    assert_that!(warmup_state(), eq(WarmupState::Warm));
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    assert_that!(warmup_state(), eq(WarmupState::Unknown));
    // Another node that assumes it to be warm has used it.
    table.note_received("i-1");
    assert_that!(warmup_state(), eq(WarmupState::Unknown));
    table.note_warmup_report("i-1", dappleyard_clock::Instant::now(), Duration::ZERO);
    assert_that!(warmup_state(), eq(WarmupState::Warm));
}

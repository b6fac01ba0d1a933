//! A process that has just started learns which requests are refused before it runs any.

mod support;

use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::{store_counts, sync_refused_requests};
use dappleyard_crashes::{
    CrashTable, Feature, Fingerprint, Permit, PromptPartId, RequestFeatures, RequestParts,
};
use dappleyard_emulator::{EmulatedRows, RowFault};
use dappleyard_model::EventLog;
use googletest::prelude::*;
use support::{run_local, wait_until};

fn request(body: &str) -> RequestFeatures {
    let fingerprint = Fingerprint::of(&RequestParts {
        caller: "",
        method: "POST",
        host: "shop.example",
        target: "/chat/x",
        body: body.as_bytes(),
    });
    RequestFeatures::new(fingerprint, [PromptPartId(7)])
}

/// Starts a process that keeps its refusals in the store.
fn start(rows: &EmulatedRows, node_id: u64) -> Arc<CrashTable> {
    let crashes = Arc::new(CrashTable::new(node_id));
    let (kept, rows) = (crashes.clone(), rows.clone());
    tokio::task::spawn_local(async move {
        sync_refused_requests(&kept, &rows, &EventLog::silent()).await;
    });
    crashes
}

/// Ends three servers under requests with the part.
fn refuse_part(crashes: &Arc<CrashTable>, name: &str) {
    for number in 0..3 {
        let body = format!("{name} {number}");
        let run = crashes.begin(&request(&body), &format!("{name}-{number}"));
        expect_that!(run.map(|run| run.note_ended(None)).is_ok(), eq(true));
    }
}

/// Starts a process that stores a refusal.
async fn store_refusal(rows: &EmulatedRows) -> Arc<CrashTable> {
    let crashes = start(rows, 1);
    wait_until("the table is read", || {
        crashes.permit(&request("a")) == Permit::Free
    })
    .await;
    refuse_part(&crashes, "crash");
    wait_until("the refusal is stored", || rows.table("crashes").len() == 1).await;
    crashes
}

// Guards against a process that runs refused requests before it knows the refusals.
#[gtest]
fn nothing_runs_before_the_table_is_read() {
    run_local(async {
        let rows = EmulatedRows::default();
        store_refusal(&rows).await;
        rows.set_down(true);
        let crashes = start(&rows, 2);
        tokio::time::sleep(Duration::from_millis(100)).await;
        expect_that!(crashes.permit(&request("b")), eq(Permit::Wait));
        rows.set_down(false);
        wait_until("the part is refused", || {
            crashes.permit(&request("b")) == Permit::Refused
        })
        .await;
    });
}

// Guards against stored ends that look new to the process that reads them, so that it allows one retry more.
#[gtest]
fn stored_ends_keep_their_age() {
    run_local(async {
        let rows = EmulatedRows::default();
        store_refusal(&rows).await;
        let stored_for = Duration::from_millis(300);
        tokio::time::sleep(stored_for).await;
        let crashes = start(&rows, 2);
        wait_until("the part is refused", || {
            crashes.permit(&request("b")) == Permit::Refused
        })
        .await;
        let record = crashes.message(&Feature::PromptPart(PromptPartId(7)));
        expect_that!(record.ages_ms.len(), eq(3));
        expect_that!(record.ages_ms, each(ge(&(stored_for.as_millis() as u64))));
    });
}

// Guards against a process that serves nothing while the store is away.
#[gtest]
fn requests_run_without_the_store_in_the_end() {
    run_local(async {
        let rows = EmulatedRows::default();
        rows.set_down(true);
        let crashes = start(&rows, 2);
        wait_until("requests are held back", || {
            crashes.permit(&request("b")) == Permit::Wait
        })
        .await;
        wait_until("requests run", || {
            crashes.permit(&request("b")) == Permit::Free
        })
        .await;
    });
}

/// Guards against ends stored by stopping nodes that replace each other or stay when the feature is cleared.
#[gtest]
fn joined_counts() {
    run_local(async {
        let rows = EmulatedRows::default();
        for (node_id, server) in [(1, "i-1"), (2, "i-2")] {
            let crashes = Arc::new(CrashTable::new(node_id));
            let run = crashes.begin(&request("a"), server);
            expect_that!(run.map(|run| run.note_ended(None)).is_ok(), eq(true));
            store_counts(&crashes, &rows, &EventLog::silent()).await;
        }
        let crashes = start(&rows, 3);
        let part = Feature::PromptPart(PromptPartId(7));
        wait_until("both ends are read", || {
            crashes.ended_under(&part).len() == 2
        })
        .await;
        wait_until("the table is read", || {
            crashes.permit(&request("a")) == Permit::LastRun
        })
        .await;
        let run = crashes.begin(&request("a"), "i-3");
        expect_that!(run.map(|run| run.note_served().len()).ok(), some(eq(2)));
        wait_until("the rows are removed", || rows.table("crashes").is_empty()).await;
    });
}

/// Guards against the late removal of a row that takes away a later refusal.
#[gtest]
fn late_removal() {
    run_local(async {
        let rows = EmulatedRows::default();
        let crashes = store_refusal(&rows).await;
        let part = Feature::PromptPart(PromptPartId(7));
        rows.script([Some(RowFault::LostHeld), None]);
        expect_that!(crashes.forgive(&part), eq(true));
        wait_until("the row is removed", || rows.table("crashes").is_empty()).await;
        refuse_part(&crashes, "again");
        wait_until("the refusal is stored", || rows.table("crashes").len() == 1).await;
        rows.release_held();
        expect_that!(rows.table("crashes").len(), eq(1));
    });
}

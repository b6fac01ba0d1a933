//! Fault tolerance: lost responses, failed nodes, store outages, and cancels that race with
//! commits.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use dappleyard_settings::BatchSettings;
use dappleyard_store::Transaction;
use dappleyard_store::tables::Write;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ChunkPhase, ChunkRow, JobPhase, JobState};
use googletest::prelude::*;
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::LocalSet;

use crate::support::harness::{Fleet, at_most_once_submit, lines, submit, upload};
use crate::support::platform::Fault;

pub const ITEMS: usize = 60;

/// Settings with few items per chunk, so that a job has many chunks. `once_chunk_items` applies to
/// at-most-once items.
pub fn small_chunk_settings() -> BatchSettings {
    BatchSettings {
        chunk_minimum_items: 4,
        once_chunk_items: 4,
        ..BatchSettings::default()
    }
}

/// Reads the result files of a job from the node with index `node`, and checks that its committed chunks point to the result objects
/// of their epochs. Returns the error code of each result line by `custom_id`; the code is `ok` for
/// items without an error.
pub async fn results(fleet: &Fleet, node: usize, job: &JobState) -> BTreeMap<String, Vec<String>> {
    expect_result_objects_of_row_epochs(fleet, &job.job_id);
    let mut found: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for file in [&job.output_file_id, &job.error_file_id] {
        for line in fleet.nodes[node].read_file(file).await.lines() {
            let value: serde_json::Value =
                serde_json::from_str(line).expect("result line should be JSON");
            let name = value["custom_id"]
                .as_str()
                .expect("custom_id should be a string")
                .to_owned();
            let code = value["error"]["code"].as_str().unwrap_or("ok").to_owned();
            found.entry(name).or_default().push(code);
        }
    }
    found
}

/// Checks that each committed chunk points to the result object of the epoch in its row.
fn expect_result_objects_of_row_epochs(fleet: &Fleet, job: &str) {
    for key in fleet.platform.keys(&format!("chunk/{job}/")) {
        let row: ChunkRow = fleet.platform.row(&key).expect("chunk row should decode");
        if row.phase() == ChunkPhase::ChunkDone {
            let expected_object = keys::result_object(&job.into(), row.index, row.epoch);
            expect_that!(row.result_object, eq(&expected_object));
        }
    }
}

/// Checks that each of `items` items has exactly one result line.
pub fn expect_one_result_each(found: &BTreeMap<String, Vec<String>>, items: usize) {
    expect_that!(found.len(), eq(items));
    expect_that!(
        found.values().filter(|lines| lines.len() != 1).count(),
        eq(0)
    );
}

/// Number of items that were started from the first token more than once; a resumed item does not
/// count.
pub fn repeated_item_count(fleet: &Fleet) -> usize {
    let mut counts = BTreeMap::new();
    for run in fleet.engine.runs.borrow().iter() {
        if run.resume_offset == 0 {
            *counts.entry(run.request_id.clone()).or_insert(0) += 1;
        }
    }
    counts.values().filter(|count| **count > 1).count()
}

fn writes_done_chunk(transaction: &Transaction) -> bool {
    transaction.writes.iter().any(|write| match write {
        Write::Put { key, value } if key.starts_with("chunk/") => {
            ChunkRow::decode(value.clone()).is_ok_and(|row| row.phase() == ChunkPhase::ChunkDone)
        }
        _ => false,
    })
}

fn done_chunks(fleet: &Fleet, job: &str) -> usize {
    let keys = fleet.platform.keys(&format!("chunk/{job}/"));
    let rows = keys
        .iter()
        .filter_map(|key| fleet.platform.row::<ChunkRow>(key));
    rows.filter(|row| row.phase() == ChunkPhase::ChunkDone)
        .count()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_responses_neither_lose_nor_duplicate_a_result() {
    for seed in 0..8 {
        LocalSet::new()
            .run_until(async move {
                let fleet = Fleet::start(3, small_chunk_settings());
                let file = upload(&fleet.nodes[0], &lines(ITEMS, 10)).await;
                let mut random = StdRng::seed_from_u64(seed);
                fleet
                    .platform
                    .inject_transact_faults(move |_| match random.random_range(0..10) {
                        0 | 1 => Some(Fault::LostAfterEffect),
                        2 => Some(Fault::LostBeforeEffect),
                        3 => Some(Fault::Down),
                        _ => None,
                    });
                // A submission that fails with an injected fault is resent under the same key.
                let job = loop {
                    if let Ok(job) = fleet.nodes[0].submit(submit(&file, "key")).await {
                        break job;
                    }
                };
                let ended = fleet.nodes[1].wait_until_ended(&job.job_id).await;
                expect_that!(ended.phase(), eq(JobPhase::JobCompleted));
                expect_one_result_each(&results(&fleet, 1, &ended).await, ITEMS);
                expect_that!(fleet.platform.keys("job/").len(), eq(1));
            })
            .await;
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_job_survives_the_loss_of_the_node_that_accepted_it() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = Fleet::start(3, small_chunk_settings());
            let file = upload(&fleet.nodes[0], &lines(ITEMS, 10)).await;
            let job = fleet.nodes[0]
                .submit(submit(&file, "key"))
                .await
                .expect("job should be accepted");
            fleet.kill(0);
            fleet.declare_dead(0);
            let resent = fleet.nodes[1]
                .submit(submit(&file, "key"))
                .await
                .expect("resent submission should be accepted");
            expect_that!(resent.job_id, eq(&job.job_id));
            let ended = fleet.nodes[2].wait_until_ended(&job.job_id).await;
            expect_one_result_each(&results(&fleet, 1, &ended).await, ITEMS);
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn chunks_of_a_lost_node_run_on_other_nodes() {
    for after_ms in [5, 20, 40, 60, 80, 120] {
        LocalSet::new()
            .run_until(async move {
                let mut fleet = Fleet::start(3, small_chunk_settings());
                let file = upload(&fleet.nodes[0], &lines(ITEMS, 10)).await;
                let job = fleet.nodes[0]
                    .submit(submit(&file, "key"))
                    .await
                    .expect("job should be accepted");
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                fleet.kill(0);
                fleet.declare_dead(0);
                let ended = fleet.nodes[2].wait_until_ended(&job.job_id).await;
                expect_one_result_each(&results(&fleet, 1, &ended).await, ITEMS);
            })
            .await;
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_live_holder_that_was_declared_dead_is_fenced() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start(3, small_chunk_settings());
            let file = upload(&fleet.nodes[0], &lines(ITEMS, 800)).await;
            let job = fleet.nodes[0]
                .submit(submit(&file, "key"))
                .await
                .expect("job should be accepted");
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.declare_dead(0);
            let ended = fleet.nodes[2].wait_until_ended(&job.job_id).await;
            expect_one_result_each(&results(&fleet, 1, &ended).await, ITEMS);
            // Leaves time to delete the results of the fenced holder; one object per chunk remains.
            tokio::time::sleep(Duration::from_secs(30)).await;
            let chunks = fleet.platform.keys("chunk/").len();
            expect_that!(fleet.platform.object_names("results/").len(), eq(chunks));
            expect_that!(fleet.platform.keys("held-chunk/").len(), eq(0));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_node_that_has_just_started_takes_nothing_over() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = Fleet::start(2, small_chunk_settings());
            let file = upload(&fleet.nodes[0], &lines(ITEMS, 800)).await;
            let job = fleet.nodes[0]
                .submit(submit(&file, "key"))
                .await
                .expect("job should be accepted");
            tokio::time::sleep(Duration::from_millis(300)).await;
            // The member table of the added node is empty, as right after a start.
            fleet.add_isolated_node(2);
            let ended = fleet.nodes[1].wait_until_ended(&job.job_id).await;
            expect_one_result_each(&results(&fleet, 1, &ended).await, ITEMS);
            expect_that!(repeated_item_count(&fleet), eq(0));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn nothing_is_committed_or_started_after_a_cancel() {
    for after_ms in [0, 10, 30, 50, 70, 100, 150, 300] {
        LocalSet::new()
            .run_until(async move {
                let fleet = Fleet::start(3, small_chunk_settings());
                let file = upload(&fleet.nodes[0], &lines(2_000, 40)).await;
                let job = fleet.nodes[0]
                    .submit(submit(&file, "key"))
                    .await
                    .expect("job should be accepted");
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                let cancelled = fleet.nodes[2]
                    .cancel(&job.job_id)
                    .await
                    .expect("cancel should succeed");
                expect_that!(cancelled.phase(), eq(JobPhase::JobCancelled));
                let done = done_chunks(&fleet, &job.job_id);
                // Nodes may start items until they learn of the cancel, so starts are compared from two
                // seconds after it.
                tokio::time::sleep(Duration::from_secs(2)).await;
                let started = fleet.engine.runs.borrow().len();
                tokio::time::sleep(Duration::from_secs(60)).await;
                expect_that!(fleet.engine.runs.borrow().len(), eq(started));
                expect_that!(done_chunks(&fleet, &job.job_id), eq(done));
                // The cancel also removes the index rows of the job.
                expect_that!(fleet.platform.keys("open-chunk/").len(), eq(0));
                expect_that!(fleet.platform.keys("held-chunk/").len(), eq(0));
                expect_that!(fleet.platform.keys("active-job/").len(), eq(0));
                let readable = results(&fleet, 1, &cancelled).await;
                expect_that!(readable.len() as u32, eq(cancelled.items_completed));
            })
            .await;
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_cancel_holds_when_commit_responses_are_lost() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start(2, small_chunk_settings());
            let file = upload(&fleet.nodes[0], &lines(200, 40)).await;
            let job = fleet.nodes[0]
                .submit(submit(&file, "key"))
                .await
                .expect("job should be accepted");
            // The response to every commit of a chunk is lost. Every second transaction, counting those
            // that are not commits, takes effect if it is a commit; the others are lost before.
            let transaction_count = Cell::new(0);
            fleet.platform.inject_transact_faults(move |transaction| {
                transaction_count.set(transaction_count.get() + 1);
                let lost = match transaction_count.get() % 2 {
                    0 => Fault::LostAfterEffect,
                    _ => Fault::LostBeforeEffect,
                };
                writes_done_chunk(transaction).then_some(lost)
            });
            tokio::time::sleep(Duration::from_millis(400)).await;
            fleet.nodes[1]
                .cancel(&job.job_id)
                .await
                .expect("cancel should succeed");
            let done = done_chunks(&fleet, &job.job_id);
            tokio::time::sleep(Duration::from_secs(30)).await;
            expect_that!(done_chunks(&fleet, &job.job_id), eq(done));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn jobs_complete_after_a_store_outage_of_minutes() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start(3, small_chunk_settings());
            let file = upload(&fleet.nodes[0], &lines(ITEMS, 40)).await;
            let job = fleet.nodes[0]
                .submit(submit(&file, "key"))
                .await
                .expect("job should be accepted");
            tokio::time::sleep(Duration::from_millis(60)).await;
            fleet.platform.set_down(true);
            let refused = fleet.nodes[1].submit(submit(&file, "other")).await;
            expect_that!(refused.is_err(), eq(true));
            tokio::time::sleep(Duration::from_secs(120)).await;
            fleet.platform.set_down(false);
            let ended = fleet.nodes[2].wait_until_ended(&job.job_id).await;
            expect_that!(ended.phase(), eq(JobPhase::JobCompleted));
            expect_one_result_each(&results(&fleet, 1, &ended).await, ITEMS);
            expect_that!(fleet.platform.keys("job/").len(), eq(1));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn at_most_once_items_are_not_repeated_when_a_node_is_lost() {
    for after_ms in [20, 40, 60, 80, 100, 150] {
        for killed in [true, false] {
            LocalSet::new()
                .run_until(async move {
                    let mut fleet = Fleet::start(3, small_chunk_settings());
                    let file = upload(&fleet.nodes[0], &lines(ITEMS, 40)).await;
                    let call = at_most_once_submit(&file, "key");
                    let job = fleet.nodes[0]
                        .submit(call)
                        .await
                        .expect("job should be accepted");
                    tokio::time::sleep(Duration::from_millis(after_ms)).await;
                    if killed {
                        fleet.kill(0);
                    }
                    fleet.declare_dead(0);
                    let ended = fleet.nodes[2].wait_until_ended(&job.job_id).await;
                    // Leaves time for a wrong second run to start.
                    tokio::time::sleep(Duration::from_secs(10)).await;
                    expect_one_result_each(&results(&fleet, 1, &ended).await, ITEMS);
                    expect_that!(repeated_item_count(&fleet), eq(0));
                })
                .await;
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_drained_node_hands_chunks_back() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start(2, small_chunk_settings());
            let file = upload(&fleet.nodes[0], &lines(ITEMS, 100)).await;
            let job = fleet.nodes[0]
                .submit(submit(&file, "key"))
                .await
                .expect("job should be accepted");
            tokio::time::sleep(Duration::from_millis(100)).await;
            let handle = fleet.nodes[0]
                .handle
                .as_ref()
                .expect("node should be running");
            handle.drain().await;
            let held = fleet.platform.keys("held-chunk/node-0/");
            expect_that!(held.len(), eq(0));
            let ended = fleet.nodes[1].wait_until_ended(&job.job_id).await;
            expect_one_result_each(&results(&fleet, 1, &ended).await, ITEMS);
            expect_that!(repeated_item_count(&fleet), eq(0));
            // Partial results are deleted after the job has ended.
            tokio::time::sleep(Duration::from_secs(5)).await;
            expect_that!(fleet.platform.object_names("partial/").len(), eq(0));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_drained_node_repeats_no_at_most_once_item() {
    for after_ms in [30, 60, 100, 150] {
        LocalSet::new()
            .run_until(async move {
                let settings = BatchSettings {
                    once_chunk_items: 32,
                    ..small_chunk_settings()
                };
                let fleet = Fleet::start(2, settings);
                // Items of 1,500 tokens are so long that few fit on a server at once, and some are still
                // queued at the drain.
                let text = lines(ITEMS, 1_500);
                let file = upload(&fleet.nodes[0], &text).await;
                let call = at_most_once_submit(&file, "key");
                let job = fleet.nodes[0]
                    .submit(call)
                    .await
                    .expect("job should be accepted");
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                fleet.nodes[0]
                    .handle
                    .as_ref()
                    .expect("node should be running")
                    .drain()
                    .await;
                let ended = fleet.nodes[1].wait_until_ended(&job.job_id).await;
                expect_that!(ended.items_failed, eq(0));
                expect_one_result_each(&results(&fleet, 1, &ended).await, ITEMS);
                expect_that!(repeated_item_count(&fleet), eq(0));
            })
            .await;
    }
}

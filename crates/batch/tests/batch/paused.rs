//! A node that stands still while the others go on, and wakes believing what it knew.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_settings::BatchSettings;
use dappleyard_wire::messages::JobSubmit;
use googletest::prelude::*;
use tokio::task::LocalSet;

use crate::faults::{ITEMS, expect_once_each, repeated_requests, results, settings};
use crate::support::harness::{Fleet, lines, once_submit, submit, upload};
use crate::support::pause::{PausableSet, Pause};

/// Runs a test body with a fleet of which node 0 can be paused.
async fn with_pausable_node<F: Future<Output = ()>>(
    settings: BatchSettings,
    body: impl FnOnce(Fleet, Rc<Pause>) -> F,
) {
    let mut fleet = Fleet::start(0, settings);
    let pausable = PausableSet::new();
    pausable.set.run_until(async { fleet.add_node(0) }).await;
    let pause = pausable.pause.clone();
    LocalSet::new()
        .run_until(async {
            fleet.add_node(1);
            fleet.add_node(2);
            tokio::select! {
                () = pausable => {}
                () = body(fleet, pause) => {}
            }
        })
        .await;
}

/// Submits through node 1 and waits until node 0 runs items.
async fn begin(fleet: &Fleet, call: JobSubmit) -> String {
    let job = fleet.nodes[1].submit(call).await.expect("accepted");
    for _ in 0..500 {
        tokio::time::sleep(Duration::from_millis(2)).await;
        if fleet.engine.running_on("http://server-0") > 0 {
            break;
        }
    }
    job.job_id
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn it_starts_nothing_of_a_job_cancelled_meanwhile() {
    for pause_ms in [700, 3_000, 20_000] {
        with_pausable_node(settings(), async |fleet, pause| {
            let file = upload(&fleet.nodes[1], &lines(4_000, 40)).await;
            let job = begin(&fleet, submit(&file, "key")).await;
            pause.stop();
            // Nothing of the cancel reaches the paused node by gossip.
            fleet.nodes[1].cancel(&job).await.expect("cancelled");
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let before = runs_of_node_0(&fleet);
            pause.go_on();
            tokio::time::sleep(Duration::from_secs(20)).await;
            expect_that!(runs_of_node_0(&fleet), eq(before));
        })
        .await;
    }
}

fn runs_of_node_0(fleet: &Fleet) -> usize {
    let runs = fleet.engine.runs.borrow();
    runs.iter()
        .filter(|run| run.base == "http://server-0")
        .count()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn its_chunks_are_taken_over_and_its_results_are_dropped() {
    with_pausable_node(settings(), async |fleet, pause| {
        let file = upload(&fleet.nodes[1], &lines(ITEMS, 100)).await;
        let job = begin(&fleet, submit(&file, "key")).await;
        pause.stop();
        fleet.declare_dead(0);
        let ended = fleet.nodes[1].ended(&job).await;
        pause.go_on();
        tokio::time::sleep(Duration::from_secs(30)).await;
        expect_once_each(&results(&fleet, 1, &ended).await, ITEMS);
        let chunks = fleet.platform.keys("chunk/").len();
        expect_that!(fleet.platform.object_names("results/").len(), eq(chunks));
        let fenced = fleet.nodes[0].tables.decisions.recent(100);
        expect_that!(fenced.is_empty(), eq(false));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn it_repeats_no_item_that_must_not_repeat() {
    let mut unknown = 0;
    for wait_ms in [0, 1, 2, 3, 4, 5, 6, 8, 20] {
        let failed = std::cell::Cell::new(0);
        with_pausable_node(settings(), async |fleet, pause| {
            let file = upload(&fleet.nodes[1], &lines(ITEMS, 100)).await;
            let call = once_submit(&file, "key");
            let job = fleet.nodes[1].submit(call).await.expect("accepted");
            for _ in 0..1_000 {
                tokio::time::sleep(Duration::from_millis(1)).await;
                if !fleet.platform.keys("held-chunk/node-0/").is_empty() {
                    break;
                }
            }
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            pause.stop();
            fleet.declare_dead(0);
            let ended = fleet.nodes[1].ended(&job.job_id).await;
            let runs_at_end = runs_of_node_0(&fleet);
            pause.go_on();
            tokio::time::sleep(Duration::from_secs(30)).await;
            expect_once_each(&results(&fleet, 1, &ended).await, ITEMS);
            expect_that!(repeated_requests(&fleet), eq(0));
            // What was settled as unknown is not started later.
            expect_that!(runs_of_node_0(&fleet), eq(runs_at_end));
            failed.set(ended.items_failed);
        })
        .await;
        unknown += failed.get();
    }
    expect_that!(unknown, gt(0));
}

//! An item that crashes the engines that run it fails alone; the other items of its job complete.

use dappleyard_wire::messages::JobPhase;
use googletest::prelude::*;
use tokio::task::LocalSet;

use crate::faults::{expect_one_result_each, results, small_chunk_settings};
use crate::support::harness::{Fleet, lines, submit, upload};

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_item_that_crashes_engines_fails_alone() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start(1, small_chunk_settings());
            *fleet.engine.crash_prompt.borrow_mut() = Some("match part 7".to_owned());
            let file = upload(&fleet.nodes[0], &lines(9, 10)).await;
            let job = fleet.nodes[0]
                .submit(submit(&file, "key"))
                .await
                .expect("job should be accepted");
            let ended = fleet.nodes[0].wait_until_ended(&job.job_id).await;
            expect_that!(ended.phase(), eq(JobPhase::JobCompleted));
            expect_that!(fleet.engine.crashes.get(), eq(3));
            let found = results(&fleet, 0, &ended).await;
            expect_one_result_each(&found, 9);
            expect_that!(found["item-7"], elements_are![eq("servers_ended")]);
            expect_that!(found["item-1"], elements_are![eq("ok")]);
        })
        .await;
}

// Guards against counting crashes by whole items only: the items of a job share the system message that crashes engines.
#[gtest]
#[tokio::test(start_paused = true)]
async fn items_with_a_shared_prefix_share_the_crash_limit() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start(1, small_chunk_settings());
            *fleet.engine.crash_prompt.borrow_mut() = Some("broken tool list".to_owned());
            let shared = lines(9, 10).replace(
                r#""messages":["#,
                r#""messages":[{"role":"system","content":"broken tool list"},"#,
            );
            let file = upload(&fleet.nodes[0], &shared).await;
            let job = fleet.nodes[0]
                .submit(submit(&file, "key"))
                .await
                .expect("job should be accepted");
            let ended = fleet.nodes[0].wait_until_ended(&job.job_id).await;
            expect_that!(ended.phase(), eq(JobPhase::JobCompleted));
            // Three crashes until the prefix is refused, and two single retries, seconds apart.
            expect_that!(fleet.engine.crashes.get(), le(5));
            let found = results(&fleet, 0, &ended).await;
            expect_that!(found["item-8"], elements_are![eq("servers_ended")]);
        })
        .await;
}

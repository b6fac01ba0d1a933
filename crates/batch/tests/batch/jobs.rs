//! Jobs from upload to result files.

use std::collections::BTreeSet;
use std::time::Duration;

use dappleyard_settings::BatchSettings;
use dappleyard_wire::ErrorKind;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ConfigurationEntry, JobPhase, WindowRow};
use googletest::prelude::*;
use prost::Message;

use crate::support::harness::{Fleet, TENANT, lines, submit, upload};
use tokio::task::LocalSet;

fn custom_ids(text: &str) -> Vec<String> {
    let line_id = |line: &str| {
        let value: serde_json::Value = serde_json::from_str(line).expect("a JSON line");
        value["custom_id"].as_str().expect("a name").to_owned()
    };
    text.lines().map(line_id).collect()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_job_completes_with_one_result_for_each_item() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start(3, BatchSettings::default());
            let file = upload(&fleet.nodes[0], &lines(100, 20)).await;
            let job = fleet.nodes[0]
                .submit(submit(&file, "key"))
                .await
                .expect("job should be accepted");
            let ended = fleet.nodes[1].wait_until_ended(&job.job_id).await;
            expect_that!(ended.phase(), eq(JobPhase::JobCompleted));
            expect_that!(ended.items_total, eq(100));
            expect_that!(ended.items_completed, eq(100));
            expect_that!(ended.items_failed, eq(0));
            let output = fleet.nodes[2].read_file(&ended.output_file_id).await;
            let names = custom_ids(&output);
            expect_that!(names.len(), eq(100));
            expect_that!(names.iter().collect::<BTreeSet<_>>().len(), eq(100));
            expect_that!(fleet.nodes[2].read_file(&ended.error_file_id).await, eq(""));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_resubmitted_job_is_deduplicated_even_after_a_second_upload() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start(2, BatchSettings::default());
            let text = lines(10, 5);
            let first = upload(&fleet.nodes[0], &text).await;
            let again = upload(&fleet.nodes[1], &text).await;
            let job = fleet.nodes[0]
                .submit(submit(&first, "key"))
                .await
                .expect("job should be accepted");
            let same = fleet.nodes[1]
                .submit(submit(&first, "key"))
                .await
                .expect("the same");
            let resent = fleet.nodes[1]
                .submit(submit(&again, "key"))
                .await
                .expect("the same");
            expect_that!(same.job_id, eq(&job.job_id));
            expect_that!(resent.job_id, eq(&job.job_id));
            let other = upload(&fleet.nodes[0], &lines(11, 5)).await;
            let refused = fleet.nodes[0].submit(submit(&other, "key")).await;
            expect_that!(
                refused.map_err(|failure| failure.kind),
                err(eq(&ErrorKind::KeyReused))
            );
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn invalid_lines_are_reported_with_line_and_field() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start(1, BatchSettings::default());
            let good = lines(2, 5);
            let text = format!("{good}\n{{\"custom_id\":\"x\"}}\nnonsense\n{}", lines(1, 0));
            let file = upload(&fleet.nodes[0], &text).await;
            let job = fleet.nodes[0]
                .submit(submit(&file, ""))
                .await
                .expect("job should be accepted");
            let ended = fleet.nodes[0].wait_until_ended(&job.job_id).await;
            expect_that!(ended.phase(), eq(JobPhase::JobFailed));
            let places: Vec<(u32, &str)> = ended
                .errors
                .iter()
                .map(|error| (error.line, error.field.as_str()))
                .collect();
            let expected = vec![(4, "method"), (5, ""), (6, "body.max_tokens")];
            expect_that!(places, eq(&expected));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_job_beyond_the_standing_approval_waits_for_confirmation() {
    LocalSet::new()
        .run_until(async {
            let settings = BatchSettings {
                standing_items: 20,
                ..BatchSettings::default()
            };
            let fleet = Fleet::start(2, settings);
            let node = &fleet.nodes[0];
            let file = upload(node, &lines(21, 5)).await;
            let job = node
                .submit(submit(&file, "key"))
                .await
                .expect("job should be accepted");
            tokio::time::sleep(Duration::from_secs(20)).await;
            let planned = node.job(&job.job_id).await;
            expect_that!(planned.phase(), eq(JobPhase::JobPlanned));
            expect_that!(planned.items_total, eq(21));
            expect_that!(fleet.engine.runs.borrow().len(), eq(0));
            let plan = node.api.plan(TENANT, &job.job_id).await.expect("a plan");
            expect_that!(plan.items, eq(21));
            let confirmed = fleet.nodes[1].api.confirm(TENANT, &job.job_id).await;
            confirmed.expect("confirmed");
            let ended = node.wait_until_ended(&job.job_id).await;
            expect_that!(ended.phase(), eq(JobPhase::JobCompleted));
            expect_that!(ended.items_completed, eq(21));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_open_demand_window_reduces_the_batch_width() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start(1, BatchSettings::default());
            let tables = &fleet.nodes[0].tables;
            let now = tables.clock.unix_ms() / 1_000;
            let window = WindowRow {
                name: "shift".to_owned(),
                service: "llm".to_owned(),
                batch_percent: 10,
                starts_unix_s: now - 10,
                ends_unix_s: now + 3_600,
                ..WindowRow::default()
            };
            tables.configuration.apply(&[ConfigurationEntry {
                revision: 1,
                key: keys::window("shift"),
                value: window.encode_to_vec(),
                parts: 1,
                ..ConfigurationEntry::default()
            }]);
            let node = &fleet.nodes[0];
            let file = upload(node, &lines(300, 20)).await;
            let job = node
                .submit(submit(&file, "key"))
                .await
                .expect("job should be accepted");
            node.wait_until_ended(&job.job_id).await;
            let peak_running = fleet.engine.peak_running.borrow()["http://server-0"];
            expect_that!(peak_running, all!(ge(8), le(12)));
        })
        .await;
}

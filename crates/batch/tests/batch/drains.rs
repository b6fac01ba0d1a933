//! A drained server receives no batch items, and the job completes on the other servers.

use std::time::Duration;

use dappleyard_wire::keys;
use dappleyard_wire::messages::{ConfigurationEntry, DrainRow};
use googletest::prelude::*;
use prost::Message;
use tokio::task::LocalSet;

use crate::faults::{expect_one_result_each, results, small_chunk_settings};
use crate::support::harness::{Fleet, lines, submit, upload};

const ITEMS: usize = 40;

/// Applies an operator's drain of a server to the configuration of all nodes.
fn drain(fleet: &Fleet, server: &str) {
    let row = DrainRow {
        kind: "server".to_owned(),
        name: server.to_owned(),
        ..DrainRow::default()
    };
    for node in &fleet.nodes {
        node.tables.configuration.apply(&[ConfigurationEntry {
            revision: 1,
            key: keys::drain("server", server),
            value: row.encode_to_vec(),
            // The only row of its transaction.
            parts: 1,
            ..ConfigurationEntry::default()
        }]);
    }
}

/// Number of runs that were started on the server at `base`.
fn runs_of(fleet: &Fleet, base: &str) -> usize {
    let runs = fleet.engine.runs.borrow();
    runs.iter().filter(|run| run.base == base).count()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_drained_server_receives_no_items() {
    for drained_after_ms in [0, 40, 100] {
        LocalSet::new()
            .run_until(async move {
                let fleet = Fleet::start(2, small_chunk_settings());
                let file = upload(&fleet.nodes[0], &lines(ITEMS, 100)).await;
                let job = fleet.nodes[0]
                    .submit(submit(&file, "key"))
                    .await
                    .expect("job should be accepted");
                tokio::time::sleep(Duration::from_millis(drained_after_ms)).await;
                drain(&fleet, "server-0");
                let started_before_drain = runs_of(&fleet, "http://server-0");
                let ended = fleet.nodes[1].wait_until_ended(&job.job_id).await;
                expect_that!(runs_of(&fleet, "http://server-0"), eq(started_before_drain));
                expect_one_result_each(&results(&fleet, 1, &ended).await, ITEMS);
            })
            .await;
    }
}

//! Follows the fleet or a plan.

use std::time::Duration;

use dappleyard_operate::plans::PlanDocument;
use dappleyard_operate::status::FleetStatus;

use crate::client::{Client, CtlError};
use crate::run::{Output, print_json};
use crate::tables;

/// Interval between polls of a followed plan.
const FOLLOW_INTERVAL_MS: u64 = 500;

/// Whether a plan in this phase may still change.
fn is_active(phase: &str) -> bool {
    matches!(phase, "confirmed" | "running")
}

/// Polls a plan until it ends and prints each change of its progress.
pub async fn follow(client: &Client, id: &str, output: Output) -> Result<(), CtlError> {
    let mut last = String::new();
    loop {
        let plan: PlanDocument = client.get(&format!("/admin/v1/plans/{id}")).await?;
        let line = tables::progress(&plan);
        if line != last {
            match output {
                Output::Table => println!("{line}"),
                Output::Json => print_json(&plan),
            }
            last = line;
        }
        if plan.phase == "done" || plan.phase == "proposed" {
            return Ok(());
        }
        if !is_active(&plan.phase) {
            return Err(CtlError::PlanNotDone {
                plan: plan.id,
                phase: plan.phase,
                message: plan.message,
            });
        }
        tokio::time::sleep(Duration::from_millis(FOLLOW_INTERVAL_MS)).await;
    }
}

/// Prints the fleet status `count` times; 0 for no limit.
pub async fn fleet(
    client: &Client,
    interval_ms: u64,
    count: u64,
    output: Output,
) -> Result<(), CtlError> {
    const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";
    let mut polls = 0;
    loop {
        let status: FleetStatus = client.get("/admin/v1/status").await?;
        match output {
            Output::Table => println!("{CLEAR_SCREEN}{}", tables::status(&status)),
            Output::Json => print_json(&status),
        }
        polls += 1;
        if polls == count {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

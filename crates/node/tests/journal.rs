//! Decision records that a stopping node writes.

mod support;

use std::sync::Arc;

use dappleyard_standin::platform::{PlatformStandIn, PlatformStandInSettings};
use dappleyard_tables::decisions::{Decision, DecisionKind};
use dappleyard_transport::DirectPolicy;
use dappleyard_wire::keys::JOURNAL_PREFIX;
use googletest::prelude::*;

use support::{platform_settings, settings, start, wait_until_ready};

/// Longer than a stop with nothing in progress takes.
const SLOW_STORE_MS: u64 = 800;

/// Guards against a stop that ends while a slow store takes the last decision records.
#[gtest]
#[actix_rt::test]
async fn slow_journal() {
    let platform = PlatformStandIn::start(PlatformStandInSettings {
        object_latency_ms: SLOW_STORE_MS,
        ..PlatformStandInSettings::default()
    });
    let platform = platform.unwrap();
    let mut settings = settings(platform_settings(&platform));
    settings.operate.journal_interval_ms = 600_000;
    let node = start(settings, Arc::new(DirectPolicy)).await;
    wait_until_ready(&node).await;
    node.tables().decisions.record(Decision {
        unix_ms: 0,
        node: String::new(),
        kind: DecisionKind::Refused,
        subjects: Vec::new(),
        cause: String::new(),
        inputs: Vec::new(),
        outcome: String::new(),
    });
    expect_that!(node.stop().await, eq(true));
    expect_that!(platform.objects(JOURNAL_PREFIX), len(eq(1)));
}

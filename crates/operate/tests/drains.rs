//! Confirmed drains: disruption budget, disruptions in flight, undrain, node drains.

mod support;

use std::collections::BTreeSet;

use dappleyard_operate::intent::{DrainKind, DrainTarget, Intent};
use dappleyard_operate::plans::abort::abort;
use dappleyard_operate::plans::confirm::{Confirmation, confirm};
use dappleyard_operate::plans::drain::StepOutcome;
use dappleyard_operate::plans::runner::{RunView, advance};
use dappleyard_operate::plans::store::{StoredPlan, read_plan};
use dappleyard_operate::status::{FleetStatus, NodeStatus};
use dappleyard_settings::OperateSettings;
use dappleyard_store::{Fault, MemoryPlatform};
use dappleyard_wire::keys;
use dappleyard_wire::messages::{Disruption, DisruptionRow, PlanPhase};
use googletest::prelude::*;
use support::{NOW_MS, SERVICE, drain, platform, propose_plan, put, status};

/// A fleet whose status lags behind the store until [`Fleet::settle`].
struct Fleet {
    store: MemoryPlatform,
    status: FleetStatus,
    idle: BTreeSet<String>,
    unix_ms: u64,
}

impl Fleet {
    async fn new(servers: usize) -> Fleet {
        Fleet {
            store: platform().await,
            status: status(servers),
            idle: BTreeSet::new(),
            unix_ms: NOW_MS,
        }
    }

    async fn confirm_plan(&self, intent: &Intent) -> Result<StoredPlan> {
        let plan = propose_plan(&self.store, &self.status, intent)
            .await
            .or_fail()?;
        let confirmation = Confirmation {
            plan: plan.row.id.clone(),
            token: "a".to_owned(),
            unix_ms: self.unix_ms,
            region_fresh_ms: 15_000,
        };
        Ok(confirm(&self.store, &confirmation).await.expect("accepted"))
    }

    async fn advance(&self, plan: &StoredPlan) -> Result<StepOutcome> {
        let settings = OperateSettings::default();
        let view = RunView {
            status: &self.status,
            idle: &self.idle,
            settings: &settings,
            unix_ms: self.unix_ms,
        };
        advance(&self.store, &plan.row.id, &view).await.or_fail()
    }

    fn drained(&self) -> Vec<String> {
        let rows = self.store.rows("config/drain/");
        rows.into_iter()
            .map(|row| row.key.trim_start_matches("config/drain/").to_owned())
            .collect()
    }

    /// Updates the status from the store and marks drained servers as idle.
    fn settle(&mut self) {
        self.unix_ms += 5_000;
        for server in &mut self.status.servers {
            let key = keys::drain("server", &server.server);
            if self.store.row(&key).is_some() {
                server.state = "drained".to_owned();
                self.idle.insert(server.server.clone());
            }
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_zone_is_drained_one_server_at_a_time_and_ends_with_one_row() -> Result<()> {
    let mut fleet = Fleet::new(6).await;
    let plan = fleet
        .confirm_plan(&drain(DrainKind::Zone, "howrah"))
        .await?;
    expect_that!(plan.body()?.steps, len(eq(3)));
    fleet.advance(&plan).await?;
    expect_that!(fleet.drained(), elements_are![eq("server/s0")]);
    // The status does not show the drain yet, but the disruption in flight counts.
    fleet.advance(&plan).await?;
    expect_that!(fleet.drained(), elements_are![eq("server/s0")]);
    fleet.settle();
    fleet.advance(&plan).await?;
    expect_that!(
        fleet.drained(),
        elements_are![eq("server/s0"), eq("server/s2")]
    );
    for _ in 0..3 {
        fleet.settle();
        fleet.advance(&plan).await?;
    }
    expect_that!(fleet.drained(), elements_are![eq("zone/howrah")]);
    let done = read_plan(&fleet.store, &plan.row.id).await.or_fail()?;
    expect_that!(done.row.phase(), eq(PlanPhase::PlanDone));
    expect_that!(fleet.store.rows("active-plan/"), is_empty());
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_server_that_still_runs_requests_holds_the_next_step_back() -> Result<()> {
    let mut fleet = Fleet::new(4).await;
    let plan = fleet
        .confirm_plan(&drain(DrainKind::Zone, "howrah"))
        .await?;
    fleet.advance(&plan).await?;
    fleet.settle();
    fleet.idle.clear();
    // The disruption in flight has timed out, but the status shows the server as unavailable.
    fleet.unix_ms += 60_000;
    fleet.advance(&plan).await?;
    expect_that!(fleet.drained(), elements_are![eq("server/s0")]);
    let held = read_plan(&fleet.store, &plan.row.id).await.or_fail()?;
    expect_that!(
        held.row.message,
        contains_substring("1 of at most 1 servers are unavailable")
    );
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_load_in_flight_delays_a_drain() -> Result<()> {
    let fleet = Fleet::new(4).await;
    let in_flight = DisruptionRow {
        disruptions: vec![Disruption {
            server: "s2".to_owned(),
            zone: "howrah".to_owned(),
            cause: "load".to_owned(),
            since_unix_ms: NOW_MS,
        }],
        ..DisruptionRow::default()
    };
    put(&fleet.store, keys::disruption(SERVICE), &in_flight).await;
    let plan = fleet.confirm_plan(&drain(DrainKind::Server, "s0")).await?;
    fleet.advance(&plan).await?;
    expect_that!(fleet.drained(), is_empty());
    Ok(())
}

#[gtest]
#[tokio::test]
async fn an_unhealthy_server_may_be_drained_while_enough_healthy_ones_remain() -> Result<()> {
    let mut fleet = Fleet::new(4).await;
    fleet.status.servers[0].state = "withdrawn".to_owned();
    let plan = fleet.confirm_plan(&drain(DrainKind::Server, "s0")).await?;
    fleet.advance(&plan).await?;
    expect_that!(fleet.drained(), elements_are![eq("server/s0")]);
    // A healthy server of the same zone must wait: one is unavailable already.
    let other = fleet.confirm_plan(&drain(DrainKind::Server, "s2")).await?;
    fleet.advance(&other).await?;
    expect_that!(fleet.drained(), elements_are![eq("server/s0")]);
    Ok(())
}

#[gtest]
#[tokio::test]
async fn two_concurrent_runners_stay_within_the_budget() -> Result<()> {
    let fleet = Fleet::new(8).await;
    let plan = fleet
        .confirm_plan(&drain(DrainKind::Zone, "howrah"))
        .await?;
    let (first, second) = tokio::join!(fleet.advance(&plan), fleet.advance(&plan));
    first?;
    second?;
    expect_that!(fleet.drained(), len(eq(1)));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_step_with_a_lost_response_is_not_repeated() -> Result<()> {
    let fleet = Fleet::new(8).await;
    let plan = fleet
        .confirm_plan(&drain(DrainKind::Zone, "howrah"))
        .await?;
    fleet
        .store
        .fail_transactions([Some(Fault::LostAfterEffect)]);
    expect_that!(fleet.advance(&plan).await?, eq(&StepOutcome::Contended));
    fleet.advance(&plan).await?;
    expect_that!(fleet.drained(), len(eq(1)));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn an_aborted_drain_stops_and_can_be_undrained() -> Result<()> {
    let mut fleet = Fleet::new(6).await;
    let plan = fleet
        .confirm_plan(&drain(DrainKind::Zone, "howrah"))
        .await?;
    fleet.advance(&plan).await?;
    abort(&fleet.store, &plan.row.id, NOW_MS).await.or_fail()?;
    fleet.settle();
    fleet.advance(&plan).await?;
    expect_that!(fleet.drained(), elements_are![eq("server/s0")]);
    let back = Intent::Undrain(DrainTarget {
        kind: DrainKind::Zone,
        name: "howrah".to_owned(),
    });
    fleet.confirm_plan(&back).await?;
    expect_that!(fleet.drained(), is_empty());
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_node_drain_is_done_when_the_node_is_idle() -> Result<()> {
    let mut fleet = Fleet::new(2).await;
    fleet.status.nodes = vec![NodeStatus {
        node: "node-1".to_owned(),
        zone: "howrah".to_owned(),
        region: "bengal".to_owned(),
        member: "alive".to_owned(),
        lifecycle: "ready".to_owned(),
        revision: 1,
        servers: 2,
        busy: 3,
        admin_address: String::new(),
    }];
    let plan = fleet
        .confirm_plan(&drain(DrainKind::Node, "node-1"))
        .await?;
    fleet.advance(&plan).await?;
    expect_that!(fleet.drained(), elements_are![eq("node/node-1")]);
    fleet.advance(&plan).await?;
    let running = read_plan(&fleet.store, &plan.row.id).await.or_fail()?;
    expect_that!(
        running.row.message,
        contains_substring("3 sequences still run")
    );
    fleet.status.nodes[0].lifecycle = "draining".to_owned();
    fleet.status.nodes[0].busy = 0;
    fleet.advance(&plan).await?;
    let done = read_plan(&fleet.store, &plan.row.id).await.or_fail()?;
    expect_that!(done.row.phase(), eq(PlanPhase::PlanDone));
    Ok(())
}

//! Plan confirmation: conflicts, lost responses, the configuration chain, regions.

mod support;

use dappleyard_operate::intent::{BatchJob, DrainKind, DrainTarget, Intent, TenantLimits};
use dappleyard_operate::jobs::{JobSummary, risk};
use dappleyard_operate::plans::abort::abort;
use dappleyard_operate::plans::confirm::{Confirmation, Refusal, confirm};
use dappleyard_operate::plans::store::{StoredPlan, list_plans, read_plan, remove_older};
use dappleyard_store::{Fault, MemoryPlatform};
use dappleyard_wire::keys::{self, CONFIGURATION_HEAD};
use dappleyard_wire::messages::{
    JobPhase, JobRow, JobState, PlanPhase, RegionRow, ServiceRow, TenantRow,
};
use dappleyard_wire::{ErrorKind, Ran};
use googletest::prelude::*;
use support::{NOW_MS, SERVICE, drain, platform, propose_plan, put, rollout, row, status};

async fn confirm_plan(
    store: &MemoryPlatform,
    plan: &StoredPlan,
    token: &str,
) -> std::result::Result<StoredPlan, Refusal> {
    let confirmation = Confirmation {
        plan: plan.row.id.clone(),
        token: token.to_owned(),
        unix_ms: NOW_MS,
        region_fresh_ms: 15_000,
    };
    confirm(store, &confirmation).await
}

fn tenant(limit: f64) -> Intent {
    Intent::Tenant(TenantLimits {
        tenant: "yard".to_owned(),
        requests_per_s: Some(limit),
        ..TenantLimits::default()
    })
}

#[gtest]
#[tokio::test]
async fn a_proposed_plan_changes_nothing_but_its_own_row() -> Result<()> {
    let store = platform().await;
    let plan = propose_plan(&store, &status(4), &rollout("v2"))
        .await
        .or_fail()?;
    let service: ServiceRow = row(&store, &keys::service(SERVICE)).or_fail()?;
    expect_that!(service.canary, eq(""));
    expect_that!(store.row(CONFIGURATION_HEAD), none());
    expect_that!(plan.row.phase(), eq(PlanPhase::PlanProposed));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn of_two_conflicting_plans_one_is_accepted_and_the_other_is_told_what_changed() -> Result<()>
{
    let store = platform().await;
    let first = propose_plan(&store, &status(4), &rollout("v2"))
        .await
        .or_fail()?;
    let second = propose_plan(&store, &status(4), &rollout("v3"))
        .await
        .or_fail()?;
    confirm_plan(&store, &first, "a")
        .await
        .expect("the first is accepted");
    let refusal = confirm_plan(&store, &second, "b")
        .await
        .expect_err("the second is refused");
    expect_that!(refusal.failure.kind, eq(ErrorKind::Conflict));
    expect_that!(refusal.failure.ran, eq(Ran::No));
    let service = refusal
        .changed
        .iter()
        .find(|row| row.key == keys::service(SERVICE));
    let service = service.or_fail()?;
    expect_that!(service.before, contains_substring("version v1"));
    expect_that!(service.now, contains_substring("canary v2 on 25 %"));
    let overtaken = read_plan(&store, &second.row.id).await.or_fail()?;
    expect_that!(overtaken.row.phase(), eq(PlanPhase::PlanOvertaken));
    let row: ServiceRow = row(&store, &keys::service(SERVICE)).or_fail()?;
    expect_that!(row.canary, eq("v2"));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn two_drains_of_one_service_made_from_the_same_view_conflict() -> Result<()> {
    let store = platform().await;
    let fleet = status(4);
    let zone = propose_plan(&store, &fleet, &drain(DrainKind::Zone, "howrah"))
        .await
        .or_fail()?;
    let other = propose_plan(&store, &fleet, &drain(DrainKind::Zone, "haldia"))
        .await
        .or_fail()?;
    confirm_plan(&store, &zone, "a")
        .await
        .expect("the first is accepted");
    let refusal = confirm_plan(&store, &other, "b")
        .await
        .expect_err("the second is refused");
    expect_that!(
        refusal.failure.message,
        contains_substring("plans that take capacity from fittings-llm")
    );
    expect_that!(
        refusal.failure.message,
        contains_substring("drain zone howrah")
    );
    Ok(())
}

#[gtest]
#[tokio::test]
async fn plans_that_touch_different_rows_are_both_accepted_in_one_chain() -> Result<()> {
    let store = platform().await;
    let limits = propose_plan(&store, &status(4), &tenant(5.0))
        .await
        .or_fail()?;
    let version = propose_plan(&store, &status(4), &rollout("v2"))
        .await
        .or_fail()?;
    let first = confirm_plan(&store, &limits, "a").await.expect("accepted");
    let head = store.row(CONFIGURATION_HEAD).or_fail()?;
    expect_that!(head.revision, eq(first.revision));
    let second = confirm_plan(&store, &version, "b").await.expect("accepted");
    let next = store.row(CONFIGURATION_HEAD).or_fail()?;
    expect_that!(next.revision, eq(second.revision));
    expect_that!(next.value, eq(&head.revision.to_string().into_bytes()));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_lost_response_is_resolved_by_reading_the_plan_row() -> Result<()> {
    for fault in [Fault::LostBeforeEffect, Fault::LostAfterEffect] {
        let store = platform().await;
        let plan = propose_plan(&store, &status(4), &tenant(5.0))
            .await
            .or_fail()?;
        store.fail_transactions([Some(fault)]);
        let accepted = confirm_plan(&store, &plan, "a").await.expect("accepted");
        expect_that!(accepted.row.phase(), eq(PlanPhase::PlanDone));
        let tenant: TenantRow = row(&store, &keys::tenant("yard")).or_fail()?;
        expect_that!(tenant.requests_per_s, eq(5.0));
        // Service row, plan row and one confirmation, which was not applied twice.
        expect_that!(store.transactions(), eq(3));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn an_outage_after_a_lost_response_is_reported_as_maybe_ran() -> Result<()> {
    let store = platform().await;
    let plan = propose_plan(&store, &status(4), &tenant(5.0))
        .await
        .or_fail()?;
    store.fail_transactions([Some(Fault::LostBeforeEffect), Some(Fault::Unavailable)]);
    let refusal = confirm_plan(&store, &plan, "a").await.expect_err("refused");
    expect_that!(refusal.failure.kind, eq(ErrorKind::StoreUnavailable));
    expect_that!(refusal.failure.ran, eq(Ran::Maybe));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_repeated_token_is_idempotent_and_another_token_conflicts() -> Result<()> {
    let store = platform().await;
    let plan = propose_plan(&store, &status(4), &tenant(5.0))
        .await
        .or_fail()?;
    confirm_plan(&store, &plan, "a").await.expect("accepted");
    expect_that!(confirm_plan(&store, &plan, "a").await, ok(anything()));
    let refusal = confirm_plan(&store, &plan, "b").await.expect_err("refused");
    expect_that!(
        refusal.failure.message,
        contains_substring("can no longer be confirmed")
    );
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_change_in_an_unreachable_region_is_refused_with_the_reason() -> Result<()> {
    let store = platform().await;
    let mut fleet = status(4);
    fleet.servers[0].region = "delta".to_owned();
    for (region, age_ms) in [("bengal", 1_000), ("delta", 60_000)] {
        let freshness = RegionRow {
            region: region.to_owned(),
            refreshed_unix_ms: NOW_MS - age_ms,
            ..RegionRow::default()
        };
        put(&store, keys::region(&region.into()), &freshness).await;
    }
    let cut_off = propose_plan(&store, &fleet, &drain(DrainKind::Server, "s0")).await;
    let failure = cut_off.expect_err("refused");
    expect_that!(failure.kind, eq(ErrorKind::RegionUnreachable));
    expect_that!(failure.message, contains_substring("region delta"));
    expect_that!(failure.message, contains_substring("60 s"));
    let reachable = propose_plan(&store, &fleet, &drain(DrainKind::Server, "s1")).await;
    expect_that!(reachable, ok(anything()));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn an_aborted_rollout_clears_its_canary() -> Result<()> {
    let store = platform().await;
    let plan = propose_plan(&store, &status(4), &rollout("v2"))
        .await
        .or_fail()?;
    confirm_plan(&store, &plan, "a").await.expect("accepted");
    abort(&store, &plan.row.id, NOW_MS).await.or_fail()?;
    let service: ServiceRow = row(&store, &keys::service(SERVICE)).or_fail()?;
    expect_that!(service.canary, eq(""));
    expect_that!(service.version, eq("v1"));
    expect_that!(store.rows("active-plan/"), is_empty());
    Ok(())
}

#[gtest]
#[tokio::test]
async fn plans_are_listed_newest_first_and_removed_when_old_and_finished() -> Result<()> {
    let store = platform().await;
    let old = propose_plan(&store, &status(4), &tenant(5.0))
        .await
        .or_fail()?;
    let running = propose_plan(&store, &status(4), &rollout("v2"))
        .await
        .or_fail()?;
    confirm_plan(&store, &running, "a").await.expect("accepted");
    let lines = list_plans(&store, 1, NOW_MS).await.or_fail()?;
    let newest = old.row.id.clone().max(running.row.id.clone());
    expect_that!(
        lines.iter().map(|line| line.id.clone()).collect::<Vec<_>>(),
        eq(&vec![newest])
    );
    expect_that!(remove_older(&store, NOW_MS, 100).await, ok(eq(&0)));
    expect_that!(remove_older(&store, NOW_MS + 1, 100).await, ok(eq(&1)));
    expect_that!(read_plan(&store, &old.row.id).await, err(anything()));
    expect_that!(read_plan(&store, &running.row.id).await, ok(anything()));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_planned_job_runs_only_after_its_confirmation() -> Result<()> {
    let store = platform().await;
    let mut state = JobState {
        job_id: "job-1".to_owned(),
        tenant: "yard".to_owned(),
        items_total: 5_000,
        ..JobState::default()
    };
    state.set_phase(JobPhase::JobPlanned);
    let planned = JobRow {
        state: Some(state),
        ..JobRow::default()
    };
    let key = keys::job(&"yard".into(), &"job-1".into());
    put(&store, key.clone(), &planned).await;
    let intent = Intent::BatchJob(BatchJob {
        tenant: "yard".to_owned(),
        job: "job-1".to_owned(),
    });
    let plan = propose_plan(&store, &status(4), &intent).await.or_fail()?;
    expect_that!(store.rows("active-job/"), is_empty());
    confirm_plan(&store, &plan, "a").await.expect("accepted");
    let job: JobRow = row(&store, &key).or_fail()?;
    expect_that!(job.approved, eq(true));
    expect_that!(store.rows("active-job/"), len(eq(1)));
    expect_that!(store.rows("split-job/"), len(eq(1)));
    let second_proposal = propose_plan(&store, &status(4), &intent).await;
    expect_that!(
        second_proposal.expect_err("refused").kind,
        eq(ErrorKind::Conflict)
    );
    Ok(())
}

#[gtest]
fn a_job_is_at_risk_when_less_capacity_makes_it_late() {
    let job = JobSummary {
        tenant: "yard".to_owned(),
        job: "job-1".to_owned(),
        phase: "in_progress".to_owned(),
        items: 100,
        settled: 50,
        deadline_unix_s: 1_000,
        expected_unix_s: 950,
        at_risk: false,
        plan: String::new(),
    };
    expect_that!(risk(&job, 900, 1.0), none());
    let at_risk_job = risk(&job, 900, 3.0).expect("at risk");
    expect_that!(
        at_risk_job.reason,
        contains_substring("50 of 100 items are left")
    );
    expect_that!(
        at_risk_job.reason,
        contains_substring("50 s after the deadline")
    );
    expect_that!(risk(&job, 900, f64::INFINITY), some(anything()));
}

#[gtest]
#[tokio::test]
async fn an_invalid_intent_is_refused_with_its_error_kind() -> Result<()> {
    let store = platform().await;
    let fleet = status(4);
    let undrain = Intent::Undrain(DrainTarget {
        kind: DrainKind::Server,
        name: "s1".to_owned(),
    });
    let cases = [
        (rollout("v1"), ErrorKind::Conflict),
        (drain(DrainKind::Server, "s99"), ErrorKind::NotFound),
        (undrain, ErrorKind::Conflict),
        (tenant(-1.0), ErrorKind::InvalidRequest),
    ];
    for (intent, kind) in cases {
        let failure = propose_plan(&store, &fleet, &intent)
            .await
            .expect_err("refused");
        expect_that!(failure.kind, eq(kind), "{intent:?}");
    }
    Ok(())
}

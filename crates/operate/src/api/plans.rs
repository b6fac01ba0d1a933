//! Handlers for plans.

use std::collections::BTreeSet;

use actix_web::web::{Bytes, Data, Json, Path};
use dappleyard_tables::decisions::{DecisionKind, Subject};
use dappleyard_wire::Failure;
use serde::de::DeserializeOwned;

use crate::api::OperateApi;
use crate::api::bodies::{ConfirmBody, ProposeBody, Refused, invalid};
use crate::describe::phase_name;
use crate::intent::Intent;
use crate::jobs::{JobSummary, read_job};
use crate::plans::abort::abort as abort_plan;
use crate::plans::body::PlanDocument;
use crate::plans::confirm::{Confirmation, confirm as confirm_plan, has_steps};
use crate::plans::propose::{ProposalInputs, propose as propose_plan};
use crate::plans::runner::{RunView, advance};
use crate::plans::store::{PlanSummary, StoredPlan, list_plans, read_plan};
use crate::record::record;
use crate::status::{FleetStatus, gather, local_status};

const MAX_PLANS: usize = 200;

/// `GET /admin/v1/plans`
pub async fn list(api: Data<OperateApi>) -> Result<Json<Vec<PlanSummary>>, Refused> {
    let now = api.tables.clock.unix_ms();
    let plans = list_plans(&*api.platform.tables, MAX_PLANS, now).await?;
    Ok(Json(plans))
}

/// `GET /admin/v1/plans/{id}`
pub async fn get(api: Data<OperateApi>, id: Path<String>) -> Result<Json<PlanDocument>, Refused> {
    let plan = read_plan(&*api.platform.tables, &id).await?;
    Ok(Json(plan.document()?))
}

/// `POST /admin/v1/plans`: stores a plan without executing it.
pub async fn propose(api: Data<OperateApi>, body: Bytes) -> Result<Json<PlanDocument>, Refused> {
    let body: ProposeBody = parse(&body)?;
    let (status, jobs) = planning_inputs(&api, &body.intent).await?;
    let inputs = ProposalInputs {
        settings: &api.settings,
        status: &status,
        jobs: &jobs,
        operator: &body.operator,
        unix_ms: api.tables.clock.unix_ms(),
    };
    let plan = propose_plan(&*api.platform.tables, &body.intent, &inputs).await?;
    record_plan(
        &api,
        &plan,
        &format!("{} asked for it", operator_label(&body.operator)),
    );
    Ok(Json(plan.document()?))
}

/// Fleet status and jobs needed to plan the intent. Peers are queried only for rollouts, drains and
/// batch jobs.
async fn planning_inputs(
    api: &OperateApi,
    intent: &Intent,
) -> Result<(FleetStatus, Vec<JobSummary>), Failure> {
    match intent {
        Intent::Rollout(_) | Intent::Drain(_) => Ok(api.status_and_jobs().await),
        Intent::BatchJob(job) => {
            let (status, mut jobs) = api.status_and_jobs().await;
            jobs.push(read_job(&api.jobs, &job.tenant, &job.job).await?);
            Ok((status, jobs))
        }
        _ => Ok((local_status(&api.tables), Vec::new())),
    }
}

/// `POST /admin/v1/plans/{id}/confirm`
pub async fn confirm(
    api: Data<OperateApi>,
    id: Path<String>,
    body: Bytes,
) -> Result<Json<PlanDocument>, Refused> {
    let body: ConfirmBody = if body.is_empty() {
        ConfirmBody::default()
    } else {
        parse(&body)?
    };
    let token = match body.token.as_str() {
        "" => uuid::Uuid::new_v4().simple().to_string(),
        token => token.to_owned(),
    };
    let confirmation = Confirmation {
        plan: id.into_inner(),
        token,
        unix_ms: api.tables.clock.unix_ms(),
        region_fresh_ms: api.settings.region_fresh_ms,
    };
    let plan = match confirm_plan(&*api.platform.tables, &confirmation).await {
        Ok(plan) => plan,
        Err(refusal) => {
            record(
                &api.tables,
                DecisionKind::PlanStep,
                &refusal.failure.message,
            )
            .about(Subject::Plan(confirmation.plan))
            .outcome("the confirmation was refused");
            return Err(refusal.into());
        }
    };
    record_plan(
        &api,
        &plan,
        "it was confirmed and nothing that it rests on had changed",
    );
    Ok(Json(first_step(&api, plan).await?.document()?))
}

/// Executes the first step at once. On failure the plan runner retries it.
async fn first_step(api: &OperateApi, plan: StoredPlan) -> Result<StoredPlan, Refused> {
    if !has_steps(&plan.intent()?) {
        return Ok(plan);
    }
    let status = gather(&api.tables, &api.peers).await;
    let view = RunView {
        status: &status,
        idle: &BTreeSet::new(),
        settings: &api.settings,
        unix_ms: api.tables.clock.unix_ms(),
    };
    let tables = &*api.platform.tables;
    let _ = advance(tables, &plan.row.id, &view).await;
    Ok(read_plan(tables, &plan.row.id).await.unwrap_or(plan))
}

/// `POST /admin/v1/plans/{id}/abort`
pub async fn abort(api: Data<OperateApi>, id: Path<String>) -> Result<Json<PlanDocument>, Refused> {
    let now = api.tables.clock.unix_ms();
    let plan = abort_plan(&*api.platform.tables, &id, now).await?;
    record_plan(&api, &plan, "an operator aborted it");
    Ok(Json(plan.document()?))
}

fn operator_label(operator: &str) -> &str {
    match operator {
        "" => "an operator without a name",
        name => name,
    }
}

/// Records a state change of a plan.
fn record_plan(api: &OperateApi, plan: &StoredPlan, cause: &str) {
    let summary = plan.body().map(|body| body.summary).unwrap_or_default();
    record(&api.tables, DecisionKind::PlanStep, cause)
        .about(Subject::Plan(plan.row.id.clone()))
        .input("plan", summary)
        .input("rows it rests on", plan.row.basis.len())
        .outcome(format!("the plan is {}", phase_name(plan.row.phase())));
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    serde_json::from_slice(body).map_err(|error| {
        invalid(format!(
            "the body is not as expected: {error}; see docs/operate/plans.md for the intents"
        ))
    })
}

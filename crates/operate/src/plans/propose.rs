//! Computes and stores a plan for an intent.

use std::collections::BTreeMap;

use dappleyard_decide::disruption::Budget;
use dappleyard_settings::OperateSettings;
use dappleyard_store::{Expect, TableStore, Transaction};
use dappleyard_wire::Failure;
use dappleyard_wire::ids::PlanId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{PlanPhase, PlanRow, ServiceRow};
use uuid::Uuid;

use crate::describe::{describe_key, describe_row};
use crate::intent::Intent;
use crate::jobs::JobSummary;
use crate::plans::body::{BasisDescription, PlanBody, PlannedWrite, RowChange};
use crate::plans::changes::{basis_keys, services, writes};
use crate::plans::effects::{PlanningContext, estimate_effects};
use crate::plans::store::{StoredPlan, encoded, id_prefix_at, read_plan};
use crate::regions;
use crate::snapshot::{Snapshot, store_failure};
use crate::status::FleetStatus;

/// Inputs of a plan besides the rows that it depends on.
#[derive(Debug, Clone, Copy)]
pub struct ProposalInputs<'a> {
    pub settings: &'a OperateSettings,
    pub status: &'a FleetStatus,
    /// Jobs that need capacity, and the job that the plan is for.
    pub jobs: &'a [JobSummary],
    /// Name given by the operator.
    pub operator: &'a str,
    pub unix_ms: u64,
}

/// Creates a plan for an intent and stores it. Writes no other row.
pub async fn propose(
    tables: &dyn TableStore,
    intent: &Intent,
    inputs: &ProposalInputs<'_>,
) -> Result<StoredPlan, Failure> {
    let ProposalInputs {
        settings,
        status,
        jobs,
        unix_ms,
        ..
    } = *inputs;
    let affected_regions = regions::affected_regions(intent, status);
    regions::check_fresh(tables, &affected_regions, unix_ms, settings.region_fresh_ms).await?;
    let snapshot = Snapshot::read(tables, basis_keys(intent, status)).await?;
    let writes = writes(intent, &snapshot, status)?;
    let context = PlanningContext {
        status,
        budgets: budgets(intent, status, &snapshot)?,
        jobs,
        settings,
        now_unix_s: unix_ms / 1000,
    };
    let effects = estimate_effects(intent, &context);
    let body = PlanBody {
        summary: intent.summary(),
        changes: row_changes(&writes, &snapshot)?,
        steps: effects.steps,
        deadlines_at_risk: effects.deadlines,
        requests_affected: effects.requests,
        expected_ms: effects.expected_ms,
        warnings: effects.warnings,
        basis: describe_basis(&snapshot),
        regions: affected_regions,
        services: services(intent, status),
        writes,
    };
    store(tables, plan_row(intent, &body, &snapshot, inputs)).await
}

fn budgets(
    intent: &Intent,
    status: &FleetStatus,
    snapshot: &Snapshot,
) -> Result<BTreeMap<String, Budget>, Failure> {
    let mut budgets = BTreeMap::new();
    for service in services(intent, status) {
        if let Some(row) = snapshot.message::<ServiceRow>(&keys::service(&service))? {
            let budget = Budget::of_row(row.max_unavailable_zone, row.max_unavailable_total);
            budgets.insert(service, budget);
        }
    }
    Ok(budgets)
}

fn row_changes(writes: &[PlannedWrite], snapshot: &Snapshot) -> Result<Vec<RowChange>, Failure> {
    let mut changes = Vec::new();
    for write in writes {
        changes.push(RowChange {
            key: write.key.clone(),
            before: describe_row(&write.key, snapshot.value(&write.key)),
            after: describe_row(&write.key, write.bytes()?.as_deref()),
        });
    }
    Ok(changes)
}

fn describe_basis(snapshot: &Snapshot) -> Vec<BasisDescription> {
    let basis = snapshot.basis();
    basis
        .into_iter()
        .map(|row| BasisDescription {
            words: format!(
                "{}: {}",
                describe_key(&row.key),
                describe_row(&row.key, snapshot.value(&row.key))
            ),
            key: row.key,
            revision: row.revision,
        })
        .collect()
}

fn plan_row(
    intent: &Intent,
    body: &PlanBody,
    snapshot: &Snapshot,
    inputs: &ProposalInputs<'_>,
) -> PlanRow {
    let mut row = PlanRow {
        id: new_id(inputs.unix_ms),
        kind: intent.kind().to_owned(),
        intent_json: serde_json::to_string(intent).unwrap_or_default(),
        body_json: serde_json::to_string(body).unwrap_or_default(),
        basis: snapshot.basis(),
        created_unix_ms: inputs.unix_ms,
        created_by: inputs.operator.to_owned(),
        message: "waits for a confirmation".to_owned(),
        changed_unix_ms: inputs.unix_ms,
        ..PlanRow::default()
    };
    row.set_phase(PlanPhase::PlanProposed);
    row
}

/// Creates an id that sorts by creation time, which listing and cleanup rely on.
fn new_id(unix_ms: u64) -> String {
    let random = Uuid::new_v4().simple().to_string();
    format!("{}{}", id_prefix_at(unix_ms), &random[..4])
}

/// Creates the row. After any error the row is read back, and returned if it exists.
async fn store(tables: &dyn TableStore, row: PlanRow) -> Result<StoredPlan, Failure> {
    let key = keys::plan(&PlanId::from(&row.id));
    let transaction = Transaction::default()
        .expect(key.clone(), Expect::Absent)
        .put(key, encoded(&row));
    match tables.transact(transaction).await {
        Ok(revision) => Ok(StoredPlan { row, revision }),
        Err(error) => read_plan(tables, &row.id)
            .await
            .map_err(|_| store_failure(&error)),
    }
}

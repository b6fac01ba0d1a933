//! From an intent to a stored plan.

use std::collections::BTreeMap;

use dappleyard_decide::disruption::Budget;
use dappleyard_settings::OperateSettings;
use dappleyard_store::{Expect, TableStore, Transaction};
use dappleyard_wire::Failure;
use dappleyard_wire::ids::PlanId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{PlanPhase, PlanRow, ServiceRow};
use uuid::Uuid;

use crate::describe::{key_words, row_words};
use crate::intent::Intent;
use crate::jobs::JobLine;
use crate::plans::body::{BasisWords, PlanBody, PlannedWrite, RowChange};
use crate::plans::changes::{basis_keys, services, writes};
use crate::plans::effects::{Outlook, foresee};
use crate::plans::store::{StoredPlan, encoded, id_of_time, read_plan};
use crate::regions;
use crate::snapshot::{Snapshot, store_failure};
use crate::status::FleetStatus;

/// What a plan is made from besides the rows that it rests on.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings<'a> {
    /// Settings.
    pub settings: &'a OperateSettings,
    /// The fleet as gathered.
    pub status: &'a FleetStatus,
    /// Jobs that need capacity, and the one that the plan is for.
    pub jobs: &'a [JobLine],
    /// Operator's name, as given.
    pub operator: &'a str,
    /// Wall-clock time, milliseconds since 1970.
    pub unix_ms: u64,
}

/// Makes a plan for an intent and stores it. Nothing else changes.
pub async fn propose(
    tables: &dyn TableStore,
    intent: &Intent,
    surroundings: &Surroundings<'_>,
) -> Result<StoredPlan, Failure> {
    let Surroundings {
        settings,
        status,
        jobs,
        unix_ms,
        ..
    } = *surroundings;
    let touched = regions::touched(intent, status);
    regions::check_fresh(tables, &touched, unix_ms, settings.region_fresh_ms).await?;
    let snapshot = Snapshot::read(tables, basis_keys(intent, status)).await?;
    let writes = writes(intent, &snapshot, status)?;
    let outlook = Outlook {
        status,
        budgets: budgets(intent, status, &snapshot)?,
        jobs,
        settings,
        now_unix_s: unix_ms / 1000,
    };
    let effects = foresee(intent, &outlook);
    let body = PlanBody {
        summary: intent.summary(),
        changes: row_changes(&writes, &snapshot)?,
        steps: effects.steps,
        deadlines_at_risk: effects.deadlines,
        requests_affected: effects.requests,
        expected_ms: effects.expected_ms,
        warnings: effects.warnings,
        basis: basis_words(&snapshot),
        regions: touched,
        services: services(intent, status),
        writes,
    };
    store(tables, plan_row(intent, &body, &snapshot, surroundings)).await
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
            before: row_words(&write.key, snapshot.value(&write.key)),
            after: row_words(&write.key, write.bytes()?.as_deref()),
        });
    }
    Ok(changes)
}

fn basis_words(snapshot: &Snapshot) -> Vec<BasisWords> {
    let basis = snapshot.basis();
    basis
        .into_iter()
        .map(|row| BasisWords {
            words: format!(
                "{}: {}",
                key_words(&row.key),
                row_words(&row.key, snapshot.value(&row.key))
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
    surroundings: &Surroundings<'_>,
) -> PlanRow {
    let mut row = PlanRow {
        id: new_id(surroundings.unix_ms),
        kind: intent.kind().to_owned(),
        intent_json: serde_json::to_string(intent).unwrap_or_default(),
        body_json: serde_json::to_string(body).unwrap_or_default(),
        basis: snapshot.basis(),
        created_unix_ms: surroundings.unix_ms,
        created_by: surroundings.operator.to_owned(),
        message: "waits for a confirmation".to_owned(),
        changed_unix_ms: surroundings.unix_ms,
        ..PlanRow::default()
    };
    row.set_phase(PlanPhase::PlanProposed);
    row
}

/// An id that sorts by time: plans are listed and forgotten in the order in which they were made.
fn new_id(unix_ms: u64) -> String {
    let random = Uuid::new_v4().simple().to_string();
    format!("{}{}", id_of_time(unix_ms), &random[..4])
}

/// Creates the row. A lost answer is resolved by reading back: nobody else knows the id.
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

//! Reads, lists and removes plan rows in the table store.

use dappleyard_store::{Expect, Row, TableStore, Transaction};
use dappleyard_wire::ids::PlanId;
use dappleyard_wire::keys::{self, ACTIVE_PLAN_PREFIX, PLAN_PREFIX};
use dappleyard_wire::messages::{PlanPhase, PlanRow};
use dappleyard_wire::{ErrorKind, Failure};
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::describe::phase_name;
use crate::intent::Intent;
use crate::plans::body::{PlanBody, PlanDocument, Progress};
use crate::snapshot::{decode, store_failure};

/// Limit on running plans read from the index.
pub const MAX_RUNNING_PLANS: usize = 500;

/// A plan row with its revision.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredPlan {
    pub row: PlanRow,
    pub revision: u64,
}

/// Entry of a plan list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanSummary {
    pub id: String,
    pub kind: String,
    pub phase: String,
    pub summary: String,
    /// Description of the last state change.
    pub message: String,
    pub created_unix_ms: u64,
}

impl StoredPlan {
    fn from_row(row: &Row) -> Result<StoredPlan, Failure> {
        Ok(StoredPlan {
            row: decode(&row.key, &row.value)?,
            revision: row.revision,
        })
    }

    /// Decodes the requested change.
    pub fn intent(&self) -> Result<Intent, Failure> {
        serde_json::from_str(&self.row.intent_json)
            .map_err(|error| unreadable(&self.row.id, &error))
    }

    /// Decodes the plan body.
    pub fn body(&self) -> Result<PlanBody, Failure> {
        serde_json::from_str(&self.row.body_json).map_err(|error| unreadable(&self.row.id, &error))
    }

    /// Decodes the progress; the default if there is none.
    pub fn progress(&self) -> Progress {
        serde_json::from_str(&self.row.progress_json).unwrap_or_default()
    }

    /// The plan as returned by the admin API.
    pub fn document(&self) -> Result<PlanDocument, Failure> {
        Ok(PlanDocument {
            id: self.row.id.clone(),
            kind: self.row.kind.clone(),
            phase: phase_name(self.row.phase()).to_owned(),
            intent: self.intent()?,
            body: self.body()?,
            progress: self.progress(),
            message: self.row.message.clone(),
            created_by: self.row.created_by.clone(),
            created_unix_ms: self.row.created_unix_ms,
            changed_unix_ms: self.row.changed_unix_ms,
        })
    }

    pub fn line(&self) -> PlanSummary {
        PlanSummary {
            id: self.row.id.clone(),
            kind: self.row.kind.clone(),
            phase: phase_name(self.row.phase()).to_owned(),
            summary: self.body().map(|body| body.summary).unwrap_or_default(),
            message: self.row.message.clone(),
            created_unix_ms: self.row.created_unix_ms,
        }
    }

    /// Copy of the row with another phase and message.
    pub fn with_phase(&self, phase: PlanPhase, message: &str, unix_ms: u64) -> PlanRow {
        let mut row = self.row.clone();
        row.set_phase(phase);
        row.message = message.to_owned();
        row.changed_unix_ms = unix_ms;
        row
    }
}

fn unreadable(id: &str, error: &serde_json::Error) -> Failure {
    Failure::not_run(
        ErrorKind::Internal,
        format!("plan {id} was written by another version and cannot be read: {error}"),
    )
}

pub async fn read_plan(tables: &dyn TableStore, id: &str) -> Result<StoredPlan, Failure> {
    let key = keys::plan(&PlanId::from(id));
    match tables.get(&key).await {
        Ok(Some(row)) => StoredPlan::from_row(&row),
        Ok(None) => Err(Failure::not_run(
            ErrorKind::NotFound,
            format!("there is no plan {id}; `dappleyard ctl get plans` lists them"),
        )),
        Err(error) => Err(store_failure(&error)),
    }
}

/// Prefix of the ids of plans created at a Unix time in milliseconds.
pub fn id_prefix_at(unix_ms: u64) -> String {
    format!("plan-{unix_ms:011x}")
}

const PAGE_SIZE: usize = 500;
const MAX_PAGES: usize = 20;
/// Ages searched in turn until a list has enough plans.
const LIST_WINDOWS_MS: [u64; 4] = [600_000, 3_600_000, 86_400_000, u64::MAX];

/// Lists up to `limit` plans, newest first. Ids sort by time, so only recent rows are read.
pub async fn list_plans(
    tables: &dyn TableStore,
    limit: usize,
    now_unix_ms: u64,
) -> Result<Vec<PlanSummary>, Failure> {
    let mut plans = Vec::new();
    for age_ms in LIST_WINDOWS_MS {
        plans = plans_since(tables, now_unix_ms.saturating_sub(age_ms)).await?;
        if plans.len() >= limit {
            break;
        }
    }
    plans.reverse();
    plans.truncate(limit);
    Ok(plans)
}

async fn plans_since(tables: &dyn TableStore, unix_ms: u64) -> Result<Vec<PlanSummary>, Failure> {
    let mut plans = Vec::new();
    let mut after = format!("{PLAN_PREFIX}{}", id_prefix_at(unix_ms));
    for _ in 0..MAX_PAGES {
        let page = tables
            .range(PLAN_PREFIX, &after, PAGE_SIZE)
            .await
            .map_err(|error| store_failure(&error))?;
        for row in &page {
            plans.push(StoredPlan::from_row(row)?.line());
        }
        match page.last() {
            Some(last) if page.len() == PAGE_SIZE => after.clone_from(&last.key),
            _ => break,
        }
    }
    Ok(plans)
}

/// Removes plans that are not running and last changed before `before_unix_ms`. Considers the
/// `limit` oldest plans; removes none of them if one changes concurrently.
pub async fn remove_older(
    tables: &dyn TableStore,
    before_unix_ms: u64,
    limit: usize,
) -> Result<usize, Failure> {
    let rows = tables
        .range(PLAN_PREFIX, "", limit)
        .await
        .map_err(|error| store_failure(&error))?;
    let mut transaction = Transaction::default();
    let mut removed = 0;
    for row in &rows {
        let plan = StoredPlan::from_row(row)?;
        let runs = matches!(
            plan.row.phase(),
            PlanPhase::PlanConfirmed | PlanPhase::PlanRunning
        );
        if !runs && plan.row.changed_unix_ms < before_unix_ms {
            transaction = transaction
                .expect(row.key.clone(), Expect::Revision(row.revision))
                .delete(row.key.clone());
            removed += 1;
        }
    }
    if removed > 0 {
        let answer = tables.transact(transaction).await;
        answer.map_err(|error| store_failure(&error))?;
    }
    Ok(removed)
}

pub async fn running_ids(tables: &dyn TableStore) -> Result<Vec<String>, Failure> {
    let rows = tables
        .range(ACTIVE_PLAN_PREFIX, "", MAX_RUNNING_PLANS)
        .await
        .map_err(|error| store_failure(&error))?;
    Ok(rows
        .iter()
        .filter_map(|row| row.key.strip_prefix(ACTIVE_PLAN_PREFIX))
        .map(str::to_owned)
        .collect())
}

pub async fn running_plans(tables: &dyn TableStore) -> Result<Vec<PlanSummary>, Failure> {
    let mut lines = Vec::new();
    for id in running_ids(tables).await? {
        lines.push(read_plan(tables, &id).await?.line());
    }
    Ok(lines)
}

pub fn encoded(row: &impl Message) -> Vec<u8> {
    row.encode_to_vec()
}

//! Plan rows in the table service.

use dappleyard_platform::{Row, TableStore};
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

/// Plans that may run at once.
pub const MOST_RUNNING: usize = 500;

/// A plan as read, with the revision of its row.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredPlan {
    /// The row.
    pub row: PlanRow,
    /// Its revision.
    pub revision: u64,
}

/// One plan on one line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanLine {
    /// Plan id.
    pub id: String,
    /// Kind of its intent.
    pub kind: String,
    /// Phase.
    pub phase: String,
    /// The plan in one phrase.
    pub summary: String,
    /// What happened to it last.
    pub message: String,
    /// When it was made, milliseconds since 1970.
    pub created_unix_ms: u64,
}

impl StoredPlan {
    fn of(row: &Row) -> Result<StoredPlan, Failure> {
        Ok(StoredPlan {
            row: decode(&row.key, &row.value)?,
            revision: row.revision,
        })
    }

    /// What the operator asked for.
    pub fn intent(&self) -> Result<Intent, Failure> {
        serde_json::from_str(&self.row.intent_json)
            .map_err(|error| unreadable(&self.row.id, &error))
    }

    /// What the plan states.
    pub fn body(&self) -> Result<PlanBody, Failure> {
        serde_json::from_str(&self.row.body_json).map_err(|error| unreadable(&self.row.id, &error))
    }

    /// How far it has come.
    pub fn progress(&self) -> Progress {
        serde_json::from_str(&self.row.progress_json).unwrap_or_default()
    }

    /// The plan as operators get it.
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

    /// The plan on one line.
    pub fn line(&self) -> PlanLine {
        PlanLine {
            id: self.row.id.clone(),
            kind: self.row.kind.clone(),
            phase: phase_name(self.row.phase()).to_owned(),
            summary: self.body().map(|body| body.summary).unwrap_or_default(),
            message: self.row.message.clone(),
            created_unix_ms: self.row.created_unix_ms,
        }
    }

    /// The row in another phase, with a message for operators.
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

/// Reads a plan.
pub async fn read_plan(tables: &dyn TableStore, id: &str) -> Result<StoredPlan, Failure> {
    let key = keys::plan(&PlanId::from(id));
    match tables.get(&key).await {
        Ok(Some(row)) => StoredPlan::of(&row),
        Ok(None) => Err(Failure::not_run(
            ErrorKind::NotFound,
            format!("there is no plan {id}; `dappleyard ctl get plans` lists them"),
        )),
        Err(error) => Err(store_failure(&error)),
    }
}

/// Plans, newest first, at most `limit`.
pub async fn list_plans(tables: &dyn TableStore, limit: usize) -> Result<Vec<PlanLine>, Failure> {
    const PAGE: usize = 500;
    const MOST_PAGES: usize = 20;
    let mut plans = Vec::new();
    let mut after = String::new();
    for _ in 0..MOST_PAGES {
        let page = tables
            .range(PLAN_PREFIX, &after, PAGE)
            .await
            .map_err(|error| store_failure(&error))?;
        for row in &page {
            plans.push(StoredPlan::of(row)?.line());
        }
        match page.last() {
            Some(last) if page.len() == PAGE => after.clone_from(&last.key),
            _ => break,
        }
    }
    plans.sort_by_key(|plan| std::cmp::Reverse(plan.created_unix_ms));
    plans.truncate(limit);
    Ok(plans)
}

/// Ids of the plans that run.
pub async fn running_ids(tables: &dyn TableStore) -> Result<Vec<String>, Failure> {
    let rows = tables
        .range(ACTIVE_PLAN_PREFIX, "", MOST_RUNNING)
        .await
        .map_err(|error| store_failure(&error))?;
    Ok(rows
        .iter()
        .filter_map(|row| row.key.strip_prefix(ACTIVE_PLAN_PREFIX))
        .map(str::to_owned)
        .collect())
}

/// The plans that run.
pub async fn running_plans(tables: &dyn TableStore) -> Result<Vec<PlanLine>, Failure> {
    let mut lines = Vec::new();
    for id in running_ids(tables).await? {
        lines.push(read_plan(tables, &id).await?.line());
    }
    Ok(lines)
}

/// A row's bytes.
pub fn encoded(row: &impl Message) -> Vec<u8> {
    row.encode_to_vec()
}

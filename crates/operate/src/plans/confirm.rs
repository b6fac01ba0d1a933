//! Confirms a plan in one transaction that compares every row the plan depends on.
//!
//! Of two conflicting plans exactly one is accepted; the other is refused with the rows that
//! changed. If the response to the transaction is lost, the plan row is read again: it contains the
//! token of the accepted confirmation.

use std::time::Duration;

use dappleyard_store::{Expect, StoreError, TableStore, Transaction};
use dappleyard_wire::ids::PlanId;
use dappleyard_wire::keys::{self, CONFIGURATION_HEAD, CONFIGURATION_PREFIX};
use dappleyard_wire::messages::{ActivePlanRow, PlanGuardRow, PlanPhase, PlanRow};
use dappleyard_wire::{ErrorKind, Failure};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::describe::{describe_key, describe_row, phase_name};
use crate::head::ConfigurationHead;
use crate::intent::Intent;
use crate::plans::body::PlanBody;
use crate::plans::store::{StoredPlan, encoded, read_plan};
use crate::regions;
use crate::snapshot::store_failure;

/// Retries when other configuration changes commit first.
const MAX_ATTEMPTS: u32 = 20;
/// Upper bound of the random delay between two attempts.
const MAX_RETRY_DELAY_MS: u64 = 60;

/// A row that changed after the plan was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedRow {
    pub key: String,
    /// Description of the key.
    pub what: String,
    /// Description of the row when the plan was made.
    pub before: String,
    /// Description of the current row.
    pub now: String,
}

/// A refused confirmation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    pub failure: Failure,
    /// Rows that changed after the plan was made, if that is the cause.
    pub changed: Vec<ChangedRow>,
}

impl From<Failure> for Refusal {
    fn from(failure: Failure) -> Self {
        Refusal {
            failure,
            changed: Vec::new(),
        }
    }
}

/// A request to confirm a plan.
#[derive(Debug, Clone)]
pub struct Confirmation {
    pub plan: String,
    /// Idempotency token: a repeat with the same token gets the same response.
    pub token: String,
    pub unix_ms: u64,
    /// Age of a region's freshness row above which the region counts as unreachable.
    pub region_fresh_ms: u64,
}

enum Attempt {
    Accepted(StoredPlan),
    Retry(Failure),
    Refused(Refusal),
}

pub async fn confirm(
    tables: &dyn TableStore,
    confirmation: &Confirmation,
) -> Result<StoredPlan, Refusal> {
    let mut last_failure = Failure::not_run(
        ErrorKind::Conflict,
        "configuration keeps changing; try again",
    );
    for _ in 0..MAX_ATTEMPTS {
        match attempt(tables, confirmation).await {
            Attempt::Accepted(plan) => return Ok(plan),
            Attempt::Refused(refusal) => {
                return Err(Refusal {
                    failure: refusal.failure.after(last_failure.ran),
                    ..refusal
                });
            }
            Attempt::Retry(failure) => last_failure = failure.after(last_failure.ran),
        }
        random_retry_delay().await;
    }
    Err(last_failure.into())
}

/// Sleeps for a random delay so that competing writers do not conflict again at once.
pub async fn random_retry_delay() {
    let delay_ms = rand::rng().random_range(1..=MAX_RETRY_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}

async fn attempt(tables: &dyn TableStore, confirmation: &Confirmation) -> Attempt {
    match prepare(tables, confirmation).await {
        Ok(Prepared::AlreadyConfirmed(plan)) => Attempt::Accepted(plan),
        Ok(Prepared::Transaction(plan, next, transaction)) => {
            let answer = tables.transact(transaction).await;
            interpret_result(tables, &plan, next, answer).await
        }
        Err(refusal) => Attempt::Refused(refusal),
    }
}

enum Prepared {
    AlreadyConfirmed(StoredPlan),
    Transaction(StoredPlan, PlanRow, Transaction),
}

async fn prepare(
    tables: &dyn TableStore,
    confirmation: &Confirmation,
) -> Result<Prepared, Refusal> {
    let plan = read_plan(tables, &confirmation.plan).await?;
    if !confirmation.token.is_empty() && plan.row.confirmation == confirmation.token {
        return Ok(Prepared::AlreadyConfirmed(plan));
    }
    if plan.row.phase() != PlanPhase::PlanProposed {
        return Err(not_proposed(&plan).into());
    }
    let body = plan.body()?;
    regions::check_fresh(
        tables,
        &body.regions,
        confirmation.unix_ms,
        confirmation.region_fresh_ms,
    )
    .await?;
    let intent = plan.intent()?;
    let next = confirmed_row(&plan, &intent, confirmation);
    let transaction = transaction(tables, &plan, &intent, &body, &next).await?;
    Ok(Prepared::Transaction(plan, next, transaction))
}

fn not_proposed(plan: &StoredPlan) -> Failure {
    Failure::not_run(
        ErrorKind::Conflict,
        format!(
            "plan {} is {} ({}) and can no longer be confirmed; ask for a new plan",
            plan.row.id,
            phase_name(plan.row.phase()),
            plan.row.message
        ),
    )
}

/// Whether the plan has steps to execute after the confirmation.
pub fn has_steps(intent: &Intent) -> bool {
    matches!(intent, Intent::Rollout(_) | Intent::Drain(_))
}

fn confirmed_row(plan: &StoredPlan, intent: &Intent, confirmation: &Confirmation) -> PlanRow {
    let (phase, message) = if has_steps(intent) {
        (PlanPhase::PlanRunning, "confirmed; its steps begin")
    } else {
        (PlanPhase::PlanDone, "confirmed and written")
    };
    let mut row = plan.with_phase(phase, message, confirmation.unix_ms);
    row.confirmation.clone_from(&confirmation.token);
    row
}

async fn transaction(
    tables: &dyn TableStore,
    plan: &StoredPlan,
    intent: &Intent,
    body: &PlanBody,
    next: &PlanRow,
) -> Result<Transaction, Failure> {
    let id = PlanId::from(&plan.row.id);
    let mut transaction = Transaction::default()
        .expect(keys::plan(&id), Expect::Revision(plan.revision))
        .put(keys::plan(&id), encoded(next));
    for basis in &plan.row.basis {
        let expect = match basis.revision {
            0 => Expect::Absent,
            revision => Expect::Revision(revision),
        };
        transaction = transaction.expect(basis.key.clone(), expect);
    }
    let guard = encoded(&PlanGuardRow {
        plan_id: plan.row.id.clone(),
        summary: body.summary.clone(),
        confirmed_unix_ms: next.changed_unix_ms,
    });
    for basis in plan.row.basis.iter().filter(|basis| is_guard(&basis.key)) {
        transaction = transaction.put(basis.key.clone(), guard.clone());
    }
    for write in &body.writes {
        transaction = write.add_to(transaction)?;
    }
    if has_steps(intent) {
        let index = ActivePlanRow {
            plan_id: plan.row.id.clone(),
        };
        transaction = transaction.put(keys::active_plan(&id), encoded(&index));
    }
    let changes_configuration = body
        .writes
        .iter()
        .any(|write| write.key.starts_with(CONFIGURATION_PREFIX));
    if changes_configuration {
        let head = ConfigurationHead::read(tables)
            .await
            .map_err(|error| store_failure(&error))?;
        transaction = head.chain(transaction);
    }
    Ok(transaction)
}

fn is_guard(key: &str) -> bool {
    key.starts_with("plan-guard/")
}

async fn interpret_result(
    tables: &dyn TableStore,
    plan: &StoredPlan,
    next: PlanRow,
    answer: Result<u64, StoreError>,
) -> Attempt {
    let plan_key = keys::plan(&PlanId::from(&plan.row.id));
    match answer {
        Ok(revision) => Attempt::Accepted(StoredPlan {
            row: next,
            revision,
        }),
        Err(StoreError::Conflict { key, .. }) if key == CONFIGURATION_HEAD || key == plan_key => {
            Attempt::Retry(Failure::not_run(
                ErrorKind::Conflict,
                "other configuration changes keep coming first; confirm again",
            ))
        }
        Err(StoreError::Conflict { .. }) => {
            close_overtaken(tables, plan, next.changed_unix_ms).await
        }
        // The next attempt reads the plan row, which contains the token if the change took effect.
        Err(error @ (StoreError::Ambiguous { .. } | StoreError::RateLimited { .. })) => {
            Attempt::Retry(store_failure(&error))
        }
        Err(error) => Attempt::Refused(store_failure(&error).into()),
    }
}

/// Finds the rows that changed since the plan was made and marks the plan as overtaken.
async fn close_overtaken(tables: &dyn TableStore, plan: &StoredPlan, unix_ms: u64) -> Attempt {
    let changed = match changed_rows(tables, plan).await {
        Ok(changed) => changed,
        Err(failure) => return Attempt::Refused(failure.into()),
    };
    if changed.is_empty() {
        return Attempt::Retry(Failure::not_run(
            ErrorKind::Conflict,
            "a row changed and changed back; confirm again",
        ));
    }
    let words: Vec<String> = changed
        .iter()
        .map(|row| {
            format!(
                "{} was \"{}\" and is now \"{}\"",
                row.what, row.before, row.now
            )
        })
        .collect();
    let message = format!("overtaken: {}", words.join("; "));
    let next = plan.with_phase(PlanPhase::PlanOvertaken, &message, unix_ms);
    let key = keys::plan(&PlanId::from(&plan.row.id));
    let close = Transaction::default()
        .expect(key.clone(), Expect::Revision(plan.revision))
        .put(key, encoded(&next));
    // Best effort: the plan can no longer be confirmed even if this write fails.
    let _ = tables.transact(close).await;
    let failure = Failure::not_run(
        ErrorKind::Conflict,
        format!("plan {} was {message}; ask for a new plan", plan.row.id),
    );
    Attempt::Refused(Refusal { failure, changed })
}

async fn changed_rows(
    tables: &dyn TableStore,
    plan: &StoredPlan,
) -> Result<Vec<ChangedRow>, Failure> {
    let body = plan.body()?;
    let mut changed = Vec::new();
    for basis in &plan.row.basis {
        let row = tables
            .get(&basis.key)
            .await
            .map_err(|error| store_failure(&error))?;
        if row.as_ref().map_or(0, |row| row.revision) == basis.revision {
            continue;
        }
        let what = describe_key(&basis.key);
        let known = body.basis.iter().find(|words| words.key == basis.key);
        let before = known.map_or_else(String::new, |words| words.words.clone());
        changed.push(ChangedRow {
            key: basis.key.clone(),
            before: before
                .strip_prefix(&format!("{what}: "))
                .unwrap_or(&before)
                .to_owned(),
            now: describe_row(&basis.key, row.as_ref().map(|row| row.value.as_ref())),
            what,
        });
    }
    Ok(changed)
}

//! Aborts plans: closes a proposed plan, stops a running one, and reverts a rollout that is still
//! in its canary stage.

use dappleyard_store::{Expect, StoreError, TableStore, Transaction};
use dappleyard_wire::ids::PlanId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{PlanPhase, ServiceRow};
use dappleyard_wire::{ErrorKind, Failure};

use crate::describe::phase_name;
use crate::head::ConfigurationHead;
use crate::intent::{Intent, Rollout};
use crate::plans::confirm::random_retry_delay;
use crate::plans::store::{StoredPlan, encoded, read_plan};
use crate::snapshot::{Snapshot, store_failure};

/// Retries when the plan row changes between read and write.
const MAX_ATTEMPTS: u32 = 20;

/// Aborts a plan. Aborting an aborted plan does nothing.
pub async fn abort(tables: &dyn TableStore, id: &str, unix_ms: u64) -> Result<StoredPlan, Failure> {
    let mut last_failure =
        Failure::not_run(ErrorKind::Conflict, "the plan keeps moving; abort again");
    for _ in 0..MAX_ATTEMPTS {
        let plan = read_plan(tables, id).await?;
        match plan.row.phase() {
            PlanPhase::PlanAborted => return Ok(plan),
            PlanPhase::PlanProposed | PlanPhase::PlanConfirmed | PlanPhase::PlanRunning => {}
            phase => return Err(not_abortable(id, phase)),
        }
        let (transaction, next) = abort_transaction(tables, &plan, unix_ms).await?;
        match tables.transact(transaction).await {
            Ok(revision) => {
                return Ok(StoredPlan {
                    row: next,
                    revision,
                });
            }
            Err(StoreError::Unavailable { reason }) => {
                return Err(
                    store_failure(&StoreError::Unavailable { reason }).after(last_failure.ran)
                );
            }
            Err(error) => last_failure = store_failure(&error).after(last_failure.ran),
        }
        random_retry_delay().await;
    }
    Err(last_failure)
}

fn not_abortable(id: &str, phase: PlanPhase) -> Failure {
    Failure::not_run(
        ErrorKind::Conflict,
        format!("plan {id} is {} and cannot be aborted", phase_name(phase)),
    )
}

async fn abort_transaction(
    tables: &dyn TableStore,
    plan: &StoredPlan,
    unix_ms: u64,
) -> Result<(Transaction, dappleyard_wire::messages::PlanRow), Failure> {
    let id = PlanId::from(&plan.row.id);
    let mut transaction = Transaction::default()
        .expect(keys::plan(&id), Expect::Revision(plan.revision))
        .delete(keys::active_plan(&id));
    let running = plan.row.phase() != PlanPhase::PlanProposed;
    let message = match plan.intent()? {
        Intent::Rollout(rollout) if running => {
            let (next, message) = remove_canary(tables, transaction, &rollout).await?;
            transaction = next;
            message
        }
        Intent::Drain(target) if running => format!(
            "aborted; servers that are out stay out: `dappleyard ctl plan undrain {} {}` takes them back",
            target.kind.name(),
            target.name
        ),
        _ => "aborted before it was confirmed".to_owned(),
    };
    let next = plan.with_phase(PlanPhase::PlanAborted, &message, unix_ms);
    let transaction = transaction.put(keys::plan(&id), encoded(&next));
    Ok((transaction, next))
}

/// Clears the canary in the service row if the rollout is still in its canary stage.
async fn remove_canary(
    tables: &dyn TableStore,
    transaction: Transaction,
    rollout: &Rollout,
) -> Result<(Transaction, String), Failure> {
    let key = keys::service(&rollout.service);
    let snapshot = Snapshot::read(tables, [key.clone()]).await?;
    let row = snapshot.message::<ServiceRow>(&key)?;
    match row {
        Some(mut row) if row.canary == rollout.version => {
            row.canary.clear();
            row.canary_percent = 0;
            let head = ConfigurationHead::read(tables)
                .await
                .map_err(|error| store_failure(&error))?;
            let transaction = snapshot.guard(transaction).put(key, encoded(&row));
            let message = format!("aborted; the canaries go back to {}", row.version);
            Ok((head.chain(transaction), message))
        }
        Some(row) if row.version == rollout.version => Ok((
            transaction,
            format!(
                "no longer followed; {} is the version of all servers already: plan a rollout of the earlier version to go back",
                row.version
            ),
        )),
        _ => Ok((transaction, "aborted".to_owned())),
    }
}

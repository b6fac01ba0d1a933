//! Canary health gate: promotes a version or rolls it back in one transaction.

use dappleyard_decide::rollout::{Gate, GateBounds, Target, assign, gate};
use dappleyard_store::{Expect, TableStore, Transaction};
use dappleyard_tables::decisions::{DecisionKind, Subject};
use dappleyard_wire::Failure;
use dappleyard_wire::ids::PlanId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{PlanPhase, ServiceRow};

use crate::controller::ReconcilerDeps;
use crate::controller::service::{RoundOutcome, ServiceController};
use crate::head::ConfigurationHead;
use crate::intent::Intent;
use crate::plans::store::{StoredPlan, encoded, read_plan, running_ids};
use crate::record::record;
use crate::snapshot::{Snapshot, store_failure};

impl ServiceController {
    /// Evaluates the canaries of a rollout and ends the canary stage once the gate decides.
    pub(super) async fn evaluate_canaries(
        &mut self,
        deps: ReconcilerDeps<'_>,
        target: &Target,
    ) -> RoundOutcome {
        if target.canary.is_empty() {
            self.canaries_loaded_since = None;
            return RoundOutcome::Held;
        }
        let bounds = GateBounds {
            watch_ms: deps.settings.canary_watch_ms,
            error_percent: deps.settings.canary_error_percent,
            step_percent: deps.settings.canary_step_percent,
        };
        let watched_ms = self.watched_ms(deps, target);
        let (promoted, reason) = match gate(target, &self.observed.views(), watched_ms, bounds) {
            Gate::Wait(_) => return RoundOutcome::Held,
            Gate::Promote(reason) => (true, reason),
            Gate::RollBack(reason) => (false, reason),
        };
        match self
            .finish_canary_stage(deps, target, promoted, &reason)
            .await
        {
            Ok(GateWrite::Written) => self.record_rollout_end(deps, target, promoted, &reason),
            Ok(GateWrite::Lost) => return RoundOutcome::Lost,
            // The local configuration is outdated or the store is unavailable; the next round
            // retries.
            Ok(GateWrite::NotWritten) | Err(_) => {}
        }
        RoundOutcome::Held
    }

    /// Time since all canaries serve the canary version; `None` if not all do.
    fn watched_ms(&mut self, deps: ReconcilerDeps<'_>, target: &Target) -> Option<u64> {
        let now = deps.tables.clock.now();
        let all_loaded = assign(target, &self.observed.views())
            .iter()
            .filter(|assignment| assignment.version == target.canary)
            .all(|assignment| {
                let observed = self.observed.get(&assignment.server);
                observed.is_some_and(|observed| {
                    observed.view.serves() && observed.view.version == target.canary
                })
            });
        if all_loaded {
            let since = *self.canaries_loaded_since.get_or_insert(now);
            Some(now.since(since))
        } else {
            self.canaries_loaded_since = None;
            None
        }
    }

    async fn finish_canary_stage(
        &self,
        deps: ReconcilerDeps<'_>,
        target: &Target,
        promoted: bool,
        reason: &str,
    ) -> Result<GateWrite, Failure> {
        let key = keys::service(&self.service);
        let snapshot = Snapshot::read(deps.store, [key.clone()]).await?;
        let Some(mut row) = snapshot.message::<ServiceRow>(&key)? else {
            return Ok(GateWrite::NotWritten);
        };
        if row.canary != target.canary {
            return Ok(GateWrite::NotWritten);
        }
        if promoted {
            row.version.clone_from(&target.canary);
        }
        row.canary.clear();
        row.canary_percent = 0;
        let head = ConfigurationHead::read(deps.store)
            .await
            .map_err(|error| store_failure(&error))?;
        let guarded = self.authority.guard(snapshot.guard(Transaction::default()));
        let mut transaction = head.chain(guarded).put(key, encoded(&row));
        if !promoted && let Some(plan) = self.find_running_plan(deps.store, target).await? {
            let now = deps.tables.clock.unix_ms();
            transaction = close_plan(transaction, &plan, reason, now);
        }
        match deps.store.transact(transaction).await {
            Ok(_) => Ok(GateWrite::Written),
            Err(error) if self.authority.is_lost(&error) => Ok(GateWrite::Lost),
            Err(error) => Err(store_failure(&error)),
        }
    }

    async fn find_running_plan(
        &self,
        store: &dyn TableStore,
        target: &Target,
    ) -> Result<Option<StoredPlan>, Failure> {
        for id in running_ids(store).await? {
            let plan = read_plan(store, &id).await?;
            if let Ok(Intent::Rollout(rollout)) = plan.intent()
                && rollout.service == self.service
                && rollout.version == target.canary
                && plan.row.phase() == PlanPhase::PlanRunning
            {
                return Ok(Some(plan));
            }
        }
        Ok(None)
    }

    fn record_rollout_end(
        &mut self,
        deps: ReconcilerDeps<'_>,
        target: &Target,
        promoted: bool,
        reason: &str,
    ) {
        self.canaries_loaded_since = None;
        let (outcome, description) = if promoted {
            ("promoted", format!("{} goes to all servers", target.canary))
        } else {
            (
                "rolled_back",
                format!("{} was taken back; {} stays", target.canary, target.version),
            )
        };
        deps.metrics.rollouts.with_label_values(&[outcome]).inc();
        record(deps.tables, DecisionKind::Rollout, reason)
            .about(Subject::Service(self.service.clone()))
            .input("version", &target.version)
            .input("canary", &target.canary)
            .input("epoch", self.authority.epoch())
            .outcome(description);
        tracing::info!(
            service = self.service,
            canary = target.canary,
            outcome,
            reason,
            "canary stage ended"
        );
    }
}

enum GateWrite {
    Written,
    NotWritten,
    Lost,
}

fn close_plan(
    transaction: Transaction,
    plan: &StoredPlan,
    reason: &str,
    unix_ms: u64,
) -> Transaction {
    let id = PlanId::from(&plan.row.id);
    let row = plan.with_phase(
        PlanPhase::PlanFailed,
        &format!("rolled back: {reason}"),
        unix_ms,
    );
    transaction
        .expect(keys::plan(&id), Expect::Revision(plan.revision))
        .put(keys::plan(&id), encoded(&row))
        .delete(keys::active_plan(&id))
}

//! The canaries' health gate: promotes a version, or takes it back, by one transaction.

use dappleyard_decide::rollout::{Gate, GateBounds, Target, assign, gate};
use dappleyard_store::{Expect, TableStore, Transaction};
use dappleyard_tables::decisions::{DecisionKind, Subject};
use dappleyard_wire::Failure;
use dappleyard_wire::ids::PlanId;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{PlanPhase, ServiceRow};

use crate::controller::Tools;
use crate::controller::service::{Outcome, ServiceController};
use crate::head::ConfigurationHead;
use crate::intent::Intent;
use crate::plans::store::{StoredPlan, encoded, read_plan, running_ids};
use crate::record::record;
use crate::snapshot::{Snapshot, store_failure};

impl ServiceController {
    /// Judges the canaries of a rollout, and ends its canary stage when they say so.
    pub(super) async fn judge_canaries(&mut self, tools: Tools<'_>, target: &Target) -> Outcome {
        if target.canary.is_empty() {
            self.canaries_loaded_since = None;
            return Outcome::Held;
        }
        let bounds = GateBounds {
            watch_ms: tools.settings.canary_watch_ms,
            error_percent: tools.settings.canary_error_percent,
            step_percent: tools.settings.canary_step_percent,
        };
        let watched_ms = self.watched_ms(tools, target);
        let (promoted, reason) = match gate(target, &self.seen.views(), watched_ms, bounds) {
            Gate::Wait(_) => return Outcome::Held,
            Gate::Promote(reason) => (true, reason),
            Gate::RollBack(reason) => (false, reason),
        };
        match self.end_canaries(tools, target, promoted, &reason).await {
            Ok(Ended::Yes) => self.note_end(tools, target, promoted, &reason),
            Ok(Ended::Lost) => return Outcome::Lost,
            // The configuration in force here is older than the store's, or the store does not
            // answer: the next round sees which.
            Ok(Ended::No) | Err(_) => {}
        }
        Outcome::Held
    }

    /// How long all canaries have carried the canary version, milliseconds.
    fn watched_ms(&mut self, tools: Tools<'_>, target: &Target) -> Option<u64> {
        let now = tools.tables.clock.now();
        let all_loaded = assign(target, &self.seen.views())
            .iter()
            .filter(|assignment| assignment.version == target.canary)
            .all(|assignment| {
                let seen = self.seen.get(&assignment.server);
                seen.is_some_and(|seen| seen.view.serves() && seen.view.version == target.canary)
            });
        if all_loaded {
            let since = *self.canaries_loaded_since.get_or_insert(now);
            Some(now.since(since))
        } else {
            self.canaries_loaded_since = None;
            None
        }
    }

    async fn end_canaries(
        &self,
        tools: Tools<'_>,
        target: &Target,
        promoted: bool,
        reason: &str,
    ) -> Result<Ended, Failure> {
        let key = keys::service(&self.service);
        let snapshot = Snapshot::read(tools.store, [key.clone()]).await?;
        let Some(mut row) = snapshot.message::<ServiceRow>(&key)? else {
            return Ok(Ended::No);
        };
        if row.canary != target.canary {
            return Ok(Ended::No);
        }
        if promoted {
            row.version.clone_from(&target.canary);
        }
        row.canary.clear();
        row.canary_percent = 0;
        let head = ConfigurationHead::read(tools.store)
            .await
            .map_err(|error| store_failure(&error))?;
        let guarded = self.authority.guard(snapshot.guard(Transaction::default()));
        let mut transaction = head.chain(guarded).put(key, encoded(&row));
        if !promoted && let Some(plan) = self.plan_of(tools.store, target).await? {
            let now = tools.tables.clock.unix_ms();
            transaction = close_plan(transaction, &plan, reason, now);
        }
        match tools.store.transact(transaction).await {
            Ok(_) => Ok(Ended::Yes),
            Err(error) if self.authority.is_lost(&error) => Ok(Ended::Lost),
            Err(error) => Err(store_failure(&error)),
        }
    }

    /// The running plan of this rollout.
    async fn plan_of(
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

    fn note_end(&mut self, tools: Tools<'_>, target: &Target, promoted: bool, reason: &str) {
        self.canaries_loaded_since = None;
        let (outcome, words) = if promoted {
            ("promoted", format!("{} goes to all servers", target.canary))
        } else {
            (
                "rolled_back",
                format!("{} was taken back; {} stays", target.canary, target.version),
            )
        };
        tools.metrics.rollouts.with_label_values(&[outcome]).inc();
        record(tools.tables, DecisionKind::Rollout, reason)
            .about(Subject::Service(self.service.clone()))
            .input("version", &target.version)
            .input("canary", &target.canary)
            .input("epoch", self.authority.epoch())
            .outcome(words);
        tracing::info!(
            service = self.service,
            canary = target.canary,
            outcome,
            reason,
            "rollout"
        );
    }
}

enum Ended {
    Yes,
    No,
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

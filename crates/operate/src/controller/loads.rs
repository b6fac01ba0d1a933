//! Loads model versions: plans loads within the disruption budget, records them in the disruption
//! row, then sends the orders.

use std::collections::BTreeSet;

use dappleyard_decide::disruption::Budget;
use dappleyard_decide::rollout::{Assignment, LoadBounds, LoadPlan, plan_loads};
use dappleyard_decide::windows::WindowState;
use dappleyard_engine::OrderKind;
use dappleyard_store::Transaction;
use dappleyard_tables::decisions::{DecisionKind, Subject};
use dappleyard_wire::messages::ServiceRow;

use crate::controller::ReconcilerDeps;
use crate::controller::service::{OrderOutcome, RoundOutcome, ServiceController};
use crate::plans::disruptions::{LOAD_CAUSE, ServiceDisruptions};
use crate::record::record;

/// Delay after the first load order to a server; it doubles with each further order.
const MIN_RETRY_DELAY_MS: u64 = 2_000;
/// Time after which a load order that the engine does not report counts as not delivered.
const ORDER_VISIBLE_MS: u64 = 3_000;
const MAX_RETRY_DELAY_MS: u64 = 60_000;

impl ServiceController {
    /// Sends the load orders that the disruption budget allows now.
    pub(super) async fn order_loads(
        &mut self,
        deps: ReconcilerDeps<'_>,
        row: &ServiceRow,
        assignments: &[Assignment],
        window: WindowState,
    ) -> RoundOutcome {
        let wanted = self.wanted_loads(deps, assignments);
        if wanted.is_empty() {
            self.last_held_reason.clear();
            return RoundOutcome::Held;
        }
        let mut disruptions = match ServiceDisruptions::read(deps.store, &self.service).await {
            Ok(disruptions) => disruptions,
            Err(_) => return RoundOutcome::Held,
        };
        let now_unix_ms = deps.tables.clock.unix_ms();
        let timeout_ms = deps.settings.disruption_timeout_ms;
        let settled = self.settled_loads(&disruptions, assignments, now_unix_ms);
        disruptions.remove_settled(&settled, timeout_ms, now_unix_ms);
        let in_flight = disruptions.in_flight();
        let bounds = LoadBounds {
            concurrency: deps.settings.load_concurrency,
            budget: Budget::of_row(row.max_unavailable_zone, row.max_unavailable_total),
            in_flight: &in_flight,
            timeout_ms,
            now_ms: now_unix_ms,
            frozen: self.frozen(window),
        };
        let plan = plan_loads(&wanted, &self.observed.views(), bounds);
        self.record_held_load(deps, &plan);
        if plan.start.is_empty() {
            return RoundOutcome::Held;
        }
        for load in &plan.start {
            let zone = self
                .observed
                .get(&load.server)
                .map(|observed| observed.view.zone.clone());
            disruptions.add(
                &load.server,
                &zone.unwrap_or_default(),
                LOAD_CAUSE,
                now_unix_ms,
            );
        }
        let transaction = disruptions.write(self.authority.guard(Transaction::default()));
        match deps.store.transact(transaction).await {
            Ok(_) => self.issue_load_orders(deps, &plan.start).await,
            Err(error) if self.authority.is_lost(&error) => RoundOutcome::Lost,
            // Another writer changed the row, or the store is unavailable; the next round retries.
            Err(_) => RoundOutcome::Held,
        }
    }

    /// Reason for not taking any serving server out of service now.
    fn frozen(&self, window: WindowState) -> Option<&'static str> {
        if window != WindowState::Closed {
            Some("a demand window is open or near")
        } else if !self.observed.is_complete() {
            Some("not every server has been looked at yet")
        } else {
            None
        }
    }

    /// Assignments that are not loaded yet and whose retry delay is over.
    fn wanted_loads(
        &mut self,
        deps: ReconcilerDeps<'_>,
        assignments: &[Assignment],
    ) -> Vec<Assignment> {
        let now = deps.tables.clock.now();
        let mut wanted = Vec::new();
        for assignment in assignments {
            let Some(observed) = self.observed.get(&assignment.server) else {
                continue;
            };
            let loaded =
                observed.view.version == assignment.version && observed.view.loading.is_empty();
            if loaded {
                self.load_retries.remove(&assignment.server);
                continue;
            }
            let backing_off = self
                .load_retries
                .get(&assignment.server)
                .is_some_and(|(until, _)| *until > now);
            if !backing_off {
                wanted.push(assignment.clone());
            }
        }
        wanted
    }

    /// Servers whose load order finished, failed or was not delivered.
    fn settled_loads(
        &self,
        disruptions: &ServiceDisruptions,
        assignments: &[Assignment],
        now_unix_ms: u64,
    ) -> BTreeSet<String> {
        let loads = disruptions.loads().into_iter();
        loads
            .filter(|(server, since_unix_ms)| {
                let Some(observed) = self.observed.get(server) else {
                    return true;
                };
                let assigned = assignments
                    .iter()
                    .find(|candidate| candidate.server == *server);
                let wanted = assigned.map_or("", |candidate| candidate.version.as_str());
                let ended =
                    !observed.view.load_failure.is_empty() || observed.view.version == wanted;
                let visible = now_unix_ms.saturating_sub(*since_unix_ms) >= ORDER_VISIBLE_MS;
                observed.view.loading.is_empty() && (ended || visible)
            })
            .map(|(server, _)| server)
            .collect()
    }

    async fn issue_load_orders(
        &mut self,
        deps: ReconcilerDeps<'_>,
        loads: &[Assignment],
    ) -> RoundOutcome {
        for load in loads {
            let cause = self.load_cause(&load.server);
            let kind = OrderKind::LoadVersion {
                service: self.service.clone(),
                version: load.version.clone(),
            };
            match self.order(deps, &load.server, kind, &cause).await {
                OrderOutcome::Fenced => return RoundOutcome::Lost,
                OrderOutcome::Accepted => self.observed.mark_loading(&load.server, &load.version),
                OrderOutcome::NotAccepted => {}
            }
            self.record_attempt(deps, &load.server);
        }
        RoundOutcome::Held
    }

    fn load_cause(&self, server: &str) -> String {
        match self.version_of(server) {
            "" => "the server carries nothing and the service row asks for it".to_owned(),
            version => format!("the server carries {version} and another version is wanted"),
        }
    }

    /// Sets the exponential delay before the next load order to the server.
    fn record_attempt(&mut self, deps: ReconcilerDeps<'_>, server: &str) {
        let now = deps.tables.clock.now();
        let known = self.load_retries.get(server);
        let attempts = known.map_or(0, |(_, attempts)| *attempts) + 1;
        let delay_ms = MIN_RETRY_DELAY_MS
            .saturating_mul(1 << (attempts - 1).min(10))
            .min(MAX_RETRY_DELAY_MS);
        self.load_retries
            .insert(server.to_owned(), (now.plus(delay_ms), attempts));
    }

    fn record_held_load(&mut self, deps: ReconcilerDeps<'_>, plan: &LoadPlan) {
        let Some((load, reason)) = &plan.held else {
            self.last_held_reason.clear();
            return;
        };
        let held = deps.metrics.loads_held.with_label_values(&[&self.service]);
        held.inc();
        if *reason == self.last_held_reason {
            return;
        }
        self.last_held_reason.clone_from(reason);
        record(deps.tables, DecisionKind::PlanStep, reason.clone())
            .about(Subject::Server(load.server.clone()))
            .about(Subject::Service(self.service.clone()))
            .input("version", &load.version)
            .outcome("the load waits");
    }
}

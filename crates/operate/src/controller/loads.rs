//! Loads of versions: planned within the disruption budget, written to the row of disruptions in
//! flight, then ordered.

use std::collections::BTreeSet;

use dappleyard_decide::disruption::Budget;
use dappleyard_decide::rollout::{Assignment, LoadBounds, LoadPlan, plan_loads};
use dappleyard_decide::windows::WindowState;
use dappleyard_engine::OrderKind;
use dappleyard_store::Transaction;
use dappleyard_tables::decisions::{DecisionKind, Subject};
use dappleyard_wire::messages::ServiceRow;

use crate::controller::Tools;
use crate::controller::service::{Given, Outcome, ServiceController};
use crate::plans::ledger::{LOAD, Ledger};
use crate::record::record;

/// First pause after a failed load, milliseconds; it doubles with each failure.
const FIRST_RETRY_MS: u64 = 2_000;
/// Time after which an order to load shows at the engine or was never given, milliseconds.
const ORDER_SHOWN_MS: u64 = 3_000;
/// Longest pause after a failed load, milliseconds.
const LONGEST_RETRY_MS: u64 = 60_000;

impl ServiceController {
    /// Orders the loads that may start now.
    pub(super) async fn order_loads(
        &mut self,
        tools: Tools<'_>,
        row: &ServiceRow,
        assignments: &[Assignment],
        window: WindowState,
    ) -> Outcome {
        let wanted = self.wanted_loads(tools, assignments);
        if wanted.is_empty() {
            self.held.clear();
            return Outcome::Held;
        }
        let mut ledger = match Ledger::read(tools.store, &self.service).await {
            Ok(ledger) => ledger,
            Err(_) => return Outcome::Held,
        };
        let now_unix_ms = tools.tables.clock.unix_ms();
        let timeout_ms = tools.settings.disruption_timeout_ms;
        let settled = self.settled_loads(&ledger, assignments, now_unix_ms);
        ledger.forget(&settled, timeout_ms, now_unix_ms);
        let in_flight = ledger.in_flight();
        let bounds = LoadBounds {
            concurrency: tools.settings.load_concurrency,
            budget: Budget::of_row(row.max_unavailable_zone, row.max_unavailable_total),
            in_flight: &in_flight,
            timeout_ms,
            now_ms: now_unix_ms,
            frozen: self.frozen(window),
        };
        let plan = plan_loads(&wanted, &self.seen.views(), bounds);
        self.note_held(tools, &plan);
        if plan.start.is_empty() {
            return Outcome::Held;
        }
        for load in &plan.start {
            let zone = self
                .seen
                .get(&load.server)
                .map(|seen| seen.view.zone.clone());
            ledger.add(&load.server, &zone.unwrap_or_default(), LOAD, now_unix_ms);
        }
        let transaction = ledger.write(self.authority.guard(Transaction::default()));
        match tools.store.transact(transaction).await {
            Ok(_) => self.give_load_orders(tools, &plan.start).await,
            Err(error) if self.authority.is_lost(&error) => Outcome::Lost,
            // Somebody else spent the budget, or the store does not answer: look again.
            Err(_) => Outcome::Held,
        }
    }

    /// Why no serving server may be put out now.
    fn frozen(&self, window: WindowState) -> Option<&'static str> {
        if window != WindowState::Closed {
            Some("a demand window is open or near")
        } else if !self.seen.is_complete() {
            Some("not every server has been looked at yet")
        } else {
            None
        }
    }

    /// Assignments that are not carried yet and whose last failure is long enough ago.
    fn wanted_loads(&mut self, tools: Tools<'_>, assignments: &[Assignment]) -> Vec<Assignment> {
        let now = tools.tables.clock.now();
        let mut wanted = Vec::new();
        for assignment in assignments {
            let Some(seen) = self.seen.get(&assignment.server) else {
                continue;
            };
            let carried = seen.view.version == assignment.version && seen.view.loading.is_empty();
            if carried {
                self.load_retries.remove(&assignment.server);
                continue;
            }
            let waits = self
                .load_retries
                .get(&assignment.server)
                .is_some_and(|(until, _)| *until > now);
            if !waits {
                wanted.push(assignment.clone());
            }
        }
        wanted
    }

    /// Own loads that ended, well or not.
    fn settled_loads(
        &self,
        ledger: &Ledger,
        assignments: &[Assignment],
        now_unix_ms: u64,
    ) -> BTreeSet<String> {
        let loads = ledger.loads().into_iter();
        loads
            .filter(|(server, since_unix_ms)| {
                let Some(seen) = self.seen.get(server) else {
                    return true;
                };
                let assigned = assignments.iter().find(|one| one.server == *server);
                let wanted = assigned.map_or("", |one| one.version.as_str());
                let ended = !seen.view.load_failure.is_empty() || seen.view.version == wanted;
                let shown = now_unix_ms.saturating_sub(*since_unix_ms) >= ORDER_SHOWN_MS;
                seen.view.loading.is_empty() && (ended || shown)
            })
            .map(|(server, _)| server)
            .collect()
    }

    async fn give_load_orders(&mut self, tools: Tools<'_>, loads: &[Assignment]) -> Outcome {
        for load in loads {
            let cause = self.load_cause(&load.server);
            let kind = OrderKind::LoadVersion {
                service: self.service.clone(),
                version: load.version.clone(),
            };
            match self.order(tools, &load.server, kind, &cause).await {
                Given::Fenced => return Outcome::Lost,
                Given::Yes => self.seen.note_loading(&load.server, &load.version),
                Given::No => {}
            }
            self.count_attempt(tools, &load.server);
        }
        Outcome::Held
    }

    fn load_cause(&self, server: &str) -> String {
        match self.version_of(server) {
            "" => "the server carries nothing and the service row asks for it".to_owned(),
            version => format!("the server carries {version} and another version is wanted"),
        }
    }

    /// An order that does not lead to the version is repeated after a growing pause.
    fn count_attempt(&mut self, tools: Tools<'_>, server: &str) {
        let now = tools.tables.clock.now();
        let known = self.load_retries.get(server);
        let attempts = known.map_or(0, |(_, attempts)| *attempts) + 1;
        let pause_ms = FIRST_RETRY_MS
            .saturating_mul(1 << (attempts - 1).min(10))
            .min(LONGEST_RETRY_MS);
        self.load_retries
            .insert(server.to_owned(), (now.plus(pause_ms), attempts));
    }

    fn note_held(&mut self, tools: Tools<'_>, plan: &LoadPlan) {
        let Some((load, reason)) = &plan.held else {
            self.held.clear();
            return;
        };
        let held = tools.metrics.loads_held.with_label_values(&[&self.service]);
        held.inc();
        if *reason == self.held {
            return;
        }
        self.held.clone_from(reason);
        record(tools.tables, DecisionKind::PlanStep, reason.clone())
            .about(Subject::Server(load.server.clone()))
            .about(Subject::Service(self.service.clone()))
            .input("version", &load.version)
            .outcome("the load waits");
    }
}

//! The reconciler of one service.

use std::collections::{BTreeMap, BTreeSet};

use dappleyard_decide::rollout::{Assignment, Target, assign};
use dappleyard_decide::time::Millis;
use dappleyard_decide::windows::{WindowState, service_state};
use dappleyard_engine::{EngineError, EngineOrder, OrderKind};
use dappleyard_tables::decisions::{DecisionKind, Subject};
use dappleyard_wire::messages::ServiceRow;

use crate::controller::Tools;
use crate::controller::authority::Authority;
use crate::controller::observe::Observations;
use crate::local::{LocalReport, local_report};
use crate::record::record;

/// HTTP status with which an engine refuses an order of an old epoch.
const OLD_ORDER: u16 = 409;

/// What a round came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The service is still this controller's.
    Held,
    /// Another controller has the service now.
    Lost,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Given {
    /// The engine took it.
    Yes,
    /// The engine did not take it now.
    No,
    /// The engine has orders of a later epoch.
    Fenced,
}

/// The reconciler of one service.
pub struct ServiceController {
    pub(super) service: String,
    pub(super) authority: Authority,
    pub(super) seen: Observations,
    /// Since when all canaries have carried the canary version.
    pub(super) canaries_loaded_since: Option<Millis>,
    /// When a server whose load failed may be tried again, and how often it failed.
    pub(super) load_retries: BTreeMap<String, (Millis, u32)>,
    /// Servers that were ordered to take no new work; `None` before it was read.
    pub(super) closed: Option<BTreeSet<String>>,
    /// Last reason for which a load was held back, so that it is recorded once.
    pub(super) held: String,
}

impl ServiceController {
    /// A reconciler that has just claimed the service's epoch.
    pub fn new(service: &str, authority: Authority) -> ServiceController {
        ServiceController {
            service: service.to_owned(),
            authority,
            seen: Observations::default(),
            canaries_loaded_since: None,
            load_retries: BTreeMap::new(),
            closed: None,
            held: String::new(),
        }
    }

    /// One round: look, then bring the servers closer to what the configuration says.
    pub async fn round(&mut self, tools: Tools<'_>) -> Outcome {
        let configuration = tools.tables.configuration.current();
        let Some(row) = configuration.services.get(&self.service) else {
            return Outcome::Held;
        };
        let now_unix_s = tools.tables.clock.unix_ms() / 1000;
        let window = service_state(configuration.windows.values(), &self.service, now_unix_s);
        let target = target_of(row, window);
        self.seen.follow(tools.tables, &self.service);
        let interest = self.interest(&target);
        let failing = self.failing(tools, &target).await;
        self.seen
            .look(tools.tables, tools.engine, &interest, &failing)
            .await;
        if self.close_and_open(tools).await == Outcome::Lost {
            return Outcome::Lost;
        }
        if self.judge_canaries(tools, &target).await == Outcome::Lost {
            return Outcome::Lost;
        }
        let assignments = assign(&target, &self.seen.views());
        if self.order_loads(tools, row, &assignments, window).await == Outcome::Lost {
            return Outcome::Lost;
        }
        self.order_adapters(tools, row, &assignments).await
    }

    /// Servers that are looked at in every round: those that are to change, and the canaries.
    fn interest(&self, target: &Target) -> BTreeSet<String> {
        let assigned = assign(target, &self.seen.views());
        let mut interest: BTreeSet<String> = assigned
            .iter()
            .filter(|assignment| {
                let is_canary = !target.canary.is_empty() && assignment.version == target.canary;
                is_canary || self.version_of(&assignment.server) != assignment.version
            })
            .map(|assignment| assignment.server.clone())
            .collect();
        let drained = self.seen.all().filter(|seen| seen.view.leaving);
        interest.extend(drained.map(|seen| seen.view.server.clone()));
        interest
    }

    /// Servers of which their owners say that calls fail, while there are canaries to be judged.
    async fn failing(&self, tools: Tools<'_>, target: &Target) -> BTreeSet<String> {
        if target.canary.is_empty() {
            return BTreeSet::new();
        }
        let owners: BTreeSet<&str> = self
            .seen
            .all()
            .filter(|seen| seen.view.version == target.canary)
            .filter_map(|seen| seen.entry.owner.as_ref())
            .map(|owner| owner.as_str())
            .collect();
        let answers = tools
            .peers
            .ask_those::<LocalReport>("/admin/v1/local", |node| owners.contains(node))
            .await;
        let own = local_report(tools.tables);
        let reports = answers.answers.into_iter().chain([own]);
        reports
            .flat_map(|report| report.servers)
            .filter(|server| server.failures > 0)
            .map(|server| server.server)
            .collect()
    }

    pub(super) fn version_of(&self, server: &str) -> &str {
        self.seen.get(server).map_or("", |seen| &seen.view.version)
    }

    /// Loads adapters that the service row names on servers that carry the right version.
    async fn order_adapters(
        &mut self,
        tools: Tools<'_>,
        row: &ServiceRow,
        assignments: &[Assignment],
    ) -> Outcome {
        let mut missing = Vec::new();
        for assignment in assignments {
            let Some(seen) = self.seen.get(&assignment.server) else {
                continue;
            };
            if seen.view.version != assignment.version || !seen.view.serves() {
                continue;
            }
            let wanted = row.adapters.iter();
            missing.extend(
                wanted
                    .filter(|adapter| !seen.adapters.contains(adapter))
                    .map(|adapter| (assignment.server.clone(), adapter.clone())),
            );
        }
        for (server, adapter) in missing.into_iter().take(tools.settings.load_concurrency) {
            let kind = OrderKind::LoadAdapter { adapter };
            let cause = "the service row names the adapter";
            if self.order(tools, &server, kind, cause).await == Given::Fenced {
                return Outcome::Lost;
            }
        }
        Outcome::Held
    }

    /// Gives an engine a fenced order, and records it.
    pub(super) async fn order(
        &mut self,
        tools: Tools<'_>,
        server: &str,
        kind: OrderKind,
        cause: &str,
    ) -> Given {
        let Some(base) = self
            .seen
            .get(server)
            .map(|seen| seen.entry.base_url.clone())
        else {
            return Given::No;
        };
        let position = self.authority.next_position();
        let order = EngineOrder {
            epoch: position.epoch,
            sequence: position.sequence,
            kind,
        };
        let (name, words) = order_words(&order.kind);
        let (given, outcome, said) = match tools.engine.order(&base, order).await {
            Ok(()) => (Given::Yes, "given", "the engine took it".to_owned()),
            Err(EngineError::Refused { status, reason }) if status == OLD_ORDER => (
                Given::Fenced,
                "fenced",
                format!("the engine refused it as old: {reason}"),
            ),
            Err(EngineError::Refused { reason, .. }) => (
                Given::No,
                "refused",
                format!("the engine refused it: {reason}"),
            ),
            Err(error) => (Given::No, "unreachable", error.to_string()),
        };
        tools
            .metrics
            .orders
            .with_label_values(&[name, outcome])
            .inc();
        record(tools.tables, DecisionKind::Ordered, cause)
            .about(Subject::Server(server.to_owned()))
            .about(Subject::Service(self.service.clone()))
            .input("order", words)
            .input("epoch", position.epoch)
            .input("sequence", position.sequence)
            .outcome(said);
        given
    }
}

/// What the service row asks for. While a demand window is open or near, all servers carry the
/// service, whatever number the row names.
fn target_of(row: &ServiceRow, window: WindowState) -> Target {
    Target {
        version: row.version.clone(),
        canary: row.canary.clone(),
        canary_percent: row.canary_percent,
        replicas: if window == WindowState::Closed {
            row.replicas
        } else {
            0
        },
    }
}

fn order_words(kind: &OrderKind) -> (&'static str, String) {
    match kind {
        OrderKind::LoadVersion { version, .. } => ("load_version", format!("load {version}")),
        OrderKind::LoadAdapter { adapter } => ("load_adapter", format!("load adapter {adapter}")),
        OrderKind::SetAccepting { accepting: true } => {
            ("set_accepting", "take new work again".to_owned())
        }
        OrderKind::SetAccepting { accepting: false } => {
            ("set_accepting", "take no new work".to_owned())
        }
    }
}

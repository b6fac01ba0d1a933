//! Controllers: one reconciler per service, on the node chosen by rendezvous hashing and fenced by
//! an epoch row.
//!
//! A reconciler polls its servers ([`observe`]), closes and opens drained ones ([`closing`]),
//! evaluates canaries ([`rollout`]) and loads versions within the disruption budget ([`loads`]).
//! Orders carry (epoch, sequence) and writes compare the epoch row ([`authority`]), so that a
//! controller which resumes after its takeover is rejected.

pub mod authority;
pub mod closing;
pub mod loads;
pub mod observe;
pub mod rollout;
pub mod service;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::time::Millis;
use dappleyard_engine::Engine;
use dappleyard_settings::OperateSettings;
use dappleyard_store::TableStore;
use dappleyard_tables::NodeTables;
use dappleyard_tables::decisions::{DecisionKind, Subject};
use dappleyard_wire::{ErrorKind, Failure};
use rand::Rng;

use crate::controller::authority::Authority;
use crate::controller::service::{RoundOutcome, ServiceController};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::preferred::is_preferred;
use crate::record::record;

/// Delay before a service is claimed again after its epoch was lost; also the upper bound of the
/// random delay after a failed claim.
const RECLAIM_DELAY_MS: u64 = 5_000;

/// Dependencies of a reconciler.
#[derive(Clone, Copy)]
pub struct ReconcilerDeps<'a> {
    pub tables: &'a NodeTables,
    pub store: &'a dyn TableStore,
    pub engine: &'a dyn Engine,
    pub peers: &'a Peers,
    pub settings: &'a OperateSettings,
    pub metrics: &'a Metrics,
}

/// The reconcilers of this node.
#[derive(Default)]
pub struct Controllers {
    services: BTreeMap<String, ServiceController>,
    retry_at: BTreeMap<String, Millis>,
}

impl Controllers {
    /// Runs one round: claims the services assigned to this node, releases the others and
    /// reconciles each.
    pub async fn round(&mut self, deps: ReconcilerDeps<'_>) {
        let configuration = deps.tables.configuration.current();
        let is_assigned = |service: &str| is_preferred(deps.tables, &format!("service/{service}"));
        self.services.retain(|service, _| {
            configuration.services.contains_key(service) && is_assigned(service)
        });
        for service in configuration
            .services
            .keys()
            .filter(|service| is_assigned(service))
        {
            self.claim_if_unclaimed(service, deps).await;
        }
        let rounds = self
            .services
            .iter_mut()
            .map(|(service, controller)| async move { (service, controller.round(deps).await) });
        let outcomes: Vec<(String, RoundOutcome)> = futures::future::join_all(rounds)
            .await
            .into_iter()
            .map(|(service, outcome)| (service.clone(), outcome))
            .collect();
        for (service, outcome) in outcomes {
            if outcome == RoundOutcome::Lost {
                self.release(&service, deps);
            }
        }
        deps.metrics.services.set(self.services.len() as i64);
    }

    async fn claim_if_unclaimed(&mut self, service: &str, deps: ReconcilerDeps<'_>) {
        let now = deps.tables.clock.now();
        let delayed = self.retry_at.get(service).is_some_and(|until| *until > now);
        if delayed || self.services.contains_key(service) {
            return;
        }
        match Authority::claim(deps.store, service, &deps.tables.identity).await {
            Ok(authority) => {
                deps.metrics.epochs.with_label_values(&["claimed"]).inc();
                record_takeover(service, &authority, deps);
                let controller = ServiceController::new(service, authority);
                self.services.insert(service.to_owned(), controller);
            }
            Err(failure) => self.delay_claim(service, &failure, deps),
        }
    }

    fn delay_claim(&mut self, service: &str, failure: &Failure, deps: ReconcilerDeps<'_>) {
        let outcome = if failure.kind == ErrorKind::Fenced {
            "held_by_another"
        } else {
            "failed"
        };
        deps.metrics.epochs.with_label_values(&[outcome]).inc();
        let delay_ms = rand::rng().random_range(RECLAIM_DELAY_MS / 10..=RECLAIM_DELAY_MS);
        let until = deps.tables.clock.now().plus(delay_ms);
        self.retry_at.insert(service.to_owned(), until);
    }

    fn release(&mut self, service: &str, deps: ReconcilerDeps<'_>) {
        self.services.remove(service);
        deps.metrics.epochs.with_label_values(&["lost"]).inc();
        let until = deps.tables.clock.now().plus(RECLAIM_DELAY_MS);
        self.retry_at.insert(service.to_owned(), until);
        record(
            deps.tables,
            DecisionKind::Fenced,
            "another controller raised the service's epoch",
        )
        .about(Subject::Service(service.to_owned()))
        .outcome("this controller gave the service up; its orders and writes were refused");
    }
}

fn record_takeover(service: &str, authority: &Authority, deps: ReconcilerDeps<'_>) {
    let predecessor = match authority.predecessor.as_str() {
        "" => "nobody",
        node => node,
    };
    record(
        deps.tables,
        DecisionKind::TakenOver,
        "the rendezvous hash prefers this node among the live members",
    )
    .about(Subject::Service(service.to_owned()))
    .input("epoch", authority.epoch())
    .input("held before by", predecessor)
    .outcome("this node controls the service");
    tracing::info!(
        service,
        epoch = authority.epoch(),
        predecessor,
        "service taken over"
    );
}

/// Runs the reconcilers on the calling arbiter; never returns.
pub(crate) async fn run(context: Rc<crate::start::OperateContext>, metrics: Metrics) {
    let interval = Duration::from_millis(context.settings.reconcile_interval_ms.max(10));
    let peers = Peers::new(context.tables.clone(), context.settings.peer_timeout_ms);
    let mut controllers = Controllers::default();
    loop {
        tokio::time::sleep(interval).await;
        if !context.tables.takes_new_work() {
            controllers = Controllers::default();
            continue;
        }
        let deps = ReconcilerDeps {
            tables: &context.tables,
            store: &*context.platform.tables,
            engine: &*context.engine,
            peers: &peers,
            settings: &context.settings,
            metrics: &metrics,
        };
        controllers.round(deps).await;
    }
}

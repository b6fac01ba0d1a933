//! Load of the services that this node's jobs target, and whether they admit items.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_ingress::Metrics;
use dappleyard_model::Configuration;

use crate::admission::{AdmissionChange, BatchAdmission, ServiceLoad, apportion};
use crate::placement::accepts_items;
use crate::runner::Runner;

#[derive(Default)]
pub(crate) struct ServiceState {
    pub(crate) load: ServiceLoad,
    pub(crate) admission: BatchAdmission,
    /// Items to preempt on each server, in addition to those beyond its slots.
    pub(crate) items_to_preempt: HashMap<String, u32>,
}

/// Updates the services that this node's jobs target. Without load shedding, admission is never closed.
pub(crate) fn refresh_services(runner: &Runner) {
    if !runner.node.settings.load_shedding {
        return;
    }
    let Some(configuration) = runner.node.view.configuration() else {
        return;
    };
    let now = Instant::now();
    let item_time = Duration::from_millis(runner.estimate.get().remaining_ms(0));
    let mut services = runner.services.borrow_mut();
    let needed = target_services(runner, &configuration);
    // Keeps recently observed services, since a new job may follow shortly after the last one.
    services.retain(|name, service_state| {
        needed.contains(name) || service_state.admission.is_recent(now)
    });
    for name in needed {
        let service_state = services.entry(name.clone()).or_default();
        (service_state.load, service_state.items_to_preempt) = service_load(runner, &name);
        let change = service_state
            .admission
            .observe(&service_state.load, item_time, now);
        if let Some(change) = change {
            log_change(runner, &name, &service_state.load, change);
        }
    }
}

/// Services that unfinished items of this node's jobs may target.
fn target_services(runner: &Runner, configuration: &Configuration) -> Vec<String> {
    let mut needed: BTreeSet<&str> = BTreeSet::new();
    for job in runner.owned.borrow().values() {
        let state = job.state.borrow();
        if !state.has_unfinished() {
            continue;
        }
        let targets = state.route(configuration).into_iter();
        let targets = targets.flat_map(|route| &route.targets);
        needed.extend(targets.map(|target| target.service.as_str()));
    }
    needed.into_iter().map(str::to_owned).collect()
}

/// Load of a service over all nodes, on the servers that this node uses, and the number of items to preempt on each.
fn service_load(runner: &Runner, service: &str) -> (ServiceLoad, HashMap<String, u32>) {
    let demand = runner.node.loads.demand.pressure_on(service);
    let servers = runner.node.view.servers(service);
    // Demand is reported for the whole fleet; it is scaled to the share of the servers that this node uses.
    let used_fraction = servers.used.len() as f64 / servers.all.len().max(1) as f64;
    let scale = |requests: u32| (f64::from(requests) * used_fraction).ceil() as u32;
    let mut total = ServiceLoad {
        waiting: scale(demand.waiting),
        returning: scale(demand.returns.iter().sum()),
        ..ServiceLoad::default()
    };
    let mut items: Vec<(&str, u32)> = Vec::new();
    for server in &servers.used {
        let load = runner.node.loads.summary(&server.id);
        if !accepts_items(&load) {
            continue;
        }
        total.slots += server.slots;
        total.online += load.online;
        total.batch += load.batch;
        total.free += server.slots.saturating_sub(load.online + load.batch);
        items.push((&server.id, load.batch));
    }
    items.sort_unstable();
    let counts: Vec<u32> = items.iter().map(|(_, count)| *count).collect();
    let parts = apportion(total.items_to_preempt(), &counts);
    let items_to_preempt = items.into_iter().zip(parts).filter(|(_, part)| *part > 0);
    let items_to_preempt = items_to_preempt.map(|((id, _), part)| (id.to_owned(), part));
    (total, items_to_preempt.collect())
}

fn log_change(runner: &Runner, service: &str, load: &ServiceLoad, change: AdmissionChange) {
    let (name, closed) = match change {
        AdmissionChange::Closed => {
            Metrics::count(&runner.node.metrics.batch_closings);
            ("batch_closed", Duration::ZERO)
        }
        AdmissionChange::Opened(after) => ("batch_opened", after),
    };
    runner.node.log.write(name, || {
        serde_json::json!({"service": service, "closed_ms": closed.as_millis() as u64,
            "waiting": load.waiting, "returning": load.returning, "slots": load.slots,
            "online": load.online, "batch": load.batch, "free": load.free})
    });
}

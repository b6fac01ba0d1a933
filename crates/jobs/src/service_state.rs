//! What this node knows of the services that its jobs ask for, and whether these are closed to items.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_ingress::Metrics;
use dappleyard_model::Configuration;

use crate::admission::{Change, ServiceLoad, Yielding, spread};
use crate::owned::Progress;
use crate::placement::takes_items;
use crate::runner::Runner;

/// One service, as of the last look.
#[derive(Default)]
pub(crate) struct ServiceView {
    pub(crate) load: ServiceLoad,
    pub(crate) yielding: Yielding,
    /// Items that are to leave a server, beside those above its slots.
    pub(crate) to_leave: HashMap<String, u32>,
}

/// Looks at the services of this node's jobs. Without load shedding none is ever closed.
pub(crate) fn look(runner: &Runner) {
    if !runner.node.settings.load_shedding {
        return;
    }
    let Some(configuration) = runner.node.view.configuration() else {
        return;
    };
    let now = Instant::now();
    let item_time = Duration::from_millis(runner.estimate.get().remaining_ms(0));
    let mut services = runner.services.borrow_mut();
    let asked = asked_services(runner, &configuration);
    // A job may come a moment after the last one ended.
    services.retain(|name, view| asked.contains(name) || view.yielding.is_recent(now));
    for name in asked {
        let view = services.entry(name.clone()).or_default();
        (view.load, view.to_leave) = load_of(runner, &name);
        let change = view.yielding.observe(&view.load, item_time, now);
        if let Some(change) = change {
            log_change(runner, &name, &view.load, change);
        }
    }
}

/// Services that may serve items of this node's jobs.
fn asked_services(runner: &Runner, configuration: &Configuration) -> Vec<String> {
    let mut asked: BTreeSet<&str> = BTreeSet::new();
    for job in runner.owned.borrow().values() {
        let state = job.state.borrow();
        let items = state.items.iter();
        let unfinished = items.filter(|item| item.progress != Progress::Finished);
        let routes = unfinished.filter_map(|item| state.route(configuration, item));
        let targets = routes.flat_map(|route| &route.targets);
        asked.extend(targets.map(|target| target.service.as_str()));
    }
    asked.into_iter().map(str::to_owned).collect()
}

/// Load of the servers of a service that this node uses, over all nodes, and how many items are to leave each server.
fn load_of(runner: &Runner, service: &str) -> (ServiceLoad, HashMap<String, u32>) {
    let demand = runner.node.loads.demand.pressure_on(service);
    let servers = runner.node.view.servers(service);
    // Demand is told of the whole fleet; it falls on the servers that this node uses by their part of all.
    let part = servers.used.len() as f64 / servers.all.len().max(1) as f64;
    let here = |requests: u32| (f64::from(requests) * part).ceil() as u32;
    let mut total = ServiceLoad {
        waiting: here(demand.waiting),
        returning: here(demand.returns.iter().sum()),
        ..ServiceLoad::default()
    };
    let mut items: Vec<(&str, u32)> = Vec::new();
    for server in &servers.used {
        let load = runner.node.loads.summary(&server.id);
        if !takes_items(&load) {
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
    let parts = spread(total.to_leave(), &counts);
    let to_leave = items.into_iter().zip(parts).filter(|(_, part)| *part > 0);
    let to_leave = to_leave.map(|((id, _), part)| (id.to_owned(), part));
    (total, to_leave.collect())
}

fn log_change(runner: &Runner, service: &str, load: &ServiceLoad, change: Change) {
    let (name, closed) = match change {
        Change::Closed => {
            Metrics::count(&runner.node.metrics.batch_closings);
            ("batch_closed", Duration::ZERO)
        }
        Change::Opened(after) => ("batch_opened", after),
    };
    runner.node.log.write(name, || {
        serde_json::json!({"service": service, "closed_ms": closed.as_millis() as u64,
            "waiting": load.waiting, "returning": load.returning, "slots": load.slots,
            "online": load.online, "batch": load.batch, "free": load.free})
    });
}

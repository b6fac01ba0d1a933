//! Preempts items on servers that online requests need. A preempted item keeps its output and resumes after its
//! last event on any server with capacity.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dappleyard_cluster::node_number;
use dappleyard_ingress::Metrics;

use crate::order::{Rank, rank};
use crate::owned::{OwnedJob, Progress};
use crate::runner::Runner;
use dappleyard_clock::Instant;

/// Delay before a preempted item is restarted, by which time its server has released it and the other servers'
/// loads are up to date.
const RESUME_DELAY: Duration = Duration::from_millis(80);

struct RunningItem {
    job: Rc<OwnedJob>,
    index: usize,
    rank: Rank,
}

/// Preempts this node's share of the items that block online requests.
pub(crate) fn preempt(runner: &Runner) {
    let own = node_number(&runner.node.settings.name);
    for (server, mut running) in running_by_server(runner) {
        let Some(slots) = runner.slots(&server) else {
            continue;
        };
        let load = runner.node.loads.summary(&server);
        let capacity = match items_to_preempt(runner, &server) {
            0 => slots,
            preempted => slots
                .min(load.online + load.batch)
                .saturating_sub(preempted),
        };
        let count = runner.node.loads.pause_share(&server, capacity, own);
        // The lowest-ranked items are preempted first.
        running.sort_by_key(|item| std::cmp::Reverse(item.rank));
        for item in running.into_iter().take(count as usize) {
            preempt_item(runner, &server, &item, load.online, load.batch);
        }
    }
}

/// Number of items that all nodes together preempt on a server for requests that wait for its service.
fn items_to_preempt(runner: &Runner, server: &str) -> u32 {
    let Some(record) = runner.node.view.server(server) else {
        return 0;
    };
    let services = runner.services.borrow();
    let service = services.get(&record.service);
    let preempted = service.and_then(|service| service.items_to_preempt.get(server));
    preempted.copied().unwrap_or(0)
}

fn running_by_server(runner: &Runner) -> HashMap<String, Vec<RunningItem>> {
    let mut servers: HashMap<String, Vec<RunningItem>> = HashMap::new();
    let now_ms = runner.table.now_ms().unwrap_or(0);
    let configuration = runner.node.view.configuration();
    for job in runner.owned.borrow().values() {
        let state = job.state.borrow();
        let row = &state.row;
        let priority = configuration.as_ref().and_then(|configuration| {
            let route = configuration.route_named(&row.route)?;
            Some(configuration.priority(route, &row.tenant))
        });
        // Without a route, the scheduler abandons the items in its next pass.
        let priority = priority.unwrap_or_default();
        for (index, item) in state.items.iter().enumerate() {
            if let Some(run) = item.active_run.as_ref().filter(|_| item.is_preemptible()) {
                let needed_ms = runner.estimate.get().remaining_ms(item.events);
                servers
                    .entry(run.server.clone())
                    .or_default()
                    .push(RunningItem {
                        job: job.clone(),
                        index,
                        rank: rank(state.row.due_ms, needed_ms, now_ms, priority),
                    });
            }
        }
    }
    servers
}

fn preempt_item(runner: &Runner, server: &str, running: &RunningItem, online: u32, batch: u32) {
    let mut state = running.job.state.borrow_mut();
    let item = &mut state.items[running.index];
    let Some(run) = item.active_run.take() else {
        return;
    };
    run.abort();
    if !item.response_started {
        item.pauses_before_response += 1;
    }
    item.progress = Progress::Waiting;
    item.not_before = Some(Instant::now() + RESUME_DELAY);
    Metrics::count(&runner.node.metrics.items_paused);
    runner.node.log.write("item_paused", || {
        serde_json::json!({"job": running.job.job, "item": item.stored.id, "server": server,
            "events": item.events, "online": online, "batch": batch})
    });
}

//! Pauses items at servers where online work presses. A paused item keeps its text and goes on
//! behind its last event, at whichever server has room.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dappleyard_cluster::node_number;
use dappleyard_ingress::Metrics;

use crate::order::{Rank, rank};
use crate::owned::{OwnedJob, Progress};
use crate::runner::Runner;
use dappleyard_clock::Instant;

/// Time before a paused item is sent again: its server has then let it go, and the others have heard
/// what took its place.
const PAUSE: Duration = Duration::from_millis(80);

/// One item that runs.
struct Running {
    job: Rc<OwnedJob>,
    index: usize,
    rank: Rank,
}

/// Pauses this node's share of the items that stand in the way of online work.
pub(crate) fn preempt(runner: &Runner) {
    let own = node_number(&runner.node.settings.name);
    for (server, mut running) in running_by_server(runner) {
        let Some(slots) = runner.slots(&server) else {
            continue;
        };
        let load = runner.node.loads.summary(&server);
        let left = match to_leave(runner, &server) {
            0 => slots,
            leaving => slots.min(load.online + load.batch).saturating_sub(leaving),
        };
        let count = runner.node.loads.pause_share(&server, left, own);
        // The item whose turn comes last waits first.
        running.sort_by_key(|item| std::cmp::Reverse(item.rank));
        for item in running.into_iter().take(count as usize) {
            pause(runner, &server, &item, load.online, load.batch);
        }
    }
}

/// Items that all nodes take from a server for requests that wait for a slot of its service.
fn to_leave(runner: &Runner, server: &str) -> u32 {
    let Some(record) = runner.node.view.server(server) else {
        return 0;
    };
    let services = runner.services.borrow();
    let service = services.get(&record.service);
    let leaving = service.and_then(|service| service.to_leave.get(server));
    leaving.copied().unwrap_or(0)
}

fn running_by_server(runner: &Runner) -> HashMap<String, Vec<Running>> {
    let mut servers: HashMap<String, Vec<Running>> = HashMap::new();
    let now_ms = runner.table.now_ms().unwrap_or(0);
    let configuration = runner.node.view.configuration();
    for job in runner.owned.borrow().values() {
        let state = job.state.borrow();
        let row = &state.row;
        let priority = configuration.as_ref().and_then(|configuration| {
            let route = configuration.route_named(&row.route)?;
            Some(configuration.priority(route, &row.tenant))
        });
        // Without a route the items are given up at the next look.
        let priority = priority.unwrap_or_default();
        for (index, item) in state.items.iter().enumerate() {
            if let Some(run) = item.task.as_ref().filter(|_| item.may_be_paused()) {
                let needs_ms = runner.estimate.get().remaining_ms(item.events);
                servers
                    .entry(run.server.clone())
                    .or_default()
                    .push(Running {
                        job: job.clone(),
                        index,
                        rank: rank(state.row.due_ms, needs_ms, now_ms, priority),
                    });
            }
        }
    }
    servers
}

fn pause(runner: &Runner, server: &str, running: &Running, online: u32, batch: u32) {
    let mut state = running.job.state.borrow_mut();
    let item = &mut state.items[running.index];
    let Some(run) = item.task.take() else {
        return;
    };
    run.abort();
    if !item.answered {
        item.paused_unanswered += 1;
    }
    item.progress = Progress::Waiting;
    item.not_before = Some(Instant::now() + PAUSE);
    Metrics::count(&runner.node.metrics.items_paused);
    runner.node.log.write("item_paused", || {
        serde_json::json!({"job": running.job.job, "item": item.stored.id, "server": server,
            "events": item.events, "online": online, "batch": batch})
    });
}

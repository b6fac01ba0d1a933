//! Text tables for terminal output.

use std::collections::BTreeMap;

use comfy_table::{ColumnConstraint, ContentArrangement, Table, TableComponent, presets};
use dappleyard_operate::api::bodies::ConfigurationBody;
use dappleyard_operate::explain::Explanation;
use dappleyard_operate::jobs::JobSummary;
use dappleyard_operate::plans::PlanDocument;
use dappleyard_operate::plans::body::{CapacityLeft, Step};
use dappleyard_operate::plans::store::PlanSummary;
use dappleyard_operate::status::{FleetStatus, NodeStatus, ServerStatus};

use crate::time::{duration, now_unix_ms, relative, time_of_day};

/// Table width in columns.
pub const WIDTH: u16 = 100;
/// Number of names listed before the list is truncated.
const NAMES_SHOWN: usize = 6;

/// Table with a single rule under the header; the first column is never wrapped.
fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::UTF8_HORIZONTAL_ONLY)
        .remove_style(TableComponent::HorizontalLines)
        .remove_style(TableComponent::LeftBorderIntersections)
        .remove_style(TableComponent::MiddleIntersections)
        .remove_style(TableComponent::RightBorderIntersections)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_width(WIDTH)
        .set_header(header.to_vec());
    if let Some(first) = table.column_mut(0) {
        first.set_constraint(ColumnConstraint::ContentWidth);
    }
    table
}

fn names(names: &[String]) -> String {
    match names.len() {
        0 => "-".to_owned(),
        count if count > NAMES_SHOWN => format!(
            "{} and {} more",
            names[..NAMES_SHOWN].join(" "),
            count - NAMES_SHOWN
        ),
        _ => names.join(" "),
    }
}

/// Overview of the fleet.
pub fn status(status: &FleetStatus) -> String {
    let revision = &status.revision;
    let mut parts = vec![format!(
        "configuration revision {} in force on {} of {} nodes{}",
        revision.revision,
        revision.in_force,
        revision.nodes,
        if revision.lagging.is_empty() {
            String::new()
        } else {
            format!("; behind: {}", names(&revision.lagging))
        }
    )];
    parts.push(zones(status).to_string());
    parts.push(services(status).to_string());
    if !status.plans.is_empty() {
        parts.push(format!("running plans\n{}", plans(&status.plans)));
    }
    if !status.jobs_at_risk.is_empty() {
        parts.push(format!("jobs at risk\n{}", jobs_at_risk(status)));
    }
    parts.extend(
        status
            .unknown
            .iter()
            .map(|cause| format!("unknown: {cause}")),
    );
    parts.push(format!(
        "collected by {} at {} UTC",
        status.observed_by,
        time_of_day(status.unix_ms)
    ));
    parts.join("\n")
}

fn zones(status: &FleetStatus) -> Table {
    let mut table = table(&[
        "zone", "nodes", "ready", "servers", "serving", "online", "batch",
    ]);
    let mut zones: BTreeMap<&str, (Vec<&NodeStatus>, Vec<&ServerStatus>)> = BTreeMap::new();
    for node in &status.nodes {
        zones.entry(&node.zone).or_default().0.push(node);
    }
    for server in &status.servers {
        zones.entry(&server.zone).or_default().1.push(server);
    }
    for (zone, (nodes, servers)) in zones {
        let alive = nodes.iter().filter(|node| node.member == "alive").count();
        let ready = nodes
            .iter()
            .filter(|node| node.lifecycle == "ready")
            .count();
        let serving = servers.iter().filter(|server| server.serves()).count();
        let (online, batch) = load(&servers);
        table.add_row([
            zone.to_owned(),
            alive.to_string(),
            ready.to_string(),
            servers.len().to_string(),
            serving.to_string(),
            online.to_string(),
            batch.to_string(),
        ]);
    }
    table
}

fn load(servers: &[&ServerStatus]) -> (usize, usize) {
    let live = servers.iter().filter_map(|server| server.live.as_ref());
    live.fold((0, 0), |(online, batch), live| {
        (online + live.online, batch + live.batch)
    })
}

fn services(status: &FleetStatus) -> Table {
    let mut table = table(&["service", "version", "state", "servers", "online", "batch"]);
    let mut groups: BTreeMap<(&str, &str, &str), Vec<&ServerStatus>> = BTreeMap::new();
    for server in &status.servers {
        groups
            .entry((&server.service, server.version(), &server.state))
            .or_default()
            .push(server);
    }
    for ((service, version, state), servers) in groups {
        let (online, batch) = load(&servers);
        table.add_row([
            service.to_owned(),
            if version.is_empty() { "-" } else { version }.to_owned(),
            state.to_owned(),
            servers.len().to_string(),
            online.to_string(),
            batch.to_string(),
        ]);
    }
    table
}

fn jobs_at_risk(status: &FleetStatus) -> Table {
    let now = now_unix_ms();
    let mut table = table(&["job", "tenant", "deadline", "why"]);
    for job in &status.jobs_at_risk {
        table.add_row([
            job.job.clone(),
            job.tenant.clone(),
            relative(job.deadline_unix_s, now),
            job.reason.clone(),
        ]);
    }
    table
}

pub fn plans(plans: &[PlanSummary]) -> Table {
    let mut table = table(&["plan", "phase", "what", "last"]);
    for plan in plans {
        table.add_row([&plan.id, &plan.phase, &plan.summary, &plan.message]);
    }
    table
}

pub fn plan(plan: &PlanDocument) -> String {
    let body = &plan.body;
    let mut parts = vec![format!(
        "plan {}: {} [{}]",
        plan.id, body.summary, plan.phase
    )];
    parts.push(format!("  {}", plan.message));
    if !body.changes.is_empty() {
        let mut table = table(&["row", "before", "after"]);
        for change in &body.changes {
            table.add_row([&change.key, &change.before, &change.after]);
        }
        parts.push(table.to_string());
    }
    parts.push(steps(&body.steps).to_string());
    parts.push(format!(
        "expected duration {}; in progress on what it touches: {} online requests, {} batch items (none is cut)",
        duration(body.expected_ms),
        body.requests_affected.online,
        body.requests_affected.batch
    ));
    if body.deadlines_at_risk.is_empty() {
        parts.push("no deadline at risk".to_owned());
    }
    let now = now_unix_ms();
    parts.extend(body.deadlines_at_risk.iter().map(|job| {
        format!(
            "deadline at risk: job {} of {}, due {}: {}",
            job.job,
            job.tenant,
            relative(job.deadline_unix_s, now),
            job.reason
        )
    }));
    parts.extend(
        body.warnings
            .iter()
            .map(|warning| format!("warning: {warning}")),
    );
    parts.push(format!("depends on {} rows", body.basis.len()));
    if plan.phase == "proposed" {
        parts.push(format!("to execute it: dappleyard ctl confirm {}", plan.id));
    } else {
        parts.push(progress(plan));
    }
    parts.join("\n")
}

fn steps(steps: &[Step]) -> Table {
    const STEPS_SHOWN: usize = 40;
    let mut table = table(&["step", "what", "servers", "capacity left", "time"]);
    for (number, step) in steps.iter().take(STEPS_SHOWN).enumerate() {
        table.add_row([
            (number + 1).to_string(),
            step.what.clone(),
            names(&step.servers),
            capacity(&step.capacity),
            duration(step.expected_ms),
        ]);
    }
    if steps.len() > STEPS_SHOWN {
        let truncated = format!("and {} more steps", steps.len() - STEPS_SHOWN);
        table.add_row(["", truncated.as_str(), "", "", ""]);
    }
    table
}

fn capacity(left: &[CapacityLeft]) -> String {
    let lines: Vec<String> = left
        .iter()
        .map(|left| {
            format!(
                "{} {}: {} of {}",
                left.zone, left.service, left.serving, left.before
            )
        })
        .collect();
    lines.join("\n")
}

/// Progress of a plan on one line.
pub fn progress(plan: &PlanDocument) -> String {
    let progress = &plan.progress;
    let mut line = format!(
        "{} {}: {} of {} done",
        plan.id,
        plan.phase,
        progress.done.len(),
        progress.servers
    );
    if !progress.in_progress.is_empty() {
        line += &format!(", on their way: {}", names(&progress.in_progress));
    }
    if progress.online + progress.batch > 0 {
        line += &format!(
            ", still running {} online, {} batch",
            progress.online, progress.batch
        );
    }
    format!("{line}; {}", plan.message)
}

pub fn servers(servers: &[ServerStatus]) -> Table {
    let mut table = table(&[
        "server", "service", "zone", "state", "version", "owner", "online", "batch", "step",
    ]);
    for server in servers {
        let live = server.live.as_ref();
        table.add_row([
            server.server.clone(),
            server.service.clone(),
            server.zone.clone(),
            server.state.clone(),
            server.version().to_owned(),
            server.owner.clone(),
            live.map_or_else(String::new, |live| live.online.to_string()),
            live.map_or_else(String::new, |live| live.batch.to_string()),
            live.map_or_else(String::new, |live| format!("{:.1} ms", live.step_ms)),
        ]);
    }
    table
}

pub fn nodes(nodes: &[NodeStatus]) -> Table {
    let mut table = table(&[
        "node",
        "zone",
        "member",
        "lifecycle",
        "revision",
        "servers",
        "admin",
    ]);
    for node in nodes {
        table.add_row([
            node.node.clone(),
            node.zone.clone(),
            node.member.clone(),
            node.lifecycle.clone(),
            node.revision.to_string(),
            node.servers.to_string(),
            node.admin_address.clone(),
        ]);
    }
    table
}

pub fn configuration(answer: &ConfigurationBody) -> String {
    let mut table = table(&["row", "value"]);
    for row in &answer.rows {
        table.add_row([&row.key, &row.words]);
    }
    format!("revision {}\n{table}", answer.revision)
}

pub fn jobs(jobs: &[JobSummary]) -> Table {
    let now = now_unix_ms();
    let mut table = table(&[
        "job", "tenant", "phase", "items", "settled", "deadline", "expected", "risk",
    ]);
    for job in jobs {
        table.add_row([
            job.job.clone(),
            job.tenant.clone(),
            job.phase.clone(),
            job.items.to_string(),
            job.settled.to_string(),
            relative(job.deadline_unix_s, now),
            relative(job.expected_unix_s, now),
            if job.at_risk { "at risk" } else { "" }.to_owned(),
        ]);
    }
    table
}

pub fn explanation(explanation: &Explanation) -> String {
    let mut parts = vec![explanation.answer.clone()];
    parts.extend(
        explanation
            .state
            .iter()
            .map(|words| format!("  now: {words}")),
    );
    if !explanation.events.is_empty() {
        let mut table = table(&["time (UTC)", "node", "decision", "inputs"]);
        for event in &explanation.events {
            let inputs: Vec<String> = event
                .inputs
                .iter()
                .map(|(name, value)| format!("{name} {value}"))
                .collect();
            table.add_row([
                time_of_day(event.unix_ms),
                event.node.clone(),
                event.words.clone(),
                inputs.join("\n"),
            ]);
        }
        parts.push(table.to_string());
    }
    parts.extend(
        explanation
            .unknown
            .iter()
            .map(|cause| format!("unknown: {cause}")),
    );
    parts.join("\n")
}

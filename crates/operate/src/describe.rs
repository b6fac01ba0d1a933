//! Human-readable descriptions of rows, for plans, conflicts and explanations.

use dappleyard_wire::messages::{
    DrainRow, JobRow, PlanGuardRow, PlanRow, ServiceRow, TenantRow, WindowRow,
};
use prost::Message;

/// Describes a row's value; `None` is an absent row.
pub fn describe_row(key: &str, value: Option<&[u8]>) -> String {
    let Some(value) = value else {
        return "absent".to_owned();
    };
    let path: Vec<&str> = key.split('/').collect();
    let description = match path.as_slice() {
        ["config", "service", _] => ServiceRow::decode(value).map(|row| describe_service(&row)),
        ["config", "tenant", _] => TenantRow::decode(value).map(|row| describe_tenant(&row)),
        ["config", "window", _] => WindowRow::decode(value).map(|row| describe_window(&row)),
        ["config", "drain", ..] => {
            DrainRow::decode(value).map(|row| format!("drained by plan {}", row.plan_id))
        }
        ["plan-guard", _] => PlanGuardRow::decode(value)
            .map(|row| format!("last plan {} ({})", row.plan_id, row.summary)),
        ["plan", _] => PlanRow::decode(value).map(|row| phase_name(row.phase()).to_owned()),
        ["split-job", _] => return "to be split into chunks".to_owned(),
        ["active-job", _] => return "needs capacity".to_owned(),
        ["job", ..] => JobRow::decode(value).map(|row| describe_job(&row)),
        _ => return format!("{} bytes", value.len()),
    };
    description.unwrap_or_else(|_| "a row that this version cannot read".to_owned())
}

/// Describes what a row key refers to.
pub fn describe_key(key: &str) -> String {
    let path: Vec<&str> = key.splitn(4, '/').collect();
    match path.as_slice() {
        ["config", "drain", kind, name] => format!("drain of {kind} {name}"),
        ["config", kind, name] => format!("{kind} {name}"),
        ["plan-guard", service] => format!("plans that take capacity from {service}"),
        ["job", tenant, job] => format!("job {job} of {tenant}"),
        _ => key.to_owned(),
    }
}

fn describe_service(row: &ServiceRow) -> String {
    let mut description = vec![format!("version {}", row.version)];
    if !row.canary.is_empty() {
        description.push(format!("canary {} on {} %", row.canary, row.canary_percent));
    }
    if !row.adapters.is_empty() {
        description.push(format!("adapters {}", row.adapters.join(" ")));
    }
    description.push(match row.replicas {
        0 => "all its servers".to_owned(),
        count => format!("{count} servers"),
    });
    description.push(format!("online slowdown {} %", row.online_slowdown_percent));
    description.push(format!(
        "budget {} a zone, {} in all",
        or_default(row.max_unavailable_zone),
        or_default(row.max_unavailable_total)
    ));
    description.push(format!(
        "prompts to {}, answers to {} tokens",
        or_default(row.max_prompt_tokens),
        or_default(row.max_output_tokens)
    ));
    description.join(", ")
}

fn or_default(value: u32) -> String {
    match value {
        0 => "default".to_owned(),
        value => value.to_string(),
    }
}

fn describe_tenant(row: &TenantRow) -> String {
    format!(
        "{} requests/s, burst {}, {} concurrent tokens, batch weight {}, jobs to {} items approved",
        row.requests_per_s,
        row.requests_burst,
        row.concurrent_tokens,
        row.batch_weight,
        row.standing_batch_items
    )
}

fn describe_window(row: &WindowRow) -> String {
    let when = if row.starts_unix_s > 0 {
        format!(
            "once, {} to {} (Unix s)",
            row.starts_unix_s, row.ends_unix_s
        )
    } else {
        format!(
            "{} to {} UTC, days {:#09b}",
            time_of_day(row.start_s),
            time_of_day(row.end_s),
            row.days
        )
    };
    format!(
        "{} {when}, batch at {} %, warm {} s before",
        row.service, row.batch_percent, row.warm_before_s
    )
}

fn time_of_day(seconds: u32) -> String {
    format!("{:02}:{:02}", seconds / 3600, seconds / 60 % 60)
}

fn describe_job(row: &JobRow) -> String {
    let phase = row
        .state
        .as_ref()
        .map_or("without state", |state| job_phase_name(state.phase()));
    format!(
        "{phase}{}, {} of {} chunks done",
        if row.cancelled { ", cancelled" } else { "" },
        row.chunks_done,
        row.chunks
    )
}

pub const fn job_phase_name(phase: dappleyard_wire::messages::JobPhase) -> &'static str {
    use dappleyard_wire::messages::JobPhase;
    match phase {
        JobPhase::JobValidating => "validating",
        JobPhase::JobInProgress => "in_progress",
        JobPhase::JobFinalizing => "finalizing",
        JobPhase::JobCompleted => "completed",
        JobPhase::JobFailed => "failed",
        JobPhase::JobCancelling => "cancelling",
        JobPhase::JobCancelled => "cancelled",
        JobPhase::JobPlanned => "planned",
    }
}

pub const fn phase_name(phase: dappleyard_wire::messages::PlanPhase) -> &'static str {
    use dappleyard_wire::messages::PlanPhase;
    match phase {
        PlanPhase::PlanProposed => "proposed",
        PlanPhase::PlanConfirmed => "confirmed",
        PlanPhase::PlanRunning => "running",
        PlanPhase::PlanDone => "done",
        PlanPhase::PlanAborted => "aborted",
        PlanPhase::PlanFailed => "failed",
        PlanPhase::PlanOvertaken => "overtaken",
    }
}

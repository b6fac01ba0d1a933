//! Conversion of command-line arguments to intents.

use clap::ArgMatches;
use dappleyard_operate::intent::{
    BatchJob, DemandWindow, DrainKind, DrainTarget, Intent, ModelSet, Rollout, TenantLimits,
    WindowName,
};

use crate::client::CtlError;

const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

fn usage(message: impl Into<String>) -> CtlError {
    CtlError::Usage {
        message: message.into(),
    }
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn number(matches: &ArgMatches, name: &str) -> Option<u32> {
    matches.get_one::<u32>(name).copied()
}

/// Intent of the `plan NAME ...` command.
pub fn intent(name: &str, matches: &ArgMatches) -> Result<Intent, CtlError> {
    Ok(match name {
        "rollout" => Intent::Rollout(rollout(matches)),
        "drain" => Intent::Drain(drain_target(matches)?),
        "undrain" => Intent::Undrain(drain_target(matches)?),
        "tenant" => Intent::Tenant(tenant(matches)),
        "window" => Intent::Window(window(matches)?),
        "remove-window" => Intent::RemoveWindow(WindowName {
            name: text(matches, "name"),
        }),
        "model-set" => Intent::ModelSet(model_set(matches)),
        "batch-job" => Intent::BatchJob(batch_job(matches)),
        "json" => serde_json::from_str(&text(matches, "intent"))
            .map_err(|error| usage(format!("invalid intent: {error}")))?,
        other => return Err(usage(format!("unknown intent {other}"))),
    })
}

pub fn rollout(matches: &ArgMatches) -> Rollout {
    Rollout {
        service: text(matches, "service"),
        version: text(matches, "version"),
        canary_percent: number(matches, "canary-percent").unwrap_or(10),
    }
}

pub fn drain_target(matches: &ArgMatches) -> Result<DrainTarget, CtlError> {
    let kind = match text(matches, "kind").as_str() {
        "server" => DrainKind::Server,
        "node" => DrainKind::Node,
        "hall" => DrainKind::Hall,
        "zone" => DrainKind::Zone,
        other => return Err(usage(format!("{other} cannot be drained"))),
    };
    Ok(DrainTarget {
        kind,
        name: text(matches, "name"),
    })
}

pub fn batch_job(matches: &ArgMatches) -> BatchJob {
    BatchJob {
        tenant: text(matches, "tenant"),
        job: text(matches, "job"),
    }
}

fn tenant(matches: &ArgMatches) -> TenantLimits {
    TenantLimits {
        tenant: text(matches, "name"),
        requests_per_s: matches.get_one::<f64>("requests-per-s").copied(),
        requests_burst: matches.get_one::<f64>("requests-burst").copied(),
        concurrent_tokens: matches.get_one::<u64>("concurrent-tokens").copied(),
        batch_weight: number(matches, "batch-weight"),
        standing_batch_items: number(matches, "standing-batch-items"),
    }
}

fn window(matches: &ArgMatches) -> Result<DemandWindow, CtlError> {
    Ok(DemandWindow {
        name: text(matches, "name"),
        service: text(matches, "service"),
        start_s: seconds_after_midnight(&text(matches, "start"))?,
        end_s: seconds_after_midnight(&text(matches, "end"))?,
        days: days(&text(matches, "days"))?,
        batch_percent: number(matches, "batch-percent").unwrap_or(0),
        warm_before_s: number(matches, "warm-before-s").unwrap_or(0),
        ..DemandWindow::default()
    })
}

fn seconds_after_midnight(text: &str) -> Result<u32, CtlError> {
    let invalid_time = || {
        usage(format!(
            "{text} is not a time of day; expected HH:MM, such as 17:30"
        ))
    };
    let (hours, minutes) = text.split_once(':').ok_or_else(invalid_time)?;
    let hours: u32 = hours.parse().map_err(|_| invalid_time())?;
    let minutes: u32 = minutes.parse().map_err(|_| invalid_time())?;
    if hours > 24 || minutes > 59 {
        return Err(invalid_time());
    }
    Ok(hours * 3600 + minutes * 60)
}

fn days(text: &str) -> Result<u32, CtlError> {
    let mut bits = 0;
    for name in text.split(',') {
        let day = DAYS.iter().position(|day| *day == name.trim());
        let day = day.ok_or_else(|| usage(format!("{name} is not a day; expected mon,tue,...")))?;
        bits |= 1 << day;
    }
    Ok(bits)
}

fn model_set(matches: &ArgMatches) -> ModelSet {
    let adapters = matches.get_many::<String>("adapter");
    ModelSet {
        service: text(matches, "service"),
        version: matches.get_one::<String>("version").cloned(),
        adapters: adapters.map(|adapters| adapters.cloned().collect()),
        replicas: number(matches, "replicas"),
        online_slowdown_percent: number(matches, "online-slowdown-percent"),
        max_unavailable_zone: number(matches, "max-unavailable-zone"),
        max_unavailable_total: number(matches, "max-unavailable-total"),
        max_prompt_tokens: number(matches, "max-prompt-tokens"),
        max_output_tokens: number(matches, "max-output-tokens"),
    }
}

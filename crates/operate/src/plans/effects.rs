//! Estimates the effects of a plan on capacity, requests in progress and batch deadlines.

use std::collections::BTreeMap;

use dappleyard_decide::disruption::Budget;
use dappleyard_decide::plans::{AfterWave, PlannedServer, Wave, WaveBounds, waves};
use dappleyard_decide::rollout::canary_count;
use dappleyard_settings::OperateSettings;

use crate::intent::{BatchJob, DrainKind, DrainTarget, Intent, Rollout};
use crate::jobs::{JobAtRisk, JobSummary, is_unfinished, risk};
use crate::plans::body::{CapacityLeft, RequestsAffected, Step};
use crate::plans::changes::drained_servers;
use crate::status::{FleetStatus, ServerStatus};

/// Expected time until a drained server is idle.
const EXPECTED_DRAIN_MS: u64 = 15_000;
/// Expected time until all nodes have applied a configuration change.
const EXPECTED_PROPAGATION_MS: u64 = 3_000;

/// Inputs of the estimate besides the intent.
pub struct PlanningContext<'a> {
    pub status: &'a FleetStatus,
    /// Disruption budget of each affected service.
    pub budgets: BTreeMap<String, Budget>,
    pub jobs: &'a [JobSummary],
    pub settings: &'a OperateSettings,
    pub now_unix_s: u64,
}

/// Estimated effects of a plan.
#[derive(Debug, Clone, Default)]
pub struct Effects {
    pub steps: Vec<Step>,
    /// Requests in progress on the affected servers.
    pub requests: RequestsAffected,
    /// Batch jobs that may miss their deadline.
    pub deadlines: Vec<JobAtRisk>,
    pub expected_ms: u64,
    pub warnings: Vec<String>,
}

pub fn estimate_effects(intent: &Intent, context: &PlanningContext<'_>) -> Effects {
    let mut effects = match intent {
        Intent::Rollout(rollout) => rollout_effects(rollout, context),
        Intent::Drain(target) => drain_effects(target, context),
        Intent::BatchJob(job) => batch_job_effects(job, context),
        _ => single_step(intent),
    };
    effects.expected_ms = effects.steps.iter().map(|step| step.expected_ms).sum();
    effects.deadlines = deadlines(intent, &effects, context);
    effects.warnings.extend(warnings(intent, context));
    effects
}

fn single_step(intent: &Intent) -> Effects {
    Effects {
        steps: vec![Step {
            what: format!("{}; in force on every node", intent.summary()),
            expected_ms: EXPECTED_PROPAGATION_MS,
            ..Step::default()
        }],
        ..Effects::default()
    }
}

/// A batch job uses idle capacity only and shares it with the running jobs.
fn batch_job_effects(job: &BatchJob, context: &PlanningContext<'_>) -> Effects {
    let known = context.jobs.iter().find(|line| line.job == job.job);
    let competing = context
        .jobs
        .iter()
        .filter(|line| is_unfinished(&line.phase));
    let servers = context
        .status
        .servers
        .iter()
        .filter(|server| server.serves());
    let items = known.map_or(0, |line| line.items);
    let due_s = known.map_or(0, |line| {
        line.deadline_unix_s.saturating_sub(context.now_unix_s)
    });
    Effects {
        steps: vec![Step {
            what: format!(
                "run {items} items, due in {due_s} s, in the idle capacity of {} servers, beside {} jobs",
                servers.count(),
                competing.count()
            ),
            ..Step::default()
        }],
        warnings: vec!["its finish is foreseen once its first chunks are done".to_owned()],
        ..Effects::default()
    }
}

fn planned_server(server: &ServerStatus) -> PlannedServer {
    PlannedServer {
        server: server.server.clone(),
        service: server.service.clone(),
        zone: server.zone.clone(),
        serving: server.serves(),
    }
}

fn all_servers(context: &PlanningContext<'_>) -> Vec<PlannedServer> {
    context.status.servers.iter().map(planned_server).collect()
}

fn bounds(context: &PlanningContext<'_>, concurrency: usize) -> WaveBounds {
    WaveBounds {
        budgets: context.budgets.clone(),
        concurrency,
    }
}

fn drain_effects(target: &DrainTarget, context: &PlanningContext<'_>) -> Effects {
    if target.kind == DrainKind::Node {
        return node_drain_effects(target);
    }
    let affected: Vec<&ServerStatus> = drained_servers(target, context.status).collect();
    let targets: Vec<PlannedServer> = affected
        .iter()
        .map(|server| planned_server(server))
        .collect();
    let bounds = bounds(context, usize::MAX);
    let waves = waves(&targets, &all_servers(context), &bounds, AfterWave::StayOut);
    let steps = waves
        .iter()
        .map(|wave| {
            step_from_wave(
                wave,
                "take out and wait until nothing runs there",
                EXPECTED_DRAIN_MS,
            )
        })
        .collect();
    Effects {
        steps,
        requests: requests(&affected),
        ..Effects::default()
    }
}

fn node_drain_effects(target: &DrainTarget) -> Effects {
    Effects {
        steps: vec![Step {
            what: format!(
                "node {} takes nothing new, finishes what it has; its servers pass to other nodes",
                target.name
            ),
            expected_ms: EXPECTED_DRAIN_MS,
            ..Step::default()
        }],
        ..Effects::default()
    }
}

fn rollout_effects(rollout: &Rollout, context: &PlanningContext<'_>) -> Effects {
    let service_servers: Vec<&ServerStatus> = context
        .status
        .servers
        .iter()
        .filter(|server| server.service == rollout.service)
        .filter(|server| !matches!(server.state.as_str(), "drained" | "leaving"))
        .collect();
    let targets: Vec<PlannedServer> = service_servers
        .iter()
        .map(|server| planned_server(server))
        .collect();
    let canaries = canary_count(targets.len(), rollout.canary_percent);
    let all = all_servers(context);
    let bounds = bounds(context, context.settings.load_concurrency);
    let load_ms = context.settings.expected_load_ms;
    let (first, rest) = targets.split_at(canaries.min(targets.len()));
    let mut steps = load_steps(first, &all, &bounds, "canary: load", rollout, load_ms);
    steps.push(Step {
        what: format!(
            "watch the canaries; roll back on a failed load, on more than {} % failures or on steps above {} % of the others'",
            context.settings.canary_error_percent, context.settings.canary_step_percent
        ),
        expected_ms: context.settings.canary_watch_ms,
        ..Step::default()
    });
    steps.extend(load_steps(rest, &all, &bounds, "load", rollout, load_ms));
    Effects {
        steps,
        requests: requests(&service_servers),
        ..Effects::default()
    }
}

fn load_steps(
    targets: &[PlannedServer],
    all: &[PlannedServer],
    bounds: &WaveBounds,
    verb: &str,
    rollout: &Rollout,
    load_ms: u64,
) -> Vec<Step> {
    let what = format!("{verb} {}", rollout.version);
    waves(targets, all, bounds, AfterWave::Return)
        .iter()
        .map(|wave| step_from_wave(wave, &what, load_ms))
        .collect()
}

fn step_from_wave(wave: &Wave, what: &str, expected_ms: u64) -> Step {
    Step {
        what: what.to_owned(),
        servers: wave.servers.clone(),
        capacity: wave
            .capacity
            .iter()
            .map(|left| CapacityLeft {
                service: left.service.clone(),
                zone: left.zone.clone(),
                serving: left.serving,
                before: left.before,
            })
            .collect(),
        expected_ms,
    }
}

fn requests(servers: &[&ServerStatus]) -> RequestsAffected {
    let live = servers.iter().filter_map(|server| server.live.as_ref());
    live.fold(RequestsAffected::default(), |sum, server| {
        RequestsAffected {
            online: sum.online + server.online,
            batch: sum.batch + server.batch,
        }
    })
}

/// Batch jobs that miss their deadline if all remaining work is slowed down by the lost capacity.
fn deadlines(intent: &Intent, effects: &Effects, context: &PlanningContext<'_>) -> Vec<JobAtRisk> {
    let slowdown = slowdown(intent, effects, context);
    if slowdown <= 1.0 {
        return Vec::new();
    }
    let unfinished = context.jobs.iter().filter(|job| is_unfinished(&job.phase));
    let mut at_risk: Vec<JobAtRisk> = unfinished
        .filter_map(|job| risk(job, context.now_unix_s, slowdown))
        .collect();
    at_risk.sort_by_key(|job| job.deadline_unix_s);
    at_risk
}

/// Factor by which batch work slows down in the step with the least capacity.
fn slowdown(intent: &Intent, effects: &Effects, context: &PlanningContext<'_>) -> f64 {
    if !matches!(intent, Intent::Rollout(_) | Intent::Drain(_)) {
        return 1.0;
    }
    let all = context
        .status
        .servers
        .iter()
        .filter(|server| server.serves());
    let all = all.count();
    let most_out = effects
        .steps
        .iter()
        .map(|step| {
            let out = step
                .capacity
                .iter()
                .map(|left| left.before.saturating_sub(left.serving));
            out.sum::<u32>() as usize
        })
        .max()
        .unwrap_or(0);
    match all.saturating_sub(most_out) {
        0 if most_out > 0 => f64::INFINITY,
        0 => 1.0,
        left => all as f64 / left as f64,
    }
}

fn warnings(intent: &Intent, context: &PlanningContext<'_>) -> Vec<String> {
    let mut warnings = context.status.unknown.clone();
    if let Intent::Drain(target) = intent {
        warnings.extend(emptied_services(target, context.status));
    }
    warnings
}

/// Warnings for services that have no serving server left after the drain.
fn emptied_services(target: &DrainTarget, status: &FleetStatus) -> Vec<String> {
    let drained: Vec<&str> = drained_servers(target, status)
        .map(|server| server.server.as_str())
        .collect();
    let mut services: Vec<&str> = drained_servers(target, status)
        .map(|server| server.service.as_str())
        .collect();
    services.sort_unstable();
    services.dedup();
    services
        .into_iter()
        .filter(|service| {
            let mut serving = status
                .servers
                .iter()
                .filter(|server| server.service == *service && server.serves());
            !serving.any(|server| !drained.contains(&server.server.as_str()))
        })
        .map(|service| format!("no other server of {service} serves: its requests will be refused"))
        .collect()
}

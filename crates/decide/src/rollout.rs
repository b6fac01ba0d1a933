//! Assignment of model versions to servers, the canary health gate, and scheduling of model loads.

use std::collections::BTreeSet;

use crate::disruption::{
    Budget, BudgetContext, DisruptionDecision, InFlight, Replica, ReplicaState, may_disrupt,
};

/// Desired state from a service row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Version of all servers except the canaries.
    pub version: String,
    /// Version of the canaries; empty if no rollout is active.
    pub canary: String,
    /// Percentage of servers that run the canary version.
    pub canary_percent: u32,
    /// Number of servers that run the service; 0 for all.
    pub replicas: u32,
}

/// State of a server as observed by the service's controller.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerView {
    pub server: String,
    pub zone: String,
    /// Whether the engine responds.
    pub reachable: bool,
    /// Leaving or drained: accepts no requests and no model loads.
    pub leaving: bool,
    /// Loaded version; empty if none.
    pub version: String,
    /// Version being loaded; empty if none.
    pub loading: String,
    /// Error of the last load; empty if it succeeded.
    pub load_failure: String,
    /// Smoothed step time in milliseconds; 0 if unknown.
    pub step_ms: f64,
    /// Observations with failing requests or calls, out of `observations`.
    pub failed_observations: u32,
    /// Observations since it loaded its current version.
    pub observations: u32,
}

impl ServerView {
    fn usable(&self) -> bool {
        self.reachable && !self.leaving
    }

    pub fn serves(&self) -> bool {
        self.usable() && !self.version.is_empty() && self.loading.is_empty()
    }

    /// The server as a replica for the disruption budget.
    pub fn replica(&self) -> Replica {
        let state = if self.leaving {
            ReplicaState::Removed
        } else if self.serves() {
            ReplicaState::Healthy
        } else {
            ReplicaState::Unhealthy
        };
        Replica {
            server: self.server.clone(),
            zone: self.zone.clone(),
            state,
        }
    }
}

/// Desired version of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    pub server: String,
    pub version: String,
}

/// Number of canaries among `servers`: at least one, but not all if there is more than one server.
pub fn canary_count(servers: usize, percent: u32) -> usize {
    let share = (servers * percent.min(100) as usize).div_ceil(100);
    share.clamp(usize::from(servers > 0), servers.saturating_sub(1).max(1))
}

/// Assigns a version to each usable server, preferring loaded servers, and as canaries the servers
/// that already have the canary version.
pub fn assign(target: &Target, servers: &[ServerView]) -> Vec<Assignment> {
    let mut usable: Vec<&ServerView> = servers.iter().filter(|view| view.usable()).collect();
    usable.sort_by_key(|view| (view.version.is_empty(), view.server.as_str()));
    let wanted = match target.replicas {
        0 => usable.len(),
        count => usable.len().min(count as usize),
    };
    usable.truncate(wanted);
    let canaries = choose_canaries(target, &usable);
    usable
        .iter()
        .map(|view| Assignment {
            server: view.server.clone(),
            version: if canaries.contains(view.server.as_str()) {
                target.canary.clone()
            } else {
                target.version.clone()
            },
        })
        .collect()
}

fn choose_canaries<'a>(target: &Target, usable: &[&'a ServerView]) -> BTreeSet<&'a str> {
    if target.canary.is_empty() {
        return BTreeSet::new();
    }
    let mut order: Vec<&&ServerView> = usable.iter().collect();
    order.sort_by_key(|view| {
        let has_canary = view.version == target.canary || view.loading == target.canary;
        (!has_canary, view.server.as_str())
    });
    let count = canary_count(usable.len(), target.canary_percent);
    order
        .into_iter()
        .take(count)
        .map(|view| view.server.as_str())
        .collect()
}

/// Limits on concurrent loads.
#[derive(Debug, Clone, Copy)]
pub struct LoadBounds<'a> {
    /// Maximum servers that load a model at the same time.
    pub concurrency: usize,
    pub budget: Budget,
    pub in_flight: &'a [InFlight],
    /// Timeout of in-flight disruptions, in milliseconds.
    pub timeout_ms: u64,
    /// Current time, on the same clock as `InFlight::since_ms`.
    pub now_ms: u64,
    /// Reason why no serving server may be taken out of service; `None` if allowed.
    pub frozen: Option<&'a str>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadPlan {
    /// Loads to start now.
    pub start: Vec<Assignment>,
    /// First deferred load and the reason.
    pub held: Option<(Assignment, String)>,
}

/// Chooses the loads to start now, within the concurrency limit and the disruption budget. Empty
/// servers come first, then servers that run another version.
pub fn plan_loads(
    assignments: &[Assignment],
    servers: &[ServerView],
    bounds: LoadBounds<'_>,
) -> LoadPlan {
    let mut in_flight = bounds.in_flight.to_vec();
    let replicas: Vec<Replica> = servers
        .iter()
        .map(|view| budget_replica(view, &in_flight))
        .collect();
    let loading = servers.iter().filter(|view| !view.loading.is_empty());
    let mut available = bounds.concurrency.saturating_sub(loading.count());
    let mut plan = LoadPlan::default();
    for (assignment, view) in pending(assignments, servers) {
        let held = if available == 0 {
            Some(format!("{} loads are running already", bounds.concurrency))
        } else {
            let context = BudgetContext {
                replicas: &replicas,
                in_flight: &in_flight,
                timeout_ms: bounds.timeout_ms,
                now_ms: bounds.now_ms,
            };
            load_blocked_reason(view, context, &bounds)
        };
        if let Some(reason) = held {
            plan.held.get_or_insert((assignment.clone(), reason));
            continue;
        }
        available -= 1;
        in_flight.push(InFlight {
            server: view.server.clone(),
            zone: view.zone.clone(),
            since_ms: bounds.now_ms,
        });
        plan.start.push(assignment.clone());
    }
    plan
}

/// Counts a server as unavailable while it drains, and as removed afterwards.
fn budget_replica(view: &ServerView, in_flight: &[InFlight]) -> Replica {
    let mut replica = view.replica();
    let under_way = in_flight.iter().any(|flight| flight.server == view.server);
    if replica.state == ReplicaState::Removed && under_way {
        replica.state = ReplicaState::Unhealthy;
    }
    replica
}

/// Assignments whose server does not run the assigned version and is not loading one, empty servers
/// first.
fn pending<'a>(
    assignments: &'a [Assignment],
    servers: &'a [ServerView],
) -> Vec<(&'a Assignment, &'a ServerView)> {
    let mut pending: Vec<(&Assignment, &ServerView)> = assignments
        .iter()
        .filter_map(|assignment| {
            let view = servers
                .iter()
                .find(|view| view.server == assignment.server)?;
            let up_to_date = view.loading == assignment.version
                || view.version == assignment.version && view.loading.is_empty();
            (!up_to_date && view.loading.is_empty()).then_some((assignment, view))
        })
        .collect();
    pending.sort_by_key(|(_, view)| !view.version.is_empty());
    pending
}

/// Reason why a load may not start now. Only servers in service count against the budget.
fn load_blocked_reason(
    view: &ServerView,
    context: BudgetContext<'_>,
    bounds: &LoadBounds<'_>,
) -> Option<String> {
    if !view.serves() {
        return None;
    }
    if let Some(reason) = bounds.frozen {
        return Some(reason.to_owned());
    }
    match may_disrupt(&view.replica(), context, bounds.budget) {
        DisruptionDecision::Allowed | DisruptionDecision::AllowedUnhealthy => None,
        DisruptionDecision::AlreadyInFlight => {
            Some("its last disruption is not over yet".to_owned())
        }
        DisruptionDecision::Denied(exhausted) => Some(exhausted.description()),
    }
}

/// Thresholds of the canary health gate.
#[derive(Debug, Clone, Copy)]
pub struct GateBounds {
    /// Time that canaries must stay healthy before promotion, in milliseconds.
    pub watch_ms: u64,
    /// Percentage of failed observations above which the rollout is rolled back.
    pub error_percent: u32,
    /// Step time, as a percentage of the stable version's, above which the rollout is rolled back.
    pub step_percent: u32,
}

/// Minimum observations before the error rate and step time of a canary are evaluated.
pub const MIN_OBSERVATIONS: u32 = 5;

/// Decision of the canary health gate, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Gate {
    Wait(String),
    /// Roll the canary version out to all servers.
    Promote(String),
    /// Return the canaries to the stable version.
    RollBack(String),
}

/// Evaluates the canaries. `all_loaded_ms` is the time since all canaries have the version loaded.
pub fn gate(
    target: &Target,
    servers: &[ServerView],
    all_loaded_ms: Option<u64>,
    bounds: GateBounds,
) -> Gate {
    let assignments = assign(target, servers);
    let canaries: Vec<&ServerView> = servers
        .iter()
        .filter(|view| {
            assignments
                .iter()
                .any(|to| to.server == view.server && to.version == target.canary)
        })
        .collect();
    if let Some(failure) = load_failure(target, servers) {
        return Gate::RollBack(failure);
    }
    if let Some(reason) = high_error_rate(target, servers, bounds.error_percent) {
        return Gate::RollBack(reason);
    }
    if let Some(reason) = slow_steps(target, &canaries, servers, bounds.step_percent) {
        return Gate::RollBack(reason);
    }
    let loaded = canaries
        .iter()
        .filter(|view| view.version == target.canary && view.serves())
        .count();
    if canaries.is_empty() || loaded < canaries.len() {
        return Gate::Wait(format!(
            "{loaded} of {} canaries are loaded",
            canaries.len()
        ));
    }
    match all_loaded_ms {
        Some(watched) if watched >= bounds.watch_ms => Gate::Promote(format!(
            "{loaded} canaries were healthy for {:.1} s",
            watched as f64 / 1000.0
        )),
        watched => Gate::Wait(format!(
            "canaries watched for {:.1} of {:.1} s",
            watched.unwrap_or(0) as f64 / 1000.0,
            bounds.watch_ms as f64 / 1000.0
        )),
    }
}

fn load_failure(target: &Target, servers: &[ServerView]) -> Option<String> {
    let failed = servers
        .iter()
        .find(|view| view.load_failure.contains(&target.canary) && !view.load_failure.is_empty())?;
    Some(format!(
        "server {} failed to load {}: {}",
        failed.server, target.canary, failed.load_failure
    ))
}

fn high_error_rate(target: &Target, servers: &[ServerView], percent: u32) -> Option<String> {
    let on_canary = servers.iter().filter(|view| view.version == target.canary);
    let (failed, looks) = on_canary.fold((0, 0), |(failed, looks), view| {
        (failed + view.failed_observations, looks + view.observations)
    });
    let too_many = looks >= MIN_OBSERVATIONS && failed * 100 > looks * percent;
    too_many.then(|| {
        format!(
            "servers with {} failed at {failed} of {looks} looks, more than {percent} %",
            target.canary
        )
    })
}

fn slow_steps(
    target: &Target,
    canaries: &[&ServerView],
    servers: &[ServerView],
    percent: u32,
) -> Option<String> {
    let stable = servers.iter().filter(|view| view.version == target.version);
    let stable_ms = median(stable.map(|view| view.step_ms))?;
    let judged = canaries
        .iter()
        .filter(|view| view.version == target.canary && view.observations >= MIN_OBSERVATIONS);
    let canary_ms = median(judged.map(|view| view.step_ms))?;
    (canary_ms * 100.0 > stable_ms * f64::from(percent)).then(|| {
        format!(
            "a step of {} takes {canary_ms:.1} ms against {stable_ms:.1} ms of {}, more than {percent} %",
            target.canary, target.version
        )
    })
}

/// Median of the positive values.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut known: Vec<f64> = values.filter(|value| *value > 0.0).collect();
    known.sort_by(f64::total_cmp);
    known.get(known.len() / 2).copied()
}

//! Placement of model versions on the servers of a service, the canary's health gate, and which
//! loads may start now.

use std::collections::BTreeSet;

use crate::disruption::{Budget, InFlight, Replica, ReplicaState, Situation, Verdict, may_disrupt};

/// What a service row asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Version of all servers but the canaries.
    pub version: String,
    /// Version of the canaries; empty without a rollout.
    pub canary: String,
    /// Share of servers that carry the canary, percent.
    pub canary_percent: u32,
    /// Servers that carry the service; 0 for all.
    pub replicas: u32,
}

/// A server of the service as its controller sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerView {
    /// Server id.
    pub server: String,
    /// Zone.
    pub zone: String,
    /// The engine answers.
    pub reachable: bool,
    /// It is leaving or drained: it takes no new work and gets no loads.
    pub leaving: bool,
    /// Version loaded; empty for none.
    pub version: String,
    /// Version being loaded; empty for none.
    pub loading: String,
    /// What failed at the last load; empty when it succeeded.
    pub load_failure: String,
    /// Smoothed step time, milliseconds; 0 when unknown.
    pub step_ms: f64,
    /// Looks at which requests or calls to it were failing, of all looks at it.
    pub failed_looks: u32,
    /// Looks at it while it carried its present version.
    pub looks: u32,
}

impl ServerView {
    fn usable(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// Whether it serves a version at present.
    pub fn serves(&self) -> bool {
        self.usable() && !self.version.is_empty() && self.loading.is_empty()
    }

    /// State for the disruption budget.
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

/// Version that one server should carry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Server id.
    pub server: String,
    /// Version wanted.
    pub version: String,
}

/// Number of canaries among `servers`: at least one, and never all of several.
pub fn canary_count(servers: usize, percent: u32) -> usize {
    let share = (servers * percent.min(100) as usize).div_ceil(100);
    share.clamp(usize::from(servers > 0), servers.saturating_sub(1).max(1))
}

/// Says which version each usable server should carry. Servers that carry the right version keep
/// it; the choice depends on nothing but the arguments.
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
        let has_it = view.version == target.canary || view.loading == target.canary;
        (!has_it, view.server.as_str())
    });
    let count = canary_count(usable.len(), target.canary_percent);
    order
        .into_iter()
        .take(count)
        .map(|view| view.server.as_str())
        .collect()
}

/// Bounds on loads.
#[derive(Debug, Clone, Copy)]
pub struct LoadBounds<'a> {
    /// Servers that load at the same time.
    pub concurrency: usize,
    /// Disruption budget of the service.
    pub budget: Budget,
    /// Disruptions in flight.
    pub in_flight: &'a [InFlight],
    /// Their timeout, milliseconds.
    pub timeout_ms: u64,
    /// Now, on the clock of the disruptions.
    pub now_ms: u64,
    /// Why no serving server may be put out now; `None` when one may.
    pub frozen: Option<&'a str>,
}

/// Loads to order now and those held back, with the reason.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadPlan {
    /// Loads to order.
    pub start: Vec<Assignment>,
    /// First load held back and why; empty when none is.
    pub held: Option<(Assignment, String)>,
}

/// Chooses the loads that may start now: empty servers first, then those with another version, while
/// concurrency and the disruption budget have room.
pub fn plan_loads(
    assignments: &[Assignment],
    servers: &[ServerView],
    bounds: LoadBounds<'_>,
) -> LoadPlan {
    let mut in_flight = bounds.in_flight.to_vec();
    let replicas: Vec<Replica> = servers
        .iter()
        .map(|view| counted(view, &in_flight))
        .collect();
    let loading = servers.iter().filter(|view| !view.loading.is_empty());
    let mut room = bounds.concurrency.saturating_sub(loading.count());
    let mut plan = LoadPlan::default();
    for (assignment, view) in pending(assignments, servers) {
        let held = if room == 0 {
            Some(format!("{} loads are running already", bounds.concurrency))
        } else {
            let situation = Situation {
                replicas: &replicas,
                in_flight: &in_flight,
                timeout_ms: bounds.timeout_ms,
                now_ms: bounds.now_ms,
            };
            load_is_held(view, situation, &bounds)
        };
        if let Some(reason) = held {
            plan.held.get_or_insert((assignment.clone(), reason));
            continue;
        }
        room -= 1;
        in_flight.push(InFlight {
            server: view.server.clone(),
            zone: view.zone.clone(),
            since_ms: bounds.now_ms,
        });
        plan.start.push(assignment.clone());
    }
    plan
}

/// A server whose drain is still under way is unavailable; once that is over it is removed.
fn counted(view: &ServerView, in_flight: &[InFlight]) -> Replica {
    let mut replica = view.replica();
    let under_way = in_flight.iter().any(|flight| flight.server == view.server);
    if replica.state == ReplicaState::Removed && under_way {
        replica.state = ReplicaState::Unhealthy;
    }
    replica
}

/// Assignments whose server neither carries nor loads the wanted version, empty servers first.
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
            let settled = view.loading == assignment.version
                || view.version == assignment.version && view.loading.is_empty();
            (!settled && view.loading.is_empty()).then_some((assignment, view))
        })
        .collect();
    pending.sort_by_key(|(_, view)| !view.version.is_empty());
    pending
}

/// A server that serves nothing loses nothing by a load; one that serves is bounded by the budget.
fn load_is_held(
    view: &ServerView,
    situation: Situation<'_>,
    bounds: &LoadBounds<'_>,
) -> Option<String> {
    if !view.serves() {
        return None;
    }
    if let Some(reason) = bounds.frozen {
        return Some(reason.to_owned());
    }
    match may_disrupt(&view.replica(), situation, bounds.budget) {
        Verdict::Allowed | Verdict::AllowedUnhealthy => None,
        Verdict::AlreadyInFlight => Some("its last disruption is not over yet".to_owned()),
        Verdict::Held(shortage) => Some(shortage.words()),
    }
}

/// Bounds of the canary's health gate.
#[derive(Debug, Clone, Copy)]
pub struct GateBounds {
    /// How long canaries are watched, milliseconds.
    pub watch_ms: u64,
    /// Share of failing looks that rolls back, percent.
    pub error_percent: u32,
    /// Step time relative to the other servers that rolls back, percent.
    pub step_percent: u32,
}

/// Looks at a canary before its failures are judged, unless a load failed.
pub const FEWEST_LOOKS: u32 = 5;

/// What the gate says of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Gate {
    /// Keep watching.
    Wait(String),
    /// Give the canary version to all servers.
    Promote(String),
    /// Take the canary version back.
    RollBack(String),
}

/// Judges the canaries. `all_loaded_ms` is how long every canary has carried the version.
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
    if let Some(reason) = failing_looks(target, servers, bounds.error_percent) {
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

fn failing_looks(target: &Target, servers: &[ServerView], percent: u32) -> Option<String> {
    let carriers = servers.iter().filter(|view| view.version == target.canary);
    let (failed, looks) = carriers.fold((0, 0), |(failed, looks), view| {
        (failed + view.failed_looks, looks + view.looks)
    });
    let too_many = looks >= FEWEST_LOOKS && failed * 100 > looks * percent;
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
    let usual = median(stable.map(|view| view.step_ms))?;
    let judged = canaries
        .iter()
        .filter(|view| view.version == target.canary && view.looks >= FEWEST_LOOKS);
    let seen = median(judged.map(|view| view.step_ms))?;
    (seen * 100.0 > usual * f64::from(percent)).then(|| {
        format!(
            "a step of {} takes {seen:.1} ms against {usual:.1} ms of {}, more than {percent} %",
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

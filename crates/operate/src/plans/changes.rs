//! Computes the rows that a plan depends on and the rows that its confirmation writes.

use dappleyard_batch::jobs::approved_rows;
use dappleyard_wire::ids::{JobId, TenantId};
use dappleyard_wire::keys;
use dappleyard_wire::messages::{
    DrainRow, JobPhase, JobRow, JobState, ServiceRow, TenantRow, WindowRow,
};
use dappleyard_wire::{ErrorKind, Failure};

use crate::intent::{
    BatchJob, DemandWindow, DrainKind, DrainTarget, Intent, ModelSet, Rollout, TenantLimits,
};
use crate::plans::body::PlannedWrite;
use crate::snapshot::Snapshot;
use crate::status::{FleetStatus, ServerStatus};

const MAX_PERCENT: u32 = 100;
const SECONDS_PER_DAY: u32 = 86_400;

/// Servers selected by a drain target; none for a node.
pub fn drained_servers<'a>(
    target: &'a DrainTarget,
    status: &'a FleetStatus,
) -> impl Iterator<Item = &'a ServerStatus> {
    status
        .servers
        .iter()
        .filter(move |server| match target.kind {
            DrainKind::Server => server.server == target.name,
            DrainKind::Hall => server.hall == target.name,
            DrainKind::Zone => server.zone == target.name,
            DrainKind::Node => false,
        })
}

/// Services whose capacity the intent changes.
pub fn services(intent: &Intent, status: &FleetStatus) -> Vec<String> {
    let mut services: Vec<String> = match intent {
        Intent::Rollout(rollout) => vec![rollout.service.clone()],
        Intent::ModelSet(set) => vec![set.service.clone()],
        Intent::Drain(target) | Intent::Undrain(target) => drained_servers(target, status)
            .map(|server| server.service.clone())
            .collect(),
        _ => Vec::new(),
    };
    services.sort();
    services.dedup();
    services
}

/// Keys of the rows that the confirmation compares.
pub fn basis_keys(intent: &Intent, status: &FleetStatus) -> Vec<String> {
    let mut keys: Vec<String> = services(intent, status)
        .iter()
        .flat_map(|service| [keys::service(service), keys::plan_guard(service)])
        .collect();
    match intent {
        Intent::Rollout(_) | Intent::ModelSet(_) => {}
        Intent::Drain(target) => {
            keys.push(drain_key(target));
            keys.extend(node_drain_guard_key(target, status));
        }
        Intent::Undrain(target) => {
            keys.push(drain_key(target));
            keys.extend(node_drain_guard_key(target, status));
            let servers = drained_servers(target, status).filter(|server| server.is_drained());
            keys.extend(servers.map(|server| keys::drain("server", &server.server)));
        }
        Intent::Tenant(limits) => keys.push(keys::tenant(&limits.tenant)),
        Intent::Window(window) => {
            keys.push(keys::window(&window.name));
            keys.push(keys::service(&window.service));
        }
        Intent::RemoveWindow(window) => keys.push(keys::window(&window.name)),
        Intent::BatchJob(job) => keys.push(job_key(job)),
    }
    keys
}

/// Guard row that makes concurrent node drains in the same zone conflict.
fn node_drain_guard_key(target: &DrainTarget, status: &FleetStatus) -> Option<String> {
    if target.kind != DrainKind::Node {
        return None;
    }
    let node = status.nodes.iter().find(|node| node.node == target.name)?;
    Some(keys::plan_guard(&format!("nodes-of-{}", node.zone)))
}

fn drain_key(target: &DrainTarget) -> String {
    keys::drain(target.kind.name(), &target.name)
}

fn job_key(job: &BatchJob) -> String {
    keys::job(&TenantId::from(&job.tenant), &JobId::from(&job.job))
}

/// Rows that the confirmation writes besides the plan row. A drain writes none here; its steps
/// write the drain rows.
pub fn writes(
    intent: &Intent,
    snapshot: &Snapshot,
    status: &FleetStatus,
) -> Result<Vec<PlannedWrite>, Failure> {
    match intent {
        Intent::Rollout(rollout) => rollout_writes(rollout, snapshot),
        Intent::Drain(target) => check_drain(target, snapshot, status).map(|()| Vec::new()),
        Intent::Undrain(target) => undrain_writes(target, snapshot, status),
        Intent::Tenant(limits) => tenant_writes(limits, snapshot),
        Intent::Window(window) => window_writes(window, snapshot),
        Intent::RemoveWindow(window) => {
            let key = keys::window(&window.name);
            let known = snapshot.value(&key).is_some();
            if !known {
                return Err(not_found(format!(
                    "there is no demand window {}",
                    window.name
                )));
            }
            Ok(vec![PlannedWrite::delete(key)])
        }
        Intent::ModelSet(set) => model_set_writes(set, snapshot),
        Intent::BatchJob(job) => batch_job_writes(job, snapshot),
    }
}

fn service_row(name: &str, snapshot: &Snapshot) -> Result<ServiceRow, Failure> {
    snapshot
        .message::<ServiceRow>(&keys::service(name))?
        .ok_or_else(|| {
            Failure::not_run(
                ErrorKind::UnknownModel,
                format!("there is no service {name}; `dappleyard ctl status` lists them"),
            )
        })
}

fn rollout_writes(rollout: &Rollout, snapshot: &Snapshot) -> Result<Vec<PlannedWrite>, Failure> {
    let mut row = service_row(&rollout.service, snapshot)?;
    if rollout.version.is_empty() {
        return Err(invalid("name the version to roll out"));
    }
    if !(1..=MAX_PERCENT).contains(&rollout.canary_percent) {
        return Err(invalid("canary_percent must be from 1 to 100"));
    }
    if !row.canary.is_empty() {
        return Err(conflict(format!(
            "{} is rolling out {} already; wait for that plan or abort it",
            row.name, row.canary
        )));
    }
    if row.version == rollout.version {
        return Err(conflict(format!(
            "{} has version {} already",
            row.name, row.version
        )));
    }
    row.canary.clone_from(&rollout.version);
    row.canary_percent = rollout.canary_percent;
    Ok(vec![PlannedWrite::put(
        keys::service(&rollout.service),
        &row,
    )])
}

fn check_drain(
    target: &DrainTarget,
    snapshot: &Snapshot,
    status: &FleetStatus,
) -> Result<(), Failure> {
    let known = match target.kind {
        DrainKind::Node => status.nodes.iter().any(|node| node.node == target.name),
        _ => drained_servers(target, status).next().is_some(),
    };
    if !known {
        return Err(not_found(format!(
            "no server of the machine list is in {} {}, or it is no node; `dappleyard ctl status` lists them",
            target.kind.name(),
            target.name
        )));
    }
    if snapshot.value(&drain_key(target)).is_some() {
        return Err(conflict(format!(
            "{} {} is drained already",
            target.kind.name(),
            target.name
        )));
    }
    Ok(())
}

/// Deletes the drain row of the target and the drain rows of the servers in it.
fn undrain_writes(
    target: &DrainTarget,
    snapshot: &Snapshot,
    status: &FleetStatus,
) -> Result<Vec<PlannedWrite>, Failure> {
    let mut writes = Vec::new();
    let own = drain_key(target);
    if snapshot.value(&own).is_some() {
        writes.push(PlannedWrite::delete(own.clone()));
    }
    for server in drained_servers(target, status) {
        let key = keys::drain("server", &server.server);
        if key != own && snapshot.value(&key).is_some() {
            writes.push(PlannedWrite::delete(key));
        }
    }
    if writes.is_empty() {
        return Err(conflict(format!(
            "{} {} is not drained",
            target.kind.name(),
            target.name
        )));
    }
    Ok(writes)
}

pub fn drain_row(kind: &str, name: &str, plan: &str, unix_ms: u64) -> DrainRow {
    DrainRow {
        kind: kind.to_owned(),
        name: name.to_owned(),
        plan_id: plan.to_owned(),
        since_unix_ms: unix_ms,
    }
}

fn tenant_writes(limits: &TenantLimits, snapshot: &Snapshot) -> Result<Vec<PlannedWrite>, Failure> {
    check_name("tenant", &limits.tenant)?;
    let key = keys::tenant(&limits.tenant);
    let mut row = snapshot.message::<TenantRow>(&key)?.unwrap_or_default();
    row.name.clone_from(&limits.tenant);
    for rate in [limits.requests_per_s, limits.requests_burst]
        .into_iter()
        .flatten()
    {
        if !rate.is_finite() || rate < 0.0 {
            return Err(invalid("rates must be 0 or more"));
        }
    }
    set_if_some(&mut row.requests_per_s, limits.requests_per_s);
    set_if_some(&mut row.requests_burst, limits.requests_burst);
    set_if_some(&mut row.concurrent_tokens, limits.concurrent_tokens);
    set_if_some(&mut row.batch_weight, limits.batch_weight);
    set_if_some(&mut row.standing_batch_items, limits.standing_batch_items);
    Ok(vec![PlannedWrite::put(key, &row)])
}

fn window_writes(window: &DemandWindow, snapshot: &Snapshot) -> Result<Vec<PlannedWrite>, Failure> {
    check_name("window", &window.name)?;
    service_row(&window.service, snapshot)?;
    let once = window.starts_unix_s > 0 || window.ends_unix_s > 0;
    if once && window.ends_unix_s <= window.starts_unix_s {
        return Err(invalid("ends_unix_s must be after starts_unix_s"));
    }
    if !once
        && (window.start_s >= SECONDS_PER_DAY
            || window.end_s > SECONDS_PER_DAY
            || window.start_s == window.end_s)
    {
        return Err(invalid(
            "start_s and end_s are seconds after midnight and must differ",
        ));
    }
    if window.batch_percent > MAX_PERCENT {
        return Err(invalid("batch_percent must be from 0 to 100"));
    }
    let row = WindowRow {
        name: window.name.clone(),
        service: window.service.clone(),
        start_s: window.start_s,
        end_s: window.end_s,
        days: window.days,
        batch_percent: window.batch_percent,
        warm_before_s: window.warm_before_s,
        starts_unix_s: window.starts_unix_s,
        ends_unix_s: window.ends_unix_s,
    };
    Ok(vec![PlannedWrite::put(keys::window(&window.name), &row)])
}

fn model_set_writes(
    model_set: &ModelSet,
    snapshot: &Snapshot,
) -> Result<Vec<PlannedWrite>, Failure> {
    check_name("service", &model_set.service)?;
    let key = keys::service(&model_set.service);
    let known = snapshot.message::<ServiceRow>(&key)?;
    let is_new = known.is_none();
    let mut row = known.unwrap_or_default();
    row.name.clone_from(&model_set.service);
    match &model_set.version {
        Some(version) if is_new => row.version.clone_from(version),
        Some(version) if *version != row.version => {
            return Err(conflict(format!(
                "{} has version {}; use `dappleyard ctl rollout` to change it",
                row.name, row.version
            )));
        }
        None if is_new => return Err(invalid("a new service needs a version")),
        _ => {}
    }
    if let Some(adapters) = &model_set.adapters {
        row.adapters.clone_from(adapters);
    }
    set_if_some(&mut row.replicas, model_set.replicas);
    set_if_some(
        &mut row.online_slowdown_percent,
        model_set.online_slowdown_percent,
    );
    set_if_some(
        &mut row.max_unavailable_zone,
        model_set.max_unavailable_zone,
    );
    set_if_some(
        &mut row.max_unavailable_total,
        model_set.max_unavailable_total,
    );
    set_if_some(&mut row.max_prompt_tokens, model_set.max_prompt_tokens);
    set_if_some(&mut row.max_output_tokens, model_set.max_output_tokens);
    Ok(vec![PlannedWrite::put(key, &row)])
}

fn batch_job_writes(job: &BatchJob, snapshot: &Snapshot) -> Result<Vec<PlannedWrite>, Failure> {
    let key = job_key(job);
    let Some(row) = snapshot.message::<JobRow>(&key)? else {
        return Err(not_found(format!(
            "there is no job {} of {}; `dappleyard ctl job list` lists them",
            job.job, job.tenant
        )));
    };
    let phase = row.state.as_ref().map(JobState::phase);
    if phase != Some(JobPhase::JobPlanned) {
        return Err(conflict(format!(
            "job {} does not wait for a confirmation",
            job.job
        )));
    }
    let approved = approved_rows(&row);
    let id = JobId::from(&job.job);
    Ok(vec![
        PlannedWrite::put(key, &approved.job),
        PlannedWrite::put(keys::split_job(&id), &approved.split),
        PlannedWrite::put(keys::active_job(&id), &approved.active),
    ])
}

fn set_if_some<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

/// Rejects names that cannot be part of a row key.
fn check_name(what: &str, name: &str) -> Result<(), Failure> {
    const MAX_NAME_LENGTH: usize = 128;
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || name.contains('/') {
        return Err(invalid(&format!(
            "a {what} name has 1 to {MAX_NAME_LENGTH} characters and no slash"
        )));
    }
    Ok(())
}

fn invalid(message: &str) -> Failure {
    Failure::not_run(ErrorKind::InvalidRequest, message)
}

fn not_found(message: String) -> Failure {
    Failure::not_run(ErrorKind::NotFound, message)
}

fn conflict(message: String) -> Failure {
    Failure::not_run(ErrorKind::Conflict, message)
}

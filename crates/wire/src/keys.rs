//! Keys of rows in the table service and names of objects in the object store.

use crate::ids::{JobId, PlanId, RegionId, TenantId};

/// Prefix of all configuration rows; nodes apply the change feed of this prefix.
pub const CONFIGURATION_PREFIX: &str = "config/";
/// Row that serializes configuration changes; its value is the latest configuration revision.
pub const CONFIGURATION_HEAD: &str = "config-head";
/// Prefix of job rows.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of chunk rows.
pub const CHUNK_PREFIX: &str = "chunk/";
/// Prefix of unclaimed chunks: `open-chunk/{job}/{index}`. The value is the chunk row, written in the
/// same transaction, so that both have the same revision.
pub const OPEN_CHUNK_PREFIX: &str = "open-chunk/";
/// Prefix of plan rows.
pub const PLAN_PREFIX: &str = "plan/";
/// Prefix of region freshness rows.
pub const REGION_PREFIX: &str = "region/";
/// Prefix of epoch rows.
pub const EPOCH_PREFIX: &str = "epoch/";

/// Prefix of the index of running plans.
pub const ACTIVE_PLAN_PREFIX: &str = "active-plan/";
/// Prefix of journal objects: decision records of nodes.
pub const JOURNAL_PREFIX: &str = "journal/";

/// Index row of a running plan.
pub fn active_plan(plan: &PlanId) -> String {
    format!("{ACTIVE_PLAN_PREFIX}{plan}")
}

/// Row that serializes plans which take capacity from a service.
pub fn plan_guard(service: &str) -> String {
    format!("plan-guard/{service}")
}

/// Row of the ongoing disruptions of a service.
pub fn disruption(service: &str) -> String {
    format!("disruption/{service}")
}

/// Object with the `number`-th batch of a node's decision records, written at `unix_ms` (milliseconds
/// since 1970). Names of one node sort by time.
pub fn journal_object(node: &str, unix_ms: u64, number: u64) -> String {
    format!("{JOURNAL_PREFIX}{node}/{unix_ms:013}-{number:06}")
}

/// Row of a job.
pub fn job(tenant: &TenantId, job: &JobId) -> String {
    format!("{JOB_PREFIX}{tenant}/{job}")
}

/// Row that binds a client's key to a job.
pub fn client_key(tenant: &TenantId, key: &str) -> String {
    format!("client-key/{tenant}/{key}")
}

/// Row of a chunk.
pub fn chunk(job: &JobId, index: u32) -> String {
    format!("{CHUNK_PREFIX}{job}/{index:06}")
}

/// Row of an unclaimed chunk.
pub fn open_chunk(job: &JobId, index: u32) -> String {
    format!("{OPEN_CHUNK_PREFIX}{job}/{index:06}")
}

/// Prefix of the chunks that a node holds: `held-chunk/{node}/{job}/{index}`.
pub const HELD_CHUNK_PREFIX: &str = "held-chunk/";

/// Row that lists a chunk under its holder.
pub fn held_chunk(node: &str, job: &JobId, index: u32) -> String {
    format!("{HELD_CHUNK_PREFIX}{node}/{job}/{index:06}")
}

/// Prefix of unfinished jobs; every node watches their change feed.
pub const ACTIVE_JOB_PREFIX: &str = "active-job/";

/// Row of an unfinished job.
pub fn active_job(job: &JobId) -> String {
    format!("{ACTIVE_JOB_PREFIX}{job}")
}

/// Prefix of jobs whose chunk rows are not written yet.
pub const SPLIT_JOB_PREFIX: &str = "split-job/";

/// Row of a job whose chunk rows are not written yet.
pub fn split_job(job: &JobId) -> String {
    format!("{SPLIT_JOB_PREFIX}{job}")
}

/// Row of a sealed file.
pub fn file(tenant: &str, file: &str) -> String {
    format!("file/{tenant}/{file}")
}

/// Row of a must-not-repeat request.
pub fn once(tenant: &str, idempotency_key: &str) -> String {
    format!("once/{tenant}/{idempotency_key}")
}

/// Row of a plan.
pub fn plan(plan: &PlanId) -> String {
    format!("{PLAN_PREFIX}{plan}")
}

/// Freshness row of a region.
pub fn region(region: &RegionId) -> String {
    format!("{REGION_PREFIX}{region}")
}

/// Epoch row of a controlled resource.
pub fn epoch(resource: &str) -> String {
    format!("{EPOCH_PREFIX}{resource}")
}

/// Configuration row of a service.
pub fn service(name: &str) -> String {
    format!("{CONFIGURATION_PREFIX}service/{name}")
}

/// Configuration row of a tenant.
pub fn tenant(name: &str) -> String {
    format!("{CONFIGURATION_PREFIX}tenant/{name}")
}

/// Configuration row of a drain; `kind` is `server`, `node`, `hall` or `zone`.
pub fn drain(kind: &str, name: &str) -> String {
    format!("{CONFIGURATION_PREFIX}drain/{kind}/{name}")
}

/// Configuration row of a demand window.
pub fn window(name: &str) -> String {
    format!("{CONFIGURATION_PREFIX}window/{name}")
}

/// Object that holds an uploaded file; parts are `{object}/{offset}`.
pub fn file_object(tenant: &str, file: &str) -> String {
    format!("files/{tenant}/{file}")
}

/// Object that holds the part of an uploaded file that starts at `offset`, bytes.
pub fn file_part(tenant: &str, file: &str, offset: u64) -> String {
    format!("{}/{offset:012}", file_object(tenant, file))
}

/// Object with the partial results of a chunk that its holder handed back.
pub fn partial_object(job: &JobId, index: u32, epoch: u64) -> String {
    format!("partial/{job}/{index:06}-{epoch}")
}

/// Object with the result of a chunk for one epoch.
pub fn result_object(job: &JobId, index: u32, epoch: u64) -> String {
    format!("results/{job}/{index:06}-{epoch}")
}

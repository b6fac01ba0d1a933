//! Tables and keys of job rows.

use dappleyard_model::RowKey;
use xxhash_rust::xxh3::xxh3_64;

/// One row per job.
pub const JOBS_TABLE: &str = "jobs";
/// Submitted items, in chunks.
pub const ITEMS_TABLE: &str = "items";
/// Results, in chunks.
pub const RESULTS_TABLE: &str = "results";
/// Saved output of unfinished items, in segments.
pub const PARTIALS_TABLE: &str = "partials";
/// One row per route and tenant, which serializes submissions close to the quota.
pub const QUOTAS_TABLE: &str = "quotas";

pub const JOB_TABLES: [&str; 5] = [
    JOBS_TABLE,
    ITEMS_TABLE,
    RESULTS_TABLE,
    PARTIALS_TABLE,
    QUOTAS_TABLE,
];

/// Tables that hold request bodies.
pub const BODY_TABLES: [&str; 1] = [ITEMS_TABLE];

/// Number of partitions over which the jobs are spread.
const PARTITIONS: u64 = 4;
/// Size limit of a row's value in bytes, before the store encodes it.
pub const CHUNK_BYTES: usize = 48_000;

/// Partition of a job, by the hash of its identifier.
pub fn partition(job: &str) -> String {
    (xxh3_64(job.as_bytes()) % PARTITIONS).to_string()
}

pub fn job_key(job: &str) -> RowKey {
    RowKey::new(JOBS_TABLE, partition(job), job)
}

/// Key of the quota row of a route and tenant. The tenant is hashed because the length of keys is limited.
pub fn quota_key(route: &str, tenant: &str) -> RowKey {
    let key = match tenant.is_empty() {
        true => route.to_owned(),
        false => format!("{route}/{:016x}", xxh3_64(tenant.as_bytes())),
    };
    RowKey::new(QUOTAS_TABLE, "quota", key)
}

pub fn items_key(job: &str, chunk: usize) -> RowKey {
    RowKey::new(ITEMS_TABLE, partition(job), format!("{job}/{chunk:05}"))
}

pub fn result_key(job: &str, position: u64, chunk: usize) -> RowKey {
    let key = format!("{job}/{position:06}/{chunk:04}");
    RowKey::new(RESULTS_TABLE, partition(job), key)
}

/// Key of one segment of an unfinished item's output.
pub fn partial_key(job: &str, item: usize, chunk: usize) -> RowKey {
    let key = format!("{job}/{item:06}/{chunk:04}");
    RowKey::new(PARTIALS_TABLE, partition(job), key)
}

/// Lower bound of a job's rows from a position on.
pub fn range_from(job: &str, position: u64) -> String {
    format!("{job}/{position:06}/")
}

/// Lower bound of a job's rows.
pub fn range_start(job: &str) -> String {
    format!("{job}/")
}

/// Exclusive upper bound of a job's rows: `0` is the character after `/`.
pub fn range_end(job: &str) -> String {
    format!("{job}0")
}

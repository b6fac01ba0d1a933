//! Places of rows.

use dappleyard_model::RowKey;
use xxhash_rust::xxh3::xxh3_64;

/// Rows of jobs.
pub const JOBS_TABLE: &str = "jobs";
/// Items of jobs, in chunks.
pub const ITEMS_TABLE: &str = "items";
/// Results of jobs, in chunks.
pub const RESULTS_TABLE: &str = "results";
/// Text of items whose run moved to another node.
pub const PARTIALS_TABLE: &str = "partials";
/// One row for each route and tenant, written by acceptances that must not overtake each other.
pub const QUOTAS_TABLE: &str = "quotas";

/// All tables of jobs.
pub const JOB_TABLES: [&str; 5] = [
    JOBS_TABLE,
    ITEMS_TABLE,
    RESULTS_TABLE,
    PARTIALS_TABLE,
    QUOTAS_TABLE,
];

/// Tables that hold what callers sent.
pub const BODY_TABLES: [&str; 1] = [ITEMS_TABLE];

/// Partitions that jobs are spread over.
const PARTITIONS: u64 = 4;
/// Longest value written to one row, bytes, before the store's encoding.
pub const CHUNK_BYTES: usize = 48_000;

/// Partition of a job.
pub fn partition(job: &str) -> String {
    (xxh3_64(job.as_bytes()) % PARTITIONS).to_string()
}

/// Row of a job.
pub fn job_key(job: &str) -> RowKey {
    RowKey::new(JOBS_TABLE, partition(job), job)
}

/// Row of a tenant's quota on a route. A hash stands for the tenant, since keys are short.
pub fn quota_key(route: &str, tenant: &str) -> RowKey {
    let key = match tenant.is_empty() {
        true => route.to_owned(),
        false => format!("{route}/{:016x}", xxh3_64(tenant.as_bytes())),
    };
    RowKey::new(QUOTAS_TABLE, "quota", key)
}

/// Row of one chunk of a job's items.
pub fn items_key(job: &str, chunk: usize) -> RowKey {
    RowKey::new(ITEMS_TABLE, partition(job), format!("{job}/{chunk:05}"))
}

/// Row of one chunk of a result.
pub fn result_key(job: &str, position: u64, chunk: usize) -> RowKey {
    let key = format!("{job}/{position:06}/{chunk:04}");
    RowKey::new(RESULTS_TABLE, partition(job), key)
}

/// Row of one chunk of an unfinished item's text.
pub fn partial_key(job: &str, item: usize, chunk: usize) -> RowKey {
    let key = format!("{job}/{item:06}/{chunk:04}");
    RowKey::new(PARTIALS_TABLE, partition(job), key)
}

/// First key of a job's rows from a position on.
pub fn range_from(job: &str, position: u64) -> String {
    format!("{job}/{position:06}/")
}

/// First key of all rows of a job.
pub fn range_start(job: &str) -> String {
    format!("{job}/")
}

/// Key behind the last row of a job.
pub fn range_end(job: &str) -> String {
    format!("{job}0")
}

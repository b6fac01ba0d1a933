//! Reads results and items of jobs for callers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dappleyard_ingress::{ErrorKind, JobReply};
use dappleyard_model::{ResultEntry, Row, RowStore, StoreError};
use dappleyard_tenants::Caller;
use prost::Message;

use crate::api::{JobService, store_error_reply};
use crate::keys::{ITEMS_TABLE, RESULTS_TABLE, partition, range_end, range_from, range_start};
use crate::messages::{ItemsBlob, JobState, StoredItem, StoredResult};
use dappleyard_clock::Instant;

/// Row limit of one read.
const PAGE_ROWS: usize = 400;
/// Limit on the text bytes in one page of results.
const MAX_PAGE_BYTES: usize = 900_000;
/// Attempts of a read that the store does not answer.
const MAX_READ_ATTEMPTS: usize = 3;
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time for which a request waits for new results.
const MAX_WAIT_MS: u64 = 1_000;

/// Reads a page of results from a position on; waits for up to `wait_ms` if there are none yet.
pub(crate) async fn results(
    service: &JobService,
    caller: &Caller,
    job: &str,
    from: u64,
    wait_ms: u64,
) -> JobReply {
    let mut known = match retry(|| service.find(caller, job)).await {
        Ok(Some(known)) => known,
        Ok(None) => return JobReply::Refused(ErrorKind::NoJob, job.to_owned()),
        Err(error) => return store_error_reply(&error),
    };
    let until = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
    while known.row.listed <= from && known.row.is_open() {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        service.table.changed(left).await;
        known = service.table.get(job).unwrap_or(known);
    }
    if known.row.listed <= from && !service.table.is_synced_within(max_listing_age(service)) {
        // Another node may have reported more results than this copy of the row shows.
        known = match retry(|| service.fetch(job)).await {
            Ok(Some(fetched)) => fetched,
            Ok(None) => return JobReply::Refused(ErrorKind::NoJob, job.to_owned()),
            Err(error) => return store_error_reply(&error),
        };
    }
    if known.row.listed <= from {
        let page = service
            .node
            .dialect
            .results_page(known.row.total, from, &[]);
        return JobReply::Page(page);
    }
    match retry(|| read_page(service.store.as_ref(), job, from)).await {
        Ok(results) if results.is_empty() => store_error_reply(&StoreError::Unavailable {
            reason: "a listed result was not found".to_owned(),
        }),
        Ok(results) => {
            let next = from + results.len() as u64;
            let dialect = &service.node.dialect;
            JobReply::Page(dialect.results_page(known.row.total, next, &results))
        }
        Err(error) => store_error_reply(&error),
    }
}

/// Largest age of a cached row that suffices to tell a caller that there are no further results: half of the time
/// within which a result that one node has reported must be visible on every node.
fn max_listing_age(service: &JobService) -> Duration {
    Duration::from_millis(service.node.settings.bounds.settle_ms / 2)
}

/// Reads the results from a position on, as many as fit into one page.
async fn read_page(
    store: &dyn RowStore,
    job: &str,
    from: u64,
) -> Result<Vec<ResultEntry>, StoreError> {
    let start = range_from(job, from);
    let read = store
        .read(
            RESULTS_TABLE,
            &partition(job),
            &start,
            &range_end(job),
            PAGE_ROWS,
        )
        .await?;
    let mut complete = assemble(&read.rows);
    if read.more && complete.len() > 1 {
        // The last result may be incomplete.
        complete.pop_last();
    }
    let mut results = Vec::new();
    let mut bytes = 0;
    for (position, value) in complete {
        if position != from + results.len() as u64 {
            break;
        }
        let Ok(result) = StoredResult::decode(value) else {
            break;
        };
        bytes += result.text.len();
        if bytes > MAX_PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push(ResultEntry {
            item: result.item,
            completed: result.completed,
            text: result.text,
        });
    }
    Ok(results)
}

/// Joins the chunks of rows with the key `JOB/NUMBER/CHUNK` by their number.
pub(crate) fn assemble(rows: &[Row]) -> BTreeMap<u64, Bytes> {
    let mut values: BTreeMap<u64, BytesMut> = BTreeMap::new();
    for row in rows {
        let mut key_parts = row.key.rsplit('/');
        let number = key_parts.nth(1).and_then(|text| text.parse().ok());
        if let (Some(number), Some(value)) = (number, &row.value) {
            values.entry(number).or_default().extend_from_slice(value);
        }
    }
    values
        .into_iter()
        .map(|(number, value)| (number, value.freeze()))
        .collect()
}

/// Reads all items of a job.
pub(crate) async fn read_items(
    store: &dyn RowStore,
    job: &str,
) -> Result<Vec<StoredItem>, StoreError> {
    let read = store
        .read(
            ITEMS_TABLE,
            &partition(job),
            &range_start(job),
            &range_end(job),
            PAGE_ROWS,
        )
        .await?;
    let mut blob = BytesMut::new();
    for row in &read.rows {
        if let Some(value) = &row.value {
            blob.extend_from_slice(value);
        }
    }
    ItemsBlob::decode(blob.freeze())
        .map(|blob| blob.items)
        .map_err(|error| StoreError::Unavailable {
            reason: format!("items of {job}: {error}"),
        })
}

/// Reads the body of one submitted item.
pub(crate) async fn item(service: &JobService, caller: &Caller, job: &str, item: &str) -> JobReply {
    let known = match retry(|| service.find(caller, job)).await {
        Ok(Some(known)) => known,
        Ok(None) => return JobReply::Refused(ErrorKind::NoJob, job.to_owned()),
        Err(error) => return store_error_reply(&error),
    };
    if known.row.state() == JobState::Ended {
        return JobReply::Refused(ErrorKind::NoJob, "the job is ended".to_owned());
    }
    match retry(|| read_items(service.store.as_ref(), job)).await {
        Ok(items) => match items.into_iter().find(|stored| stored.id == item) {
            Some(stored) => JobReply::Body(stored.body),
            None => JobReply::Refused(ErrorKind::NoJob, item.to_owned()),
        },
        Err(error) => store_error_reply(&error),
    }
}

/// Retries a read that the store did not answer.
pub(crate) async fn retry<T, F>(mut call: impl FnMut() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut attempts = 0;
    loop {
        match call().await {
            Err(StoreError::Unavailable { .. } | StoreError::Ambiguous { .. })
                if attempts + 1 < MAX_READ_ATTEMPTS =>
            {
                attempts += 1;
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
            outcome => return outcome,
        }
    }
}

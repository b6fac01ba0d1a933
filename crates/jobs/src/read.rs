//! Reads results and items.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dappleyard_ingress::{ErrorKind, JobReply};
use dappleyard_model::{ResultEntry, Row, RowStore, StoreError};
use dappleyard_tenants::Caller;
use prost::Message;

use crate::api::{NodeJobs, unsure};
use crate::keys::{ITEMS_TABLE, RESULTS_TABLE, partition, range_end, range_from, range_start};
use crate::messages::{ItemsBlob, JobState, StoredItem, StoredResult};
use dappleyard_clock::Instant;

/// Rows read by one call.
const PAGE_ROWS: usize = 400;
/// Most bytes of text in one page for a caller.
const PAGE_BYTES: usize = 900_000;
/// Tries of a read that the store does not answer.
const READ_TRIES: usize = 3;
/// Pause between them.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Longest that an answer is held for something to report.
const LONGEST_WAIT_MS: u64 = 1_000;

pub(crate) async fn results(
    calls: &NodeJobs,
    caller: &Caller,
    job: &str,
    from: u64,
    wait_ms: u64,
) -> JobReply {
    let mut known = match retry(|| calls.find(caller, job)).await {
        Ok(Some(known)) => known,
        Ok(None) => return JobReply::Refused(ErrorKind::NoJob, job.to_owned()),
        Err(error) => return unsure(&error),
    };
    let until = Instant::now() + Duration::from_millis(wait_ms.min(LONGEST_WAIT_MS));
    while known.row.listed <= from && known.row.is_open() {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        calls.table.changed(left).await;
        known = calls.table.get(job).unwrap_or(known);
    }
    if known.row.listed <= from && !calls.table.is_known_within(oldest_listing(calls)) {
        // Another node may have told more by now than this copy knows.
        known = match retry(|| calls.fetch(job)).await {
            Ok(Some(fetched)) => fetched,
            Ok(None) => return JobReply::Refused(ErrorKind::NoJob, job.to_owned()),
            Err(error) => return unsure(&error),
        };
    }
    if known.row.listed <= from {
        let page = calls.node.dialect.results_page(known.row.total, from, &[]);
        return JobReply::Page(page);
    }
    match retry(|| read_page(calls.store.as_ref(), job, from)).await {
        Ok(results) if results.is_empty() => unsure(&StoreError::Unavailable {
            reason: "a listed result was not found".to_owned(),
        }),
        Ok(results) => {
            let next = from + results.len() as u64;
            let dialect = &calls.node.dialect;
            JobReply::Page(dialect.results_page(known.row.total, next, &results))
        }
        Err(error) => unsure(&error),
    }
}

/// Oldest copy of a job's row that tells callers that nothing is listed behind a position: half of
/// the time from which a result that one node has told holds at every node.
fn oldest_listing(calls: &NodeJobs) -> Duration {
    Duration::from_millis(calls.node.settings.bounds.settle_ms / 2)
}

/// Results from a position on, as many as one page holds.
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
    let mut whole = assemble(&read.rows);
    if read.more && whole.len() > 1 {
        // The last result may lack chunks.
        whole.pop_last();
    }
    let mut results = Vec::new();
    let mut bytes = 0;
    for (position, value) in whole {
        if position != from + results.len() as u64 {
            break;
        }
        let Ok(result) = StoredResult::decode(value) else {
            break;
        };
        bytes += result.text.len();
        if bytes > PAGE_BYTES && !results.is_empty() {
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

/// Joins the chunks of `JOB/NUMBER/CHUNK` rows by their number.
pub(crate) fn assemble(rows: &[Row]) -> BTreeMap<u64, Bytes> {
    let mut values: BTreeMap<u64, BytesMut> = BTreeMap::new();
    for row in rows {
        let mut segments = row.key.rsplit('/');
        let number = segments.nth(1).and_then(|text| text.parse().ok());
        if let (Some(number), Some(value)) = (number, &row.value) {
            values.entry(number).or_default().extend_from_slice(value);
        }
    }
    values
        .into_iter()
        .map(|(number, value)| (number, value.freeze()))
        .collect()
}

/// All items of a job.
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

pub(crate) async fn item(calls: &NodeJobs, caller: &Caller, job: &str, item: &str) -> JobReply {
    let known = match retry(|| calls.find(caller, job)).await {
        Ok(Some(known)) => known,
        Ok(None) => return JobReply::Refused(ErrorKind::NoJob, job.to_owned()),
        Err(error) => return unsure(&error),
    };
    if known.row.state() == JobState::Ended {
        return JobReply::Refused(ErrorKind::NoJob, "the job is ended".to_owned());
    }
    match retry(|| read_items(calls.store.as_ref(), job)).await {
        Ok(items) => match items.into_iter().find(|stored| stored.id == item) {
            Some(stored) => JobReply::Body(stored.body),
            None => JobReply::Refused(ErrorKind::NoJob, item.to_owned()),
        },
        Err(error) => unsure(&error),
    }
}

/// Repeats a read that the store did not answer.
pub(crate) async fn retry<T, F>(mut call: impl FnMut() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut tried = 0;
    loop {
        match call().await {
            Err(StoreError::Unavailable { .. } | StoreError::Ambiguous { .. })
                if tried + 1 < READ_TRIES =>
            {
                tried += 1;
                tokio::time::sleep(READ_PAUSE).await;
            }
            outcome => return outcome,
        }
    }
}

//! Requests that run no more, in the row store: a fleet that has lost all of its nodes at once still knows them.
//!
//! They are written when they are refused, which is rare, and read once by each process as it begins; in between nodes
//! tell each other. A fleet without such requests spends one call for each start of a node.

use std::time::Duration;

use dappleyard_crashes::{
    CrashNews, CrashRecord, CrashTable, Fingerprint, KEPT_REFUSED, StoredRefusal,
};
use dappleyard_model::{EventLog, Row, RowKey, RowStore, StoreError, Transaction};
use prost::Message;

/// Table of requests that run no more.
pub const CRASHES_TABLE: &str = "crashes";
/// Rows read by one call.
const PAGE_ROWS: usize = 500;
/// Pause after a call that the store did not answer.
const PAUSE: Duration = Duration::from_millis(400);

/// Reads what the store holds, then keeps the store up to date, until the process ends.
pub async fn keep_refused(crashes: &CrashTable, store: &dyn RowStore, log: &EventLog) {
    while let Err(error) = read_all(crashes, store, log).await {
        log.write(
            "refused_requests_unread",
            || serde_json::json!({"cause": error.to_string()}),
        );
        tokio::time::sleep(PAUSE).await;
    }
    loop {
        let (request, record) = crashes.next_unstored().await;
        let refused = record.is_some();
        match write(store, &request, record).await {
            Ok(()) => log.write(
                "refused_request_stored",
                || serde_json::json!({"fingerprint": request.short(), "refused": refused}),
            ),
            Err(error) => {
                log.write("refused_request_unstored", || {
                    serde_json::json!({"fingerprint": request.short(), "cause": error.to_string()})
                });
                crashes.store_later(request);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn read_all(
    crashes: &CrashTable,
    store: &dyn RowStore,
    log: &EventLog,
) -> Result<(), StoreError> {
    let mut from = String::new();
    loop {
        let read = store.read(CRASHES_TABLE, "", &from, "", PAGE_ROWS).await?;
        let (old, held): (Vec<&Row>, Vec<&Row>) = read
            .rows
            .iter()
            .partition(|row| decode(row, read.now_ms).is_none_or(|record| is_old(&record)));
        let records = held.into_iter().filter_map(|row| decode(row, read.now_ms));
        let records: Vec<CrashRecord> = records.collect();
        if !records.is_empty() {
            log.write(
                "refused_requests_read",
                || serde_json::json!({"requests": records.len()}),
            );
        }
        crashes.merge(CrashNews { records }, false);
        remove(store, &old, log).await;
        let last = read.rows.last().filter(|_| read.more);
        match last {
            // The next key after it.
            Some(last) => from = format!("{}\u{1}", last.key),
            None => return Ok(()),
        }
    }
}

fn is_old(record: &CrashRecord) -> bool {
    Duration::from_millis(record.age_ms) >= KEPT_REFUSED
}

/// The record of a row, as old as it is by the store's clock.
fn decode(row: &Row, now_ms: u64) -> Option<CrashRecord> {
    let stored = StoredRefusal::decode(row.value.clone()?).ok()?;
    let mut record = stored.record?;
    record.age_ms += now_ms.saturating_sub(stored.written_ms);
    Some(record)
}

/// Removes rows that are too old; another node that begins does the same if this fails.
async fn remove(store: &dyn RowStore, old: &[&Row], log: &EventLog) {
    for row in old {
        let key = RowKey::new(CRASHES_TABLE, "", row.key.clone());
        let removal = Transaction::default()
            .expect(key.clone(), row.revision)
            .remove(key);
        if let Err(error) = store.transact(&removal).await {
            log.write(
                "refused_request_unstored",
                || serde_json::json!({"row": row.key, "cause": error.to_string()}),
            );
        }
    }
}

/// Writes the row of a request that runs no more, or removes it.
async fn write(
    store: &dyn RowStore,
    request: &Fingerprint,
    record: Option<CrashRecord>,
) -> Result<(), StoreError> {
    let key = RowKey::new(CRASHES_TABLE, "", request.to_string());
    let behind = format!("{}\u{1}", key.key);
    let read = store.read(CRASHES_TABLE, "", &key.key, &behind, 1).await?;
    let transaction = match record {
        Some(mut record) => {
            // Runs that are under way now are over when this is read.
            record.runs.clear();
            let stored = StoredRefusal {
                record: Some(record),
                written_ms: read.now_ms,
            };
            Transaction::default().put(key, stored.encode_to_vec())
        }
        None if read.rows.is_empty() => return Ok(()),
        None => Transaction::default().remove(key),
    };
    store.transact(&transaction).await.map(|_| ())
}

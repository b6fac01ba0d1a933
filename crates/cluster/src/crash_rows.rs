//! Stores refused features of requests in the row store, so that they survive a restart of the whole fleet.
//!
//! A feature is written when it is refused. Each process reads the table once at startup;
//! afterwards the nodes exchange records among themselves.

use std::time::Duration;

use dappleyard_crashes::{
    CrashRecord, CrashTable, CrashUpdates, Feature, REFUSED_RETENTION, StoredRefusal,
};
use dappleyard_model::{EventLog, Row, RowKey, RowStore, StoreError, Transaction};
use prost::Message;

pub const CRASHES_TABLE: &str = "crashes";
const PAGE_ROWS: usize = 500;
/// Longest time for which a process that has just started holds requests back until it has read the table. By then the
/// other nodes, which repeat their records every 450 ms, have told it while the store is away.
const MAX_LEARNING: Duration = Duration::from_millis(700);
/// Delay before a failed store call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Reads the table, then writes changes to the store until the process ends.
pub async fn sync_refused_requests(crashes: &CrashTable, store: &dyn RowStore, log: &EventLog) {
    crashes.start_learning(MAX_LEARNING);
    while let Err(error) = read_table(crashes, store, log).await {
        log.write(
            "refused_requests_unread",
            || serde_json::json!({"cause": error.to_string()}),
        );
        tokio::time::sleep(RETRY_DELAY).await;
    }
    crashes.finish_learning();
    loop {
        let (feature, record) = crashes.next_unstored().await;
        let refused = record.is_some();
        match write_row(store, &feature, record).await {
            Ok(()) => log.write(
                "refused_request_stored",
                || serde_json::json!({"feature": feature.short(), "refused": refused}),
            ),
            Err(error) => {
                log.write(
                    "refused_request_unstored",
                    || serde_json::json!({"feature": feature.short(), "cause": error.to_string()}),
                );
                crashes.requeue_unstored(feature);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn read_table(
    crashes: &CrashTable,
    store: &dyn RowStore,
    log: &EventLog,
) -> Result<(), StoreError> {
    let mut from = String::new();
    loop {
        let read = store.read(CRASHES_TABLE, "", &from, "", PAGE_ROWS).await?;
        let (expired, current): (Vec<&Row>, Vec<&Row>) = read
            .rows
            .iter()
            .partition(|row| decode(row, read.now_ms).is_none_or(|record| is_expired(&record)));
        let records = current
            .into_iter()
            .filter_map(|row| decode(row, read.now_ms));
        let records: Vec<CrashRecord> = records.collect();
        if !records.is_empty() {
            log.write(
                "refused_requests_read",
                || serde_json::json!({"requests": records.len()}),
            );
        }
        crashes.merge(CrashUpdates { records }, false);
        remove_expired(store, &expired, log).await;
        let last = read.rows.last().filter(|_| read.more);
        match last {
            // The smallest key after the last one.
            Some(last) => from = format!("{}\u{1}", last.key),
            None => return Ok(()),
        }
    }
}

fn is_expired(record: &CrashRecord) -> bool {
    Duration::from_millis(record.age_ms) >= REFUSED_RETENTION
}

/// Decodes a row; the ages in its record include the time since it was written, by the store's
/// clock.
fn decode(row: &Row, now_ms: u64) -> Option<CrashRecord> {
    let stored = StoredRefusal::decode(row.value.clone()?).ok()?;
    let mut record = stored.record?;
    let stored_for_ms = now_ms.saturating_sub(stored.written_ms);
    record.age_ms += stored_for_ms;
    for age_ms in &mut record.ages_ms {
        *age_ms += stored_for_ms;
    }
    Some(record)
}

/// Removes rows that are expired or cannot be decoded. On failure the next node that starts tries
/// again.
async fn remove_expired(store: &dyn RowStore, expired: &[&Row], log: &EventLog) {
    for row in expired {
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

/// Writes the row of a refused feature, or removes it when there is no record.
async fn write_row(
    store: &dyn RowStore,
    feature: &Feature,
    record: Option<CrashRecord>,
) -> Result<(), StoreError> {
    let key = RowKey::new(CRASHES_TABLE, "", feature.to_string());
    let end = format!("{}\u{1}", key.key);
    let read = store.read(CRASHES_TABLE, "", &key.key, &end, 1).await?;
    let transaction = match record {
        Some(mut record) => {
            // Current runs will have ended by the time this is read.
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

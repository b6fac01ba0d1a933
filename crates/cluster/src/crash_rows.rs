//! Stores crash records of features of requests in the row store, so that they survive a restart of the whole fleet.
//!
//! A feature is written when it is refused, and any feature with ends when a node stops. Each process reads the table
//! once at startup; afterwards the nodes exchange records among themselves.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_crashes::{CrashRecord, CrashTable, Feature, StoredRecord};
use dappleyard_model::{EventLog, Row, RowKey, RowStore, StoreError, Transaction};
use prost::Message;

pub const CRASHES_TABLE: &str = "crashes";
const PAGE_ROWS: usize = 500;
/// Longest time for which a process that has just started holds requests back until it has read the table. By then the
/// other nodes, which repeat their records every 450 ms, have told it while the store is away.
const MAX_LEARNING: Duration = Duration::from_millis(700);
/// Delay before a failed store call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Limit on the records that a stopping node writes. A transaction has at most 100 entries: a condition and a write each.
const MAX_COUNTS_STORED: usize = 48;
/// Attempts of a stopping node to write them, if others write the same rows.
const MAX_STORE_ATTEMPTS: usize = 4;

/// Reads the table, then writes changes to the store until the process ends.
pub async fn sync_refused_requests(crashes: &CrashTable, store: &dyn RowStore, log: &EventLog) {
    crashes.start_learning(MAX_LEARNING);
    let table = loop {
        match read_table(crashes, store).await {
            Ok(table) => break table,
            Err(error) => log.write(
                "refused_requests_unread",
                || serde_json::json!({"cause": error.to_string()}),
            ),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    };
    crashes.finish_learning();
    if !table.records.is_empty() {
        log.write(
            "refused_requests_read",
            || serde_json::json!({"requests": table.records.len()}),
        );
    }
    remove_expired(store, &table.expired, log).await;
    drop(table);
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

/// Writes the ends that a stopping node has counted, so that the count does not begin anew when all nodes stop. The
/// caller limits the time.
pub async fn store_counts(crashes: &CrashTable, store: &dyn RowStore, log: &EventLog) {
    if crashes.counts(1).is_empty() {
        return;
    }
    let mut stored = try_store_counts(crashes, store).await;
    for _ in 1..MAX_STORE_ATTEMPTS {
        if !matches!(stored, Err(StoreError::Conflict { .. })) {
            break;
        }
        stored = try_store_counts(crashes, store).await;
    }
    match stored {
        Ok(0) => {}
        Ok(rows) => log.write("crash_counts_stored", || serde_json::json!({"rows": rows})),
        Err(error) => log.write(
            "crash_counts_unstored",
            || serde_json::json!({"cause": error.to_string()}),
        ),
    }
}

/// Joins the stored records with those of this node and writes the rows that change; returns their number.
async fn try_store_counts(crashes: &CrashTable, store: &dyn RowStore) -> Result<usize, StoreError> {
    let table = read_table(crashes, store).await?;
    let mut transaction = Transaction::default();
    for record in crashes.counts(MAX_COUNTS_STORED) {
        let Some(feature) = record.feature() else {
            continue;
        };
        let stored = table.records.get(&feature);
        if stored.is_some_and(|stored| stored.covers(&record)) {
            continue;
        }
        let key = row_key(&feature);
        let revision = table.revisions.get(&key.key).copied();
        transaction = transaction
            .expect(key.clone(), revision.unwrap_or(0))
            .put(key, encode(record, table.now_ms));
    }
    let rows = transaction.puts.len();
    if rows > 0 {
        store.transact(&transaction).await?;
    }
    Ok(rows)
}

/// The table as read from the store.
#[derive(Default)]
struct CrashRows {
    records: HashMap<Feature, CrashRecord>,
    /// Rows that are expired or cannot be decoded.
    expired: Vec<Row>,
    /// Revision of each row, by its key.
    revisions: HashMap<String, u64>,
    /// The store's clock.
    now_ms: u64,
}

/// Reads all rows and merges their records.
async fn read_table(crashes: &CrashTable, store: &dyn RowStore) -> Result<CrashRows, StoreError> {
    let mut table = CrashRows::default();
    let mut from = String::new();
    loop {
        let read = store.read(CRASHES_TABLE, "", &from, "", PAGE_ROWS).await?;
        table.now_ms = read.now_ms;
        let last = read.rows.last().filter(|_| read.more);
        // The smallest key after the last one.
        let next = last.map(|last| format!("{}\u{1}", last.key));
        let mut records = Vec::new();
        for row in read.rows {
            table.revisions.insert(row.key.clone(), row.revision);
            match decode(&row, read.now_ms).filter(|record| !record.is_expired()) {
                Some(record) => records.push(record),
                None => table.expired.push(row),
            }
        }
        crashes.merge_stored(records.clone());
        let records = records.into_iter();
        let known = records.filter_map(|record| Some((record.feature()?, record)));
        table.records.extend(known);
        let Some(next) = next else {
            return Ok(table);
        };
        from = next;
    }
}

fn row_key(feature: &Feature) -> RowKey {
    RowKey::new(CRASHES_TABLE, "", feature.to_string())
}

fn encode(mut record: CrashRecord, now_ms: u64) -> Vec<u8> {
    // Current runs will have ended by the time this is read.
    record.runs.clear();
    let stored = StoredRecord {
        record: Some(record),
        written_ms: now_ms,
    };
    stored.encode_to_vec()
}

/// Decodes a row; the ages in its record include the time since it was written, by the store's
/// clock.
fn decode(row: &Row, now_ms: u64) -> Option<CrashRecord> {
    let stored = StoredRecord::decode(row.value.clone()?).ok()?;
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
async fn remove_expired(store: &dyn RowStore, expired: &[Row], log: &EventLog) {
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

/// Writes the row of a refused feature, or removes it when there is no record. The row has to be as it was read: a write
/// without an answer may be done after later ones.
async fn write_row(
    store: &dyn RowStore,
    feature: &Feature,
    record: Option<CrashRecord>,
) -> Result<(), StoreError> {
    let key = row_key(feature);
    let end = format!("{}\u{1}", key.key);
    let read = store.read(CRASHES_TABLE, "", &key.key, &end, 1).await?;
    let revision = read.rows.first().map_or(0, |row| row.revision);
    let transaction = Transaction::default().expect(key.clone(), revision);
    let transaction = match record {
        Some(record) => transaction.put(key, encode(record, read.now_ms)),
        None if read.rows.is_empty() => return Ok(()),
        None => transaction.remove(key),
    };
    store.transact(&transaction).await.map(|_| ())
}

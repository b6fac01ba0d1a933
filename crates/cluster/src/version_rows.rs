//! Records the software versions of each service in the row store, so that a node that starts knows at which versions
//! streams under way may have begun, also when the servers of a version and all nodes that knew it are gone. A stream that may
//! be resumed begins only at a version that its node knows to be recorded, so a version without a record has begun none.

use std::time::Duration;

use dappleyard_model::{EventLog, Row, RowKey, RowStore, SoftwareVersion, StoreError, Transaction};
use dappleyard_streams::{ServiceVersions, Versions};
use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::peers::PeerTable;
use crate::view::View;

pub const VERSIONS_TABLE: &str = "versions";
const PAGE_ROWS: usize = 500;
/// Delay before a failed store call is retried; it grows to the interval between checks.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest interval between checks of the versions; a new version is recorded at once.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Nodes that write the row of a service at once; two, so that one may fail.
const WRITERS: usize = 2;
/// Time that the writers have until the other nodes look at the row, and write it themselves if need be.
const WRITE_TIME: Duration = Duration::from_millis(300);

/// Reads the recorded versions, then records changes until the process ends.
pub async fn sync_versions(view: &View, peers: &PeerTable, store: &dyn RowStore, log: &EventLog) {
    while let Err(error) = read_table(view, store, log).await {
        log.write(
            "versions_unread",
            || serde_json::json!({"cause": error.to_string()}),
        );
        tokio::time::sleep(RETRY_DELAY).await;
    }
    view.note_versions_complete();
    let mut delay = RETRY_DELAY;
    loop {
        let mut failed = false;
        for service in view.unrecorded_services() {
            if !is_writer(peers, &service) {
                // Expired versions are left to the writers.
                if !view.has_unrecorded_version(&service) {
                    continue;
                }
                tokio::time::sleep(jittered(WRITE_TIME)).await;
            }
            match record(view, store, log, &service).await {
                Ok(versions) => log.write(
                    "versions_recorded",
                    || serde_json::json!({"service": service, "versions": texts(&versions)}),
                ),
                Err(error) => {
                    failed = true;
                    log.write(
                        "versions_unrecorded",
                        || serde_json::json!({"service": service, "cause": error.to_string()}),
                    );
                }
            }
        }
        if failed {
            tokio::time::sleep(jittered(delay)).await;
            delay = (delay * 2).min(CHECK_INTERVAL);
            continue;
        }
        delay = RETRY_DELAY;
        // A timeout is a regular check: versions expire, and other writers end.
        let _ = tokio::time::timeout(CHECK_INTERVAL, view.versions_changed()).await;
    }
}

/// Spreads the calls of many nodes.
fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.75..1.25))
}

/// Whether this node records the versions of a service before others do.
fn is_writer(peers: &PeerTable, service: &str) -> bool {
    let rank = |name: &str| {
        let mut bytes = name.as_bytes().to_vec();
        bytes.extend_from_slice(service.as_bytes());
        xxh3_64(&bytes)
    };
    let own = rank(&peers.own_name);
    let before = peers.relay_peers();
    let before = before.iter().filter(|peer| rank(&peer.name) < own);
    before.count() < WRITERS
}

async fn read_table(view: &View, store: &dyn RowStore, log: &EventLog) -> Result<(), StoreError> {
    let mut from = String::new();
    loop {
        let read = store.read(VERSIONS_TABLE, "", &from, "", PAGE_ROWS).await?;
        for row in &read.rows {
            view.note_recorded_versions(&row.key, recorded_versions(row, log));
        }
        match read.rows.last().filter(|_| read.more) {
            // The smallest key after the last one.
            Some(last) => from = format!("{}\u{1}", last.key),
            None => return Ok(()),
        }
    }
}

/// Writes the row of a service: the versions that count, and those that other nodes have recorded meanwhile.
async fn record(
    view: &View,
    store: &dyn RowStore,
    log: &EventLog,
    service: &str,
) -> Result<Versions, StoreError> {
    let key = RowKey::new(VERSIONS_TABLE, "", service);
    let end = format!("{service}\u{1}");
    let read = store.read(VERSIONS_TABLE, "", service, &end, 1).await?;
    let row = read.rows.first();
    let revision = row.map_or(0, |row| row.revision);
    let recorded = row.map_or_else(Versions::new, |row| recorded_versions(row, log));
    let wanted = view.merge_recorded_versions(service, &recorded);
    if wanted != recorded {
        let value = ServiceVersions {
            versions: texts(&wanted),
        };
        let transaction = Transaction::default()
            .expect(key.clone(), revision)
            .put(key, value.encode_to_vec());
        store.transact(&transaction).await?;
    }
    view.note_versions_written(service, wanted.clone());
    Ok(wanted)
}

/// The versions in a row; an empty text is an unknown version. A row that cannot be decoded holds an unknown version
/// too, so that nobody takes the versions that are listed for all there were.
fn recorded_versions(row: &Row, log: &EventLog) -> Versions {
    let value = row.value.clone().unwrap_or_default();
    match ServiceVersions::decode(value) {
        Ok(recorded) => {
            let texts = recorded.versions.iter();
            texts.map(|text| SoftwareVersion::from_text(text)).collect()
        }
        Err(error) => {
            log.write(
                "versions_refused",
                || serde_json::json!({"service": row.key, "cause": error.to_string()}),
            );
            Versions::from([None])
        }
    }
}

fn texts(versions: &Versions) -> Vec<String> {
    let versions = versions.iter();
    versions
        .map(|version| SoftwareVersion::text_of(version.as_ref()))
        .collect()
}

//! Reads configuration from the store: the change feed, or all rows on start and after the feed was
//! compacted.

use std::rc::Rc;

use dappleyard_decide::configuration::{ConfigurationState, FeedRow, changes_from_feed};
use dappleyard_store::{StoreError, TableStore};
use dappleyard_wire::keys::{CONFIGURATION_HEAD, CONFIGURATION_PREFIX};
use dappleyard_wire::messages::ConfigurationEntry;

const PAGE_ROWS: usize = 500;

/// Result of a read of the change feed.
#[derive(Debug)]
pub enum FeedRead {
    /// Changes in order of revision; empty when nothing has changed.
    Changes(Vec<Vec<ConfigurationEntry>>),
    /// The whole state, because the feed was compacted past the requested revision.
    Snapshot(Snapshot),
}

/// The whole configuration, read from the store.
#[derive(Debug)]
pub struct Snapshot {
    pub state: ConfigurationState,
    /// Store revision after which the feed can be read.
    pub feed_from: u64,
}

/// Reads the changes after `applied`, the last known configuration revision. `feed_from` is the
/// earliest store revision after which the feed can be read.
pub async fn read_feed(
    store: Rc<dyn TableStore>,
    applied: u64,
    feed_from: u64,
) -> Result<FeedRead, StoreError> {
    let after = applied.max(feed_from);
    let changes = store.changes(CONFIGURATION_PREFIX, after, 0).await?;
    if changes.compacted {
        let snapshot = read_snapshot(store, changes.up_to).await?;
        return Ok(FeedRead::Snapshot(snapshot));
    }
    let rows: Vec<FeedRow> = changes.rows.into_iter().map(feed_row).collect();
    Ok(FeedRead::Changes(changes_from_feed(&rows, applied)))
}

fn feed_row((key, revision, value): (String, u64, Option<bytes::Bytes>)) -> FeedRow {
    FeedRow {
        key,
        revision,
        value: value.map(|value| value.to_vec()),
    }
}

/// Reads the whole configuration, for a starting node that gets no snapshot from a peer.
pub async fn read_configuration(store: Rc<dyn TableStore>) -> Result<Snapshot, StoreError> {
    let changes = store.changes(CONFIGURATION_PREFIX, 0, 0).await?;
    if changes.compacted {
        return read_snapshot(store, changes.up_to).await;
    }
    let mut state = ConfigurationState::default();
    let rows: Vec<FeedRow> = changes.rows.into_iter().map(feed_row).collect();
    for change in changes_from_feed(&rows, 0) {
        state.apply(&change);
    }
    Ok(Snapshot {
        state,
        feed_from: 0,
    })
}

/// Reads all rows, then the changes made during the read. `up_to` is a store revision no later than
/// the start of the read.
async fn read_snapshot(store: Rc<dyn TableStore>, up_to: u64) -> Result<Snapshot, StoreError> {
    let mut state = ConfigurationState::default();
    let mut after = String::new();
    loop {
        let rows = store.range(CONFIGURATION_PREFIX, &after, PAGE_ROWS).await?;
        let Some(last) = rows.last() else { break };
        after.clone_from(&last.key);
        for row in rows {
            state.revision = state.revision.max(row.revision);
            state.entries.insert(row.key.clone(), entry_of(row));
        }
    }
    // The last change may have been a deletion, which leaves no row; the head row has its revision.
    if let Some(head) = store.get(CONFIGURATION_HEAD).await? {
        state.revision = state.revision.max(head.revision);
    }
    let meanwhile = store.changes(CONFIGURATION_PREFIX, up_to, 0).await?;
    for (key, revision, value) in meanwhile.rows {
        state.revision = state.revision.max(revision);
        match value {
            None => state.entries.remove(&key),
            Some(value) => state.entries.insert(
                key.clone(),
                entry_of(dappleyard_store::Row {
                    key,
                    value,
                    revision,
                }),
            ),
        };
    }
    state.deletions_forgotten_to = state.revision;
    Ok(Snapshot {
        state,
        feed_from: up_to,
    })
}

fn entry_of(row: dappleyard_store::Row) -> ConfigurationEntry {
    ConfigurationEntry {
        revision: row.revision,
        key: row.key,
        value: row.value.to_vec(),
        parts: 1,
        ..ConfigurationEntry::default()
    }
}

//! Reading configuration from the store: the change feed, and the whole range on start or after the
//! feed was compacted.

use std::rc::Rc;

use dappleyard_decide::configuration::{ConfigurationState, FeedRow, changes_from_feed};
use dappleyard_store::{StoreError, TableStore};
use dappleyard_wire::keys::{CONFIGURATION_HEAD, CONFIGURATION_PREFIX};
use dappleyard_wire::messages::ConfigurationEntry;

/// Rows read by one call.
const PAGE_ROWS: usize = 500;

/// What a watcher has read.
#[derive(Debug)]
pub enum FeedRead {
    /// Changes in order; none when nothing has changed.
    Changes(Vec<Vec<ConfigurationEntry>>),
    /// The feed no longer reaches back: the whole state.
    Snapshot(Snapshot),
}

/// The whole configuration as read from the store.
#[derive(Debug)]
pub struct Snapshot {
    /// Configuration.
    pub state: ConfigurationState,
    /// Revision of the store from which the feed may be read on.
    pub feed_from: u64,
}

/// Reads what changed after `applied`, the last configuration revision known. `feed_from` is where
/// the feed may be read from at the earliest.
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

/// Reads the whole configuration. For a node that starts with no peer to ask.
pub async fn read_whole(store: Rc<dyn TableStore>) -> Result<Snapshot, StoreError> {
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

/// Reads all rows, then what changed meanwhile. `up_to` is a revision of the store at or before
/// which the reading begins.
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
    // The last change may have been a deletion, of which no row tells; the head row does.
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

//! Application of configuration changes, in revision order.

use std::collections::{BTreeMap, BTreeSet};

use dappleyard_wire::messages::ConfigurationEntry;

/// Result of applying a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// Applied; the state is now at the revision of the change.
    Yes,
    /// Already applied, or older than the state.
    Old,
    /// Changes are missing; request those after the state's revision from a peer.
    Gap,
}

/// Configuration rows at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ConfigurationState {
    /// Revision of the last applied change.
    pub revision: u64,
    /// Latest change of each key, including deletions.
    pub entries: BTreeMap<String, ConfigurationEntry>,
    /// Deletions up to this revision have been removed from the entries.
    pub deletions_forgotten_to: u64,
}

impl ConfigurationState {
    /// Applies all rows of a transaction, which must have the same revision, or none of them.
    pub fn apply(&mut self, change: &[ConfigurationEntry]) -> Applied {
        let Some(first) = change.first() else {
            return Applied::Old;
        };
        if first.revision <= self.revision {
            return Applied::Old;
        }
        let same_revision = change.iter().all(|entry| entry.revision == first.revision);
        let keys: BTreeSet<&str> = change.iter().map(|entry| entry.key.as_str()).collect();
        let is_complete = same_revision && keys.len() == first.parts.max(1) as usize;
        if first.previous != self.revision || !is_complete {
            return Applied::Gap;
        }
        for entry in change {
            self.entries.insert(entry.key.clone(), entry.clone());
        }
        self.revision = first.revision;
        self.forget_deletions();
        Applied::Yes
    }

    /// Replaces the state by a snapshot if it is newer.
    pub fn replace(&mut self, snapshot: ConfigurationState) -> Applied {
        if snapshot.revision <= self.revision {
            return Applied::Old;
        }
        *self = snapshot;
        Applied::Yes
    }

    /// Entries changed after a revision, sorted by revision, including deletions. `None` if
    /// deletions since then have been removed, so that a snapshot is required.
    pub fn entries_after(&self, revision: u64) -> Option<Vec<ConfigurationEntry>> {
        if revision < self.deletions_forgotten_to {
            return None;
        }
        let mut entries: Vec<ConfigurationEntry> = self
            .entries
            .values()
            .filter(|entry| entry.revision > revision)
            .cloned()
            .collect();
        entries.sort_by_key(|entry| (entry.revision, entry.part));
        Some(entries)
    }

    /// Merges all entries changed after revision `after` up to `up_to`, without the intermediate
    /// revisions.
    pub fn merge(&mut self, after: u64, entries: &[ConfigurationEntry], up_to: u64) -> Applied {
        if up_to <= self.revision {
            return Applied::Old;
        }
        if after > self.revision {
            return Applied::Gap;
        }
        for entry in entries {
            let known = self.entries.get(&entry.key);
            if known.is_none_or(|known| known.revision < entry.revision) {
                self.entries.insert(entry.key.clone(), entry.clone());
            }
        }
        self.revision = up_to;
        self.forget_deletions();
        Applied::Yes
    }

    /// Removes the oldest deletions if there are more than [`MAXIMUM_DELETIONS`].
    fn forget_deletions(&mut self) {
        let mut deletions: Vec<u64> = self
            .entries
            .values()
            .filter(|entry| entry.deleted)
            .map(|entry| entry.revision)
            .collect();
        if deletions.len() <= MAXIMUM_DELETIONS {
            return;
        }
        deletions.sort_unstable();
        let forgotten_to = deletions[deletions.len() - MAXIMUM_DELETIONS / 2 - 1];
        self.entries
            .retain(|_, entry| !entry.deleted || entry.revision > forgotten_to);
        self.deletions_forgotten_to = self.deletions_forgotten_to.max(forgotten_to);
    }
}

/// Maximum deletions kept for peers that lag.
pub const MAXIMUM_DELETIONS: usize = 1024;

/// One row of the change feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedRow {
    pub key: String,
    /// Store revision of the change.
    pub revision: u64,
    /// New value; `None` if the row was deleted.
    pub value: Option<Vec<u8>>,
}

/// Groups rows of the change feed, sorted by revision, into changes. `previous` is the revision of
/// the change before the first row.
pub fn changes_from_feed(rows: &[FeedRow], previous: u64) -> Vec<Vec<ConfigurationEntry>> {
    let mut previous = previous;
    let mut changes = Vec::new();
    for group in rows.chunk_by(|left, right| left.revision == right.revision) {
        changes.push(change_of_rows(group, previous));
        previous = group[0].revision;
    }
    changes
}

fn change_of_rows(rows: &[FeedRow], previous: u64) -> Vec<ConfigurationEntry> {
    let parts = u32::try_from(rows.len()).unwrap_or(u32::MAX);
    (0_u32..)
        .zip(rows)
        .map(|(part, row)| ConfigurationEntry {
            revision: row.revision,
            previous,
            key: row.key.clone(),
            value: row.value.clone().unwrap_or_default(),
            deleted: row.value.is_none(),
            part,
            parts,
        })
        .collect()
}

/// Maximum changes buffered while an earlier one is missing.
const MAXIMUM_PENDING: usize = 128;

/// Buffer for changes received partially or out of order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PendingChanges {
    changes: BTreeMap<u64, BTreeMap<u32, ConfigurationEntry>>,
}

impl PendingChanges {
    /// Adds an entry. If the buffer is full, the change with the highest revision is dropped;
    /// anti-entropy delivers it again.
    pub fn offer(&mut self, entry: ConfigurationEntry) {
        self.changes
            .entry(entry.revision)
            .or_default()
            .insert(entry.part, entry);
        if self.changes.len() > MAXIMUM_PENDING {
            self.changes.pop_last();
        }
    }

    /// Removes and returns the change that follows `revision` if it is complete, and drops older
    /// ones.
    pub fn take_next(&mut self, revision: u64) -> Option<Vec<ConfigurationEntry>> {
        self.changes = self.changes.split_off(&(revision + 1));
        let (&next, parts) = self.changes.first_key_value()?;
        let first = parts.values().next()?;
        if first.previous != revision || parts.len() < first.parts.max(1) as usize {
            return None;
        }
        let parts = self.changes.remove(&next)?;
        Some(parts.into_values().collect())
    }

    /// Highest buffered revision.
    pub fn highest(&self) -> Option<u64> {
        self.changes.keys().next_back().copied()
    }
}

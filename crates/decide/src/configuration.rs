//! Application of configuration changes: one chain of revisions, applied in order, never back.

use std::collections::BTreeMap;

use dappleyard_wire::messages::ConfigurationEntry;

/// What became of a change that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// Applied: the state is at its revision now.
    Yes,
    /// Already known, or older than the state.
    Old,
    /// Changes in between are missing: ask a peer for those after the state's revision.
    Gap,
}

/// Configuration rows at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigurationState {
    /// Revision of the last change applied.
    pub revision: u64,
    /// Last change of each key, deletions included.
    pub entries: BTreeMap<String, ConfigurationEntry>,
}

impl ConfigurationState {
    /// Applies all rows of one transaction, which share one revision. Nothing is applied in part.
    pub fn apply(&mut self, change: &[ConfigurationEntry]) -> Applied {
        let Some(first) = change.first() else {
            return Applied::Old;
        };
        if first.revision <= self.revision {
            return Applied::Old;
        }
        let whole = change.len() == first.parts.max(1) as usize;
        if first.previous != self.revision || !whole {
            return Applied::Gap;
        }
        for entry in change {
            self.entries.insert(entry.key.clone(), entry.clone());
        }
        self.revision = first.revision;
        Applied::Yes
    }

    /// Takes a whole snapshot when it is newer.
    pub fn replace(&mut self, snapshot: ConfigurationState) -> Applied {
        if snapshot.revision <= self.revision {
            return Applied::Old;
        }
        *self = snapshot;
        Applied::Yes
    }
}

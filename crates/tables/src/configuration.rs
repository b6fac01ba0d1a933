//! Decoded configuration in force on this node.

use std::collections::BTreeMap;
use std::sync::Arc;

use dappleyard_decide::configuration::{Applied, ConfigurationState};
use dappleyard_wire::keys::CONFIGURATION_PREFIX;
use dappleyard_wire::messages::{ConfigurationEntry, DrainRow, ServiceRow, TenantRow, WindowRow};
use prost::Message;
use tokio::sync::watch;

use crate::directory::ServerEntry;
use crate::rank::{Rank, RankedMutex};

/// Decoded configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    pub revision: u64,
    /// Services by name.
    pub services: BTreeMap<String, ServiceRow>,
    /// Tenants by name.
    pub tenants: BTreeMap<String, TenantRow>,
    /// Drains by kind and name.
    pub drains: BTreeMap<(String, String), DrainRow>,
    /// Demand windows by name.
    pub windows: BTreeMap<String, WindowRow>,
}

impl Configuration {
    /// Whether a drain covers a server, its hall or its zone.
    pub fn is_draining(&self, server: &str, hall: &str, zone: &str) -> bool {
        [("server", server), ("hall", hall), ("zone", zone)]
            .into_iter()
            .any(|(kind, name)| {
                self.drains
                    .contains_key(&(kind.to_owned(), name.to_owned()))
            })
    }

    /// Whether a drain covers a server entry.
    pub fn drains(&self, entry: &ServerEntry) -> bool {
        !self.drains.is_empty()
            && self.is_draining(entry.server.as_str(), &entry.hall, entry.zone.as_str())
    }

    fn decode(state: &ConfigurationState) -> Configuration {
        let mut decoded = Configuration {
            revision: state.revision,
            ..Configuration::default()
        };
        for (key, entry) in state.entries.iter().filter(|(_, entry)| !entry.deleted) {
            decoded.insert(key, &entry.value);
        }
        decoded
    }

    /// Skips rows that cannot be decoded, such as those of a later version.
    fn insert(&mut self, key: &str, value: &[u8]) {
        let Some(path) = key.strip_prefix(CONFIGURATION_PREFIX) else {
            return;
        };
        let mut parts = path.splitn(3, '/');
        match (parts.next(), parts.next(), parts.next()) {
            (Some("service"), Some(name), None) => insert_row(&mut self.services, name, value),
            (Some("tenant"), Some(name), None) => insert_row(&mut self.tenants, name, value),
            (Some("window"), Some(name), None) => insert_row(&mut self.windows, name, value),
            (Some("drain"), Some(kind), Some(name)) => {
                if let Ok(row) = DrainRow::decode(value) {
                    self.drains.insert((kind.to_owned(), name.to_owned()), row);
                }
            }
            _ => {}
        }
    }
}

fn insert_row<R: Message + Default>(rows: &mut BTreeMap<String, R>, name: &str, value: &[u8]) {
    if let Ok(row) = R::decode(value) {
        rows.insert(name.to_owned(), row);
    }
}

pub struct ConfigurationTable {
    state: RankedMutex<ConfigurationState>,
    current: watch::Sender<Arc<Configuration>>,
}

impl Default for ConfigurationTable {
    fn default() -> Self {
        Self {
            state: RankedMutex::new(Rank::Configuration, ConfigurationState::default()),
            current: watch::Sender::new(Arc::default()),
        }
    }
}

impl ConfigurationTable {
    pub fn current(&self) -> Arc<Configuration> {
        self.current.borrow().clone()
    }

    pub fn revision(&self) -> u64 {
        self.current.borrow().revision
    }

    /// Subscribes to changes of the configuration in force.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.current.subscribe()
    }

    /// Applies all rows of one transaction.
    pub fn apply(&self, change: &[ConfigurationEntry]) -> Applied {
        self.update(|state| state.apply(change))
    }

    /// Replaces the configuration by a snapshot if that is newer.
    pub fn replace(&self, snapshot: ConfigurationState) -> Applied {
        self.update(|state| state.replace(snapshot))
    }

    /// Applies all entries that changed between two revisions, atomically.
    pub fn merge(&self, after: u64, entries: &[ConfigurationEntry], up_to: u64) -> Applied {
        self.update(|state| state.merge(after, entries, up_to))
    }

    /// Revision in force and the entries changed after `revision`; `None` if deletions since then are no longer recorded.
    pub fn entries_after(&self, revision: u64) -> (u64, Option<Vec<ConfigurationEntry>>) {
        let state = self.state.lock();
        (state.revision, state.entries_after(revision))
    }

    /// All entries, including deletions, for a peer that is starting.
    pub fn snapshot(&self) -> ConfigurationState {
        self.state.lock().clone()
    }

    fn update(&self, change: impl FnOnce(&mut ConfigurationState) -> Applied) -> Applied {
        let mut state = self.state.lock();
        let applied = change(&mut state);
        if applied == Applied::Yes {
            self.current
                .send_replace(Arc::new(Configuration::decode(&state)));
        }
        applied
    }
}

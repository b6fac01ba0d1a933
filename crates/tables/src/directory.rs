//! Servers of the fleet from the machine list, with their owners.

use std::collections::BTreeMap;

use dappleyard_wire::ids::{NodeId, RegionId, ServerId, ServiceId, ZoneId};
use tokio::sync::watch;

use crate::rank::{Rank, RankedMutex};

/// Server of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    pub server: ServerId,
    /// Service that the server runs.
    pub service: ServiceId,
    pub region: RegionId,
    pub zone: ZoneId,
    pub hall: String,
    /// Base URL of the engine.
    pub base_url: String,
    /// Whether the machine list reports that the server is about to be removed.
    pub leaving: bool,
    /// Owner by rendezvous hashing over the live members of its cell; `None` until one is known.
    pub owner: Option<NodeId>,
}

/// Table of servers, written by the fleet component only.
pub struct DirectoryTable {
    servers: RankedMutex<BTreeMap<ServerId, ServerEntry>>,
    changed: watch::Sender<u64>,
}

impl Default for DirectoryTable {
    fn default() -> Self {
        Self {
            servers: RankedMutex::new(Rank::Directory, BTreeMap::new()),
            changed: watch::Sender::new(0),
        }
    }
}

impl DirectoryTable {
    /// Replaces all entries; subscribers are not notified if nothing changed.
    pub fn replace(&self, entries: Vec<ServerEntry>) {
        let next = entries
            .into_iter()
            .map(|entry| (entry.server.clone(), entry))
            .collect();
        let mut servers = self.servers.lock();
        if *servers == next {
            return;
        }
        *servers = next;
        drop(servers);
        self.changed.send_modify(|version| *version += 1);
    }

    /// Inserts or updates some entries, keeping the owners of known ones, and removes others.
    pub fn change(&self, put: Vec<ServerEntry>, removed: &[ServerId]) {
        if put.is_empty() && removed.is_empty() {
            return;
        }
        let mut servers = self.servers.lock();
        for entry in put {
            let owner = servers
                .get(&entry.server)
                .and_then(|known| known.owner.clone());
            let entry = ServerEntry { owner, ..entry };
            servers.insert(entry.server.clone(), entry);
        }
        for server in removed {
            servers.remove(server);
        }
        drop(servers);
        self.changed.send_modify(|version| *version += 1);
    }

    pub fn set_owners(&self, owners: Vec<(ServerId, Option<NodeId>)>) {
        if owners.is_empty() {
            return;
        }
        let mut servers = self.servers.lock();
        for (server, owner) in owners {
            if let Some(entry) = servers.get_mut(&server) {
                entry.owner = owner;
            }
        }
        drop(servers);
        self.changed.send_modify(|version| *version += 1);
    }

    /// Reads all entries under the lock, without copying.
    pub fn read<R>(&self, reader: impl FnOnce(&BTreeMap<ServerId, ServerEntry>) -> R) -> R {
        reader(&self.servers.lock())
    }

    pub fn get(&self, server: &ServerId) -> Option<ServerEntry> {
        self.servers.lock().get(server).cloned()
    }

    pub fn all(&self) -> Vec<ServerEntry> {
        self.servers.lock().values().cloned().collect()
    }

    pub fn len(&self) -> usize {
        self.servers.lock().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn owned_by(&self, node: &NodeId) -> Vec<ServerEntry> {
        let servers = self.servers.lock();
        servers
            .values()
            .filter(|entry| entry.owner.as_ref() == Some(node))
            .cloned()
            .collect()
    }

    /// Subscribes to changes; the value is a change counter.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

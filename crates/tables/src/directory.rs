//! Servers of the fleet, from the machine list, and the node that owns each.

use std::collections::BTreeMap;

use dappleyard_wire::ids::{NodeId, RegionId, ServerId, ServiceId, ZoneId};
use tokio::sync::watch;

use crate::rank::{Rank, Ranked};

/// One server of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// Server id.
    pub server: ServerId,
    /// Service that it is meant for.
    pub service: ServiceId,
    /// Region.
    pub region: RegionId,
    /// Zone.
    pub zone: ZoneId,
    /// Hall.
    pub hall: String,
    /// Base URL of the engine.
    pub base_url: String,
    /// The machine list says that it is leaving.
    pub leaving: bool,
    /// Owner by rendezvous hash over the live members of its cell; `None` before any is known.
    pub owner: Option<NodeId>,
}

/// Table of servers. The fleet part writes it; everyone else reads it.
pub struct DirectoryTable {
    servers: Ranked<BTreeMap<ServerId, ServerEntry>>,
    changed: watch::Sender<u64>,
}

impl Default for DirectoryTable {
    fn default() -> Self {
        Self {
            servers: Ranked::new(Rank::Directory, BTreeMap::new()),
            changed: watch::Sender::new(0),
        }
    }
}

impl DirectoryTable {
    /// Replaces all entries.
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

    /// Puts and removes some entries; owners of those known already stay.
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

    /// Sets the owners of some servers.
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

    /// Reads all entries under one lock, without copies.
    pub fn read<R>(&self, reader: impl FnOnce(&BTreeMap<ServerId, ServerEntry>) -> R) -> R {
        reader(&self.servers.lock())
    }

    /// One entry.
    pub fn get(&self, server: &ServerId) -> Option<ServerEntry> {
        self.servers.lock().get(server).cloned()
    }

    /// All entries.
    pub fn all(&self) -> Vec<ServerEntry> {
        self.servers.lock().values().cloned().collect()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.servers.lock().len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Entries owned by a node.
    pub fn owned_by(&self, node: &NodeId) -> Vec<ServerEntry> {
        let servers = self.servers.lock();
        servers
            .values()
            .filter(|entry| entry.owner.as_ref() == Some(node))
            .cloned()
            .collect()
    }

    /// A receiver that sees a new value whenever an entry changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

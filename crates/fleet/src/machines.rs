//! The machine list. All nodes read a small list; only the watchers of each zone read a large one
//! frequent, and gossip the changes to the others.
//!
//! A watcher compares each read with its previous one. The latest observation wins, and an unchanged
//! read does not revert changes that other nodes have observed since, because the list may be stale
//! by a different time for each reader.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dappleyard_decide::broadcast::Broadcasts;
use dappleyard_store::{Machine, MachineRole};
use dappleyard_tables::directory::ServerEntry;
use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::ids::{RegionId, ServerId, ServiceId, ZoneId};
use dappleyard_wire::messages::ServerUpdate;
use prost::Message;

/// Longest list that every node polls itself, entries.
const SMALL_LIST: usize = 256;
/// Most changes of one read that are sent by gossip; after more, all nodes read the list.
const MAXIMUM_UPDATES: usize = 64;
/// Age of an observation above which a read overrides it, milliseconds. Removed servers are kept for
/// the same time.
const OVERRIDE_AGE_MS: u64 = 60_000;
/// Read interval of a large list on nodes that are not watchers, milliseconds.
const LARGE_LIST_INTERVAL_MS: u64 = 1_800_000;
/// Encoded size of the tag and length of one update.
const UPDATE_OVERHEAD_BYTES: usize = 3;

struct ServerState {
    /// Hash of the current content; `None` when the server is removed.
    current: Option<u64>,
    /// Hash of the content in this node's last read.
    read: Option<u64>,
    observed_unix_ms: u64,
    /// This node's read count when the state was last updated.
    read_count: u32,
}

#[derive(Default)]
pub struct DirectoryChange {
    pub put: Vec<ServerEntry>,
    pub removed: Vec<ServerId>,
}

impl DirectoryChange {
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.removed.is_empty()
    }
}

/// The machine list as this node knows it.
#[derive(Default)]
pub struct Machines {
    known: BTreeMap<ServerId, ServerState>,
    nodes: Vec<SocketAddr>,
    entries: usize,
    read_count: u32,
    queue: Broadcasts<ServerUpdate>,
    /// Interned ids of services, zones and regions.
    services: BTreeMap<String, ServiceId>,
    zones: BTreeMap<String, ZoneId>,
    regions: BTreeMap<String, RegionId>,
    has_read: bool,
    reread_unix_ms: u64,
}

impl Machines {
    /// Gossip addresses of the nodes in the list.
    pub fn node_addresses(&self) -> &[SocketAddr] {
        &self.nodes
    }

    /// Time until this node reads the list again, milliseconds. `frequent` is set for watchers and
    /// after a failed read.
    pub fn read_interval_ms(&self, interval_ms: u64, frequent: bool) -> u64 {
        if frequent || !self.has_read || self.entries <= SMALL_LIST {
            interval_ms
        } else {
            LARGE_LIST_INTERVAL_MS
        }
    }

    /// The updates to send in the next datagram, within `budget` bytes.
    pub fn next_updates(&mut self, budget: usize, retransmits: u32) -> Vec<ServerUpdate> {
        self.queue.take(budget, retransmits)
    }

    /// When the list last changed too much to send updates.
    pub fn reread_unix_ms(&self) -> u64 {
        self.reread_unix_ms
    }

    /// Notes another node's request to read the list again; `true` when it is newer than the last one.
    pub fn note_reread_request(&mut self, unix_ms: u64) -> bool {
        let is_newer = unix_ms > self.reread_unix_ms;
        self.reread_unix_ms = self.reread_unix_ms.max(unix_ms);
        is_newer
    }

    /// Applies a read of the list.
    pub fn apply_list(&mut self, machines: &[Machine], unix_ms: u64) -> DirectoryChange {
        self.entries = machines.len();
        self.nodes = machines
            .iter()
            .filter(|machine| machine.role == MachineRole::Node)
            .filter_map(|machine| machine.address.parse().ok())
            .collect();
        let mut change = DirectoryChange::default();
        let mut updates = Vec::new();
        let servers = machines
            .iter()
            .filter(|machine| machine.role == MachineRole::Server);
        self.read_count += 1;
        for machine in servers {
            let hash = content_hash(machine);
            if self.note_server(machine.name.as_str(), Some(hash), unix_ms) {
                change.put.push(self.entry_of(machine));
                updates.push(update_of(machine, unix_ms));
            }
        }
        let missing: Vec<ServerId> = self
            .known
            .iter()
            .filter(|(_, known)| known.read_count != self.read_count)
            .map(|(server, _)| server.clone())
            .collect();
        for server in missing {
            if self.note_server(server.as_str(), None, unix_ms) {
                updates.push(removal_of(&server, unix_ms));
                change.removed.push(server);
            }
        }
        self.drop_removed(unix_ms);
        if self.has_read {
            self.enqueue_updates(updates, unix_ms);
        }
        self.has_read = true;
        change
    }

    /// Notes the content of one server in a read; `true` when it becomes the current content.
    fn note_server(&mut self, server: &str, hash: Option<u64>, unix_ms: u64) -> bool {
        let Some(known) = self.known.get_mut(&ServerId::from(server)) else {
            let added = ServerState {
                current: hash,
                read: hash,
                observed_unix_ms: unix_ms,
                read_count: self.read_count,
            };
            self.known.insert(server.into(), added);
            return true;
        };
        known.read_count = self.read_count;
        let differs_from_last = known.read != hash;
        known.read = hash;
        let outdated = unix_ms.saturating_sub(known.observed_unix_ms) >= OVERRIDE_AGE_MS;
        if known.current == hash || !(differs_from_last || outdated) {
            return false;
        }
        known.current = hash;
        known.observed_unix_ms = unix_ms;
        true
    }

    fn enqueue_updates(&mut self, updates: Vec<ServerUpdate>, unix_ms: u64) {
        if self.entries <= SMALL_LIST {
            return;
        }
        if updates.len() > MAXIMUM_UPDATES {
            self.reread_unix_ms = unix_ms;
            return;
        }
        for update in updates {
            self.push(update);
        }
    }

    fn push(&mut self, update: ServerUpdate) {
        let bytes = update.encoded_len() + UPDATE_OVERHEAD_BYTES;
        let server = update.server.clone();
        self.queue.push(&server, update, bytes);
    }

    /// Applies updates received by gossip, and forwards those that are new.
    pub fn merge_updates(&mut self, updates: &[ServerUpdate]) -> DirectoryChange {
        let mut change = DirectoryChange::default();
        for update in updates.iter().filter(|update| !update.server.is_empty()) {
            let machine = machine_of(update);
            let hash = (!update.removed).then(|| content_hash(&machine));
            let known = self.known.get(&ServerId::from(&update.server));
            let is_newer = known.is_none_or(|known| {
                known.observed_unix_ms < update.observed_unix_ms && known.current != hash
            });
            if !is_newer {
                continue;
            }
            let read = known.and_then(|known| known.read);
            let next = ServerState {
                current: hash,
                read,
                observed_unix_ms: update.observed_unix_ms,
                read_count: self.read_count,
            };
            self.known.insert(update.server.as_str().into(), next);
            match update.removed {
                true => change.removed.push(update.server.as_str().into()),
                false => change.put.push(self.entry_of(&machine)),
            }
            self.push(update.clone());
        }
        change
    }

    /// Drops servers that were removed long ago.
    fn drop_removed(&mut self, unix_ms: u64) {
        self.known.retain(|_, known| {
            let gone = known.current.is_none() && known.read.is_none();
            !gone || unix_ms.saturating_sub(known.observed_unix_ms) < OVERRIDE_AGE_MS
        });
    }

    /// The directory entry of a machine, with interned ids.
    fn entry_of(&mut self, machine: &Machine) -> ServerEntry {
        ServerEntry {
            server: machine.name.as_str().into(),
            service: intern(&mut self.services, machine.service.as_str()),
            region: intern(&mut self.regions, machine.region.as_str()),
            zone: intern(&mut self.zones, machine.zone.as_str()),
            hall: machine.hall.clone(),
            base_url: machine.address.clone(),
            leaving: machine.leaving,
            owner: None,
        }
    }
}

fn intern<I: Clone + for<'a> From<&'a str>>(ids: &mut BTreeMap<String, I>, id: &str) -> I {
    if let Some(known) = ids.get(id) {
        return known.clone();
    }
    let interned = I::from(id);
    ids.insert(id.to_owned(), interned.clone());
    interned
}

/// Hash of the server properties that the directory keeps.
fn content_hash(machine: &Machine) -> u64 {
    let fields = [
        machine.service.as_str(),
        machine.region.as_str(),
        machine.zone.as_str(),
        &machine.hall,
        &machine.address,
    ];
    let mut text = fields.join("\n");
    text.push(if machine.leaving { '1' } else { '0' });
    hash_bytes(text.as_bytes())
}

fn update_of(machine: &Machine, observed_unix_ms: u64) -> ServerUpdate {
    ServerUpdate {
        server: machine.name.clone(),
        service: machine.service.to_string(),
        region: machine.region.to_string(),
        zone: machine.zone.to_string(),
        hall: machine.hall.clone(),
        base_url: machine.address.clone(),
        leaving: machine.leaving,
        removed: false,
        observed_unix_ms,
    }
}

fn removal_of(server: &ServerId, observed_unix_ms: u64) -> ServerUpdate {
    ServerUpdate {
        server: server.to_string(),
        removed: true,
        observed_unix_ms,
        ..ServerUpdate::default()
    }
}

fn machine_of(update: &ServerUpdate) -> Machine {
    Machine {
        name: update.server.clone(),
        role: MachineRole::Server,
        region: update.region.as_str().into(),
        zone: update.zone.as_str().into(),
        hall: update.hall.clone(),
        address: update.base_url.clone(),
        service: update.service.as_str().into(),
        leaving: update.leaving,
    }
}

//! The machine list: read by all nodes while it is small, by the watchers of each zone when it is
//! large; what they see change rides on gossip.
//!
//! A list of 7,900 servers is more than a megabyte: if each node read it every two seconds, that
//! alone would cost a hundred times the whole budget of a node. A watcher compares each reading with
//! its last one and passes on what differs; the later observation wins, and a reading that does not
//! differ from the reader's last one does not undo what others have seen meanwhile, since the list
//! lags by a different time for each reader.

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

/// Longest list that every node reads for itself, entries.
const SMALL_LIST: usize = 256;
/// Most changes of one reading that ride on gossip; after more, all nodes read the list.
const MAXIMUM_UPDATES: usize = 64;
/// Time after which a reading overrules what others saw before, milliseconds.
const OVERRULE_MS: u64 = 60_000;
/// Time between readings of a large list by nodes that are no watchers, milliseconds.
const RARE_READING_MS: u64 = 1_800_000;
/// Bytes that the tag and length of one update take.
const UPDATE_OVERHEAD_BYTES: usize = 3;

/// What this node knows of one server in the list.
struct Known {
    /// Hash of the content in force; `None` when the server is gone.
    current: Option<u64>,
    /// Hash of the content at this node's last reading.
    read: Option<u64>,
    /// When the content in force was observed.
    observed_unix_ms: u64,
    /// Last reading that showed the server, or its absence.
    reading: u32,
}

/// What has to change in the directory.
#[derive(Default)]
pub struct DirectoryChange {
    /// New entries, or new contents.
    pub put: Vec<ServerEntry>,
    /// Servers that are gone.
    pub removed: Vec<ServerId>,
}

impl DirectoryChange {
    /// Whether nothing has to change.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.removed.is_empty()
    }
}

/// The machine list as this node knows it.
#[derive(Default)]
pub struct Machines {
    known: BTreeMap<ServerId, Known>,
    nodes: Vec<SocketAddr>,
    entries: usize,
    reading: u32,
    waiting: Broadcasts<ServerUpdate>,
    /// Ids that many entries share, kept once.
    services: BTreeMap<String, ServiceId>,
    zones: BTreeMap<String, ZoneId>,
    regions: BTreeMap<String, RegionId>,
    read_once: bool,
    reread_unix_ms: u64,
}

impl Machines {
    /// Gossip addresses of the nodes that the list shows.
    pub fn node_addresses(&self) -> &[SocketAddr] {
        &self.nodes
    }

    /// Time until this node reads the list again, milliseconds. `often` says that it is a watcher, or
    /// that the last reading failed.
    pub fn reading_interval_ms(&self, interval_ms: u64, often: bool) -> u64 {
        if often || !self.read_once || self.entries <= SMALL_LIST {
            interval_ms
        } else {
            RARE_READING_MS
        }
    }

    /// Updates for one datagram.
    pub fn take(&mut self, budget: usize, retransmits: u32) -> Vec<ServerUpdate> {
        self.waiting.take(budget, retransmits)
    }

    /// When the list was last seen to change too much for updates.
    pub fn reread_unix_ms(&self) -> u64 {
        self.reread_unix_ms
    }

    /// Takes another node's statement that the list is to be read again; `true` when it is news.
    pub fn hear_reread(&mut self, unix_ms: u64) -> bool {
        let news = unix_ms > self.reread_unix_ms;
        self.reread_unix_ms = self.reread_unix_ms.max(unix_ms);
        news
    }

    /// Takes a reading of the list.
    pub fn read(&mut self, machines: &[Machine], unix_ms: u64) -> DirectoryChange {
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
        self.reading += 1;
        for machine in servers {
            let hash = content_hash(machine);
            if self.take_reading(machine.name.as_str(), Some(hash), unix_ms) {
                change.put.push(self.entry_of(machine));
                updates.push(update_of(machine, unix_ms));
            }
        }
        let missing: Vec<ServerId> = self
            .known
            .iter()
            .filter(|(_, known)| known.reading != self.reading)
            .map(|(server, _)| server.clone())
            .collect();
        for server in missing {
            if self.take_reading(server.as_str(), None, unix_ms) {
                updates.push(removal_of(&server, unix_ms));
                change.removed.push(server);
            }
        }
        self.forget_gone(unix_ms);
        if self.read_once {
            self.pass_on(updates, unix_ms);
        }
        self.read_once = true;
        change
    }

    /// Notes what the reading shows of one server; `true` when it comes into force.
    fn take_reading(&mut self, server: &str, hash: Option<u64>, unix_ms: u64) -> bool {
        let Some(known) = self.known.get_mut(&ServerId::from(server)) else {
            let fresh = Known {
                current: hash,
                read: hash,
                observed_unix_ms: unix_ms,
                reading: self.reading,
            };
            self.known.insert(server.into(), fresh);
            return true;
        };
        known.reading = self.reading;
        let differs_from_last = known.read != hash;
        known.read = hash;
        let overrules = unix_ms.saturating_sub(known.observed_unix_ms) >= OVERRULE_MS;
        if known.current == hash || !(differs_from_last || overrules) {
            return false;
        }
        known.current = hash;
        known.observed_unix_ms = unix_ms;
        true
    }

    fn pass_on(&mut self, updates: Vec<ServerUpdate>, unix_ms: u64) {
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
        self.waiting.push(&server, update, bytes);
    }

    /// Takes updates that came by gossip; those that are news go on to others.
    pub fn learn(&mut self, updates: &[ServerUpdate]) -> DirectoryChange {
        let mut change = DirectoryChange::default();
        for update in updates.iter().filter(|update| !update.server.is_empty()) {
            let machine = machine_of(update);
            let hash = (!update.removed).then(|| content_hash(&machine));
            let known = self.known.get(&ServerId::from(&update.server));
            let news = known.is_none_or(|known| {
                known.observed_unix_ms < update.observed_unix_ms && known.current != hash
            });
            if !news {
                continue;
            }
            let read = known.and_then(|known| known.read);
            let next = Known {
                current: hash,
                read,
                observed_unix_ms: update.observed_unix_ms,
                reading: self.reading,
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

    /// Forgets servers that are gone from the list and from the directory for long.
    fn forget_gone(&mut self, unix_ms: u64) {
        self.known.retain(|_, known| {
            let gone = known.current.is_none() && known.read.is_none();
            !gone || unix_ms.saturating_sub(known.observed_unix_ms) < OVERRULE_MS
        });
    }

    /// The directory entry; ids that many entries share are kept once.
    fn entry_of(&mut self, machine: &Machine) -> ServerEntry {
        ServerEntry {
            server: machine.name.as_str().into(),
            service: shared(&mut self.services, machine.service.as_str()),
            region: shared(&mut self.regions, machine.region.as_str()),
            zone: shared(&mut self.zones, machine.zone.as_str()),
            hall: machine.hall.clone(),
            base_url: machine.address.clone(),
            leaving: machine.leaving,
            owner: None,
        }
    }
}

fn shared<I: Clone + for<'a> From<&'a str>>(ids: &mut BTreeMap<String, I>, id: &str) -> I {
    if let Some(known) = ids.get(id) {
        return known.clone();
    }
    let made = I::from(id);
    ids.insert(id.to_owned(), made.clone());
    made
}

/// Hash of all that the directory keeps of a server.
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

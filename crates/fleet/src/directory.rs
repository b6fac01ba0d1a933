//! Assignment of servers to owners, and of members to cells.
//!
//! Directory entries are kept in the node's shared table; this module keeps the server keys of each
//! zone in assignment order. A member change recomputes only the zones whose cells it affects.

use std::collections::BTreeMap;

use dappleyard_decide::membership::{Membership, is_present};
use dappleyard_decide::ownership::{Cell, Cells, OwnerNode, owners_of_zone, server_key};
use dappleyard_tables::NodeTables;
use dappleyard_tables::directory::ServerEntry;
use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::ids::{NodeId, ServerId};
use dappleyard_wire::messages::Member;

/// Servers of one zone, by key.
#[derive(Default)]
struct Zone {
    servers: BTreeMap<u64, ServerId>,
    owners: BTreeMap<u64, NodeId>,
    /// Cells for which `owners` was computed.
    cells: Vec<Cell>,
    changed: bool,
}

/// Cells of the members, and the servers of each zone.
#[derive(Default)]
pub struct Directory {
    zones: BTreeMap<(String, String), Zone>,
    cells: Cells,
    /// Hash of the members for which `cells` was computed.
    fingerprint: u64,
}

impl Directory {
    pub fn cells(&self) -> &Cells {
        &self.cells
    }

    pub fn cell_of(&self, node: &str) -> Option<&Cell> {
        self.cells.of_node(node)
    }

    /// Recomputes the cells; `true` when nodes or their eligibility have changed.
    pub fn set_members(&mut self, membership: &Membership, cell_size: usize) -> bool {
        let members = || {
            let others = membership.members().map(|entry| &entry.member);
            others.chain(std::iter::once(membership.own()))
        };
        let fingerprint =
            members().fold(0_u64, |sum, member| sum.wrapping_add(member_hash(member)));
        if self.fingerprint == fingerprint {
            return false;
        }
        self.fingerprint = fingerprint;
        let mut nodes: Vec<OwnerNode> = members().map(owner_node).collect();
        nodes.sort_by(|left, right| left.node.cmp(&right.node));
        self.cells = Cells::of(&nodes, cell_size);
        true
    }

    pub fn cell_names(&self) -> BTreeMap<NodeId, String> {
        let cells = self.cells.all().iter();
        cells
            .flat_map(|cell| {
                let nodes = cell.nodes.iter();
                nodes.map(|node| (NodeId::from(&node.node), cell.name.clone()))
            })
            .collect()
    }

    /// Applies new, changed and removed servers.
    pub fn change_servers(
        &mut self,
        tables: &NodeTables,
        put: Vec<ServerEntry>,
        removed: &[ServerId],
    ) {
        let moved = put.iter().map(|entry| &entry.server).chain(removed);
        for server in moved {
            self.remove_server(server);
        }
        for entry in &put {
            let place = (entry.region.to_string(), entry.zone.to_string());
            let zone = self.zones.entry(place).or_default();
            let key = server_key(entry.server.as_str());
            zone.servers.insert(key, entry.server.clone());
            zone.changed = true;
        }
        tables.directory.change(put, removed);
    }

    fn remove_server(&mut self, server: &ServerId) {
        let key = server_key(server.as_str());
        for zone in self.zones.values_mut() {
            if zone.servers.remove(&key).is_some() {
                zone.changed = true;
            }
        }
    }

    /// Publishes changed owners and this node's owned servers. Returns the number of owned servers.
    pub fn publish(&mut self, tables: &NodeTables) -> usize {
        let mut changes = Vec::new();
        for ((region, place), zone) in &mut self.zones {
            let candidates = self.cells.candidates(region, place);
            let same_cells = candidates.iter().copied().eq(&zone.cells);
            if same_cells && !zone.changed {
                continue;
            }
            zone.assign(&candidates, &mut changes);
            zone.cells = candidates.into_iter().cloned().collect();
            zone.changed = false;
        }
        tables.directory.set_owners(changes);
        let owned = tables.directory.owned_by(&tables.identity.node);
        let count = owned.len();
        tables.servers.set_owned(owned);
        count
    }
}

impl Zone {
    /// Computes the owners and adds those to be written to `changes`: the ones that differ, or all of
    /// them when the servers of the zone have changed.
    fn assign(&mut self, candidates: &[&Cell], changes: &mut Vec<(ServerId, Option<NodeId>)>) {
        let keys: Vec<u64> = self.servers.keys().copied().collect();
        let mut ids: BTreeMap<&str, NodeId> = BTreeMap::new();
        let owners = owners_of_zone(candidates, &keys);
        let mut next = BTreeMap::new();
        for ((key, server), owner) in self.servers.iter().zip(owners) {
            let owner = owner.map(|id| ids.entry(id).or_insert_with(|| id.into()).clone());
            if self.owners.get(key) != owner.as_ref() || self.changed {
                changes.push((server.clone(), owner.clone()));
            }
            next.extend(owner.map(|owner| (*key, owner)));
        }
        self.owners = next;
    }
}

/// Hash of the member properties that ownership depends on.
fn member_hash(member: &Member) -> u64 {
    let key = hash_bytes(member.node.as_bytes());
    let eligible = u64::from(is_present(member) && !member.draining);
    key.rotate_left(1).wrapping_mul(2 * eligible + 3)
}

fn owner_node(member: &Member) -> OwnerNode {
    OwnerNode {
        node: member.node.clone(),
        zone: member.zone.clone(),
        region: member.region.clone(),
        eligible: is_present(member) && !member.draining,
    }
}

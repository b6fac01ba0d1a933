//! The directory of servers: the machine list, and the owner of each by the cells of the members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dappleyard_decide::membership::{Membership, is_present};
use dappleyard_decide::ownership::{Cell, Cells, OwnedServerPlace, OwnerNode, owners};
use dappleyard_platform::{Machine, MachineRole};
use dappleyard_tables::NodeTables;
use dappleyard_tables::directory::ServerEntry;
use dappleyard_wire::ids::NodeId;
use dappleyard_wire::messages::Member;

/// The machine list as last read, and the cells of the members.
#[derive(Default)]
pub struct Directory {
    machines: Vec<Machine>,
    servers: Vec<ServerEntry>,
    cells: Cells,
    nodes: Vec<OwnerNode>,
}

impl Directory {
    /// Takes the machine list as read; `true` when it differs from the last one.
    pub fn set_machines(&mut self, machines: Vec<Machine>) -> bool {
        if self.machines == machines {
            return false;
        }
        self.servers = machines.iter().filter_map(server_entry).collect();
        self.machines = machines;
        true
    }

    /// Gossip addresses of the nodes that the machine list shows.
    pub fn node_addresses(&self) -> Vec<SocketAddr> {
        self.machines
            .iter()
            .filter(|machine| machine.role == MachineRole::Node)
            .filter_map(|machine| machine.address.parse().ok())
            .collect()
    }

    /// The cells of the members.
    pub fn cells(&self) -> &Cells {
        &self.cells
    }

    /// The cell of a node.
    pub fn cell_of(&self, node: &str) -> Option<&Cell> {
        self.cells.of_node(node)
    }

    /// Takes the members; `true` when cells or eligible nodes have changed.
    pub fn set_members(&mut self, membership: &Membership, cell_size: usize) -> bool {
        let others = membership.members().map(|entry| &entry.member);
        let mut nodes: Vec<OwnerNode> = others
            .chain(std::iter::once(membership.own()))
            .map(owner_node)
            .collect();
        nodes.sort_by(|left, right| left.node.cmp(&right.node));
        if self.nodes == nodes {
            return false;
        }
        self.cells = Cells::of(&nodes, cell_size);
        self.nodes = nodes;
        true
    }

    /// Writes the directory and the owned servers. Returns the number of owned servers.
    pub fn publish(&mut self, tables: &NodeTables) -> usize {
        let places: Vec<OwnedServerPlace<'_>> = self
            .servers
            .iter()
            .map(|entry| OwnedServerPlace {
                server: entry.server.as_str(),
                zone: entry.zone.as_str(),
                region: entry.region.as_str(),
            })
            .collect();
        let mut ids: BTreeMap<&str, NodeId> = BTreeMap::new();
        let owners: Vec<Option<NodeId>> = owners(&self.cells, &places)
            .into_iter()
            .map(|owner| owner.map(|id| ids.entry(id).or_insert_with(|| NodeId::from(id)).clone()))
            .collect();
        for (entry, owner) in self.servers.iter_mut().zip(owners) {
            entry.owner = owner;
        }
        let own = &tables.identity.node;
        let owned: Vec<ServerEntry> = self
            .servers
            .iter()
            .filter(|entry| entry.owner.as_ref() == Some(own))
            .cloned()
            .collect();
        let count = owned.len();
        tables.directory.replace(self.servers.clone());
        tables.servers.set_owned(owned);
        count
    }
}

fn owner_node(member: &Member) -> OwnerNode {
    OwnerNode {
        node: member.node.clone(),
        zone: member.zone.clone(),
        region: member.region.clone(),
        eligible: is_present(member) && !member.draining,
    }
}

fn server_entry(machine: &Machine) -> Option<ServerEntry> {
    if machine.role != MachineRole::Server {
        return None;
    }
    Some(ServerEntry {
        server: machine.name.as_str().into(),
        service: machine.service.clone(),
        region: machine.region.clone(),
        zone: machine.zone.clone(),
        hall: machine.hall.clone(),
        base_url: machine.address.clone(),
        leaving: machine.leaving,
        owner: None,
    })
}

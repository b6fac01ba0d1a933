//! Grouping of nodes into cells, and assignment of servers to owner nodes.
//!
//! Both depend only on the known members, so nodes with the same view agree without coordination.
//! The members of a zone, including dead and left ones until they are forgotten, are grouped into
//! cells of at most `maximum_nodes` by rendezvous hashing, so a restart does not change the cells.
//! A server is assigned to a cell of its zone by weighted rendezvous hashing, and to a node of that
//! cell by rendezvous hashing with bounded load: a node owns at most [`LOAD_BOUND`] times the mean.
//! When a node leaves, few servers other than its own move.

use std::collections::BTreeMap;

use dappleyard_wire::hash::{hash_bytes, rendezvous_weight};

/// Maximum servers of a node, as a multiple of the mean of its cell.
pub const LOAD_BOUND: f64 = 1.25;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerNode {
    pub node: String,
    pub zone: String,
    pub region: String,
    /// Alive or suspected, and not draining, so that it may own servers.
    pub eligible: bool,
}

/// Nodes of one zone that exchange load reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// `{zone}/{number}`.
    pub name: String,
    pub zone: String,
    pub region: String,
    /// Nodes sorted by id.
    pub nodes: Vec<OwnerNode>,
}

impl Cell {
    /// Number of nodes that may own servers.
    pub fn eligible(&self) -> usize {
        self.nodes.iter().filter(|node| node.eligible).count()
    }

    /// Weight of the cell in its zone: its total node count while at least three quarters of the
    /// nodes are eligible, so that a single restart moves no server between cells.
    fn weight(&self) -> f64 {
        let eligible = self.eligible();
        let mostly_eligible = eligible * 4 >= self.nodes.len() * 3;
        if mostly_eligible {
            self.nodes.len() as f64
        } else {
            eligible as f64
        }
    }
}

/// All cells of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cells {
    cells: Vec<Cell>,
}

impl Cells {
    /// Groups nodes into cells of at most `maximum_nodes`.
    pub fn of(nodes: &[OwnerNode], maximum_nodes: usize) -> Cells {
        let mut zones: BTreeMap<(&str, &str), Vec<&OwnerNode>> = BTreeMap::new();
        for node in nodes {
            zones
                .entry((&node.region, &node.zone))
                .or_default()
                .push(node);
        }
        let cells = zones
            .into_iter()
            .flat_map(|((region, zone), nodes)| cells_of_zone(region, zone, &nodes, maximum_nodes))
            .collect();
        Cells { cells }
    }

    /// All cells, sorted by region, zone and number.
    pub fn all(&self) -> &[Cell] {
        &self.cells
    }

    pub fn of_node(&self, node: &str) -> Option<&Cell> {
        self.cells
            .iter()
            .find(|cell| cell.nodes.iter().any(|member| member.node == node))
    }

    /// Cells with eligible nodes in the zone; if there are none, those in the region; otherwise
    /// all.
    pub fn candidates(&self, region: &str, zone: &str) -> Vec<&Cell> {
        let has_eligible = |cell: &&Cell| cell.eligible() > 0;
        let of_zone: Vec<&Cell> = self
            .cells
            .iter()
            .filter(has_eligible)
            .filter(|c| c.zone == zone)
            .collect();
        if !of_zone.is_empty() {
            return of_zone;
        }
        let of_region: Vec<&Cell> = self
            .cells
            .iter()
            .filter(has_eligible)
            .filter(|c| c.region == region)
            .collect();
        if !of_region.is_empty() {
            return of_region;
        }
        self.cells.iter().filter(has_eligible).collect()
    }
}

fn cells_of_zone(
    region: &str,
    zone: &str,
    nodes: &[&OwnerNode],
    maximum_nodes: usize,
) -> Vec<Cell> {
    let count = cell_count(nodes.len(), maximum_nodes);
    let mut cells: Vec<Cell> = (0..count)
        .map(|number| Cell {
            name: format!("{zone}/{number}"),
            zone: zone.to_owned(),
            region: region.to_owned(),
            nodes: Vec::new(),
        })
        .collect();
    let mut order: Vec<&OwnerNode> = nodes.to_vec();
    order.sort_by_key(|node| (hash_bytes(node.node.as_bytes()), node.node.clone()));
    for node in order {
        let key = hash_bytes(node.node.as_bytes());
        let best = cells
            .iter_mut()
            .filter(|cell| cell.nodes.len() < maximum_nodes)
            .max_by_key(|cell| rendezvous_weight(key, &cell.name));
        if let Some(cell) = best {
            cell.nodes.push(node.clone());
        }
    }
    for cell in &mut cells {
        cell.nodes.sort_by(|left, right| left.node.cmp(&right.node));
    }
    cells
}

/// Number of cells: one if all nodes fit, otherwise enough for cells to be three quarters full.
fn cell_count(nodes: usize, maximum_nodes: usize) -> usize {
    let maximum_nodes = maximum_nodes.max(1);
    if nodes <= maximum_nodes {
        return 1;
    }
    nodes.div_ceil((maximum_nodes * 3 / 4).max(1))
}

/// Rendezvous hash key of a server.
pub fn server_key(server: &str) -> u64 {
    hash_bytes(server.as_bytes())
}

/// Assigns an owner to each server of a zone; `None` if no node is eligible. `keys` are the server
/// keys, which must be sorted: servers are assigned in this order.
pub fn owners_of_zone<'a>(candidates: &[&'a Cell], keys: &[u64]) -> Vec<Option<&'a str>> {
    let mut by_cell: Vec<Vec<usize>> = vec![Vec::new(); candidates.len()];
    let weights: Vec<f64> = candidates.iter().map(|cell| cell.weight()).collect();
    for (index, key) in keys.iter().enumerate() {
        if let Some(cell) = best_cell(*key, candidates, &weights) {
            by_cell[cell].push(index);
        }
    }
    let mut owners = vec![None; keys.len()];
    for (cell, indexes) in candidates.iter().zip(by_cell) {
        assign_in_cell(cell, keys, &indexes, &mut owners);
    }
    owners
}

/// Weighted rendezvous hashing: a cell gets servers in proportion to its weight.
fn best_cell(key: u64, cells: &[&Cell], weights: &[f64]) -> Option<usize> {
    if cells.len() <= 1 {
        return (!cells.is_empty()).then_some(0);
    }
    let score = |index: usize| {
        let weight = rendezvous_weight(key, &cells[index].name);
        let uniform = (weight as f64 + 0.5) / (u64::MAX as f64 + 1.0);
        -weights[index] / uniform.ln()
    };
    (0..cells.len())
        .map(|index| (score(index), index))
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, index)| index)
}

/// Rendezvous hashing with bounded load: each server goes to the node of the greatest hash weight
/// that is below the load bound.
fn assign_in_cell<'a>(
    cell: &'a Cell,
    keys: &[u64],
    indexes: &[usize],
    owners: &mut [Option<&'a str>],
) {
    let nodes: Vec<&str> = cell
        .nodes
        .iter()
        .filter(|node| node.eligible)
        .map(|node| node.node.as_str())
        .collect();
    let mean = indexes.len() as f64 / nodes.len().max(1) as f64;
    let capacity = (mean * LOAD_BOUND).ceil().max(1.0) as usize;
    let mut loads = vec![0_usize; nodes.len()];
    for index in indexes {
        let best = (0..nodes.len())
            .filter(|node| loads[*node] < capacity)
            .max_by_key(|node| rendezvous_weight(keys[*index], nodes[*node]));
        if let Some(node) = best {
            loads[node] += 1;
            owners[*index] = Some(nodes[node]);
        }
    }
}

/// The first `count` candidates for a task in rendezvous hash order.
pub fn preferred<'a>(
    task: &str,
    candidates: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let key = hash_bytes(task.as_bytes());
    let mut order: Vec<&str> = candidates.collect();
    order.sort_by_key(|node| (std::cmp::Reverse(rendezvous_weight(key, node)), *node));
    order.truncate(count);
    order
}

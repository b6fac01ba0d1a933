//! Cells of nodes, and the node that owns each server.
//!
//! All of it is a pure function of the members that a node remembers, so that nodes with the same
//! view agree without a word. The remembered members of a zone, dead and left ones included until
//! they are forgotten, are put into cells of at most [`CellSettings::maximum_nodes`] by rendezvous
//! hash; so a restart does not change the cells. A server belongs to a cell of its zone by weighted
//! rendezvous hash, and to a node of that cell by rendezvous hash with bounded load: a node takes at
//! most [`LOAD_BOUND`] times the mean. A node that leaves gives away its own servers and few others.

use std::collections::BTreeMap;

use dappleyard_wire::hash::{hash_bytes, rendezvous_weight};

/// Most servers of a node, as a multiple of the mean of its cell.
pub const LOAD_BOUND: f64 = 1.25;

/// A node as ownership sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerNode {
    /// Node id.
    pub node: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Alive or suspected, and not draining: may own servers.
    pub eligible: bool,
}

/// Nodes of one zone that know each other's load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// `{zone}/{number}`.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Nodes in order of their ids.
    pub nodes: Vec<OwnerNode>,
}

impl Cell {
    /// Number of nodes that may own servers.
    pub fn eligible(&self) -> usize {
        self.nodes.iter().filter(|node| node.eligible).count()
    }

    /// Weight of the cell among those of its zone: all of its nodes while most of them may own
    /// servers, so that one restart moves no server between cells.
    fn weight(&self) -> f64 {
        let eligible = self.eligible();
        let most = eligible * 4 >= self.nodes.len() * 3;
        if most {
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
    /// Puts nodes into cells of at most `maximum_nodes`.
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

    /// The cells, in order of region, zone and number.
    pub fn all(&self) -> &[Cell] {
        &self.cells
    }

    /// The cell that a node is in.
    pub fn of_node(&self, node: &str) -> Option<&Cell> {
        self.cells
            .iter()
            .find(|cell| cell.nodes.iter().any(|member| member.node == node))
    }

    /// The cells that may own servers of a zone: those of the zone; while none of its nodes may own
    /// servers, those of its region; at last all.
    pub fn candidates(&self, region: &str, zone: &str) -> Vec<&Cell> {
        let able = |cell: &&Cell| cell.eligible() > 0;
        let of_zone: Vec<&Cell> = self
            .cells
            .iter()
            .filter(able)
            .filter(|c| c.zone == zone)
            .collect();
        if !of_zone.is_empty() {
            return of_zone;
        }
        let of_region: Vec<&Cell> = self
            .cells
            .iter()
            .filter(able)
            .filter(|c| c.region == region)
            .collect();
        if !of_region.is_empty() {
            return of_region;
        }
        self.cells.iter().filter(able).collect()
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

/// Number of cells: one while all nodes fit, then so many that they are three quarters full.
fn cell_count(nodes: usize, maximum_nodes: usize) -> usize {
    let maximum_nodes = maximum_nodes.max(1);
    if nodes <= maximum_nodes {
        return 1;
    }
    nodes.div_ceil((maximum_nodes * 3 / 4).max(1))
}

/// Key of a server, by which it is placed.
pub fn server_key(server: &str) -> u64 {
    hash_bytes(server.as_bytes())
}

/// The owner of each server of a zone; `None` where no node may own any. `keys` are the keys of the
/// servers, in ascending order, which is the order in which they are placed.
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

/// Weighted rendezvous: a cell gets servers in proportion to its weight.
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

/// Rendezvous with bounded load: each server goes to the heaviest node that still has room.
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
    let room = (mean * LOAD_BOUND).ceil().max(1.0) as usize;
    let mut loads = vec![0_usize; nodes.len()];
    for index in indexes {
        let best = (0..nodes.len())
            .filter(|node| loads[*node] < room)
            .max_by_key(|node| rendezvous_weight(keys[*index], nodes[*node]));
        if let Some(node) = best {
            loads[node] += 1;
            owners[*index] = Some(nodes[node]);
        }
    }
}

/// The `count` nodes that a rendezvous hash prefers for a task, out of candidates.
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

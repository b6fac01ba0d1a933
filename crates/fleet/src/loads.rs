//! Load reports within a cell, and aggregates between cells.

use std::collections::BTreeMap;

use dappleyard_decide::ownership::{Cell, Cells, preferred};
use dappleyard_decide::time::Millis;
use dappleyard_tables::NodeTables;
use dappleyard_tables::loads::Timestamped;
use dappleyard_wire::messages::{
    CellAggregate, LoadReport, Member, MemberState, NodeLoad, ServiceLoad,
};

/// Number of intervals after which an unchanged report is sent again.
const UNCHANGED_REPORT_INTERVALS: u32 = 4;
/// Age above which loads are left out of aggregates, milliseconds.
const STALE_LOAD_MS: u64 = 5_000;
/// Most nodes named in an aggregate as entry points for spilled work.
const MAXIMUM_ENTRY_NODES: usize = 4;
const MAXIMUM_LAGGING_NODES: usize = 4;
/// Most other cells that receive an aggregate in one interval.
const CELLS_PER_INTERVAL: usize = 4;

/// Sending state of one node's load reports and aggregates.
#[derive(Default)]
pub struct Loads {
    last_sent: Option<NodeLoad>,
    intervals_unchanged: u32,
    next_cell: usize,
}

impl Loads {
    /// The report to send to the cell now; `None` when an unchanged report is not due yet.
    pub fn report(&mut self, tables: &NodeTables) -> Option<LoadReport> {
        let node = tables.identity.node.as_str();
        let nodes = tables.loads.nodes();
        let own = nodes.into_iter().find(|load| load.value.node == node);
        let mut load = own.map(|own| own.value).unwrap_or_default();
        // Receivers restore the name from the datagram's sender.
        load.node.clear();
        let unchanged = self.last_sent.as_ref().is_some_and(|last| {
            let sequence = last.sequence;
            NodeLoad {
                sequence,
                ..load.clone()
            } == *last
        });
        self.intervals_unchanged = if unchanged {
            self.intervals_unchanged + 1
        } else {
            0
        };
        if unchanged
            && !self
                .intervals_unchanged
                .is_multiple_of(UNCHANGED_REPORT_INTERVALS)
        {
            return None;
        }
        self.last_sent = Some(load.clone());
        Some(LoadReport {
            load: Some(load),
            configuration_revision: tables.configuration.revision(),
        })
    }

    /// The cells that receive the next aggregate, round-robin over all other cells.
    pub fn next_cells<'a>(&mut self, cells: &'a Cells, own: &str) -> Vec<&'a Cell> {
        let others: Vec<&Cell> = cells
            .all()
            .iter()
            .filter(|cell| cell.name != own && cell.eligible() > 0)
            .collect();
        let count = others.len().min(CELLS_PER_INTERVAL);
        let start = self.next_cell;
        self.next_cell = self.next_cell.wrapping_add(count);
        (0..count)
            .map(|step| others[(start + step) % others.len()])
            .collect()
    }
}

pub fn apply_report(tables: &NodeTables, from: &str, report: LoadReport, now: Millis) {
    tables
        .members
        .note_revision(&from.into(), report.configuration_revision);
    if let Some(mut load) = report.load {
        from.clone_into(&mut load.node);
        tables.loads.put_node(load, now);
    }
}

/// The node that sends the aggregates of a cell.
pub fn reporter(cell: &Cell) -> Option<&str> {
    let able = cell.nodes.iter().filter(|node| node.eligible);
    let chosen = preferred(&cell.name, able.map(|node| node.node.as_str()), 1);
    chosen.first().copied()
}

/// Computes the aggregate of a cell from this node's tables. This node must be in the cell.
pub fn aggregate(tables: &NodeTables, cell: &Cell, now: Millis) -> CellAggregate {
    let in_cell = |node: &str| cell.nodes.iter().any(|member| member.node == node);
    let loads: Vec<Timestamped<NodeLoad>> = tables
        .loads
        .nodes()
        .into_iter()
        .filter(|load| in_cell(&load.value.node) && now.since(load.at) <= STALE_LOAD_MS)
        .collect();
    let members: Vec<Member> = tables
        .members
        .all()
        .into_iter()
        .filter(|member| in_cell(&member.node) && member.state() == MemberState::MemberAlive)
        .collect();
    let revisions = members.iter().map(|member| member.configuration_revision);
    let highest = revisions.clone().max().unwrap_or_default();
    let lagging: Vec<&Member> = members
        .iter()
        .filter(|member| member.configuration_revision < highest)
        .collect();
    CellAggregate {
        cell: cell.name.clone(),
        zone: cell.zone.clone(),
        region: cell.region.clone(),
        sequence: tables.clock.unix_ms(),
        services: sum_services(&loads),
        entry_nodes: entry_nodes(&loads),
        nodes: count(members.len()),
        lowest_revision: revisions.min().unwrap_or_default(),
        highest_revision: highest,
        lagging_nodes: lagging
            .iter()
            .take(MAXIMUM_LAGGING_NODES)
            .map(|member| member.node.clone())
            .collect(),
        nodes_lagging: count(lagging.len()),
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Sums the services over all nodes; the wait is the shortest of any node.
fn sum_services(loads: &[Timestamped<NodeLoad>]) -> Vec<ServiceLoad> {
    let mut sums: BTreeMap<&str, ServiceLoad> = BTreeMap::new();
    let services = loads
        .iter()
        .filter(|load| !load.value.draining)
        .flat_map(|load| &load.value.services);
    for service in services {
        let Some(sum) = sums.get_mut(service.service.as_str()) else {
            sums.insert(&service.service, service.clone());
            continue;
        };
        sum.servers += service.servers;
        sum.online_sequences += service.online_sequences;
        sum.free_sequences += service.free_sequences;
        if service.servers > 0 {
            sum.wait_ms = sum.wait_ms.min(service.wait_ms);
        }
        for version in &service.versions {
            if !sum.versions.contains(version) {
                sum.versions.push(version.clone());
            }
        }
    }
    sums.into_values().collect()
}

/// The nodes with the most free sequences, as entry points for spilled work.
fn entry_nodes(loads: &[Timestamped<NodeLoad>]) -> Vec<String> {
    let mut nodes: Vec<(u32, &str)> = loads
        .iter()
        .filter(|load| !load.value.draining)
        .map(|load| {
            let free = load
                .value
                .services
                .iter()
                .map(|service| service.free_sequences);
            (free.sum(), load.value.node.as_str())
        })
        .collect();
    nodes.sort_by_key(|(free, node)| (std::cmp::Reverse(*free), *node));
    nodes
        .into_iter()
        .take(MAXIMUM_ENTRY_NODES)
        .map(|(_, node)| node.to_owned())
        .collect()
}

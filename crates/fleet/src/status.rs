//! Where the configuration is in force, answered by any node from its own tables.

use std::collections::{BTreeMap, BTreeSet};

use dappleyard_decide::time::Millis;
use dappleyard_tables::NodeTables;
use dappleyard_wire::ids::NodeId;
use dappleyard_wire::messages::{CellAggregate, Member, MemberState};

/// Aggregates older than this say nothing of a cell any more, milliseconds.
const STALE_AGGREGATE_MS: u64 = 60_000;
/// Lagging nodes named.
const MAXIMUM_LAGGARDS: usize = 32;

/// "Revision R is in force on N of M nodes".
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InForce {
    /// Highest revision known to be in force anywhere.
    pub revision: u64,
    /// Nodes believed alive.
    pub nodes: usize,
    /// Nodes known to have applied `revision`.
    pub nodes_in_force: usize,
    /// Nodes known to lag, a few of them.
    pub laggards: Vec<String>,
    /// Regions of which no member answers.
    pub cut_off_regions: Vec<String>,
}

/// Where the configuration is in force as this node knows it. Other cells are seen by their
/// aggregates, so the answer lags by some seconds.
pub fn in_force(tables: &NodeTables) -> InForce {
    let now = tables.clock.now();
    let members = tables.members.all();
    let aggregates = fresh_aggregates(tables, now);
    let alive: Vec<&Member> = members
        .iter()
        .filter(|m| m.state() == MemberState::MemberAlive)
        .collect();
    let own = tables.configuration.revision();
    let shown = aggregates
        .values()
        .map(|aggregate| aggregate.highest_revision);
    let by_members = alive.iter().map(|member| member.configuration_revision);
    let revision = shown.chain(by_members).chain([own]).max().unwrap_or(own);
    let mut answer = InForce {
        revision,
        nodes: alive.len(),
        cut_off_regions: cut_off_regions(&members, tables),
        ..InForce::default()
    };
    let cells = tables.members.cells();
    for member in alive {
        let is_own = member.node == tables.identity.node.as_str();
        let cell = cells.get(&NodeId::from(&member.node));
        let applied = if is_own {
            own
        } else {
            applied(member, cell, &aggregates)
        };
        if applied >= revision {
            answer.nodes_in_force += 1;
        } else if answer.laggards.len() < MAXIMUM_LAGGARDS {
            answer.laggards.push(member.node.clone());
        }
    }
    answer
}

/// Revision that a member is known to have applied: what it said itself, within this node's cell, or
/// what the aggregate of its own cell says of it.
fn applied(
    member: &Member,
    cell: Option<&String>,
    aggregates: &BTreeMap<String, CellAggregate>,
) -> u64 {
    let by_cell = cell
        .and_then(|cell| aggregates.get(cell))
        .map(|aggregate| shown_by(aggregate, &member.node));
    member
        .configuration_revision
        .max(by_cell.unwrap_or_default())
}

/// Revision that an aggregate shows for one of its members. When it does not name all that lag, any
/// of them may.
fn shown_by(aggregate: &CellAggregate, node: &str) -> u64 {
    let names_all = aggregate.nodes_lagging as usize == aggregate.lagging_nodes.len();
    let lags = aggregate.lagging_nodes.iter().any(|name| name == node);
    if names_all && !lags {
        aggregate.highest_revision
    } else {
        aggregate.lowest_revision
    }
}

fn fresh_aggregates(tables: &NodeTables, now: Millis) -> BTreeMap<String, CellAggregate> {
    let cells = tables.loads.cells().into_iter();
    cells
        .filter(|cell| now.since(cell.at) <= STALE_AGGREGATE_MS)
        .map(|cell| (cell.value.cell.clone(), cell.value))
        .collect()
}

/// Regions other than this node's in which there are servers or members that have not left, while no
/// member there is believed alive.
fn cut_off_regions(members: &[Member], tables: &NodeTables) -> Vec<String> {
    let mut known: BTreeSet<String> = tables.directory.read(|servers| {
        let regions: BTreeSet<&str> = servers.values().map(|s| s.region.as_str()).collect();
        regions.into_iter().map(str::to_owned).collect()
    });
    let mut answering = BTreeSet::from([tables.identity.region.as_str()]);
    for member in members {
        match member.state() {
            MemberState::MemberLeft => {}
            MemberState::MemberAlive => {
                answering.insert(&member.region);
            }
            _ => {
                known.insert(member.region.clone());
            }
        }
    }
    known.retain(|region| !answering.contains(region.as_str()));
    known.into_iter().collect()
}

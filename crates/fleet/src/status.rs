//! Rollout status of the configuration, computed from a node's own tables.

use std::collections::{BTreeMap, BTreeSet};

use dappleyard_decide::time::Millis;
use dappleyard_tables::NodeTables;
use dappleyard_wire::ids::NodeId;
use dappleyard_wire::messages::{CellAggregate, Member, MemberState};

/// Age above which aggregates are ignored, milliseconds.
const STALE_AGGREGATE_MS: u64 = 60_000;
const MAXIMUM_NODES_BEHIND: usize = 32;

/// Which nodes have applied the latest known configuration revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigurationStatus {
    /// Highest revision known to be applied on any node.
    pub revision: u64,
    pub nodes: usize,
    /// Number of nodes known to have applied `revision`.
    pub nodes_up_to_date: usize,
    /// Live nodes not known to have applied `revision`, up to a limit.
    pub nodes_behind: Vec<String>,
    pub unreachable_regions: Vec<String>,
}

/// The rollout status as this node knows it. Other cells are known by their aggregates, so the status
/// lags by some seconds.
pub fn configuration_status(tables: &NodeTables) -> ConfigurationStatus {
    let now = tables.clock.now();
    let members = tables.members.all();
    let aggregates = fresh_aggregates(tables, now);
    let alive: Vec<&Member> = members
        .iter()
        .filter(|m| m.state() == MemberState::MemberAlive)
        .collect();
    let own = tables.configuration.revision();
    let aggregate_revisions = aggregates
        .values()
        .map(|aggregate| aggregate.highest_revision);
    let member_revisions = alive.iter().map(|member| member.configuration_revision);
    let revision = aggregate_revisions
        .chain(member_revisions)
        .chain([own])
        .max()
        .unwrap_or(own);
    let mut answer = ConfigurationStatus {
        revision,
        nodes: alive.len(),
        unreachable_regions: unreachable_regions(&members, tables),
        ..ConfigurationStatus::default()
    };
    let cells = tables.members.cells();
    for member in alive {
        let is_own = member.node == tables.identity.node.as_str();
        let cell = cells.get(&NodeId::from(&member.node));
        let applied = if is_own {
            own
        } else {
            applied_revision(member, cell, &aggregates)
        };
        if applied >= revision {
            answer.nodes_up_to_date += 1;
        } else if answer.nodes_behind.len() < MAXIMUM_NODES_BEHIND {
            answer.nodes_behind.push(member.node.clone());
        }
    }
    answer
}

/// Revision that a member is known to have applied: the greater of the one it reported itself and the
/// one that the aggregate of its cell shows.
fn applied_revision(
    member: &Member,
    cell: Option<&String>,
    aggregates: &BTreeMap<String, CellAggregate>,
) -> u64 {
    let from_aggregate = cell
        .and_then(|cell| aggregates.get(cell))
        .map(|aggregate| revision_from_aggregate(aggregate, &member.node));
    member
        .configuration_revision
        .max(from_aggregate.unwrap_or_default())
}

/// Revision that an aggregate shows for a member of its cell. When the aggregate does not name all
/// lagging nodes, any member may be lagging.
fn revision_from_aggregate(aggregate: &CellAggregate, node: &str) -> u64 {
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

/// Regions other than this node's that have servers or members that have not left, but no live member.
fn unreachable_regions(members: &[Member], tables: &NodeTables) -> Vec<String> {
    let mut known: BTreeSet<String> = tables.directory.read(|servers| {
        let regions: BTreeSet<&str> = servers.values().map(|s| s.region.as_str()).collect();
        regions.into_iter().map(str::to_owned).collect()
    });
    let mut reachable = BTreeSet::from([tables.identity.region.as_str()]);
    for member in members {
        match member.state() {
            MemberState::MemberLeft => {}
            MemberState::MemberAlive => {
                reachable.insert(&member.region);
            }
            _ => {
                known.insert(member.region.clone());
            }
        }
    }
    known.retain(|region| !reachable.contains(region.as_str()));
    known.into_iter().collect()
}

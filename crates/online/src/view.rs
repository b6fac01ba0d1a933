//! Cached view of placement targets: owners in this cell and entry nodes of other cells. It is rebuilt
//! from the tables when it is stale instead of once per request.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use dappleyard_decide::time::Millis;
use dappleyard_tables::NodeTables;
use dappleyard_wire::ids::NodeId;
use dappleyard_wire::messages::{CellAggregate, Member, MemberState, NodeLoad, ServiceLoad};

use crate::load;

/// Age at which a view is rebuilt, milliseconds.
const MAXIMUM_VIEW_AGE_MS: u64 = 50;

/// Wait added to an owner whose membership state is suspect, milliseconds.
const SUSPECT_PENALTY_MS: u32 = 500;

/// Id and link address of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NodeAddress {
    pub node: String,
    /// `host:port` of the node's link listener.
    pub link_address: String,
}

/// An owner node of this cell.
#[derive(Debug)]
pub(crate) struct OwnerView {
    pub address: NodeAddress,
    pub is_self: bool,
    load: NodeLoad,
    suspect: bool,
    /// Requests sent to the owner by this worker since `load` was reported.
    sent: Cell<u32>,
}

/// Load of one service on one owner, as used for placement.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnerLoad<'a> {
    /// Servers that accept new work.
    pub servers: u32,
    /// Running and waiting online sequences.
    pub sequences: u32,
    /// Expected wait, milliseconds.
    pub wait_ms: u32,
    /// Loaded versions.
    pub versions: &'a [String],
}

impl OwnerView {
    /// Reported load of a service plus the requests sent by this worker since the report.
    pub fn service(&self, service: &str) -> Option<OwnerLoad<'_>> {
        let services = self.load.services.iter();
        let load = services.into_iter().find(|one| one.service == service)?;
        let added_wait_ms = if self.suspect { SUSPECT_PENALTY_MS } else { 0 };
        Some(OwnerLoad {
            servers: load.servers,
            sequences: load.online_sequences.saturating_add(self.sent.get()),
            wait_ms: load.wait_ms.saturating_add(added_wait_ms),
            versions: &load.versions,
        })
    }

    /// Counts a request sent to this owner.
    pub fn count_sent(&self) {
        self.sent.set(self.sent.get() + 1);
    }
}

/// Distance to another cell, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// Another cell.
#[derive(Debug)]
pub(crate) struct CellView {
    pub distance: Distance,
    pub services: Vec<ServiceLoad>,
    /// Usable entry nodes.
    pub entries: Vec<NodeAddress>,
}

/// Input of placement decisions.
#[derive(Debug, Default)]
pub(crate) struct PlacementView {
    /// Owners in this cell that accept new work.
    pub owners: Vec<OwnerView>,
    /// Other cells, nearest first.
    pub cells: Vec<CellView>,
    /// Number of live nodes in this region, including this one.
    pub region_nodes: usize,
}

impl PlacementView {
    /// Shortest expected wait for a service in any cell, milliseconds; `None` if no server offers it.
    pub fn shortest_wait_ms(&self, service: &str) -> Option<u32> {
        let local = self
            .owners
            .iter()
            .filter_map(|owner| owner.service(service));
        let local = local
            .filter(|load| load.servers > 0)
            .map(|load| load.wait_ms);
        let remote = self.cells.iter().flat_map(|cell| &cell.services);
        let remote = remote.filter(|load| load.servers > 0 && load.service == service);
        local.chain(remote.map(|load| load.wait_ms)).min()
    }
}

/// The most recent view and the time it was built.
#[derive(Default)]
pub(crate) struct ViewCache {
    view: Rc<PlacementView>,
    built: Option<Millis>,
}

impl ViewCache {
    /// Returns the view, rebuilding it if it is stale.
    pub fn get(&mut self, tables: &NodeTables) -> Rc<PlacementView> {
        let now = tables.clock.now();
        if self
            .built
            .is_none_or(|built| now.since(built) >= MAXIMUM_VIEW_AGE_MS)
        {
            self.view = Rc::new(build(tables, &self.view));
            self.built = Some(now);
        }
        self.view.clone()
    }

    /// Forces a rebuild at the next [`ViewCache::get`].
    pub fn invalidate(&mut self) {
        self.built = None;
    }
}

fn build(tables: &NodeTables, previous: &PlacementView) -> PlacementView {
    let members: BTreeMap<String, Member> = tables
        .members
        .all()
        .into_iter()
        .map(|member| (member.node.clone(), member))
        .collect();
    let configuration = tables.configuration.current();
    let is_drained = |node: &str| {
        configuration
            .drains
            .contains_key(&("node".to_owned(), node.to_owned()))
    };
    let own = tables.identity.node.as_str();
    let mut owners = vec![OwnerView {
        address: NodeAddress {
            node: own.to_owned(),
            link_address: String::new(),
        },
        is_self: true,
        load: load::node_load(tables),
        suspect: false,
        sent: Cell::new(0),
    }];
    for summary in tables.loads.nodes() {
        let load = summary.value;
        let Some(member) = members.get(&load.node) else {
            continue;
        };
        if load.node == own || load.draining || !is_usable(member) || is_drained(&load.node) {
            continue;
        }
        owners.push(owner_view(member, load, previous));
    }
    owners.retain(|owner| !is_drained(&owner.address.node));
    PlacementView {
        owners,
        cells: cells(tables, &members),
        region_nodes: live_in_region(tables, members.values()),
    }
}

fn owner_view(member: &Member, load: NodeLoad, previous: &PlacementView) -> OwnerView {
    let known = previous
        .owners
        .iter()
        .find(|owner| owner.address.node == load.node);
    let sent = known
        .filter(|owner| owner.load.sequence == load.sequence)
        .map_or(0, |owner| owner.sent.get());
    OwnerView {
        address: address(member),
        is_self: false,
        load,
        suspect: member.state() == MemberState::MemberSuspect,
        sent: Cell::new(sent),
    }
}

fn cells(tables: &NodeTables, members: &BTreeMap<String, Member>) -> Vec<CellView> {
    let mut cells: Vec<CellView> = tables
        .loads
        .cells()
        .into_iter()
        .map(|summary| cell_view(tables, summary.value, members))
        .filter(|cell| !cell.entries.is_empty())
        .collect();
    cells.sort_by_key(|cell| cell.distance);
    cells
}

fn cell_view(
    tables: &NodeTables,
    aggregate: CellAggregate,
    members: &BTreeMap<String, Member>,
) -> CellView {
    let identity = &tables.identity;
    let distance = if aggregate.zone == identity.zone.as_str() {
        Distance::SameZone
    } else if aggregate.region == identity.region.as_str() {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    };
    let entries = aggregate
        .entry_nodes
        .iter()
        .filter(|node| node.as_str() != identity.node.as_str())
        .filter_map(|node| members.get(node))
        .filter(|member| is_usable(member))
        .map(address)
        .collect();
    CellView {
        distance,
        services: aggregate.services,
        entries,
    }
}

fn live_in_region<'a>(tables: &NodeTables, members: impl Iterator<Item = &'a Member>) -> usize {
    let (own, region) = (
        tables.identity.node.as_str(),
        tables.identity.region.as_str(),
    );
    let others = members.filter(|member| {
        member.node != own && member.region == region && member.state() == MemberState::MemberAlive
    });
    1 + others.count()
}

/// Whether new work may be sent to a member.
pub(crate) fn is_usable(member: &Member) -> bool {
    let state = member.state();
    let is_live = matches!(state, MemberState::MemberAlive | MemberState::MemberSuspect);
    is_live && !member.draining
}

/// Address of a usable member; `None` if it is unknown, dead or draining.
pub(crate) fn usable_node(tables: &NodeTables, node: &NodeId) -> Option<NodeAddress> {
    let member = tables.members.get(node)?;
    is_usable(&member).then(|| address(&member))
}

fn address(member: &Member) -> NodeAddress {
    NodeAddress {
        node: member.node.clone(),
        link_address: member.link_address.clone(),
    }
}

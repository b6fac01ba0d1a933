//! What a worker knows of where requests can go: owners of this cell and other cells, gathered from
//! the tables a few times a second instead of once for each request.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use dappleyard_decide::time::Millis;
use dappleyard_tables::NodeTables;
use dappleyard_wire::ids::NodeId;
use dappleyard_wire::messages::{CellAggregate, Member, MemberState, NodeLoad, ServiceLoad};

use crate::load;

/// Age above which a view is built anew, milliseconds.
const VIEW_AGE_MS: u64 = 50;

/// Wait added to an owner that membership suspects, milliseconds.
const SUSPECT_WAIT_MS: u32 = 500;

/// A node that can be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NodeAddress {
    /// Node id.
    pub node: String,
    /// host:port of its links.
    pub link_address: String,
}

/// An owner node of this cell.
#[derive(Debug)]
pub(crate) struct OwnerView {
    /// Who it is.
    pub address: NodeAddress,
    /// It is this node.
    pub is_self: bool,
    /// Its load.
    load: NodeLoad,
    suspect: bool,
    /// Requests that this worker sent it since `load` was made.
    sent: Cell<u32>,
}

/// Load of one service on one owner, as placement counts it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnerLoad<'a> {
    /// Servers that take new work.
    pub servers: u32,
    /// Online sequences running and waiting.
    pub sequences: u32,
    /// Expected wait, milliseconds.
    pub wait_ms: u32,
    /// Versions loaded.
    pub versions: &'a [String],
}

impl OwnerView {
    /// Load of a service, with what this worker has sent since it was reported.
    pub fn service(&self, service: &str) -> Option<OwnerLoad<'_>> {
        let services = self.load.services.iter();
        let load = services.into_iter().find(|one| one.service == service)?;
        let added_wait_ms = if self.suspect { SUSPECT_WAIT_MS } else { 0 };
        Some(OwnerLoad {
            servers: load.servers,
            sequences: load.online_sequences.saturating_add(self.sent.get()),
            wait_ms: load.wait_ms.saturating_add(added_wait_ms),
            versions: &load.versions,
        })
    }

    /// Counts a request as sent there.
    pub fn count_sent(&self) {
        self.sent.set(self.sent.get() + 1);
    }
}

/// How far away a cell is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    /// Another cell of this zone.
    Zone,
    /// Another zone of this region.
    Region,
    /// Another region.
    Far,
}

/// Another cell.
#[derive(Debug)]
pub(crate) struct CellView {
    /// How far away.
    pub distance: Distance,
    /// Its load by service.
    pub services: Vec<ServiceLoad>,
    /// Nodes that may be entered.
    pub entries: Vec<NodeAddress>,
}

/// Everything that placement looks at.
#[derive(Debug, Default)]
pub(crate) struct PlacementView {
    /// Owners of this cell that take new work.
    pub owners: Vec<OwnerView>,
    /// Other cells, nearest first.
    pub cells: Vec<CellView>,
    /// Live nodes of this region, this one included.
    pub region_nodes: usize,
}

impl PlacementView {
    /// Shortest expected wait for a service anywhere, milliseconds; `None` when nobody has it.
    pub fn shortest_wait_ms(&self, service: &str) -> Option<u32> {
        let near = self
            .owners
            .iter()
            .filter_map(|owner| owner.service(service));
        let near = near
            .filter(|load| load.servers > 0)
            .map(|load| load.wait_ms);
        let far = self.cells.iter().flat_map(|cell| &cell.services);
        let far = far.filter(|load| load.servers > 0 && load.service == service);
        near.chain(far.map(|load| load.wait_ms)).min()
    }
}

/// The last view, and when it was built.
#[derive(Default)]
pub(crate) struct ViewCache {
    view: Rc<PlacementView>,
    built: Option<Millis>,
}

impl ViewCache {
    /// The view, built anew when it is old.
    pub fn get(&mut self, tables: &NodeTables) -> Rc<PlacementView> {
        let now = tables.clock.now();
        if self
            .built
            .is_none_or(|built| now.since(built) >= VIEW_AGE_MS)
        {
            self.view = Rc::new(build(tables, &self.view));
            self.built = Some(now);
        }
        self.view.clone()
    }

    /// Makes the next view a new one.
    pub fn invalidate(&mut self) {
        self.built = None;
    }
}

fn build(tables: &NodeTables, before: &PlacementView) -> PlacementView {
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
        load: load::summary(tables),
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
        owners.push(owner_view(member, load, before));
    }
    owners.retain(|owner| !is_drained(&owner.address.node));
    PlacementView {
        owners,
        cells: cells(tables, &members),
        region_nodes: live_in_region(tables, members.values()),
    }
}

fn owner_view(member: &Member, load: NodeLoad, before: &PlacementView) -> OwnerView {
    let known = before
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
        Distance::Zone
    } else if aggregate.region == identity.region.as_str() {
        Distance::Region
    } else {
        Distance::Far
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

/// Whether a member may be sent new work.
pub(crate) fn is_usable(member: &Member) -> bool {
    let state = member.state();
    let believed = matches!(state, MemberState::MemberAlive | MemberState::MemberSuspect);
    believed && !member.draining
}

/// Address of a usable member; `None` when it is unknown, gone or draining.
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

//! Fleet status: nodes, servers, load, configuration revision, running plans and jobs at risk.

use std::collections::BTreeMap;
use std::sync::Arc;

use dappleyard_batch::JobsApi;
use dappleyard_store::Platform;
use dappleyard_tables::NodeTables;
use dappleyard_wire::messages::{Member, MemberState};
use serde::{Deserialize, Serialize};

use crate::jobs::{JobAtRisk, JobSummary, active_jobs, jobs_at_risk};
use crate::local::{LocalReport, LocalServer, local_report};
use crate::peers::Peers;
use crate::plans::store::{PlanSummary, running_plans};

/// Fleet status as collected by one node.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Node that collected the status.
    pub observed_by: String,
    pub unix_ms: u64,
    pub nodes: Vec<NodeStatus>,
    pub servers: Vec<ServerStatus>,
    pub revision: RevisionInForce,
    /// Running plans.
    pub plans: Vec<PlanSummary>,
    pub jobs_at_risk: Vec<JobAtRisk>,
    /// Information that could not be obtained.
    pub unknown: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    pub node: String,
    pub zone: String,
    pub region: String,
    /// Membership state: `alive`, `suspect`, `dead` or `left`.
    pub member: String,
    /// Lifecycle reported by the node; empty if it did not respond.
    pub lifecycle: String,
    /// Configuration revision in force on the node.
    pub revision: u64,
    /// Number of servers owned by the node.
    pub servers: usize,
    /// Number of sequences in flight from the node.
    pub busy: usize,
    /// Address of its admin API.
    pub admin_address: String,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    pub server: String,
    pub service: String,
    pub region: String,
    pub zone: String,
    pub hall: String,
    /// Node that owns the server; empty if none.
    pub owner: String,
    /// `serving`, `loading`, `empty`, `withdrawn`, `drained`, `leaving` or `unknown`.
    pub state: String,
    /// Reason for the state; may be empty.
    pub reason: String,
    /// Report of the owner; `None` if there is none.
    pub live: Option<LocalServer>,
}

impl ServerStatus {
    pub fn serves(&self) -> bool {
        self.state == "serving"
    }

    /// Whether the server, its hall or its zone is drained.
    pub fn is_drained(&self) -> bool {
        self.state == "drained"
    }

    /// Loaded version; empty if unknown.
    pub fn version(&self) -> &str {
        self.live.as_ref().map_or("", |live| live.version.as_str())
    }
}

/// Propagation of the latest configuration revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionInForce {
    /// Highest revision in force on any live node.
    pub revision: u64,
    /// Number of live nodes with that revision.
    pub in_force: usize,
    /// Number of live nodes.
    pub nodes: usize,
    /// Live nodes with an older revision.
    pub lagging: Vec<String>,
}

/// Collects nodes, servers and the revision in force. Peers that do not respond are listed in
/// `unknown`.
pub async fn gather(tables: &Arc<NodeTables>, peers: &Peers) -> FleetStatus {
    let responses = peers.query::<LocalReport>("/admin/v1/local").await;
    let failed = responses.failed.into_iter();
    let unknown = failed.map(|(node, cause)| format!("node {node} did not answer: {cause}"));
    FleetStatus {
        unknown: unknown.collect(),
        ..assemble(tables, responses.responses)
    }
}

/// Status from this node's tables alone: members, the machine list and its own servers.
pub fn local_status(tables: &NodeTables) -> FleetStatus {
    assemble(tables, Vec::new())
}

fn assemble(tables: &NodeTables, peers: Vec<LocalReport>) -> FleetStatus {
    let own = local_report(tables);
    let reports: BTreeMap<String, LocalReport> = peers
        .into_iter()
        .chain([own])
        .map(|report| (report.node.clone(), report))
        .collect();
    let nodes = node_statuses(tables, &reports);
    FleetStatus {
        observed_by: tables.identity.node.to_string(),
        unix_ms: tables.clock.unix_ms(),
        revision: revision_in_force(&nodes),
        servers: server_statuses(tables, &reports),
        nodes,
        ..FleetStatus::default()
    }
}

/// Adds running plans and jobs at risk from the table store. Returns the active jobs.
pub async fn add_plans_and_jobs(
    status: &mut FleetStatus,
    platform: &Platform,
    jobs: &JobsApi,
) -> Vec<JobSummary> {
    match running_plans(&*platform.tables).await {
        Ok(plans) => status.plans = plans,
        Err(failure) => status.unknown.push(format!("running plans: {failure}")),
    }
    match active_jobs(&*platform.tables, jobs).await {
        Ok(active) => {
            status.jobs_at_risk = jobs_at_risk(&active, status.unix_ms / 1000);
            active
        }
        Err(failure) => {
            status.unknown.push(format!("jobs: {failure}"));
            Vec::new()
        }
    }
}

pub const fn member_name(state: MemberState) -> &'static str {
    match state {
        MemberState::MemberAlive => "alive",
        MemberState::MemberSuspect => "suspect",
        MemberState::MemberDead => "dead",
        MemberState::MemberLeft => "left",
    }
}

fn node_statuses(tables: &NodeTables, reports: &BTreeMap<String, LocalReport>) -> Vec<NodeStatus> {
    let members = tables.members.all();
    let mut nodes: Vec<NodeStatus> = members
        .iter()
        .map(|member| node_status(member, reports.get(&member.node)))
        .collect();
    let own_node = tables.identity.node.as_str();
    if let Some(report) = reports.get(own_node)
        && !nodes.iter().any(|node| node.node == own_node)
    {
        let member = Member {
            node: report.node.clone(),
            zone: report.zone.clone(),
            region: report.region.clone(),
            configuration_revision: report.configuration_revision,
            ..Member::default()
        };
        nodes.push(node_status(&member, Some(report)));
    }
    nodes.sort_by(|left, right| (&left.zone, &left.node).cmp(&(&right.zone, &right.node)));
    nodes
}

fn node_status(member: &Member, report: Option<&LocalReport>) -> NodeStatus {
    NodeStatus {
        node: member.node.clone(),
        zone: member.zone.clone(),
        region: member.region.clone(),
        member: member_name(member.state()).to_owned(),
        lifecycle: report.map_or_else(String::new, |report| report.lifecycle.clone()),
        revision: report.map_or(member.configuration_revision, |report| {
            report.configuration_revision
        }),
        servers: report.map_or(0, |report| report.servers.len()),
        busy: report.map_or(0, LocalReport::busy),
        admin_address: member.admin_address.clone(),
    }
}

fn revision_in_force(nodes: &[NodeStatus]) -> RevisionInForce {
    let live: Vec<&NodeStatus> = nodes
        .iter()
        .filter(|node| matches!(node.member.as_str(), "alive" | "suspect"))
        .collect();
    let revision = live.iter().map(|node| node.revision).max().unwrap_or(0);
    let lagging: Vec<String> = live
        .iter()
        .filter(|node| node.revision < revision)
        .map(|node| node.node.clone())
        .collect();
    RevisionInForce {
        revision,
        in_force: live.len() - lagging.len(),
        nodes: live.len(),
        lagging,
    }
}

fn server_statuses(
    tables: &NodeTables,
    reports: &BTreeMap<String, LocalReport>,
) -> Vec<ServerStatus> {
    let live: BTreeMap<&str, &LocalServer> = reports
        .values()
        .flat_map(|report| &report.servers)
        .map(|server| (server.server.as_str(), server))
        .collect();
    let configuration = tables.configuration.current();
    let entries = tables.directory.all();
    entries
        .into_iter()
        .map(|entry| {
            let live = live.get(entry.server.as_str()).copied().cloned();
            let drained =
                configuration.is_draining(entry.server.as_str(), &entry.hall, entry.zone.as_str());
            let (state, reason) = server_state(entry.leaving, drained, live.as_ref());
            ServerStatus {
                server: entry.server.to_string(),
                service: entry.service.to_string(),
                region: entry.region.to_string(),
                zone: entry.zone.to_string(),
                hall: entry.hall,
                owner: entry
                    .owner
                    .map_or_else(String::new, |owner| owner.to_string()),
                state: state.to_owned(),
                reason,
                live,
            }
        })
        .collect()
}

fn server_state(
    leaving: bool,
    drained: bool,
    live: Option<&LocalServer>,
) -> (&'static str, String) {
    if drained {
        return ("drained", "a drain is in force".to_owned());
    }
    if leaving {
        return ("leaving", "the machine list says so".to_owned());
    }
    let Some(live) = live else {
        return ("unknown", "its owner did not report it".to_owned());
    };
    if let Some(reason) = &live.withdrawn {
        return ("withdrawn", reason.clone());
    }
    if !live.loading.is_empty() {
        return ("loading", format!("loads {}", live.loading));
    }
    if live.version.is_empty() {
        return ("empty", live.load_failure.clone());
    }
    ("serving", String::new())
}

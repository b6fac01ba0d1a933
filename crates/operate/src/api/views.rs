//! Handlers of read-only routes.

use actix_web::web::{Data, Json};
use dappleyard_wire::messages::Member;
use serde::{Deserialize, Serialize};

use crate::api::OperateApi;
use crate::api::bodies::{ConfigurationBody, Refused, configuration_rows, invalid};
use crate::jobs::{JobSummary, active_jobs, list_jobs};
use crate::local::{LocalReport, local_report};
use crate::status::{FleetStatus, ServerStatus, gather, member_name};

/// A cluster member in this node's membership view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSummary {
    pub node: String,
    pub zone: String,
    pub region: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    pub incarnation: u64,
    /// Whether it rejects new work.
    pub draining: bool,
    pub configuration_revision: u64,
    /// Address for links from other nodes.
    pub link_address: String,
    /// Address of its admin API.
    pub admin_address: String,
}

/// `GET /admin/v1/status`
pub async fn status(api: Data<OperateApi>) -> Json<FleetStatus> {
    Json(api.status().await)
}

/// `GET /admin/v1/local`
pub async fn local(api: Data<OperateApi>) -> Json<LocalReport> {
    Json(local_report(&api.tables))
}

/// `GET /admin/v1/members`
pub async fn members(api: Data<OperateApi>) -> Json<Vec<MemberSummary>> {
    Json(
        api.tables
            .members
            .all()
            .into_iter()
            .map(member_summary)
            .collect(),
    )
}

fn member_summary(member: Member) -> MemberSummary {
    MemberSummary {
        state: member_name(member.state()).to_owned(),
        node: member.node,
        zone: member.zone,
        region: member.region,
        incarnation: member.incarnation,
        draining: member.draining,
        configuration_revision: member.configuration_revision,
        link_address: member.link_address,
        admin_address: member.admin_address,
    }
}

/// `GET /admin/v1/servers`
pub async fn servers(api: Data<OperateApi>) -> Json<Vec<ServerStatus>> {
    Json(gather(&api.tables, &api.peers).await.servers)
}

/// `GET /admin/v1/configuration`
pub async fn configuration(api: Data<OperateApi>) -> Json<ConfigurationBody> {
    let current = api.tables.configuration.current();
    Json(ConfigurationBody {
        revision: current.revision,
        rows: configuration_rows(&current),
    })
}

/// `GET /admin/v1/jobs`
pub async fn jobs(api: Data<OperateApi>) -> Result<Json<Vec<JobSummary>>, Refused> {
    let tables = &*api.platform.tables;
    let active = active_jobs(tables, &api.jobs).await?;
    let mut jobs = list_jobs(tables).await?;
    for job in &mut jobs {
        if let Some(line) = active.iter().find(|line| line.job == job.job) {
            job.clone_from(line);
        }
    }
    Ok(Json(jobs))
}

/// Handles unknown paths.
pub async fn unknown_route(request: actix_web::HttpRequest) -> Result<Json<()>, Refused> {
    Err(invalid(format!(
        "there is no {} {}; see docs/operate/plans.md for the routes",
        request.method(),
        request.path()
    )))
}

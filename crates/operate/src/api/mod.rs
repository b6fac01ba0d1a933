//! Admin API: JSON routes under `/admin/v1/` on a node's admin server.

pub mod bodies;
mod explain;
mod plans;
mod views;

use std::rc::Rc;
use std::sync::Arc;

use actix_web::web;
use dappleyard_batch::JobsApi;
use dappleyard_settings::{BatchSettings, OperateSettings};
use dappleyard_store::Platform;
use dappleyard_tables::NodeTables;

use crate::jobs::JobSummary;
use crate::peers::Peers;
use crate::status::{self, FleetStatus};

/// State of the request handlers, one per worker thread of the admin server.
#[derive(Clone)]
pub struct OperateApi {
    tables: Arc<NodeTables>,
    settings: OperateSettings,
    platform: Platform,
    peers: Peers,
    jobs: Rc<JobsApi>,
}

impl OperateApi {
    pub fn new(
        tables: Arc<NodeTables>,
        settings: OperateSettings,
        platform: Platform,
    ) -> OperateApi {
        let peers = Peers::new(tables.clone(), settings.peer_timeout_ms);
        // Used only to read job states, which does not depend on the settings.
        let jobs = JobsApi::new(tables.clone(), BatchSettings::default(), platform.clone());
        OperateApi {
            tables,
            settings,
            platform,
            peers,
            jobs,
        }
    }

    /// Collects the fleet status from this node and its peers.
    pub async fn status(&self) -> FleetStatus {
        self.status_and_jobs().await.0
    }

    /// Fleet status and the jobs that need capacity.
    async fn status_and_jobs(&self) -> (FleetStatus, Vec<JobSummary>) {
        let mut status = status::gather(&self.tables, &self.peers).await;
        let jobs = status::add_plans_and_jobs(&mut status, &self.platform, &self.jobs).await;
        (status, jobs)
    }
}

pub fn configure(service: &mut web::ServiceConfig, api: OperateApi) {
    service.app_data(web::Data::new(api)).service(
        web::scope("/admin/v1")
            .route("/status", web::get().to(views::status))
            .route("/local", web::get().to(views::local))
            .route("/members", web::get().to(views::members))
            .route("/servers", web::get().to(views::servers))
            .route("/configuration", web::get().to(views::configuration))
            .route("/jobs", web::get().to(views::jobs))
            .route("/decisions", web::get().to(explain::recent))
            .route("/decisions/{kind}/{id}", web::get().to(explain::local))
            .route("/explain/{kind}/{id}", web::get().to(explain::explain))
            .route("/plans", web::get().to(plans::list))
            .route("/plans", web::post().to(plans::propose))
            .route("/plans/{id}", web::get().to(plans::get))
            .route("/plans/{id}/confirm", web::post().to(plans::confirm))
            .route("/plans/{id}/abort", web::post().to(plans::abort))
            .default_service(web::to(views::unknown_route)),
    );
}
